//! Tasks whose upstreams crash, through a fault of the task or for other causes.

use std::sync::Arc;
use std::time::Duration;

use super::control_host::{TestControl, wait_until};
use super::fake_worker::FakeUpstreams;
use super::promises::{LEASE_MS, submit, wait_until_state};
use crate::cluster::Request;
use crate::tasks::tests::sample::{heartbeat, incarnation, job_id};
use crate::tasks::{Heartbeat, JobState};

/// Starts after which a task that crashes its upstreams must have been given up: two more than the
/// upstreams that may crash under it.
const STARTS_MAX: usize = 5;

/// Guards against a task that crashes one upstream after the other without end.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_that_crashes_its_upstreams_is_given_up() {
    let fake = FakeUpstreams::new(Duration::from_millis(300));
    fake.set_deadly(job_id(1));
    let test = TestControl::start(&fake, 4, LEASE_MS).await;
    let _restarts = test.restart_crashed(&fake);
    submit(&test, 1).await;
    wait_until_state(&test, 1, JobState::Failed).await;
    let starts = fake.started().len();
    assert!(starts <= STARTS_MAX, "{starts} starts");
    submit(&test, 2).await;
    wait_until_state(&test, 2, JobState::Completed).await;
}

/// Guards against giving up a job whose upstreams crashed together with others.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_outlive_repeated_outages_of_their_upstreams() {
    const UPSTREAMS: u32 = 8;
    let fake = FakeUpstreams::new(Duration::from_millis(2_500));
    let test = TestControl::start(&fake, UPSTREAMS, LEASE_MS).await;
    let _restarts = test.restart_crashed(&fake);
    // Until their lists are read, upstreams count as taking no work.
    tokio::time::sleep(Duration::from_millis(500)).await;
    for number in 1..=6 {
        submit(&test, number).await;
    }
    for _ in 0..6 {
        tokio::time::sleep(Duration::from_millis(700)).await;
        for host in 0..UPSTREAMS {
            fake.crash(&incarnation(host).id);
        }
    }
    for number in 1..=6 {
        wait_until_state(&test, number, JobState::Completed).await;
    }
}

/// Guards against a task that crashes one upstream after the other without end, because each was draining
/// by then: an upstream that is gone long before the end of its notice has not left as announced.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_that_crashes_draining_upstreams_is_given_up() {
    let fake = FakeUpstreams::new(Duration::from_mins(1));
    let test = TestControl::start(&fake, 4, LEASE_MS).await;
    submit(&test, 1).await;
    for start in 0..2 {
        wait_until("it runs", || fake.started().len() > start).await;
        let upstream = Arc::clone(&fake.started()[start].2);
        let ready = (0..4).map(heartbeat).find(|ready| ready.id == upstream).expect("one of four");
        let draining =
            Heartbeat { draining: true, drain_remaining_ms: 10_000, sequence: 2, ..ready };
        test.call_until_answered(Request::Heartbeat(draining)).await;
        let successor = fake.restart(&upstream);
        test.call_until_answered(Request::Heartbeat(successor)).await;
    }
    wait_until_state(&test, 1, JobState::Failed).await;
    assert!(fake.started().len() <= STARTS_MAX, "{} starts", fake.started().len());
}
