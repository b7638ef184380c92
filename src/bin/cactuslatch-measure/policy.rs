//! `policy`: the scheduling policy compared with two baselines.

use std::process::ExitCode;

use bpaf::{Parser, construct, long};
use cactuslatch::scheduler::policy_run::{Figures, OFFERED_LOAD, PolicyReport, User, compare};
use eyre::Result;

/// Arguments of the command.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    users: User,
    seed: u64,
    load: f64,
    json: bool,
}

/// Returns the parser of the command.
pub(crate) fn args() -> impl Parser<Args> {
    let users = long("users").help("Whose jobs: vazov or burdekin").argument("USER");
    let seed = long("seed").help("Seed of the run").argument("N").fallback(1);
    let load = long("load")
        .help("Offered load as a share of the capacity")
        .argument("SHARE")
        .fallback(OFFERED_LOAD);
    let json = long("json").help("Print the report as JSON").switch();
    construct!(Args { users, seed, load, json })
        .to_options()
        .descr("Compares the scheduling core with two baselines on a seeded load with faults.")
        .command("policy")
}

/// Runs all policies on the same load and prints their figures.
pub(crate) fn run(args: &Args) -> Result<ExitCode> {
    let report = compare(args.users, args.seed, args.load);
    if args.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print_text(&report);
    }
    Ok(ExitCode::SUCCESS)
}

fn print_text(report: &PolicyReport) {
    println!("seed {}: offered load {:.2}", report.seed, report.offered_load);
    for (policy, figures) in &report.policies {
        print_figures(policy, figures);
    }
}

fn print_figures(policy: &str, figures: &Figures) {
    println!("{policy}:");
    println!(
        "  completion mean {:.1} s, p99 {:.1} s",
        figures.completion_mean_s, figures.completion_p99_s
    );
    println!(
        "  fragmentation {:.3}, violations {}",
        figures.fragmentation_mean, figures.guarantee_violations
    );
    println!("  completed {} of {}", figures.jobs_completed, figures.jobs_accepted);
}
