//! Tests of how a stand-in handles orders.

use super::board::{Fenced, STOP_TIME_MS, TaskTable};
use crate::cluster::{HoldOrder, OrderAnswer, Refusal, StartOrder, StopOrder};
use crate::tasks::{EndKind, TaskId};

const LEASE_UNTIL_MS: u64 = 1_000;

fn task() -> TaskId {
    "0000000000000001.0.0.0".parse().unwrap()
}

fn start(run: u32, fencing_token: u64) -> StartOrder {
    StartOrder {
        address: "".into(),
        upstream: "standin".into(),
        fencing_token,
        task: task(),
        run,
        payload: "{\"work_ms\": 600}".into(),
        lease_until_ms: LEASE_UNTIL_MS,
        checkpoint: "".into(),
        ticket: None,
    }
}

fn stop(run: u32) -> StopOrder {
    StopOrder {
        address: "".into(),
        upstream: "standin".into(),
        fencing_token: 1,
        task: task(),
        run,
    }
}

fn hold(fencing_token: u64, ends_seen: u64, lease_until_ms: Option<u64>) -> HoldOrder {
    let (address, upstream) = ("".into(), "standin".into());
    HoldOrder { address, upstream, fencing_token, ends_seen, lease_until_ms, wait_ms: 0 }
}

fn ends(task_table: &mut TaskTable, now_ms: u64) -> Vec<(u64, EndKind)> {
    let lists = task_table.hold(&hold(1, 0, None), now_ms).unwrap();
    lists.ended.iter().map(|end| (end.number, end.how)).collect()
}

/// A start that arrives after the stop of its run must not start the task.
#[test]
fn a_start_after_the_stop_of_its_run_is_refused() {
    let mut task_table = TaskTable::default();
    task_table.stop(&stop(2), 0);
    assert_eq!(task_table.start(&start(2, 1), 1), OrderAnswer::Refused(Refusal::StaleRun));
    assert_eq!(task_table.start(&start(3, 1), 2), OrderAnswer::Done { clock_ms: 2 });
}

/// Delayed orders of a former leader must have no effect.
#[test]
fn lower_tokens_are_refused() {
    let mut task_table = TaskTable::default();
    task_table.hold(&hold(5, 0, None), 0).unwrap();
    assert_eq!(task_table.start(&start(1, 4), 0), OrderAnswer::Refused(Refusal::StaleToken));
    assert_eq!(task_table.hold(&hold(4, 0, None), 0), Err(Fenced));
}

/// A start whose answer was lost is sent again and must not start a second run.
#[test]
fn a_repeated_start_stays_one_run() {
    let mut task_table = TaskTable::default();
    task_table.start(&start(1, 1), 0);
    assert_eq!(task_table.start(&start(1, 1), 100), OrderAnswer::Done { clock_ms: 100 });
    assert_eq!(task_table.started(), 1);
    assert_eq!(ends(&mut task_table, 700), [(1, EndKind::Done)]);
}

/// Work must not continue after its lease, because control may have started the task elsewhere.
#[test]
fn work_ends_with_its_lease() {
    let mut task_table = TaskTable::default();
    let slow = StartOrder { payload: "{\"work_ms\": 5000}".into(), ..start(1, 1) };
    task_table.start(&slow, 0);
    assert_eq!(ends(&mut task_table, LEASE_UNTIL_MS), [(1, EndKind::Lapsed)]);
}

/// A run goes on for some time after the answer to its stop, and is listed until it has ended; an
/// upstream that stops at once would hide that control takes the answer for the end.
#[test]
fn a_stopped_run_is_listed_until_it_has_ended() {
    let mut task_table = TaskTable::default();
    task_table.start(&start(1, 1), 0);
    assert_eq!(task_table.stop(&stop(1), 100), OrderAnswer::Done { clock_ms: 100 });
    let lists = task_table.hold(&hold(1, 0, None), 100 + STOP_TIME_MS - 1).unwrap();
    assert_eq!((lists.running.len(), lists.ended.len()), (1, 0));
    task_table.stop(&stop(1), 100 + STOP_TIME_MS - 1);
    assert_eq!(ends(&mut task_table, 100 + STOP_TIME_MS), [(1, EndKind::Stopped)]);
}

/// An end is listed only until control has recorded it.
#[test]
fn recorded_ends_are_forgotten() {
    let mut task_table = TaskTable::default();
    task_table.start(&start(1, 1), 0);
    assert_eq!(ends(&mut task_table, 700).len(), 1);
    assert!(task_table.hold(&hold(1, 1, None), 700).unwrap().ended.is_empty());
}

/// A run that starts from a checkpoint must not repeat the work before it.
#[test]
fn a_checkpoint_shortens_the_next_run() {
    let mut task_table = TaskTable::default();
    task_table.start(&start(1, 1), 0);
    task_table.stop(&stop(1), 550 - STOP_TIME_MS);
    let stopped = task_table.hold(&hold(1, 0, None), 550).unwrap().ended.remove(0);
    task_table.start(&StartOrder { checkpoint: stopped.checkpoint, ..start(2, 1) }, 600);
    let ended = ends(&mut task_table, 700);
    assert_eq!(ended, [(1, EndKind::Stopped), (2, EndKind::Done)]);
}
