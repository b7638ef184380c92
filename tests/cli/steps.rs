use rstest::rstest;
use serde_json::json;

use crate::host::{Host, Reply};
use crate::work::Work;

const JOB: &str = "{payload: '{\"work_ms\": 100}', steps: [{tasks: 2, need: {accelerators: 1}}]}";
const ID: &str = "00000000000000a1";

#[test]
fn a_job_from_input_is_posted_as_it_is() {
    let host = Host::start([Reply::Json(202, json!({"state": "accepted"}))]);
    let at = host.address();
    let args = ["steps", "submit", "--host", &at, "--queue", "nightly", "--key", "k", ID, "-"];
    let ran = Work::new().run_with(&args, &[], JOB);
    assert_eq!((ran.code, &*ran.out), (0, "state: accepted\n"), "{}", ran.err);
    let seen = &host.seen()[0];
    assert_eq!(seen.line, format!("POST /v1/queues/nightly/jobs/{ID}"));
    assert_eq!(seen.body, JOB);
}

#[rstest]
#[case::status("status", "GET")]
#[case::cancel("cancel", "DELETE")]
fn calls_about_a_job(#[case] command: &str, #[case] method: &str) {
    let host = Host::start([Reply::Json(200, json!({"state": "active"}))]);
    let at = host.address();
    let ran = Work::new().run(&["steps", command, "--host", &at, "--queue", "nightly", ID]);
    assert_eq!((ran.code, &*ran.out), (0, "state: active\n"), "{}", ran.err);
    assert_eq!(host.seen()[0].line, format!("{method} /v1/queues/nightly/jobs/{ID}"));
}

/// What no host can accept is refused before anything is sent.
#[rstest]
#[case::job(&["submit", "--queue", "nightly", ID, "-"], "steps: [{tasks: 1, after: [0]}]")]
#[case::misspelt(&["submit", "--queue", "nightly", ID, "-"], "steps: [{task: 1}]")]
#[case::configuration(&["configure", "-"], "version: 1")]
fn files_with_faults_are_not_sent(#[case] action: &[&str], #[case] text: &str) {
    let host = Host::start([Reply::Json(200, json!({}))]);
    let at = host.address();
    let mut args = vec!["steps"];
    args.extend(action);
    args.extend(["--host", &at]);
    let ran = Work::new().run_with(&args, &[], text);
    assert_eq!(ran.code, 1, "{}", ran.err);
    assert!(host.seen().is_empty(), "nothing may be sent");
}
