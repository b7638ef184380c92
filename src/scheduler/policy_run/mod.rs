//! The policy of the core against two baselines on the same seeded load and faults.

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

use baseline::Order;
use figures::Collector;
use scenario::{Scenario, WINDOW_MS};

/// Data centres of an installation, each with its own scheduler.
const DATA_CENTRES: u64 = 3;

/// Time after the arrivals within which the work must be done; the rest counts as unfinished.
const LIMIT_MS: u64 = 48 * 3_600_000;

/// Load at which the targets are judged, as a share of the capacity within the window.
pub const OFFERED_LOAD: f64 = 0.85;

/// Result of [`compare`].
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyReport {
    /// Whose jobs they were.
    pub users: User,
    /// Seed of the run.
    pub seed: u64,
    /// Work of the runnable jobs as a share of the capacity within the window.
    pub offered_load: f64,
    /// Time within which the jobs arrived.
    pub window_s: f64,
    /// Jobs submitted.
    pub jobs_submitted: usize,
    /// Figures by policy.
    pub policies: BTreeMap<&'static str, Figures>,
}

/// Runs the baselines and the core on one load; the same seed gives the same result.
#[must_use]
pub fn compare(users: User, seed: u64, load: f64) -> PolicyReport {
    compare_within(users, seed, load, WINDOW_MS)
}

/// Runs the comparison with arrivals within a time.
pub(super) fn compare_within(users: User, seed: u64, load: f64, window_ms: u64) -> PolicyReport {
    let scenarios: Vec<_> =
        (0..DATA_CENTRES).map(|dc| Scenario::new(users, seed, dc, load, window_ms)).collect();
    let limit_ms = window_ms + LIMIT_MS;
    let collect = |run: &dyn for<'a> Fn(&'a Scenario) -> (ledger::Ledger<'a>, u64)| {
        let mut collector = Collector::default();
        for scenario in &scenarios {
            let (ledger, end_ms) = run(scenario);
            collector.add(scenario, &ledger, end_ms);
        }
        collector.finish()
    };
    let fcfs = collect(&|s| baseline::run(s, Order::FirstComeFirstServed, limit_ms));
    let quota = collect(&|s| baseline::run(s, Order::StrictQuotas, limit_ms));
    let core = collect(&|s| core_run::run(s, limit_ms));
    let offered: u64 = scenarios.iter().map(Scenario::offered_ms).sum();
    let capacity: u64 = scenarios.iter().map(Scenario::capacity_ms).sum();
    PolicyReport {
        users,
        seed,
        offered_load: offered as f64 / capacity as f64,
        window_s: window_ms as f64 / 1_000.0,
        jobs_submitted: scenarios.iter().map(|s| s.jobs.len()).sum(),
        policies: [("baseline_fcfs", fcfs), ("baseline_quota", quota), ("cactuslatch", core)]
            .into(),
    }
}

/// Builds a name that is known to be valid.
fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text:?} is not a valid name"))
}

/// Converts a time to whole milliseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the times of a scenario are small and not negative"
)]
const fn millis(ms: f64) -> u64 {
    ms as u64
}
