//! Whether and for whom running work is stopped.

use super::pool_view::{Inputs, STOP_MS, decide, decide_and_start, starts};
use crate::placement::stop_costs::{Claim, RunFacts, Slack, pays_off, stop_cost_core_ms};
use crate::placement::{Progress, StopCause};
use crate::tasks::tests::sample::{Sample, gang, job_id, step};
use crate::tasks::{EndKind, StepSpec, UnitId};

fn unit(job: u64) -> UnitId {
    UnitId { job: job_id(job), occurrence: 0, step: 0, unit: 0 }
}

fn run(unsaved_ms: u64, left_ms: u64) -> Progress {
    Progress { unsaved_ms, left_ms, ..Progress::default() }
}

/// Guards against a cost that ignores what a run resumes with, or how often it was stopped already.
#[test]
fn the_cost_follows_what_is_lost() {
    let cost = |facts: RunFacts| stop_cost_core_ms(&RunFacts { weight_millicores: 8_000, ..facts });
    let plain = cost(RunFacts { unsaved_ms: 5_000, ..RunFacts::default() });
    let saved = RunFacts { unsaved_ms: 400, checkpoints: true, ..RunFacts::default() };
    let again = RunFacts { earlier_stops: 2, ..saved };
    let fresh = RunFacts::default();
    let lasting = RunFacts { lasting: true, ..fresh };
    assert_eq!(plain, 44_000);
    assert_eq!(
        [cost(saved), cost(again), cost(fresh), cost(lasting)],
        [10_000, 30_000, 4_000, 84_000]
    );
}

/// Guards against stops for units that gain nothing by them, and against a guarantee that is weighed.
#[test]
fn a_stop_has_to_change_the_result() {
    let claim = |on_time_ms, useful_ms| Claim {
        slack: Slack { on_time_ms, useful_ms },
        is_guaranteed: false,
        work_core_ms: 10_000,
    };
    let on_time = claim(Some(1_000), Some(9_000));
    assert!(pays_off(&on_time, 400, None, 20_000), "only a stop keeps the objective");
    assert!(pays_off(&on_time, 400, Some(3_000), 20_000), "what becomes free comes too late");
    assert!(!pays_off(&on_time, 400, Some(900), 1), "what becomes free comes in time");
    let late = claim(None, Some(9_000));
    assert!(pays_off(&late, 400, None, 1_999), "a late result is worth a fifth of its work");
    assert!(!pays_off(&late, 400, None, 2_000), "the loss exceeds the gain");
    assert!(!pays_off(&late, 400, Some(8_000), 1), "late in either case");
    let expired = claim(None, None);
    assert!(!pays_off(&expired, 400, None, 0), "nothing helps");
    assert!(pays_off(&Claim { is_guaranteed: true, ..expired }, 400, None, u64::MAX));
}

/// Guards against stops for an urgent job that fits in time without any: it waits for the run that ends
/// by itself, and no other work takes that capacity.
#[test]
fn an_urgent_job_waits_for_capacity_that_is_free_in_time() {
    let mut sample = Sample::with_hosts(2);
    sample.accept(1, "batch", vec![step(1, 8)]);
    sample.accept(2, "batch", vec![step(1, 8)]);
    decide_and_start(&mut sample, &Inputs::default());
    sample.accept_for(9, "urgent", "east", vec![step(1, 8)]);
    sample.accept(10, "batch", vec![step(1, 8)]);
    let mut inputs = Inputs::default();
    inputs.progress.insert((unit(1), 1), run(100, 60_000));
    inputs.progress.insert((unit(2), 1), run(9_000, STOP_MS));
    assert_eq!(decide(&sample, &inputs).stops, []);
    sample.end(&job_id(2), 0, 1, 1, EndKind::Done);
    let plan = decide(&sample, &inputs);
    insta::assert_snapshot!(starts(&plan).join("\n"), @"0000000000000009.0.0.0 run 1: host-01");
}

/// Guards against a guaranteed job that relies on a run which is about to end: it may not, and then the
/// job starts later than its bound.
#[test]
fn a_guaranteed_job_does_not_wait_for_a_run_to_end() {
    let mut sample = Sample::with_hosts(2);
    sample.accept(1, "batch", vec![step(1, 8)]);
    sample.accept(2, "batch", vec![step(1, 8)]);
    decide_and_start(&mut sample, &Inputs::default());
    sample.accept(9, "urgent", vec![step(1, 8)]);
    let mut inputs = Inputs::default();
    inputs.progress.insert((unit(1), 1), run(100, 60_000));
    inputs.progress.insert((unit(2), 1), run(9_000, STOP_MS));
    assert_eq!(decide(&sample, &inputs).stops, [(unit(1), 1, StopCause::Preempted)]);
}

/// Guards against a run that is stopped although the gang stopped beside it frees enough: a gang's
/// members on other hosts count as freed as well.
#[test]
fn the_other_members_of_a_stopped_gang_count() {
    let mut sample = Sample::with_hosts(4);
    sample.accept(1, "normal", vec![gang(2, 8)]);
    sample.accept(2, "batch", vec![step(1, 8)]);
    sample.accept(3, "batch", vec![step(1, 8)]);
    decide_and_start(&mut sample, &Inputs::default());
    sample.accept(9, "urgent", vec![gang(2, 8)]);
    let mut inputs = Inputs::default();
    inputs.progress.insert((unit(1), 1), run(1_500, 60_000));
    inputs.progress.insert((unit(2), 1), run(1_000, 60_000));
    inputs.progress.insert((unit(3), 1), run(4_000, 60_000));
    let plan = decide(&sample, &inputs);
    assert_eq!(plan.stops, [(unit(1), 1, StopCause::Preempted)]);
}

/// Guards against cascades: capacity that is being freed stays with the unit it is freed for, and a
/// second urgent unit doesn't stop the same runs again.
#[test]
fn a_stop_serves_one_unit() {
    let mut sample = Sample::with_hosts(2);
    sample.accept(1, "batch", vec![step(2, 8)]);
    decide_and_start(&mut sample, &Inputs::default());
    sample.accept(8, "urgent", vec![step(1, 8)]);
    sample.accept(9, "urgent", vec![step(1, 8)]);
    let second = UnitId { unit: 1, ..unit(1) };
    let mut inputs = Inputs::default();
    inputs.progress.insert((unit(1), 1), run(100, 60_000));
    inputs.progress.insert((second.clone(), 1), run(200, 60_000));
    assert_eq!(decide(&sample, &inputs).stops.len(), 2);
    inputs.stopping.extend([(unit(1), 1), (second, 1)]);
    assert_eq!(decide(&sample, &inputs).stops, []);
}

/// Guards against a unit that is stopped again and again: a run that was stopped before is spared where
/// another one with as little unsaved work can be stopped.
#[test]
fn a_run_that_was_stopped_before_is_spared() {
    let mut sample = Sample::with_hosts(2);
    sample.accept(1, "batch", vec![step(1, 8)]);
    sample.accept(2, "batch", vec![step(1, 8)]);
    decide_and_start(&mut sample, &Inputs::default());
    sample.end(&job_id(1), 0, 1, 0, EndKind::Stopped);
    decide_and_start(&mut sample, &Inputs::default());
    sample.accept(9, "urgent", vec![StepSpec { estimate_ms: 2_000, ..step(1, 8) }]);
    let mut inputs = Inputs::default();
    inputs.progress.insert((unit(1), 2), run(200, 60_000));
    inputs.progress.insert((unit(2), 1), run(300, 60_000));
    assert_eq!(decide(&sample, &inputs).stops, [(unit(2), 1, StopCause::Preempted)]);
}
