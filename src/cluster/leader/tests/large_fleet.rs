//! Processor time of the leader's work with a large fleet, without network.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

use crate::cluster::clock::boot_ms;
use crate::cluster::tests::control_host::{BOUNDS, TestControl, wait_until};
use crate::cluster::tests::fake_worker::FakeUpstreams;
use crate::cluster::{CallFuture, HoldOrder, Request, TaskBounds, TaskLists, UpstreamCalls};
use crate::tasks::tests::sample::heartbeat;

/// Upstreams of the measured fleet, unless `FLEET_UPSTREAMS` states another number.
const DEFAULT_UPSTREAMS: u32 = 300;

/// Time over which the leader's whole work is measured.
const MEASURED_SECONDS: u32 = 4;

fn upstreams() -> u32 {
    let stated = std::env::var("FLEET_UPSTREAMS").ok();
    stated.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_UPSTREAMS)
}

fn process_cpu() -> Duration {
    let now = clock_gettime(ClockId::ProcessCPUTime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(now.tv_nsec).unwrap_or(0))
}

/// Returns the mean time of a call.
fn mean(calls: u32, mut call: impl FnMut()) -> Duration {
    let begun = Instant::now();
    for _ in 0..calls {
        call();
    }
    begun.elapsed() / calls
}

/// Returns functions for upstreams that run nothing, and the number of answered holds.
fn idle_upstreams() -> (UpstreamCalls, Arc<AtomicUsize>) {
    let answered = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&answered);
    let hold = move |wait_ms: u64| {
        let counter = Arc::clone(&counter);
        async move {
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            counter.fetch_add(1, Ordering::Relaxed);
            let born_unix_ms = Some(heartbeat(0).born_unix_ms);
            Ok(TaskLists { clock_ms: boot_ms(), born_unix_ms, ..TaskLists::default() })
        }
    };
    let calls = FakeUpstreams::default().calls();
    let hold =
        Arc::new(move |order: HoldOrder| Box::pin(hold(order.wait_ms)) as CallFuture<TaskLists>);
    (UpstreamCalls { hold, ..calls }, answered)
}

/// Prints what each part of the leader's work takes. Guards against a leader that no longer holds all
/// upstreams of a fleet at rest: a long poll takes 2 s.
#[tokio::test]
async fn work_of_a_large_fleet() {
    let upstreams = upstreams();
    let (calls, answered) = idle_upstreams();
    let bounds = TaskBounds { lease_max_ms: 10_000, ..BOUNDS };
    let test = TestControl::start_with_calls(calls, upstreams, bounds).await;
    let all_held = || answered.load(Ordering::Relaxed) > 2 * upstreams as usize;
    wait_until("all upstreams are held", all_held).await;
    let leader = test.control.new_leader(1);
    leader.sync_sessions();
    let mut table = BTreeMap::new();
    table.insert("session sync", mean(50, || leader.sync_sessions()));
    table.insert("decision", mean(50, || drop(leader.decide())));
    let hosts = || {
        let inner = leader.replica.lock();
        drop(leader.hosts(&inner.state, 0));
    };
    table.insert("upstreams of a decision", mean(50, hosts));
    let upstream = heartbeat(upstreams / 2);
    let begun = Instant::now();
    for _ in 0..1_000 {
        let known = Request::Heartbeat(upstream.clone());
        test.control.call(known, Duration::from_secs(1)).await.unwrap();
    }
    table.insert("heartbeat", begun.elapsed() / 1_000);
    leader.stop();
    drop(leader);
    let (before, answered_before) = (process_cpu(), answered.load(Ordering::Relaxed));
    tokio::time::sleep(Duration::from_secs(u64::from(MEASURED_SECONDS))).await;
    let used = process_cpu().saturating_sub(before);
    let holds = answered.load(Ordering::Relaxed) - answered_before;
    table.insert("processor time of a second at rest", used / MEASURED_SECONDS);
    println!("{table:#?}\n{holds} holds in {MEASURED_SECONDS} s");
    assert!(holds >= upstreams as usize, "{holds} holds of {upstreams} upstreams");
}
