use rstest::rstest;
use serde_json::json;

use crate::host::{CLOSED_ADDRESS, Host, Reply};
use crate::work::WorkFolder;

const SEND: &[&str] =
    &["send", "plan", "--organisation", "vazov", "--body", "{}", "--key", "sofia/20261204-1"];
const IDEMPOTENT: &[&str] =
    &["send", "plan", "--organisation", "vazov", "--body", "{}", "--idempotent"];
const STATUS: &[&str] = &["status", "job-1"];
const CANCEL: &[&str] = &["cancel", "job-1"];
const SUBMIT: &[&str] = &["submit", "job.json"];
const SIGN_OFF: &[&str] = &["sign-off", "sofia/20261204-1", "--name", "Ana", "--reason", "checked"];

/// A call that the first host may have received is only repeated on a second one if that is safe.
#[rstest]
#[case::keyed_send_after_close(SEND, Reply::Close, 0, 1)]
#[case::idempotent_send_after_close(IDEMPOTENT, Reply::Close, 0, 1)]
#[case::status_after_close(STATUS, Reply::Close, 0, 1)]
#[case::status_after_truncation(STATUS, Reply::Truncated, 0, 1)]
#[case::status_after_no_answer(STATUS, Reply::NoAnswer, 0, 1)]
#[case::cancel_after_no_answer(CANCEL, Reply::NoAnswer, 0, 1)]
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
    let output = run(command, &first.address(), &second.address());
    assert_eq!(output.code, code, "{}{}", output.stdout, output.stderr);
    assert_eq!((first.received().len(), second.received().len()), (1, second_calls));
}

/// A host that refuses the connection received nothing, so each call may be sent to the next one.
#[rstest]
fn after_a_refused_connection(
    #[values(SEND, IDEMPOTENT, STATUS, CANCEL, SUBMIT, SIGN_OFF)] command: &[&str],
) {
    let second = Host::start([ok()]);
    let output = run(command, CLOSED_ADDRESS, &second.address());
    assert_eq!(output.code, 0, "{}{}", output.stdout, output.stderr);
    assert_eq!(second.received().len(), 1);
    assert!(
        output.stderr.contains("(127.0.0.1:1): the connection was refused;"),
        "{}",
        output.stderr
    );
}

/// Once a host may have received the request, a resend must not be marked as first submission.
#[test]
fn only_the_first_attempt_is_marked_as_first_submission() {
    let (first, second) = (Host::start([Reply::Close]), Host::start([ok()]));
    let command = [SEND, &["--first-submission"]].concat();
    let output = run(&command, &first.address(), &second.address());
    assert_eq!(output.code, 0, "{}{}", output.stdout, output.stderr);
    let name = "cactuslatch-first-submission";
    assert_eq!(first.received()[0].header(name), Some("true"));
    assert_eq!(second.received()[0].header(name), None);
}

/// The error must give the reason of each host, and say that the outcome is unknown.
#[test]
fn every_host_that_failed_is_named() {
    let second = Host::start([Reply::Close]);
    let output = run(SUBMIT, CLOSED_ADDRESS, &second.address());
    insta::assert_snapshot!(output.to_snapshot(&[&second]));
}

#[test]
fn hosts_from_the_environment_are_tried_in_order() {
    let host = Host::start([ok()]);
    let list = format!("{CLOSED_ADDRESS}, {}", host.address());
    let output = WorkFolder::new().run_with(STATUS, &[("CACTUSLATCH_ENTRY", &list)], "");
    assert_eq!(output.code, 0, "{}{}", output.stdout, output.stderr);
    let output = WorkFolder::new().run_with(STATUS, &[("CACTUSLATCH_ENTRY", "localhost:1")], "");
    insta::assert_snapshot!(output.to_snapshot(&[]));
    insta::assert_snapshot!(WorkFolder::new().run(STATUS).to_snapshot(&[]));
}

fn ok() -> Reply {
    Reply::Json(200, json!({"outcome": "done", "attempt": 1, "answer": "x"}))
}

fn run(command: &[&str], first: &str, second: &str) -> crate::work::CommandOutput {
    let work = WorkFolder::new();
    work.write("job.json", r#"{"name": "job-1", "organisation": "vazov", "service": "plan"}"#);
    work.run(&[command, &["--entry", first, "--entry", second, "--timeout-ms", "3000"]].concat())
}
