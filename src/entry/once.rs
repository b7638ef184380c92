//! Requests that run at most once: a durable intent first, and no second run on our own.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout_at};

use super::EntryHost;
use super::attempt::{Answer, Payload};
use super::dispatch;
use super::documents::InForce;
use super::flight::{self, Ended, NEVER_ARRIVED, Patience};
use super::linger::{self, End};
use super::request::CallerRequest;
use super::upstreams::Slot;
use crate::error::StepError;
use crate::names::{RequestKey, UpstreamName};
use crate::outcome::{NotRun, NotRunCause, Outcome};
use crate::rpc;
use crate::rpc::begin_reply::Verdict;

/// Pause between looks at a request that another submission has in flight.
const IN_FLIGHT_PAUSE: Duration = Duration::from_millis(50);
/// Pause between attempts to report an outcome to control.
const REPORT_PAUSE: Duration = Duration::from_millis(500);
/// Attempts to report an outcome; after them control asks the upstream itself.
const REPORTS_MAX: u32 = 20;

/// Runs a request at most once.
pub(crate) async fn run(
    host: &Arc<EntryHost>,
    request: &CallerRequest,
    key: &RequestKey,
    in_force: &InForce,
) -> Outcome {
    host.retry_budget.earn();
    let mut avoid = None;
    let mut replaces_attempt = 0;
    loop {
        let slot = match take_slot(host, request, key, in_force, avoid).await {
            Ok(slot) => slot,
            Err(outcome) => return settle_refusal(host, key, replaces_attempt, outcome),
        };
        let attempt = match begin(host, request, key, &slot, replaces_attempt).await {
            Ok(Begun::Attempt(attempt)) => attempt,
            Ok(Begun::InFlight) => {
                // A resend that waits must not keep a slot from other requests.
                drop(slot);
                if let Err(detail) = wait_for_other(host, request, key).await {
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
        if request.left().is_zero() || !failure.may_retry(host) {
            let reason = failure.reason;
            let reason = NotRun::new(NotRunCause::RefusedByUpstream, reason);
            return settle_refusal(host, key, attempt, Outcome::NotRun(reason));
        }
        host.metrics.retried();
    }
}

/// What control has decided on an intent.
enum Begun {
    /// The intent of this attempt is durable.
    Attempt(u32),
    /// Another submission with the key is in flight.
    InFlight,
}

/// Waits until no other submission with the key is in flight.
async fn wait_for_other(
    host: &EntryHost,
    request: &CallerRequest,
    key: &RequestKey,
) -> Result<(), String> {
    while request.left() > IN_FLIGHT_PAUSE && !request.caller.is_gone() {
        sleep(IN_FLIGHT_PAUSE).await;
        let reply = in_time(request, host.control.lookup(lookup_request(key))).await;
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
    /// It has put no load on the upstream, so another attempt needs no budget.
    never_arrived: bool,
}

impl NotStarted {
    fn may_retry(&self, host: &EntryHost) -> bool {
        self.never_arrived || host.retry_budget.try_spend()
    }
}

/// Reports the end of an intent whose attempt did not start.
fn settle_refusal(
    host: &Arc<EntryHost>,
    key: &RequestKey,
    attempt: u32,
    outcome: Outcome,
) -> Outcome {
    if attempt == 0 {
        return outcome;
    }
    let outcome = match outcome {
        // This host holds the only intent, and its attempt did not start.
        Outcome::Unknown { detail } => {
            Outcome::NotRun(NotRun::new(NotRunCause::NoCapacity, detail))
        }
        other => other,
    };
    report(host, key, attempt, &outcome);
    outcome
}

/// Reserves a slot; a request that has to wait asks first whether it has already run.
async fn take_slot(
    host: &EntryHost,
    request: &CallerRequest,
    key: &RequestKey,
    in_force: &InForce,
    avoid: Option<UpstreamName>,
) -> Result<Slot, Outcome> {
    let free = host.upstreams.try_reserve(&request.service, request.class, avoid.as_ref());
    if let Some(slot) = free {
        return Ok(slot);
    }
    if let Some(outcome) = ended_before(host, request, key).await? {
        return Err(outcome);
    }
    dispatch::park(host, request, in_force, avoid).await.map_err(|reason| request.refused(reason))
}

/// Returns the recorded outcome of an earlier submission, if it has one that stands.
async fn ended_before(
    host: &EntryHost,
    request: &CallerRequest,
    key: &RequestKey,
) -> Result<Option<Outcome>, Outcome> {
    let message = lookup_request(key);
    let reply = in_time(request, host.control.lookup(message)).await;
    let reply = reply.map_err(|error| unavailable(request, &error))?;
    let is_recorded = !matches!(reply.state.as_str(), "absent" | "expired");
    if is_recorded && !is_same_request(host, request, &reply) {
        // The record belongs to another request, whose answer this caller must not get.
        let detail = "the key was used for another request; this one was not run";
        return Err(Outcome::NotRun(NotRun::new(NotRunCause::Conflict, detail)));
    }
    match reply.state.as_str() {
        "done" => Ok(reply.outcome.map(Outcome::from)),
        "unknown" if reply.signed_off_by.is_empty() => Ok(reply.outcome.map(Outcome::from)),
        _ => Ok(None),
    }
}

/// Tells whether a record belongs to this request and not to another one under the same key.
fn is_same_request(host: &EntryHost, request: &CallerRequest, reply: &rpc::LookupReply) -> bool {
    reply.organisation == request.organisation.as_str()
        && reply.service == request.service.as_str()
        && reply.body_digest == host.digest(&request.body)
}

fn lookup_request(key: &RequestKey) -> rpc::LookupRequest {
    rpc::LookupRequest { data_centre: key.data_centre().to_string(), id: key.id().to_owned() }
}

/// Gives up a call to control at the caller's deadline.
async fn in_time<T>(
    request: &CallerRequest,
    call: impl Future<Output = Result<T, StepError>>,
) -> Result<T, StepError> {
    let late = |elapsed| StepError::new("wait for control", "the caller's deadline", elapsed);
    timeout_at(request.deadline, call).await.map_err(late)?
}

fn unavailable(request: &CallerRequest, error: &StepError) -> Outcome {
    request.refused(NotRun::new(NotRunCause::Unavailable, error.to_string()))
}

/// Obtains a durable intent for this host and slot, or the outcome to answer with.
async fn begin(
    host: &Arc<EntryHost>,
    request: &CallerRequest,
    key: &RequestKey,
    slot: &Slot,
    replaces_attempt: u32,
) -> Result<Begun, Outcome> {
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
    let reply = match in_time(request, host.control.begin(message.clone())).await {
        Ok(reply) => reply,
        Err(error) => {
            abandon(host, message);
            return Err(begin_failed(request, replaces_attempt, &error));
        }
    };
    match reply.verdict {
        Some(Verdict::ProceedAttempt(attempt)) => Ok(Begun::Attempt(attempt)),
        Some(Verdict::InFlight(_)) => Ok(Begun::InFlight),
        Some(Verdict::Ended(outcome)) => Err(outcome.into()),
        Some(Verdict::Refused(reason)) => Err(refusal(&reason)),
        None => {
            let detail = "control answered without a verdict".to_owned();
            Err(Outcome::Unknown { detail })
        }
    }
}

/// Closes an intent that control may have recorded although its answer was lost.
fn abandon(host: &Arc<EntryHost>, message: rpc::BeginRequest) {
    let host = Arc::clone(host);
    tokio::spawn(async move {
        for _ in 0..REPORTS_MAX {
            sleep(REPORT_PAUSE).await;
            let Ok(reply) = host.control.begin(message.clone()).await else { continue };
            if let (Some(Verdict::ProceedAttempt(attempt)), Some(identity)) =
                (reply.verdict, &message.identity)
            {
                let reason = NotRun::new(NotRunCause::Unavailable, "abandoned before dispatch");
                let key = (identity.data_centre.clone(), identity.id.clone());
                report_as(&host, key, attempt, &Outcome::NotRun(reason));
            }
            return;
        }
        host.metrics.report_lost();
    });
}

/// Nothing was dispatched under the intent, whether or not control has recorded it.
fn begin_failed(request: &CallerRequest, replaces_attempt: u32, error: &StepError) -> Outcome {
    let reason = NotRun::new(NotRunCause::Unavailable, error.to_string());
    if replaces_attempt == 0 { request.refused(reason) } else { Outcome::NotRun(reason) }
}

/// A refused key may have run earlier, unless the refusal is about this body alone.
fn refusal(reason: &str) -> Outcome {
    let reason = NotRun::from_wire(reason);
    match reason.cause {
        NotRunCause::KeyExpired => Outcome::Unknown { detail: reason.to_string() },
        _ => Outcome::NotRun(reason),
    }
}

/// Runs the attempt; an error says that it certainly did not start.
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
    match flight::run(&slot, &payload, request.deadline, Patience::UntilDeadline).await {
        Ended::Answered(answer) => Ok(answered(host, key, attempt, answer)),
        Ended::NeverArrived => {
            Err(NotStarted { reason: NEVER_ARRIVED.to_owned(), never_arrived: true })
        }
        Ended::NotStarted(reason) => Err(NotStarted { reason, never_arrived: false }),
        Ended::Open(detail) => {
            finish_later(host, key.clone(), slot, payload);
            Ok(Outcome::Unknown { detail })
        }
    }
}

fn answered(host: &Arc<EntryHost>, key: &RequestKey, attempt: u32, answer: Answer) -> Outcome {
    let outcome = Outcome::Done { answer: answer.body, attempt, upstream_status: answer.status };
    report(host, key, attempt, &outcome);
    outcome
}

/// Waits in the background for the end of an attempt and records it.
fn finish_later(host: &Arc<EntryHost>, key: RequestKey, slot: Slot, payload: Payload) {
    let host = Arc::clone(host);
    tokio::spawn(async move {
        let end = linger::wait_for_end(&slot, &payload).await;
        let outcome = match end {
            End::Answered(answer) => Outcome::Done {
                answer: answer.body,
                attempt: payload.attempt,
                upstream_status: answer.status,
            },
            End::NotStarted => {
                let detail = "the upstream says that the attempt was not started";
                Outcome::NotRun(NotRun::new(NotRunCause::RefusedByUpstream, detail))
            }
            End::Lost => Outcome::Unknown {
                detail: format!("upstream {} was lost while it ran", slot.upstream()),
            },
        };
        report(&host, &key, payload.attempt, &outcome);
    });
}

/// Reports an outcome in the background.
///
/// The caller does not wait for it: an intent without an outcome is resolved by asking the
/// upstream, so the path holds one sync and not two.
fn report(host: &Arc<EntryHost>, key: &RequestKey, attempt: u32, outcome: &Outcome) {
    let key = (key.data_centre().to_string(), key.id().to_owned());
    report_as(host, key, attempt, outcome);
}

fn report_as(
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
        for _ in 0..REPORTS_MAX {
            if host.control.finish(message.clone()).await.is_ok() {
                return;
            }
            sleep(REPORT_PAUSE).await;
        }
        host.metrics.report_lost();
    });
}
