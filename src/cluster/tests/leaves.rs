//! Upstreams that drain, leave, or are taken away.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rstest::rstest;

use super::control_host::{BOUNDS, TestControl, wait_until};
use super::fake_worker::{FakeUpstreams, Fault};
use super::promises::{LEASE_MS, call, submit, wait_until_completed};
use crate::cluster::{Action, FrontReply, Reply, Request, TaskBounds};
use crate::tasks::tests::sample::{heartbeat, spec, step};
use crate::tasks::{Heartbeat, StepSpec};

/// Guards against a second run of a task that has ended on an upstream which then leaves: it goes
/// once its leave is acknowledged, and nobody else knows of the end.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_that_ends_just_before_its_upstream_leaves_counts() {
    let fake = FakeUpstreams::new(Duration::from_millis(300));
    let test = TestControl::start(&fake, 2, LEASE_MS).await;
    submit(&test, 1).await;
    wait_until("it runs", || fake.running() == 1).await;
    let upstream = Arc::clone(&fake.started()[0].2);
    while fake.running() == 1 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let leave = Request::Deregister { id: Arc::clone(&upstream), born_unix_ms: None };
    test.call_until_answered(leave).await;
    fake.crash(&upstream);
    wait_until_completed(&test, &fake, 1).await;
    assert_eq!(fake.started().len(), 1, "{:?}", fake.started());
}

/// Guards against a second run beside one on a leaving upstream that can't be asked: its answers are
/// lost, or a link refuses connections. It goes on for a while if its leave is not acknowledged.
#[rstest]
#[case::answers_lost(Fault::AnswerLost)]
#[case::connections_refused(Fault::Refused)]
#[tokio::test(flavor = "multi_thread")]
async fn work_of_a_leaving_upstream_that_does_not_answer_is_not_started_elsewhere(
    #[case] fault: Fault,
) {
    let fake = FakeUpstreams::new(Duration::from_secs(2));
    let test = TestControl::start(&fake, 2, LEASE_MS).await;
    submit(&test, 1).await;
    wait_until("it runs", || fake.running() == 1).await;
    let upstream = Arc::clone(&fake.started()[0].2);
    fake.set_holds(&upstream, fault);
    fake.set_stops(Fault::Silent);
    let leave = Request::Deregister { id: Arc::clone(&upstream), born_unix_ms: None };
    let left = test.call_until_answered(leave);
    let answered_again = async {
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        fake.set_holds(&upstream, Fault::None);
    };
    tokio::join!(left, answered_again);
    wait_until_completed(&test, &fake, 1).await;
    assert_eq!(fake.started().len(), 1, "{:?}", fake.started());
}

/// Guards against work that waits for the end of a lease because its upstream took it along: it is
/// stopped before the leave is acknowledged, and goes on elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn work_of_a_leaving_upstream_goes_on_elsewhere_at_once() {
    let fake = FakeUpstreams::new(Duration::from_secs(2));
    fake.set_stop_time(Duration::from_millis(300));
    let test = TestControl::start(&fake, 2, LEASE_MS).await;
    submit(&test, 1).await;
    wait_until("it runs", || fake.running() == 1).await;
    let upstream = Arc::clone(&fake.started()[0].2);
    let leave = Request::Deregister { id: Arc::clone(&upstream), born_unix_ms: None };
    test.call_until_answered(leave).await;
    let left = Instant::now();
    fake.crash(&upstream);
    wait_until("it runs elsewhere", || fake.started().len() == 2).await;
    assert!(left.elapsed() < Duration::from_millis(LEASE_MS), "{:?}", left.elapsed());
    wait_until_completed(&test, &fake, 1).await;
}

/// Guards against work that is taken along by an upstream whose leave was acknowledged while its runs
/// were still being stopped: nobody would hear how they ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_leave_is_acknowledged_once_the_runs_have_ended() {
    let fake = FakeUpstreams::new(Duration::from_secs(5));
    fake.set_stop_time(Duration::from_millis(1_200));
    let bounds = TaskBounds { stop_timeout_ms: 1_500, ..BOUNDS };
    let test = TestControl::start_with(&fake, 1, bounds).await;
    submit(&test, 1).await;
    wait_until("it runs", || fake.running() == 1).await;
    let upstream = Arc::clone(&fake.started()[0].2);
    let leave = Request::Deregister { id: upstream, born_unix_ms: None };
    while test.call_until_answered(leave.clone()).await != Reply::Done {
        assert_eq!(fake.running(), 1);
    }
    assert_eq!(fake.running(), 0);
}

