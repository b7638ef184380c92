//! Requests that run at most once.
//!
//! Control records a durable intent before each dispatch. A request that may have run is sent again
//! only after a re-run has been signed off.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout_at};

use super::EntryHost;
use super::attempt::{Answer, Payload};
use super::dispatch;
use super::documents::InForceDocument;
use super::flight::{self, AttemptOutcome, NOT_DELIVERED_REASON, SettlePolicy};
use super::linger::{self, FinalOutcome};
use super::request::CallerRequest;
use super::upstreams::Slot;
use crate::error::StepError;
use crate::names::{RequestKey, UpstreamName};
use crate::outcome::{NotRun, NotRunCause, Outcome};
use crate::rpc;
use crate::rpc::begin_reply::Verdict;

/// Interval of lookups while another submission with the same key is in flight.
const IN_FLIGHT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between calls that report an outcome to control.
const REPORT_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Most calls to report one outcome; if all fail, control asks the upstream for the outcome.
const REPORT_ATTEMPTS_MAX: u32 = 20;

/// Runs a request at most once.
pub(crate) async fn run(
    host: &Arc<EntryHost>,
    request: &CallerRequest,
    key: &RequestKey,
    in_force: &InForceDocument,
) -> Outcome {
    host.retry_budget.deposit();
    let mut avoid = None;
    let mut replaces_attempt = 0;
    loop {
        let slot = match take_slot(host, request, key, in_force, avoid).await {
            Ok(slot) => slot,
            Err(outcome) => return report_not_started(host, key, replaces_attempt, outcome),
        };
        let attempt = match begin(host, request, key, &slot, replaces_attempt).await {
            Ok(IntentDecision::Attempt(attempt)) => attempt,
            Ok(IntentDecision::InFlight) => {
                // A waiting resend must not hold a slot that other requests could use.
                drop(slot);
                if let Err(detail) = wait_while_in_flight(host, request, key).await {
                    return Outcome::Unknown { detail };
                }
                avoid = None;
                continue;
            }
            Err(outcome) => return outcome,
        };
        avoid = Some(slot.upstream().clone());
        let failure = match attempt_once(host, request, key, slot, attempt).await {
            Ok(outcome) => return outcome,
            Err(failure) => failure,
        };
        replaces_attempt = attempt;
        if request.remaining().is_zero() || !failure.may_retry(host) {
            let reason = failure.reason;
            let reason = NotRun::new(NotRunCause::RefusedByUpstream, reason);
            return report_not_started(host, key, attempt, Outcome::NotRun(reason));
        }
        host.metrics.retried();
    }
}

/// Control's decision on an intent.
enum IntentDecision {
    /// The intent is recorded under this attempt number.
    Attempt(u32),
    /// Another submission with the same key is in flight.
    InFlight,
}

/// Waits until no other submission with the same key is in flight.
async fn wait_while_in_flight(
    host: &EntryHost,
    request: &CallerRequest,
    key: &RequestKey,
) -> Result<(), String> {
    while request.remaining() > IN_FLIGHT_POLL_INTERVAL && !request.caller.is_disconnected() {
        sleep(IN_FLIGHT_POLL_INTERVAL).await;
        let reply = before_deadline(request, host.control.lookup(lookup_request(key))).await;
        let reply = reply.map_err(|error| error.to_string())?;
        if reply.state != "in_flight" {
            return Ok(());
        }
    }
    Err("an earlier submission with this key is still in flight".to_owned())
}

/// Why an attempt certainly did not start.
struct NotStarted {
    reason: String,
    /// The attempt put no load on the upstream, so a retry takes no retry budget.
    not_delivered: bool,
}

impl NotStarted {
    fn may_retry(&self, host: &EntryHost) -> bool {
        self.not_delivered || host.retry_budget.try_withdraw()
    }
}

/// Reports to control that the attempt did not start, if there was one, and returns the outcome.
fn report_not_started(
    host: &Arc<EntryHost>,
    key: &RequestKey,
    attempt: u32,
    outcome: Outcome,
) -> Outcome {
    if attempt == 0 {
        return outcome;
    }
    let outcome = match outcome {
        // This host has the only open intent and its attempt did not start, so nothing has run.
        Outcome::Unknown { detail } => {
            Outcome::NotRun(NotRun::new(NotRunCause::NoCapacity, detail))
        }
        other => other,
    };
    report(host, key, attempt, &outcome);
    outcome
}

/// Reserves a slot, and waits for one if none is free.
///
/// # Errors
/// Returns the outcome for the caller: the recorded one of an earlier submission, which is looked up
/// before waiting, or the reason why the request was not run.
async fn take_slot(
    host: &EntryHost,
    request: &CallerRequest,
    key: &RequestKey,
    in_force: &InForceDocument,
    avoid: Option<UpstreamName>,
) -> Result<Slot, Outcome> {
    let free = host.upstreams.try_reserve(&request.service, request.class, avoid.as_ref());
    if let Some(slot) = free {
        return Ok(slot);
    }
    if let Some(outcome) = recorded_outcome(host, request, key).await? {
        return Err(outcome);
    }
    dispatch::park(host, request, in_force, avoid)
        .await
        .map_err(|reason| request.refused_outcome(reason))
}

