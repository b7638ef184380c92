//! Measurements and long randomised runs.

mod soak;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};

/// A command with its arguments.
#[derive(Debug, Clone)]
enum Command {
    /// Randomised run of the scheduling core.
    Soak(soak::Args),
}

fn command() -> OptionParser<Command> {
    let soak = soak::args().map(Command::Soak);
    construct!([soak]).to_options().descr("Measurements and long randomised runs.")
}

fn main() -> ExitCode {
    let result = match command().run() {
        Command::Soak(args) => soak::run(&args),
    };
    result.unwrap_or_else(|error| {
        eprintln!("{error:#}");
        ExitCode::FAILURE
    })
}
