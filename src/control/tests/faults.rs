//! Crashes at every byte of the journal, a full disk, and queries to upstreams over HTTP.

use std::fs;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tonic::Code;

use super::work::{ControlFolder, RunningControl, begin, document, put, read_document, today};
use crate::Outcome;
use crate::control::core::{Core, compact};
use crate::control::fence::{FenceAnswer, FenceQuery, fence_over_http, parse_reply};
use crate::control::{BoundControl, put_document, requests, run};
use crate::http::{ServerLimits, serve, text};
use crate::journal::Journal;
use crate::journal::tests::failing_after;
use crate::rpc;

fn finish(id: &str, attempt: u32) -> rpc::FinishRequest {
    let outcome =
        Outcome::Done { answer: Bytes::from_static(b"posted"), attempt, upstream_status: 200 };
    rpc::FinishRequest {
        data_centre: "sofia".into(),
        id: id.into(),
        attempt,
        outcome: Some(outcome.into()),
        epoch: 1,
    }
}

/// Accepts all guarantees.
async fn fits(_: String, _: u64) -> Result<Result<(), String>, tonic::Status> {
    Ok(Ok(()))
}

/// Returns the part of the state that callers and operators can read.
async fn visible_state(core: &Core, ids: &[String]) -> Vec<String> {
    let mut seen = Vec::new();
    for id in ids {
        let request = rpc::LookupRequest { data_centre: "sofia".into(), id: id.clone() };
        let reply = requests::lookup(core, request).await.expect("an answer to Lookup");
        seen.push(format!("{} {:?}", reply.state, reply.outcome));
    }
    let request = rpc::GetDocumentRequest { service: "plan".into() };
    let reply = put_document::get(core, &request).await.expect("an answer to GetDocument");
    seen.push(format!("{reply:?}"));
    seen
}

/// Guards against losing an acknowledged transition in a crash during a write, or in a snapshot.
///
/// The journal is cut at every byte of its last two records and opened again.
#[tokio::test]
async fn a_crash_at_any_byte_keeps_what_was_answered() {
    let folder = ControlFolder::new();
    let ids = [today("1"), today("2")];
    let core = folder.core();
    let path = folder.settings().data_folder.join(format!("{:020}.log", 1));
    let size = || fs::metadata(&path).expect("the segment").len();
    let mut answered = vec![(0, visible_state(&core, &ids).await)];
    for step in 0..4 {
        match step {
            0 => _ = requests::begin(&core, begin(&ids[0])).await.expect("an answer"),
            1 => _ = requests::begin(&core, begin(&ids[1])).await.expect("an answer"),
            2 => {
                let put = put(0, "operation-1", document("plan", 4));
                assert!(
                    put_document::put_with_guarantees(&core, put, fits)
                        .await
                        .expect("an answer")
                        .accepted
                );
            }
            _ => _ = requests::finish(&core, finish(&ids[0], 1)).await.expect("an answer"),
        }
        answered.push((size(), visible_state(&core, &ids).await));
    }
    drop(core);
    let whole = fs::read(&path).expect("the segment");
    assert_eq!(whole.len() as u64, answered[4].0);
    let mut epoch = 1;
    let before_last_two = usize::try_from(answered[2].0).expect("a small file");
    for size in before_last_two..=whole.len() {
        fs::write(&path, &whole[..size]).expect("the segment is cut");
        let core = folder.core();
        let expected = answered.iter().rev().find(|(end, _)| *end <= size as u64);
        let (_, expected) = expected.expect("a state for each size");
        assert_eq!(visible_state(&core, &ids).await, *expected, "after {size} bytes");
        assert!(core.epoch > epoch, "the epoch only goes up");
        epoch = core.epoch;
    }
    let core = folder.core();
    core.journal.snapshot(compact);
    drop(core);
    assert!(!path.exists(), "the snapshot replaces the segment");
    assert_eq!(visible_state(&folder.core(), &ids).await, answered[4].1);
}

/// Guards against acknowledging a transition, or reporting health, after the disk is full.
#[tokio::test]
async fn a_full_disk_stops_durable_answers_until_restart() {
    let folder = ControlFolder::new();
    let id = today("1");
    let opened = Journal::open_with(&folder.settings().data_folder, failing_after(1, false));
    let (journal, records) = opened.expect("the journal opens");
    let core = Core::with_journal(
        folder.settings(),
        journal,
        &records,
        Arc::new(read_document),
        folder.fence(),
    );
    let mut control = RunningControl::start(core.expect("the data folder opens")).await;
    control.begin(&id).await;
    let lookup = rpc::LookupRequest { data_centre: "sofia".into(), id: id.clone() };
    let mut client = control.client.clone();
    let codes = [
        client.finish(finish(&id, 1)).await.map(drop),
        client.begin(begin(&today("2"))).await.map(drop),
        client.lookup(lookup).await.map(drop),
        client.put_document(put(0, "operation-1", document("plan", 4))).await.map(drop),
    ];
    for code in codes {
        assert_eq!(code.expect_err("nothing is durable").code(), Code::Unavailable);
    }
    assert!(control.admin("/health").await.starts_with("HTTP/1.1 503"));
    control.stop().await;
    let mut control = folder.start().await;
    // The unacknowledged outcome is lost, and the upstream does not answer the query about it.
    control.wait_for_state(&id, "unknown").await;
    control.stop().await;
}

