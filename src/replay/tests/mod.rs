//! Replays of the load patterns.

use super::{Feeds, ReplayReport, Scenario};

/// Number of hosts of the replays in tests.
const HOSTS: usize = 12;

fn replay(scenario: Scenario, hosts: usize, seed: u64) -> ReplayReport {
    super::replay(scenario, hosts, seed, Feeds::default())
}

/// A scenario and a seed give the same report each time, so that figures of two builds compare.
#[test]
fn a_replay_repeats() {
    let first = replay(Scenario::AllKindsBurst, HOSTS, 7);
    assert_eq!(first, replay(Scenario::AllKindsBurst, HOSTS, 7));
    assert_ne!(first, replay(Scenario::AllKindsBurst, HOSTS, 8));
}

/// Every job of a replay has exactly one ending.
#[test]
fn every_job_is_counted_once() {
    let scenarios = [
        Scenario::AllKindsBurst,
        Scenario::CapacityLost,
        Scenario::Returning,
        Scenario::Evacuation,
    ];
    for scenario in scenarios {
        let report = replay(scenario, HOSTS, 1);
        for (queue, kind) in report.kinds {
            let counted = kind.in_time + kind.late + kind.too_late + kind.never_done + kind.refused;
            assert_eq!(counted, kind.jobs, "{queue} in {}", scenario.name());
        }
    }
}

/// Guards against large gangs that starve in a burst of all kinds: the largest tenth of a kind is
/// served at least half as well as the kind as a whole, and no kind is left out.
#[test]
fn large_gangs_are_served_in_a_burst_of_all_kinds() {
    for seed in 1..=2 {
        let report = replay(Scenario::AllKindsBurst, 48, seed);
        for (queue, kind) in &report.kinds {
            let (worth, largest) = (kind.worth, kind.worth_of_largest);
            assert!(worth >= 0.2, "{queue} with seed {seed}: {worth:.2}");
            assert!(largest >= worth / 2.0, "{queue} with seed {seed}: {largest:.2} of {worth:.2}");
        }
    }
}

/// Guards against hidden conditions that change nothing, or that change the figures of each replay.
#[test]
fn hidden_conditions_repeat_and_are_compared_with_full_knowledge() {
    for scenario in [Scenario::Speeds, Scenario::WrongEstimates, Scenario::NoisyPair] {
        let report = replay(scenario, HOSTS, 3);
        assert_eq!(report, replay(scenario, HOSTS, 3));
        assert!(report.worth_knowing_all.is_some_and(|worth| worth > 0.0));
    }
    assert_eq!(replay(Scenario::Calm, HOSTS, 3).worth_knowing_all, None);
}

/// Guards against stops that do not pay off: with many short urgent gangs, running work is stopped far less
/// often than for each gang that does not fit at once, and urgent jobs are on time as before.
#[test]
fn short_urgent_gangs_discard_little_work() {
    let mut discarded_core_s = 0;
    for seed in 1..=2 {
        let report = replay(Scenario::ShortGangs, 48, seed);
        let preempted_core_ms = report.discarded.core_ms.get("preempted").copied().unwrap_or(0);
        discarded_core_s += preempted_core_ms / 1_000;
        let urgent = &report.kinds["urgent"];
        assert!(urgent.in_time * 100 >= urgent.jobs * 93, "{urgent:?} with seed {seed}");
    }
    assert!(discarded_core_s < 24_000, "{discarded_core_s} core-s");
}
