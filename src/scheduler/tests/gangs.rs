//! Gangs from placement to their end, and the loss of members on the way.

use rstest::rstest;

use super::harness::{SimulatedCore, job, upstream};
use crate::scheduler::limits::{GANG_LEASE_MS, START_LEASE_MS, certain_end_ms};
use crate::scheduler::{
    Decision, Event, JobEnd, JobState, MemberEnd, MemberStatus, Ran, StopStatus,
};

/// Guards against a member that starts before all are staged, a lease that is granted before all
/// have started, and records that are missing or late.
#[test]
fn messages_of_a_healthy_gang() {
    let mut core = SimulatedCore::with_racks(1, 2);
    core.take_log();
    let gang = core.start(job("a", 16));
    core.run_ms(5_000);
    for position in 0..2 {
        let upstream = upstream(0, position);
        core.step(Event::MemberEnded { gang, upstream, end: MemberEnd::Completed });
    }
    insta::assert_snapshot!(core.take_log());
    assert_eq!(core.ends, [("a".to_owned(), JobEnd::Completed)]);
}

/// Guards against a gang whose accelerators are not adjacent or not aligned.
#[rstest]
#[case(&[1, 2, 3], &[0b1, 0b1100, 0b111_0000])]
#[case(&[5, 3], &[0b1_1111, 0b111])]
#[case(&[4, 4, 8], &[0b1111, 0b1111_0000, 0xff])]
#[case(&[24], &[0xff, 0xff, 0xff])]
#[case(&[17], &[0xff, 0xff, 0xff])]
fn gangs_are_adjacent_and_aligned(#[case] sizes: &[u32], #[case] masks: &[u32]) {
    let mut core = SimulatedCore::with_racks(1, 3);
    for (i, size) in sizes.iter().enumerate() {
        core.submit(job(&format!("j{i}"), *size));
    }
    let staged = core.inbox.iter().filter_map(|decision| match decision {
        Decision::Stage { mask, .. } => Some(*mask),
        _ => None,
    });
    assert_eq!(staged.collect::<Vec<_>>(), masks);
}

/// Guards against a large gang across a gap in the rack or across two racks.
#[test]
fn a_large_gang_needs_one_gapless_run() {
    let mut core = SimulatedCore::with_racks(2, 3);
    core.start(job("middle", 1));
    core.submit(job("large", 24));
    assert_eq!(core.upstreams("large"), ["u1-0", "u1-1", "u1-2"]);
    core.submit(job("second", 24));
    assert_eq!(core.state("second"), JobState::Waiting);
}

/// Guards against a refusal that does not name the constraint which is not met, and against one
/// before the upstreams have had time to announce themselves.
#[rstest]
#[case(0, 20_000, Some("a job needs at least 1 accelerator"))]
#[case(65, 0, Some("65 accelerators exceed the limit of 64 adjacent ones"))]
#[case(32, 20_000, Some("no rack has 32 adjacent accelerators; the largest block has 24"))]
#[case(32, 0, None)]
fn a_job_that_cannot_run_is_refused(
    #[case] size: u32,
    #[case] at_ms: u64,
    #[case] reason: Option<&str>,
) {
    let mut core = SimulatedCore::with_racks(2, 3);
    core.wait_ms(at_ms);
    core.submit(job("a", size));
    assert_eq!(core.refusals.first().map(String::as_str), reason);
}

/// Guards against a job that waits forever, because it fits only with an upstream that was lost
/// and never returns.
#[test]
fn a_waiting_job_ends_when_its_rack_is_gone() {
    let mut core = SimulatedCore::with_racks(1, 2);
    core.start(job("small", 1));
    core.submit(job("large", 16));
    core.wait_ms(20_000);
    core.step(Event::UpstreamLost { upstream: upstream(0, 1) });
    core.wait_ms(599_000);
    assert_eq!(core.state("large"), JobState::Waiting);
    core.wait_ms(2_000);
    let reason = "no rack has 16 adjacent accelerators; the largest block has 8".to_owned();
    assert_eq!(core.ends, [("large".to_owned(), JobEnd::Unrunnable { reason, ran: Ran::No })]);
}

