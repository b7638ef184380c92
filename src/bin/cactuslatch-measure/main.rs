//! Measurements and long randomised runs.

mod burst_report;
mod cluster;
mod decision;
mod disk;
mod load;
mod parking;
mod path;
mod policy;
mod process;
mod proxy;
mod site;
mod slopes;
mod soak;
mod urgent;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};

/// A command with its arguments, ready to run.
type Run = Box<dyn Fn() -> eyre::Result<ExitCode>>;

const USAGE: &str = "Measures Cactuslatch. Use release builds; figures of other builds mislead.";

fn options() -> OptionParser<Run> {
    let cluster = cluster::args().map(|args| runner(args, cluster::run));
    let decision = decision::args().map(|args| runner(args, decision::run));
    let path = slot("path", path::options(), path::run);
    let policy = policy::args().map(|args| runner(args, policy::run));
    let soak = soak::args().map(|args| runner(args, soak::run));
    let parking = slot("parking", parking::options(), parking::run);
    let slopes = slot("slopes", slopes::options(), slopes::run);
    let urgent = urgent::args().map(|args| runner(args, urgent::run));
    construct!([cluster, decision, parking, path, policy, slopes, soak, urgent])
        .to_options()
        .descr(USAGE)
}

/// Makes a command of a parser and the function that runs its arguments.
fn slot<A: 'static>(
    name: &'static str,
    options: OptionParser<A>,
    run: fn(&A) -> eyre::Result<()>,
) -> impl Parser<Run> {
    options
        .command(name)
        .map(move |args| -> Run { Box::new(move || run(&args).map(|()| ExitCode::SUCCESS)) })
}

fn runner<A: 'static>(args: A, run: fn(&A) -> eyre::Result<ExitCode>) -> Run {
    Box::new(move || run(&args))
}

fn main() -> ExitCode {
    options().run()().unwrap_or_else(|error| {
        eprintln!("cactuslatch-measure: {error:#}");
        ExitCode::FAILURE
    })
}
