//! How the loss of an upstream is judged: what was announced of its end counts by whatever sign the loss
//! is noticed, and whoever leads by then.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use crate::cluster::clock::boot_ms;
use crate::cluster::leader::Leader;
use crate::cluster::leader::losses::{Announcements, Loss, LossSign};
use crate::cluster::leader::session::Session;
use crate::cluster::tests::control_host::{TestControl, wait_until};
use crate::cluster::tests::fake_worker::{FakeUpstreams, Fault};
use crate::cluster::tests::promises::{LEASE_MS, submit};
use crate::cluster::{CallFault, Request};
use crate::tasks::tests::sample::{heartbeat, incarnation, job_id};
use crate::tasks::{Change, Heartbeat, Incarnation, MachineState, TaskId};

/// Term of a leader that takes over.
const NEXT_TERM: u64 = 1_000;

/// Time for which the upstreams have been silent, in which leases end and silent ones are removed.
const SILENT_FOR_MS: u64 = 60_000;

const SIGNS: [LossSign; 4] =
    [LossSign::Silence, LossSign::Successor, LossSign::SilentSuccessor, LossSign::OtherAtAddress];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Announced {
    Nothing,
    Drain,
    Leave,
    Maintenance,
}

const ANNOUNCED: [Announced; 4] =
    [Announced::Nothing, Announced::Drain, Announced::Leave, Announced::Maintenance];

/// Heartbeat of an upstream on a physical host of its own.
fn heartbeat_on_machine(host: u32) -> Heartbeat {
    let machine = Some(format!("machine-{host}").into());
    Heartbeat { machine, sequence: 2, ..heartbeat(host) }
}

/// Announces the end of an upstream, by the calls that its announcement takes.
async fn announce(test: &TestControl, next: &Leader, host: u32, announced: Announced) {
    let known = heartbeat_on_machine(host);
    match announced {
        Announced::Nothing => {}
        Announced::Drain => {
            let draining =
                Heartbeat { draining: true, drain_remaining_ms: 2_000, sequence: 3, ..known };
            test.call_until_answered(Request::Heartbeat(draining)).await;
        }
        Announced::Leave => {
            let born_unix_ms = Some(known.born_unix_ms);
            test.call_until_answered(Request::Deregister { id: known.id, born_unix_ms }).await;
        }
        Announced::Maintenance => {
            let (wave, machine) = (u64::from(host), known.machine.expect("it has one"));
            let machines = vec![Arc::clone(&machine)];
            let begin = Change::StartWave { number: wave, machines, cap: 1, duration_ms: 1_000 };
            next.replica.propose(begin).await.expect("the host leads");
            let state = MachineState::Down { former: Some(incarnation(host)) };
            let down = Change::SetMachineState { wave, machine, state };
            next.replica.propose(down).await.expect("the host leads");
        }
    }
}

/// Gives a leader a session with an upstream of which it has heard nothing since it took over.
fn add_silent_session(leader: &Leader, incarnation: &Incarnation) {
    let since_ms = boot_ms().saturating_sub(SILENT_FOR_MS);
    let session = Session::new(incarnation.clone(), "10.0.0.1:80".into(), LEASE_MS, since_ms);
    leader.term_state().sessions.insert(Arc::clone(&incarnation.id), session);
}

/// Submits a job that takes an upstream of its own, and returns its task and that upstream's number.
async fn start_job(test: &TestControl, fake: &FakeUpstreams, number: u64) -> (TaskId, u32) {
    submit(test, number).await;
    let start = || fake.started().into_iter().find(|(task, ..)| task.job == job_id(number));
    wait_until("it runs", || start().is_some()).await;
    let (task, _, upstream) = start().expect("it was started");
    let host = (0..64).find(|host| incarnation(*host).id == upstream).expect("a sample host");
    (task, host)
}