/// Guards against a second run beside one on an upstream that leaves before a new leader has a session
/// with it: its word is no proof that its runs are over.
#[tokio::test(flavor = "multi_thread")]
async fn work_of_an_upstream_that_leaves_before_its_session_goes_on() {
    let fake = FakeUpstreams::new(Duration::from_secs(2));
    let test = TestControl::start(&fake, 2, LEASE_MS).await;
    submit(&test, 1).await;
    wait_until("it runs", || fake.running() == 1).await;
    let upstream = Arc::clone(&fake.started()[0].2);
    let new_leader = test.control.new_leader(0);
    let leave = Request::Deregister { id: upstream, born_unix_ms: None };
    assert_eq!(new_leader.handle(leave).await, Reply::RunsRemain);
    wait_until_completed(&test, &fake, 1).await;
    assert_eq!(fake.started().len(), 1, "{:?}", fake.started());
}

/// Guards against a lasting task that is missed until a lease has ended: its upstream is taken away at
/// short notice and without a word, so the task has to leave it before.
#[tokio::test(flavor = "multi_thread")]
async fn a_lasting_task_leaves_a_draining_upstream_before_it_goes() {
    let fake = FakeUpstreams::new(Duration::from_mins(1));
    let test = TestControl::start(&fake, 2, LEASE_MS).await;
    wait_until("upstreams take work", || fake.upstreams_held() == 2).await;
    let lasting = StepSpec { lasting: true, ..step(1, 1) };
    let action = Action::Submit { spec: Arc::new(spec(vec![lasting])) };
    let reply = test.call_until_answered(call(1, action)).await;
    assert_eq!(reply, Reply::Front(FrontReply::Accepted));
    wait_until("it runs", || fake.running() == 1).await;
    let upstream = Arc::clone(&fake.started()[0].2);
    let ready = [heartbeat(0), heartbeat(1)].into_iter().find(|known| known.id == upstream);
    let draining = Heartbeat {
        draining: true,
        drain_remaining_ms: 1_000,
        sequence: 2,
        ..ready.expect("one of the two")
    };
    test.call_until_answered(Request::Heartbeat(draining)).await;
    let notice = Instant::now();
    wait_until("it runs elsewhere", || fake.started().len() == 2).await;
    assert!(notice.elapsed() < Duration::from_secs(1), "{:?}", notice.elapsed());
    assert!(!fake.runs_twice());
    fake.crash(&upstream);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(fake.started().len(), 2, "{:?}", fake.started());
}

/// Guards against new work for an upstream that has left, when a heartbeat that was sent before
/// arrives late.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_has_left_gets_no_work_after_a_late_heartbeat() {
    let fake = FakeUpstreams::new(Duration::from_millis(300));
    let test = TestControl::start(&fake, 2, LEASE_MS).await;
    let gone = heartbeat(0);
    let mut draining = gone.clone();
    (draining.draining, draining.sequence) = (true, 2);
    test.call_until_answered(Request::Heartbeat(draining)).await;
    let leave =
        Request::Deregister { id: Arc::clone(&gone.id), born_unix_ms: Some(gone.born_unix_ms) };
    test.call_until_answered(leave).await;
    fake.set_holds(&gone.id, Fault::Silent);
    tokio::time::sleep(Duration::from_millis(500)).await;
    test.call_until_answered(Request::Heartbeat(gone.clone())).await;
    for number in 1..=4 {
        submit(&test, number).await;
    }
    for number in 1..=4 {
        wait_until_completed(&test, &fake, number).await;
    }
    let on_gone = fake.started().into_iter().filter(|(.., upstream)| *upstream == gone.id);
    assert_eq!(on_gone.count(), 0);
}
