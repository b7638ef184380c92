//! Comparison of the core's policy with two baselines under the same seeded load and faults.

mod agenda;
mod baseline;
mod core_run;
mod figures;
mod ledger;
mod mix;
mod progress;
mod scenario;
mod space;

use std::collections::BTreeMap;

use serde::Serialize;

pub use figures::Figures;
pub use mix::User;

use baseline::QueueOrder;
use figures::Collector;
use scenario::{Scenario, WINDOW_MS};

/// Data centres of an installation, each with its own scheduler.
const DATA_CENTRES: u64 = 3;

/// Time after the window of arrivals at which a run ends; jobs that are open then count as
/// unfinished.
const COMPLETION_LIMIT_MS: u64 = 48 * 3_600_000;

/// Offered load for which the targets are set, as a share of the capacity within the window.
pub const OFFERED_LOAD: f64 = 0.85;

/// Result of [`compare`].
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyReport {
    /// User whose job mix was run.
    pub users: User,
    /// Seed of the run.
    pub seed: u64,
    /// Work of the valid jobs as a share of the capacity within the window.
    pub offered_load: f64,
    /// Length of the window in which the jobs arrived.
    pub window_s: f64,
    /// Number of jobs submitted.
    pub jobs_submitted: usize,
    /// Figures of each policy.
    pub policies: BTreeMap<&'static str, Figures>,
}

/// Runs the baselines and the core on one load; the same seed gives the same result.
#[must_use]
pub fn compare(users: User, seed: u64, load: f64) -> PolicyReport {
    compare_within(users, seed, load, WINDOW_MS)
}

/// Runs the comparison with all arrivals within `window_ms`.
pub(super) fn compare_within(users: User, seed: u64, load: f64, window_ms: u64) -> PolicyReport {
    let scenarios: Vec<_> =
        (0..DATA_CENTRES).map(|dc| Scenario::new(users, seed, dc, load, window_ms)).collect();
    let limit_ms = window_ms + COMPLETION_LIMIT_MS;
    let collect = |run: &dyn for<'a> Fn(&'a Scenario) -> (ledger::Recorder<'a>, u64)| {
        let mut collector = Collector::default();
        for scenario in &scenarios {
            let (recorder, end_ms) = run(scenario);
            collector.add(scenario, &recorder, end_ms);
        }
        collector.finish()
    };
    let fcfs = collect(&|s| baseline::run(s, QueueOrder::FirstComeFirstServed, limit_ms));
    let quota = collect(&|s| baseline::run(s, QueueOrder::StrictQuotas, limit_ms));
    let core = collect(&|s| core_run::run(s, limit_ms));
    let offered_ms: u64 = scenarios.iter().map(Scenario::offered_ms).sum();
    let capacity_ms: u64 = scenarios.iter().map(Scenario::capacity_ms).sum();
    PolicyReport {
        users,
        seed,
        offered_load: offered_ms as f64 / capacity_ms as f64,
        window_s: window_ms as f64 / 1_000.0,
        jobs_submitted: scenarios.iter().map(|s| s.jobs.len()).sum(),
        policies: [("baseline_fcfs", fcfs), ("baseline_quota", quota), ("cactuslatch", core)]
            .into(),
    }
}

/// Parses a name that is known to be valid.
fn parse_name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text:?} is not a valid name"))
}

/// Truncates a time to whole milliseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the times of a scenario are small and not negative"
)]
const fn whole_ms(ms: f64) -> u64 {
    ms as u64
}
