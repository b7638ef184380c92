//! Randomised runs, with all kinds of faults and with none.

use rstest::rstest;

use super::world::{Faults, World};

/// Default size of the run; `QUORUM_SEEDS` and `QUORUM_STEPS` override it.
const SEEDS: u64 = 40;
const STEPS: u64 = 6_000;

fn from_env(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs each seed with faults, then without, and checks that the quorum converges.
fn run_seeds(hosts: usize, faults: Faults) {
    let first = from_env("QUORUM_FIRST_SEED", 0);
    for seed in first..first + from_env("QUORUM_SEEDS", SEEDS) {
        println!("seed {seed}");
        let mut world = World::new(hosts, seed, faults);
        for _ in 0..from_env("QUORUM_STEPS", STEPS) {
            world.step();
        }
        world.heal();
        assert!(world.commands() > 0, "seed {seed}: nothing was committed");
    }
}

/// Guards against two leaders in a term, lost acknowledged entries, diverging logs and stale reads.
#[rstest]
fn keeps_what_was_acknowledged_under_all_faults(#[values(3, 6)] hosts: usize) {
    run_seeds(hosts, Faults::ALL);
}

/// Guards against a host that is gone and goes on counting towards the quorum: the next lost disk left
/// no quorum for good.
#[rstest]
fn survives_one_lost_disk_after_the_other(#[values(3, 6)] hosts: usize) {
    run_seeds(hosts, Faults::DISKS);
}

/// Guards against a quorum that commits little or nothing in the absence of faults.
#[test]
fn commits_without_faults() {
    let mut world = World::new(3, 7, Faults::NONE);
    for _ in 0..4_000 {
        world.step();
    }
    assert!(world.commands() > 100, "only {} commands were committed", world.commands());
}
