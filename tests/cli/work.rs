//! Runs the binary in a temporary folder.

use std::fs;
use std::io::Write;
use std::process::{Command, Stdio};

use tempfile::TempDir;

use crate::host::Host;

/// A temporary folder in which a test runs the binary.
pub(crate) struct WorkFolder {
    folder: TempDir,
}

/// Exit code and output of one run of the binary.
pub(crate) struct CommandOutput {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl WorkFolder {
    pub(crate) fn new() -> Self {
        Self { folder: TempDir::new().expect("temporary folder") }
    }

    /// Writes a file into the folder.
    pub(crate) fn write(&self, name: &str, text: &str) {
        fs::write(self.folder.path().join(name), text).expect("write a file");
    }

    /// Runs the binary in the folder without input.
    pub(crate) fn run(&self, args: &[&str]) -> CommandOutput {
        self.run_with(args, &[], "")
    }

    /// Runs the binary in the folder with environment variables and input.
    pub(crate) fn run_with(
        &self,
        args: &[&str],
        env: &[(&str, &str)],
        input: &str,
    ) -> CommandOutput {
        let mut child = Command::new(env!("CARGO_BIN_EXE_cactuslatch"))
            .args(args)
            .current_dir(self.folder.path())
            .env_remove("CACTUSLATCH_ENTRY")
            .env_remove("CACTUSLATCH_CREDENTIAL")
            .envs(env.iter().copied())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("start the binary");
        // A command that refuses its arguments exits without reading its input.
        _ = child.stdin.take().expect("input").write_all(input.as_bytes());
        let output = child.wait_with_output().expect("wait for the binary");
        CommandOutput {
            code: output.status.code().expect("an exit code"),
            stdout: String::from_utf8(output.stdout).expect("text"),
            stderr: String::from_utf8(output.stderr).expect("text"),
        }
    }
}

impl CommandOutput {
    /// Returns exit code and output for a snapshot, with host addresses replaced by names.
    pub(crate) fn to_snapshot(&self, hosts: &[&Host]) -> String {
        let mut text = format!("exit {}\n{}", self.code, self.stdout);
        if !self.stderr.is_empty() {
            text += "--- stderr\n";
            text += &self.stderr;
        }
        for (host, name) in hosts.iter().zip(["HOST-A", "HOST-B"]) {
            text = text.replace(&host.address(), name);
        }
        text
    }
}