/// Returns the recorded outcome if an earlier submission is done, or if its outcome is unknown and no
/// re-run has been signed off.
///
/// # Errors
/// Returns the outcome for the caller if control cannot be asked or the key belongs to another request.
async fn recorded_outcome(
    host: &EntryHost,
    request: &CallerRequest,
    key: &RequestKey,
) -> Result<Option<Outcome>, Outcome> {
    let message = lookup_request(key);
    let reply = before_deadline(request, host.control.lookup(message)).await;
    let reply = reply.map_err(|error| unavailable(request, &error))?;
    let is_recorded = !matches!(reply.state.as_str(), "absent" | "expired");
    if is_recorded && !is_same_request(host, request, &reply) {
        // The answer of another request must not reach this caller.
        let detail = "the key was used for another request; this one was not run";
        return Err(Outcome::NotRun(NotRun::new(NotRunCause::Conflict, detail)));
    }
    match reply.state.as_str() {
        "done" => Ok(reply.outcome.map(Outcome::from)),
        "unknown" if reply.signed_off_by.is_empty() => Ok(reply.outcome.map(Outcome::from)),
        _ => Ok(None),
    }
}

/// Returns whether a record belongs to this request and not to another one with the same key.
fn is_same_request(host: &EntryHost, request: &CallerRequest, reply: &rpc::LookupReply) -> bool {
    reply.organisation == request.organisation.as_str()
        && reply.service == request.service.as_str()
        && reply.body_digest == host.digest(&request.body)
}

fn lookup_request(key: &RequestKey) -> rpc::LookupRequest {
    rpc::LookupRequest { data_centre: key.data_centre().to_string(), id: key.id().to_owned() }
}

/// Cancels a call to control at the caller's deadline.
async fn before_deadline<T>(
    request: &CallerRequest,
    call: impl Future<Output = Result<T, StepError>>,
) -> Result<T, StepError> {
    let timed_out = |elapsed| StepError::new("wait for control", "the caller's deadline", elapsed);
    timeout_at(request.deadline, call).await.map_err(timed_out)?
}

fn unavailable(request: &CallerRequest, error: &StepError) -> Outcome {
    request.refused_outcome(NotRun::new(NotRunCause::Unavailable, error.to_string()))
}

/// Asks control to record a durable intent for an attempt on this slot.
///
/// # Errors
/// Returns the outcome for the caller if control does not allow the attempt.
async fn begin(
    host: &Arc<EntryHost>,
    request: &CallerRequest,
    key: &RequestKey,
    slot: &Slot,
    replaces_attempt: u32,
) -> Result<IntentDecision, Outcome> {
    let identity = rpc::RequestIdentity {
        data_centre: key.data_centre().to_string(),
        id: key.id().to_owned(),
        organisation: request.organisation.to_string(),
        service: request.service.to_string(),
        body_digest: host.digest(&request.body),
    };
    let message = rpc::BeginRequest {
        identity: Some(identity),
        host: host.settings.host.to_string(),
        upstream: slot.upstream().to_string(),
        upstream_address: slot.address().to_string(),
        incarnation: slot.incarnation(),
        replaces_attempt,
        submission: host.next_id(),
    };
    let reply = match before_deadline(request, host.control.begin(message.clone())).await {
        Ok(reply) => reply,
        Err(error) => {
            abandon_intent(host, message);
            return Err(begin_failure_outcome(request, replaces_attempt, &error));
        }
    };
    match reply.verdict {
        Some(Verdict::ProceedAttempt(attempt)) => Ok(IntentDecision::Attempt(attempt)),
        Some(Verdict::InFlight(_)) => Ok(IntentDecision::InFlight),
        Some(Verdict::Ended(outcome)) => Err(outcome.into()),
        Some(Verdict::Refused(reason)) => Err(refusal_outcome(&reason)),
        None => {
            let detail = "control answered without a verdict".to_owned();
            Err(Outcome::Unknown { detail })
        }
    }
}

/// Closes an intent that control may have recorded although its reply was lost.
fn abandon_intent(host: &Arc<EntryHost>, message: rpc::BeginRequest) {
    let host = Arc::clone(host);
    tokio::spawn(async move {
        for _ in 0..REPORT_ATTEMPTS_MAX {
            sleep(REPORT_RETRY_PAUSE).await;
            let Ok(reply) = host.control.begin(message.clone()).await else { continue };
            if let (Some(Verdict::ProceedAttempt(attempt)), Some(identity)) =
                (reply.verdict, &message.identity)
            {
                let reason = NotRun::new(NotRunCause::Unavailable, "abandoned before dispatch");
                let key = (identity.data_centre.clone(), identity.id.clone());
                report_by_id(&host, key, attempt, &Outcome::NotRun(reason));
            }
            return;
        }
        host.metrics.report_lost();
    });
}

