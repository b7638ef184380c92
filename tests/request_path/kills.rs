//! Processes killed while a request that is not idempotent is under way.

use std::time::Duration;

use rstest::rstest;

use crate::support::link::Fault;
use crate::support::path::Ask;
use crate::support::{Installation, eventually, key};

/// What is killed, and when.
#[derive(Debug, Clone, Copy)]
enum Kill {
    EntryHostAfterDispatch,
    EntryHostAfterAnswer,
    ControlAfterDispatch,
    ControlAfterAnswer,
    ControlAndEntryHostAfterDispatch,
}

fn kill(installation: &mut Installation, kill: Kill) {
    match kill {
        Kill::EntryHostAfterDispatch | Kill::EntryHostAfterAnswer => installation.kill_entry(0),
        Kill::ControlAfterDispatch | Kill::ControlAfterAnswer => {
            installation.kill_control();
            installation.start_control();
        }
        Kill::ControlAndEntryHostAfterDispatch => {
            installation.kill_control();
            installation.kill_entry(0);
            installation.start_control();
        }
    }
}

/// Guards against a second run, or a request that is stuck, when its host dies around `Begin`: the
/// intent is recorded or not, and nothing was dispatched.
#[rstest]
#[case::before_begin(Fault::Silent, "absent")]
#[case::after_begin(Fault::SwallowAnswers, "in_flight")]
fn a_resend_after_its_host_died_around_begin_runs_once(
    #[case] fault: Fault,
    #[case] recorded: &str,
) {
    let mut installation = Installation::start(2, 1);
    let key = key("begun");
    let ask = Ask::once(&key);
    let before = installation.started();
    installation.control_link.fault_established(fault);
    drop(ask.spawn(&installation.client(0)));
    eventually("the record is as expected", Duration::from_secs(2), || {
        let reply = installation.client(1).get(&format!("/v1/requests/{key}"));
        reply.is_ok_and(|reply| reply.body["state"] == recorded)
    });
    installation.kill_entry(0);
    assert_eq!(installation.started(), before, "nothing was dispatched");
    eventually("the resend runs", Duration::from_secs(15), || {
        let told = ask.clone().timeout_ms(2_000).send(&installation.client(1));
        assert_ne!(told.outcome(), "not_run", "{told:?}");
        told.outcome() == "done"
    });
    assert_eq!(installation.started(), before + 1, "one start");
}

/// Guards against a second run when a request is sent again after a process was killed.
#[rstest]
#[case(Kill::EntryHostAfterDispatch)]
#[case(Kill::EntryHostAfterAnswer)]
#[case(Kill::ControlAfterDispatch)]
#[case(Kill::ControlAfterAnswer)]
#[case(Kill::ControlAndEntryHostAfterDispatch)]
fn a_resend_after_a_kill_gets_the_one_answer(#[case] killed: Kill) {
    let mut installation = Installation::start(2, 1);
    let key = key("killed");
    let ask = Ask::once(&key).work_ms(700);
    let before = installation.started();
    let asked = ask.spawn(&installation.client(0));
    eventually("it runs", Duration::from_secs(5), || installation.started() > before);
    if matches!(killed, Kill::EntryHostAfterAnswer | Kill::ControlAfterAnswer) {
        let told = asked.join().expect("no panic").expect("an answer");
        assert_eq!(told.outcome(), "done", "{told:?}");
    }
    kill(&mut installation, killed);
    eventually("the resend gets the answer", Duration::from_secs(15), || {
        let Some(resend) = ask.try_send(&installation.client(1)) else { return false };
        assert_ne!(resend.outcome(), "not_run", "{resend:?}");
        resend.outcome() == "done"
    });
    assert_eq!(installation.started(), before + 1, "one start");
}
