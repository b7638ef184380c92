//! Replays of the load patterns.

use super::{Scenario, replay};

/// Number of hosts of the replays in tests.
const HOSTS: usize = 12;

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
