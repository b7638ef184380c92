//! Measurements and long randomised runs.

mod decision;
mod soak;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};

/// A command with its arguments.
#[derive(Debug, Clone)]
enum Command {
    /// Time and memory of decisions.
    Decision(decision::Args),
    /// Randomised run of the scheduling core.
    Soak(soak::Args),
}

fn command() -> OptionParser<Command> {
    let soak = soak::args().map(Command::Soak);
    let decision = decision::args().map(Command::Decision);
    construct!([decision, soak]).to_options().descr("Measurements and long randomised runs.")
}

fn main() -> ExitCode {
    let result = match command().run() {
        Command::Decision(args) => decision::run(&args),
        Command::Soak(args) => soak::run(&args),
    };
    result.unwrap_or_else(|error| {
        eprintln!("{error:#}");
        ExitCode::FAILURE
    })
}
