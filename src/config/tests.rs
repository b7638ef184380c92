use rstest::rstest;

use super::*;

const ENTRY: &str = "\
kind: entry
host: entry-1
data_centre: sofia
caller_address: 127.0.0.1:7001
peer_address: 127.0.0.1:7002
admin_address: 127.0.0.1:7003
control_address: 127.0.0.1:7101
data_centres:
  - name: sofia
    entry_addresses: [127.0.0.1:7002]
  - name: varna
    entry_addresses: [127.0.0.2:7002]
timeouts:
  request_timeout_ms: 10000
limits: {park_max: 10}
";

const CONTROL: &str = "\
kind: control
host: control-1
data_centre: sofia
rpc_address: 127.0.0.1:7101
admin_address: 127.0.0.1:7103
data_folder: /var/lib/cactuslatch
entry_hosts: [entry-1, entry-2]
credentials:
  - service: plan
    secret: 0123456789abcdef
timeouts:
  share_lease_ms: 3000
";

const SERVICE: &str = "\
kind: service
service: plan
completion_weight: 4
fragmentation_weight: 1.5
organisations:
  - name: vazov
    concurrency_max: 64
    requests_per_s: 500
    guaranteed_blocks: [1, 8, 64]
job_shapes:
  - name: nightly
    accelerators: 16
    can_stop: true
";

fn faults_of(text: &str) -> String {
    match check_text(text) {
        Ok(kind) => format!("accepted as {kind}"),
        Err(faults) => faults.to_string(),
    }
}

/// Replaces one part of a valid file, so that the fault under test is the only one.
fn changed(text: &str, from: &str, to: &str) -> String {
    assert!(text.contains(from), "{from:?} is not in the sample");
    text.replacen(from, to, 1)
}

#[test]
fn valid_files_become_values_with_defaults() {
    let entry = parse(ENTRY, Kind::Entry, entry::read).expect("valid");
    assert_eq!(entry.local_entry_hosts, 1, "counted from the list when the key is absent");
    assert_eq!(entry.limits, Limits { park_max: 10, ..Limits::default() });
    assert_eq!(entry.timeouts, Timeouts::default());
    let control = parse(CONTROL, Kind::Control, control::read).expect("valid");
    assert_eq!((control.upstream_lease_ms, control.document_writer), (3_000, None));
    assert!(!format!("{control:?}").contains("0123456789abcdef"), "secrets must stay out of logs");
    let document = ServiceDocument::parse(SERVICE).expect("valid");
    assert_eq!(document.organisations[0].guaranteed_blocks.as_slice(), [1, 8, 64]);
    assert!(document.job_shapes[0].may_wait && document.job_shapes[0].may_borrow());
}

/// Byte order marks and carriage returns, as other systems write them, must not cause faults or
/// shift line numbers.
#[test]
fn carriage_returns_and_byte_order_marks_are_accepted() {
    assert_eq!(faults_of(&format!("\u{FEFF}{ENTRY}")), "accepted as entry");
    assert_eq!(faults_of(&ENTRY.replace('\n', "\r\n")), "accepted as entry");
    let twice = ENTRY.replace("host: entry-1", "host: a\nhost: b").replace('\n', "\r\n");
    assert_eq!(
        faults_of(&twice),
        "document:3: host: the key is given twice, first on line 2; keep one"
    );
}

/// Operators copy from the example and the manual; both must show the actual defaults.
#[test]
fn the_entry_example_shows_the_defaults() {
    let text = include_str!("../../examples/settings/entry.yaml");
    let settings = parse(text, Kind::Entry, entry::read).expect("valid");
    assert_eq!(settings.timeouts, Timeouts::default());
    assert_eq!(settings.limits, Limits::default());
    let page = include_str!("../../docs/operators.md");
    for line in
        text.lines().filter(|line| line.starts_with("  ") && !line.contains(['-', '#', '[']))
    {
        let (key, default) = line.trim().split_once(": ").expect("a key with a value");
        assert!(page.contains(&format!("| `{key}` | {default} |")), "operators.md: {key}");
    }
}

