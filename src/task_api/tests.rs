//! Parsing of documents and settings.

use rstest::rstest;

use super::{TaskControlSettings, read_configuration, read_job};
use crate::cluster::ListedRun;
use crate::tasks::TaskId;
use crate::tasks::tests::sample::job_id;

const QUEUES: &str = include_str!("../../examples/steps/queues.yaml");
const JOB: &str = include_str!("../../examples/steps/job.yaml");

#[test]
fn the_examples_can_be_read() {
    let configuration = read_configuration(QUEUES).unwrap();
    let queues: Vec<_> = configuration.queues.iter().map(|queue| &*queue.path_prefix).collect();
    assert_eq!(queues, ["/v1/queues/urgent/jobs/", "/v1/queues/nightly/jobs/"]);
    let job = read_job(JOB).unwrap();
    assert_eq!(job.steps.len(), 2);
    assert!(job.steps[1].gang && job.steps[1].after.as_slice() == [0]);
}

#[test]
fn the_example_settings_can_be_read() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/steps/host.yaml");
    let settings = TaskControlSettings::read(path.as_ref()).unwrap();
    assert_eq!((settings.seeds.len(), settings.founding), (3, true));
}

/// Guards against ignoring a misspelt key as if it were absent, and against jobs that cannot run.
#[rstest]
#[case::key_of_a_step("steps: [{tasks: 1, gangs: true}]")]
#[case::key_of_a_need("steps: [{tasks: 1, need: {gpu: 1}}]")]
#[case::no_steps("payload: x")]
#[case::step_after_itself("steps: [{tasks: 1, after: [0]}]")]
#[case::no_tasks("steps: [{gang: true}]")]
fn jobs_with_faults_are_refused(#[case] text: &str) {
    read_job(text).expect_err("a fault");
}

#[rstest]
#[case::unknown_service(&QUEUES.replace("service: plan", "service: other"))]
#[case::unknown_key(&QUEUES.replace("target_ms", "target"))]
#[case::no_version(&QUEUES.replace("version: 1", ""))]
fn configurations_with_faults_are_refused(#[case] text: &str) {
    read_configuration(text).expect_err("a fault");
}

#[rstest]
#[case::unknown_key("more: 1", "more")]
#[case::same_address("internal_address: 127.0.0.1:7300", "must differ")]
#[case::no_losses("losses_max: 0", "losses_max must be greater")]
#[case::no_lease("lease_max_ms: 0", "greater than 0")]
fn settings_with_faults_are_refused(#[case] line: &str, #[case] expected: &str) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.yaml");
    let internal = if line.contains("internal") { "" } else { "internal_address: 127.0.0.1:7301" };
    let text = format!(
        "host: north-1\naddress: 127.0.0.1:7300\n{internal}\nseeds: [\"127.0.0.1:7301\"]\n\
         data_folder: data\n{line}\n"
    );
    std::fs::write(&path, text).unwrap();
    let fault = TaskControlSettings::read(&path).expect_err("a fault").to_string();
    assert!(fault.contains(expected), "{fault}");
}

fn listed_run() -> String {
    let task = TaskId { job: job_id(1), occurrence: 0, step: 0, index: 0 };
    let run = ListedRun { task, run: 1, checkpoint: "".into(), percent: 0, load: None };
    serde_json::to_string(&run).unwrap()
}

/// Guards against one odd entry that makes all entries of an upstream unreadable, so that its lease is
/// no longer extended.
#[rstest]
#[case::nested(&format!("{}{}", "[".repeat(200), "]".repeat(200)))]
#[case::number_too_large(r#"{"run":1e999}"#)]
#[case::run_too_large(&listed_run().replace(r#""run":1"#, r#""run":4294967296"#))]
fn an_odd_entry_hides_no_other(#[case] odd: &str) {
    let run = listed_run();
    let body = format!(
        r#"{{"clock_ms":1,"born_unix_ms":2,"running":[{odd},{run}],"ended":[{odd}],"unreadable":0}}"#
    );
    let lists = super::orders::decode_lists(&body).unwrap();
    assert_eq!((lists.running.len(), lists.unreadable), (1, 2));
}

fn indented_ever_deeper() -> String {
    let lines = (0..700).map(|depth| " ".repeat(depth) + "-");
    lines.collect::<Vec<_>>().join("\r")
}

/// Guards against a job or configuration that ends the process: the YAML parser recurses once for each
/// nested list, and the next host that is asked would end as well.
#[rstest]
#[case::json("[".repeat(200_000))]
#[case::closed_json(format!("{}{}", "[".repeat(200_000), "]".repeat(200_000)))]
#[case::flow_style(format!("steps: {}", "[".repeat(200_000)))]
#[case::block_style("- ".repeat(200_000))]
#[case::keys("? ".repeat(200_000))]
#[case::carriage_returns(indented_ever_deeper())]
fn deeply_nested_documents_are_refused(#[case] text: String) {
    read_job(&text).expect_err("too deep");
    read_configuration(&text).expect_err("too deep");
}

/// The bound on nesting must not refuse a job of many steps.
#[test]
fn a_job_of_many_steps_can_be_read() {
    let steps = vec![r#"{"tasks":1,"need":{"accelerators":1}}"#; 900].join(",");
    let job = read_job(&format!(r#"{{"steps":[{steps}]}}"#)).unwrap();
    assert_eq!(job.steps.len(), 900);
}
