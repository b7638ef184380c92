//! Decisions under load: overload, bursts, borrowers in the way.

use super::pool_view::{Inputs, decide, decide_and_start, starts};
use crate::placement::headroom::{Demand, Headroom};
use crate::placement::{Progress, StopCause};
use crate::tasks::tests::sample::{Sample, gang, job_id, step};
use crate::tasks::{StepSpec, UnitId};

fn unit(job: u64) -> UnitId {
    UnitId { job: job_id(job), occurrence: 0, step: 0, unit: 0 }
}

/// Load: more work than the pool can do. A job that can still be on time goes before one that is
/// late already, although that one has waited longer.
#[test]
fn jobs_that_can_be_on_time_go_first() {
    let mut sample = Sample::with_hosts(1);
    sample.accept(1, "normal", vec![step(1, 8)]);
    sample.at(8_000);
    sample.accept(2, "normal", vec![step(1, 8)]);
    let plan = decide(&sample, &Inputs::default());
    insta::assert_snapshot!(starts(&plan).join("\n"), @"0000000000000002.0.0.0 run 1: host-00");
}

/// Load: borrowers fill the pool when an urgent job arrives. The run with the least unsaved work
/// is stopped, and only as many as needed.
#[test]
fn urgent_work_stops_the_least_unsaved_work() {
    let mut sample = Sample::with_hosts(4);
    for job in 1..=4 {
        sample.accept(job, "batch", vec![step(1, 8)]);
    }
    decide_and_start(&mut sample, &Inputs::default());
    sample.accept(9, "urgent", vec![gang(2, 8)]);
    let mut inputs = Inputs::default();
    for (job, unsaved_ms) in [(1, 5_000), (2, 100), (3, 4_000), (4, 200)] {
        inputs.progress.insert((unit(job), 1), Progress { unsaved_ms });
    }
    let plan = decide(&sample, &inputs);
    let mut stops: Vec<_> = plan.stops.iter().map(|(unit, ..)| unit.clone()).collect();
    stops.sort();
    assert_eq!(stops, [unit(2), unit(4)]);
    assert!(plan.stops.iter().all(|(.., cause)| *cause == StopCause::Preempted));
}

/// While the stopped runs end, their place is kept for the urgent job, and nothing more is stopped.
#[test]
fn the_place_of_stopped_runs_is_kept() {
    let mut sample = Sample::with_hosts(2);
    for job in 1..=2 {
        sample.accept(job, "batch", vec![step(1, 8)]);
    }
    decide_and_start(&mut sample, &Inputs::default());
    sample.accept(9, "urgent", vec![gang(2, 8)]);
    sample.accept(10, "batch", vec![step(1, 8)]);
    let mut inputs = Inputs::default();
    inputs.stopping.extend([(unit(1), 1), (unit(2), 1)]);
    assert!(decide(&sample, &inputs).stops.is_empty());
    sample.end(&job_id(1), 0, 1, 0, crate::tasks::EndKind::Stopped);
    inputs.stopping.remove(&(unit(1), 1));
    let plan = decide(&sample, &inputs);
    assert!(plan.starts.is_empty(), "{:?}", starts(&plan));
}

/// Load: one urgent job after the other under a guarantee. Each of them has to begin in time, so one
/// that is late for its caller keeps its place, and what is being freed for it.
#[test]
fn guaranteed_jobs_keep_their_place() {
    let mut sample = Sample::with_hosts(2);
    for job in 1..=2 {
        sample.accept(job, "batch", vec![step(1, 8)]);
    }
    decide_and_start(&mut sample, &Inputs::default());
    sample.accept(8, "urgent", vec![StepSpec { estimate_ms: 1_000, ..gang(2, 8) }]);
    sample.at(2_500);
    sample.accept(9, "urgent", vec![step(1, 8)]);
    let mut inputs = Inputs::default();
    inputs.stopping.insert((unit(2), 1));
    sample.end(&job_id(1), 0, 1, 0, crate::tasks::EndKind::Stopped);
    let plan = decide(&sample, &inputs);
    assert!(plan.starts.is_empty(), "{:?}", starts(&plan));
}

/// Load: urgent jobs in bursts. Others leave free what urgent jobs took lately, and urgent jobs
/// may take it.
#[test]
fn the_reserve_is_for_urgent_work_only() {
    let mut sample = Sample::with_hosts(4);
    for job in 1..=4 {
        sample.accept(job, "batch", vec![step(1, 8)]);
    }
    let inputs = Inputs { reserve_millihosts: 2_000, ..Inputs::default() };
    assert_eq!(decide_and_start(&mut sample, &inputs).starts.len(), 2);
    sample.accept(9, "urgent", vec![gang(2, 8)]);
    let plan = decide(&sample, &inputs);
    insta::assert_snapshot!(starts(&plan).join("\n"), @"0000000000000009.0.0.0 run 1: host-02 host-03");
    assert!(plan.stops.is_empty());
}

/// Load: urgent jobs displace lasting tasks while the reserve is full. A lasting task starts again
/// as soon as there is room, before other work and in spite of the reserve.
#[test]
fn lasting_tasks_start_again_first() {
    let mut sample = Sample::with_hosts(2);
    sample.accept(1, "normal", vec![step(1, 8)]);
    sample.accept(2, "batch", vec![StepSpec { lasting: true, ..step(1, 8) }]);
    let inputs = Inputs { reserve_millihosts: 2_000, ..Inputs::default() };
    let plan = decide(&sample, &inputs);
    insta::assert_snapshot!(starts(&plan).join("\n"), @"0000000000000002.0.0.0 run 1: host-00");
}

