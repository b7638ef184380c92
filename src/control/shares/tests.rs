//! Shares by demand, and a randomised run with partitions, lost and reordered messages.

mod run;

use rstest::rstest;

use super::{Demand, Shares, UpstreamLimits};
use crate::names::{HostName, UpstreamName};
use crate::rpc;
use run::Run;

const SILENCE_MS: u64 = 3160;

fn host(number: usize) -> HostName {
    format!("entry-{number}").parse().expect("a name")
}

fn upstream() -> UpstreamName {
    "worker-1".parse().expect("a name")
}

fn limits(slots: u32, connections: u32) -> UpstreamLimits {
    UpstreamLimits { incarnation: 1, slots, connections }
}

/// Shares of one upstream over three hosts, with loans allowed from the start.
fn shares(slots: u32, connections: u32) -> Shares {
    let hosts: Vec<_> = (0..3).map(host).collect();
    let mut shares = Shares::new(&hosts, 1, SILENCE_MS, 0);
    shares.add(&upstream(), limits(slots, connections), SILENCE_MS);
    shares
}

/// Sends a host's demand and the acknowledgement of everything sent to it.
fn want(shares: &mut Shares, number: usize, slots: u32, now_ms: u64) {
    send(shares, number, shares.revision(&host(number)), (0, slots), now_ms);
}

/// Sends the slots in use and wanted, with an acknowledgement.
fn send(shares: &mut Shares, number: usize, revision: u64, slots: (u32, u32), now_ms: u64) {
    let demand = Demand { upstream: upstream(), slots_in_use: slots.0, slots_wanted: slots.1 };
    shares.handle_demand(&host(number), revision, &[demand], now_ms);
}

fn slots(shares: &Shares) -> Vec<u32> {
    (0..3).map(|number| shares.list(&host(number)).first().map_or(0, |s| s.slots)).collect()
}

/// Guards against unfair or unused shares once every host has acknowledged.
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
            want(&mut shares, number, slots, SILENCE_MS + round * 100);
        }
    }
    assert_eq!(slots(&shares), expected);
    let connections = (0..3).map(|number| shares.list(&host(number))[0].connections);
    let expected = expected.into_iter().map(|slots| 10 + (slots - 1) * 6);
    assert!(connections.eq(expected));
}

/// Guards against lending what another host may still use.
#[test]
fn a_slot_moves_only_after_its_holder_has_acknowledged() {
    let mut shares = shares(8, 64);
    let now_ms = SILENCE_MS + 10;
    want(&mut shares, 0, 20, now_ms);
    assert_eq!(slots(&shares), [6, 1, 1]);
    let held = shares.revision(&host(0));
    send(&mut shares, 0, held, (0, 0), now_ms + 1001);
    want(&mut shares, 1, 20, now_ms + 1002);
    assert_eq!(slots(&shares), [1, 1, 1], "the loan is called back and not yet lent again");
    send(&mut shares, 0, held, (0, 0), now_ms + 1003);
    assert_eq!(slots(&shares), [1, 1, 1]);
    want(&mut shares, 0, 0, now_ms + 1004);
    assert_eq!(slots(&shares), [1, 6, 1]);
}

/// Guards against lending slots on which work goes on although the share has shrunk.
#[test]
fn slots_in_use_beyond_a_share_stay_counted() {
    let mut shares = shares(8, 64);
    let now_ms = SILENCE_MS + 10;
    want(&mut shares, 0, 20, now_ms);
    for busy in [6, 5, 4, 3] {
        for _ in 0..2 {
            let revision = shares.revision(&host(0));
            send(&mut shares, 0, revision, (busy, 20), now_ms);
            want(&mut shares, 1, 20, now_ms);
        }
        assert!(slots(&shares)[1] <= 7 - busy, "{busy} {:?}", slots(&shares));
    }
    assert_eq!(slots(&shares), [4, 3, 1]);
}

/// Guards against lending a silent host's slots before its lease has certainly ended.
#[test]
fn a_silent_host_keeps_its_loan_until_its_lease_has_certainly_ended() {
    let mut shares = shares(8, 64);
    let now_ms = SILENCE_MS + 10;
    want(&mut shares, 0, 20, now_ms);
    want(&mut shares, 1, 20, now_ms + SILENCE_MS);
    shares.tick(now_ms + SILENCE_MS);
    assert_eq!(slots(&shares)[1], 1);
    shares.tick(now_ms + SILENCE_MS + 1);
    assert_eq!(slots(&shares), [1, 6, 1]);
}