#[rstest]
#[case::syntax("data_centres:", "data_centres: ]", "document:8: not valid YAML: ")]
#[case::duplicate(
    "host: entry-1",
    "host: a\nhost: b",
    "3: host: the key is given twice, first on line 2"
)]
#[case::nested_duplicate(
    "{park_max: 10}",
    "{park_max: 10, \"park_max\": 1}",
    "15: limits.park_max: the key is given twice, first on line 15"
)]
#[case::unknown(
    "{park_max",
    "{park_mx",
    "15: limits.park_mx: the key is not known; did you mean park_max?"
)]
#[case::unknown_far("limits:", "zebra:", "15: zebra: the key is not known; known here: kind, host")]
#[case::unknown_with_controls(
    "limits:",
    "\"a\\n\\e[2J\": 1\nlimits:",
    "15: a\\n\\u{1b}[2J: the key is not known"
)]
#[case::missing("host: entry-1\n", "", "1: host: the key is missing")]
#[case::not_a_number(
    "10000",
    "10s",
    "14: timeouts.request_timeout_ms: \"10s\" is not a whole number"
)]
#[case::quoted_number(
    "10000",
    "\"10000\"",
    "14: timeouts.request_timeout_ms: \"10000\" is not a whole"
)]
#[case::list_for_value("entry-1", "[entry-1]", "2: host: expected a single value")]
#[case::value_for_keys(
    "{park_max: 10}",
    "10",
    "15: limits: expected keys and values below this key"
)]
#[case::value_for_list(
    "[127.0.0.2:7002]",
    "x",
    "12: data_centres[1].entry_addresses: expected a list"
)]
#[case::zero("10000", "0", "14: timeouts.request_timeout_ms: 0 is out of range; use 1 to 3600000")]
#[case::negative(
    "10000",
    "-5",
    "14: timeouts.request_timeout_ms: -5 is out of range; use 1 to 3600000"
)]
#[case::name_form("entry-1", "entry 1", "2: host: host name \"entry 1\" is not valid: use 1 to 64")]
#[case::address(
    "127.0.0.1:7101",
    "localhost:1",
    "7: control_address: \"localhost:1\" is not an address"
)]
#[case::port_zero("127.0.0.1:7003", "127.0.0.1:0", "6: admin_address: \"127.0.0.1:0\" has port 0")]
#[case::port_twice(
    "1:7003",
    "1:7001",
    "6: admin_address: port 7001 is used twice, also by caller_address (127.0.0.1:7001, line 4)"
)]
#[case::control_is_self(
    "127.0.0.1:7101",
    "127.0.0.1:7001",
    "7: control_address: the address of control is this host's own caller_address"
)]
#[case::own_centre_missing(
    "data_centre: sofia",
    "data_centre: ruse",
    "3: data_centre: ruse is missing from the list data_centres"
)]
#[case::centre_twice(
    "name: varna",
    "name: sofia",
    "11: data_centres[1].name: sofia is listed twice, see data_centres[0].name (sofia, line 9)"
)]
#[case::address_twice(
    "127.0.0.2:7002",
    "127.0.0.1:7002",
    "12: data_centres[1].entry_addresses[0]: 127.0.0.1:7002 is listed twice"
)]
#[case::host_count(
    "limits:",
    "local_entry_hosts: 2\nlimits:",
    "15: local_entry_hosts: 2 hosts contradict the 1 entry_addresses"
)]
#[case::host_limit(
    "limits:",
    "local_entry_hosts: 9\nlimits:",
    "15: local_entry_hosts: 9 is out of range; use 1 to 8"
)]
#[case::listed_host_limit(
    "[127.0.0.2:7002]",
    "['[::1]:1', '[::1]:2', '[::1]:3', '[::1]:4', '[::1]:5', '[::1]:6', '[::1]:7', '[::1]:8', '[::1]:9']",
    "data_centres[1].entry_addresses: 9 entry hosts are more than the 8 slots"
)]
#[case::kind(
    "kind: entry",
    "kind: entrance",
    "1: kind: \"entrance\" is not a kind of file; use entry, control"
)]
#[case::second_document(
    "limits:",
    "---\nlimits:",
    "document:15: a second YAML document begins here"
)]
#[case::anchor("entry-1", "&a entry-1", "document:2: anchors and aliases are not accepted")]
fn entry_faults(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let faults = faults_of(&changed(ENTRY, from, to));
    assert!(faults.contains(expected), "{faults}");
    assert_eq!(faults.lines().count(), 1, "one fault, one line:\n{faults}");
}

