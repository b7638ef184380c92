//! Jobs with lost messages, unreachable upstreams and restarts, in simulated time.

use std::time::Duration;

use rstest::rstest;
use tokio::time::sleep;

use super::site::{Fault, SentMessage, Transmission, World, explain, status, submit, wait_for_end};

const GANG_OF_16: &str = r#""accelerators":16,"run_ms":20000"#;
const LONG_GANG: &str = r#""accelerators":16,"run_ms":50000"#;
const START_BOUND_MS: u128 = 2_000;
const LEASE_BOUND_MS: u128 = 30_000;
/// Maximum difference between the arrival times of two messages sent together.
const ARRIVAL_SKEW_MS: u128 = 5;

fn on_first(sent: SentMessage, kind: &str, transmission: Transmission) -> Transmission {
    let hit = sent.upstream == 1 && sent.kind == kind && sent.earlier == 0;
    if hit { transmission } else { Transmission::Arrives }
}

fn no_fault(_: SentMessage) -> Transmission {
    Transmission::Arrives
}

fn stage_lost(sent: SentMessage) -> Transmission {
    on_first(sent, "stage", Transmission::RequestLost)
}

fn stage_answer_lost(sent: SentMessage) -> Transmission {
    on_first(sent, "stage", Transmission::AnswerLost)
}

fn commit_lost(sent: SentMessage) -> Transmission {
    on_first(sent, "commit", Transmission::RequestLost)
}

fn commit_answer_lost(sent: SentMessage) -> Transmission {
    on_first(sent, "commit", Transmission::AnswerLost)
}

fn commit_late(sent: SentMessage) -> Transmission {
    on_first(sent, "commit", Transmission::RequestLate(1_500))
}

fn frozen(sent: SentMessage) -> Transmission {
    let hit = sent.upstream == 1 && (8_000..60_000).contains(&sent.at_ms);
    if hit { Transmission::RequestLost } else { Transmission::Arrives }
}

fn answers_lost(sent: SentMessage) -> Transmission {
    if frozen(sent) == Transmission::RequestLost {
        Transmission::AnswerLost
    } else {
        Transmission::Arrives
    }
}

/// Renewals arrive 20 s late, when the member is still running; everything else is lost.
fn renewals_late(sent: SentMessage) -> Transmission {
    match frozen(sent) {
        Transmission::RequestLost if sent.kind == "renew" => Transmission::RequestLate(20_000),
        transmission => transmission,
    }
}

/// Renewals arrive after the end of the lease.
fn renewals_too_late(sent: SentMessage) -> Transmission {
    match frozen(sent) {
        Transmission::RequestLost if sent.kind == "renew" => Transmission::RequestLate(45_000),
        transmission => transmission,
    }
}

/// Guards against a partial gang that runs for longer than its lease, against two gangs of a job at
/// the same time, and against jobs that do not complete after a fault.
#[rstest]
#[case::healthy(no_fault, ARRIVAL_SKEW_MS, 1)]
#[case::stage_lost(stage_lost, ARRIVAL_SKEW_MS, 1)]
#[case::stage_answer_lost(stage_answer_lost, ARRIVAL_SKEW_MS, 1)]
#[case::commit_lost(commit_lost, START_BOUND_MS, 2)]
#[case::commit_answer_lost(commit_answer_lost, START_BOUND_MS, 2)]
#[case::commit_late(commit_late, START_BOUND_MS, 1)]
#[case::frozen(frozen, LEASE_BOUND_MS, 2)]
#[case::answers_lost(answers_lost, LEASE_BOUND_MS, 2)]
#[case::renewals_late(renewals_late, LEASE_BOUND_MS, 2)]
#[case::renewals_too_late(renewals_too_late, LEASE_BOUND_MS, 2)]
#[tokio::test(start_paused = true)]
async fn no_partial_gang_outlasts_the_bound(
    #[case] fault: Fault,
    #[case] bound_ms: u128,
    #[case] gangs: usize,
) {
    let world = World::new(fault);
    let jobs = world.start(1).await;
    assert!(submit(&jobs, "a", LONG_GANG).await.found);
    assert_eq!(wait_for_end(&jobs, "a").await, "completed");
    world.assert_bound(bound_ms);
    assert_eq!(world.gangs_that_ran(), gangs, "{:#?}", world.runs());
}

