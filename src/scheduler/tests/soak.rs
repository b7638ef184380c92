//! Randomised runs of the core with injected faults, short enough for every build.

use rstest::rstest;

use crate::scheduler::soak::soak;

/// Guards against invariants that are violated under injected faults, and against a simulation that
/// skips a check or a kind of fault.
#[rstest]
fn no_invariant_breaks(#[values(1, 2, 3, 4)] seed: u64) {
    let report = soak(seed, 10_000);
    assert_eq!(report.violation, None, "seed {seed}");
    assert!(report.checks.values().all(|count| *count > 0));
    assert!(report.faults.len() >= 18, "{:?}", report.faults);
    for kind in ["late_announcement", "message_for_another_incarnation", "slow_stop"] {
        assert!(report.faults.contains_key(kind), "{kind}: {:?}", report.faults);
    }
}

/// Guards against decisions of the core that depend on anything but its events, such as the order
/// of a hash map or the real time.
#[test]
fn a_seed_gives_the_same_run() {
    assert_eq!(soak(7, 3_000), soak(7, 3_000));
}
