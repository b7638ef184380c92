//! Processes that are killed while a request that is not idempotent is in flight.

use std::thread::JoinHandle;
use std::time::Duration;

use rstest::rstest;

use crate::support::link::Fault;
use crate::support::path::{Request, Response};
use crate::support::{Installation, eventually, key};

/// Process to kill, and when.
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

/// If an entry host dies shortly before or after control records `Begin`, nothing was dispatched.
/// The resend must then run exactly once, and not be blocked by the recorded intent.
#[rstest]
#[case::before_begin(Fault::DropAll, "absent")]
#[case::after_begin(Fault::DropAnswers, "in_flight")]
fn a_resend_runs_once_after_its_host_died_around_begin(
    #[case] fault: Fault,
    #[case] recorded: &str,
) {
    let mut installation = Installation::start(2, 1);
    let key = key("begun");
    let request = Request::at_most_once(&key);
    let before = installation.started();
    installation.control_link.fault_established(fault);
    drop(request.spawn(&installation.client(0)));
    eventually("control has the expected record", Duration::from_secs(2), || {
        let reply = installation.client(1).get(&format!("/v1/requests/{key}"));
        reply.is_ok_and(|reply| reply.body["state"] == recorded)
    });
    installation.kill_entry(0);
    assert_eq!(installation.started(), before, "nothing was dispatched");
    eventually("the resend runs", Duration::from_secs(15), || {
        let response = request.clone().timeout_ms(2_000).send(&installation.client(1));
        assert_ne!(response.outcome(), "not_run", "{response:?}");
        response.outcome() == "done"
    });
    assert_eq!(installation.started(), before + 1, "one start");
}

/// Most submissions until one starts.
const SUBMISSIONS_MAX: u32 = 3;

/// Pause between queries whether a submission has started.
const START_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Submits a request until it has started, and returns the submission that waits for its answer.
///
/// On a busy machine control may record the intent of a submission too late, and the host then
/// dispatches nothing. No other reason not to start is accepted.
fn submit_until_started(
    installation: &Installation,
    request: &Request,
) -> JoinHandle<Option<Response>> {
    let before = installation.started();
    for _ in 0..SUBMISSIONS_MAX {
        let pending = request.spawn(&installation.client(0));
        loop {
            let ended = pending.is_finished();
            if installation.started() > before {
                return pending;
            }
            if ended {
                break;
            }
            std::thread::sleep(START_POLL_INTERVAL);
        }
        let response = pending.join().expect("no panic").expect("an answer");
        let late = response.reply.body.to_string().contains("record intent");
        assert!(late && response.outcome() == "unknown", "ended without a start: {response:?}");
    }
    panic!("none of {SUBMISSIONS_MAX} submissions started");
}

/// A resend after a process was killed must get the answer of the first run, not run again.
#[rstest]
#[case(Kill::EntryHostAfterDispatch)]
#[case(Kill::EntryHostAfterAnswer)]
#[case(Kill::ControlAfterDispatch)]
#[case(Kill::ControlAfterAnswer)]
#[case(Kill::ControlAndEntryHostAfterDispatch)]
fn a_resend_after_a_kill_gets_the_first_answer(#[case] killed: Kill) {
    let mut installation = Installation::start(2, 1);
    let key = key("killed");
    let request = Request::at_most_once(&key).work_ms(700);
    let before = installation.started();
    let pending = submit_until_started(&installation, &request);
    if matches!(killed, Kill::EntryHostAfterAnswer | Kill::ControlAfterAnswer) {
        let response = pending.join().expect("no panic").expect("an answer");
        assert_eq!(response.outcome(), "done", "{response:?}");
    }
    kill(&mut installation, killed);
    eventually("the resend gets the answer", Duration::from_secs(15), || {
        let Some(resend) = request.try_send(&installation.client(1)) else { return false };
        assert_ne!(resend.outcome(), "not_run", "{resend:?}");
        resend.outcome() == "done"
    });
    assert_eq!(installation.started(), before + 1, "one start");
}
