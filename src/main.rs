//! The `cactuslatch` command line.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    let run = cmd::options().run();
    cmd::finish(run())
}
