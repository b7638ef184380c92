//! Tests of calls to the leader.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use tokio::net::TcpListener;

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

/// A host that takes the connection and says nothing may have received the call.
#[tokio::test]
async fn a_call_without_an_answer_may_have_been_delivered() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let silent = tokio::spawn(async move {
        let mut open = Vec::new();
        loop {
            open.push(listener.accept().await.unwrap());
        }
    });
    assert_eq!(call(address, Duration::from_millis(900)).await, ClientFault::Unknown);
    silent.abort();
}