/// Guards against decisions on a state in which an invariant was found violated.
///
/// A thread that panics under the lock poisons it, and the process must exit.
#[tokio::test]
async fn a_violated_invariant_ends_the_process() {
    let folder = ControlFolder::new();
    let bound = BoundControl::listen(folder.core()).await.expect("the addresses are free");
    let core = Arc::clone(&bound.core);
    let (_stop, stopped) = watch::channel(false);
    let served = tokio::spawn(bound.serve(stopped));
    // The process locks the state once when it starts to serve.
    for _ in 0..10 {
        tokio::task::yield_now().await;
    }
    let violation = std::thread::spawn(move || {
        let _state = core.lock();
        panic!("an invariant is violated");
    });
    assert!(violation.join().is_err());
    let fault = served.await.expect("the task ends").expect_err("the process ends");
    assert_eq!(fault.step(), "keep the state");
}

/// Guards against a start without a valid stored epoch, which would reuse epochs of earlier records.
#[tokio::test]
async fn a_missing_or_damaged_epoch_is_refused() {
    let folder = ControlFolder::new();
    let core = folder.core();
    requests::begin(&core, begin(&today("1"))).await.expect("an answer");
    drop(core);
    let path = folder.settings().data_folder.join("epoch");
    for damage in [None, Some("x")] {
        match damage {
            Some(content) => fs::write(&path, content).expect("the epoch is damaged"),
            None => fs::remove_file(&path).expect("the epoch is removed"),
        }
        let (_stop, stopped) = watch::channel(true);
        let fault = run(folder.settings(), stopped).await.expect_err("the start is refused");
        assert_eq!(fault.step(), "raise the epoch");
    }
}

/// Guards against misreading a response of an upstream to a query about an attempt.
#[rstest]
#[case(r#"{"state":"not_started"}"#, Ok(FenceAnswer::NotStarted))]
#[case(r#"{"state":"running","answer":null}"#, Ok(FenceAnswer::Running))]
#[case(r#"{"state":"done","answer":"ok"}"#, Ok(FenceAnswer::Done { answer: Bytes::from_static(b"\"ok\""), status: 200 }))]
#[case(r#"{"state":"done"}"#, Err(r#"state "done" needs an answer"#))]
#[case(
    r#"{"state":"gone"}"#,
    Err(
        "unknown variant `gone`, expected one of `not_started`, `running`, `done` at line 1 column 15"
    )
)]
#[case("", Err("EOF while parsing a value at line 1 column 0"))]
fn fence_replies_are_parsed(#[case] body: &str, #[case] expected: Result<FenceAnswer, &str>) {
    assert_eq!(parse_reply(body.as_bytes()), expected.map_err(str::to_owned));
}

/// Guards against a malformed query, and against an error status taken for an answer.
#[rstest]
#[case(200, Some(FenceAnswer::Running))]
#[case(500, None)]
#[tokio::test]
async fn fence_queries_are_sent_over_http(
    #[case] status: u16,
    #[case] expected: Option<FenceAnswer>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let limits = ServerLimits {
        head_timeout: Duration::from_secs(1),
        body_timeout: Duration::from_secs(1),
        body_limit_bytes: 1024,
        all_bodies_limit_bytes: 65_536,
        max_connections: 4,
    };
    let (stop, stopped) = watch::channel(false);
    let (sender, mut queries) = tokio::sync::mpsc::channel(1);
    let server = tokio::spawn(serve(listener, limits, stopped, move |request| {
        let line = format!("{} {} {:?}", request.method, request.uri, request.body);
        sender.try_send(line).expect("one query");
        async move { text(status, r#"{"state":"running"}"#) }
    }));
    let key = "sofia/20260302-17".parse().expect("a key");
    let answer = fence_over_http()(FenceQuery { address, key, attempt: 2, incarnation: 5 }).await;
    assert_eq!(answer.ok(), expected);
    assert_eq!(
        queries.recv().await.expect("a query"),
        r#"POST /v1/attempts/fence b"{\"key\":\"sofia/20260302-17\",\"attempt\":2,\"incarnation\":5}""#
    );
    stop.send_replace(true);
    server.await.expect("the server ends");
}
