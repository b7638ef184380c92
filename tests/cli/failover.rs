use rstest::rstest;
use serde_json::json;

use crate::host::{CLOSED, Host, Reply};
use crate::work::Work;

const SEND: &[&str] =
    &["send", "plan", "--organisation", "vazov", "--body", "{}", "--key", "sofia/20261204-1"];
const IDEMPOTENT: &[&str] =
    &["send", "plan", "--organisation", "vazov", "--body", "{}", "--idempotent"];
const STATUS: &[&str] = &["status", "job-1"];
const CANCEL: &[&str] = &["cancel", "job-1"];
const SUBMIT: &[&str] = &["submit", "job.json"];
const SIGN_OFF: &[&str] = &["sign-off", "sofia/20261204-1", "--name", "Ana", "--reason", "checked"];

/// A call that may have been received goes to a second host only if repeating it is safe.
#[rstest]
#[case::keyed_send_after_close(SEND, Reply::Close, 0, 1)]
#[case::idempotent_send_after_close(IDEMPOTENT, Reply::Close, 0, 1)]
#[case::status_after_close(STATUS, Reply::Close, 0, 1)]
#[case::status_after_truncation(STATUS, Reply::Truncated, 0, 1)]
#[case::status_after_silence(STATUS, Reply::Silent, 0, 1)]
#[case::cancel_after_silence(CANCEL, Reply::Silent, 0, 1)]
#[case::cancel_after_close(CANCEL, Reply::Close, 0, 1)]
#[case::submit_after_close(SUBMIT, Reply::Close, 2, 0)]
#[case::submit_after_truncation(SUBMIT, Reply::Truncated, 2, 0)]
#[case::sign_off_after_close(SIGN_OFF, Reply::Close, 2, 0)]
#[case::sign_off_after_gateway_timeout(SIGN_OFF, Reply::Json(504, json!({"error": "late"})), 2, 0)]
#[case::an_answer_is_final(STATUS, Reply::Json(503, json!({"error": "draining"})), 1, 0)]
fn after_the_first_host_received_it(
    #[case] command: &[&str],
    #[case] first: Reply,
    #[case] code: i32,
    #[case] second_calls: usize,
) {
    let (first, second) = (Host::start([first]), Host::start([ok()]));
    let ran = run(command, &first.address(), &second.address());
    assert_eq!(ran.code, code, "{}{}", ran.out, ran.err);
    assert_eq!((first.seen().len(), second.seen().len()), (1, second_calls));
}

/// Nothing was sent to a host that refuses connections, so any call may move on.
#[rstest]
fn after_a_refused_connection(
    #[values(SEND, IDEMPOTENT, STATUS, CANCEL, SUBMIT, SIGN_OFF)] command: &[&str],
) {
    let second = Host::start([ok()]);
    let ran = run(command, CLOSED, &second.address());
    assert_eq!(ran.code, 0, "{}{}", ran.out, ran.err);
    assert_eq!(second.seen().len(), 1);
    assert!(ran.err.contains("(127.0.0.1:1): the connection was refused;"), "{}", ran.err);
}

/// After a first host may have received the request, it is no longer the first submission.
#[test]
fn first_submission_is_claimed_once() {
    let (first, second) = (Host::start([Reply::Close]), Host::start([ok()]));
    let command = [SEND, &["--first-submission"]].concat();
    let ran = run(&command, &first.address(), &second.address());
    assert_eq!(ran.code, 0, "{}{}", ran.out, ran.err);
    let claim = "cactuslatch-first-submission";
    assert_eq!(first.seen()[0].header(claim), Some("true"));
    assert_eq!(second.seen()[0].header(claim), None);
}

/// An operator needs the reason of every host, and the effect must not be called certain.
#[test]
fn every_host_that_failed_is_named() {
    let second = Host::start([Reply::Close]);
    let ran = run(SUBMIT, CLOSED, &second.address());
    insta::assert_snapshot!(ran.show(&[&second]));
}

#[test]
fn hosts_from_the_environment_are_tried_in_order() {
    let host = Host::start([ok()]);
    let list = format!("{CLOSED}, {}", host.address());
    let ran = Work::new().run_with(STATUS, &[("CACTUSLATCH_ENTRY", &list)], "");
    assert_eq!(ran.code, 0, "{}{}", ran.out, ran.err);
    let ran = Work::new().run_with(STATUS, &[("CACTUSLATCH_ENTRY", "localhost:1")], "");
    insta::assert_snapshot!(ran.show(&[]));
    insta::assert_snapshot!(Work::new().run(STATUS).show(&[]));
}

fn ok() -> Reply {
    Reply::Json(200, json!({"outcome": "done", "attempt": 1, "answer": "x"}))
}

fn run(command: &[&str], first: &str, second: &str) -> crate::work::Ran {
    let work = Work::new();
    work.write("job.json", r#"{"name": "job-1", "organisation": "vazov", "service": "plan"}"#);
    work.run(&[command, &["--entry", first, "--entry", second, "--timeout-ms", "3000"]].concat())
}
