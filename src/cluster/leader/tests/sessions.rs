//! Leases and run outcomes of one incarnation of an upstream.

use crate::cluster::leader::session::Session;
use crate::cluster::leader::unlisted::AnsweredOrder;
use crate::tasks::TaskId;
use crate::tasks::tests::sample::{incarnation, job_id};

const LEASE_MS: u64 = 10_000;

fn session(now_ms: u64) -> Session {
    Session::new(incarnation(0), "10.0.0.1:80".into(), LEASE_MS, now_ms)
}

/// Guards against two runs of one task: the work of a silent upstream may start elsewhere only once
/// its last lease has ended on a clock that is 2% slow.
#[test]
fn a_silent_upstream_lapses_after_its_last_lease() {
    let mut session = session(0);
    assert!(session.grant_lease(0).is_none(), "its clock is not known yet");
    session.record_contact(500_000, 1_000);
    assert_eq!(session.grant_lease(3_000), Some(500_000 + 2_000 + LEASE_MS));
    let ends_ms = 1_000 + 12_000 * 1_000 / 980;
    assert!(!session.has_lapsed(ends_ms));
    assert!(session.has_lapsed(ends_ms + 400));
}

/// Guards against work that waits for a long lease of an upstream that was bound to leave. One that drains
/// no longer gets long ones again.
#[test]
fn a_draining_upstream_gets_short_leases() {
    let mut session = session(0);
    session.record_contact(1_000, 0);
    session.record_drain(Some(2_000), 0);
    session.record_drain(Some(500), 1_000);
    assert_eq!(session.drain_ends_ms(), Some(2_000), "by the first notice");
    assert_eq!(session.grant_lease(0), Some(1_000 + LEASE_MS / 2));
    session.record_drain(None, 2_000);
    assert_eq!(session.grant_lease(0), Some(1_000 + LEASE_MS));
}

/// Guards against restarting work that a lease of the former leader still covers: a new leader
/// waits for a whole lease.
#[test]
fn a_new_leader_waits_for_the_former_ones_leases() {
    let session = session(5_000);
    assert!(!session.has_lapsed(5_000 + LEASE_MS));
    assert!(session.has_lapsed(5_000 + LEASE_MS * 1_000 / 980 + 400));
}

/// Guards against an older clock that replaces a newer one, since answers on different connections
/// may overtake each other.
#[test]
fn an_overtaken_answer_changes_nothing() {
    let mut session = session(0);
    session.record_contact(9_000, 1_000);
    session.record_contact(8_000, 1_100);
    assert_eq!(session.grant_lease(1_000), Some(9_000 + LEASE_MS));
}

/// Guards against sending more work to an upstream that left an order unanswered, until it answers
/// again.
#[test]
fn an_unanswered_order_makes_the_upstream_unreachable() {
    let mut session = session(0);
    session.record_contact(0, 1_000);
    assert!(session.is_reachable(1_100));
    session.record_unanswered_order();
    assert!(!session.is_reachable(1_100));
    session.record_contact(200, 1_200);
    assert!(session.is_reachable(1_300));
    assert!(!session.is_reachable(5_000));
}

/// Guards against setting aside a healthy upstream because of one faulty job: only failures of
/// several jobs in a row count against the upstream.
#[test]
fn only_failures_of_several_jobs_set_an_upstream_aside() {
    let mut session = session(0);
    assert_eq!(session.record_outcome(job_id(1), false, 0), None);
    assert_eq!(session.record_outcome(job_id(1), false, 0), None);
    assert_eq!(session.record_outcome(job_id(2), true, 0), None);
    assert_eq!(session.record_outcome(job_id(1), false, 0), None);
    assert!(session.record_outcome(job_id(2), false, 0).is_some());
}

/// The first run after the pause decides: another failure sets the upstream aside for longer, a
/// success clears it.
#[test]
fn a_probe_decides_after_the_pause() {
    let mut session = session(0);
    session.record_outcome(job_id(1), false, 0);
    let first = session.record_outcome(job_id(2), false, 0).unwrap();
    let second = session.record_outcome(job_id(3), false, first).unwrap();
    assert!(second > first);
    assert_eq!(session.record_outcome(job_id(4), true, 0), None);
    assert_eq!(session.record_outcome(job_id(5), false, 0), None);
}

/// Guards against a crash that counts as proof against a task which may not have run: only its stop was
/// answered, or its start was refused as old.
#[test]
fn a_run_counts_as_started_by_the_answer_to_its_start_only() {
    let mut session = session(0);
    let run = |index| (TaskId { job: job_id(1), occurrence: 0, step: 0, index }, 1);
    let orders = &mut session.answered_orders;
    orders.insert(run(0), AnsweredOrder::stopped(100));
    orders.insert(run(1), AnsweredOrder::old(100));
    orders.insert(run(2), AnsweredOrder::begun(100).followed_by(AnsweredOrder::stopped(200)));
    let alive_ms = [0, 1, 2].map(|index| session.seen_alive_ms(&run(index)));
    assert_eq!(alive_ms, [None, None, Some(0)]);
}

/// Guards against a lease that is not extended because this host had no connection to spare or no time:
/// only calls without an answer show that an upstream is silent.
#[test]
fn a_shortage_of_this_host_is_no_silence() {
    let mut session = session(0);
    session.record_contact(1_000, 1_000);
    session.record_failed_hold();
    assert_eq!(session.unanswered_ms(9_000), 0);
    session.record_unanswered_hold(9_000);
    session.record_unanswered_hold(11_000);
    assert_eq!(session.unanswered_ms(13_000), 4_000);
    session.record_contact(13_500, 13_500);
    assert_eq!(session.unanswered_ms(14_000), 0);
}
