use rstest::rstest;

use crate::host::{Host, Reply};
use crate::work::WorkFolder;

const BAD: &str = "kind: service\nservice: plan\ncompletion_weight: 0\nfragmentation_weight: 0\n\
    organisations:\n  - {name: a b, concurrency_max: 1, requests_per_s: x}\n";

/// A file with faults must not pass; each fault is printed on a line with file, line and key.
#[test]
fn faults_are_printed_one_a_line() {
    let work = WorkFolder::new();
    work.write("plan.yaml", BAD);
    insta::assert_snapshot!(work.run(&["check", "plan.yaml"]).to_snapshot(&[]));
}

#[test]
fn json_lists_faults_with_positions() {
    let work = WorkFolder::new();
    work.write("plan.yaml", "kind: plan\n");
    insta::assert_snapshot!(work.run(&["check", "--json", "plan.yaml"]).to_snapshot(&[]));
}

/// A valid file must not hide the failure of another one.
#[test]
fn a_missing_file_fails_the_run() {
    let work = WorkFolder::new();
    work.write(
        "good.yaml",
        &BAD.replace("weight: 0", "weight: 1").replace("a b", "a").replace(": x", ": 1"),
    );
    let output = work.run(&["check", "good.yaml", "absent.yaml"]);
    insta::assert_snapshot!(output.to_snapshot(&[]));
}

/// Operators copy the examples, so an invalid one leads to installations that do not start.
#[rstest]
#[case("entry.yaml", "entry")]
#[case("control.yaml", "control")]
#[case("plan.yaml", "service")]
#[case("check.yaml", "service")]
#[case("demo.yaml", "service")]
fn examples_pass(#[case] name: &str, #[case] kind: &str) {
    let file = format!("{}/examples/settings/{name}", env!("CARGO_MANIFEST_DIR"));
    let output = WorkFolder::new().run(&["check", &file]);
    assert_eq!((output.code, output.stdout), (0, format!("{file}: no faults, kind {kind}\n")));
}

const QUEUES: &str = include_str!("../../examples/steps/queues.yaml");

/// Warnings and differences are printed and are no reason to fail; a fault is.
#[rstest]
#[case::differences(&QUEUES.replace("target_ms: 500", "target_ms: 600"), 0, "queue urgent changes target_ms")]
#[case::warning(&QUEUES.replace("attempts_max: 2", "attempts_max: 0"), 0, "warning: queue nightly")]
#[case::fault(&QUEUES.replace("service: plan", "service: other"), 1, "error: queue urgent names unknown")]
fn a_configuration_is_checked(#[case] text: &str, #[case] code: i32, #[case] expected: &str) {
    let work = WorkFolder::new();
    work.write("new.yaml", &text.replace("version: 1", "version: 2"));
    work.write("old.yaml", QUEUES);
    let output = work.run(&["check", "--against", "old.yaml", "new.yaml"]);
    assert_eq!(output.code, code, "{}", output.stderr);
    let line = output.stdout.lines().find(|line| line.contains(expected));
    let place = line.unwrap_or_else(|| panic!("{}", output.stdout));
    assert!(place.starts_with("new.yaml:") && place[9..].starts_with(char::is_numeric), "{place}");
}

/// Guards against a comparison with another version than the operator means.
#[rstest]
#[case::in_force("1", 0)]
#[case::other("7", 1)]
fn a_configuration_is_compared_with_the_version_in_force(#[case] version: &str, #[case] code: i32) {
    let host = Host::start([Reply::Text(200, QUEUES)]);
    let work = WorkFolder::new();
    work.write("new.yaml", &QUEUES.replace("version: 1", "version: 2"));
    let address = host.address();
    let output = work.run(&["check", "--against", version, "--host", &address, "new.yaml"]);
    assert_eq!(output.code, code, "{}{}", output.stdout, output.stderr);
    assert_eq!(host.received()[0].request_line, "GET /v1/configuration");
}