/// Guards against a delayed renewal that extends a lease beyond the expiry that control assumes.
#[rstest]
#[case::while_it_runs(renewals_late)]
#[case::after_its_end(renewals_too_late)]
#[tokio::test(start_paused = true)]
async fn a_late_renewal_does_not_extend_the_lease(#[case] fault: Fault) {
    let world = World::new(fault);
    let jobs = world.start(1).await;
    submit(&jobs, "a", r#""accelerators":16,"run_ms":500000"#).await;
    sleep(Duration::from_secs(59)).await;
    // The last renewal that arrived in time was sent at about 5 s.
    let ends = world.ends_ms();
    assert_eq!(ends.len(), 2, "{:#?}", world.runs());
    assert!(ends.iter().all(|end_ms| *end_ms <= 40_200), "members ended at {ends:?} ms");
}

/// Guards against gangs that run partially, or twice, after control crashes at any time and its
/// successor replays the records.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_successor_continues_from_the_records(
    #[values(0, 1, 2, 3, 4, 5, 12_000)] crash_ms: u64,
    #[values(100, 10_000, 40_000)] down_ms: u64,
) {
    let world = World::new(no_fault);
    let jobs = world.start(1).await;
    let reply = submit(&jobs, "a", LONG_GANG).await;
    sleep(Duration::from_millis(crash_ms)).await;
    jobs.abort();
    sleep(Duration::from_millis(down_ms)).await;
    let jobs = world.start(2).await;
    assert_eq!(submit(&jobs, "a", LONG_GANG).await, reply, "a resend gets the first answer");
    assert_eq!(wait_for_end(&jobs, "a").await, "completed");
    world.assert_bound(START_BOUND_MS);
    if crash_ms == 12_000 {
        let gangs = if down_ms < 30_000 { 1 } else { 2 };
        assert_eq!(world.gangs_that_ran(), gangs, "{:#?}", world.runs());
    }
}

/// Guards against a gang that continues without the members of a restarted upstream.
#[rstest]
#[case::announced_at_once(0, ARRIVAL_SKEW_MS)]
#[case::announced_late(4_000, 4_000 + ARRIVAL_SKEW_MS)]
#[tokio::test(start_paused = true)]
async fn a_restarted_upstream_ends_the_gang(#[case] announced_ms: u64, #[case] bound_ms: u128) {
    let world = World::new(no_fault);
    let jobs = world.start(1).await;
    submit(&jobs, "a", GANG_OF_16).await;
    sleep(Duration::from_secs(12)).await;
    world.restart(1);
    sleep(Duration::from_millis(announced_ms)).await;
    world.announce(&jobs, 1).await;
    assert_eq!(wait_for_end(&jobs, "a").await, "completed");
    world.assert_bound(bound_ms);
    assert_eq!(world.gangs_that_ran(), 2);
}

/// Guards against members that continue after the upstream of another member is lost.
#[tokio::test(start_paused = true)]
async fn a_lost_upstream_ends_the_gang_within_the_lease() {
    let world = World::new(frozen);
    let jobs = world.start(1).await;
    submit(&jobs, "a", GANG_OF_16).await;
    sleep(Duration::from_secs(11)).await;
    let revision = world.next_registry_revision();
    jobs.upstream_lost("u1".parse().expect("valid name"), revision).await;
    sleep(Duration::from_millis(10)).await;
    assert!(world.ends_ms()[0] <= 11_010, "{:#?}", world.runs());
    sleep(Duration::from_mins(1)).await;
    world.announce(&jobs, 1).await;
    assert_eq!(wait_for_end(&jobs, "a").await, "completed");
    world.assert_bound(LEASE_BOUND_MS);
}

/// Guards against leases that last longer because a slow disk delays the commit.
#[rstest]
#[case::within_the_start_lease(1_900, 1)]
#[case::beyond_the_start_lease(2_500, 0)]
#[tokio::test(start_paused = true)]
async fn a_commit_behind_a_slow_disk_keeps_its_lease(#[case] sync_ms: u64, #[case] gangs: usize) {
    let world = World::new(no_fault);
    world.disk.lock().expect("no panic").sync_ms = sync_ms;
    let jobs = world.start(1).await;
    submit(&jobs, "a", GANG_OF_16).await;
    sleep(Duration::from_secs(15)).await;
    assert_eq!(world.gangs_that_ran(), gangs, "{:#?}", world.runs());
    world.disk.lock().expect("no panic").sync_ms = 0;
    assert_eq!(wait_for_end(&jobs, "a").await, "completed");
    world.assert_bound(ARRIVAL_SKEW_MS);
}

