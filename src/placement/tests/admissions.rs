//! Admission of jobs under load.

use rstest::rstest;

use super::pool_view::{Inputs, JOBS_MAX_BYTES, hosts};
use crate::placement::{Admission, Admissions, Approvals, View, jobs_to_shrink};
use crate::tasks::tests::sample::{Sample, gang, job_id, queue, spec, step};
use crate::tasks::{JobSpec, PromisedReturn, RETURNS_MAX, Repeat, StepSpec};

/// Priority of the queue by its name in the sample.
fn priority(name: &str) -> u32 {
    match name {
        "urgent" => 0,
        "normal" => 1,
        _ => 2,
    }
}

fn with_view<T>(sample: &Sample, work: impl FnOnce(&View<'_>) -> T) -> T {
    let inputs = Inputs::default();
    work(&View {
        state: &sample.state,
        hosts: &hosts(sample, &inputs),
        now_ms: sample.state.now_ms,
        unix_ms: 0,
        stopping: &inputs.stopping,
        progress: &inputs.progress,
        avoid: &inputs.avoid,
        approvals: &Approvals::default(),
        learned: &inputs.learned,
        reserve_millihosts: 0,
        stop_ms: 400,
        weighs_stops: true,
        jobs_max_bytes: JOBS_MAX_BYTES,
    })
}

/// Decides on a job of `north`; returns the time to come back if it is refused.
fn submit(
    sample: &Sample,
    admissions: &mut Admissions,
    name: &str,
    (number, spec): (u64, &JobSpec),
) -> Option<u64> {
    let queue = queue(name, priority(name));
    let id = job_id(number);
    let admission =
        with_view(sample, |view| admissions.decide(view, &queue, Some("north"), (&id, spec)));
    match admission {
        Admission::Accepted { .. } => None,
        Admission::RetryLater { retry_after_ms, .. } => Some(retry_after_ms),
    }
}

/// Four hosts, and work of `jobs` jobs that keep all of them busy for 4 s each, waiting.
///
/// The objective of such a job is 9 s, and its result is of use for 27 s.
fn backlog(jobs: u64) -> (Sample, Admissions) {
    let mut sample = Sample::with_hosts(4);
    for job in 1..=jobs {
        sample.accept(job, "normal", vec![step(4, 8)]);
    }
    let mut admissions = Admissions::default();
    with_view(&sample, |view| admissions.update(view));
    (sample, admissions)
}

fn whole_pool() -> JobSpec {
    spec(vec![step(4, 8)])
}

/// Guards against a caller that is told yes and gets nothing: a job that would be done after its
/// result is of use is refused at once, and one that would be done before is not.
#[test]
fn a_job_that_would_be_done_too_late_is_refused() {
    let (sample, mut admissions) = backlog(4);
    assert_eq!(submit(&sample, &mut admissions, "normal", (9, &whole_pool())), None);
    let (sample, mut admissions) = backlog(6);
    let retry_after_ms = submit(&sample, &mut admissions, "normal", (9, &whole_pool()));
    insta::assert_debug_snapshot!(retry_after_ms, @r"
    Some(
        5235,
    )
    ");
}

/// Guards against refusals of urgent work for a backlog that it goes before.
#[test]
fn a_backlog_of_lower_priority_refuses_nothing() {
    let (sample, mut admissions) = backlog(6);
    let urgent = spec(vec![gang(2, 8)]);
    assert_eq!(submit(&sample, &mut admissions, "urgent", (9, &urgent)), None);
}

/// Guards against a refusal of what was promised or cannot wait: jobs under a guarantee, jobs at
/// given times, and lasting jobs.
#[test]
fn guaranteed_timed_and_lasting_jobs_are_accepted() {
    let (mut sample, _) = backlog(0);
    for job in 1..=8 {
        sample.accept_for(job, "urgent", "south", vec![step(4, 8)]);
    }
    let mut admissions = Admissions::default();
    with_view(&sample, |view| admissions.update(view));
    let urgent = whole_pool();
    assert_eq!(submit(&sample, &mut admissions, "urgent", (20, &urgent)), None, "guaranteed");
    let repeat = Repeat { times: 3, first_unix_ms: 60_000, interval_ms: 10_000 };
    let timed = JobSpec { repeat: Some(repeat), ..whole_pool() };
    assert_eq!(submit(&sample, &mut admissions, "normal", (21, &timed)), None);
    let lasting = spec(vec![StepSpec { lasting: true, ..step(4, 8) }]);
    assert_eq!(submit(&sample, &mut admissions, "normal", (22, &lasting)), None);
    assert!(submit(&sample, &mut admissions, "normal", (23, &whole_pool())).is_some());
}

/// Guards against refused callers who all return at once, and against a new caller who takes the
/// place of one that was refused before: each is told a later time than the one before.
#[test]
fn refused_callers_return_in_their_order() {
    let (sample, mut admissions) = backlog(6);
    let mut told = Vec::new();
    for number in 10..14 {
        told.extend(submit(&sample, &mut admissions, "normal", (number, &whole_pool())));
    }
    assert_eq!(told.len(), 4);
    assert!(told.windows(2).all(|pair| pair[1] >= pair[0] + 4_000), "{told:?}");
}

/// Guards against a caller that returns as told and is treated as new: its turn comes before those
/// that were refused later, and its objective counts from its first submission.
#[test]
fn a_returning_caller_keeps_its_turn() {
    let (mut sample, mut admissions) = backlog(6);
    for number in 10..12 {
        assert!(submit(&sample, &mut admissions, "normal", (number, &whole_pool())).is_some());
    }
    // Meanwhile three of the waiting jobs were done.
    for job in 1..=3 {
        sample.apply(crate::tasks::Change::Cancel { id: job_id(job) });
    }
    sample.at(6_000);
    with_view(&sample, |view| admissions.update(view));
    assert_eq!(submit(&sample, &mut admissions, "normal", (10, &whole_pool())), None);
    sample.at(30_000);
    assert!(submit(&sample, &mut admissions, "normal", (11, &whole_pool())).is_some(), "too late");
}

/// Guards against a refusal with capacity free: a caller that was refused long ago, and whose job is
/// late already, is accepted once the backlog is done.
#[test]
fn a_caller_is_accepted_once_the_backlog_is_done() {
    let (mut sample, mut admissions) = backlog(20);
    let told_ms = submit(&sample, &mut admissions, "normal", (30, &whole_pool()));
    for job in 1..=20 {
        sample.apply(crate::tasks::Change::Cancel { id: job_id(job) });
    }
    sample.at(told_ms.expect("refused"));
    with_view(&sample, |view| admissions.update(view));
    assert_eq!(submit(&sample, &mut admissions, "normal", (30, &whole_pool())), None);
}

/// Guards against a refusal that is not true: while a job's acceptance is being stored, a repeated
/// submission of it is not refused.
#[test]
fn a_job_that_is_being_stored_is_not_refused() {
    let (mut sample, mut admissions) = backlog(0);
    assert_eq!(submit(&sample, &mut admissions, "normal", (9, &whole_pool())), None);
    for job in 1..=6 {
        sample.accept(job, "normal", vec![step(4, 8)]);
    }
    with_view(&sample, |view| admissions.update(view));
    assert_eq!(submit(&sample, &mut admissions, "normal", (9, &whole_pool())), None);
    admissions.end_storing(&job_id(9));
    assert!(submit(&sample, &mut admissions, "normal", (9, &whole_pool())).is_some());
}

/// Guards against control hosts that run out of memory: jobs beyond what fits are refused for a while,
/// also those that are due later or last, and accepted again once others have ended.
#[rstest]
#[case::plain(spec(vec![step(90_000, 0)]))]
#[case::lasting(spec(vec![StepSpec { lasting: true, ..step(90_000, 0) }]))]
#[case::many_steps(spec(vec![step(1, 0); 40_000]))]
fn jobs_beyond_the_memory_are_refused_for_a_while(#[case] spec: JobSpec) {
    let spec = JobSpec { steps: spec.steps.iter().map(without_work).collect(), ..spec };
    let mut sample = Sample::with_hosts(1);
    let mut admissions = Admissions::default();
    let mut accepted = 0;
    while submit(&sample, &mut admissions, "normal", (accepted + 1, &spec)).is_none() {
        accepted += 1;
        assert!(accepted < 100, "all are accepted");
        sample.accept(accepted, "normal", spec.steps.clone());
    }
    assert!(accepted > 1, "{accepted}");
    assert!(sample.state.held_bytes() < JOBS_MAX_BYTES);
    sample.apply(crate::tasks::Change::Cancel { id: job_id(1) });
    let jobs = jobs_to_shrink(&sample.state, JOBS_MAX_BYTES);
    assert_eq!(jobs, [job_id(1)]);
    sample.apply(crate::tasks::Change::DropSteps { jobs });
    with_view(&sample, |view| admissions.update(view));
    assert_eq!(submit(&sample, &mut admissions, "normal", (accepted + 1, &spec)), None);
}

/// A step that the forecast takes for no work.
fn without_work(step: &StepSpec) -> StepSpec {
    StepSpec { estimate_ms: 0, ..step.clone() }
}

/// `jobs` jobs of `organisation` wait, each of which keeps all of four hosts busy for 4 s.
fn flood(organisation: &str, jobs: u64) -> (Sample, Admissions) {
    let mut sample = Sample::with_hosts(4);
    for job in 1..=jobs {
        sample.accept_for(job, "normal", organisation, vec![step(4, 8)]);
    }
    let mut admissions = Admissions::default();
    with_view(&sample, |view| admissions.update(view));
    (sample, admissions)
}

/// Guards against a small organisation that is refused, or told a late time, for the backlog of another:
/// the flood of one refuses its own jobs and not those of the others.
#[test]
fn a_flood_refuses_its_own_jobs() {
    let (sample, mut admissions) = flood("south", 12);
    assert_eq!(submit(&sample, &mut admissions, "normal", (20, &whole_pool())), None);
    let (sample, mut admissions) = flood("north", 12);
    assert!(submit(&sample, &mut admissions, "normal", (20, &whole_pool())).is_some());
}

/// Guards against a forecast that is not true for an organisation with a backlog of its own: the others
/// get their part while it is done.
#[test]
fn the_others_get_their_part_meanwhile() {
    let (mut sample, _) = flood("south", 12);
    for job in 13..=15 {
        sample.accept(job, "normal", vec![step(4, 8)]);
    }
    let mut admissions = Admissions::default();
    with_view(&sample, |view| admissions.update(view));
    // Three jobs of its own, and as many of the other and one for the new one, take 33 s.
    assert!(submit(&sample, &mut admissions, "normal", (20, &whole_pool())).is_some());
}

/// Guards against callers who lose their turn with the leader: a new one, which has only what was
/// recorded, lets the earlier caller return first and gives nobody its turn.
#[test]
fn turns_survive_a_change_of_leader() {
    let (mut sample, mut former) = backlog(6);
    sample.at(5_000);
    with_view(&sample, |view| former.update(view));
    let told = [10, 11].map(|number| {
        submit(&sample, &mut former, "normal", (number, &whole_pool())).expect("refused")
    });
    let returns = former.take_unrecorded(sample.state.now_ms);
    assert_eq!(returns.len(), 2);
    assert!(former.take_unrecorded(sample.state.now_ms).is_empty(), "recorded once");
    sample.apply(crate::tasks::Change::RecordReturns { returns });

    let mut next = Admissions::default();
    let late = submit(&sample, &mut next, "normal", (12, &whole_pool())).expect("refused");
    assert!(late > told[1], "{late} after {told:?}");
    for job in 1..=3 {
        sample.apply(crate::tasks::Change::Cancel { id: job_id(job) });
    }
    sample.at(5_000 + told[0]);
    with_view(&sample, |view| next.update(view));
    assert_eq!(submit(&sample, &mut next, "normal", (10, &whole_pool())), None);
    sample.accept(10, "normal", whole_pool().steps);
    assert!(!sample.state.returns.contains_key(&job_id(10)), "its turn is over");
}

/// Guards against turns that take ever more memory when callers do not return.
#[test]
fn turns_are_bounded_in_number_and_age() {
    let mut sample = Sample::with_hosts(1);
    let promised = |number: u64| PromisedReturn {
        first_ms: 0,
        at_ms: 10_000 + number,
        service: "pool".into(),
        priority: 1,
        organisation: "north".into(),
        work_ms: 1,
    };
    let number_max = RETURNS_MAX as u64 + 50;
    for first in (0..number_max).step_by(256) {
        let numbers = first..number_max.min(first + 256);
        let returns = numbers.map(|number| (job_id(number), promised(number))).collect();
        sample.apply(crate::tasks::Change::RecordReturns { returns });
    }
    assert_eq!(sample.state.returns.len(), RETURNS_MAX);
    assert!(sample.state.returns.contains_key(&job_id(0)), "those that return first are kept");
    sample.at(60_000);
    sample.apply(crate::tasks::Change::RecordReturns { returns: Vec::new() });
    assert!(sample.state.returns.is_empty());
}