/// Guards against a second start while a member of the first gang may still work: the job waits
/// until the last lease sent has certainly ended.
#[rstest]
#[case::commit_unanswered(1, certain_end_ms(0, START_LEASE_MS))]
#[case::renewal_unanswered(2, certain_end_ms(0, GANG_LEASE_MS))]
fn placed_again_only_after_the_old_lease(#[case] answered_rounds: u32, #[case] free_ms: u64) {
    let mut core = SimulatedCore::with_racks(1, 1);
    core.submit(job("a", 8));
    for _ in 0..answered_rounds {
        for message in std::mem::take(&mut core.inbox) {
            let mut one = vec![message];
            std::mem::swap(&mut one, &mut core.inbox);
            answer_round(&mut core, one);
        }
    }
    let first = core.gang("a");
    core.wait_ms(free_ms - 1);
    assert_eq!(core.gang("a"), first);
    core.wait_ms(1);
    assert_ne!(core.gang("a"), first);
}

/// Answers the messages in the inbox, but not the messages that result from the answers.
fn answer_round(core: &mut SimulatedCore, rest: Vec<Decision>) {
    let messages = std::mem::replace(&mut core.inbox, rest);
    for message in messages {
        match message {
            Decision::Stage { gang, upstream, .. } => {
                core.step(Event::StageAnswered { gang, upstream, staged: true });
            }
            Decision::Commit { gang, upstream, .. } => {
                core.step(Event::CommitAnswered { gang, upstream, incarnation: 1, started: true });
            }
            _ => {}
        }
    }
}

/// Guards against a gang that is renewed although one member does not answer.
#[test]
fn a_silent_member_ends_the_lease_of_all() {
    let mut core = SimulatedCore::with_racks(1, 2);
    let gang = core.start(job("a", 16));
    // The round of 5 s is the last one that every member could have answered.
    for _ in 0..351 {
        core.wait_ms(100);
        core.answer_except("u0-1");
    }
    assert_eq!(core.gang("a"), gang);
    assert_eq!(core.stage("a"), Some("stopping"));
    let explanation = core.scheduler.explain(&"a".parse().expect("name"), core.now_ms);
    insta::assert_json_snapshot!(explanation);
}

/// Guards against a single lost answer that ends a healthy gang.
#[test]
fn one_lost_answer_does_not_end_a_gang() {
    let mut core = SimulatedCore::with_racks(1, 2);
    let gang = core.start(job("a", 16));
    core.wait_ms(5_000);
    core.answer_except("u0-1");
    core.run_ms(60_000);
    assert_eq!(core.gang("a"), gang);
    assert_eq!(core.stage("a"), Some("running"));
}

/// Guards against members that run until their lease of 30 s ends although another one was lost.
#[test]
fn the_loss_of_a_member_stops_the_others_at_once() {
    let mut core = SimulatedCore::with_racks(1, 3);
    let gang = core.start(job("a", 16));
    core.step(Event::UpstreamLost { upstream: upstream(0, 0) });
    let stopped = Decision::Stop { gang, upstream: upstream(0, 1) };
    assert!(core.inbox.contains(&stopped));
    core.answer_except("u0-0");
    assert_eq!(core.gang("a"), gang, "the lost member may still work");
    core.run_ms(31_000);
    assert_eq!(core.upstreams("a"), ["u0-1", "u0-2"]);
}

/// Guards against a needless wait for the end of the lease: a restart of an upstream proves that
/// its earlier members have ended.
#[test]
fn a_restarted_upstream_has_no_old_members() {
    let mut core = SimulatedCore::with_racks(1, 1);
    let gang = core.start(job("a", 8));
    core.announce(0, 0, 2);
    assert_ne!(core.gang("a"), gang);
}

