//! Cancellations of jobs that are not known yet.

use super::sample::{Sample, job_id, step};
use crate::tasks::state::EARLY_CANCELLATIONS_MAX;
use crate::tasks::{Change, JobState};

/// Guards against a submission that arrives after its cancellation, because a host on its way was
/// suspended, and runs although the caller has withdrawn it.
#[test]
fn a_job_that_was_cancelled_before_it_arrived_is_not_accepted() {
    let mut sample = Sample::with_hosts(2);
    let id = job_id(1);
    sample.apply(Change::Cancel { id: id.clone() });
    sample.accept(1, "normal", vec![step(1, 1)]);
    assert!(!sample.state.jobs.contains_key(&id));
    sample.accept(2, "normal", vec![step(1, 1)]);
    assert!(sample.state.jobs.contains_key(&job_id(2)), "other jobs are accepted");
}

/// A submission and its cancellation that are stored at the same time end in either order.
#[test]
fn a_job_that_was_accepted_first_is_cancelled() {
    let mut sample = Sample::with_hosts(2);
    let id = sample.accept(1, "normal", vec![step(1, 1)]);
    sample.apply(Change::Cancel { id: id.clone() });
    assert_eq!(sample.state.jobs[&id].state(), JobState::Cancelled);
    assert!(sample.state.early_cancellations.is_empty());
}

/// Guards against cancellations of unknown jobs that fill the memory of all hosts.
#[test]
fn early_cancellations_are_bounded_and_dropped() {
    let mut sample = Sample::with_hosts(1);
    let first = job_id(0);
    for number in 0..=EARLY_CANCELLATIONS_MAX as u64 {
        sample.at(1_000 + number);
        sample.apply(Change::Cancel { id: job_id(number) });
    }
    assert_eq!(sample.state.early_cancellations.len(), EARLY_CANCELLATIONS_MAX);
    assert!(!sample.state.early_cancellations.contains_key(&first), "the oldest is dropped");
    let second = job_id(1);
    sample.apply(Change::DropJobs { jobs: vec![second.clone()] });
    assert!(!sample.state.early_cancellations.contains_key(&second));
}
