//! Tests of the outbox of announcements and leaves.

use rstest::rstest;

use super::Outbox;
use crate::rpc;

fn message(incarnation: u64, leaving: bool) -> rpc::Upstream {
    rpc::Upstream { name: "worker-1".into(), incarnation, leaving, ..rpc::Upstream::default() }
}

/// A message whose relay failed must not replace a newer one about the same upstream that arrived
/// meanwhile: control would hear neither of the leave nor of the restart.
#[rstest]
#[case::left_meanwhile(message(1, true))]
#[case::restarted_meanwhile(message(2, false))]
fn a_failed_relay_does_not_replace_newer_messages(#[case] newer: rpc::Upstream) {
    let outbox = Outbox::default();
    outbox.announce(message(1, false));
    let failed = outbox.take();
    outbox.announce(newer.clone());
    outbox.requeue(failed.announced);
    assert_eq!(outbox.take().announced, [newer]);
}

/// A late leave of a former incarnation must not replace the announcement of its successor.
#[test]
fn a_leave_of_a_former_incarnation_does_not_replace_the_announcement_of_its_successor() {
    let outbox = Outbox::default();
    outbox.announce(message(2, false));
    outbox.announce(message(1, true));
    assert_eq!(outbox.take().announced, [message(2, false)]);
}

/// A message whose relay failed must be sent again.
#[test]
fn a_failed_relay_is_repeated() {
    let outbox = Outbox::default();
    outbox.announce(message(1, false));
    let failed = outbox.take();
    outbox.requeue(failed.announced);
    assert_eq!(outbox.take().announced, [message(1, false)]);
}
