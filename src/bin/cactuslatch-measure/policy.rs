//! `policy`: the scheduling policy compared with two baselines, or replays of load patterns.

use std::process::ExitCode;

use bpaf::{Parser, construct, long};
use cactuslatch::replay::{KindFigures, OrganisationFigures, ReplayReport, Scenario, replay};
use cactuslatch::scheduler::policy_run::{Figures, OFFERED_LOAD, PolicyReport, User, compare};
use eyre::Result;

/// Number of hosts for which the scenarios' loads are given.
const REPLAY_HOSTS: usize = 48;

/// Arguments of the command.
#[derive(Debug, Clone)]
pub(crate) enum Args {
    Compare { users: User, seed: u64, load: f64, json: bool },
    Replay { scenario: Scenarios, hosts: usize, seed: u64, seeds: u64, json: bool },
}

/// Scenarios to replay.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Scenarios {
    All,
    One(Scenario),
}

impl std::str::FromStr for Scenarios {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text == "all" { Ok(Self::All) } else { text.parse().map(Self::One) }
    }
}

/// Returns the parser of the command.
pub(crate) fn args() -> impl Parser<Args> {
    let (compare, replay) = (compare_args(), replay_args());
    construct!([compare, replay])
        .to_options()
        .descr("Compares the scheduling core with two baselines, or replays load patterns.")
        .command("policy")
}

fn replay_args() -> impl Parser<Args> {
    let scenario = long("scenario").help("Scenario to replay, or all").argument("NAME");
    let hosts = long("hosts").help("Hosts; the load scales with them").argument("N");
    let hosts = hosts.fallback(REPLAY_HOSTS);
    let seed = long("seed").help("Seed of the first replay").argument("N").fallback(1);
    let seeds = long("seeds").help("Number of replays").argument("N").fallback(1);
    let json = long("json").help("Print the reports as JSON").switch();
    construct!(Args::Replay { scenario, hosts, seed, seeds, json })
}

fn compare_args() -> impl Parser<Args> {
    let users = long("users").help("Whose jobs: vazov or burdekin").argument("USER");
    let seed = long("seed").help("Seed of the run").argument("N").fallback(1);
    let load = long("load")
        .help("Offered load as a share of the capacity")
        .argument("SHARE")
        .fallback(OFFERED_LOAD);
    let json = long("json").help("Print the report as JSON").switch();
    construct!(Args::Compare { users, seed, load, json })
}

/// Runs the comparison or the replays and prints their figures.
pub(crate) fn run(args: &Args) -> Result<ExitCode> {
    match *args {
        Args::Compare { users, seed, load, json } => run_comparison(users, seed, load, json),
        Args::Replay { scenario, hosts, seed, seeds, json } => {
            let scenarios = match scenario {
                Scenarios::All => Scenario::ALL.to_vec(),
                Scenarios::One(scenario) => vec![scenario],
            };
            run_replays(&scenarios, hosts, seed..seed + seeds, json)
        }
    }
}

fn run_replays(
    scenarios: &[Scenario],
    hosts: usize,
    seeds: std::ops::Range<u64>,
    json: bool,
) -> Result<ExitCode> {
    if !json {
        println!(
            "{:15} {:>5} {:6} {:>5} {:>7} {:>5} {:>8} {:>10} {:>7} {:>7} {:>5} {:>8} {:>8}",
            "scenario",
            "seed",
            "queue",
            "jobs",
            "in time",
            "late",
            "too late",
            "never done",
            "refused",
            "wrongly",
            "worth",
            "largest",
            "next 5th"
        );
    }
    for scenario in scenarios {
        for seed in seeds.clone() {
            let report = replay(*scenario, hosts, seed);
            if json {
                println!("{}", serde_json::to_string(&report)?);
            } else {
                print_replay(&report);
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print_replay(report: &ReplayReport) {
    let name = report.scenario.name();
    for (queue, figures) in &report.kinds {
        print_kind(name, report.seed, queue, figures);
    }
    for (organisation, figures) in &report.organisations {
        print_organisation(name, report.seed, organisation, figures);
    }
    println!(
        "{name:15} {:>5} worth {:.3}, worst organisation in time {:.2}, refusals {}, thrown away \
         {} core-s ({:.3} of the work)",
        report.seed,
        report.worth,
        report.worst_organisation_in_time,
        report.refusals,
        report.thrown_away_core_s,
        report.thrown_away_share
    );
    for (cause, core_ms) in &report.discarded.core_ms {
        let runs = report.discarded.runs.get(cause).copied().unwrap_or(0);
        println!("{name:15} {:>5} {cause}: {runs} runs, {} core-s", report.seed, core_ms / 1_000);
    }
}

fn print_organisation(name: &str, seed: u64, organisation: &str, figures: &OrganisationFigures) {
    println!(
        "{name:15} {seed:>5} {organisation}: {} jobs, in time {} ({:.2}), late {}, of no use {}, \
         refused {}, served {:.0} of {:.0} core-s",
        figures.jobs,
        figures.in_time,
        figures.in_time_share(),
        figures.late,
        figures.of_no_use,
        figures.refused,
        figures.served_core_s,
        figures.offered_core_s
    );
}

fn print_kind(name: &str, seed: u64, queue: &str, figures: &KindFigures) {
    println!(
        "{name:15} {seed:>5} {queue:6} {:>5} {:>7} {:>5} {:>8} {:>10} {:>7} {:>7} {:>5.2} {:>8.2} {:>8.2}",
        figures.jobs,
        figures.in_time,
        figures.late,
        figures.too_late,
        figures.never_done,
        figures.refused,
        figures.refused_wrongly,
        figures.worth,
        figures.worth_of_largest,
        figures.worth_of_next_fifth
    );
}

fn run_comparison(users: User, seed: u64, load: f64, json: bool) -> Result<ExitCode> {
    let report = compare(users, seed, load);
    if json {
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
