//! `soak`: randomised run of the scheduling core with fault injection.

use std::process::ExitCode;

use bpaf::{Parser, construct, long};
use cactuslatch::scheduler::soak::{SoakReport, soak};
use eyre::Result;

/// Arguments of the command.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    seed: u64,
    steps: u64,
    json: bool,
}

/// Returns the parser of the command.
pub(crate) fn args() -> impl Parser<Args> {
    let seed = long("seed").help("Seed of the run").argument("N").fallback(1);
    let steps = long("steps").help("Steps of the core").argument("M").fallback(1_000_000);
    let json = long("json").help("Print the report as JSON").switch();
    construct!(Args { seed, steps, json })
        .to_options()
        .descr("Runs the scheduling core with all faults and checks its invariants.")
        .command("soak")
}

/// Runs the scheduling core and prints the report.
///
/// If an invariant breaks, prints the step and returns failure.
pub(crate) fn run(args: &Args) -> Result<ExitCode> {
    let report = soak(args.seed, args.steps);
    if args.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print_text(&report);
    }
    match &report.violation {
        None => Ok(ExitCode::SUCCESS),
        Some(violation) => {
            eprintln!("step {} at {} ms: {}", violation.step, violation.at_ms, violation.message);
            Ok(ExitCode::FAILURE)
        }
    }
}

fn print_text(report: &SoakReport) {
    println!("seed {}: {} steps, {} ms simulated", report.seed, report.steps, report.simulated_ms);
    for (title, counts) in
        [("faults", &report.faults), ("checks", &report.checks), ("jobs", &report.jobs)]
    {
        println!("{title}:");
        for (name, count) in counts {
            println!("  {name}: {count}");
        }
    }
}
