//! Calls to a cluster without a leader, or with a host that does not respond.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::{ClientFault, LeaderClient, Request};

mod budget;
mod capacities;
pub(super) mod control_host;
mod crashes;
mod evacuations;
pub(super) mod fake_worker;
mod leaves;
mod messages;
pub(super) mod promises;
mod recovery;
mod resends;
mod retired;
mod sharing;
mod successors;
mod turns;

async fn call(address: SocketAddr, limit: Duration) -> ClientFault {
    let client = LeaderClient::new(vec![address]);
    client.call(&Request::Status, limit).await.expect_err("no host leads")
}

/// Guards against reporting an unknown outcome for a request that no host received. The caller may
/// safely send such a request again, also after a short timeout.
#[rstest]
#[case::short(Duration::from_millis(300))]
#[case::long(Duration::from_secs(3))]
#[tokio::test]
async fn a_request_that_no_host_received_is_reported_as_not_delivered(#[case] limit: Duration) {
    let (address, _reserved) = closed_address();
    assert_eq!(call(address, limit).await, ClientFault::NotDelivered);
}

/// Guards against reporting a change as not delivered when a host accepted the connection and did
/// not respond. It may have received the request, which only matters if that changes state.
#[rstest]
#[case::change(Request::Deregister { id: "up".into(), born_unix_ms: None }, ClientFault::Unknown)]
#[case::read(Request::Status, ClientFault::NotDelivered)]
#[tokio::test]
async fn a_change_without_a_response_has_an_unknown_outcome(
    #[case] request: Request,
    #[case] expected: ClientFault,
) {
    let (address, _silent) = unresponsive_host().await;
    let client = LeaderClient::new(vec![address]);
    let limit = Duration::from_millis(900);
    assert_eq!(client.call(&request, limit).await.expect_err("no response"), expected);
}

/// Guards against waiting for the caller's whole timeout after a host received a change and then
/// failed. The call must end soon after no leader can be found.
#[tokio::test]
async fn an_unknown_outcome_is_returned_once_no_leader_is_found() {
    let (address, silent) = unresponsive_host().await;
    let client = LeaderClient::new(vec![address]);
    let request = Request::Deregister { id: "up".into(), born_unix_ms: None };
    let begun = Instant::now();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(300)).await;
        silent.abort();
    });
    let fault = client.call(&request, Duration::from_secs(20)).await.expect_err("no host leads");
    assert_eq!(fault, ClientFault::Unknown);
    assert!(begun.elapsed() < Duration::from_secs(4), "{:?}", begun.elapsed());
}

/// Returns an address that refuses connections. No other test gets it while the socket is kept.
fn closed_address() -> (SocketAddr, TcpSocket) {
    let reserved = TcpSocket::new_v4().unwrap();
    reserved.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    (reserved.local_addr().unwrap(), reserved)
}

/// Starts a host that accepts connections and never responds, until it is aborted.
async fn unresponsive_host() -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let silent = tokio::spawn(async move {
        let mut open = Vec::new();
        loop {
            open.push(listener.accept().await.unwrap());
        }
    });
    (address, silent)
}
