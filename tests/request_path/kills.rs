//! Processes killed while a request that is not idempotent is under way.

use std::time::Duration;

use rstest::rstest;

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
