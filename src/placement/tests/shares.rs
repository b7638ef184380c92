//! Weighted max-min shares.

use rstest::rstest;

use super::{beyond, water_level};
use crate::tasks::Usage;

/// Guards against a level that leaves capacity idle or gives one organisation the part of another.
#[rstest]
#[case::all_fit(&[(300, 1), (700, 1)], None)]
#[case::one_floods(&[(100, 1), (200, 1), (5_000, 1)], Some(700))]
#[case::two_flood(&[(100, 1), (2_000, 1), (5_000, 1)], Some(450))]
#[case::by_weight(&[(2_000, 3), (2_000, 1)], Some(250))]
#[case::below_by_weight(&[(600, 3), (2_000, 1)], Some(400))]
#[case::nobody(&[], None)]
fn capacity_is_shared_by_weight(#[case] demands: &[(u64, u64)], #[case] level: Option<u64>) {
    assert_eq!(water_level(demands.to_vec(), 1_000), level);
}

/// Guards against an organisation that pays with its share for what its guarantee covers.
#[test]
fn what_a_guarantee_covers_is_not_counted() {
    let usage = |cpu_millicores, accelerators| Usage { cpu_millicores, accelerators };
    assert_eq!(beyond(usage(1_000, 8), 6), usage(250, 2));
    assert_eq!(beyond(usage(1_000, 8), 20), usage(0, 0));
    assert_eq!(beyond(usage(1_000, 0), 20), usage(1_000, 0));
}
