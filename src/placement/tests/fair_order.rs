//! Order of waiting work when organisations share scarce capacity.

use std::sync::Arc;

use super::pool_view::{Inputs, decide, decide_and_start};
use crate::tasks::tests::sample::{Sample, configuration, gang, step};
use crate::tasks::{Change, Configuration};

fn started_jobs(sample: &Sample) -> Vec<u64> {
    let plan = decide(sample, &Inputs::default());
    let number = |id: &crate::tasks::JobId| u64::from_str_radix(&id.to_string(), 16).unwrap();
    plan.starts.iter().map(|start| number(&start.unit.job)).collect()
}

/// `jobs` jobs of `south` with one whole host each wait, then one of `north`; there are four hosts.
fn flood(jobs: u64) -> Sample {
    let mut sample = Sample::with_hosts(4);
    for job in 1..=jobs {
        sample.accept_for(job, "normal", "south", vec![step(1, 8)]);
    }
    sample.at(100);
    sample.accept_for(50, "normal", "north", vec![step(1, 8)]);
    sample
}

/// Guards against a small organisation that waits behind the flood of another, and against an order that
/// changes although all work fits.
#[test]
fn a_flood_goes_after_the_work_of_others() {
    assert_eq!(started_jobs(&flood(12)), [1, 2, 3, 50]);
    assert_eq!(started_jobs(&flood(3)), [1, 2, 3, 50]);
    let mut sample = flood(12);
    sample.accept_for(51, "normal", "north", vec![step(1, 8)]);
    sample.accept_for(52, "normal", "north", vec![step(1, 8)]);
    assert_eq!(started_jobs(&sample), [1, 2, 50, 51]);
}

/// Guards against an organisation that gets its part again and again: what it runs counts.
#[test]
fn what_runs_counts() {
    let mut sample = Sample::with_hosts(4);
    for job in 1..=2 {
        sample.accept_for(job, "normal", "south", vec![step(1, 8)]);
    }
    decide_and_start(&mut sample, &Inputs::default());
    for job in 11..=16 {
        sample.accept_for(job, "normal", "south", vec![step(1, 8)]);
    }
    sample.at(100);
    for job in 21..=26 {
        sample.accept_for(job, "normal", "north", vec![step(1, 8)]);
    }
    assert_eq!(started_jobs(&sample), [21, 22]);
}

/// Guards against a weight that has no effect.
#[test]
fn parts_follow_the_weights() {
    let mut sample = flood(12);
    for job in 51..=60 {
        sample.accept_for(job, "normal", "north", vec![step(1, 8)]);
    }
    assert_eq!(started_jobs(&sample), [1, 2, 50, 51]);
    let mut weighted = Configuration { version: 9, ..configuration(9) };
    weighted.organisations[0].weight = 3;
    sample.apply(Change::SetConfiguration {
        configuration: Arc::new(weighted),
        raw: bytes::Bytes::new(),
    });
    assert_eq!(started_jobs(&sample), [1, 50, 51, 52]);
}

/// Guards against urgent work under a guarantee that waits for the shares: it goes first come first
/// served, whatever its organisation has.
#[test]
fn guaranteed_work_does_not_wait_for_shares() {
    let mut sample = Sample::with_hosts(4);
    for job in 1..=2 {
        sample.accept_for(job, "urgent", "north", vec![gang(2, 8)]);
    }
    sample.accept_for(10, "urgent", "south", vec![gang(2, 8)]);
    sample.accept_for(11, "urgent", "south", vec![gang(2, 8)]);
    assert_eq!(started_jobs(&sample), [1, 2]);
}

/// Guards against large jobs that starve behind small ones: what a job itself needs does not put it
/// beyond its organisation's part.
#[test]
fn a_large_job_is_not_beyond_its_part_for_its_size() {
    let mut sample = Sample::with_hosts(4);
    sample.accept_for(1, "normal", "north", vec![gang(4, 8)]);
    sample.at(100);
    for job in 2..=20 {
        sample.accept_for(job, "normal", "south", vec![step(1, 4)]);
    }
    assert_eq!(started_jobs(&sample), [1]);
}

/// Guards against an organisation that loses its turn because a new configuration does not name it any
/// more.
#[test]
fn a_dropped_organisation_keeps_its_waiting_jobs_in_order() {
    let mut sample = flood(12);
    let mut dropped = Configuration { version: 9, ..configuration(9) };
    dropped.organisations.remove(0);
    sample.apply(Change::SetConfiguration {
        configuration: Arc::new(dropped),
        raw: bytes::Bytes::new(),
    });
    assert_eq!(started_jobs(&sample), [1, 2, 3, 50]);
}
