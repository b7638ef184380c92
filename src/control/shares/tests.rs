//! Shares by demand, and a randomised simulation with partitions, lost and reordered messages.

mod run;

use rstest::rstest;

use super::{Demand, Shares, UpstreamLimits};
use crate::names::{HostName, UpstreamName};
use crate::rpc;
use run::Simulation;

const LEASE_EXPIRY_MS: u64 = 3160;

fn host(number: usize) -> HostName {
    format!("entry-{number}").parse().expect("a name")
}

fn upstream() -> UpstreamName {
    "worker-1".parse().expect("a name")
}

fn limits(slots: u32, connections: u32) -> UpstreamLimits {
    UpstreamLimits { incarnation: 1, slots, connections }
}

/// Returns the shares of one upstream over three hosts, with loans allowed from the start.
fn shares(slots: u32, connections: u32) -> Shares {
    let hosts: Vec<_> = (0..3).map(host).collect();
    let mut shares = Shares::new(&hosts, 1, LEASE_EXPIRY_MS, 0);
    shares.add(&upstream(), limits(slots, connections), LEASE_EXPIRY_MS);
    shares
}

/// Sends a host's demand and the acknowledgement of everything sent to it.
fn send_demand(shares: &mut Shares, number: usize, slots: u32, now_ms: u64) {
    send_message(shares, number, shares.revision(&host(number)), (0, slots), now_ms);
}

/// Sends the slots in use and wanted, with an acknowledgement.
fn send_message(shares: &mut Shares, number: usize, revision: u64, slots: (u32, u32), now_ms: u64) {
    let demand = Demand { upstream: upstream(), slots_in_use: slots.0, slots_wanted: slots.1 };
    shares.handle_demand(&host(number), revision, &[demand], now_ms);
}

fn slots(shares: &Shares) -> Vec<u32> {
    (0..3).map(|number| shares.list(&host(number)).first().map_or(0, |s| s.slots)).collect()
}

/// Guards against unfair division or unused slots once every host has acknowledged.
#[rstest]
#[case::nobody_wants([0, 0, 0], [1, 1, 1])]
#[case::one_wants_all([20, 0, 0], [6, 1, 1])]
#[case::one_wants_little([3, 0, 0], [3, 1, 1])]
#[case::two_want_all([20, 20, 0], [4, 3, 1])]
#[case::all_want_all([20, 20, 20], [3, 3, 2])]
#[case::the_rest_of_one_goes_to_another([2, 20, 0], [2, 5, 1])]
fn loans_follow_demand(#[case] wanted: [u32; 3], #[case] expected: [u32; 3]) {
    let mut shares = shares(8, 64);
    for round in 0..6 {
        for (number, slots) in wanted.into_iter().enumerate() {
            send_demand(&mut shares, number, slots, LEASE_EXPIRY_MS + round * 100);
        }
    }
    assert_eq!(slots(&shares), expected);
    let connections = (0..3).map(|number| shares.list(&host(number))[0].connections);
    let expected = expected.into_iter().map(|slots| 10 + (slots - 1) * 6);
    assert!(connections.eq(expected));
}

/// Guards against lending slots that another host may still use.
#[test]
fn a_slot_moves_only_after_its_holder_has_acknowledged() {
    let mut shares = shares(8, 64);
    let now_ms = LEASE_EXPIRY_MS + 10;
    send_demand(&mut shares, 0, 20, now_ms);
    assert_eq!(slots(&shares), [6, 1, 1]);
    let held = shares.revision(&host(0));
    send_message(&mut shares, 0, held, (0, 0), now_ms + 1001);
    send_demand(&mut shares, 1, 20, now_ms + 1002);
    assert_eq!(slots(&shares), [1, 1, 1], "the loan is revoked and not yet lent again");
    send_message(&mut shares, 0, held, (0, 0), now_ms + 1003);
    assert_eq!(slots(&shares), [1, 1, 1]);
    send_demand(&mut shares, 0, 0, now_ms + 1004);
    assert_eq!(slots(&shares), [1, 6, 1]);
}

/// Guards against lending slots that are still in use after their share was reduced.
#[test]
fn slots_in_use_beyond_a_share_stay_counted() {
    let mut shares = shares(8, 64);
    let now_ms = LEASE_EXPIRY_MS + 10;
    send_demand(&mut shares, 0, 20, now_ms);
    for busy in [6, 5, 4, 3] {
        for _ in 0..2 {
            let revision = shares.revision(&host(0));
            send_message(&mut shares, 0, revision, (busy, 20), now_ms);
            send_demand(&mut shares, 1, 20, now_ms);
        }
        assert!(slots(&shares)[1] <= 7 - busy, "{busy} {:?}", slots(&shares));
    }
    assert_eq!(slots(&shares), [4, 3, 1]);
}

/// Guards against lending the slots of a silent host before its lease has expired.
#[test]
fn a_silent_host_keeps_its_loan_until_its_lease_has_expired() {
    let mut shares = shares(8, 64);
    let now_ms = LEASE_EXPIRY_MS + 10;
    send_demand(&mut shares, 0, 20, now_ms);
    send_demand(&mut shares, 1, 20, now_ms + LEASE_EXPIRY_MS);
    shares.tick(now_ms + LEASE_EXPIRY_MS);
    assert_eq!(slots(&shares)[1], 1);
    shares.tick(now_ms + LEASE_EXPIRY_MS + 1);
    assert_eq!(slots(&shares), [1, 6, 1]);
}

