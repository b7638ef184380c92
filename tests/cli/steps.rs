use rstest::rstest;
use serde_json::json;

use crate::host::{Host, Reply};
use crate::work::WorkFolder;

const JOB: &str = "{payload: '{\"work_ms\": 100}', steps: [{tasks: 2, need: {accelerators: 1}}]}";
const ID: &str = "00000000000000a1";

#[test]
fn a_job_from_input_is_posted_unchanged() {
    let host = Host::start([Reply::Json(202, json!({"state": "accepted"}))]);
    let address = host.address();
    let args = ["steps", "submit", "--host", &address, "--queue", "nightly", "--key", "k", ID, "-"];
    let output = WorkFolder::new().run_with(&args, &[], JOB);
    assert_eq!((output.code, &*output.stdout), (0, "state: accepted\n"), "{}", output.stderr);
    let request = &host.received()[0];
    assert_eq!(request.request_line, format!("POST /v1/queues/nightly/jobs/{ID}"));
    assert_eq!(request.body, JOB);
}

#[rstest]
#[case::status("status", "GET")]
#[case::cancel("cancel", "DELETE")]
fn status_and_cancel_of_a_job(#[case] command: &str, #[case] method: &str) {
    let host = Host::start([Reply::Json(200, json!({"state": "active"}))]);
    let address = host.address();
    let output =
        WorkFolder::new().run(&["steps", command, "--host", &address, "--queue", "nightly", ID]);
    assert_eq!((output.code, &*output.stdout), (0, "state: active\n"), "{}", output.stderr);
    assert_eq!(host.received()[0].request_line, format!("{method} /v1/queues/nightly/jobs/{ID}"));
}

/// Files that no host would accept must be refused before anything is sent.
#[rstest]
#[case::job(&["submit", "--queue", "nightly", ID, "-"], "steps: [{tasks: 1, after: [0]}]")]
#[case::misspelt(&["submit", "--queue", "nightly", ID, "-"], "steps: [{task: 1}]")]
#[case::configuration(&["configure", "-"], "version: 1")]
fn files_with_faults_are_not_sent(#[case] action: &[&str], #[case] text: &str) {
    let host = Host::start([Reply::Json(200, json!({}))]);
    let address = host.address();
    let mut args = vec!["steps"];
    args.extend(action);
    args.extend(["--host", &address]);
    let output = WorkFolder::new().run_with(&args, &[], text);
    assert_eq!(output.code, 1, "{}", output.stderr);
    assert!(host.received().is_empty(), "nothing may be sent");
}