#[rstest]
#[case::attempt(
    "attempt_timeout_ms: 10001",
    "attempt_timeout_ms (10001, line 15) is longer than timeouts.request_timeout_ms (10000, line 14)"
)]
#[case::connect(
    "connect_timeout_ms: 3000",
    "connect_timeout_ms (3000, line 15) is not shorter than timeouts.attempt_timeout_ms (3000, the default)"
)]
#[case::park(
    "park_budget_ms: 10001\n  drain_timeout_ms: 30000",
    "park_budget_ms (10001, line 15) is longer than timeouts.request_timeout_ms (10000, line 14)"
)]
#[case::drain(
    "drain_timeout_ms: 11999",
    "drain_timeout_ms (11999, line 15) is shorter than timeouts.request_timeout_ms (10000, line 14) and timeouts.park_budget_ms (2000, the default) together (12000)"
)]
#[case::notice("balancer_notice_ms: 999", "balancer_notice_ms (999, line 15) is shorter than 1000")]
#[case::lease(
    "upstream_lease_ms: 1999",
    "upstream_lease_ms (1999, line 15) is shorter than two announcement intervals (2000)"
)]
fn contradictory_timeouts(#[case] line: &str, #[case] expected: &str) {
    let faults = faults_of(&changed(ENTRY, "limits:", &format!("  {line}\nlimits:")));
    assert!(faults.starts_with("document:15: timeouts."), "{faults}");
    assert!(faults.contains(expected), "{faults}");
    assert_eq!(faults.lines().count(), 1, "one fault, one line:\n{faults}");
}

/// A default has no line, so the fault must be reported at the key that the operator wrote.
#[test]
fn contradiction_with_a_default_is_reported_at_the_written_key() {
    let faults = faults_of(&changed(ENTRY, "10000", "14000"));
    assert!(faults.starts_with("document:14: timeouts.request_timeout_ms:"), "{faults}");
    assert!(
        faults.contains("timeouts.drain_timeout_ms (15000, the default) is shorter"),
        "{faults}"
    );
}

#[rstest]
#[case::share_lease(
    "3000",
    "3001",
    "12: timeouts.share_lease_ms: timeouts.share_lease_ms (3001, line 12) is longer than timeouts.upstream_lease_ms (3000, the default)"
)]
#[case::hosts(
    "entry-2]",
    "b, c, d, e, f, g, h, i]",
    "entry_hosts: 9 entry hosts are more than the 8 slots"
)]
#[case::no_hosts("[entry-1, entry-2]", "[]", "entry_hosts: the list is empty")]
#[case::host_twice("entry-2]", "entry-1]", "7: entry_hosts[1]: entry-1 is listed twice")]
#[case::port("1:7103", "1:7101", "5: admin_address: port 7101 is used twice")]
#[case::secret(
    "0123456789abcdef",
    "hunter2",
    "10: credentials[0].secret: the secret has 7 characters; use at least 16"
)]
#[case::writer(
    "timeouts:",
    "document_writer: here\ntimeouts:",
    "11: document_writer: \"here\" is not an address"
)]
fn control_faults(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let faults = faults_of(&changed(CONTROL, from, to));
    assert!(faults.contains(expected), "{faults}");
    assert_eq!(faults.lines().count(), 1, "one fault, one line:\n{faults}");
    assert!(!faults.contains("hunter2"), "a secret must not reach the terminal: {faults}");
}

