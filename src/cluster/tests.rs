//! Tests of calls to the leader.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::{ClientFault, LeaderClient, Request};

async fn call(address: SocketAddr, limit: Duration) -> ClientFault {
    let client = LeaderClient::new(vec![address]);
    client.call(&Request::Status, limit).await.expect_err("nobody leads there")
}

/// A refusal says that nothing was accepted, so it must be told apart from a call whose outcome is
/// not known; with a short time limit, too.
#[rstest]
#[case::short(Duration::from_millis(300))]
#[case::long(Duration::from_secs(3))]
#[tokio::test]
async fn a_call_that_reached_nobody_was_not_delivered(#[case] limit: Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(call(address, limit).await, ClientFault::NotDelivered);
}

/// A host that takes the connection and says nothing may have received the call. That matters only
/// if the call changes something.
#[rstest]
#[case::change(Request::Deregister { id: "up".into(), born_unix_ms: None }, ClientFault::Unknown)]
#[case::read(Request::Status, ClientFault::NotDelivered)]
#[tokio::test]
async fn a_change_without_an_answer_may_have_been_delivered(
    #[case] request: Request,
    #[case] expected: ClientFault,
) {
    let (address, _silent) = silent_host().await;
    let client = LeaderClient::new(vec![address]);
    let limit = Duration::from_millis(900);
    assert_eq!(client.call(&request, limit).await.expect_err("silence"), expected);
}

/// A change that reached a host which then lost power is given up once no leader shows, and not
/// held until its caller's time is over.
#[tokio::test]
async fn an_unknown_outcome_is_told_when_no_leader_shows() {
    let (address, silent) = silent_host().await;
    let client = LeaderClient::new(vec![address]);
    let request = Request::Deregister { id: "up".into(), born_unix_ms: None };
    let begun = Instant::now();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(300)).await;
        silent.abort();
    });
    let fault = client.call(&request, Duration::from_secs(20)).await.expect_err("nobody leads");
    assert_eq!(fault, ClientFault::Unknown);
    assert!(begun.elapsed() < Duration::from_secs(4), "{:?}", begun.elapsed());
}

/// Starts a host that takes connections and says nothing, until it is aborted.
async fn silent_host() -> (SocketAddr, JoinHandle<()>) {
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
