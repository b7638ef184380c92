//! Time until the system is at work again after an outage.

use std::time::Duration;

use tokio::time::Instant;

use super::control_host::{TestControl, wait_until};
use super::fake_worker::FakeUpstreams;
use super::unresponsive_host;
use crate::cluster::{LeaderClient, Reply, Request};

/// Time in which two silent hosts that are tried one after the other do not answer.
const TWO_ATTEMPTS: Duration = Duration::from_secs(2);

/// Guards against a caller's call that waits for hosts that are down: two hosts that accept connections and
/// never respond come before the leader in one of the three orders, and it answers before their attempts
/// have ended.
#[tokio::test]
async fn silent_hosts_do_not_hide_the_leader() {
    let (first, _silent) = unresponsive_host().await;
    let (second, _silent_too) = unresponsive_host().await;
    let fake = FakeUpstreams::default();
    let test = TestControl::start(&fake, 1, 4_000).await;
    let leader = test.control.address();
    for rounds_before in 0..3 {
        let client = LeaderClient::new(vec![first, second, leader]);
        for _ in 0..rounds_before {
            // Each round starts with another host; this one has no time to ask it.
            client.call(&Request::Status, Duration::ZERO).await.expect_err("no time");
        }
        let begun = Instant::now();
        let reply = client.call(&Request::Status, Duration::from_secs(10)).await;
        assert!(matches!(reply, Ok(reply) if !matches!(reply, Reply::NotLeader { .. })));
        assert!(begun.elapsed() < TWO_ATTEMPTS, "{:?}", begun.elapsed());
    }
}

/// Guards against a start of which operators can't tell what took long: each step has its time in the
/// metrics, once the first task was started.
#[tokio::test]
async fn the_steps_of_a_recovery_are_measured() {
    let fake = FakeUpstreams::default();
    let test = TestControl::start(&fake, 4, 4_000).await;
    let steps = ["sessions", "first lists", "half of lists", "most lists", "first decision"];
    wait_until("all steps", || {
        let metrics = test.control.metrics_text();
        steps.iter().all(|step| metrics.contains(&format!("recovery_ms{{kind=\"{step}\"}}")))
    })
    .await;
}
