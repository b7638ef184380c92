//! Jobs that repeat: which occurrences are held.

use std::sync::Arc;

use crate::cluster::codec::{decode, encode};
use crate::tasks::job::Step;
use crate::tasks::occurrences::Occurrences;
use crate::tasks::tests::sample::{Sample, gang, incarnation, job_id, spec, step};
use crate::tasks::{
    Change, EndKind, EndRecord, JobId, JobSpec, JobState, Opening, Repeat, StartRecord, State,
    StepSpec, TaskId, UnitId,
};

/// A quarter of an hour, for a year.
const TIMES: u32 = 35_040;
const INTERVAL_MS: u64 = 900_000;

fn accept(sample: &mut Sample, number: u64, times: u32, steps: Vec<StepSpec>) -> JobId {
    let repeat = Some(Repeat { times, first_unix_ms: 0, interval_ms: INTERVAL_MS });
    let spec = Arc::new(JobSpec { repeat, ..spec(steps) });
    let (id, organisation) = (job_id(number), Some("north".into()));
    sample.apply(Change::Accept { id: id.clone(), queue: "normal".into(), organisation, spec });
    id
}

fn open(sample: &mut Sample, job: &JobId, until: u32) {
    let openings = vec![Opening { job: job.clone(), until }];
    sample.apply(Change::OpenOccurrences { openings });
}

fn start(sample: &mut Sample, job: &JobId, occurrence: u32, hosts: &[u32]) {
    let unit = UnitId { job: job.clone(), occurrence, step: 0, unit: 0 };
    let incarnations = hosts.iter().map(|host| incarnation(*host)).collect();
    sample.apply(Change::Start { starts: vec![StartRecord { unit, run: 1, incarnations }] });
}

fn end(sample: &mut Sample, job: &JobId, occurrence: u32, member: u32) {
    let task = TaskId { job: job.clone(), occurrence, step: 0, index: member };
    let ends = vec![EndRecord { task, run: 1, how: EndKind::Done, checkpoint: None }];
    let incarnation = incarnation(member);
    sample.apply(Change::RecordEnds { incarnation, up_to: 0, ends });
}

/// Guards against control hosts that run out of memory, all at once and again after each restart: some
/// thirty accepted jobs that repeat for a year took 256 MB when all their occurrences were held.
#[test]
fn a_job_that_repeats_for_a_year_takes_little_memory() {
    let mut sample = Sample::with_hosts(1);
    let job = accept(&mut sample, 1, TIMES, vec![step(2, 1)]);
    open(&mut sample, &job, 3);
    assert_eq!(sample.state.jobs[&job].occurrences.units(), 6);
    assert!(sample.state.held_bytes() < 10_000, "{}", sample.state.held_bytes());
    assert!(encode(&sample.state).len() < 10_000);
}

/// Guards against memory that is taken by what is over: an occurrence that is done, also one of a gang
/// whose members report one after the other, and a job that was cancelled.
#[test]
fn what_is_over_takes_no_memory() {
    let mut sample = Sample::with_hosts(2);
    let job = accept(&mut sample, 1, 3, vec![gang(2, 8)]);
    open(&mut sample, &job, 2);
    start(&mut sample, &job, 0, &[0, 1]);
    end(&mut sample, &job, 0, 0);
    assert_eq!(sample.state.jobs[&job].occurrences.units(), 2, "a member may still run");
    end(&mut sample, &job, 0, 1);
    assert_eq!(sample.state.jobs[&job].occurrences.units(), 1);
    let wide = sample.accept(2, "normal", vec![step(1_000, 1)]);
    sample.start(&wide, 0, 1, &[0]);
    sample.apply(Change::Cancel { id: wide.clone() });
    sample.apply(Change::DropSteps { jobs: vec![wide.clone()] });
    assert_eq!(sample.state.jobs[&wide].occurrences.units(), 1_000, "a task may still run");
    sample.end(&wide, 0, 1, 0, EndKind::Stopped);
    sample.apply(Change::DropSteps { jobs: vec![wide.clone(), job.clone()] });
    assert_eq!(sample.state.jobs[&wide].occurrences.units(), 0);
    assert_eq!(sample.state.jobs[&job].occurrences.units(), 1, "it has not ended");
    assert_eq!(sample.state.jobs[&wide].state(), JobState::Cancelled);
}

/// Guards against a repeated job that counts as completed before its last occurrence, or never.
#[test]
fn a_repeated_job_is_completed_by_its_last_occurrence() {
    let mut sample = Sample::with_hosts(1);
    let job = accept(&mut sample, 1, 2, vec![step(1, 1)]);
    for occurrence in 0..2 {
        assert_ne!(sample.state.jobs[&job].state(), JobState::Completed);
        open(&mut sample, &job, occurrence + 1);
        start(&mut sample, &job, occurrence, &[0]);
        end(&mut sample, &job, occurrence, 0);
    }
    assert_eq!(sample.state.jobs[&job].state(), JobState::Completed);
}

/// Guards against an occurrence that runs again because it was closed or opened twice.
#[test]
fn a_closed_occurrence_is_not_opened_again() {
    let mut sample = Sample::with_hosts(1);
    let job = accept(&mut sample, 1, 3, vec![step(1, 1)]);
    open(&mut sample, &job, 1);
    start(&mut sample, &job, 0, &[0]);
    end(&mut sample, &job, 0, 0);
    open(&mut sample, &job, 1);
    start(&mut sample, &job, 0, &[0]);
    assert!(sample.state.runs_of(&incarnation(0)).is_empty());
}

/// Guards against starts that are lost when a log of an earlier build is read, in which occurrences were
/// open from the acceptance on.
#[test]
fn a_start_opens_its_occurrence() {
    let mut sample = Sample::with_hosts(1);
    let job = accept(&mut sample, 1, 3, vec![step(1, 1)]);
    start(&mut sample, &job, 1, &[0]);
    assert_eq!(sample.state.runs_of(&incarnation(0)).len(), 1);
    assert_eq!(sample.state.jobs[&job].occurrences.next(), 2);
}

/// Guards against occurrences, or runs, that a host forgets when it reads a snapshot.
#[test]
fn a_snapshot_keeps_which_occurrences_are_open() {
    let mut sample = Sample::with_hosts(1);
    let job = accept(&mut sample, 1, 5, vec![step(1, 1)]);
    open(&mut sample, &job, 3);
    for occurrence in 0..2 {
        start(&mut sample, &job, occurrence, &[0]);
    }
    end(&mut sample, &job, 0, 0);
    let mut restored: State = decode(&encode(&sample.state)).expect("a snapshot");
    restored.rebuild();
    assert_eq!(restored.jobs, sample.state.jobs);
    assert_eq!(restored.runs_of(&incarnation(0)), sample.state.runs_of(&incarnation(0)));
}

/// Guards against a host that cannot read the snapshot of an earlier build, which listed all occurrences
/// with all of their steps.
#[test]
fn a_snapshot_of_an_earlier_build_is_read() {
    let earlier: Vec<Vec<Step>> = vec![vec![Step::new(&step(2, 1), 0)]; 3];
    let occurrences: Occurrences = decode(&encode(&earlier)).expect("the same layout");
    assert_eq!((occurrences.next(), occurrences.units()), (3, 6));
    assert_eq!(encode(&occurrences), encode(&earlier));
}
