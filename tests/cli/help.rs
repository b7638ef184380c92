use rstest::rstest;

use crate::work::Work;

/// A command without documented exit codes cannot be used in a script.
#[rstest]
fn help_names_exit_codes(
    #[values(
        "check",
        "send",
        "request",
        "sign-off",
        "submit",
        "status",
        "cancel",
        "explain",
        "documents",
        "documents get",
        "documents put",
        "documents history",
        "upstreams",
        "drain",
        "health",
        "steps",
        "steps configure",
        "steps submit",
        "steps status",
        "steps cancel"
    )]
    command: &str,
) {
    let mut args: Vec<&str> = command.split(' ').collect();
    args.push("--help");
    let ran = Work::new().run(&args);
    assert_eq!(ran.code, 0, "{}", ran.err);
    let text = ran.out.split_whitespace().collect::<Vec<_>>().join(" ");
    assert!(text.contains("Exit codes: 0 "), "{text}");
    assert!(text.contains("Usage: "), "{text}");
}

#[test]
fn help_of_the_whole_command_line() {
    insta::assert_snapshot!(Work::new().run(&["--help"]).show(&[]));
}

#[test]
fn help_of_send() {
    insta::assert_snapshot!(Work::new().run(&["send", "--help"]).show(&[]));
}
