//! Restarts of the scheduler from its records.

use super::harness::{SimulatedCore, job, upstream};
use crate::scheduler::limits::{GANG_LEASE_MS, certain_end_ms};
use crate::scheduler::{Decision, Event, JobEnd, JobState, MemberStatus, Ran, Scheduler};

fn restart(core: &SimulatedCore) -> SimulatedCore {
    let mut next =
        SimulatedCore::new(Scheduler::recover(core.records.iter().cloned(), core.now_ms));
    next.now_ms = core.now_ms;
    next.records.clone_from(&core.records);
    next
}

/// Guards against a restart that loses running gangs, waiting jobs or the ends of jobs.
#[test]
fn a_restart_keeps_gangs_whose_members_all_confirm() {
    let mut core = SimulatedCore::with_racks(1, 2);
    let gang = core.start(job("a", 16));
    core.submit(job("waits", 16));
    core.step(Event::JobCancelled { job: "waits".parse().expect("name") });
    core.submit(job("b", 8));
    let mut core = restart(&core);
    assert_eq!(core.stage("a"), Some("confirming after a restart"));
    core.announce(0, 0, 1);
    core.announce(0, 1, 1);
    core.run_ms(60_000);
    assert_eq!((core.gang("a"), core.stage("a")), (gang, Some("running")));
    assert_eq!(core.state("b"), JobState::Waiting);
    assert_eq!(core.state("waits"), JobState::Ended(JobEnd::Cancelled { ran: Ran::No }));
}

/// Guards against a second start after a restart, while members of the first gang may still work
/// although they do not answer.
#[test]
fn a_restart_places_silent_gangs_again_after_their_lease() {
    let mut core = SimulatedCore::with_racks(2, 1);
    let gang = core.start(job("a", 8));
    let mut core = restart(&core);
    let other = core.upstreams("a")[0] == "u0-0";
    core.announce(u32::from(other), 0, 1);
    core.wait_ms(certain_end_ms(0, GANG_LEASE_MS) - 1);
    assert_eq!(core.gang("a"), gang);
    core.wait_ms(1);
    assert!(core.gang("a") > gang);
}

/// Guards against a cancellation that is forgotten, or answered twice, after a restart.
#[test]
fn a_restart_completes_a_cancellation() {
    let mut core = SimulatedCore::with_racks(1, 1);
    core.start(job("a", 8));
    core.step(Event::JobCancelled { job: "a".parse().expect("name") });
    assert!(core.ends.is_empty());
    let mut core = restart(&core);
    core.announce(0, 0, 1);
    core.run_ms(1_000);
    assert_eq!(core.ends, [("a".to_owned(), JobEnd::Cancelled { ran: Ran::Yes })]);
    assert!(restart(&core).scheduler.step(Event::Tick, core.now_ms).is_empty());
}

/// Guards against accelerators that are allocated again while a commit from before the restart may
/// still arrive at an upstream that reports the member as absent.
#[test]
fn an_absent_member_has_not_certainly_ended() {
    let mut core = SimulatedCore::with_racks(1, 1);
    let gang = core.start(job("a", 8));
    let mut core = restart(&core);
    core.announce(0, 0, 1);
    let round = core.inbox.iter().find_map(|message| match message {
        Decision::Renew { round, .. } => Some(*round),
        _ => None,
    });
    let round = round.expect("members are asked after a restart");
    let members = vec![(gang, MemberStatus::Absent)];
    core.step(Event::RenewAnswered { upstream: upstream(0, 0), round, members });
    assert_eq!((core.gang("a"), core.stage("a")), (gang, Some("stopping")));
    core.answer_all();
    assert!(core.gang("a") > gang, "the answer to a stop is certain");
}

/// Guards against a restart after which a gang identity is used again for another placement.
#[test]
fn a_restart_does_not_reuse_gang_identities() {
    let mut core = SimulatedCore::with_racks(1, 1);
    let first = core.start(job("a", 8));
    core.step(Event::JobCancelled { job: "a".parse().expect("name") });
    core.answer_all();
    let mut core = restart(&core);
    core.announce(0, 0, 1);
    assert!(core.start(job("b", 8)) > first);
    core.step(Event::UpstreamLost { upstream: upstream(0, 0) });
}
