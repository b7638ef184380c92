//! Announcements, leaves, renewals and lease expiry, in and out of order.

use rstest::rstest;

use crate::control::registry::{Change, Presence, Registry, Upstream};
use crate::names::UpstreamName;

const LEASE_MS: u64 = 3000;

fn name() -> UpstreamName {
    "worker-1".parse().expect("a name")
}

fn upstream(incarnation: u64) -> Upstream {
    Upstream {
        name: name(),
        incarnation,
        address: "127.0.0.1:9".into(),
        services: ["plan".parse().expect("a name")].into_iter().collect(),
        rack: Some("rack-1".parse().expect("a name")),
        rack_position: 0,
        accelerators: 8,
        slots: 8,
        connections: 64,
    }
}

/// Applies messages such as `a2` (announcement), `l2` (leave), `r2` (renewal) or `+500` (time).
fn run(messages: &str) -> (Registry, Vec<Change>) {
    let mut registry = Registry::new(LEASE_MS);
    let mut now_ms = 0;
    let mut changes = Vec::new();
    for message in messages.split(' ') {
        let number = message[1..].parse().expect("a number");
        changes.push(match &message[..1] {
            "a" => registry.announce(upstream(number), now_ms),
            "l" => registry.leave(&name(), number, now_ms),
            "r" => registry.renew(&name(), number, now_ms),
            _ => {
                now_ms += number;
                registry.expire(now_ms);
                continue;
            }
        });
    }
    (registry, changes)
}

/// Guards against late messages that make an upstream available after it left or was replaced.
#[rstest]
#[case("a1", "[Added]", Presence::Alive, 1)]
#[case("a1 a1", "[Added, Renewed]", Presence::Alive, 1)]
#[case("a1 a2 a1", "[Added, Added, Stale]", Presence::Alive, 2)]
#[case("a1 l1 a1", "[Added, Left, Stale]", Presence::Left, 1)]
#[case("l1 a1", "[Left, Stale]", Presence::Left, 1)]
#[case("a1 l1 l1", "[Added, Left, Renewed]", Presence::Left, 1)]
#[case("a1 l2 a1 a2", "[Added, Left, Stale, Stale]", Presence::Left, 2)]
#[case("a2 l1", "[Added, Stale]", Presence::Alive, 2)]
#[case("a1 l1 a2", "[Added, Left, Added]", Presence::Alive, 2)]
#[case("a1 l1 r1", "[Added, Left, Stale]", Presence::Left, 1)]
#[case("a1 +2999 r1 +2999", "[Added, Renewed]", Presence::Alive, 1)]
#[case("a1 +3000", "[Added]", Presence::Lost, 1)]
#[case("a1 +3000 r1", "[Added, Returned]", Presence::Alive, 1)]
#[case("a1 +3000 a1", "[Added, Returned]", Presence::Alive, 1)]
#[case("a1 r2", "[Added, Unknown]", Presence::Alive, 1)]
#[case("a2 r1", "[Added, Stale]", Presence::Alive, 2)]
fn messages_in_any_order(
    #[case] messages: &str,
    #[case] changes: &str,
    #[case] presence: Presence,
    #[case] incarnation: u64,
) {
    let (registry, applied) = run(messages);
    assert_eq!(format!("{applied:?}"), changes);
    let (upstream, found) = registry.get(&name()).expect("an entry");
    assert_eq!((upstream.incarnation, found), (incarnation, presence));
    let stale = changes.matches("Stale").count();
    assert_eq!(registry.stale_dropped(), stale as u64);
}

/// Guards against a renewal that adds an upstream whose announcement is unknown.
#[test]
fn a_renewal_of_an_unknown_upstream_asks_for_the_announcement() {
    assert_eq!(run("r1").1, [Change::Unknown]);
}

/// Guards against limits that change within an incarnation, because shares depend on them.
#[test]
fn different_content_of_the_same_incarnation_is_dropped() {
    let mut registry = Registry::new(LEASE_MS);
    registry.announce(upstream(1), 0);
    let fewer = Upstream { slots: 4, ..upstream(1) };
    assert_eq!(registry.announce(fewer, 1), Change::Stale);
    assert_eq!(registry.get(&name()).expect("an entry").0.slots, 8);
}

/// Guards against changes that are sent to entry hosts twice or not at all.
#[test]
fn changes_are_listed_once() {
    let (registry, _) = run("a1 a1 r1");
    assert_eq!(registry.changed_since(0).len(), 1);
    assert_eq!(registry.changed_since(registry.revision()).len(), 0);
    let (registry, _) = run("a1 +3000");
    assert!(registry.changed_since(1)[0].leaving);
}
