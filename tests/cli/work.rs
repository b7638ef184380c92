//! A work directory in which the binary runs.

use std::fs;
use std::io::Write;
use std::process::{Command, Stdio};

use tempfile::TempDir;

use crate::host::Host;

/// A folder of its own for one test.
pub(crate) struct Work {
    folder: TempDir,
}

/// What one run of the binary left behind.
pub(crate) struct Ran {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl Work {
    pub(crate) fn new() -> Self {
        Self { folder: TempDir::new().expect("temporary folder") }
    }

    /// Puts a file into the folder.
    pub(crate) fn write(&self, name: &str, text: &str) {
        fs::write(self.folder.path().join(name), text).expect("write a file");
    }

    /// Runs the binary in the folder without input.
    pub(crate) fn run(&self, args: &[&str]) -> Ran {
        self.run_with(args, &[], "")
    }

    /// Runs the binary in the folder with environment variables and input.
    pub(crate) fn run_with(&self, args: &[&str], env: &[(&str, &str)], input: &str) -> Ran {
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
        Ran {
            code: output.status.code().expect("an exit code"),
            out: String::from_utf8(output.stdout).expect("text"),
            err: String::from_utf8(output.stderr).expect("text"),
        }
    }
}

impl Ran {
    /// Returns code and output with host addresses replaced by names, for snapshots.
    pub(crate) fn show(&self, hosts: &[&Host]) -> String {
        let mut text = format!("exit {}\n{}", self.code, self.out);
        if !self.err.is_empty() {
            text += "--- stderr\n";
            text += &self.err;
        }
        for (host, name) in hosts.iter().zip(["HOST-A", "HOST-B"]) {
            text = text.replace(&host.address(), name);
        }
        text
    }
}
