use rstest::rstest;
use serde_json::{Value, json};

use crate::host::{CLOSED, Host, Reply};
use crate::work::{Ran, Work};

const PLAN: &str = "kind: service\nservice: plan\ncompletion_weight: 1\nfragmentation_weight: 0\n\
    organisations:\n  - {name: vazov, concurrency_max: 1, requests_per_s: 1}\n";

fn put(host: &Host, text: &str, extra: &[&str]) -> Ran {
    let work = Work::new();
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
    let ran = put(&host, PLAN, &[]);
    insta::assert_snapshot!(ran.show(&[&host]));
    let seen = &host.seen()[0];
    assert_eq!(seen.line, "PUT /v1/documents/plan");
    assert_eq!(seen.header("authorization"), Some("Bearer 0123456789abcdef"));
    let body: Value = serde_json::from_str(&seen.body).expect("JSON");
    assert_eq!(body, json!({"base_version": 3, "operation": "op-1", "body_yaml": PLAN}));
}

/// The loser of a race must see what won, and must not take the change for accepted.
#[test]
fn a_conflict_shows_the_winner() {
    let reply = json!({"code": "conflict", "reason": "version 4 was accepted first",
        "current": {"version": 4}, "diff": "-completion_weight: 1\n+completion_weight: 2\n"});
    let host = Host::start([Reply::Json(409, reply)]);
    insta::assert_snapshot!(put(&host, PLAN, &[]).show(&[&host]));
}

/// A resend after a lost answer must carry the same operation, or it could count as a second change.
#[test]
fn a_lost_answer_is_unknown_and_names_the_operation() {
    let (first, second) = (Host::start([Reply::Close]), Host::start([Reply::Close]));
    let ran = put(&first, PLAN, &["--entry", &second.address()]);
    assert_eq!(ran.code, 2, "{}", ran.err);
    assert!(ran.err.contains("operation op-1"), "{}", ran.err);
    assert_eq!(first.seen()[0].body, second.seen()[0].body);
}

#[rstest]
#[case::faulty(PLAN.replace("completion_weight: 1", "completion_weight: -1"), "document:3: completion_weight: -1 is out of range")]
#[case::other_service(PLAN.replace("service: plan", "service: check"), "it belongs to check, not plan; nothing was sent")]
fn a_bad_document_is_not_sent(#[case] text: String, #[case] expected: &str) {
    let host = Host::start([Reply::Json(200, json!({}))]);
    let ran = put(&host, &text, &[]);
    assert_eq!(ran.code, 1);
    assert!(ran.err.contains(expected), "{}", ran.err);
    assert!(host.seen().is_empty(), "nothing may be sent");
}

/// A secret in the environment must not appear on the terminal.
#[test]
fn help_and_errors_keep_the_credential_out() {
    let env = [("CACTUSLATCH_CREDENTIAL", "0123456789abcdef")];
    let help = Work::new().run_with(&["documents", "put", "--help"], &env, "");
    assert!(!help.out.contains("0123456789abcdef"), "{}", help.out);
    let host = Host::start([Reply::Json(403, json!({"error": "not your document"}))]);
    let ran = put(&host, PLAN, &[]);
    assert_eq!(ran.code, 1);
    assert!(!ran.err.contains("0123456789abcdef"), "{}", ran.err);
}

#[test]
fn a_missing_credential_is_named() {
    let args = ["documents", "put", "plan", "-", "--base-version", "0", "--entry", CLOSED];
    let ran = Work::new().run_with(&args, &[], PLAN);
    assert_eq!(ran.code, 1);
    assert!(ran.err.contains("no credential is given; use --credential or"), "{}", ran.err);
}

#[test]
fn an_absent_operation_is_made_up_and_differs_each_time() {
    let host = Host::start([Reply::Json(200, json!({})), Reply::Json(200, json!({}))]);
    let work = Work::new();
    work.write("plan.yaml", PLAN);
    for _ in 0..2 {
        let address = host.address();
        let args =
            ["documents", "put", "plan", "plan.yaml", "--base-version", "0", "--entry", &address];
        work.run(&[&args[..], &["--credential", "0123456789abcdef"]].concat());
    }
    let seen = host.seen();
    assert_ne!(seen[0].body, seen[1].body);
}

/// The document alone goes to standard output, so that it can be saved and put again.
#[test]
fn get_prints_the_document_and_its_version_apart() {
    let document = json!({"service": "plan", "version": 3, "index": 9, "body_yaml": PLAN});
    let host = Host::start([Reply::Json(200, document)]);
    let ran = Work::new().run(&["documents", "get", "plan", "--entry", &host.address()]);
    assert_eq!((ran.out.as_str(), ran.err.as_str()), (PLAN, "version 3, index 9\n"));
}

#[test]
fn history_prints_each_change_with_its_diff() {
    let changes = json!({"history": [
        {"version": 1, "index": 2, "operation": "a", "diff": "", "accepted_at_ms": 0},
        {"version": 2, "index": 5, "operation": "b", "diff": "-x: 1\n+x: 2\n", "accepted_at_ms": 1_796_359_000_000_u64},
    ]});
    let host = Host::start([Reply::Json(200, changes)]);
    let ran = Work::new().run(&["documents", "history", "plan", "--entry", &host.address()]);
    insta::assert_snapshot!(ran.show(&[&host]));
}
