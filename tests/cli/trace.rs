//! `cactuslatch trace` and `cactuslatch cluster`.

use std::fs;
use std::process::Command;

const CONTROL: &str = r#"{"timestamp":"2026-01-01T00:00:05Z","level":"INFO","message":"run ended","request":"00000000000000a1","task":"00000000000000a1.0.0.0","run":1,"upstream":"i-1","how":"Stopped"}
{"timestamp":"2026-01-01T00:00:09Z","level":"INFO","message":"job ended","request":"00000000000000a1","outcome":"completed","after_ms":9000}
{"timestamp":"2026-01-01T00:00:01Z","level":"INFO","message":"job was submitted","request":"00000000000000a1","queue":"q"}
{"timestamp":"2026-01-01T00:00:06Z","level":"INFO","message":"unit is placed","request":"00000000000000a1","unit":"00000000000000a1.0.0.0","run":2,"upstreams":"i-2"}
{"timestamp":"2026-01-01T00:00:04Z","level":"INFO","message":"stop was ordered","request":"00000000000000a1","task":"00000000000000a1.0.0.0","run":1,"cause":"preempted"}
{"timestamp":"2026-01-01T00:00:04Z","level":"INFO","message":"unit is placed","request":"00000000000000ff","run":1}
"#;

/// Log of a host whose clock is behind, so that its line would be first in order of time.
const ENTRY: &str = r#"12.5 entry-1 {"timestamp":"2025-12-31T23:59:59Z","level":"INFO","message":"call was served","method":"POST","path":"/q/00000000000000a1","status":200}
not a log line about 00000000000000a1
"#;

#[test]
fn trace_orders_by_cause() {
    let folder = tempfile::tempdir().unwrap();
    let (control, entry) = (folder.path().join("control-1"), folder.path().join("entry-1"));
    fs::write(&control, CONTROL).unwrap();
    fs::write(&entry, ENTRY).unwrap();
    let command = || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cactuslatch"));
        command.arg("trace");
        command
    };
    let output = command().arg("00000000000000a1").args([&control, &entry]).output().unwrap();
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    let messages: Vec<_> = text
        .lines()
        .map(|line| line.split(':').nth(2).unwrap_or("").get(4..).unwrap_or(""))
        .collect();
    insta::assert_snapshot!(messages.join("\n"));
    let unknown = command().arg("00000000000000b2").arg(&control).output().unwrap();
    assert!(!unknown.status.success());
}

/// Without a reachable leader the command must fail with a message, not wait.
#[test]
fn cluster_fails_if_no_leader_is_reachable() {
    let output = Command::new(env!("CARGO_BIN_EXE_cactuslatch"))
        .args(["cluster", "--control", super::host::CLOSED_ADDRESS])
        .output()
        .unwrap();
    assert!(!output.status.success());
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("no leader of control is in reach"), "{text}");
}
