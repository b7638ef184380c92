//! Tests of the stand-in's gang members, in simulated time.

use std::time::Duration;

use rstest::rstest;
use tokio::time::sleep;

use super::{FreeCapacity, Gangs, RunEnd};
use crate::scheduler::{GangId, MemberStatus, Renewal, StopStatus};
use crate::upstream_http::{
    CommitRequest, GangAnswer, GangMessage, GangReply, GangRequest, GangWork, RefusalCode,
    RenewRequest, Sender, StageRequest, StopRequest,
};

const FREE_CAPACITY: FreeCapacity = FreeCapacity { slots: 2, accepts_members: true };

fn gangs() -> Gangs {
    Gangs::new(1, 8)
}

fn send(gangs: &mut Gangs, clock_ms: Option<u64>, message: GangMessage) -> GangReply {
    let sender = Sender { epoch: 5, incarnation: 1, clock_ms };
    gangs.answer(&GangRequest { sender, message }, FREE_CAPACITY)
}

fn stage(gang: u64, mask: u32) -> GangMessage {
    let work = GangWork { run_ms: 10_000, fails: false };
    let job = "a".parse().expect("valid name");
    GangMessage::Stage(StageRequest { gang: GangId(gang), job, mask, hold_ms: 2_000, work })
}

fn commit(lease_ms: u64) -> GangMessage {
    GangMessage::Commit(CommitRequest { gang: GangId(1), lease_ms })
}

fn renew(lease_ms: u64) -> GangMessage {
    let gangs = vec![Renewal { gang: GangId(1), lease_ms }];
    GangMessage::Renew(RenewRequest { round: 3, gangs })
}

fn stop() -> GangMessage {
    GangMessage::Stop(StopRequest { gang: GangId(1) })
}

fn refused(code: RefusalCode) -> GangAnswer {
    GangAnswer::Refused { code, epoch: 5 }
}

