//! The randomised soak run, short enough for every build.

use rstest::rstest;

use crate::scheduler::soak::soak;

/// Guards against invariants that break under injected faults, and against a run that omits a check
/// or a fault.
#[rstest]
fn no_invariant_breaks(#[values(1, 2, 3, 4)] seed: u64) {
    let report = soak(seed, 10_000);
    assert_eq!(report.broken, None, "seed {seed}");
    assert!(report.checks.values().all(|count| *count > 0));
    assert!(report.faults.len() >= 18, "{:?}", report.faults);
}

/// Guards against decisions that depend on anything but the events.
#[test]
fn a_seed_gives_the_same_run() {
    assert_eq!(soak(7, 3_000), soak(7, 3_000));
}
