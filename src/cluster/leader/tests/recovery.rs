//! Steps of a leader's start, and the order in which it contacts the upstreams.

use std::sync::Arc;

use crate::cluster::leader::recovery::{RecoverySteps, Step, contact_order, list_steps};

/// Guards against a recovery whose log shows a step more than once, or never.
#[test]
fn each_step_is_reached_once() {
    let mut steps = RecoverySteps::default();
    let mut reached = Vec::new();
    for read in 0..=20 {
        reached.extend(list_steps(read, 20).filter(|step| steps.reach(*step)).map(|s| (read, s)));
    }
    let expected = [(1, Step::FirstLists), (10, Step::HalfOfLists), (18, Step::MostLists)];
    assert_eq!(reached, expected);
}

/// Guards against racks that are all known in part for as long as the first contact takes, so that no
/// gang fits on any, and against leases that run out meanwhile.
#[test]
fn racks_with_runs_are_contacted_first_and_as_a_whole() {
    let upstreams = [
        ("a1", "a", 0),
        ("b1", "b", 0),
        ("c1", "c", 3),
        ("a2", "a", 1),
        ("b2", "b", 0),
        ("c2", "c", 0),
    ];
    let ordered = contact_order(upstreams.to_vec(), |(_, rack, runs)| (Arc::from(*rack), *runs));
    let names: Vec<_> = ordered.iter().map(|(name, ..)| *name).collect();
    assert_eq!(names, ["c1", "c2", "a1", "a2", "b1", "b2"]);
}