/// Guards against lending what control had lent before it was restarted.
#[test]
fn nothing_is_lent_before_earlier_loans_have_ended() {
    let hosts: Vec<_> = (0..3).map(host).collect();
    let mut shares = Shares::new(&hosts, 1, SILENCE_MS, 0);
    shares.add(&upstream(), limits(8, 64), 0);
    want(&mut shares, 0, 20, SILENCE_MS - 1);
    assert_eq!(slots(&shares), [1, 1, 1]);
    shares.tick(SILENCE_MS);
    assert_eq!(slots(&shares), [6, 1, 1]);
}

fn held(slots: u32, incarnation: u64) -> rpc::Share {
    let connections = 10 + (slots - 1) * 6;
    rpc::Share { upstream: "worker-1".into(), incarnation, slots, connections }
}

/// Guards against shares that a restart of control takes away, and against adopting what may have
/// been lent to another host or belongs to another incarnation.
#[rstest]
#[case::of_one_host([Some(held(6, 1)), None, None], 0, [6, 1, 1])]
#[case::of_two_hosts([Some(held(4, 1)), Some(held(3, 1)), None], 0, [4, 3, 1])]
#[case::beyond_the_limit([Some(held(5, 1)), Some(held(3, 1)), None], 0, [5, 1, 1])]
#[case::of_another_incarnation([Some(held(6, 2)), None, None], 0, [1, 1, 1])]
#[case::after_lending_began([Some(held(6, 1)), None, None], SILENCE_MS, [1, 1, 1])]
fn a_restart_adopts_what_hosts_hold(
    #[case] reports: [Option<rpc::Share>; 3],
    #[case] at_ms: u64,
    #[case] expected: [u32; 3],
    #[values(false, true)] upstream_is_heard_first: bool,
) {
    let hosts: Vec<_> = (0..3).map(host).collect();
    let mut shares = Shares::new(&hosts, 1, SILENCE_MS, 0);
    if upstream_is_heard_first {
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

/// Guards against slots that wander between hosts whose demand comes and goes.
#[test]
fn loans_do_not_oscillate_with_short_peaks() {
    let mut shares = shares(8, 64);
    let mut revisions = Vec::new();
    for round in 0..200_u64 {
        let now_ms = SILENCE_MS + round * 50;
        let busy = usize::try_from(round / 3 % 2).expect("0 or 1");
        want(&mut shares, busy, 9, now_ms);
        want(&mut shares, 1 - busy, 0, now_ms);
        revisions.push(shares.total_revision());
    }
    assert_eq!(slots(&shares), [4, 3, 1]);
    assert_eq!(revisions[40], revisions[199], "the shares settle within 2 s");
}

/// Guards against shares that keep a limit only on paper: connections below slots, odd numbers.
#[rstest]
#[case(3, 6, [1, 1, 1])]
#[case(4, 6, [2, 1, 1])]
#[case(9, 7, [5, 1, 1])]
#[case(200, 4096, [198, 1, 1])]
fn small_and_odd_limits_are_kept(
    #[case] most_slots: u32,
    #[case] connections: u32,
    #[case] expected: [u32; 3],
) {
    let mut shares = shares(most_slots, connections);
    want(&mut shares, 0, 1000, SILENCE_MS);
    assert_eq!(slots(&shares), expected);
}

/// Guards against entry hosts that leave no connection for the messages of control.
#[rstest]
#[case(1, 64, 60)]
#[case(2, 64, 60)]
#[case(3, 64, 60)]
#[case(1, 33, 29)]
fn four_connections_are_kept_for_control(
    #[case] hosts: usize,
    #[case] connections: u32,
    #[case] most: u32,
) {
    let names: Vec<_> = (0..hosts).map(host).collect();
    let mut shares = Shares::new(&names, 1, SILENCE_MS, 0);
    shares.add(&upstream(), limits(8, connections), SILENCE_MS);
    want(&mut shares, 0, 1000, SILENCE_MS);
    let granted = (0..hosts).map(|number| shares.list(&host(number))[0].connections);
    let granted: u32 = granted.sum();
    assert!(granted <= most, "{granted} connections are shared");
}

/// Guards against hosts that together use more than an upstream's limit during partitions.
#[rstest]
fn a_randomised_run_keeps_the_limits(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut run = Run::new(seed, SILENCE_MS);
    run.steps(20_000);
    assert_eq!(run.violations, 0);
    assert!(run.most_lent >= 5, "the run lends: {}", run.most_lent);
    assert!(run.adopted >= 4, "the run adopts: {}", run.adopted);
    run.heal();
}

/// Guards against a run that could not notice a lease counted too short.
#[test]
fn the_run_notices_a_lease_that_is_counted_too_short() {
    let mut run = Run::new(1, 1500);
    run.steps(20_000);
    assert!(run.violations > 0);
}
