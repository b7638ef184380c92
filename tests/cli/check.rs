use rstest::rstest;

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
