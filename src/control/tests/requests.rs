//! At-most-once records over RPC, including restarts.

use bytes::Bytes;
use insta::assert_snapshot;
use tokio::task::JoinSet;
use tonic::Code;

use super::work::{ControlFolder, begin, today};
use crate::Outcome;
use crate::rpc::begin_reply::Verdict;
use crate::rpc::{FinishRequest, SignOffRequest};

fn done(attempt: u32) -> Outcome {
    Outcome::Done { answer: Bytes::from_static(b"posted\xff"), attempt, upstream_status: 200 }
}

/// Guards against a second run, or a different answer, after a resend or a restart.
#[tokio::test]
async fn a_resend_gets_the_first_answer_also_after_a_restart() {
    let folder = ControlFolder::new();
    let id = today("1");
    let mut control = folder.start().await;
    assert_eq!(control.begin(&id).await, Verdict::ProceedAttempt(1));
    assert_eq!(control.begin(&id).await, Verdict::InFlight(true));
    control.finish(&id, 1, done(1)).await;
    let first = control.begin(&id).await;
    assert_eq!(first, Verdict::Ended(done(1).into()));
    control.stop().await;
    let mut control = folder.start().await;
    assert_eq!(control.begin(&id).await, first);
    let reply = control.client.begin(begin(&id)).await.expect("an answer").into_inner();
    assert_eq!(reply.epoch, 2);
    control.stop().await;
}

/// Guards against a re-run of a request with an unknown outcome without a recorded sign-off.
#[tokio::test]
async fn an_unknown_outcome_runs_again_once_for_each_sign_off() {
    let folder = ControlFolder::new();
    let id = today("2");
    let mut control = folder.start().await;
    control.begin(&id).await;
    control.stop().await;
    let mut control = folder.start().await;
    control.wait_for_state(&id, "unknown").await;
    assert!(matches!(control.begin(&id).await, Verdict::Ended(_)));
    let sign_off = SignOffRequest {
        data_centre: "sofia".into(),
        id: id.clone(),
        name: "Dana".into(),
        reason: "the ledger shows no posting".into(),
    };
    let reply = control.client.sign_off(sign_off).await.expect("an answer").into_inner();
    assert!(reply.accepted, "{}", reply.refused);
    assert_eq!(control.begin(&id).await, Verdict::ProceedAttempt(2));
    control.finish(&id, 2, Outcome::Unknown { detail: "no answer".into() }).await;
    assert!(matches!(control.begin(&id).await, Verdict::Ended(_)));
    control.stop().await;
}

/// Guards against two concurrent submissions of one request that may both run.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_concurrent_submissions_proceeds() {
    let folder = ControlFolder::new();
    let id = today("4");
    let control = folder.start().await;
    let mut tasks = JoinSet::new();
    for _ in 0..32 {
        let (mut client, request) = (control.client.clone(), begin(&id));
        tasks.spawn(async move { client.begin(request).await.expect("an answer").into_inner() });
    }
    let verdicts = tasks.join_all().await.into_iter().filter_map(|reply| reply.verdict);
    let (proceed, others): (Vec<_>, Vec<_>) =
        verdicts.partition(|verdict| *verdict == Verdict::ProceedAttempt(1));
    assert_eq!(proceed.len(), 1);
    assert!(others.iter().all(|verdict| *verdict == Verdict::InFlight(true)));
    control.stop().await;
}

/// Guards against accepting invalid requests: foreign keys or hosts, expired keys, later epochs.
#[tokio::test]
async fn invalid_requests_are_refused() {
    let folder = ControlFolder::new();
    let id = today("5");
    let mut control = folder.start().await;
    let mut foreign_host = begin(&id);
    foreign_host.host = "entry-9".into();
    let mut foreign_key = begin(&id);
    foreign_key.identity.as_mut().expect("an identity").data_centre = "varna".into();
    let mut no_identity = begin(&id);
    no_identity.identity = None;
    let mut expired = begin("20200101-1");
    expired.replaces_attempt = 0;
    let mut refusals = Vec::new();
    for request in [foreign_host, foreign_key, no_identity, expired] {
        let reply = control.client.begin(request).await.expect("an answer").into_inner();
        refusals.push(format!("{:?}", reply.verdict.expect("a verdict")));
    }
    assert_snapshot!(refusals.join("\n"), @r#"
    Refused("bad_request: entry-9 is not a configured entry host")
    Refused("bad_request: data centre varna owns the key, not sofia")
    Refused("bad_request: the identity is missing")
    Refused("key_expired: the key's date is more than 7 days old or more than 1 day ahead")
    "#);
    let finish = FinishRequest {
        data_centre: "sofia".into(),
        id,
        attempt: 1,
        outcome: Some(done(1).into()),
        epoch: 2,
    };
    let status = control.client.finish(finish).await.expect_err("a later epoch");
    assert_eq!(status.code(), Code::FailedPrecondition);
    control.stop().await;
}