/// Guards against new work on a leaving upstream, and against a stop of its present work.
#[test]
fn a_leaving_upstream_keeps_its_work_and_gets_no_more() {
    let mut core = SimulatedCore::with_racks(1, 1);
    let gang = core.start(job("a", 1));
    core.step(Event::UpstreamLeaving { upstream: upstream(0, 0), incarnation: 1 });
    core.submit(job("b", 1));
    core.announce(0, 0, 1);
    core.run_ms(60_000);
    assert_eq!((core.gang("a"), core.state("b")), (gang, JobState::Waiting));
    core.announce(0, 0, 2);
    assert!(matches!(core.state("b"), JobState::Placed(_)));
}

/// State of the job when its cancellation arrives.
#[derive(Debug, Clone, Copy, PartialEq)]
enum CancelPoint {
    Waiting,
    Staging,
    Committing,
    Running,
    Completed,
}

/// Guards against a cancelled job whose end is missing, reported twice or wrong, whatever state the
/// job has when the cancellation arrives.
#[rstest]
#[case(CancelPoint::Waiting, StopStatus::NotStarted, JobEnd::Cancelled { ran: Ran::No })]
#[case(CancelPoint::Staging, StopStatus::NotStarted, JobEnd::Cancelled { ran: Ran::No })]
#[case(CancelPoint::Committing, StopStatus::NotStarted, JobEnd::Cancelled { ran: Ran::No })]
#[case(CancelPoint::Committing, StopStatus::Stopped, JobEnd::Cancelled { ran: Ran::Yes })]
#[case(CancelPoint::Running, StopStatus::Stopped, JobEnd::Cancelled { ran: Ran::Yes })]
#[case(CancelPoint::Running, StopStatus::Completed, JobEnd::Completed)]
#[case(CancelPoint::Completed, StopStatus::Completed, JobEnd::Completed)]
fn a_cancelled_job_ends_once_with_the_right_result(
    #[case] point: CancelPoint,
    #[case] status: StopStatus,
    #[case] end: JobEnd,
) {
    let mut core = SimulatedCore::with_racks(1, 1);
    if point == CancelPoint::Waiting {
        core.start(job("blocker", 8));
    }
    core.submit(job("a", 8));
    match point {
        CancelPoint::Committing => answer_round(&mut core, Vec::new()),
        CancelPoint::Running => core.answer_all(),
        CancelPoint::Completed => {
            core.answer_all();
            let (gang, upstream) = (core.gang("a"), upstream(0, 0));
            core.step(Event::MemberEnded { gang, upstream, end: MemberEnd::Completed });
        }
        CancelPoint::Waiting | CancelPoint::Staging => {}
    }
    core.inbox.clear();
    core.step(Event::JobCancelled { job: "a".parse().expect("name") });
    core.step(Event::JobCancelled { job: "a".parse().expect("name") });
    for message in std::mem::take(&mut core.inbox) {
        if let Decision::Stop { gang, upstream } = message {
            let stopped = Event::StopAnswered { gang, upstream, incarnation: 1, status };
            core.step(stopped.clone());
            core.step(stopped);
        }
    }
    core.run_ms(40_000);
    assert_eq!(core.ends, [("a".to_owned(), end)]);
}

/// Guards against a cancelled job that is reported as never run, although a member was committed
/// and never answered.
#[test]
fn a_cancelled_job_with_a_silent_member_is_unknown() {
    let mut core = SimulatedCore::with_racks(1, 1);
    core.submit(job("a", 8));
    answer_round(&mut core, Vec::new());
    core.step(Event::JobCancelled { job: "a".parse().expect("name") });
    core.wait_ms(certain_end_ms(0, START_LEASE_MS));
    assert_eq!(core.ends, [("a".to_owned(), JobEnd::Cancelled { ran: Ran::Unknown })]);
}

/// Guards against a faulty job that is restarted forever, each time on another upstream.
#[test]
fn a_job_that_fails_on_three_upstreams_ends_as_failed() {
    let mut core = SimulatedCore::with_racks(1, 4);
    core.submit(job("a", 8));
    for _ in 0..3 {
        core.run_ms(3_000);
        let gang = core.gang("a");
        let upstream = core.upstreams("a")[0].parse().expect("name");
        core.step(Event::MemberEnded { gang, upstream, end: MemberEnd::Failed });
    }
    let reason = "the job failed on 3 upstreams".to_owned();
    assert_eq!(core.ends, [("a".to_owned(), JobEnd::Failed { reason })]);
}