async fn wait(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

/// A late commit, or one without a usable clock, must not start a member: control does not account
/// for its lease and may give its accelerators to another gang.
#[rstest]
#[case::in_time(1_000, Some(0), GangAnswer::Started)]
#[case::no_clock(1_000, None, refused(RefusalCode::NoLease))]
#[case::clock_of_the_future(1_000, Some(1_001), refused(RefusalCode::NoLease))]
#[case::lease_over(1_500, Some(0), refused(RefusalCode::NoLease))]
#[case::hold_over(2_000, Some(2_000), refused(RefusalCode::NotStaged))]
#[tokio::test(start_paused = true)]
async fn a_commit_starts_only_under_a_lease(
    #[case] late_ms: u64,
    #[case] clock_ms: Option<u64>,
    #[case] answer: GangAnswer,
) {
    let mut gangs = gangs();
    assert_eq!(send(&mut gangs, None, stage(1, 0xff)).answer, GangAnswer::Staged);
    wait(late_ms).await;
    assert_eq!(send(&mut gangs, clock_ms, commit(1_500)).answer, answer);
    let started = answer == GangAnswer::Started;
    // A second commit with a usable clock must not start what was refused.
    send(&mut gangs, Some(late_ms), commit(1_500));
    wait(20_000).await;
    let ends: Vec<_> = gangs.runs().into_iter().map(|run| run.end).collect();
    assert_eq!(ends, if started { vec![Some(RunEnd::LeaseEnded)] } else { vec![] });
}

/// A delayed renewal must not yield a lease that ends later than control assumes, and `Running`
/// must not be answered if the renewal was not applied.
#[rstest]
#[case::in_time(Some(500), 30_000, Some(MemberStatus::Running), 10_000)]
#[case::late(Some(0), 3_000, Some(MemberStatus::Running), 3_000)]
#[case::older_than_the_lease(Some(0), 1_500, Some(MemberStatus::Running), 2_000)]
#[case::over(Some(0), 900, None, 2_000)]
#[case::no_clock(None, 30_000, None, 2_000)]
#[case::question(None, 0, Some(MemberStatus::Running), 2_000)]
#[tokio::test(start_paused = true)]
async fn a_renewed_lease_counts_from_the_repeated_clock(
    #[case] clock_ms: Option<u64>,
    #[case] lease_ms: u64,
    #[case] status: Option<MemberStatus>,
    #[case] worked_ms: u128,
) {
    let mut gangs = gangs();
    send(&mut gangs, None, stage(1, 0xff));
    send(&mut gangs, Some(0), commit(2_000));
    wait(1_000).await;
    let reply = send(&mut gangs, clock_ms, renew(lease_ms));
    let GangAnswer::Renewed { round: 3, members } = reply.answer else { panic!("{reply:?}") };
    assert_eq!(members.first().map(|member| member.status), status);
    wait(20_000).await;
    let run = gangs.runs().remove(0);
    assert_eq!((run.to.expect("ended") - run.from).as_millis(), worked_ms);
}

/// A stage or commit that arrives after its gang was reported as stopped, absent or refused must
/// not start a member.
#[rstest]
#[case::stopped_before_stage(vec![stop()], vec![stage(1, 1), commit(2_000)])]
#[case::stopped_before_commit(vec![stage(1, 1), stop()], vec![commit(2_000)])]
#[case::absent_before_stage(vec![renew(0)], vec![stage(1, 1), commit(2_000)])]
#[case::absent_before_commit(vec![stage(1, 1), renew(0)], vec![commit(2_000)])]
#[case::refused_before_a_copy(vec![stage(1, 0x100)], vec![stage(1, 1), commit(2_000)])]
#[tokio::test(start_paused = true)]
async fn a_gang_reported_as_not_running_never_starts(
    #[case] first: Vec<GangMessage>,
    #[case] later: Vec<GangMessage>,
) {
    let mut gangs = gangs();
    for message in first {
        send(&mut gangs, Some(0), message);
    }
    for message in later {
        let reply = send(&mut gangs, Some(0), message);
        assert!(matches!(reply.answer, GangAnswer::Refused { .. }), "{reply:?}");
    }
    let not_started = GangAnswer::Stopped { status: StopStatus::NotStarted };
    assert_eq!(send(&mut gangs, None, stop()).answer, not_started);
    assert_eq!((gangs.runs(), gangs.slots_taken()), (vec![], 0));
}

/// The upstream enforces its own limits even if control's view of its free capacity is outdated.
#[rstest]
#[case::overlap(vec![stage(1, 0b11), stage(2, 0b10)])]
#[case::slots(vec![stage(1, 1), stage(2, 2), stage(3, 4)])]
#[case::missing_accelerator(vec![stage(1, 0x100)])]
#[case::none(vec![stage(1, 0)])]
#[tokio::test(start_paused = true)]
async fn a_member_beyond_the_capacity_is_refused(#[case] messages: Vec<GangMessage>) {
    let mut gangs = gangs();
    let answers = messages.into_iter().map(|message| send(&mut gangs, None, message).answer);
    assert_eq!(answers.last(), Some(refused(RefusalCode::NoCapacity)));
}

/// Delayed messages of an earlier control process, or for another incarnation of the upstream, must
/// have no effect.
#[rstest]
#[case::older_epoch(4, 1, RefusalCode::OlderEpoch)]
#[case::other_incarnation(5, 2, RefusalCode::OtherIncarnation)]
#[tokio::test(start_paused = true)]
async fn a_stale_sender_is_refused(
    #[case] epoch: u64,
    #[case] incarnation: u64,
    #[case] code: RefusalCode,
) {
    let mut gangs = gangs();
    send(&mut gangs, None, stage(1, 1));
    let sender = Sender { epoch, incarnation, clock_ms: Some(0) };
    let reply = gangs.answer(&GangRequest { sender, message: commit(2_000) }, FREE_CAPACITY);
    assert_eq!(reply.answer, refused(code));
    assert_eq!(gangs.runs(), vec![]);
}
