use rstest::rstest;

use crate::work::WorkFolder;

/// Scripts depend on documented exit codes, so the help of each command must list them.
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
        "steps cancel",
        "evacuate",
        "evacuate begin",
        "evacuate finish",
        "evacuate list"
    )]
    command: &str,
) {
    let mut args: Vec<&str> = command.split(' ').collect();
    args.push("--help");
    let output = WorkFolder::new().run(&args);
    assert_eq!(output.code, 0, "{}", output.stderr);
    let text = output.stdout.split_whitespace().collect::<Vec<_>>().join(" ");
    assert!(text.contains("Exit codes: 0 "), "{text}");
    assert!(text.contains("Usage: "), "{text}");
}

#[test]
fn help_of_the_whole_command_line() {
    insta::assert_snapshot!(WorkFolder::new().run(&["--help"]).to_snapshot(&[]));
}

#[test]
fn help_of_send() {
    insta::assert_snapshot!(WorkFolder::new().run(&["send", "--help"]).to_snapshot(&[]));
}
