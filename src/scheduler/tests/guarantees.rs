//! Guarantees, loans and the reclaim of lent accelerators.

use rstest::rstest;

use super::harness::{SimulatedCore, job, upstream};
use crate::scheduler::{
    Decision, Event, Guarantees, JobEnd, JobSpec, JobState, MemberEnd, Ran, Scheduler,
};

fn document(service: &str, version: u64, blocks: &[(&str, &[u32])]) -> Event {
    let organisations = blocks.iter().map(|(organisation, sizes)| {
        (organisation.parse().expect("valid name"), sizes.iter().copied().collect())
    });
    let service = service.parse().expect("valid name");
    Event::DocumentApplied(Guarantees { service, version, organisations: organisations.collect() })
}

fn borrower(name: &str, accelerators: u32) -> JobSpec {
    let organisation = "south".parse().expect("valid name");
    JobSpec { organisation, can_checkpoint: true, can_stop: true, ..job(name, accelerators) }
}

fn guaranteed(name: &str, accelerators: u32) -> JobSpec {
    JobSpec { guaranteed: true, ..job(name, accelerators) }
}

/// Builds a pool whose discovery time is over, so that documents are applied at once.
fn discovered_pool(racks: u32, upstreams: u32) -> SimulatedCore {
    let mut core = SimulatedCore::with_racks(racks, upstreams);
    core.wait_ms(10_000);
    core
}

/// Guards against a document whose blocks do not all fit the pool as adjacent accelerators.
#[rstest]
#[case(&[16, 16], None)]
#[case(&[16, 8, 4, 3], None)]
#[case(&[24], Some("block of 24 accelerators of north does not fit"))]
#[case(&[16, 16, 1], Some("block of 1 accelerators of north does not fit"))]
#[case(&[8, 5, 5, 5, 1], None)]
#[case(&[8, 5, 5, 5, 4], Some("block of 4 accelerators of north does not fit"))]
#[case(&[65], Some("exceeds the limit of 64 adjacent ones"))]
fn a_document_must_fit_the_pool(#[case] blocks: &[u32], #[case] reason: Option<&str>) {
    let mut core = discovered_pool(2, 2);
    core.step(document("plan", 1, &[("north", blocks)]));
    match reason {
        None => assert!(core.refusals.is_empty(), "{:?}", core.refusals),
        Some(reason) => assert!(core.refusals[0].contains(reason), "{:?}", core.refusals),
    }
}

/// Guards against a refused document that changes what was guaranteed before.
#[test]
fn a_refused_document_changes_nothing() {
    let mut core = discovered_pool(1, 2);
    core.step(document("plan", 1, &[("north", &[8])]));
    let records = core.records.len();
    core.step(document("plan", 2, &[("north", &[16, 16])]));
    assert_eq!((core.refusals.len(), core.records.len()), (1, records));
    core.start(borrower("b1", 8));
    core.start(borrower("b2", 8));
    core.submit(guaranteed("g", 8));
    core.run_ms(1_700);
    assert_eq!(core.stage("g"), Some("running"));
}

/// Guards against a refused document whose block would fit if earlier blocks were moved.
#[test]
fn blocks_move_to_make_room_for_a_larger_one() {
    let mut core = discovered_pool(1, 3);
    core.step(document("a", 1, &[("north", &[8])]));
    core.step(document("b", 1, &[("north", &[8])]));
    core.step(document("a", 2, &[]));
    core.step(document("c", 1, &[("south", &[16])]));
    assert!(core.refusals.is_empty(), "{:?}", core.refusals);
}

/// Guards against guaranteed work that starts later than 1.7 s after its submission, a borrower
/// without time for a checkpoint, and a stop of the borrower without a reason.
#[test]
fn reclaim_from_a_borrower() {
    let mut core = discovered_pool(1, 2);
    core.step(document("plan", 1, &[("north", &[16])]));
    core.start(borrower("b", 16));
    core.wait_ms(1_000);
    core.answer_all();
    let explain = |core: &SimulatedCore, name: &str| {
        core.scheduler.explain(&name.parse().expect("name"), core.now_ms)
    };
    let lent = explain(&core, "b");
    core.take_log();
    core.submit(guaranteed("g", 16));
    let claimed = explain(&core, "g");
    core.run_ms(1_600);
    assert_eq!(core.stage("g"), Some("running"));
    insta::assert_snapshot!(core.take_log());
    insta::assert_json_snapshot!([lent, claimed, explain(&core, "b")]);
}

/// Guards against lending guaranteed accelerators to work that cannot be stopped.
#[test]
fn work_that_cannot_be_stopped_never_borrows() {
    let mut core = discovered_pool(1, 2);
    core.step(document("plan", 1, &[("south", &[8])]));
    core.start(job("first", 8));
    core.submit(job("second", 8));
    assert_eq!(core.state("second"), JobState::Waiting);
    core.submit(job("third", 16));
    insta::assert_snapshot!(core.refusals.join("\n"));
}

