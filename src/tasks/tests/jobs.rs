//! Jobs from acceptance to their outcome.

use rstest::rstest;

use super::sample::{Sample, gang, life, step};
use crate::tasks::{Change, EndKind, JobState, Phase};

/// A resent submission must not begin the job anew.
#[test]
fn a_resent_job_stays_one_job() {
    let mut sample = Sample::with_hosts(2);
    let job = sample.accept(1, "normal", vec![step(2, 1)]);
    sample.start(&job, 0, 1, &[0]);
    sample.accept(1, "normal", vec![step(2, 1)]);
    assert_eq!(sample.state.jobs[&job].state(), JobState::Active);
    assert_eq!(sample.state.runs_of(&life(0)).len(), 1);
}

/// A second start of a unit that runs would run it twice at once.
#[test]
fn a_unit_has_one_run_at_a_time() {
    let mut sample = Sample::with_hosts(2);
    let job = sample.accept(1, "normal", vec![step(1, 1)]);
    sample.start(&job, 0, 1, &[0]);
    sample.start(&job, 0, 2, &[1]);
    assert!(sample.state.runs_of(&life(1)).is_empty());
    sample.end(&job, 0, 1, 0, EndKind::Stopped);
    sample.start(&job, 0, 1, &[1]);
    assert!(sample.state.runs_of(&life(1)).is_empty(), "a run's number must rise");
    sample.start(&job, 0, 2, &[1]);
    assert_eq!(sample.state.runs_of(&life(1)).len(), 1);
}

/// An end counts for the run and the life that it belongs to, whenever it arrives.
#[test]
fn ends_of_other_runs_change_nothing() {
    let mut sample = Sample::with_hosts(2);
    let job = sample.accept(1, "normal", vec![step(1, 1)]);
    sample.start(&job, 0, 1, &[0]);
    sample.end(&job, 0, 1, 0, EndKind::Lapsed);
    sample.start(&job, 0, 2, &[1]);
    sample.end(&job, 0, 1, 0, EndKind::Done);
    sample.end(&job, 0, 2, 0, EndKind::Done);
    assert_eq!(sample.state.jobs[&job].state(), JobState::Active);
    sample.end(&job, 0, 2, 1, EndKind::Done);
    assert_eq!(sample.state.jobs[&job].state(), JobState::Completed);
}

/// Only runs that failed count as attempts.
#[rstest]
#[case::failed(EndKind::Failed, JobState::Failed)]
#[case::stopped(EndKind::Stopped, JobState::Active)]
#[case::lapsed(EndKind::Lapsed, JobState::Active)]
#[case::not_started(EndKind::NotStarted, JobState::Active)]
fn attempts_are_counted_by_failures(#[case] how: EndKind, #[case] after_two: JobState) {
    let mut sample = Sample::with_hosts(2);
    let job = sample.accept(1, "normal", vec![step(1, 1)]);
    for run in 1..=2 {
        sample.start(&job, 0, run, &[0]);
        sample.end(&job, 0, run, 0, how);
    }
    assert_eq!(sample.state.jobs[&job].state(), after_two);
}

/// The members of a gang are done together, so one report is enough for the caller; their
/// capacity stays taken until each has reported.
#[test]
fn a_gang_is_done_with_its_first_done_member() {
    let mut sample = Sample::with_hosts(3);
    let job = sample.accept(1, "normal", vec![gang(3, 8)]);
    sample.start(&job, 0, 1, &[0, 1, 2]);
    sample.end(&job, 1, 1, 1, EndKind::Done);
    assert_eq!(sample.state.jobs[&job].state(), JobState::Completed);
    assert_eq!(sample.state.runs_of(&life(0)).len(), 1);
    sample.end(&job, 0, 1, 0, EndKind::Done);
    sample.end(&job, 2, 1, 2, EndKind::Lapsed);
    assert_eq!(sample.state.jobs[&job].unit(0, 0, 0).unwrap().phase, Phase::Done);
    assert_eq!(sample.state.jobs[&job].state(), JobState::Completed);
}

/// A gang whose member failed counts one attempt, and waits until all members are over.
#[test]
fn a_broken_gang_counts_one_attempt() {
    let mut sample = Sample::with_hosts(3);
    let job = sample.accept(1, "normal", vec![gang(3, 8)]);
    sample.start(&job, 0, 1, &[0, 1, 2]);
    sample.end(&job, 0, 1, 0, EndKind::Failed);
    sample.end(&job, 1, 1, 1, EndKind::Broken);
    assert!(sample.state.jobs[&job].unit(0, 0, 0).unwrap().is_running());
    sample.end(&job, 2, 1, 2, EndKind::Broken);
    let unit = sample.state.jobs[&job].unit(0, 0, 0).unwrap();
    assert_eq!((&unit.phase, unit.failures, &*unit.checkpoint), (&Phase::Waiting, 1, "saved"));
}

/// A cancelled job stays cancelled whatever its tasks report, and a completed one completed.
#[test]
fn outcomes_are_final() {
    let mut sample = Sample::with_hosts(1);
    let cancelled = sample.accept(1, "normal", vec![step(1, 1)]);
    sample.start(&cancelled, 0, 1, &[0]);
    sample.apply(Change::Cancel { id: cancelled.clone() });
    sample.end(&cancelled, 0, 1, 0, EndKind::Done);
    assert_eq!(sample.state.jobs[&cancelled].state(), JobState::Cancelled);
    let completed = sample.accept(2, "normal", vec![step(1, 1)]);
    sample.start(&completed, 0, 1, &[0]);
    sample.end(&completed, 0, 1, 0, EndKind::Done);
    sample.apply(Change::Cancel { id: completed.clone() });
    assert_eq!(sample.state.jobs[&completed].state(), JobState::Completed);
}

/// Nothing starts for a job that was cancelled between the decision and its record.
#[test]
fn a_cancelled_job_starts_nothing() {
    let mut sample = Sample::with_hosts(1);
    let job = sample.accept(1, "normal", vec![step(1, 1)]);
    sample.apply(Change::Cancel { id: job.clone() });
    sample.start(&job, 0, 1, &[0]);
    assert!(sample.state.runs_of(&life(0)).is_empty());
}

/// Guards against the state of a job that is gone before its time, or while it may still run.
#[test]
fn ended_jobs_are_kept_for_their_time() {
    const KEEP_MS: u64 = 120_000;
    let mut sample = Sample::with_hosts(1);
    let job = sample.accept(1, "normal", vec![step(1, 1)]);
    let forgotten =
        |sample: &Sample, now_ms| sample.state.jobs[&job].may_be_forgotten(now_ms, KEEP_MS);
    assert!(!forgotten(&sample, 10 * KEEP_MS), "it has not ended");
    sample.start(&job, 0, 1, &[0]);
    sample.at(5_000);
    sample.apply(Change::Cancel { id: job.clone() });
    assert!(!forgotten(&sample, 10 * KEEP_MS), "its run may still exist");
    sample.end(&job, 0, 1, 0, EndKind::Stopped);
    assert!(!forgotten(&sample, 5_000 + KEEP_MS));
    assert!(forgotten(&sample, 5_001 + KEEP_MS));
}
