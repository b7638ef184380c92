use rstest::rstest;
use serde_json::{Value, json};

use crate::host::{CLOSED_ADDRESS, Host, Reply};
use crate::work::{CommandOutput, WorkFolder};

const PLAN: &str = "kind: service\nservice: plan\ncompletion_weight: 1\nfragmentation_weight: 0\n\
    organisations:\n  - {name: vazov, concurrency_max: 1, requests_per_s: 1}\n";

fn put(host: &Host, text: &str, extra: &[&str]) -> CommandOutput {
    let work = WorkFolder::new();
    work.write("plan.yaml", text);
    let mut args = vec!["documents", "put", "plan", "plan.yaml", "--base-version", "3"];
    let address = host.address();
    args.extend(["--operation", "op-1", "--entry", &address]);
    args.extend(extra);
    work.run_with(&args, &[("CACTUSLATCH_CREDENTIAL", "0123456789abcdef")], "")
}

#[test]
fn put_sends_base_version_operation_and_credential() {
    let host =
        Host::start([Reply::Json(200, json!({"accepted": true, "current": {"version": 4}}))]);
    let output = put(&host, PLAN, &[]);
    insta::assert_snapshot!(output.to_snapshot(&[&host]));
    let request = &host.received()[0];
    assert_eq!(request.request_line, "PUT /v1/documents/plan");
    assert_eq!(request.header("authorization"), Some("Bearer 0123456789abcdef"));
    let body: Value = serde_json::from_str(&request.body).expect("JSON");
    assert_eq!(body, json!({"base_version": 3, "operation": "op-1", "body_yaml": PLAN}));
}

/// A change that conflicts with an earlier one must not be reported as accepted, and the accepted
/// one must be shown.
#[test]
fn a_conflict_shows_the_winner() {
    let reply = json!({"code": "conflict", "reason": "version 4 was accepted first",
        "current": {"version": 4}, "diff": "-completion_weight: 1\n+completion_weight: 2\n"});
    let host = Host::start([Reply::Json(409, reply)]);
    insta::assert_snapshot!(put(&host, PLAN, &[]).to_snapshot(&[&host]));
}

/// A resend after a lost answer must carry the same operation, or the change could be made twice.
#[test]
fn a_lost_answer_is_unknown_and_names_the_operation() {
    let (first, second) = (Host::start([Reply::Close]), Host::start([Reply::Close]));
    let output = put(&first, PLAN, &["--entry", &second.address()]);
    assert_eq!(output.code, 2, "{}", output.stderr);
    assert!(output.stderr.contains("operation op-1"), "{}", output.stderr);
    assert_eq!(first.received()[0].body, second.received()[0].body);
}

#[rstest]
#[case::faulty(PLAN.replace("completion_weight: 1", "completion_weight: -1"), "document:3: completion_weight: -1 is out of range")]
#[case::other_service(PLAN.replace("service: plan", "service: check"), "it belongs to check, not plan; nothing was sent")]
fn a_bad_document_is_not_sent(#[case] text: String, #[case] expected: &str) {
    let host = Host::start([Reply::Json(200, json!({}))]);
    let output = put(&host, &text, &[]);
    assert_eq!(output.code, 1);
    assert!(output.stderr.contains(expected), "{}", output.stderr);
    assert!(host.received().is_empty(), "nothing may be sent");
}

/// A credential from the environment must not be printed.
#[test]
fn help_and_errors_do_not_print_the_credential() {
    let env = [("CACTUSLATCH_CREDENTIAL", "0123456789abcdef")];
    let help = WorkFolder::new().run_with(&["documents", "put", "--help"], &env, "");
    assert!(!help.stdout.contains("0123456789abcdef"), "{}", help.stdout);
    let host = Host::start([Reply::Json(403, json!({"error": "not your document"}))]);
    let output = put(&host, PLAN, &[]);
    assert_eq!(output.code, 1);
    assert!(!output.stderr.contains("0123456789abcdef"), "{}", output.stderr);
}

#[test]
fn a_missing_credential_is_named() {
    let args = ["documents", "put", "plan", "-", "--base-version", "0", "--entry", CLOSED_ADDRESS];
    let output = WorkFolder::new().run_with(&args, &[], PLAN);
    assert_eq!(output.code, 1);
    assert!(
        output.stderr.contains("no credential is given; use --credential or"),
        "{}",
        output.stderr
    );
}

#[test]
fn each_change_without_an_operation_gets_a_new_one() {
    let host = Host::start([Reply::Json(200, json!({})), Reply::Json(200, json!({}))]);
    let work = WorkFolder::new();
    work.write("plan.yaml", PLAN);
    for _ in 0..2 {
        let address = host.address();
        let args =
            ["documents", "put", "plan", "plan.yaml", "--base-version", "0", "--entry", &address];
        work.run(&[&args[..], &["--credential", "0123456789abcdef"]].concat());
    }
    let requests = host.received();
    assert_ne!(requests[0].body, requests[1].body);
}

/// Standard output must contain only the document, so that it can be saved and put again.
#[test]
fn get_prints_the_document_to_stdout_and_its_version_to_stderr() {
    let document = json!({"service": "plan", "version": 3, "index": 9, "body_yaml": PLAN});
    let host = Host::start([Reply::Json(200, document)]);
    let output = WorkFolder::new().run(&["documents", "get", "plan", "--entry", &host.address()]);
    assert_eq!((output.stdout.as_str(), output.stderr.as_str()), (PLAN, "version 3, index 9\n"));
}

#[test]
fn history_prints_each_change_with_its_diff() {
    let changes = json!({"history": [
        {"version": 1, "index": 2, "operation": "a", "diff": "", "accepted_at_ms": 0},
        {"version": 2, "index": 5, "operation": "b", "diff": "-x: 1\n+x: 2\n", "accepted_at_ms": 1_796_359_000_000_u64},
    ]});
    let host = Host::start([Reply::Json(200, changes)]);
    let output =
        WorkFolder::new().run(&["documents", "history", "plan", "--entry", &host.address()]);
    insta::assert_snapshot!(output.to_snapshot(&[&host]));
}
