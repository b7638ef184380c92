//! Attempts whose callers were answered before their end was known.
//!
//! An upstream goes on working after its caller has given up, so the slot stays taken until the
//! upstream says that the attempt has ended, or until its incarnation is gone.

use std::time::Duration;

use tokio::time::sleep;

use super::attempt::{self, Answer, Fenced, Payload};
use super::upstreams::Slot;

/// Pause before the first question; doubles up to [`PAUSE_MAX`].
const PAUSE_FIRST: Duration = Duration::from_millis(500);
/// Longest pause between questions.
const PAUSE_MAX: Duration = Duration::from_secs(4);

/// The certain end of an attempt.
#[derive(Debug)]
pub(crate) enum End {
    Answered(Answer),
    NotStarted,
    /// The upstream's incarnation is gone and nobody else knows the end.
    Lost,
}

/// Holds the slot in the background until the attempt has ended.
pub(crate) fn hold(slot: Slot, payload: Payload) {
    tokio::spawn(async move {
        wait_for_end(&slot, &payload).await;
        drop(slot);
    });
}

/// Asks until the end of the attempt is certain.
pub(crate) async fn wait_for_end(slot: &Slot, payload: &Payload) -> End {
    let mut pause = PAUSE_FIRST;
    loop {
        sleep(pause).await;
        match attempt::fence(slot, &payload.key, payload.attempt).await {
            Fenced::NotStarted => return End::NotStarted,
            Fenced::Done(answer) => return End::Answered(answer),
            Fenced::Running | Fenced::Silent(_) if !slot.is_current() => return End::Lost,
            Fenced::Running | Fenced::Silent(_) => {}
        }
        pause = PAUSE_MAX.min(pause * 2);
    }
}
