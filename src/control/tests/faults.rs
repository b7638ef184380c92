//! Crashes at every byte of the journal, a full disk, and upstreams asked over HTTP.

use std::fs;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tonic::Code;

use super::work::{Running, Work, begin, document, put, read_document, today};
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

/// Finds that every guarantee fits.
async fn fits(_: String, _: u64) -> Result<Result<(), String>, tonic::Status> {
    Ok(Ok(()))
}

/// What callers and operators can see of the state.
async fn visible(core: &Core, ids: &[String]) -> Vec<String> {
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

/// Guards against a crash at any point of a write, or a snapshot, that takes back what was answered.
#[tokio::test]
async fn a_crash_at_any_byte_keeps_what_was_answered() {
    let work = Work::new();
    let ids = [today("1"), today("2")];
    let core = work.core();
    let path = work.settings().data_folder.join(format!("{:020}.log", 1));
    let size = || fs::metadata(&path).expect("the segment").len();
    let mut answered = vec![(0, visible(&core, &ids).await)];
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
        answered.push((size(), visible(&core, &ids).await));
    }
    drop(core);
    let whole = fs::read(&path).expect("the segment");
    assert_eq!(whole.len() as u64, answered[4].0);
    let mut epoch = 1;
    let before_last_two = usize::try_from(answered[2].0).expect("a small file");
    for size in before_last_two..=whole.len() {
        fs::write(&path, &whole[..size]).expect("the segment is cut");
        let core = work.core();
        let expected = answered.iter().rev().find(|(end, _)| *end <= size as u64);
        let (_, expected) = expected.expect("a state for each size");
        assert_eq!(visible(&core, &ids).await, *expected, "after {size} bytes");
        assert!(core.epoch > epoch, "the epoch only goes up");
        epoch = core.epoch;
    }
    let core = work.core();
    core.journal.snapshot(compact);
    drop(core);
    assert!(!path.exists(), "the snapshot replaces the segment");
    assert_eq!(visible(&work.core(), &ids).await, answered[4].1);
}

/// Guards against acknowledging anything after the disk is full, or hiding the fault.
#[tokio::test]
async fn a_full_disk_stops_durable_answers_until_restart() {
    let work = Work::new();
    let id = today("1");
    let opened = Journal::open_with(&work.settings().data_folder, failing_after(1, false));
    let (journal, records) = opened.expect("the journal opens");
    let core = Core::with_journal(
        work.settings(),
        journal,
        &records,
        Arc::new(read_document),
        work.fence(),
    );
    let mut control = Running::start(core.expect("the data folder opens")).await;
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
    let mut control = work.start().await;
    // The unacknowledged outcome is lost; the upstream does not answer about the attempt.
    control.reaches(&id, "unknown").await;
    control.stop().await;
}

/// Guards against decisions on a state in which an invariant was found broken.
#[tokio::test]
async fn a_broken_invariant_ends_the_process() {
    let work = Work::new();
    let bound = BoundControl::listen(work.core()).await.expect("the addresses are free");
    let core = Arc::clone(&bound.core);
    let (_stop, stopped) = watch::channel(false);
    let served = tokio::spawn(bound.serve(stopped));
    // The process reads the state once when it starts to serve.
    for _ in 0..10 {
        tokio::task::yield_now().await;
    }
    let broken = std::thread::spawn(move || {
        let _state = core.lock();
        panic!("an invariant is broken");
    });
    assert!(broken.join().is_err());
    let fault = served.await.expect("the task ends").expect_err("the process ends");
    assert_eq!(fault.step(), "keep the state");
}

/// Guards against a start that would forget records or lower the epoch.
#[tokio::test]
async fn a_missing_or_damaged_epoch_is_refused() {
    let work = Work::new();
    let core = work.core();
    requests::begin(&core, begin(&today("1"))).await.expect("an answer");
    drop(core);
    let path = work.settings().data_folder.join("epoch");
    for damage in [None, Some("x")] {
        match damage {
            Some(content) => fs::write(&path, content).expect("the epoch is damaged"),
            None => fs::remove_file(&path).expect("the epoch is removed"),
        }
        let (_stop, stopped) = watch::channel(true);
        let fault = run(work.settings(), stopped).await.expect_err("the start is refused");
        assert_eq!(fault.step(), "raise the epoch");
    }
}

/// Guards against answers of upstreams that are taken for something else.
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
fn answers_about_attempts(#[case] body: &str, #[case] expected: Result<FenceAnswer, &str>) {
    assert_eq!(parse_reply(body.as_bytes()), expected.map_err(str::to_owned));
}

/// Guards against a question that the upstream cannot read, and a fault taken for an answer.
#[rstest]
#[case(200, Some(FenceAnswer::Running))]
#[case(500, None)]
#[tokio::test]
async fn an_upstream_is_asked_over_http(
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
    let (asked, mut question) = tokio::sync::mpsc::channel(1);
    let server = tokio::spawn(serve(listener, limits, stopped, move |request| {
        let line = format!("{} {} {:?}", request.method, request.uri, request.body);
        asked.try_send(line).expect("one question");
        async move { text(status, r#"{"state":"running"}"#) }
    }));
    let key = "sofia/20260302-17".parse().expect("a key");
    let answer = fence_over_http()(FenceQuery { address, key, attempt: 2, incarnation: 5 }).await;
    assert_eq!(answer.ok(), expected);
    assert_eq!(
        question.recv().await.expect("a question"),
        r#"POST /v1/attempts/fence b"{\"key\":\"sofia/20260302-17\",\"attempt\":2,\"incarnation\":5}""#
    );
    stop.send_replace(true);
    server.await.expect("the server ends");
}
