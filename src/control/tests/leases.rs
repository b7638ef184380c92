//! Lost entry hosts and upstreams, with a clock that only the test advances.

use bytes::Bytes;
use rstest::rstest;

use super::watch::{Host, relay, worker};
use super::work::{ControlFolder, ManualClock, RunningControl, begin, today};
use crate::control::fence::FenceAnswer;
use crate::rpc::begin_reply::Verdict;

const LEASE_MS: u64 = 3000;
const LEASE_EXPIRY_MS: u64 = 3160;

fn with_manual_clock() -> (ControlFolder, ManualClock) {
    (ControlFolder { lease_ms: LEASE_MS, ..ControlFolder::new() }, ManualClock::new())
}

/// Advances the clock; an upstream announces itself meanwhile if an incarnation is given.
async fn advance(
    control: &mut RunningControl,
    clock: &ManualClock,
    millis: u64,
    incarnation: Option<u64>,
) {
    for _ in 0..millis.div_ceil(500) {
        if let Some(incarnation) = incarnation {
            let mut upstream = worker(8);
            upstream.incarnation = incarnation;
            control.client.relay(relay(upstream)).await.expect("an answer to Relay");
        }
        clock.advance(500).await;
    }
}

/// Guards against querying attempts of a host with a valid lease, and never resolving those of a
/// lost host.
#[tokio::test]
async fn attempts_of_a_silent_host_are_resolved_once_its_lease_has_expired() {
    let (folder, clock) = with_manual_clock();
    folder.set_answer(Some(FenceAnswer::NotStarted));
    let id = today("1");
    let mut control = folder.start().await;
    let mut host = Host::open(&mut control, "entry-1").await;
    let first = host.next().await;
    let mut request = begin(&id);
    request.incarnation = 7;
    control.client.begin(request.clone()).await.expect("an answer to Begin");
    for _ in 0..8 {
        host.send_demand(&first, 0).await;
        advance(&mut control, &clock, 500, Some(7)).await;
    }
    advance(&mut control, &clock, LEASE_EXPIRY_MS - 1000, Some(7)).await;
    assert_eq!((folder.query_count(), control.state(&id).await.as_str()), (0, "in_flight"));
    advance(&mut control, &clock, 1500, Some(7)).await;
    assert_eq!((folder.query_count(), control.state(&id).await.as_str()), (1, "not_run"));
    let reply = control.client.begin(request).await.expect("an answer to Begin").into_inner();
    assert_eq!(reply.verdict, Some(Verdict::ProceedAttempt(2)));
    clock.stop(control).await;
}

/// Guards against recording an outcome that the upstream's answer does not prove.
///
/// Control restarts while the attempt is open and queries the upstream, which may be restarted,
/// silent or lost.
#[rstest]
#[case::done(Some(FenceAnswer::Done { answer: Bytes::from_static(b"posted"), status: 200 }), Some(1), "done", "done")]
#[case::running(Some(FenceAnswer::Running), Some(1), "in_flight", "in_flight")]
#[case::not_started(Some(FenceAnswer::NotStarted), Some(1), "not_run", "not_run")]
#[case::not_started_after_a_restart(Some(FenceAnswer::NotStarted), Some(2), "in_flight", "unknown")]
#[case::silent_but_alive(None, Some(1), "in_flight", "in_flight")]
#[case::silent_and_lost(None, None, "in_flight", "unknown")]
#[case::done_after_a_restart(
    Some(FenceAnswer::Done { answer: Bytes::from_static(b"posted"), status: 200 }),
    Some(2),
    "done",
    "done"
)]
#[tokio::test]
async fn open_attempts_after_a_restart_follow_the_upstream(
    #[case] answer: Option<FenceAnswer>,
    #[case] incarnation: Option<u64>,
    #[case] before_expiry: &str,
    #[case] after_expiry: &str,
) {
    let (folder, clock) = with_manual_clock();
    folder.set_answer(answer);
    let id = today("1");
    let mut control = folder.start().await;
    control.begin(&id).await;
    clock.stop(control).await;
    let mut control = folder.start().await;
    advance(&mut control, &clock, 2500, incarnation).await;
    assert_eq!(control.state(&id).await, before_expiry);
    advance(&mut control, &clock, 3000, incarnation).await;
    assert_eq!(control.state(&id).await, after_expiry);
    clock.stop(control).await;
}

/// Guards against an attempt that stays open because the answer to `Begin` never reached its host,
/// although the host is connected.
#[tokio::test]
async fn an_old_open_attempt_of_a_connected_host_is_resolved() {
    let (folder, clock) = with_manual_clock();
    folder.set_answer(Some(FenceAnswer::NotStarted));
    let id = today("1");
    let mut control = folder.start().await;
    let mut host = Host::open(&mut control, "entry-1").await;
    let first = host.next().await;
    control.begin(&id).await;
    for second in 0..18 {
        host.send_demand(&first, 0).await;
        advance(&mut control, &clock, 1000, Some(1)).await;
        if second == 13 {
            assert_eq!((folder.query_count(), control.state(&id).await.as_str()), (0, "in_flight"));
        }
    }
    assert_eq!(control.state(&id).await, "not_run");
    clock.stop(control).await;
}
