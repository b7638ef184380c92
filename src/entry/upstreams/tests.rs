//! Tests of leases, leaves and retention on a paused clock.

use std::time::Duration;

use rstest::rstest;
use tokio::time::{Instant, advance};

use super::{Allowance, Slot, TableSettings, UpstreamInfo, Upstreams};
use crate::class::Class;
use crate::entry::pool::PoolTimes;
use crate::names::{ServiceName, UpstreamName};

const SECOND: Duration = Duration::from_secs(1);

fn upstreams() -> Upstreams {
    let pool_times = PoolTimes { connect_timeout: SECOND, age: SECOND, idle_probe: SECOND };
    Upstreams::new(TableSettings {
        local_entry_hosts: 1,
        upstream_lease: 3 * SECOND,
        pool_times,
        park_max: 10,
        batch_share_one_in: 8,
    })
}

fn service() -> ServiceName {
    "plan".parse().expect("a name")
}

fn name(number: u32) -> UpstreamName {
    format!("worker-{number}").parse().expect("a name")
}

fn info(number: u32, incarnation: u64) -> UpstreamInfo {
    UpstreamInfo {
        name: name(number),
        incarnation,
        address: ([127, 0, 0, 1], 1).into(),
        services: [service()].into_iter().collect(),
        rack: "rack-0".parse().expect("a name"),
        rack_position: 0,
        accelerators: 8,
        slots: 8,
        connections: 64,
    }
}

fn reserve(upstreams: &Upstreams) -> Option<Slot> {
    upstreams.try_reserve(&service(), Class::Interactive, None)
}

/// An upstream may have left without this host being notified, so work may only go to one that has
/// announced itself recently. One late announcement must not end its lease.
#[rstest]
#[case::announced(1_500, true, 1)]
#[case::late(1_950, false, 1)]
#[case::lease_ended(3_000, false, 0)]
#[tokio::test(start_paused = true)]
async fn new_work_needs_a_recent_announcement(
    #[case] after_ms: u64,
    #[case] gets_work: bool,
    #[case] present: usize,
) {
    let upstreams = upstreams();
    assert!(upstreams.announce(info(1, 1)));
    advance(Duration::from_millis(after_ms)).await;
    assert_eq!(reserve(&upstreams).is_some(), gets_work);
    assert_eq!(upstreams.live().len(), present);
    assert!(upstreams.announce(info(1, 1)));
    assert!(reserve(&upstreams).is_some(), "the same incarnation may return");
}

/// Upstreams that are replaced under new names must not accumulate in memory.
#[tokio::test(start_paused = true)]
async fn expired_upstreams_are_removed() {
    let upstreams = upstreams();
    for number in 0..1_000 {
        assert!(upstreams.announce(info(number, 1)));
        advance(SECOND).await;
        upstreams.maintain();
        assert!(upstreams.known_count() <= 64, "{} are known", upstreams.known_count());
    }
}

/// An upstream that leaves must not be removed while it may still run work of this host, since the
/// results could not be queried any more.
#[tokio::test(start_paused = true)]
async fn a_leaving_upstream_is_kept_until_its_work_has_ended() {
    let upstreams = upstreams();
    upstreams.announce(info(1, 1));
    let slot = reserve(&upstreams).expect("a slot");
    upstreams.leave(&name(1), 1);
    assert!(reserve(&upstreams).is_none(), "no new work");
    assert!(slot.is_current(), "fence calls can be made");
    drop(slot);
    assert_eq!(upstreams.known_count(), 0);
}

/// A delayed announcement must not make an incarnation available again after its leave.
#[rstest]
#[case::same_incarnation(5, 59 * 60, false)]
#[case::older_incarnation(4, 59 * 60, false)]
#[case::newer_incarnation(6, 0, true)]
#[case::after_the_retention_of_an_hour(5, 61 * 60, true)]
#[tokio::test(start_paused = true)]
async fn a_leave_supersedes_announcements_for_an_hour(
    #[case] incarnation: u64,
    #[case] after_s: u64,
    #[case] applied: bool,
) {
    let upstreams = upstreams();
    upstreams.announce(info(1, 5));
    upstreams.leave(&name(1), 5);
    advance(Duration::from_secs(after_s)).await;
    upstreams.maintain();
    assert_eq!(upstreams.announce(info(1, incarnation)), applied);
}

/// Requests whose callers no longer wait must not count as demand or stay in memory.
#[tokio::test(start_paused = true)]
async fn abandoned_requests_leave_no_demand() {
    let upstreams = upstreams();
    upstreams.announce(info(1, 1));
    let slot = reserve(&upstreams).expect("a slot");
    for _ in 0..100 {
        let parked = upstreams.park(&service(), Class::Interactive, None, 10);
        drop(parked.expect("a place"));
    }
    assert_eq!(upstreams.share_reports()[0].slots_wanted, 0);
    drop(slot);
}

/// A process suspended between reserving a slot and sending must not send under a share whose lease
/// has ended, because control may have given the share to another host.
#[rstest]
#[case::within_the_lease(2_900, 2, true)]
#[case::after_the_lease(3_200, 2, false)]
#[case::after_the_lease_within_the_base_share(3_200, 1, true)]
#[tokio::test(start_paused = true)]
async fn a_slot_of_an_expired_share_is_not_used(
    #[case] after_ms: u64,
    #[case] slots: usize,
    #[case] is_used: bool,
) {
    let upstreams = upstreams();
    upstreams.announce(info(1, 1));
    let leased_share = Allowance { slots: 8, connections: 64 };
    upstreams.apply_shares(1, [(name(1), 1, leased_share)], Instant::now() + 3 * SECOND);
    let reserved: Vec<_> = (0..slots).map(|_| reserve(&upstreams).expect("a slot")).collect();
    advance(Duration::from_millis(after_ms)).await;
    assert_eq!(reserved[0].may_send(), is_used);
}

/// An upstream whose announcements are lost for longer than it is kept may return under the same
/// incarnation while it still runs work of this host. That work must count against its slots, and
/// its end must release the slot that it took: a count that starts at zero again would underflow.
#[rstest]
#[case::work_goes_on(false)]
#[case::work_ended_while_it_was_away(true)]
#[tokio::test(start_paused = true)]
async fn work_counts_when_its_upstream_returns(#[case] ends_while_away: bool) {
    let upstreams = upstreams();
    upstreams.announce(info(1, 1));
    let mut slot = Some(reserve(&upstreams).expect("a slot"));
    advance(64 * SECOND).await;
    upstreams.maintain();
    assert!(!slot.as_ref().is_some_and(Slot::is_current), "the upstream counts as gone");
    if ends_while_away {
        slot = None;
        upstreams.maintain();
        assert_eq!(upstreams.known_count(), 0, "nothing needs the upstream any more");
    }
    assert!(upstreams.announce(info(1, 1)));
    let in_use = || upstreams.share_reports().first().map_or(0, |report| report.slots_in_use);
    assert_eq!(in_use(), u32::from(!ends_while_away));
    drop(slot);
    assert_eq!(in_use(), 0);
}