#[rstest]
#[case::organisation_twice(
    "job_shapes:",
    "  - {name: vazov, concurrency_max: 1, requests_per_s: 1}\njob_shapes:",
    "10: organisations[1].name: vazov is listed twice, see organisations[0].name (vazov, line 6)"
)]
#[case::block_3(
    "[1, 8, 64]",
    "[3]",
    "9: organisations[0].guaranteed_blocks[0]: a block of 3 cannot be guaranteed"
)]
#[case::block_0("[1, 8, 64]", "[0]", "a block of 0 cannot be guaranteed")]
#[case::block_12("[1, 8, 64]", "[12]", "a block of 12 cannot be guaranteed")]
#[case::block_72("[1, 8, 64]", "[72]", "a block of 72 cannot be guaranteed")]
#[case::weight_negative(
    "_weight: 4",
    "_weight: -1",
    "3: completion_weight: -1 is out of range; use 0 to 1000"
)]
#[case::weight_nan("_weight: 4", "_weight: NaN", "3: completion_weight: \"NaN\" is not a number")]
#[case::shape("16", "9", "12: job_shapes[0].accelerators: a job cannot use 9 accelerators")]
#[case::shape_boolean(
    "true",
    "yes",
    "13: job_shapes[0].can_stop: \"yes\" is neither true nor false"
)]
#[case::no_organisation(
    "  - name: vazov\n    concurrency_max: 64\n    requests_per_s: 500\n    guaranteed_blocks: [1, 8, 64]",
    "  []",
    "organisations: the list is empty"
)]
#[case::kind("kind: service", "kind: entry", "host: the key is missing")]
fn document_faults(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let faults = faults_of(&changed(SERVICE, from, to));
    assert!(faults.contains(expected), "{faults}");
}

#[test]
fn both_weights_zero_name_both_lines() {
    let text = changed(SERVICE, "completion_weight: 4", "completion_weight: 0");
    let faults =
        faults_of(&changed(&text, "fragmentation_weight: 1.5", "fragmentation_weight: 0.0"));
    insta::assert_snapshot!(faults, @"document:3: completion_weight: completion_weight (0, line 3) and fragmentation_weight (0, line 4) are both 0, so no placement is better than another");
}

/// An operator must see all faults in one run, not only the first.
#[test]
fn every_fault_is_reported_at_once() {
    let text = "\
kind: entry
host: entry 1
host: entry-2
data_centre: sofia
caller_address: nowhere
admin_address: 127.0.0.1:7002
peer_address: 127.0.0.1:7002
data_centres:
  - name: varna
    entry_addresses: [127.0.0.2:7002]
    colour: red
timeouts:
  drain_timeout: 1
  drain_timeout_ms: 1
  balancer_notice_ms: 10
limits: {body_limit_bytes: 0}
";
    insta::assert_snapshot!(faults_of(text));
}

/// Deep nesting must be refused before the parser recurses; it would overflow the stack.
#[rstest]
#[case::flow("[".repeat(200_000))]
#[case::flow_at_the_limit(format!("kind: {}{}", "[".repeat(1_000), "]".repeat(1_000)))]
#[case::flow_with_comments("[ #]\n".repeat(40_000))]
#[case::block(format!("kind:\n  {}x", "- ".repeat(100_000)))]
#[case::block_at_the_limit(format!("kind:\n  {}{}", "- ".repeat(62), "[".repeat(1_000)))]
#[case::long("#".repeat(text::TEXT_LIMIT_BYTES + 1))]
#[case::empty(String::new())]
#[case::only_scalar("entry".to_owned())]
#[case::alias("kind: *a".to_owned())]
#[case::many_duplicates("kind: entry\n".repeat(40))]
fn hostile_text_is_refused_without_a_panic(#[case] text: String) {
    assert!(check_text(&text).is_err());
}

proptest::proptest! {
    /// The YAML loader contains assertions; no text may make them fail.
    #[test]
    fn no_text_causes_a_panic(
        pieces in proptest::collection::vec(
            proptest::sample::select(vec![
                "kind: service\n", "a", "b: ", "- ", "? ", ": ", "\n", "\n  ", "[", "]", "{", "}", ",",
                "&a ", "*a", "!t ", "!!str ", "'", "\"", "#", "|\n", ">\n", "---\n", "...\n", "%YAML 1.2\n",
                "%TAG ! x\n", "\t", "\r", "\\x", "\u{FEFF}", "\u{E000}", "~", "<<", "@", "`", "\0", "é",
            ]),
            0..24,
        )
    ) {
        _ = check_text(&pieces.concat());
    }
}
