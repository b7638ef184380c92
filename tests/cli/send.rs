use rstest::rstest;
use serde_json::{Value, json};

use crate::host::{CLOSED_ADDRESS, Host, Reply};
use crate::work::{CommandOutput, WorkFolder};

const KEY: &str = "sofia/20261204-1";

fn send(host: &str, extra: &[&str]) -> CommandOutput {
    let mut args = vec!["send", "plan", "--organisation", "vazov", "--entry", host];
    args.extend(extra);
    WorkFolder::new().run_with(&args, &[], "from input")
}

fn done() -> Value {
    json!({"outcome": "done", "key": KEY, "attempt": 2, "answer": {"instalments": 12}})
}

/// A missing header would change how often the request may run, or for which organisation.
#[test]
fn headers_and_body_reach_the_host() {
    let host = Host::start([Reply::Json(200, done())]);
    let extra = ["--key", KEY, "--class", "batch", "--timeout-ms", "700", "--first-submission"];
    let output = send(&host.address(), &extra);
    insta::assert_snapshot!(output.to_snapshot(&[&host]));
    let request = &host.received()[0];
    assert_eq!(request.request_line, "POST /v1/services/plan/requests");
    assert_eq!(request.body, "from input");
    for (name, value) in [
        ("cactuslatch-organisation", "vazov"),
        ("cactuslatch-class", "batch"),
        ("cactuslatch-idempotent", "false"),
        ("cactuslatch-first-submission", "true"),
        ("cactuslatch-timeout-ms", "700"),
        ("idempotency-key", KEY),
    ] {
        assert_eq!(request.header(name), Some(value), "{name}");
    }
}

/// Scripts act on the exit code, so it must not report more than the answer proves.
#[rstest]
#[case::done(
    Reply::Json(200, done()),
    0,
    "done: sofia/20261204-1, attempt 2\n{\"instalments\":12}"
)]
#[case::text_answer(Reply::Json(200, json!({"outcome": "done", "key": KEY, "attempt": 1, "answer": "ok"})), 0, "attempt 1\nok")]
#[case::not_run(Reply::Json(503, json!({"outcome": "not_run", "key": KEY, "reason": "no_capacity: all busy"})), 1, "not run: sofia/20261204-1: no_capacity: all busy")]
#[case::unknown(Reply::Json(504, json!({"outcome": "unknown", "key": KEY, "reason": "upstream silent"})), 2, "unknown: sofia/20261204-1: upstream silent")]
#[case::unknown_before_dispatch(Reply::Json(429, json!({"outcome": "unknown", "key": KEY, "reason": "over limit"})), 2, "over limit")]
#[case::done_with_wrong_status(
    Reply::Json(504, done()),
    2,
    "status 504 without an outcome that fits it"
)]
#[case::not_run_with_success(Reply::Json(200, json!({"outcome": "not_run", "key": KEY})), 2, "status 200 without an outcome")]
#[case::other_key(Reply::Json(200, json!({"outcome": "done", "key": "sofia/20261204-2", "answer": 1})), 2, "with the answer to another key")]
#[case::no_outcome(Reply::Json(413, json!({"error": "the body is too large"})), 2, "the body is too large")]
#[case::not_json(Reply::Text(502, "<html>bad gateway</html>"), 2, "bad gateway")]
#[case::truncated(Reply::Truncated, 2, "resend with the same key")]
#[case::closed(Reply::Close, 2, "resend with the same key")]
fn outcomes_and_exit_codes(#[case] reply: Reply, #[case] code: i32, #[case] expected: &str) {
    let host = Host::start([reply]);
    let output = send(&host.address(), &["--key", KEY]);
    assert_eq!(output.code, code, "{}{}", output.stdout, output.stderr);
    assert!(output.stdout.contains(expected), "{}", output.stdout);
}

/// "Not run" covers all submissions of a key, so without `--first-submission` a refused connection
/// does not prove it: an earlier submission may have run.
#[rstest]
#[case::keyed(&["--key", KEY], 2, "unknown: sofia/20261204-1: send the request (127.0.0.1:1): the connection was refused; nothing was sent now; resend with the same key\n")]
#[case::first(&["--key", KEY, "--first-submission"], 1, "not run: sofia/20261204-1: send the request (127.0.0.1:1): the connection was refused\n")]
#[case::idempotent(&["--idempotent"], 1, "not run: -: send the request (127.0.0.1:1): the connection was refused\n")]
fn no_host_reached(#[case] extra: &[&str], #[case] code: i32, #[case] out: &str) {
    let output = send(CLOSED_ADDRESS, extra);
    assert_eq!((output.code, output.stdout.as_str()), (code, out));
}

/// The timeout must apply to a host that accepts the connection and never answers.
#[test]
fn a_host_that_never_answers_ends_as_unknown_in_time() {
    let host = Host::start([Reply::NoAnswer]);
    let started = std::time::Instant::now();
    let output = send(&host.address(), &["--key", KEY, "--timeout-ms", "100", "--json"]);
    assert_eq!(output.code, 2, "{}", output.stdout);
    assert!(started.elapsed().as_millis() < 5_000, "100 ms and 2 s of margin");
    let out: Value = serde_json::from_str(&output.stdout).expect("JSON");
    assert_eq!((&out["outcome"], &out["key"]), (&json!("unknown"), &json!(KEY)));
}

/// Invalid arguments must be refused before anything is sent.
#[rstest]
#[case::no_key(&[], "needs --key")]
#[case::no_date(&["--key", "sofia/1"], "key sofia/1 has no date of issue")]
#[case::bad_key(&["--key", "1"], "request key \"1\" is not valid")]
#[case::bad_class(&["--key", KEY, "--class", "urgent"], "use interactive or batch")]
#[case::bad_timeout(&["--key", KEY, "--timeout-ms", "0"], "use 1 to 3600000 ms")]
fn refused_arguments(#[case] extra: &[&str], #[case] expected: &str) {
    let host = Host::start([Reply::Json(200, done())]);
    let output = send(&host.address(), extra);
    assert_eq!(output.code, 1);
    assert!(output.stderr.contains(expected), "{}", output.stderr);
    assert!(host.received().is_empty(), "nothing may be sent");
}