/// Guards against a job that fails because upstreams with its task have left as announced: it counted as
/// their crash by some signs of the loss, or if the leader changed between the announcement and the end.
#[tokio::test(flavor = "multi_thread")]
async fn an_announced_end_is_no_crash_by_any_sign_and_any_leader() {
    // Each pair takes an upstream away, and its job goes on at another one.
    const UPSTREAMS: u32 = 32;
    let pairs = ANNOUNCED.into_iter().flat_map(|announced| SIGNS.map(|sign| (announced, sign)));
    let fake = FakeUpstreams::new(Duration::from_mins(1));
    let test = TestControl::start(&fake, 0, LEASE_MS).await;
    for host in 0..UPSTREAMS {
        test.call_until_answered(Request::Heartbeat(heartbeat_on_machine(host))).await;
    }
    wait_until("upstreams take work", || fake.upstreams_held() == UPSTREAMS as usize).await;
    fake.set_stops(Fault::Silent);
    let next = test.control.new_leader(NEXT_TERM);
    for (number, (announced, sign)) in (1..).zip(pairs) {
        let (task, host) = start_job(&test, &fake, number).await;
        let gone = incarnation(host);
        announce(&test, &next, host, announced).await;
        fake.crash(&gone.id);
        add_silent_session(&next, &gone);
        let loss = next.loss_of(&gone, sign);
        next.record_loss(&gone, loss).await.expect("the host leads");
        let counts = !next.replica.lock().state.crashes_of(&task).is_empty();
        assert_eq!(counts, announced == Announced::Nothing, "{announced:?}, {sign}: {loss}");
    }
}

/// Guards against a job that fails although no upstream has crashed under it: an upstream that drains and
/// goes without a word was taken for a crashed one after 20 s of silence.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_drains_and_goes_without_a_word_has_not_crashed() {
    let fake = FakeUpstreams::new(Duration::from_mins(1));
    let test = TestControl::start(&fake, 1, LEASE_MS).await;
    wait_until("the upstream takes work", || fake.upstreams_held() == 1).await;
    let (task, host) = start_job(&test, &fake, 1).await;
    let next = test.control.new_leader(NEXT_TERM);
    announce(&test, &next, host, Announced::Drain).await;
    let gone = incarnation(host);
    fake.crash(&gone.id);
    add_silent_session(&next, &gone);
    next.handle_silence(&gone, &CallFault::NoAnswer { reason: "silent".to_owned() }).await;
    let inner = next.replica.lock();
    assert!(!inner.state.is_registered(&gone));
    assert!(inner.state.crashes_of(&task).is_empty(), "{:?}", inner.state.crashes_of(&task));
}

/// Guards against a crash that is excused by a notice: only an upstream that answers until its notice is
/// over leaves as announced. A word that it leaves now, and maintenance, need no notice.
#[rstest]
#[case::drain(Announcements { drains: true, ..Announcements::default() }, true)]
#[case::broken_notice(
    Announcements { drains: true, notice_broken: true, ..Announcements::default() }, false
)]
#[case::leave_within_the_notice(
    Announcements { drains: true, notice_broken: true, leaves: true, ..Announcements::default() }, true
)]
#[case::maintenance(
    Announcements { notice_broken: true, maintained: true, ..Announcements::default() }, true
)]
#[case::nothing(Announcements::default(), false)]
fn only_an_announced_end_is_a_leave(#[case] announced: Announcements, #[case] is_leave: bool) {
    for sign in SIGNS {
        assert_eq!(Loss::of(sign, announced) == Loss::Left, is_leave, "{sign}");
    }
}

/// Guards against a notice that counts as broken because the last poll before the upstream's end was a
/// second earlier, or because a delayed heartbeat seems to extend it; and against one that never does.
#[test]
fn a_notice_is_broken_by_silence_well_before_its_end() {
    let session = |heard_ms| {
        let mut session = Session::new(incarnation(0), "10.0.0.1:80".into(), LEASE_MS, heard_ms);
        session.record_drain(Some(5_000), heard_ms);
        session
    };
    let mut heard_until_its_end = session(14_000);
    assert!(!heard_until_its_end.has_broken_notice(), "no heartbeat in this term");
    heard_until_its_end.record_notice(1_000, 14_000);
    heard_until_its_end.record_notice(5_000, 14_500);
    assert!(!heard_until_its_end.has_broken_notice());
    let mut silent_before = session(10_000);
    silent_before.record_notice(5_000, 10_000);
    assert!(silent_before.has_broken_notice());
    silent_before.record_contact(1_000, 14_000);
    assert!(!silent_before.has_broken_notice());
}
