//! Measurements and long randomised runs.

mod burst_report;
mod disk;
mod load;
mod parking;
mod path;
mod process;
mod proxy;
mod site;
mod slopes;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};

/// A command with its arguments, ready to run.
type Run = Box<dyn Fn() -> eyre::Result<()>>;

const USAGE: &str = "Measures Cactuslatch. Use release builds; figures of other builds mislead.";

fn options() -> OptionParser<Run> {
    let path = slot("path", path::options(), path::run);
    let parking = slot("parking", parking::options(), parking::run);
    let slopes = slot("slopes", slopes::options(), slopes::run);
    construct!([path, parking, slopes]).to_options().descr(USAGE)
}

/// Makes a command of a parser and the function that runs its arguments.
fn slot<A: 'static>(
    name: &'static str,
    options: OptionParser<A>,
    run: fn(&A) -> eyre::Result<()>,
) -> impl Parser<Run> {
    options.command(name).map(move |args| Box::new(move || run(&args)) as Run)
}

fn main() -> ExitCode {
    match options().run()() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cactuslatch-measure: {error}");
            ExitCode::FAILURE
        }
    }
}
