//! Comparison of the core's policy with the baselines.

use rstest::rstest;
use serde_json::Value;

use crate::scheduler::policy_run::{User, compare_within};

const WINDOW_MS: u64 = 1_800_000;

const FIELDS: [&str; 8] = [
    "completion_mean_s",
    "completion_p99_s",
    "fragmentation_mean",
    "guarantee_violations",
    "jobs_accepted",
    "jobs_completed",
    "jobs_cancelled",
    "jobs_unfinished",
];

/// Guards against runs that are not reproducible, policies that lose accepted jobs or are given
/// different jobs, and fields that are missing in the JSON.
#[rstest]
fn every_policy_ends_the_same_jobs(
    #[values(User::Vazov, User::Burdekin)] users: User,
    #[values(1, 2)] seed: u64,
) {
    let report = compare_within(users, seed, 0.5, WINDOW_MS);
    assert_eq!(report, compare_within(users, seed, 0.5, WINDOW_MS));
    let json = serde_json::to_value(&report).expect("a report is valid JSON");
    let accepted = report.policies["cactuslatch"].jobs_accepted;
    assert!(accepted > 50, "{accepted} jobs are too few to compare");
    for policy in ["baseline_fcfs", "baseline_quota", "cactuslatch"] {
        let figures = &report.policies[policy];
        let ended = figures.jobs_completed + figures.jobs_cancelled + figures.jobs_failed;
        assert_eq!((figures.jobs_accepted, ended), (accepted, accepted), "{policy}");
        assert_eq!((figures.jobs_unfinished, figures.jobs_blamed), (0, 0), "{policy}");
        let missing = FIELDS.iter().find(|field| json["policies"][policy][*field] == Value::Null);
        assert_eq!(missing, None, "{policy}");
    }
}
