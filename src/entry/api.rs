//! The HTTP interface with JSON bodies for callers, upstreams and operators.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde_json::value::{RawValue, to_raw_value};
use tokio::time::Instant;

use super::EntryHost;
use super::request::{self, CallerRequest, RequestKind};
use crate::http::{FullRequest, FullResponse, error, json};
use crate::names::{RequestKey, ServiceName};
use crate::outcome::{NotRun, NotRunCause, Outcome};

mod documents;
mod jobs;
mod requests;
mod upstreams;

/// Header that names the organisation of the caller.
const ORGANISATION_HEADER: &str = "cactuslatch-organisation";

/// Handles one request from a caller, an upstream or an operator.
pub(crate) async fn handle(host: Arc<EntryHost>, received: FullRequest) -> FullResponse {
    let segments = received.segments();
    let segments: Vec<&str> = segments.iter().map(|segment| &**segment).collect();
    match (received.method.as_str(), segments.as_slice()) {
        ("POST", ["v1", "services", service, "requests"]) => run(&host, &received, service).await,
        ("GET", ["v1", "requests", data_centre, id]) => {
            requests::lookup(&host, data_centre, id, &received).await
        }
        ("POST", ["v1", "requests", data_centre, id, "sign-off"]) => {
            requests::sign_off(&host, data_centre, id, &received).await
        }
        ("POST", ["v1", "jobs"]) => jobs::submit(&host, &received).await,
        ("GET", ["v1", "jobs", job]) => jobs::status(&host, job).await,
        ("DELETE", ["v1", "jobs", job]) => jobs::cancel(&host, job).await,
        ("GET", ["v1", "jobs", job, "explain"]) => jobs::explain(&host, job).await,
        ("GET", ["v1", "documents", service]) => documents::get(&host, service).await,
        ("PUT", ["v1", "documents", service]) => documents::put(&host, service, &received).await,
        ("GET", ["v1", "documents", service, "history"]) => {
            documents::history(&host, service).await
        }
        ("GET", ["v1", "upstreams"]) => upstreams::list(&host),
        ("POST", ["v1", "upstreams", name, "announce"]) => {
            upstreams::announce(&host, name, &received)
        }
        ("POST", ["v1", "upstreams", name, "leave"]) => upstreams::leave(&host, name, &received),
        _ => error(404, "no such path, or not with this method"),
    }
}

/// Body of the answer to a request.
#[derive(Debug, Default, Serialize)]
struct OutcomeBody {
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    attempt: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    answer: Option<Box<RawValue>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
}

async fn run(host: &Arc<EntryHost>, received: &FullRequest, service: &str) -> FullResponse {
    match read_request(host, received, service) {
        Ok(request) => {
            let key = request.key().clone();
            let outcome = request::handle(host, request).await;
            outcome_response(Some(&key), &outcome)
        }
        Err(reason) => {
            let reason = NotRun::new(NotRunCause::BadRequest, reason);
            outcome_response(None, &Outcome::NotRun(reason))
        }
    }
}

/// Builds the response that reports an outcome to the caller.
fn outcome_response(key: Option<&RequestKey>, outcome: &Outcome) -> FullResponse {
    json(outcome.http_status(), &outcome_body(key, Some(outcome)))
}

fn outcome_body(key: Option<&RequestKey>, outcome: Option<&Outcome>) -> OutcomeBody {
    let mut body = OutcomeBody {
        outcome: outcome.map(Outcome::name),
        key: key.map(ToString::to_string),
        ..OutcomeBody::default()
    };
    match outcome {
        Some(Outcome::Done { answer, attempt, upstream_status }) => {
            body.attempt = Some(*attempt);
            body.status = Some(*upstream_status);
            body.answer = Some(raw_json(answer));
        }
        Some(Outcome::NotRun(reason)) => body.reason = Some(reason.to_string()),
        Some(Outcome::Unknown { detail }) => body.reason = Some(detail.clone()),
        None => {}
    }
    body
}

/// Returns an answer unchanged if it is JSON, and as a JSON string otherwise.
fn raw_json(answer: &[u8]) -> Box<RawValue> {
    let text = String::from_utf8_lossy(answer).into_owned();
    RawValue::from_string(text).unwrap_or_else(|_| {
        let text = String::from_utf8_lossy(answer);
        to_raw_value(&text).expect("a string is JSON")
    })
}

fn read_request(
    host: &EntryHost,
    received: &FullRequest,
    service: &str,
) -> Result<CallerRequest, String> {
    let service: ServiceName = service.parse().map_err(to_text)?;
    let organisation = received
        .header(ORGANISATION_HEADER)
        .ok_or("the header Cactuslatch-Organisation is missing")?
        .parse()
        .map_err(to_text)?;
    let class = match received.header("cactuslatch-class") {
        Some(class) => class.parse().map_err(to_text)?,
        None => crate::Class::default(),
    };
    Ok(CallerRequest {
        service,
        organisation,
        class,
        kind: read_kind(host, received)?,
        deadline: Instant::now() + read_timeout(host, received)?,
        body: received.body.clone(),
        caller: request::CallerConnection::default(),
    })
}

fn read_kind(host: &EntryHost, received: &FullRequest) -> Result<RequestKind, String> {
    let key = match received.header("idempotency-key") {
        Some(key) => Some(key.parse::<RequestKey>().map_err(to_text)?),
        None => None,
    };
    match (read_flag(received, "cactuslatch-idempotent")?, key) {
        (true, _) => Ok(RequestKind::Idempotent { key: host.next_key() }),
        (false, Some(key)) => {
            let first_submission = read_flag(received, "cactuslatch-first-submission")?;
            Ok(RequestKind::AtMostOnce { key, first_submission })
        }
        (false, None) => Err("the header Idempotency-Key is missing; it is needed unless \
                              Cactuslatch-Idempotent is true"
            .to_owned()),
    }
}

fn read_flag(received: &FullRequest, name: &str) -> Result<bool, String> {
    match received.header(name) {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(other) => Err(format!("the header {name} is {other:?}; use true or false")),
    }
}

fn read_timeout(host: &EntryHost, received: &FullRequest) -> Result<Duration, String> {
    let max_ms = host.settings.timeouts.request_timeout_ms;
    let millis = match received.header("cactuslatch-timeout-ms") {
        None => max_ms,
        Some(millis) => millis
            .parse()
            .ok()
            .filter(|millis| (1..=max_ms).contains(millis))
            .ok_or_else(|| format!("Cactuslatch-Timeout-Ms is {millis:?}; use 1 to {max_ms}"))?,
    };
    Ok(Duration::from_millis(millis))
}

#[expect(clippy::needless_pass_by_value, reason = "passed as a function to map_err")]
fn to_text(error: impl ToString) -> String {
    error.to_string()
}

/// Parses a JSON body.
///
/// # Errors
/// Returns the response with status 400 if the body cannot be parsed.
fn read_body<T: serde::de::DeserializeOwned>(
    received: &FullRequest,
) -> Result<T, Box<FullResponse>> {
    serde_json::from_slice(&received.body)
        .map_err(|fault| Box::new(error(400, &format!("the body is not valid: {fault}"))))
}
