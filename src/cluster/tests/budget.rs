//! The budget of connections to upstreams, at its limit.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::cluster::budget::{BudgetReserves, BudgetUse, ConnectionBudget, ConnectionUse};
use crate::cluster::{HttpClient, HttpFault};

/// Guards against a stop that waits behind starts: the most urgent request gets the next connection.
#[tokio::test]
async fn urgent_orders_get_the_next_connection() {
    let budget = ConnectionBudget::new(1);
    let held = budget.try_acquire(ConnectionUse::Start).expect("a connection is free");
    let mut waiting = JoinSet::new();
    for connection_use in [ConnectionUse::Start, ConnectionUse::Lease, ConnectionUse::Stop] {
        let budget = budget.clone();
        waiting.spawn(async move { (connection_use, budget.acquire(connection_use).await) });
    }
    tokio::task::yield_now().await;
    assert_eq!(budget.in_use(), BudgetUse { open: 1, waiting: 3, incoming: 0 });
    drop(held);
    let mut order = Vec::new();
    while let Some(Ok((connection_use, permit))) = waiting.join_next().await {
        assert!(permit.is_some());
        order.push(connection_use);
    }
    assert_eq!(order, [ConnectionUse::Stop, ConnectionUse::Lease, ConnectionUse::Start]);
    assert_eq!(budget.in_use(), BudgetUse { open: 0, waiting: 0, incoming: 0 });
}

/// Guards against long polls that take all connections, so that no order can be sent.
#[test]
fn long_polls_leave_connections_for_orders() {
    let budget = ConnectionBudget::new(16);
    let leases: Vec<_> =
        std::iter::from_fn(|| budget.try_acquire(ConnectionUse::Lease)).take(20).collect();
    assert_eq!(leases.len(), 14);
    assert!(budget.is_scarce());
    assert!(budget.try_acquire(ConnectionUse::Start).is_some());
}

/// Guards against a connection that is lost to a request that no longer waits for it.
#[tokio::test]
async fn a_request_that_gave_up_takes_no_connection() {
    let budget = ConnectionBudget::new(1);
    let held = budget.try_acquire(ConnectionUse::Start);
    let waiting = budget.acquire(ConnectionUse::Stop);
    assert!(tokio::time::timeout(Duration::from_millis(10), waiting).await.is_err());
    drop(held);
    assert_eq!(budget.in_use(), BudgetUse { open: 0, waiting: 0, incoming: 0 });
    assert!(budget.try_acquire(ConnectionUse::Start).is_some());
}

/// Servers that answer each request after a pause, and the largest number of open connections.
struct Servers {
    addresses: Vec<SocketAddr>,
    most_open: Arc<AtomicUsize>,
    tasks: JoinSet<()>,
}

async fn servers(count: usize, pause: Duration) -> Servers {
    let (open, most_open) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let mut servers = Servers { addresses: Vec::new(), most_open, tasks: JoinSet::new() };
    for _ in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        servers.addresses.push(listener.local_addr().unwrap());
        let (open, most_open) = (Arc::clone(&open), Arc::clone(&servers.most_open));
        servers.tasks.spawn(async move {
            loop {
                let Ok((mut stream, _)) = listener.accept().await else { return };
                let now = open.fetch_add(1, Ordering::SeqCst) + 1;
                most_open.fetch_max(now, Ordering::SeqCst);
                let open = Arc::clone(&open);
                tokio::spawn(async move {
                    let mut buffer = [0; 1_024];
                    while stream.read(&mut buffer).await.is_ok_and(|bytes| bytes > 0) {
                        tokio::time::sleep(pause).await;
                        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                        if stream.write_all(answer).await.is_err() {
                            break;
                        }
                    }
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
    }
    servers
}

async fn get(client: &HttpClient, address: SocketAddr) -> Result<u16, HttpFault> {
    let request = Request::get("/").header("host", "server").body(Full::<Bytes>::default());
    let request = request.expect("a valid request");
    client.call(address, request, Duration::from_secs(5)).await.map(|reply| reply.status)
}

/// Guards against calls that fail when more servers are called than connections may be open: idle
/// connections are closed, and calls wait for their turn.
#[tokio::test]
async fn more_servers_than_connections_are_all_called() {
    let servers = servers(30, Duration::from_millis(20)).await;
    let client = HttpClient::new(ConnectionBudget::new(8), ConnectionUse::Start);
    for _ in 0..3 {
        let mut calls = JoinSet::new();
        for &address in &servers.addresses {
            let client = client.clone();
            calls.spawn(async move { get(&client, address).await });
        }
        while let Some(answer) = calls.join_next().await {
            assert_eq!(answer.unwrap(), Ok(200));
        }
    }
    // A server sees the end of a closed connection a little later than the client.
    assert!(servers.most_open.load(Ordering::SeqCst) <= 8 + 8);
}

/// Guards against taking a lack of own connections for a sign about the server.
#[tokio::test]
async fn a_lack_of_connections_is_told_apart() {
    let servers = servers(2, Duration::from_secs(3)).await;
    let client = HttpClient::new(ConnectionBudget::new(1), ConnectionUse::Start);
    let (busy, free) = (servers.addresses[0], servers.addresses[1]);
    let holding = client.clone();
    let holding = tokio::spawn(async move { get(&holding, busy).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(get(&client, free).await, Err(HttpFault::NoConnection));
    assert_eq!(holding.await.unwrap(), Ok(200));
}

/// Guards against heartbeats that take the connections for orders, and orders that take those for
/// heartbeats: each has its reserve, and either may use what is left.
#[test]
fn each_direction_keeps_its_reserve() {
    let reserves = BudgetReserves { outgoing: 20, incoming: 8 };
    let budget = ConnectionBudget::shared(40, reserves);
    let accept = || std::iter::from_fn(|| budget.try_accept()).collect::<Vec<_>>();
    let heartbeats = accept();
    assert_eq!(heartbeats.len(), 20);
    let orders =
        || std::iter::from_fn(|| budget.try_acquire(ConnectionUse::Start)).collect::<Vec<_>>();
    let held = orders();
    assert_eq!(held.len(), 20);
    drop((held, heartbeats));
    let held = orders();
    assert_eq!(held.len(), 32);
    assert_eq!(accept().len(), 8);
}