/// Guards against treating a refusal to stage as a missing answer.
#[tokio::test(start_paused = true)]
async fn a_refused_stage_ends_the_gang_at_once() {
    let world = World::new(|sent| on_first(sent, "stage", Transmission::NoFreeSlot));
    let jobs = world.start(1).await;
    submit(&jobs, "a", GANG_OF_16).await;
    sleep(Duration::from_millis(100)).await;
    let reason = explain(&jobs, "a").await["stopped_because"].to_string();
    assert!(reason.contains("upstream u1 refused to stage a member"), "{reason}");
    assert_eq!(wait_for_end(&jobs, "a").await, "completed");
    assert_eq!(world.gangs_that_ran(), 1);
}

/// Guards against the end of a lease that is booked for a successor: the registry reports it in one
/// task and the announcement of the successor in another, and one report may overtake the other.
#[rstest]
#[case::restarted(true)]
#[case::returned(false)]
#[tokio::test(start_paused = true)]
async fn a_late_report_of_a_lost_lease_does_not_end_the_announced_upstream(
    #[case] restarted: bool,
) {
    let world = World::new(no_fault);
    let jobs = world.start(1).await;
    let lost_revision = world.next_registry_revision();
    if restarted {
        world.restart(1);
    }
    world.announce(&jobs, 1).await;
    jobs.upstream_lost("u1".parse().expect("valid name"), lost_revision).await;
    submit(&jobs, "a", GANG_OF_16).await;
    assert_eq!(wait_for_end(&jobs, "a").await, "completed");
    assert_eq!(world.gangs_that_ran(), 1);
}

/// Guards against work on an upstream whose new incarnation announced a position out of range: it
/// carries out what is placed on its former incarnation, and its answers, which name the new one,
/// are taken for the end of the members that it has just started.
#[rstest]
#[case::idle(false, 0)]
#[case::with_a_running_gang(true, 1)]
#[tokio::test(start_paused = true)]
async fn a_successor_with_an_invalid_announcement_gets_no_gang(
    #[case] runs_before: bool,
    #[case] gangs: usize,
) {
    let world = World::new(no_fault);
    let jobs = world.start(1).await;
    if runs_before {
        submit(&jobs, "a", GANG_OF_16).await;
        sleep(Duration::from_secs(2)).await;
    }
    world.restart(1);
    world.announce_at(&jobs, 1, 1_000).await;
    submit(&jobs, "a", GANG_OF_16).await;
    sleep(Duration::from_secs(30)).await;
    assert_eq!(world.gangs_that_ran(), gangs, "{:#?}", world.runs());
    world.assert_bound(ARRIVAL_SKEW_MS);
    world.restart(1);
    world.announce(&jobs, 1).await;
    assert_eq!(wait_for_end(&jobs, "a").await, "completed");
    assert_eq!(world.gangs_that_ran(), gangs + 1);
}

/// Guards against placing gangs on an upstream that is leaving.
#[tokio::test(start_paused = true)]
async fn a_leaving_upstream_gets_no_gang() {
    let world = World::new(no_fault);
    let jobs = world.start(1).await;
    let revision = world.next_registry_revision();
    jobs.upstream_leaving("u1".parse().expect("valid name"), 1, revision).await;
    submit(&jobs, "a", GANG_OF_16).await;
    sleep(Duration::from_secs(30)).await;
    assert_eq!(status(&jobs, "a").await["state"], "waiting");
    let reason = explain(&jobs, "a").await["waits_because"].to_string();
    assert!(reason.contains("no 16 adjacent accelerators are free"), "{reason}");
    assert_eq!(world.gangs_that_ran(), 0);
}

/// Guards against a control process that still starts gangs after a successor with a newer epoch.
#[tokio::test(start_paused = true)]
async fn an_older_epoch_is_refused_and_halts() {
    let world = World::new(no_fault);
    let successor = world.start(2).await;
    submit(&successor, "a", r#""accelerators":16,"run_ms":1000"#).await;
    assert_eq!(wait_for_end(&successor, "a").await, "completed");
    world.clear_journal();
    let outdated = world.start(1).await;
    assert!(submit(&outdated, "b", GANG_OF_16).await.found);
    sleep(Duration::from_secs(5)).await;
    let reply = submit(&outdated, "c", GANG_OF_16).await;
    assert!(reply.reason.contains("newer epoch 2"), "{reply:?}");
    assert_eq!(world.gangs_that_ran(), 1, "{:#?}", world.runs());
}
