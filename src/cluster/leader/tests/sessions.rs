//! Leases and outcomes of one incarnation of an upstream.

use crate::cluster::leader::session::Session;
use crate::tasks::tests::sample::{incarnation, job_id};

const LEASE_MS: u64 = 10_000;

fn session(now_ms: u64) -> Session {
    Session::new(incarnation(0), "10.0.0.1:80".into(), LEASE_MS, now_ms)
}

/// Work of a silent upstream may start elsewhere only once the last lease that any leader granted
/// has ended on a clock that is 2% slow.
#[test]
fn a_silent_upstream_lapses_after_its_last_lease() {
    let mut session = session(0);
    assert!(session.grant_lease(0).is_none(), "its clock is not known yet");
    session.heard(500_000, 1_000);
    assert_eq!(session.grant_lease(3_000), Some(500_000 + 2_000 + LEASE_MS));
    let ends_ms = 1_000 + 12_000 * 1_000 / 980;
    assert!(!session.lapsed(ends_ms));
    assert!(session.lapsed(ends_ms + 400));
}

/// A new leader does not know what the former one granted, so it waits for a whole lease.
#[test]
fn a_new_leader_waits_for_the_former_ones_leases() {
    let session = session(5_000);
    assert!(!session.lapsed(5_000 + LEASE_MS));
    assert!(session.lapsed(5_000 + LEASE_MS * 1_000 / 980 + 400));
}

/// Answers on different connections overtake each other; an older clock must not count.
#[test]
fn an_overtaken_answer_changes_nothing() {
    let mut session = session(0);
    session.heard(9_000, 1_000);
    session.heard(8_000, 1_100);
    assert_eq!(session.grant_lease(1_000), Some(9_000 + LEASE_MS));
}

/// An upstream that leaves an order unanswered gets nothing more until it answers again.
#[test]
fn an_unanswered_order_ends_the_touch() {
    let mut session = session(0);
    session.heard(0, 1_000);
    assert!(session.in_touch(1_100));
    session.doubt();
    assert!(!session.in_touch(1_100));
    session.heard(200, 1_200);
    assert!(session.in_touch(1_300));
    assert!(!session.in_touch(5_000));
}

/// Failures of one job indict the job; failures of several jobs in a row indict the upstream.
#[test]
fn only_failures_of_several_jobs_set_an_upstream_aside() {
    let mut session = session(0);
    assert_eq!(session.note_outcome(job_id(1), false, 0), None);
    assert_eq!(session.note_outcome(job_id(1), false, 0), None);
    assert_eq!(session.note_outcome(job_id(2), true, 0), None);
    assert_eq!(session.note_outcome(job_id(1), false, 0), None);
    assert!(session.note_outcome(job_id(2), false, 0).is_some());
}

/// After its pause an upstream is probed: one more failure sets it aside for longer, one success
/// clears it.
#[test]
fn a_probe_decides_after_the_pause() {
    let mut session = session(0);
    session.note_outcome(job_id(1), false, 0);
    let first = session.note_outcome(job_id(2), false, 0).unwrap();
    let second = session.note_outcome(job_id(3), false, first).unwrap();
    assert!(second > first);
    assert_eq!(session.note_outcome(job_id(4), true, 0), None);
    assert_eq!(session.note_outcome(job_id(5), false, 0), None);
}
