//! Documents over RPC: races, resends, restarts and copies in other data centres.

use std::time::Duration;

use tokio::task::JoinSet;

use super::work::{Running, Work, document, put};
use crate::rpc::{GetDocumentRequest, PutDocumentReply, PutDocumentRequest};

async fn send(control: &Running, request: PutDocumentRequest) -> PutDocumentReply {
    let mut client = control.client.clone();
    client.put_document(request).await.expect("an answer to PutDocument").into_inner()
}

async fn version(control: &Running) -> u64 {
    let mut client = control.client.clone();
    let request = GetDocumentRequest { service: "plan".into() };
    let reply = client.get_document(request).await.expect("an answer to GetDocument").into_inner();
    let version = reply.document.map_or(0, |document| document.version);
    assert_eq!(reply.history.len() as u64, version, "the history is whole");
    version
}

async fn reaches(control: &Running, wanted: u64) {
    for _ in 0..200 {
        if version(control).await == wanted {
            return;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("the document did not reach version {wanted}");
}

/// Guards against a document change that is answered but lost, or taken from another team.
#[tokio::test]
async fn a_document_is_accepted_once_and_survives_a_restart() {
    let work = Work::new();
    let control = work.start().await;
    let first = put(0, "operation-1", document("plan", 4));
    let foreign = PutDocumentRequest { credential: "other".into(), ..first.clone() };
    assert_eq!(send(&control, foreign).await.code, "forbidden");
    assert_eq!(send(&control, put(0, "x", document("check", 4))).await.code, "invalid");
    let answer = send(&control, first.clone()).await;
    assert!(answer.accepted, "{}", answer.reason);
    control.stop().await;
    let control = work.start().await;
    assert_eq!(send(&control, first).await, answer);
    let late = send(&control, put(0, "operation-2", document("plan", 5))).await;
    assert_eq!((late.code.as_str(), late.current.map(|c| c.version)), ("conflict", Some(1)));
    control.stop().await;
}

/// Guards against two operators who both hear that they won, or a loser who later wins.
#[tokio::test(flavor = "multi_thread")]
async fn of_racing_operators_one_wins() {
    let work = Work::new();
    let control = work.start().await;
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

/// Guards against a copy that misses changes, and against a change made twice after a lost answer.
#[tokio::test]
async fn a_copy_follows_the_writer_and_forwards_changes() {
    let writer_work = Work::new();
    let writer = writer_work.start().await;
    let work = Work { writer: Some(writer.address), ..Work::new() };
    let copy = work.start().await;
    let first = put(0, "operation-1", document("plan", 4));
    let answer = send(&copy, first.clone()).await;
    assert!(answer.accepted, "{}", answer.reason);
    reaches(&copy, 1).await;
    // The resend reaches the writer directly, as after an answer lost on the way back.
    assert_eq!(send(&writer, first).await, answer);
    copy.stop().await;
    for number in 2..=4 {
        let request = put(number - 1, &format!("operation-{number}"), document("plan", 5));
        assert!(send(&writer, request).await.accepted);
    }
    let copy = work.start().await;
    assert_eq!(version(&copy).await, 1, "the copy is kept over a restart");
    reaches(&copy, 4).await;
    writer.stop().await;
    let refused = send(&copy, put(4, "operation-5", document("plan", 6))).await;
    assert_eq!((refused.accepted, refused.code.as_str()), (false, "unavailable"));
    assert_eq!(version(&copy).await, 4);
    copy.stop().await;
}
