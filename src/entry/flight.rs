//! An attempt from dispatch to its certain end, with silent connections detected on the way.

use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::attempt::{self, Answer, Fenced, Payload, Sent};
use super::upstreams::Slot;

/// Time without an answer after which the upstream is asked on a fresh connection.
const UNANSWERED_CHECK: Duration = Duration::from_secs(1);
/// Pause between questions about an attempt whose connection broke.
const SETTLE_PAUSE: Duration = Duration::from_millis(250);

/// Reason of an attempt that ended as [`Ended::NeverArrived`].
pub(crate) const NEVER_ARRIVED: &str = "the request never reached the upstream";

/// How an attempt ended, as far as it is known in time.
#[derive(Debug)]
pub(crate) enum Ended {
    Answered(Answer),
    /// It certainly did not start and never will.
    NotStarted(String),
    /// It did not reach the upstream within [`UNANSWERED_CHECK`], and never will.
    NeverArrived,
    /// It may be running, or may have run.
    Open(String),
}

/// What to do while the end of an attempt is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Patience {
    /// Give up as soon as the upstream says nothing of the attempt; another one may run it.
    AskOnce,
    /// Keep asking until the deadline; nobody else may run it.
    UntilDeadline,
}

/// Runs one attempt and waits for its end until `until`.
pub(crate) async fn run(
    slot: &Slot,
    payload: &Payload,
    until: Instant,
    patience: Patience,
) -> Ended {
    let ended = run_once(slot, payload, until, patience).await;
    match &ended {
        Ended::Answered(_) => slot.note_success(),
        // The upstream has answered the question, so it works.
        Ended::NeverArrived => {}
        Ended::NotStarted(_) | Ended::Open(_) => slot.note_failure(),
    }
    ended
}

async fn run_once(slot: &Slot, payload: &Payload, until: Instant, patience: Patience) -> Ended {
    if Instant::now() >= until {
        return Ended::NotStarted("the deadline passed before anything was sent".into());
    }
    let sending = attempt::send(slot, payload);
    tokio::pin!(sending);
    loop {
        let fenced = tokio::select! {
            biased;
            sent = &mut sending => {
                return after_send(slot, payload, sent, until, patience).await;
            }
            () = sleep_until(until) => return Ended::Open("no answer in time".into()),
            fenced = ask_later(slot, payload) => fenced,
        };
        match fenced {
            Fenced::NotStarted => {
                // Other connections to the upstream may have gone silent with this one.
                slot.close_idle();
                return Ended::NeverArrived;
            }
            Fenced::Done(answer) => return Ended::Answered(answer),
            Fenced::Silent(reason) if patience == Patience::AskOnce => {
                return Ended::Open(format!("the upstream is silent: {reason}"));
            }
            Fenced::Running | Fenced::Silent(_) => {}
        }
    }
}

/// Asks about an attempt that is unanswered for a while.
async fn ask_later(slot: &Slot, payload: &Payload) -> Fenced {
    sleep(UNANSWERED_CHECK).await;
    // A connection can go silent for good, so the question takes a fresh one.
    attempt::fence(slot, &payload.key, payload.attempt).await
}

async fn after_send(
    slot: &Slot,
    payload: &Payload,
    sent: Sent,
    until: Instant,
    patience: Patience,
) -> Ended {
    match sent {
        Sent::Answered(answer) => Ended::Answered(answer),
        Sent::NotStarted(reason) => Ended::NotStarted(reason),
        Sent::Broken(reason) => {
            let settling = settle(slot, payload, &reason, patience);
            timeout_at(until, settling).await.unwrap_or(Ended::Open(reason))
        }
    }
}

/// Asks for the end of an attempt whose connection broke, until it is known.
async fn settle(slot: &Slot, payload: &Payload, broken: &str, patience: Patience) -> Ended {
    loop {
        match attempt::fence(slot, &payload.key, payload.attempt).await {
            Fenced::NotStarted => return Ended::NotStarted(broken.to_owned()),
            Fenced::Done(answer) => return Ended::Answered(answer),
            Fenced::Running | Fenced::Silent(_)
                if patience == Patience::AskOnce || !slot.is_current() =>
            {
                return Ended::Open(broken.to_owned());
            }
            Fenced::Running | Fenced::Silent(_) => {}
        }
        sleep(SETTLE_PAUSE).await;
    }
}