/// Load: urgent jobs displace lasting tasks again and again, and more of them wait than the pool
/// holds. The one that has waited longest goes first, so that none stays away while others of
/// older jobs come and go.
#[test]
fn the_lasting_task_that_waited_longest_goes_first() {
    let mut sample = Sample::with_hosts(1);
    let lasting = || StepSpec { lasting: true, ..step(1, 8) };
    sample.accept(1, "batch", vec![lasting()]);
    decide_and_start(&mut sample, &Inputs::default());
    sample.at(2_000);
    sample.accept(2, "batch", vec![lasting()]);
    sample.at(9_000);
    sample.end(&job_id(1), 0, 1, 0, crate::tasks::EndKind::Stopped);
    let plan = decide(&sample, &Inputs::default());
    insta::assert_snapshot!(starts(&plan).join("\n"), @"0000000000000002.0.0.0 run 1: host-00");
}

/// Load: more lasting tasks than the pool holds, and room is being made for an urgent job. A lasting
/// task that has waited for long replaces one that has run for long, once.
#[test]
fn lasting_tasks_rotate_while_capacity_changes_hands() {
    let mut sample = Sample::with_hosts(6);
    let lasting = |tasks| StepSpec { lasting: true, ..step(tasks, 8) };
    sample.accept(1, "batch", vec![lasting(6)]);
    decide_and_start(&mut sample, &Inputs::default());
    sample.accept(2, "batch", vec![lasting(2)]);
    sample.at(7_000);
    let mut inputs = Inputs::default();
    for (number, ran_ms) in (0..).zip([5_500, 6_000, 7_000, 8_000, 1_000, 1_000]) {
        let run = (UnitId { unit: number, ..unit(1) }, 1);
        inputs.progress.insert(run, Progress { unsaved_ms: ran_ms });
    }
    assert!(decide(&sample, &inputs).stops.is_empty(), "a full pool stays as it is");
    sample.accept(9, "urgent", vec![gang(2, 8)]);
    let stops = decide(&sample, &inputs).stops;
    let stops: Vec<_> = stops.iter().map(|(unit, _, cause)| format!("{unit}: {cause}")).collect();
    insta::assert_snapshot!(stops.join("\n"), @r"
    0000000000000001.0.0.0: preempted
    0000000000000001.0.0.1: preempted
    0000000000000001.0.0.3: rotated
    ");
}

/// Load: an urgent job needs a host. The short work goes, not the task that serves on.
#[test]
fn lasting_tasks_are_displaced_last() {
    let mut sample = Sample::with_hosts(2);
    sample.accept(1, "batch", vec![StepSpec { lasting: true, ..step(1, 8) }]);
    sample.accept(2, "batch", vec![step(1, 8)]);
    decide_and_start(&mut sample, &Inputs::default());
    sample.accept(9, "urgent", vec![step(1, 8)]);
    let mut inputs = Inputs::default();
    inputs.progress.insert((unit(1), 1), Progress { unsaved_ms: 0 });
    inputs.progress.insert((unit(2), 1), Progress { unsaved_ms: 3_000 });
    let plan = decide(&sample, &inputs);
    assert_eq!(plan.stops, [(unit(2), 1, StopCause::Preempted)]);
}

/// Load: an urgent job needs a host on which only tasks stand that must not be made unavailable.
/// Nothing is stopped for it, nor for another lasting task.
#[test]
fn tasks_with_a_limit_of_absence_are_not_displaced() {
    let mut sample = Sample::with_hosts(2);
    let serving = StepSpec { lasting: true, away_limit: Some(1), ..step(2, 8) };
    sample.accept(1, "batch", vec![serving]);
    decide_and_start(&mut sample, &Inputs::default());
    sample.accept(2, "batch", vec![StepSpec { lasting: true, ..step(1, 8) }]);
    sample.at(10_000);
    sample.accept(9, "urgent", vec![step(1, 8)]);
    let mut inputs = Inputs::default();
    for number in 0..2 {
        let run = (UnitId { unit: number, ..unit(1) }, 1);
        inputs.progress.insert(run, Progress { unsaved_ms: 10_000 });
    }
    assert!(decide(&sample, &inputs).stops.is_empty());
}

/// The reserve follows the peak of the last 20 s and never takes more than a quarter of the pool.
#[test]
fn the_reserve_follows_recent_demand() {
    let mut headroom = Headroom::default();
    let demand = |total| Demand { total, largest_unit: total.min(1_000) };
    assert_eq!(headroom.reserve(0, demand(0), 48), 0);
    assert_eq!(headroom.reserve(1_000, demand(9_000), 48), 1_000);
    assert_eq!(headroom.reserve(2_000, demand(3_000), 48), 6_000);
    assert_eq!(headroom.reserve(3_000, demand(0), 48), 9_000);
    assert_eq!(headroom.reserve(4_000, demand(0), 8), 2_000);
    assert_eq!(headroom.reserve(22_500, demand(0), 48), 0);
}

/// Load: a wave of cancellations. Everything that runs for the jobs is stopped in one decision.
#[test]
fn cancelled_jobs_are_stopped_at_once() {
    let mut sample = Sample::with_hosts(8);
    for job in 1..=8 {
        sample.accept(job, "batch", vec![step(2, 4)]);
    }
    decide_and_start(&mut sample, &Inputs::default());
    for job in 1..=8 {
        sample.apply(crate::tasks::Change::Cancel { id: job_id(job) });
    }
    assert_eq!(decide(&sample, &Inputs::default()).stops.len(), 16);
}
