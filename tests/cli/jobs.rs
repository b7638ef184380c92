use rstest::rstest;
use serde_json::json;

use crate::host::{Host, Reply};
use crate::work::WorkFolder;

const JOB: &str =
    r#"{"name": "job-1", "organisation": "vazov", "service": "plan", "shape": "night"}"#;

#[test]
fn a_job_from_input_is_posted_whole() {
    let host = Host::start([Reply::Json(200, json!({"state": "waiting"}))]);
    let output = WorkFolder::new().run_with(&["submit", "-", "--entry", &host.address()], &[], JOB);
    insta::assert_snapshot!(output.to_snapshot(&[&host]));
    let request = &host.received()[0];
    assert_eq!(request.request_line, "POST /v1/jobs");
    let sent: serde_json::Value = serde_json::from_str(&request.body).expect("JSON");
    assert_eq!(sent["shape"], "night", "members that are unknown to the command are kept");
}

/// An invalid job description must be refused before anything is sent.
#[rstest]
#[case::not_json("name: job-1", "read the job description (job.json): expected")]
#[case::no_name(r#"{"organisation": "a", "service": "b"}"#, "the member \"name\" is missing")]
#[case::bad_name(r#"{"name": "a b"}"#, "name: job name \"a b\" is not valid")]
fn bad_descriptions(#[case] job: &str, #[case] expected: &str) {
    let host = Host::start([Reply::Json(200, json!({}))]);
    let work = WorkFolder::new();
    work.write("job.json", job);
    let output = work.run(&["submit", "job.json", "--entry", &host.address()]);
    assert_eq!(output.code, 1);
    assert!(output.stderr.contains(expected), "{}", output.stderr);
    assert!(host.received().is_empty(), "nothing may be sent");
}

#[rstest]
#[case::status("status", "GET /v1/jobs/job-1")]
#[case::explain("explain", "GET /v1/jobs/job-1/explain")]
#[case::cancel("cancel", "DELETE /v1/jobs/job-1")]
fn job_calls(#[case] command: &str, #[case] line: &str) {
    let reply = json!({"name": "job-1", "state": "waiting", "waits_for": ["a block of 16"]});
    let host = Host::start([Reply::Json(200, reply.clone()), Reply::Json(200, reply)]);
    let output = WorkFolder::new().run(&[command, "job-1", "--entry", &host.address()]);
    assert_eq!(host.received()[0].request_line, line);
    assert_eq!(output.stdout, "name: job-1\nstate: waiting\nwaits_for:\n  - a block of 16\n");
    let output = WorkFolder::new().run(&[command, "job-1", "--json", "--entry", &host.address()]);
    assert_eq!(
        output.stdout,
        "{\"name\":\"job-1\",\"state\":\"waiting\",\"waits_for\":[\"a block of 16\"]}\n"
    );
}

#[test]
fn an_unknown_job_is_an_error_with_step_and_peer() {
    let host = Host::start([Reply::Json(404, json!({"error": "there is no job job-1"}))]);
    let output = WorkFolder::new().run(&["status", "job-1", "--entry", &host.address()]);
    insta::assert_snapshot!(output.to_snapshot(&[&host]));
}
