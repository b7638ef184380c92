//! Which occurrences of repeated jobs are opened.

use std::sync::Arc;

use rstest::rstest;

use super::pool_view::{Inputs, JOBS_MAX_BYTES, decide, decide_and_start};
use crate::placement::Plan;
use crate::tasks::tests::sample::{Sample, incarnation, job_id, spec, step};
use crate::tasks::{Change, JobSpec, Opening, Repeat};

const FIRST_UNIX_MS: u64 = 1_000_000;

fn accept(sample: &mut Sample, number: u64, tasks: u32, times: u32, interval_ms: u64) {
    let repeat = Some(Repeat { times, first_unix_ms: FIRST_UNIX_MS, interval_ms });
    let spec = Arc::new(JobSpec { repeat, ..spec(vec![step(tasks, 1)]) });
    let (id, organisation) = (job_id(number), Some("north".into()));
    sample.apply(Change::Accept { id, queue: "normal".into(), organisation, spec });
}

fn openings(sample: &Sample, unix_ms: u64) -> Vec<Opening> {
    decide(sample, &Inputs { unix_ms, ..Inputs::default() }).openings
}

/// Guards against an occurrence that starts late because it is opened once it is due, or takes memory
/// long before.
#[rstest]
#[case::long_before(FIRST_UNIX_MS - 1_001, 0)]
#[case::just_before(FIRST_UNIX_MS - 1_000, 1)]
#[case::second(FIRST_UNIX_MS + 9_000, 2)]
#[case::all(FIRST_UNIX_MS + 1_000_000, 3)]
#[case::clock_at_zero(0, 0)]
fn occurrences_are_opened_shortly_before_they_are_due(#[case] unix_ms: u64, #[case] expected: u32) {
    let mut sample = Sample::with_hosts(1);
    accept(&mut sample, 1, 1, 3, 10_000);
    let until = openings(&sample, unix_ms).first().map_or(0, |opening| opening.until);
    assert_eq!(until, expected);
}

/// Guards against memory that is taken by thousands of occurrences that are due while the pool is full,
/// and against a pool that stays empty meanwhile.
#[test]
fn occurrences_beyond_the_room_stay_closed() {
    let mut sample = Sample::with_hosts(2);
    accept(&mut sample, 1, 1, 30_000, 0);
    let inputs = Inputs { unix_ms: FIRST_UNIX_MS, ..Inputs::default() };
    for _ in 0..10 {
        decide_and_start(&mut sample, &inputs);
    }
    let running: usize = (0..2).map(|host| sample.state.runs_of(&incarnation(host)).len()).sum();
    assert_eq!(running, 16, "one for each accelerator");
    assert_eq!(sample.state.jobs[&job_id(1)].occurrences.units(), 32);
}

/// Guards against due occurrences of many jobs that together take more memory than there is: those that
/// are due first are opened.
#[test]
fn due_occurrences_take_no_more_memory_than_there_is() {
    let mut sample = Sample::with_hosts(1);
    for job in 1..=40 {
        accept(&mut sample, job, 12_500, 8, 0);
    }
    for _ in 0..10 {
        let openings = openings(&sample, FIRST_UNIX_MS);
        sample.apply(Change::OpenOccurrences { openings });
        assert!(sample.state.held_bytes() <= JOBS_MAX_BYTES, "{}", sample.state.held_bytes());
    }
    assert!(sample.state.held_bytes() > JOBS_MAX_BYTES * 9 / 10);
}

/// Guards against an occurrence that is opened again and again, or of a job that has ended.
#[test]
fn nothing_is_opened_twice_or_after_the_end() {
    let mut sample = Sample::with_hosts(1);
    accept(&mut sample, 1, 1, 3, 10_000);
    let inputs = Inputs { unix_ms: FIRST_UNIX_MS, ..Inputs::default() };
    let Plan { openings, .. } = decide_and_start(&mut sample, &inputs);
    assert!(openings.is_empty(), "{openings:?}");
    sample.apply(Change::Cancel { id: job_id(1) });
    let later = Inputs { unix_ms: FIRST_UNIX_MS + 50_000, ..Inputs::default() };
    assert!(decide(&sample, &later).openings.is_empty());
}
