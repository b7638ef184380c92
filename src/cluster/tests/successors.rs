//! Upstreams that restart under their identity and address, so that orders meant for their former
//! life reach the new one.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use super::control_host::{TestControl, wait_until};
use super::fake_worker::{FakeUpstreams, Fault};
use super::promises::{LEASE_MS, call, submit, wait_until_completed};
use crate::cluster::{Action, FrontReply, Reply, Request};
use crate::tasks::tests::sample::{heartbeat, incarnation, job_id, spec, step};

/// Time that an upstream takes to stop a run after it has answered the order.
const STOP_TIME: Duration = Duration::from_millis(600);

/// Timeout of a call.
const LIMIT: Duration = Duration::from_secs(2);

/// Restarts all upstreams and submits a job, whose task is placed on the former life of one and
/// starts in the new one. Returns the first heartbeat of that one.
async fn start_on_a_successor(test: &TestControl, fake: &FakeUpstreams) -> Request {
    // Until their lists are read, upstreams count as taking no work.
    wait_until("an upstream takes work", || fake.upstreams_held() == 2).await;
    let restart = |host| {
        let id = incarnation(host).id;
        // The lists would show the restart.
        fake.set_holds(&id, Fault::Silent);
        fake.restart(&id)
    };
    let heartbeats = [0, 1].map(restart);
    submit(test, 1).await;
    wait_until("it runs", || fake.running() == 1).await;
    for heartbeat in &heartbeats {
        fake.set_holds(&heartbeat.id, Fault::None);
    }
    let upstream = Arc::clone(&fake.started()[0].2);
    let heartbeat = heartbeats.into_iter().find(|heartbeat| heartbeat.id == upstream);
    Request::Heartbeat(heartbeat.expect("one of the two"))
}

/// Submits a job whose task leaves most of an upstream free.
async fn submit_small(test: &TestControl, number: u64) {
    let action = Action::Submit { spec: Arc::new(spec(vec![step(1, 1)])) };
    let reply = test.call_until_answered(call(number, action)).await;
    assert_eq!(reply, Reply::Front(FrontReply::Accepted));
}

/// Guards against a second run beside one that a restarted upstream began on an order to its former
/// life: the answer to a stop is not yet the end of the run.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_that_a_successor_still_stops_is_not_started_elsewhere() {
    let fake = FakeUpstreams::new(Duration::from_millis(2_500));
    fake.set_stop_time(STOP_TIME);
    let test = TestControl::start(&fake, 2, LEASE_MS).await;
    let heartbeat = start_on_a_successor(&test, &fake).await;
    test.call_until_answered(heartbeat).await;
    wait_until_completed(&test, &fake, 1).await;
}

/// Guards against a second run of a task that has ended as done on a restarted upstream, which began
/// it on an order to its former life.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_that_is_done_on_a_successor_counts() {
    let fake = FakeUpstreams::new(Duration::from_millis(300));
    let test = TestControl::start(&fake, 2, LEASE_MS).await;
    let heartbeat = start_on_a_successor(&test, &fake).await;
    wait_until("it is done", || fake.running() == 0).await;
    test.call_until_answered(heartbeat).await;
    wait_until_completed(&test, &fake, 1).await;
    assert_eq!(fake.started().len(), 1, "{:?}", fake.started());
}

/// Guards against a second run of a task that has ended as done on a restarted upstream which lists its
/// ends some at a time.
#[tokio::test(flavor = "multi_thread")]
async fn all_runs_that_are_done_on_a_successor_count() {
    const TASKS: u32 = 5;
    let fake = FakeUpstreams::new(Duration::from_millis(300));
    fake.set_ends_per_list(2);
    let test = TestControl::start(&fake, 1, LEASE_MS).await;
    wait_until("an upstream takes work", || fake.upstreams_held() == 1).await;
    let id = incarnation(0).id;
    fake.set_holds(&id, Fault::Silent);
    let successor = fake.restart(&id);
    let action = Action::Submit { spec: Arc::new(spec(vec![step(TASKS, 1)])) };
    test.call_until_answered(call(1, action)).await;
    wait_until("all run", || fake.running() == TASKS as usize).await;
    wait_until("all are done", || fake.running() == 0).await;
    fake.set_holds(&id, Fault::None);
    test.call_until_answered(Request::Heartbeat(successor)).await;
    wait_until_completed(&test, &fake, 1).await;
    assert_eq!(fake.started().len(), TASKS as usize, "{:?}", fake.started());
}

