//! Lost entry hosts and upstreams, with a clock that only the test moves.

use bytes::Bytes;
use rstest::rstest;

use super::watch::{Host, relay, worker};
use super::work::{Running, StoppedClock, Work, begin, today};
use crate::control::fence::FenceAnswer;
use crate::rpc::begin_reply::Verdict;

const LEASE_MS: u64 = 3000;
const SILENCE_MS: u64 = 3160;

fn paused() -> (Work, StoppedClock) {
    (Work { lease_ms: LEASE_MS, ..Work::new() }, StoppedClock::new())
}

/// Lets time pass while an upstream announces itself, if it is given.
async fn pass(control: &mut Running, clock: &StoppedClock, millis: u64, incarnation: Option<u64>) {
    for _ in 0..millis.div_ceil(500) {
        if let Some(incarnation) = incarnation {
            let mut upstream = worker(8);
            upstream.incarnation = incarnation;
            control.client.relay(relay(upstream)).await.expect("an answer to Relay");
        }
        clock.advance(500).await;
    }
}

/// Guards against asking too early, and against attempts of a lost host that stay open for ever.
#[tokio::test]
async fn attempts_of_a_silent_host_are_settled_once_its_lease_has_certainly_ended() {
    let (work, clock) = paused();
    work.say(Some(FenceAnswer::NotStarted));
    let id = today("1");
    let mut control = work.start().await;
    let mut host = Host::open(&mut control, "entry-1").await;
    let first = host.next().await;
    let mut request = begin(&id);
    request.incarnation = 7;
    control.client.begin(request.clone()).await.expect("an answer to Begin");
    for _ in 0..8 {
        host.want(&first, 0).await;
        pass(&mut control, &clock, 500, Some(7)).await;
    }
    pass(&mut control, &clock, SILENCE_MS - 1000, Some(7)).await;
    assert_eq!((work.asked(), control.state(&id).await.as_str()), (0, "in_flight"));
    pass(&mut control, &clock, 1500, Some(7)).await;
    assert_eq!((work.asked(), control.state(&id).await.as_str()), (1, "not_run"));
    let reply = control.client.begin(request).await.expect("an answer to Begin").into_inner();
    assert_eq!(reply.verdict, Some(Verdict::ProceedAttempt(2)));
    clock.stop(control).await;
}

/// Guards against an outcome that the upstream's word does not prove, after a restart of control.
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
async fn what_the_upstream_says_after_a_restart(
    #[case] said: Option<FenceAnswer>,
    #[case] incarnation: Option<u64>,
    #[case] before_the_lease_ended: &str,
    #[case] after: &str,
) {
    let (work, clock) = paused();
    work.say(said);
    let id = today("1");
    let mut control = work.start().await;
    control.begin(&id).await;
    clock.stop(control).await;
    let mut control = work.start().await;
    pass(&mut control, &clock, 2500, incarnation).await;
    assert_eq!(control.state(&id).await, before_the_lease_ended);
    pass(&mut control, &clock, 3000, incarnation).await;
    assert_eq!(control.state(&id).await, after);
    clock.stop(control).await;
}

/// Guards against an intent whose answer never reached a host that goes on living.
#[tokio::test]
async fn an_old_open_attempt_of_a_living_host_is_settled_too() {
    let (work, clock) = paused();
    work.say(Some(FenceAnswer::NotStarted));
    let id = today("1");
    let mut control = work.start().await;
    let mut host = Host::open(&mut control, "entry-1").await;
    let first = host.next().await;
    control.begin(&id).await;
    for second in 0..18 {
        host.want(&first, 0).await;
        pass(&mut control, &clock, 1000, Some(1)).await;
        if second == 13 {
            assert_eq!((work.asked(), control.state(&id).await.as_str()), (0, "in_flight"));
        }
    }
    assert_eq!(control.state(&id).await, "not_run");
    clock.stop(control).await;
}
