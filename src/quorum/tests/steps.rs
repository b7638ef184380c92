//! Single situations that once went wrong, or that must not.

use super::world::{Faults, World};

fn run(world: &mut World, for_ms: u64) {
    let until_ms = world.now_ms + for_ms;
    while world.now_ms < until_ms {
        world.step();
    }
}

fn with_entries(entries: usize) -> (World, usize) {
    let mut world = World::new(3, 3, Faults::NONE);
    run(&mut world, 3_000);
    let leader = world.leader().expect("a calm quorum has a leader");
    for _ in 0..entries {
        world.propose(leader);
        world.step();
    }
    (world, leader)
}

/// A follower that was cut off answered every probe with a rejection, and each rejection brought
/// the whole log again: the link filled up and it never caught up.
#[test]
fn a_follower_that_lags_gets_the_log_about_once() {
    let (mut world, leader) = with_entries(50);
    let behind = (leader + 1) % 3;
    let other = (leader + 2) % 3;
    for peer in [leader, other] {
        world.cut(peer, behind, 6_000);
        world.cut(behind, peer, 6_000);
    }
    run(&mut world, 1_500);
    let before = world.sent_entries;
    let mut missed = 0;
    for _ in 0..400 {
        missed += u64::from(world.propose(leader).is_some());
        world.step();
    }
    run(&mut world, 9_000);
    let newest = world.hosts[leader].core.as_ref().unwrap().commit_index();
    let caught_up = world.hosts[behind].core.as_ref().unwrap().commit_index();
    assert!(missed > 200, "the leader took only {missed} commands");
    assert!(caught_up + 20 > newest, "the follower is at {caught_up} of {newest}");
    let sent = world.sent_entries - before;
    let appended = newest;
    assert!(sent < 4 * appended, "{sent} entries were sent for {appended}");
}

/// A host whose disk was lost comes back under another identity and becomes a voter.
#[test]
fn a_wiped_host_becomes_a_voter_again() {
    let (mut world, leader) = with_entries(300);
    let host = (leader + 1) % 3;
    let former = world.hosts[host].id;
    world.wipe(host);
    run(&mut world, 800);
    world.restart(host);
    run(&mut world, 8_000);
    let id = world.hosts[host].id;
    let membership = world.hosts[leader].core.as_ref().unwrap().membership().clone();
    assert!(membership.is_voter(id), "{membership:?}");
    assert!(membership.get(former).is_none(), "the former identity still counts");
}

/// Leadership is passed on within one round trip, without waiting for an election timeout.
#[test]
fn leadership_is_handed_over() {
    let (mut world, leader) = with_entries(20);
    run(&mut world, 500);
    let now_ms = world.now_ms;
    assert!(world.hosts[leader].core.as_mut().unwrap().hand_over(now_ms));
    run(&mut world, 1_200);
    let next = world.leader().expect("another host leads");
    assert_ne!(next, leader);
}

/// A leader that was suspended must not answer reads or extend leases when it wakes.
#[test]
fn a_silent_leader_loses_its_lease() {
    let (mut world, leader) = with_entries(20);
    for peer in 0..3 {
        world.cut(leader, peer, 5_000);
        world.cut(peer, leader, 5_000);
    }
    let cut_ms = world.now_ms;
    run(&mut world, 800);
    let lease_holds = world.hosts[leader].core.as_ref().unwrap().is_confirmed_leader(world.now_ms);
    assert!(!lease_holds, "the lease holds {} ms after the cut", world.now_ms - cut_ms);
}