/// Builds the outcome of a request for which the call to record an intent failed.
///
/// Nothing was dispatched under that intent. If this submission already had an attempt, that attempt
/// did not start, so the outcome is `NotRun`.
fn begin_failure_outcome(
    request: &CallerRequest,
    replaces_attempt: u32,
    error: &StepError,
) -> Outcome {
    let reason = NotRun::new(NotRunCause::Unavailable, error.to_string());
    if replaces_attempt == 0 { request.refused_outcome(reason) } else { Outcome::NotRun(reason) }
}

/// Builds the outcome of a refusal by control.
///
/// A request whose key has expired may have run earlier, so its outcome is unknown. Other refusals
/// concern only this submission.
fn refusal_outcome(reason: &str) -> Outcome {
    let reason = NotRun::from_wire(reason);
    match reason.cause {
        NotRunCause::KeyExpired => Outcome::Unknown { detail: reason.to_string() },
        _ => Outcome::NotRun(reason),
    }
}

/// Runs the attempt.
///
/// # Errors
/// Returns an error if the attempt certainly did not start.
async fn attempt_once(
    host: &Arc<EntryHost>,
    request: &CallerRequest,
    key: &RequestKey,
    slot: Slot,
    attempt: u32,
) -> Result<Outcome, NotStarted> {
    let payload = Payload {
        key: key.clone(),
        attempt,
        body: request.body.clone(),
        deadline: request.deadline,
    };
    match flight::run(&slot, &payload, request.deadline, SettlePolicy::PollUntilDeadline).await {
        AttemptOutcome::Answered(answer) => Ok(report_answer(host, key, attempt, answer)),
        AttemptOutcome::NotDelivered => {
            Err(NotStarted { reason: NOT_DELIVERED_REASON.to_owned(), not_delivered: true })
        }
        AttemptOutcome::NotStarted(reason) => Err(NotStarted { reason, not_delivered: false }),
        AttemptOutcome::Unknown(detail) => {
            report_end_in_background(host, key.clone(), slot, payload);
            Ok(Outcome::Unknown { detail })
        }
    }
}

/// Reports to control that the attempt was answered, and returns the outcome.
fn report_answer(host: &Arc<EntryHost>, key: &RequestKey, attempt: u32, answer: Answer) -> Outcome {
    let outcome = Outcome::Done { answer: answer.body, attempt, upstream_status: answer.status };
    report(host, key, attempt, &outcome);
    outcome
}

/// Waits in the background for the final result of an attempt and reports it to control.
fn report_end_in_background(host: &Arc<EntryHost>, key: RequestKey, slot: Slot, payload: Payload) {
    let host = Arc::clone(host);
    tokio::spawn(async move {
        let end = linger::wait_for_end(&slot, &payload).await;
        let outcome = match end {
            FinalOutcome::Answered(answer) => Outcome::Done {
                answer: answer.body,
                attempt: payload.attempt,
                upstream_status: answer.status,
            },
            FinalOutcome::NotStarted => {
                let detail = "the upstream reported that the attempt did not start";
                Outcome::NotRun(NotRun::new(NotRunCause::RefusedByUpstream, detail))
            }
            FinalOutcome::Lost => Outcome::Unknown {
                detail: format!("upstream {} was lost while it ran", slot.upstream()),
            },
        };
        report(&host, &key, payload.attempt, &outcome);
    });
}

/// Reports an outcome to control in the background.
///
/// The caller does not wait for the report, so a request waits for one disk sync (that of the intent)
/// instead of two. If the report is lost, control asks the upstream for the outcome.
fn report(host: &Arc<EntryHost>, key: &RequestKey, attempt: u32, outcome: &Outcome) {
    let key = (key.data_centre().to_string(), key.id().to_owned());
    report_by_id(host, key, attempt, outcome);
}

fn report_by_id(
    host: &Arc<EntryHost>,
    (data_centre, id): (String, String),
    attempt: u32,
    outcome: &Outcome,
) {
    let message = rpc::FinishRequest {
        data_centre,
        id,
        attempt,
        outcome: Some(outcome.clone().into()),
        epoch: 0,
    };
    let host = Arc::clone(host);
    tokio::spawn(async move {
        for _ in 0..REPORT_ATTEMPTS_MAX {
            if host.control.finish(message.clone()).await.is_ok() {
                return;
            }
            sleep(REPORT_RETRY_PAUSE).await;
        }
        host.metrics.report_lost();
    });
}
