//! Upstreams that report another capacity while they run tasks.

use std::time::Duration;

use super::control_host::{TestControl, wait_until};
use super::fake_worker::FakeUpstreams;
use super::promises::{LEASE_MS, call, wait_until_state};
use crate::cluster::{Action, Request};
use crate::tasks::tests::sample::{heartbeat, spec, step};
use crate::tasks::{Heartbeat, JobState, Resources};

/// Guards against starts on an upstream that has shrunk, and against an upstream that stays idle
/// after it has grown again.
#[tokio::test(flavor = "multi_thread")]
async fn work_follows_the_capacity_that_an_upstream_reports() {
    let fake = FakeUpstreams::new(Duration::from_millis(1_200));
    let test = TestControl::start(&fake, 1, LEASE_MS).await;
    let capacity = heartbeat(0).capacity;
    let report = |sequence, accelerators| {
        let capacity = Resources { accelerators, ..capacity };
        Request::Heartbeat(Heartbeat { sequence, capacity, ..heartbeat(0) })
    };
    test.call_until_answered(report(2, 4)).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    for number in 1..=3 {
        let spec = spec(vec![step(1, 4)]).into();
        test.call_until_answered(call(number, Action::Submit { spec })).await;
    }
    wait_until("the first task runs", || fake.running() == 1).await;
    for _ in 0..10 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(fake.running() <= 1, "{:?}", fake.started());
    }
    test.call_until_answered(report(3, 8)).await;
    wait_until("two tasks run", || fake.running() == 2).await;
    for number in 1..=3 {
        wait_until_state(&test, number, JobState::Completed).await;
    }
}
