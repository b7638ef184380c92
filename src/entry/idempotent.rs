//! Idempotent requests, which are retried within the deadline and the retry budget.

use std::sync::Arc;

use tokio::time::{Duration, Instant};
use tracing::warn;

use super::EntryHost;
use super::attempt::Payload;
use super::dispatch;
use super::documents::InForceDocument;
use super::flight::{self, AttemptOutcome, NOT_DELIVERED_REASON, SettlePolicy};
use super::linger;
use super::request::CallerRequest;
use super::upstreams::Slot;
use crate::names::UpstreamName;
use crate::outcome::{NotRun, NotRunCause, Outcome};

/// Number of attempts that may have run and have no answer after which a request is given up: it may
/// crash each upstream that starts it.
const LOST_ATTEMPTS_MAX: u32 = 3;

/// Runs an idempotent request.
pub(crate) async fn run(
    host: &Arc<EntryHost>,
    request: &CallerRequest,
    in_force: &InForceDocument,
) -> Outcome {
    host.retry_budget.deposit();
    let mut avoid = None;
    let mut lost_attempts = 0;
    let mut attempt = 0;
    loop {
        attempt += 1;
        let slot = match take_slot(host, request, in_force, avoid).await {
            Ok(slot) => slot,
            Err(reason) => return give_up(lost_attempts, reason),
        };
        let upstream = slot.upstream().clone();
        avoid = Some(upstream.clone());
        let reason = match attempt_once(host, request, slot, attempt).await {
            Ok(done) => return done,
            // An undelivered attempt put no load on the upstream, so its retry takes no budget. The
            // delay before it is detected bounds the rate of such retries.
            Err(AttemptFailure::NotDelivered) if !request.remaining().is_zero() => continue,
            Err(AttemptFailure::NotDelivered) => NOT_DELIVERED_REASON.to_owned(),
            Err(AttemptFailure::NotStarted(reason)) => reason,
            Err(AttemptFailure::Unknown(reason)) => {
                lost_attempts += 1;
                warn!(request = %request.key(), %upstream, attempt, %reason, "attempt has no answer");
                reason
            }
        };
        if request.remaining().is_zero() || request.caller.is_disconnected() {
            return give_up(lost_attempts, NotRun::new(NotRunCause::Deadline, reason));
        }
        if lost_attempts >= LOST_ATTEMPTS_MAX {
            host.metrics.request_given_up();
            let detail = format!("{lost_attempts} attempts have no answer; the last: {reason}");
            warn!(request = %request.key(), lost_attempts, "request is given up");
            return Outcome::Unknown { detail };
        }
        if !host.retry_budget.try_withdraw() {
            host.metrics.retry_refused();
            let detail = format!("the retry budget is spent; the last attempt failed: {reason}");
            return give_up(lost_attempts, NotRun::new(NotRunCause::NoCapacity, detail));
        }
        host.metrics.retried();
    }
}

/// Why an attempt has no answer.
enum AttemptFailure {
    NotDelivered,
    NotStarted(String),
    Unknown(String),
}

async fn take_slot(
    host: &EntryHost,
    request: &CallerRequest,
    in_force: &InForceDocument,
    avoid: Option<UpstreamName>,
) -> Result<Slot, NotRun> {
    let free = host.upstreams.try_reserve(&request.service, request.class, avoid.as_ref());
    match free {
        Some(slot) => Ok(slot),
        None => dispatch::park(host, request, in_force, avoid).await,
    }
}

async fn attempt_once(
    host: &Arc<EntryHost>,
    request: &CallerRequest,
    slot: Slot,
    attempt: u32,
) -> Result<Outcome, AttemptFailure> {
    let payload = Payload {
        key: request.key().clone(),
        attempt,
        body: request.body.clone(),
        deadline: request.deadline,
    };
    let limit = Duration::from_millis(host.settings.timeouts.attempt_timeout_ms);
    let until = request.deadline.min(Instant::now() + limit);
    match flight::run(&slot, &payload, until, SettlePolicy::QueryOnce).await {
        AttemptOutcome::Answered(answer) => {
            Ok(Outcome::Done { answer: answer.body, attempt, upstream_status: answer.status })
        }
        AttemptOutcome::NotDelivered => Err(AttemptFailure::NotDelivered),
        AttemptOutcome::NotStarted(reason) => Err(AttemptFailure::NotStarted(reason)),
        AttemptOutcome::Unknown(reason) => {
            linger::hold_until_ended(slot, payload);
            Err(AttemptFailure::Unknown(reason))
        }
    }
}

/// Returns the final outcome, which is unknown if an attempt may have run.
fn give_up(lost_attempts: u32, reason: NotRun) -> Outcome {
    if lost_attempts > 0 {
        Outcome::Unknown { detail: reason.to_string() }
    } else {
        Outcome::NotRun(reason)
    }
}