/// Guards against lending slots that control had lent before a restart.
#[test]
fn nothing_is_lent_before_earlier_loans_have_expired() {
    let hosts: Vec<_> = (0..3).map(host).collect();
    let mut shares = Shares::new(&hosts, 1, LEASE_EXPIRY_MS, 0);
    shares.add(&upstream(), limits(8, 64), 0);
    send_demand(&mut shares, 0, 20, LEASE_EXPIRY_MS - 1);
    assert_eq!(slots(&shares), [1, 1, 1]);
    shares.tick(LEASE_EXPIRY_MS);
    assert_eq!(slots(&shares), [6, 1, 1]);
}

fn held(slots: u32, incarnation: u64) -> rpc::Share {
    let connections = 10 + (slots - 1) * 6;
    rpc::Share { upstream: "worker-1".into(), incarnation, slots, connections }
}

/// Guards against revoking held shares in a restart of control, and against adopting shares that
/// may have been lent to another host or belong to another incarnation.
#[rstest]
#[case::of_one_host([Some(held(6, 1)), None, None], 0, [6, 1, 1])]
#[case::of_two_hosts([Some(held(4, 1)), Some(held(3, 1)), None], 0, [4, 3, 1])]
#[case::beyond_the_limit([Some(held(5, 1)), Some(held(3, 1)), None], 0, [5, 1, 1])]
#[case::of_another_incarnation([Some(held(6, 2)), None, None], 0, [1, 1, 1])]
#[case::after_lending_began([Some(held(6, 1)), None, None], LEASE_EXPIRY_MS, [1, 1, 1])]
fn a_restart_adopts_held_shares(
    #[case] reports: [Option<rpc::Share>; 3],
    #[case] at_ms: u64,
    #[case] expected: [u32; 3],
    #[values(false, true)] upstream_is_added_first: bool,
) {
    let hosts: Vec<_> = (0..3).map(host).collect();
    let mut shares = Shares::new(&hosts, 1, LEASE_EXPIRY_MS, 0);
    if upstream_is_added_first {
        shares.add(&upstream(), limits(8, 64), 0);
    }
    for (number, report) in reports.iter().enumerate() {
        let report: Vec<_> = report.iter().cloned().collect();
        shares.handle_report(&host(number), &report, at_ms);
        // Only the first report counts; a second one could be older than a change.
        shares.handle_report(&host(number), &[held(7, 1)], at_ms);
    }
    shares.add(&upstream(), limits(8, 64), at_ms);
    assert_eq!(slots(&shares), expected);
}

/// Guards against loans that move back and forth between hosts with alternating demand.
#[test]
fn loans_do_not_oscillate_with_short_peaks() {
    let mut shares = shares(8, 64);
    let mut revisions = Vec::new();
    for round in 0..200_u64 {
        let now_ms = LEASE_EXPIRY_MS + round * 50;
        let busy = usize::try_from(round / 3 % 2).expect("0 or 1");
        send_demand(&mut shares, busy, 9, now_ms);
        send_demand(&mut shares, 1 - busy, 0, now_ms);
        revisions.push(shares.total_revision());
    }
    assert_eq!(slots(&shares), [4, 3, 1]);
    assert_eq!(revisions[40], revisions[199], "the shares settle within 2 s");
}

/// Guards against exceeding small and odd limits, for example with fewer connections than slots.
#[rstest]
#[case(3, 6, [1, 1, 1])]
#[case(4, 6, [2, 1, 1])]
#[case(9, 7, [5, 1, 1])]
#[case(200, 4096, [198, 1, 1])]
fn small_and_odd_limits_are_kept(
    #[case] slot_limit: u32,
    #[case] connections: u32,
    #[case] expected: [u32; 3],
) {
    let mut shares = shares(slot_limit, connections);
    send_demand(&mut shares, 0, 1000, LEASE_EXPIRY_MS);
    assert_eq!(slots(&shares), expected);
}

/// Guards against sharing the connections that control needs for its messages.
#[rstest]
#[case(1, 64, 60)]
#[case(2, 64, 60)]
#[case(3, 64, 60)]
#[case(1, 33, 29)]
fn four_connections_are_reserved_for_control(
    #[case] hosts: usize,
    #[case] connections: u32,
    #[case] max_shared: u32,
) {
    let names: Vec<_> = (0..hosts).map(host).collect();
    let mut shares = Shares::new(&names, 1, LEASE_EXPIRY_MS, 0);
    shares.add(&upstream(), limits(8, connections), LEASE_EXPIRY_MS);
    send_demand(&mut shares, 0, 1000, LEASE_EXPIRY_MS);
    let granted = (0..hosts).map(|number| shares.list(&host(number))[0].connections);
    let granted: u32 = granted.sum();
    assert!(granted <= max_shared, "{granted} connections are shared");
}

/// Guards against hosts that together exceed an upstream's limits.
///
/// The simulation partitions and restarts hosts and control, and loses and delays messages.
#[rstest]
fn a_randomised_simulation_keeps_the_limits(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut simulation = Simulation::new(seed, LEASE_EXPIRY_MS);
    simulation.steps(20_000);
    assert_eq!(simulation.violations, 0);
    assert!(simulation.max_lent >= 5, "lent slots: {}", simulation.max_lent);
    assert!(simulation.max_adopted >= 4, "adopted slots: {}", simulation.max_adopted);
    simulation.heal();
}

/// Guards against a simulation that cannot detect violations, here by a lease expiry that is too
/// short.
#[test]
fn the_simulation_detects_a_lease_expiry_that_is_too_short() {
    let mut simulation = Simulation::new(1, 1500);
    simulation.steps(20_000);
    assert!(simulation.violations > 0);
}
