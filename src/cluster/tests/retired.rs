//! Services that were taken out of the configuration while jobs of theirs have not ended.

use std::sync::Arc;
use std::time::Duration;

use super::control_host::{TestControl, wait_until};
use super::fake_worker::FakeUpstreams;
use super::promises::{LEASE_MS, submit};
use crate::cluster::Request;
use crate::tasks::tests::sample::{configuration, heartbeat, incarnation};
use crate::tasks::{Heartbeat, WorkerService};

/// Puts a configuration in force that has another service and queue only.
async fn retire_service(test: &TestControl) {
    let mut changed = configuration(2);
    changed.services =
        vec![WorkerService { name: "other".into(), guards_capacity: true, standby: false }];
    changed.queues.truncate(1);
    changed.queues[0].service = "other".into();
    let configuration = Arc::new(changed);
    let set = Request::SetConfiguration { configuration, raw: "version 2".into() };
    test.call_until_answered(set).await;
}

fn is_registered(test: &TestControl, host: u32) -> bool {
    test.control.replica.lock().state.is_registered(&incarnation(host))
}

/// Guards against an accepted job that never goes on: its service was taken out of the configuration, and
/// the heartbeats of the service's upstreams count for nothing once these have restarted.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_of_a_retired_service_goes_on_after_a_restart_of_its_upstream() {
    let fake = FakeUpstreams::new(Duration::from_mins(1));
    let test = TestControl::start(&fake, 1, LEASE_MS).await;
    submit(&test, 1).await;
    wait_until("it runs", || fake.running() == 1).await;
    retire_service(&test).await;
    let successor = fake.restart(&incarnation(0).id);
    test.call_until_answered(Request::Heartbeat(successor)).await;
    wait_until("it runs again", || fake.started().len() == 2).await;
}

/// Guards against work that an upstream of a retired service takes along, because nobody has noted that it
/// drains; and against upstreams of a service that no job needs.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_of_a_retired_service_are_known_while_they_are_needed() {
    let fake = FakeUpstreams::new(Duration::from_mins(1));
    let test = TestControl::start(&fake, 1, LEASE_MS).await;
    retire_service(&test).await;
    test.call_until_answered(Request::Heartbeat(heartbeat(1))).await;
    assert!(!is_registered(&test, 1), "no job needs it");
    let draining = Heartbeat { draining: true, sequence: 2, ..heartbeat(0) };
    test.call_until_answered(Request::Heartbeat(draining)).await;
    assert!(is_registered(&test, 0));
    let inner = test.control.replica.lock();
    assert!(inner.state.upstreams[&incarnation(0).id].heartbeat.draining);
}
