//! Placement under load: overload, bursts of urgent jobs, and pools filled by borrowers.

use rstest::rstest;

use super::pool_view::{Inputs, decide, decide_and_start, starts};
use crate::placement::headroom::{Demand, Headroom};
use crate::placement::{Progress, StopCause};
use crate::tasks::tests::sample::{Sample, gang, job_id, step};
use crate::tasks::{StepSpec, UnitId};

fn unit(job: u64) -> UnitId {
    UnitId { job: job_id(job), occurrence: 0, step: 0, unit: 0 }
}

/// Progress of a run with unsaved work that is far from its end.
fn progress(unsaved_ms: u64) -> Progress {
    Progress { unsaved_ms, left_ms: 60_000, ..Progress::default() }
}

/// Guards against first come first served under overload, which makes every job late: a job that
/// can still be on time goes before one that is late already and has waited longer.
#[test]
fn jobs_that_can_be_on_time_go_first() {
    let mut sample = Sample::with_hosts(1);
    sample.accept(1, "normal", vec![step(1, 8)]);
    sample.at(8_000);
    sample.accept(2, "normal", vec![step(1, 8)]);
    let plan = decide(&sample, &Inputs::default());
    insta::assert_snapshot!(starts(&plan).join("\n"), @"0000000000000002.0.0.0 run 1: host-00");
}

/// Guards against needless loss of work when an urgent job arrives in a full pool: only the runs
/// with the least unsaved work are stopped, and no more than needed.
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
        inputs.progress.insert((unit(job), 1), progress(unsaved_ms));
    }
    let plan = decide(&sample, &inputs);
    let mut stops: Vec<_> = plan.stops.iter().map(|(unit, ..)| unit.clone()).collect();
    stops.sort();
    assert_eq!(stops, [unit(2), unit(4)]);
    assert!(plan.stops.iter().all(|(.., cause)| *cause == StopCause::Preempted));
}

