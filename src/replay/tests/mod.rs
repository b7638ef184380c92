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
    for scenario in [Scenario::AllKindsBurst, Scenario::CapacityLost, Scenario::Returning] {
        let report = replay(scenario, HOSTS, 1);
        for (queue, kind) in report.kinds {
            let counted = kind.in_time + kind.late + kind.too_late + kind.never_done + kind.refused;
            assert_eq!(counted, kind.jobs, "{queue} in {}", scenario.name());
        }
    }
}