/// Guards against a run that is placed on an upstream's former life while its successor's heartbeat
/// is being handled: it would go on there and be started elsewhere, too.
#[tokio::test(flavor = "multi_thread")]
async fn a_former_life_gets_no_work_while_its_successor_registers() {
    let fake = FakeUpstreams::new(Duration::from_millis(2_500));
    fake.set_stop_time(STOP_TIME);
    let test = TestControl::start(&fake, 1, LEASE_MS).await;
    submit_small(&test, 1).await;
    wait_until("it runs", || fake.running() == 1).await;
    let successor = fake.restart(&incarnation(0).id);
    fake.set_stops(Fault::Silent);
    let registered = test.call_until_answered(Request::Heartbeat(successor));
    let placed = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        submit_small(&test, 2).await;
        test.call_until_answered(Request::Heartbeat(heartbeat(1))).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        fake.set_stops(Fault::None);
    };
    tokio::join!(registered, placed);
    wait_until_completed(&test, &fake, 2).await;
    let runs_of_second = fake.started().iter().filter(|(task, ..)| task.job == job_id(2)).count();
    assert_eq!(runs_of_second, 1, "{:?}", fake.started());
}

/// Guards against a second run beside one on a successor that answers no stop order.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_on_a_successor_that_answers_no_stop_is_not_started_elsewhere() {
    let fake = FakeUpstreams::new(Duration::from_millis(3_500));
    let test = TestControl::start(&fake, 2, LEASE_MS).await;
    let heartbeat = start_on_a_successor(&test, &fake).await;
    fake.set_stops(Fault::Silent);
    let registered = test.call_until_answered(heartbeat);
    let answered_again = async {
        tokio::time::sleep(Duration::from_secs(2)).await;
        fake.set_stops(Fault::None);
    };
    tokio::join!(registered, answered_again);
    wait_until_completed(&test, &fake, 1).await;
}

/// Guards against an end that a restarted upstream drops because it is told that the leader has
/// recorded it: the number was that of an end in its former life.
#[tokio::test(flavor = "multi_thread")]
async fn a_successor_keeps_its_ends_when_a_former_one_is_acknowledged() {
    let fake = FakeUpstreams::new(Duration::from_millis(300));
    let test = TestControl::start(&fake, 1, LEASE_MS).await;
    submit(&test, 1).await;
    wait_until_completed(&test, &fake, 1).await;
    let former = incarnation(0).id;
    fake.set_holds(&former, Fault::Silent);
    let successor = fake.restart(&former);
    submit(&test, 2).await;
    wait_until("it runs", || fake.running() == 1).await;
    wait_until("it is done", || fake.running() == 0).await;
    let answered = fake.holds_of(&former);
    fake.set_holds(&former, Fault::None);
    wait_until("the upstream is asked again", || fake.holds_of(&former) > answered).await;
    test.call_until_answered(Request::Heartbeat(successor)).await;
    wait_until_completed(&test, &fake, 2).await;
    assert_eq!(fake.started().len(), 2, "{:?}", fake.started());
}

/// Guards against a successor that can never register, because its heartbeat's call is given up
/// before all runs of its former life have been stopped, and the next one begins anew.
#[tokio::test(flavor = "multi_thread")]
async fn a_successor_registers_although_its_calls_are_given_up() {
    const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(300);
    let fake = FakeUpstreams::new(Duration::from_mins(1));
    let test = TestControl::start(&fake, 1, LEASE_MS).await;
    for number in 1..=6 {
        submit_small(&test, number).await;
    }
    wait_until("they run", || fake.running() == 6).await;
    fake.set_stop_answer_time(Duration::from_millis(100));
    let successor = Request::Heartbeat(fake.restart(&incarnation(0).id));
    for _ in 0..8 {
        let call = test.control.call(successor.clone(), LIMIT);
        if let Ok(Ok(Reply::Done)) = timeout(HEARTBEAT_TIMEOUT, call).await {
            return;
        }
    }
    panic!("not registered: {} runs", fake.running());
}

/// Guards against a task that waits for long because the successor of its upstream, which may run it,
/// can't be asked: its run is over when its lease is.
#[tokio::test(flavor = "multi_thread")]
async fn work_on_a_lost_successor_starts_elsewhere_after_its_lease() {
    let fake = FakeUpstreams::new(Duration::from_millis(300));
    let test = TestControl::start(&fake, 1, LEASE_MS).await;
    submit_small(&test, 1).await;
    wait_until("it runs", || fake.running() == 1).await;
    let former = incarnation(0).id;
    let successor = Request::Heartbeat(fake.restart(&former));
    fake.set_stops(Fault::Silent);
    _ = timeout(Duration::from_millis(500), test.control.call(successor, LIMIT)).await;
    fake.crash(&former);
    test.call_until_answered(Request::Heartbeat(heartbeat(1))).await;
    wait_until_completed(&test, &fake, 1).await;
}
