//! Jobs from acceptance to their outcome.

use rstest::rstest;

use super::sample::{Sample, gang, heartbeat, incarnation, spec, step};
use crate::tasks::{Change, EndKind, JobSpec, JobState, Phase, Repeat, StepSpec};

/// Guards against a resent submission that starts the job again.
#[test]
fn a_resent_job_stays_one_job() {
    let mut sample = Sample::with_hosts(2);
    let job = sample.accept(1, "normal", vec![step(2, 1)]);
    sample.start(&job, 0, 1, &[0]);
    sample.begin(&job);
    sample.accept(1, "normal", vec![step(2, 1)]);
    assert_eq!(sample.state.jobs[&job].state(), JobState::Active);
    assert_eq!(sample.state.runs_of(&incarnation(0)).len(), 1);
}

/// Guards against a second start of a running unit, which would run it twice at once.
#[test]
fn a_unit_has_one_run_at_a_time() {
    let mut sample = Sample::with_hosts(2);
    let job = sample.accept(1, "normal", vec![step(1, 1)]);
    sample.start(&job, 0, 1, &[0]);
    sample.start(&job, 0, 2, &[1]);
    assert!(sample.state.runs_of(&incarnation(1)).is_empty());
    sample.end(&job, 0, 1, 0, EndKind::Stopped);
    sample.start(&job, 0, 1, &[1]);
    assert!(sample.state.runs_of(&incarnation(1)).is_empty(), "a run's number must rise");
    sample.start(&job, 0, 2, &[1]);
    assert_eq!(sample.state.runs_of(&incarnation(1)).len(), 1);
}

/// Guards against a late report that ends another run, or a run on another upstream.
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

/// Guards against a job that counts as begun because a run was recorded: the order may never arrive.
/// Only what its upstream says proves it.
#[test]
fn a_job_has_begun_once_its_upstream_says_so() {
    let mut sample = Sample::with_hosts(1);
    let job = sample.accept(1, "normal", vec![step(1, 1)]);
    let of = |sample: &Sample| (sample.state.jobs[&job].state(), sample.state.pending("normal"));
    sample.start(&job, 0, 1, &[0]);
    assert_eq!(of(&sample), (JobState::Queued, 1), "a recorded run");
    sample.end(&job, 0, 1, 0, EndKind::NotStarted);
    assert_eq!(of(&sample), (JobState::Queued, 1), "a run that never started");
    sample.start(&job, 0, 2, &[0]);
    sample.apply(Change::RemoveUpstream { incarnation: incarnation(0) });
    assert_eq!(of(&sample), (JobState::Queued, 1), "a run that was lost unseen");
    sample.apply(Change::RegisterUpstream { heartbeat: heartbeat(0) });
    sample.start(&job, 0, 3, &[0]);
    sample.end(&job, 0, 3, 0, EndKind::Stopped);
    assert_eq!(of(&sample), (JobState::Active, 0), "a listed end");
    let other = sample.accept(2, "normal", vec![step(1, 1)]);
    sample.begin(&other);
    assert_eq!(sample.state.jobs[&other].state(), JobState::Active, "an answered start");
    assert_eq!(sample.state.pending("normal"), 0);
}

/// Guards against a lasting task that waits without end because runs which never started count as its
/// last: its wait begins when its last run has ended.
#[test]
fn a_run_that_never_started_does_not_begin_the_wait_anew() {
    let mut sample = Sample::with_hosts(1);
    let job = sample.accept(1, "normal", vec![StepSpec { lasting: true, ..step(1, 1) }]);
    for (run, how, at_ms) in [(1, EndKind::Stopped, 5_000), (2, EndKind::NotStarted, 9_000)] {
        sample.start(&job, 0, run, &[0]);
        sample.at(at_ms);
        sample.end(&job, 0, run, 0, how);
    }
    assert_eq!(sample.state.jobs[&job].unit(0, 0, 0).unwrap().waiting_since_ms, 5_000);
}

