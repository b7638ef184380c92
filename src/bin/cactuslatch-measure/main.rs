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

/// A command bound to its parsed arguments.
type BoundCommand = Box<dyn Fn() -> eyre::Result<ExitCode>>;

const USAGE: &str = "Measures Cactuslatch. Use release builds; figures of other builds mislead.";

fn options() -> OptionParser<BoundCommand> {
    let cluster = cluster::args().map(|args| bind(args, cluster::run));
    let decision = decision::args().map(|args| bind(args, decision::run));
    let path = command("path", path::options(), path::run);
    let policy = policy::args().map(|args| bind(args, policy::run));
    let soak = soak::args().map(|args| bind(args, soak::run));
    let parking = command("parking", parking::options(), parking::run);
    let slopes = command("slopes", slopes::options(), slopes::run);
    let urgent = urgent::args().map(|args| bind(args, urgent::run));
    construct!([cluster, decision, parking, path, policy, slopes, soak, urgent])
        .to_options()
        .descr(USAGE)
}

/// Returns the parser of a command that `run` carries out.
fn command<A: 'static>(
    name: &'static str,
    options: OptionParser<A>,
    run: fn(&A) -> eyre::Result<()>,
) -> impl Parser<BoundCommand> {
    options.command(name).map(move |args| -> BoundCommand {
        Box::new(move || run(&args).map(|()| ExitCode::SUCCESS))
    })
}

fn bind<A: 'static>(args: A, run: fn(&A) -> eyre::Result<ExitCode>) -> BoundCommand {
    Box::new(move || run(&args))
}

fn main() -> ExitCode {
    options().run()().unwrap_or_else(|error| {
        eprintln!("cactuslatch-measure: {error:#}");
        ExitCode::FAILURE
    })
}