/// Guards against a faulty job that waits forever, because it has failed on every upstream where it
/// fits but on fewer than the failure limit.
#[rstest]
#[case(1, 8, 1)]
#[case(2, 8, 2)]
#[case(2, 16, 1)]
fn a_job_that_failed_wherever_it_fits_ends_as_failed(
    #[case] upstreams: u32,
    #[case] accelerators: u32,
    #[case] failures: usize,
) {
    let mut core = SimulatedCore::with_racks(1, upstreams);
    core.submit(job("a", accelerators));
    for _ in 0..failures {
        core.run_ms(6_000);
        let gang = core.gang("a");
        let upstream = core.upstreams("a")[0].parse().expect("name");
        core.step(Event::MemberEnded { gang, upstream, end: MemberEnd::Failed });
    }
    core.run_ms(1_000);
    let reason = format!("no block of its size avoids the upstreams where it failed: {failures}");
    assert_eq!(core.ends, [("a".to_owned(), JobEnd::Failed { reason })]);
}

/// Guards against a repeated submission that runs the job twice, and against another job under the
/// same name.
#[test]
fn a_repeated_submission_is_one_job() {
    let mut core = SimulatedCore::with_racks(1, 2);
    core.submit(job("a", 1));
    core.submit(job("a", 1));
    core.submit(job("a", 2));
    assert_eq!(core.refusals, ["another job has this name"]);
    let accepted = core.records.iter().filter(|r| format!("{r:?}").starts_with("Accepted"));
    assert_eq!(accepted.count(), 1);
}

/// Guards against an answer to an earlier round that counts as one to the latest, by which a gang
/// would be renewed although a member has not answered.
#[test]
fn a_late_answer_does_not_count_for_a_later_round() {
    let mut core = SimulatedCore::with_racks(1, 2);
    let gang = core.start(job("a", 16));
    core.wait_ms(5_000);
    let renewed = |core: &mut SimulatedCore, position| {
        let message = core.inbox.iter().find_map(|message| match message {
            Decision::Renew { upstream: to, round, .. } if *to == upstream(0, position) => {
                Some(*round)
            }
            _ => None,
        });
        message.map(|round| Event::RenewAnswered {
            upstream: upstream(0, position),
            round,
            members: vec![(gang, MemberStatus::Running)],
        })
    };
    let late = renewed(&mut core, 1).expect("the gang is renewed every 5 s");
    core.answer_all();
    core.wait_ms(5_000);
    let timely = renewed(&mut core, 0).expect("the gang is renewed every 5 s");
    core.inbox.clear();
    core.step(timely);
    core.step(late);
    core.wait_ms(5_000);
    let full = |message: &Decision| match message {
        Decision::Renew { gangs, .. } => gangs.iter().any(|r| r.lease_ms == GANG_LEASE_MS),
        _ => false,
    };
    assert!(!core.inbox.iter().any(full), "a member has not answered the last round");
}

/// Guards against a cancelled job that is reported as never run: the restarted upstream knows of no
/// start, but its earlier incarnation may have run the member.
#[test]
fn a_restarted_upstream_cannot_report_on_its_earlier_incarnation() {
    let mut core = SimulatedCore::with_racks(1, 1);
    core.submit(job("a", 8));
    answer_round(&mut core, Vec::new());
    let (gang, upstream) = (core.gang("a"), upstream(0, 0));
    core.step(Event::JobCancelled { job: "a".parse().expect("name") });
    let status = StopStatus::NotStarted;
    core.step(Event::StopAnswered { gang, upstream, incarnation: 2, status });
    assert_eq!(core.ends, [("a".to_owned(), JobEnd::Cancelled { ran: Ran::Unknown })]);
}
