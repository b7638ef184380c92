//! Pace of the scheduling passes.

use std::time::Duration;

use rstest::rstest;

use crate::cluster::leader::scheduling::pass_delay;

/// Guards against a leader of many upstreams that does nothing but decide: a decision takes at most
/// a fifth of the time, unless it takes longer than the longest interval between two.
#[rstest]
#[case::quick(1, 10)]
#[case::many_upstreams(20, 80)]
#[case::far_too_many(400, 250)]
fn decisions_leave_time_for_other_work(#[case] decided_in_ms: u64, #[case] delay_ms: u64) {
    let delay = pass_delay(Duration::from_millis(decided_in_ms));
    assert_eq!(delay, Duration::from_millis(delay_ms));
}
