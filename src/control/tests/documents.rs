//! Documents over RPC: concurrent changes, resends, restarts and replicas in other data centres.

use std::time::Duration;

use tokio::task::JoinSet;

use super::work::{ControlFolder, RunningControl, document, put};
use crate::rpc::{GetDocumentRequest, PutDocumentReply, PutDocumentRequest};

async fn send(control: &RunningControl, request: PutDocumentRequest) -> PutDocumentReply {
    let mut client = control.client.clone();
    client.put_document(request).await.expect("an answer to PutDocument").into_inner()
}

async fn version(control: &RunningControl) -> u64 {
    let mut client = control.client.clone();
    let request = GetDocumentRequest { service: "plan".into() };
    let reply = client.get_document(request).await.expect("an answer to GetDocument").into_inner();
    let version = reply.document.map_or(0, |document| document.version);
    assert_eq!(reply.history.len() as u64, version, "the history is complete");
    version
}

async fn wait_for_version(control: &RunningControl, wanted: u64) {
    for _ in 0..200 {
        if version(control).await == wanted {
            return;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("the document did not reach version {wanted}");
}

/// Guards against losing an acknowledged change in a restart, and accepting one of another team.
#[tokio::test]
async fn a_document_is_accepted_once_and_survives_a_restart() {
    let folder = ControlFolder::new();
    let control = folder.start().await;
    let first = put(0, "operation-1", document("plan", 4));
    let foreign = PutDocumentRequest { credential: "other".into(), ..first.clone() };
    assert_eq!(send(&control, foreign).await.code, "forbidden");
    assert_eq!(send(&control, put(0, "x", document("check", 4))).await.code, "invalid");
    let answer = send(&control, first.clone()).await;
    assert!(answer.accepted, "{}", answer.reason);
    control.stop().await;
    let control = folder.start().await;
    assert_eq!(send(&control, first).await, answer);
    let late = send(&control, put(0, "operation-2", document("plan", 5))).await;
    assert_eq!((late.code.as_str(), late.current.map(|c| c.version)), ("conflict", Some(1)));
    control.stop().await;
}

/// Guards against accepting two concurrent changes of one version, at once or after a resend.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_concurrent_changes_is_accepted() {
    let folder = ControlFolder::new();
    let control = folder.start().await;
    let requests: Vec<_> =
        (0..16).map(|n| put(0, &format!("operation-{n}"), document("plan", n))).collect();
    let mut tasks = JoinSet::new();
    for request in requests.clone() {
        let mut client = control.client.clone();
        tasks.spawn(async move { client.put_document(request).await.expect("an answer") });
    }
    let answers = tasks.join_all().await;
    assert_eq!(answers.iter().filter(|answer| answer.get_ref().accepted).count(), 1);
    let mut accepted = 0;
    for request in requests {
        let again = send(&control, request).await;
        accepted += u32::from(again.accepted);
        assert_eq!(again.current.expect("the winner").version, 1);
    }
    assert_eq!(accepted, 1);
    assert_eq!(version(&control).await, 1);
    control.stop().await;
}

/// Guards against a replica that misses changes, and a forwarded change that is made twice.
///
/// The second happens if the answer of the writer is lost and the operation is resent to it.
#[tokio::test]
async fn a_replica_follows_the_writer_and_forwards_changes() {
    let writer_folder = ControlFolder::new();
    let writer = writer_folder.start().await;
    let folder = ControlFolder { writer: Some(writer.address), ..ControlFolder::new() };
    let replica = folder.start().await;
    let first = put(0, "operation-1", document("plan", 4));
    let answer = send(&replica, first.clone()).await;
    assert!(answer.accepted, "{}", answer.reason);
    wait_for_version(&replica, 1).await;
    // The resend goes directly to the writer, as after a lost answer.
    assert_eq!(send(&writer, first).await, answer);
    replica.stop().await;
    for number in 2..=4 {
        let request = put(number - 1, &format!("operation-{number}"), document("plan", 5));
        assert!(send(&writer, request).await.accepted);
    }
    let replica = folder.start().await;
    assert_eq!(version(&replica).await, 1, "the replica keeps the document over a restart");
    wait_for_version(&replica, 4).await;
    writer.stop().await;
    let refused = send(&replica, put(4, "operation-5", document("plan", 6))).await;
    assert_eq!((refused.accepted, refused.code.as_str()), (false, "unavailable"));
    assert_eq!(version(&replica).await, 4);
    replica.stop().await;
}
