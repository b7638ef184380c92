use rstest::rstest;
use serde_json::{Value, json};

use crate::host::{CLOSED_ADDRESS, Host, Reply};
use crate::work::WorkFolder;

const KEY: &str = "sofia/20261204-1";

/// A missing record must not be reported as "not run": a submission may still be in flight.
#[rstest]
#[case::done(200, json!({"state": "done", "attempt": 1}), 0)]
#[case::outcome(200, json!({"outcome": "not_run", "reason": "cancelled"}), 1)]
#[case::in_flight(200, json!({"state": "in_flight"}), 2)]
#[case::absent(404, json!({"state": "absent"}), 2)]
#[case::expired(410, json!({"state": "expired"}), 2)]
#[case::unknown(200, json!({"state": "unknown"}), 2)]
#[case::other(200, json!({"state": "melted"}), 1)]
#[case::refused(503, json!({"error": "control cannot be reached"}), 1)]
fn look_up(#[case] status: u16, #[case] reply: Value, #[case] code: i32) {
    let host = Host::start([Reply::Json(status, reply)]);
    let output = WorkFolder::new().run(&["request", KEY, "--entry", &host.address()]);
    assert_eq!(output.code, code, "{}{}", output.stdout, output.stderr);
    assert_eq!(host.received()[0].request_line, "GET /v1/requests/sofia/20261204-1");
}

#[test]
fn sign_off_carries_name_and_reason() {
    let host = Host::start([Reply::Json(200, json!({"accepted": true}))]);
    let args = ["sign-off", KEY, "--name", "Ana", "--reason", "not in the ledger", "--entry"];
    let output = WorkFolder::new().run(&[&args[..], &[&host.address()]].concat());
    insta::assert_snapshot!(output.to_snapshot(&[&host]));
    let request = &host.received()[0];
    assert_eq!(request.request_line, "POST /v1/requests/sofia/20261204-1/sign-off");
    assert_eq!(request.body, r#"{"name":"Ana","reason":"not in the ledger"}"#);
}

/// A sign-off that the body reports as refused must fail, whatever the status.
#[rstest]
#[case::conflict(409, json!({"error": "the request is done"}))]
#[case::not_accepted(200, json!({"accepted": false, "refused": "the request is done"}))]
fn sign_off_refused(#[case] status: u16, #[case] reply: Value) {
    let host = Host::start([Reply::Json(status, reply)]);
    let args = ["sign-off", KEY, "--name", "Ana", "--reason", "checked", "--entry"];
    let output = WorkFolder::new().run(&[&args[..], &[&host.address()]].concat());
    assert_eq!(output.code, 1, "{}{}", output.stdout, output.stderr);
    assert!(output.stderr.contains("the request is done"), "{}", output.stderr);
}

#[test]
fn sign_off_without_a_reason_is_refused() {
    let output = WorkFolder::new().run(&["sign-off", KEY, "--name", "Ana", "--reason", " "]);
    assert_eq!(output.code, 1);
    assert!(output.stderr.contains("the reason must not be blank"), "{}", output.stderr);
}

#[test]
fn upstreams_are_a_table() {
    let list = json!({"upstreams": [
        {"name": "w-1", "address": "127.0.0.1:9001", "rack": "r1", "rack_position": 0,
         "accelerators": 8, "slots": 8, "connections": 64, "leaving": false},
        {"name": "worker-22", "address": "127.0.0.1:9022", "rack": "r1"},
    ]});
    let host = Host::start([Reply::Json(200, list), Reply::Json(200, json!([]))]);
    let args = ["upstreams", "--entry", &host.address()];
    insta::assert_snapshot!(WorkFolder::new().run(&args).to_snapshot(&[&host]));
    assert_eq!(WorkFolder::new().run(&args).stdout, "no upstream has announced itself\n");
}

/// The health check of a draining host must fail, as it does for the load balancer.
#[test]
fn health_distinguishes_healthy_from_draining() {
    let healthy = Reply::Json(200, json!({"status": "ok", "documents_age_ms": 120}));
    let host = Host::start([healthy, Reply::Text(503, "draining")]);
    let args = ["health", "--admin", &host.address()];
    insta::assert_snapshot!(WorkFolder::new().run(&args).to_snapshot(&[&host]));
    insta::assert_snapshot!(WorkFolder::new().run(&args).to_snapshot(&[&host]));
    insta::assert_snapshot!(
        WorkFolder::new().run(&["health", "--admin", CLOSED_ADDRESS]).to_snapshot(&[])
    );
}

#[rstest]
#[case::accepted(Reply::Text(202, ""), 0)]
#[case::refused(Reply::Text(404, ""), 1)]
#[case::lost(Reply::Close, 2)]
fn drain(#[case] reply: Reply, #[case] code: i32) {
    let host = Host::start([reply]);
    let output = WorkFolder::new().run(&["drain", "--admin", &host.address()]);
    assert_eq!(output.code, code, "{}{}", output.stdout, output.stderr);
    assert_eq!(host.received()[0].request_line, "POST /drain");
}
