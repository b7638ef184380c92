//! Requests that may be repeated: retried elsewhere within the deadline and the retry budget.

use std::sync::Arc;

use tokio::time::{Duration, Instant};

use super::EntryHost;
use super::attempt::Payload;
use super::dispatch;
use super::documents::InForce;
use super::flight::{self, Ended, NEVER_ARRIVED, Patience};
use super::linger;
use super::request::CallerRequest;
use super::upstreams::Slot;
use crate::names::UpstreamName;
use crate::outcome::{NotRun, NotRunCause, Outcome};

/// Runs an idempotent request.
pub(crate) async fn run(
    host: &Arc<EntryHost>,
    request: &CallerRequest,
    in_force: &InForce,
) -> Outcome {
    host.retry_budget.earn();
    let mut avoid = None;
    let mut may_have_run = false;
    let mut attempt = 0;
    loop {
        attempt += 1;
        let slot = match take_slot(host, request, in_force, avoid).await {
            Ok(slot) => slot,
            Err(reason) => return give_up(may_have_run, reason),
        };
        avoid = Some(slot.upstream().clone());
        let reason = match attempt_once(host, request, slot, attempt).await {
            Ok(done) => return done,
            // It has put no load on the upstream, so it needs no budget; silence takes its time.
            Err(Failure::NeverArrived) if !request.left().is_zero() => continue,
            Err(Failure::NeverArrived) => NEVER_ARRIVED.to_owned(),
            Err(Failure::NotStarted(reason)) => reason,
            Err(Failure::Open(reason)) => {
                may_have_run = true;
                reason
            }
        };
        if request.left().is_zero() || request.caller.is_gone() {
            return give_up(may_have_run, NotRun::new(NotRunCause::Deadline, reason));
        }
        if !host.retry_budget.try_spend() {
            host.metrics.retry_refused();
            let detail = format!("the retry budget is spent after: {reason}");
            return give_up(may_have_run, NotRun::new(NotRunCause::NoCapacity, detail));
        }
        host.metrics.retried();
    }
}

enum Failure {
    NeverArrived,
    NotStarted(String),
    Open(String),
}

async fn take_slot(
    host: &EntryHost,
    request: &CallerRequest,
    in_force: &InForce,
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
) -> Result<Outcome, Failure> {
    let payload = Payload {
        key: request.key().clone(),
        attempt,
        body: request.body.clone(),
        deadline: request.deadline,
    };
    let limit = Duration::from_millis(host.settings.timeouts.attempt_timeout_ms);
    let until = request.deadline.min(Instant::now() + limit);
    match flight::run(&slot, &payload, until, Patience::AskOnce).await {
        Ended::Answered(answer) => {
            Ok(Outcome::Done { answer: answer.body, attempt, upstream_status: answer.status })
        }
        Ended::NeverArrived => Err(Failure::NeverArrived),
        Ended::NotStarted(reason) => Err(Failure::NotStarted(reason)),
        Ended::Open(reason) => {
            linger::hold(slot, payload);
            Err(Failure::Open(reason))
        }
    }
}

/// Tells the caller the truth: an attempt whose end is not known may have run.
fn give_up(may_have_run: bool, reason: NotRun) -> Outcome {
    if may_have_run {
        Outcome::Unknown { detail: reason.to_string() }
    } else {
        Outcome::NotRun(reason)
    }
}
