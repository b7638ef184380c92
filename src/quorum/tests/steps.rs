//! Single scenarios of replication, membership, handover and the lease.

use super::world::{Faults, World};

fn run(world: &mut World, for_ms: u64) {
    let until_ms = world.now_ms + for_ms;
    while world.now_ms < until_ms {
        world.step();
    }
}

fn run_without_proposals(world: &mut World, for_ms: u64) {
    let until_ms = world.now_ms + for_ms;
    while world.now_ms < until_ms {
        world.step_without_proposal();
    }
}

fn cluster_with_entries(entries: usize) -> (World, usize) {
    let mut world = World::new(3, 3, Faults::NONE);
    run(&mut world, 3_000);
    let leader = world.leader().expect("a quorum without faults has a leader");
    for _ in 0..entries {
        world.propose(leader);
        world.step();
    }
    (world, leader)
}

/// Guards against resending the whole log on each rejection. A follower that returns from a
/// partition rejects many probes, so the link filled up and the follower never caught up.
#[test]
fn a_follower_that_lags_gets_the_log_about_once() {
    let (mut world, leader) = cluster_with_entries(50);
    let behind = (leader + 1) % 3;
    let other = (leader + 2) % 3;
    for peer in [leader, other] {
        world.cut(peer, behind, 6_000);
        world.cut(behind, peer, 6_000);
    }
    run(&mut world, 1_500);
    let before = world.sent_entries;
    let mut accepted = 0;
    for _ in 0..400 {
        accepted += u64::from(world.propose(leader).is_some());
        world.step();
    }
    run(&mut world, 9_000);
    let newest = world.hosts[leader].core.as_ref().unwrap().commit_index();
    let caught_up = world.hosts[behind].core.as_ref().unwrap().commit_index();
    assert!(accepted > 200, "the leader accepted only {accepted} commands");
    assert!(caught_up + 20 > newest, "the follower is at {caught_up} of {newest}");
    let sent = world.sent_entries - before;
    let appended = newest;
    assert!(sent < 4 * appended, "{sent} entries were sent for {appended}");
}

/// Guards against entries that are sent only once: followers acknowledge heartbeats after the message
/// with the entries was lost or overtaken, and callers waited for a commit that never came.
#[test]
fn lost_entries_are_sent_again_without_new_proposals() {
    let (mut world, leader) = cluster_with_entries(20);
    run_without_proposals(&mut world, 1_000);
    for follower in [(leader + 1) % 3, (leader + 2) % 3] {
        world.cut(leader, follower, 80);
    }
    let index = world.propose(leader).expect("the leader accepts a command");
    run_without_proposals(&mut world, 2_000);
    assert_eq!(world.leader(), Some(leader), "the leader has not changed");
    let committed = world.hosts[leader].core.as_ref().unwrap().commit_index();
    assert!(committed >= index, "committed {committed}, proposed {index}");
}

/// A host that lost its disk rejoins with a new identity and replaces its former one as a voter.
#[test]
fn a_wiped_host_becomes_a_voter_again() {
    let (mut world, leader) = cluster_with_entries(300);
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

/// A handover takes one round trip and must not wait for an election timeout.
#[test]
fn leadership_is_handed_over() {
    let (mut world, leader) = cluster_with_entries(20);
    run(&mut world, 500);
    let now_ms = world.now_ms;
    assert!(world.hosts[leader].core.as_mut().unwrap().hand_over(now_ms));
    run(&mut world, 1_200);
    let next = world.leader().expect("another host leads");
    assert_ne!(next, leader);
}

/// Guards against a leader that serves reads or extends leases after it has lost contact with its
/// quorum.
#[test]
fn a_silent_leader_loses_its_lease() {
    let (mut world, leader) = cluster_with_entries(20);
    for peer in 0..3 {
        world.cut(leader, peer, 5_000);
        world.cut(peer, leader, 5_000);
    }
    let cut_ms = world.now_ms;
    run(&mut world, 800);
    let lease_holds = world.hosts[leader].core.as_ref().unwrap().is_confirmed_leader(world.now_ms);
    assert!(!lease_holds, "the lease holds {} ms after the cut", world.now_ms - cut_ms);
}

/// Guards against a host that answers for the leader while it is cut off from it.
#[test]
fn only_a_follower_that_hears_of_its_leader_follows_a_live_one() {
    let (mut world, leader) = cluster_with_entries(5);
    let (near, cut_off) = ((leader + 1) % 3, (leader + 2) % 3);
    let follows = |world: &World, host: usize| {
        world.hosts[host].core.as_ref().unwrap().follows_live_leader(world.now_ms)
    };
    assert!(follows(&world, near) && follows(&world, cut_off));
    assert!(!follows(&world, leader), "a leader does not follow");
    for peer in [leader, near] {
        world.cut(peer, cut_off, 6_000);
        world.cut(cut_off, peer, 6_000);
    }
    run(&mut world, 2_000);
    assert!(follows(&world, near) && !follows(&world, cut_off));
}
