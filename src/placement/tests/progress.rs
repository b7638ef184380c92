//! Estimates of the time that runs have left.

use rstest::rstest;

use crate::placement::{Reports, estimated_left_ms};

/// A run's speed follows from its reports once it has made progress, and from the caller's estimate
/// before; the part that a run resumed with was not done in the observed time.
#[rstest]
#[case::not_begun((0, 0), 0, 0, 8_000)]
#[case::too_early_to_tell((100, 0), 0, 4, 7_680)]
#[case::as_estimated((4_000, 0), 0, 50, 4_000)]
#[case::slow((8_000, 0), 0, 50, 8_000)]
#[case::resumed((2_000, 0), 50, 75, 2_000)]
#[case::listed_a_while_ago((4_000, 1_000), 0, 50, 3_000)]
#[case::overdue((4_000, 9_000), 0, 50, 0)]
#[case::done((8_000, 0), 0, 100, 0)]
#[case::started_over((1_000, 0), 60, 10, 7_200)]
fn time_left_follows_the_reports(
    #[case] (observed_ms, age_ms): (u64, u64),
    #[case] first_percent: u32,
    #[case] percent: u32,
    #[case] left_ms: u64,
) {
    let reports = Reports { observed_ms, age_ms, first_percent, percent };
    assert_eq!(estimated_left_ms(8_000, &reports), left_ms);
}
