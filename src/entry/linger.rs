//! Attempts whose callers were answered before the result was known.
//!
//! An upstream keeps working after the caller has given up. The slot therefore stays reserved until
//! the upstream reports the end of the attempt, or until its incarnation is gone.

use std::time::Duration;

use tokio::time::sleep;

use super::attempt::{self, Answer, FenceResult, Payload};
use super::upstreams::Slot;

/// Pause before the first fence call; doubles up to [`QUERY_PAUSE_MAX`].
const QUERY_PAUSE_FIRST: Duration = Duration::from_millis(500);
/// Longest pause between fence calls.
const QUERY_PAUSE_MAX: Duration = Duration::from_secs(4);

/// Final result of an attempt.
#[derive(Debug)]
pub(crate) enum FinalOutcome {
    Answered(Answer),
    NotStarted,
    /// The upstream's incarnation is gone, and no other process knows the result.
    Lost,
}

/// Keeps the slot reserved in the background until the attempt has ended.
pub(crate) fn hold_until_ended(slot: Slot, payload: Payload) {
    tokio::spawn(async move {
        wait_for_end(&slot, &payload).await;
        drop(slot);
    });
}

/// Repeats fence calls until the result of the attempt is final.
pub(crate) async fn wait_for_end(slot: &Slot, payload: &Payload) -> FinalOutcome {
    let mut pause = QUERY_PAUSE_FIRST;
    loop {
        sleep(pause).await;
        match attempt::fence(slot, &payload.key, payload.attempt).await {
            FenceResult::NotStarted => return FinalOutcome::NotStarted,
            FenceResult::Done(answer) => return FinalOutcome::Answered(answer),
            FenceResult::Running | FenceResult::NoAnswer(_) if !slot.is_current() => {
                return FinalOutcome::Lost;
            }
            FenceResult::Running | FenceResult::NoAnswer(_) => {}
        }
        pause = QUERY_PAUSE_MAX.min(pause * 2);
    }
}
