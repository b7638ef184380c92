//! Findings in configurations.

use rstest::rstest;

use super::{check_configuration, is_configuration, read_configuration};
use crate::config::Fault;

const QUEUES: &str = include_str!("../../examples/steps/queues.yaml");

fn lines(faults: &[Fault]) -> Vec<String> {
    faults.iter().map(|fault| format!("{}: {}: {}", fault.line, fault.key, fault.message)).collect()
}

/// Guards against findings in a proper configuration, which operators would learn to ignore.
#[test]
fn the_example_has_no_findings() {
    assert!(is_configuration(QUEUES));
    let configuration = read_configuration(QUEUES).unwrap();
    let mut other = configuration.clone();
    other.version = 0;
    assert_eq!(check_configuration(QUEUES, Some(&other)), super::ConfigurationReport::default());
}

/// Guards against a check that shows one error only, or none that a host would refuse, and against a line
/// that is not that of the entry.
#[test]
fn all_errors_are_found_with_their_lines() {
    let text = QUEUES
        .replace("    service: plan\n    priority: 2", "    service: other\n    priority: 2")
        .replace("guaranteed_accelerators: 8", "weight: 0")
        .replace("target_ms: 500", "timeout_ms: 0");
    let report = check_configuration(&text, None);
    insta::assert_snapshot!(lines(&report.errors).join("\n"), @r"
    6: queues[0]: queue urgent has a timeout of 0 ms
    10: queues[1]: queue nightly names unknown service other
    16: organisations[0]: organisation plovdiv has a weight of 0, which is not from 1 to 1000
    ");
    read_configuration(&text).expect_err("a host refuses it as well");
}

#[rstest]
#[case::unknown_key(&QUEUES.replace("target_ms: 500", "target: 500"), 6)]
#[case::missing_key(&QUEUES.replace("    keys: [example-key-of-plovdiv]\n", ""), 16)]
#[case::wrong_type(&QUEUES.replace("priority: 0", "priority: high"), 8)]
#[case::no_yaml(&QUEUES.replace("name: urgent", "name: [urgent"), 7)]
fn unreadable_text_is_an_error_with_its_line(#[case] text: &str, #[case] line: usize) {
    let report = check_configuration(text, None);
    assert_eq!((report.errors.len(), report.errors[0].line), (1, line), "{:?}", report.errors);
}

/// Guards against entries without effect, and contradicting limits, that nobody notices.
#[test]
fn entries_without_effect_are_warnings() {
    let text = QUEUES
        .replace("  - name: plan\nqueues", "  - name: plan\n  - name: unused\nqueues")
        .replace("priority: 0", "priority: 1\n    slack_permille: 500")
        .replace("attempts_max: 2", "attempts_max: 0")
        .replace("[example-key-of-plovdiv]", "[]");
    let report = check_configuration(&text, None);
    assert_eq!(report.errors, []);
    insta::assert_snapshot!(lines(&report.warnings).join("\n"), @r"
    5: services[1]: service unused gets no work: no queue names it
    7: queues[0]: queue urgent: no caller can use it: it is not public, and there are no keys
    7: queues[0]: queue urgent: with a slack of 500 thousandths, a job that is long enough is late however it is run
    12: queues[1]: queue nightly: no caller can use it: it is not public, and there are no keys
    12: queues[1]: queue nightly: 0 attempts count as 1
    18: organisations[0]: organisation plovdiv: no caller can act for it: it has no keys
    18: organisations[0]: organisation plovdiv: its 8 guaranteed accelerators cannot be claimed: no queue has priority 0
    ");
}

/// Guards against a changed limit or a removed queue that an operator overlooks, and against keys of callers
/// in the output.
#[test]
fn differences_name_entries_and_fields() {
    let in_force = read_configuration(QUEUES).unwrap();
    let text = QUEUES
        .replace("name: nightly", "name: weekly")
        .replace("target_ms: 500", "target_ms: 600\n    public: true")
        .replace("example-key-of-plovdiv", "another-key");
    let report = check_configuration(&text, Some(&in_force));
    insta::assert_snapshot!(lines(&report.changes).join("\n"), @r"
    2: version: version 1 changes nothing: version 1 is in force, and only a higher one replaces it
    2: version: queue nightly is removed
    6: queues[0]: queue urgent changes target_ms from 500 to 600, public from false to true
    11: queues[1]: queue weekly is new
    17: organisations[0]: organisation plovdiv changes its keys or other values
    ");
}
