//! Hosts that are replaced by others with empty disks, and losses after that.

use rstest::rstest;

use super::world::{CATCH_UP_MS, Faults, World};
use crate::quorum::Core;

/// Time for which a host that lost its disk is down.
const DOWN_MS: u64 = 3_000;

/// Time after which the quorum must serve again once all its hosts are up.
const RECOVER_MS: u64 = 8_000;

fn run(world: &mut World, for_ms: u64) {
    let until_ms = world.now_ms + for_ms;
    while world.now_ms < until_ms {
        world.step();
    }
}

fn started(hosts: usize, seed: u64) -> (World, usize) {
    let mut world = World::new(hosts, seed, Faults::NONE);
    run(&mut world, 3_000);
    let leader = world.leader().expect("a quorum without faults has a leader");
    (world, leader)
}

fn voters(world: &World) -> usize {
    let leader = world.leader().expect("a host leads");
    world.hosts[leader].core.as_ref().map_or(0, |core| core.membership().voters().count())
}

/// Cuts a host off from all others for some time.
fn isolate(world: &mut World, host: usize, for_ms: u64) {
    for other in 0..world.hosts.len() {
        world.cut(host, other, for_ms);
        world.cut(other, host, for_ms);
    }
}

/// Lets hosts lose their disks, and checks that the quorum comes back and commits more.
fn lose_disks(world: &mut World, hosts: &[usize]) {
    for host in hosts {
        world.wipe(*host);
    }
    run(world, DOWN_MS);
    for host in hosts {
        world.restart(*host);
    }
    let before = world.commands();
    run(world, RECOVER_MS);
    assert!(
        world.commands() > before,
        "nothing is committed after {hosts:?} have lost their disks"
    );
}

/// Guards against a replaced host that goes on counting towards the quorum: its votes were missed when
/// another host lost its disk later, and control never came back. The new host starts after the loss
/// or, if that is planned, before.
#[rstest]
fn a_replaced_host_does_not_count_when_another_loses_its_disk(
    #[values(true, false)] planned: bool,
    #[values(true, false)] replaced_leads: bool,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let (mut world, leader) = started(3, seed);
    let replaced = if replaced_leads { leader } else { (leader + 1) % 3 };
    if planned {
        world.add_host();
        run(&mut world, CATCH_UP_MS);
        world.retire(replaced);
        // The host did not say that it leaves, so that its silence must be noticed.
        run(&mut world, CATCH_UP_MS);
    } else {
        world.retire(replaced);
        run(&mut world, 300);
        world.add_host();
        run(&mut world, CATCH_UP_MS);
    }
    let second = world.leader().expect("a host leads after the replacement");
    lose_disks(&mut world, &[second]);
}

/// Guards against voters that are never removed because another one is lost as well.
#[rstest]
fn two_replaced_hosts_do_not_count_when_two_lose_their_disks(#[values(1, 2, 3, 4)] seed: u64) {
    let (mut world, leader) = started(6, seed);
    for replaced in [(leader + 1) % 6, (leader + 2) % 6] {
        world.retire(replaced);
        world.add_host();
    }
    run(&mut world, CATCH_UP_MS);
    let second = world.leader().expect("a host leads after the replacement");
    lose_disks(&mut world, &[second, (leader + 3) % 6]);
}

/// Guards against a quorum that shrinks until fewer hosts hold an entry than disks may be lost.
#[test]
fn lost_hosts_without_successors_leave_enough_voters() {
    let (mut world, leader) = started(6, 1);
    for lost in 1..=3 {
        isolate(&mut world, (leader + lost) % 6, 12_000 * (4 - lost as u64));
        run(&mut world, 12_000);
    }
    run(&mut world, RECOVER_MS);
    assert_eq!(voters(&world), 6, "all hosts vote again");
    let smallest = world.smallest_membership();
    assert!(smallest >= 5, "{smallest} voters cannot lose two disks");
}

/// Guards against a host that stops as planned and still counts until its silence is noticed.
#[rstest]
#[case::there_is_a_successor(true, 3)]
#[case::the_others_are_too_few(false, 3)]
fn a_host_that_leaves_is_removed_at_once(#[case] has_successor: bool, #[case] expected: usize) {
    let (mut world, leader) = started(3, 1);
    if has_successor {
        world.add_host();
        run(&mut world, CATCH_UP_MS);
    }
    let leaving = (leader + 1) % 3;
    let id = world.hosts[leaving].id;
    let leads = world.leader().expect("a host leads");
    let now_ms = world.now_ms;
    let accepted = world.hosts[leads].core.as_mut().is_some_and(|core| core.leave(id, now_ms));
    assert_eq!(accepted, has_successor);
    world.retire(leaving);
    run(&mut world, 500);
    let is_voter = |core: &Core| core.membership().is_voter(id);
    assert_eq!(world.hosts[leads].core.as_ref().map(is_voter), Some(!has_successor));
    assert_eq!(voters(&world), expected);
}
