//! One attempt from dispatch until its result is known, with detection of dead connections.

use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::attempt::{self, Answer, FenceResult, Payload, SendResult};
use super::upstreams::Slot;

/// Time without an answer after which the attempt is fenced over a fresh connection.
const UNANSWERED_CHECK_DELAY: Duration = Duration::from_secs(1);
/// Pause between fence calls about an attempt whose connection broke.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Reason reported for [`AttemptOutcome::NotDelivered`].
pub(crate) const NOT_DELIVERED_REASON: &str = "the request never reached the upstream";

/// How an attempt ended, as far as it is known by its time limit.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    Answered(Answer),
    /// The attempt certainly did not start and never will.
    NotStarted(String),
    /// The attempt had not reached the upstream after [`UNANSWERED_CHECK_DELAY`] and never will
    /// start.
    NotDelivered,
    /// The attempt may be running, or may have run.
    Unknown(String),
}

/// What to do while the result of an attempt is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SettlePolicy {
    /// Give up after one fence call without a result; another upstream may run the request.
    QueryOnce,
    /// Repeat fence calls until the deadline; no other upstream may run the request.
    PollUntilDeadline,
}

/// Runs one attempt, waits for its result until `until`, and records the upstream's health.
pub(crate) async fn run(
    slot: &Slot,
    payload: &Payload,
    until: Instant,
    policy: SettlePolicy,
) -> AttemptOutcome {
    let outcome = send_and_settle(slot, payload, until, policy).await;
    match &outcome {
        AttemptOutcome::Answered(_) => slot.record_success(),
        // The upstream has answered the fence call, so it is healthy.
        AttemptOutcome::NotDelivered => {}
        AttemptOutcome::NotStarted(_) | AttemptOutcome::Unknown(_) => slot.record_failure(),
    }
    outcome
}

async fn send_and_settle(
    slot: &Slot,
    payload: &Payload,
    until: Instant,
    policy: SettlePolicy,
) -> AttemptOutcome {
    if Instant::now() >= until {
        return AttemptOutcome::NotStarted("the deadline passed before anything was sent".into());
    }
    let sending = attempt::send(slot, payload);
    tokio::pin!(sending);
    loop {
        let fenced = tokio::select! {
            biased;
            sent = &mut sending => {
                return settle_sent(slot, payload, sent, until, policy).await;
            }
            () = sleep_until(until) => return AttemptOutcome::Unknown("no answer in time".into()),
            fenced = fence_after_delay(slot, payload) => fenced,
        };
        match fenced {
            FenceResult::NotStarted => {
                // Other connections to the upstream may have died together with this one.
                slot.close_idle();
                return AttemptOutcome::NotDelivered;
            }
            FenceResult::Done(answer) => return AttemptOutcome::Answered(answer),
            FenceResult::NoAnswer(reason) if policy == SettlePolicy::QueryOnce => {
                return AttemptOutcome::Unknown(format!("the upstream does not answer: {reason}"));
            }
            FenceResult::Running | FenceResult::NoAnswer(_) => {}
        }
    }
}

/// Fences an attempt that is still unanswered after [`UNANSWERED_CHECK_DELAY`].
async fn fence_after_delay(slot: &Slot, payload: &Payload) -> FenceResult {
    sleep(UNANSWERED_CHECK_DELAY).await;
    attempt::fence(slot, &payload.key, payload.attempt).await
}

async fn settle_sent(
    slot: &Slot,
    payload: &Payload,
    sent: SendResult,
    until: Instant,
    policy: SettlePolicy,
) -> AttemptOutcome {
    match sent {
        SendResult::Answered(answer) => AttemptOutcome::Answered(answer),
        SendResult::NotStarted(reason) => AttemptOutcome::NotStarted(reason),
        SendResult::Incomplete(reason) => {
            let settling = settle(slot, payload, &reason, policy);
            timeout_at(until, settling).await.unwrap_or(AttemptOutcome::Unknown(reason))
        }
    }
}

/// Repeats fence calls about an attempt whose connection broke, as `policy` allows.
async fn settle(
    slot: &Slot,
    payload: &Payload,
    reason: &str,
    policy: SettlePolicy,
) -> AttemptOutcome {
    loop {
        match attempt::fence(slot, &payload.key, payload.attempt).await {
            FenceResult::NotStarted => return AttemptOutcome::NotStarted(reason.to_owned()),
            FenceResult::Done(answer) => return AttemptOutcome::Answered(answer),
            FenceResult::Running | FenceResult::NoAnswer(_)
                if policy == SettlePolicy::QueryOnce || !slot.is_current() =>
            {
                return AttemptOutcome::Unknown(reason.to_owned());
            }
            FenceResult::Running | FenceResult::NoAnswer(_) => {}
        }
        sleep(SETTLE_POLL_INTERVAL).await;
    }
}