/// Guards against guaranteed work that is stopped for other guaranteed work of its organisation,
/// and against a reclaim where free accelerators would do.
#[test]
fn only_borrowers_are_stopped_and_only_if_needed() {
    let mut core = discovered_pool(1, 3);
    core.step(document("plan", 1, &[("north", &[8, 8])]));
    core.start(guaranteed("g1", 8));
    core.start(borrower("b", 8));
    core.start(guaranteed("g2", 8));
    core.submit(guaranteed("g3", 8));
    core.run_ms(2_000);
    let stages = ["g1", "g2", "b"].map(|name| core.stage(name));
    assert_eq!(stages, [Some("running"); 3]);
    assert_eq!(core.state("g3"), JobState::Waiting);
}

/// Guards against a borrower that takes the free part of a block which is being reclaimed, and so
/// delays the guaranteed work.
#[test]
fn a_claimed_block_is_not_lent_again() {
    let mut core = discovered_pool(1, 2);
    core.step(document("plan", 1, &[("north", &[16])]));
    core.start(borrower("b", 8));
    core.submit(guaranteed("g", 16));
    core.submit(borrower("late", 8));
    assert_eq!(core.state("late"), JobState::Waiting);
    core.run_ms(1_700);
    assert_eq!(core.stage("g"), Some("running"));
}

/// Guards against a borrower that is stopped although the job that reclaims its accelerators was
/// cancelled meanwhile.
#[test]
fn a_cancelled_claim_does_not_stop_the_borrower() {
    let mut core = discovered_pool(1, 1);
    core.step(document("plan", 1, &[("north", &[8])]));
    let gang = core.start(borrower("b", 8));
    core.submit(guaranteed("g", 8));
    core.run_ms(500);
    core.step(Event::JobCancelled { job: "g".parse().expect("name") });
    core.run_ms(10_000);
    assert_eq!((core.gang("b"), core.stage("b")), (gang, Some("running")));
    assert_eq!(core.ends, [("g".to_owned(), JobEnd::Cancelled { ran: Ran::No })]);
}

/// Guards against a guaranteed block that loses an upstream without a report, and against lending
/// the rest of the block.
#[test]
fn a_guarantee_at_risk_is_reported_and_not_lent() {
    let mut core = discovered_pool(1, 2);
    core.step(document("plan", 1, &[("north", &[16])]));
    core.step(Event::UpstreamLost { upstream: upstream(0, 1) });
    assert_eq!(core.refusals, ["upstream u0-1 of the block is gone"]);
    core.submit(borrower("b", 8));
    core.run_ms(3_000);
    assert_eq!(core.state("b"), JobState::Waiting);
    core.announce(0, 1, 2);
    core.run_ms(3_000);
    assert_eq!(core.stage("b"), Some("running"));
    assert_eq!(core.refusals.len(), 1);
}

/// Guards against a guaranteed block that stays on a lost upstream although it fits elsewhere.
#[test]
fn a_guarantee_moves_away_from_a_lost_upstream() {
    let mut core = discovered_pool(2, 1);
    core.step(document("plan", 1, &[("north", &[8])]));
    core.step(Event::UpstreamLost { upstream: upstream(0, 0) });
    assert!(core.refusals.is_empty());
    core.submit(guaranteed("g", 8));
    assert_eq!(core.upstreams("g"), ["u1-0"]);
}

/// Guards against a guaranteed block that is not reported as at risk although a job that cannot be
/// stopped runs in it.
#[test]
fn a_job_that_cannot_be_stopped_puts_a_block_at_risk_until_it_ends() {
    let mut core = discovered_pool(1, 1);
    let gang = core.start(job("old", 8));
    core.step(document("plan", 1, &[("south", &[8])]));
    assert_eq!(core.refusals, ["job old in the block can be neither checkpointed nor stopped"]);
    let upstream = upstream(0, 0);
    core.step(Event::MemberEnded { gang, upstream, end: MemberEnd::Completed });
    core.run_ms(2_000);
    core.submit(borrower("b", 8));
    core.run_ms(1_000);
    assert_eq!(core.stage("b"), Some("running"));
}

/// Guards against a restart that loses the accelerators reserved for guaranteed blocks, or which
/// gangs run in them.
#[test]
fn a_restart_keeps_guarantees() {
    let mut core = discovered_pool(1, 2);
    core.step(document("plan", 1, &[("north", &[8])]));
    let gang = core.start(guaranteed("g", 8));
    core.start(borrower("b", 8));
    let now_ms = core.now_ms;
    let mut next = SimulatedCore::new(Scheduler::recover(core.records.iter().cloned(), now_ms));
    next.now_ms = now_ms;
    next.announce(0, 0, 1);
    next.announce(0, 1, 1);
    next.run_ms(15_000);
    assert_eq!((next.gang("g"), next.stage("b")), (gang, Some("running")));
    next.submit(guaranteed("g2", 8));
    assert!(!next.inbox.iter().any(|d| matches!(d, Decision::Checkpoint { .. })));
    assert!(next.refusals.is_empty(), "{:?}", next.refusals);
}