/// Guards against runs that use up attempts although they did not fail.
#[rstest]
#[case::failed(EndKind::Failed, JobState::Failed)]
#[case::stopped(EndKind::Stopped, JobState::Active)]
#[case::lapsed(EndKind::Lapsed, JobState::Active)]
#[case::not_started(EndKind::NotStarted, JobState::Queued)]
fn attempts_are_counted_by_failures(#[case] how: EndKind, #[case] after_two: JobState) {
    let mut sample = Sample::with_hosts(2);
    let job = sample.accept(1, "normal", vec![step(1, 1)]);
    for run in 1..=2 {
        sample.start(&job, 0, run, &[0]);
        sample.end(&job, 0, run, 0, how);
    }
    assert_eq!(sample.state.jobs[&job].state(), after_two);
}

/// The members of a gang finish together, so the first report completes the job; the capacity of
/// each member stays in use until its own end is reported.
#[test]
fn a_gang_is_done_with_its_first_done_member() {
    let mut sample = Sample::with_hosts(3);
    let job = sample.accept(1, "normal", vec![gang(3, 8)]);
    sample.start(&job, 0, 1, &[0, 1, 2]);
    sample.end(&job, 1, 1, 1, EndKind::Done);
    assert_eq!(sample.state.jobs[&job].state(), JobState::Completed);
    assert_eq!(sample.state.runs_of(&incarnation(0)).len(), 1);
    sample.end(&job, 0, 1, 0, EndKind::Done);
    sample.end(&job, 2, 1, 2, EndKind::Lapsed);
    assert_eq!(sample.state.jobs[&job].unit(0, 0, 0).unwrap().phase, Phase::Done);
    assert_eq!(sample.state.jobs[&job].state(), JobState::Completed);
}

/// Guards against a gang that uses up several attempts in one run, or restarts before all of its
/// members have ended.
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

/// Guards against an outcome that changes: late reports do not complete a cancelled job, and a late
/// cancellation does not cancel a completed one.
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

/// Guards against a start for a job that was cancelled after the decision and before its record.
#[test]
fn a_cancelled_job_starts_nothing() {
    let mut sample = Sample::with_hosts(1);
    let job = sample.accept(1, "normal", vec![step(1, 1)]);
    sample.apply(Change::Cancel { id: job.clone() });
    sample.start(&job, 0, 1, &[0]);
    assert!(sample.state.runs_of(&incarnation(0)).is_empty());
}

/// Guards against dropping a job within its retention period or while a run may still exist.
#[test]
fn ended_jobs_are_kept_for_their_time() {
    const RETENTION_MS: u64 = 120_000;
    let mut sample = Sample::with_hosts(1);
    let job = sample.accept(1, "normal", vec![step(1, 1)]);
    let may_be_dropped =
        |sample: &Sample, now_ms| sample.state.jobs[&job].may_be_dropped(now_ms, RETENTION_MS);
    assert!(!may_be_dropped(&sample, 10 * RETENTION_MS), "it has not ended");
    sample.start(&job, 0, 1, &[0]);
    sample.at(5_000);
    sample.apply(Change::Cancel { id: job.clone() });
    assert!(!may_be_dropped(&sample, 10 * RETENTION_MS), "its run may still exist");
    sample.end(&job, 0, 1, 0, EndKind::Stopped);
    assert!(!may_be_dropped(&sample, 5_000 + RETENTION_MS));
    assert!(may_be_dropped(&sample, 5_001 + RETENTION_MS));
}

/// Guards against a job whose figures overflow a sum, so that it passes the checks and fills the
/// memory: the task count is 2 to the power of 64 here.
#[rstest]
#[case::tasks_overflow(1 << 31, 0, 0, 1 << 31)]
#[case::endless_tasks(1, u64::MAX, 0, 1)]
#[case::due_in_the_far_future(1, 0, u64::MAX, 2)]
fn absurd_jobs_are_refused(
    #[case] tasks: u32,
    #[case] estimate_ms: u64,
    #[case] first_unix_ms: u64,
    #[case] times: u32,
) {
    let wide = StepSpec { tasks, estimate_ms, ..step(1, 1) };
    let repeat = Some(Repeat { times, first_unix_ms, interval_ms: 1_000 });
    let job = JobSpec { repeat, ..spec(vec![wide; 4]) };
    assert!(job.check().is_err());
}