/// Guards against giving away capacity that is being freed: while the stopped runs end, it stays
/// reserved for the urgent job, and nothing more is stopped.
#[test]
fn capacity_of_stopping_runs_is_kept_for_the_urgent_job() {
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

/// Guards against a guaranteed job that is overtaken once it is late: each of them has to start
/// within a bound, so it keeps its turn and the capacity that is being freed for it.
#[test]
fn guaranteed_jobs_keep_their_turn() {
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

/// Guards against other work that fills the reserve between bursts of urgent jobs, and against
/// urgent jobs that may not use it.
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

/// Guards against preempted lasting tasks that stay away: one starts again as soon as it fits,
/// before other work and even within the reserve.
#[test]
fn lasting_tasks_start_again_first() {
    let mut sample = Sample::with_hosts(2);
    sample.accept(1, "normal", vec![step(1, 8)]);
    sample.accept(2, "batch", vec![StepSpec { lasting: true, ..step(1, 8) }]);
    let inputs = Inputs { reserve_millihosts: 2_000, ..Inputs::default() };
    let plan = decide(&sample, &inputs);
    insta::assert_snapshot!(starts(&plan).join("\n"), @"0000000000000002.0.0.0 run 1: host-00");
}

/// Guards against starvation of a lasting task when more of them wait than the pool holds: the one
/// that has waited longest goes first, even if its job is newer.
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

/// Guards against starvation of lasting tasks while urgent jobs preempt others: one that has waited
/// long enough replaces one that has run long enough, once. A full pool alone causes no rotation.
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
        inputs.progress.insert(run, progress(ran_ms));
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

/// Guards against rotation that sustains itself: the capacity of runs that rotation itself stops
/// does not change hands for anyone else, so a pool that is merely full comes to rest.
#[test]
fn rotation_causes_no_further_rotation() {
    let mut sample = Sample::with_hosts(40);
    let lasting = |tasks| StepSpec { lasting: true, ..step(tasks, 8) };
    sample.accept(1, "batch", vec![lasting(40)]);
    decide_and_start(&mut sample, &Inputs::default());
    sample.accept(2, "batch", vec![lasting(20)]);
    sample.at(7_000);
    let mut inputs = Inputs::default();
    for number in 0..40 {
        inputs.progress.insert((UnitId { unit: number, ..unit(1) }, 1), progress(7_000));
    }
    inputs.stopping.extend((0..2).map(|number| (UnitId { unit: number, ..unit(1) }, 1)));
    assert_eq!(decide(&sample, &inputs).stops, []);
    sample.accept(9, "urgent", vec![gang(2, 8)]);
    let rotated = decide(&sample, &inputs).stops.into_iter();
    let rotated = rotated.filter(|(.., cause)| *cause == StopCause::Rotated).count();
    assert!(rotated > 0, "an urgent gang takes capacity over");
}

/// Guards against tasks that are left out with those of another step: a task that does not fit ends
/// the search for its own step only.
#[test]
fn a_full_step_leaves_room_to_others() {
    let mut sample = Sample::with_hosts(1);
    let lasting = |tasks, need| StepSpec { lasting: true, ..step(tasks, need) };
    sample.accept(1, "batch", vec![lasting(3, 5), lasting(2, 1)]);
    sample.accept(2, "batch", vec![lasting(3, 1)]);
    let plan = decide(&sample, &Inputs::default());
    insta::assert_snapshot!(starts(&plan).join("\n"), @r"
    0000000000000001.0.0.0 run 1: host-00
    0000000000000001.0.1.0 run 1: host-00
    0000000000000001.0.1.1 run 1: host-00
    0000000000000002.0.0.0 run 1: host-00
    ");
    assert_eq!(plan.unplaced, 4);
}

/// Guards against preemption of a lasting task where a short task could be stopped instead.
#[test]
fn lasting_tasks_are_displaced_last() {
    let mut sample = Sample::with_hosts(2);
    sample.accept(1, "batch", vec![StepSpec { lasting: true, ..step(1, 8) }]);
    sample.accept(2, "batch", vec![step(1, 8)]);
    decide_and_start(&mut sample, &Inputs::default());
    sample.accept(9, "urgent", vec![step(1, 8)]);
    let mut inputs = Inputs::default();
    inputs.progress.insert((unit(1), 1), progress(0));
    inputs.progress.insert((unit(2), 1), progress(3_000));
    let plan = decide(&sample, &inputs);
    assert_eq!(plan.stops, [(unit(2), 1, StopCause::Preempted)]);
}

/// Guards against a guarantee that is worth nothing while urgent work of others has borrowed the whole pool:
/// what no guarantee covers is reclaimed, and nothing else of priority 0.
#[rstest]
#[case::without_a_guarantee("west", true)]
#[case::within_a_guarantee("south", false)]
fn guaranteed_capacity_that_urgent_work_has_borrowed_is_reclaimed(
    #[case] borrower: &str,
    #[case] is_reclaimed: bool,
) {
    let mut sample = Sample::with_hosts(2);
    let lasting = |accelerators| StepSpec { lasting: true, ..step(1, accelerators) };
    sample.accept_for(1, "urgent", borrower, vec![lasting(8)]);
    sample.accept_for(2, "urgent", borrower, vec![lasting(8)]);
    decide_and_start(&mut sample, &Inputs::default());
    sample.accept_for(9, "urgent", "north", vec![step(4, 2)]);
    let plan = decide(&sample, &Inputs::default());
    let stops: Vec<_> = plan.stops.iter().map(|(.., cause)| *cause).collect();
    let expected = if is_reclaimed { vec![StopCause::Preempted] } else { Vec::new() };
    assert_eq!(stops, expected);
}

/// Guards against urgent work that is stopped for a guarantee where work of a lower priority would do, and
/// against urgent work beyond a guarantee that stops other urgent work.
#[test]
fn urgent_work_is_reclaimed_last_and_for_a_guarantee_only() {
    let mut sample = Sample::with_hosts(2);
    sample.accept_for(1, "urgent", "west", vec![step(1, 8)]);
    sample.accept_for(2, "batch", "west", vec![StepSpec { lasting: true, ..step(1, 8) }]);
    decide_and_start(&mut sample, &Inputs::default());
    sample.accept_for(8, "urgent", "east", vec![step(1, 8)]);
    sample.accept_for(9, "urgent", "north", vec![step(1, 8)]);
    let plan = decide(&sample, &Inputs::default());
    assert_eq!(plan.stops, [(unit(2), 1, StopCause::Preempted)]);
}

/// Guards against preemption or rotation of tasks with an away limit, for an urgent job as well as
/// for another lasting task.
#[test]
fn tasks_with_an_away_limit_are_not_preempted() {
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
        inputs.progress.insert(run, progress(10_000));
    }
    assert!(decide(&sample, &inputs).stops.is_empty());
}

/// The reserve covers the peak demand of the last 20 s, up to a fortieth of the pool.
#[test]
fn the_reserve_follows_recent_demand() {
    let mut headroom = Headroom::default();
    let demand = |total| Demand { total, largest_unit: total.min(1_000) };
    assert_eq!(headroom.update(0, demand(0), 480), 0);
    assert_eq!(headroom.update(1_000, demand(9_000), 480), 1_000);
    assert_eq!(headroom.update(2_000, demand(3_000), 480), 6_000);
    assert_eq!(headroom.update(3_000, demand(0), 480), 9_000);
    assert_eq!(headroom.update(4_000, demand(0), 80), 2_000);
    assert_eq!(headroom.update(22_500, demand(0), 480), 0);
}

/// Guards against runs that outlive many jobs cancelled at once: one decision stops all of them.
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

/// Guards against a gang that starves: single tasks keep its rack partly filled, and each piece of
/// capacity that becomes free would go to the next single task.
#[test]
fn hosts_are_drained_for_a_gang_that_does_not_fit() {
    let mut sample = Sample::with_hosts(8);
    sample.accept(1, "batch", vec![step(4, 8)]);
    decide_and_start(&mut sample, &Inputs::default());
    sample.accept(2, "normal", vec![gang(8, 8)]);
    sample.accept(3, "batch", vec![step(4, 8)]);
    let plan = decide(&sample, &Inputs::default());
    assert!(plan.starts.is_empty(), "{:?}", starts(&plan));
    assert!(plan.stops.is_empty());
    for (index, host) in (0..4).zip(0..4) {
        sample.end(&job_id(1), index, 1, host, crate::tasks::EndKind::Done);
    }
    let plan = decide(&sample, &Inputs::default());
    assert_eq!(plan.starts.len(), 1, "{:?}", starts(&plan));
    assert_eq!(plan.starts[0].unit, unit(2));
}

/// Guards against drains that idle the pool: of the racks in which the gang would fit, only the one
/// that is free first is drained, and a gang whose result would come too late drains none.
#[test]
fn only_the_rack_that_is_free_first_is_drained() {
    let mut sample = Sample::with_hosts(16);
    sample.accept(1, "batch", vec![step(8, 8)]);
    sample.accept(2, "batch", vec![step(4, 8)]);
    decide_and_start(&mut sample, &Inputs::default());
    let mut inputs = Inputs::default();
    for (job, tasks, left_ms) in [(1, 8, 9_000), (2, 4, 4_000)] {
        for number in 0..tasks {
            let run = (UnitId { unit: number, ..unit(job) }, 1);
            inputs.progress.insert(run, Progress { left_ms, ..Progress::default() });
        }
    }
    sample.end(&job_id(1), 0, 1, 0, crate::tasks::EndKind::Done);
    sample.accept(3, "normal", vec![gang(8, 8)]);
    sample.accept(4, "batch", vec![step(2, 8)]);
    insta::assert_snapshot!(starts(&decide(&sample, &inputs)).join("\n"), @"0000000000000004.0.0.0 run 1: host-00");
    sample.at(60_000);
    assert_eq!(decide(&sample, &inputs).starts.len(), 2, "the gang's result would be too late");
}
