use rstest::rstest;

use crate::work::Work;

const BAD: &str = "kind: service\nservice: plan\ncompletion_weight: 0\nfragmentation_weight: 0\n\
    organisations:\n  - {name: a b, concurrency_max: 1, requests_per_s: x}\n";

/// A file with faults must not pass, and each fault is one line with file, line and key.
#[test]
fn faults_are_printed_one_a_line() {
    let work = Work::new();
    work.write("plan.yaml", BAD);
    insta::assert_snapshot!(work.run(&["check", "plan.yaml"]).show(&[]));
}

#[test]
fn json_lists_faults_with_positions() {
    let work = Work::new();
    work.write("plan.yaml", "kind: plan\n");
    insta::assert_snapshot!(work.run(&["check", "--json", "plan.yaml"]).show(&[]));
}

/// One good file must not hide a bad one.
#[test]
fn a_missing_file_fails_the_run() {
    let work = Work::new();
    work.write(
        "good.yaml",
        &BAD.replace("weight: 0", "weight: 1").replace("a b", "a").replace(": x", ": 1"),
    );
    let ran = work.run(&["check", "good.yaml", "absent.yaml"]);
    insta::assert_snapshot!(ran.show(&[]));
}

/// An example that does not pass would be copied into an installation that does not start.
#[rstest]
#[case("entry.yaml", "entry")]
#[case("control.yaml", "control")]
#[case("plan.yaml", "service")]
#[case("check.yaml", "service")]
#[case("demo.yaml", "service")]
fn examples_pass(#[case] name: &str, #[case] kind: &str) {
    let file = format!("{}/examples/settings/{name}", env!("CARGO_MANIFEST_DIR"));
    let ran = Work::new().run(&["check", &file]);
    assert_eq!((ran.code, ran.out), (0, format!("{file}: no faults, kind {kind}\n")));
}
