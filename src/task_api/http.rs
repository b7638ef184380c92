//! HTTP requests of callers, operators and upstreams, and the responses to them.

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use hyper::header::AUTHORIZATION;
use serde::Serialize;
use tracing::{info, warn};

use super::documents::{read_configuration, read_job};
use super::orders::LeaveRequest;
use crate::cluster::{
    Action, ClientFault, Control, EvacuationStatus, FrontCall, FrontReply, OperatorReply, Reply,
    Request,
};
use crate::http::{FullRequest, FullResponse, error, json, text, with_retry_after};
use crate::tasks::{Heartbeat, JobState};

/// Timeout of a request without the header [`TIMEOUT_HEADER`].
const DEFAULT_TIMEOUT_MS: u64 = 3_000;

/// Largest timeout of a request; larger ones in [`TIMEOUT_HEADER`] are reduced to it.
const TIMEOUT_MAX_MS: u64 = 60_000;

/// Header with the caller's timeout in milliseconds.
const TIMEOUT_HEADER: &str = "Cactuslatch-Timeout-Ms";

/// Time after which a caller may retry if no leader or no configuration was available.
const NO_LEADER_RETRY_MS: u64 = 1_000;

/// Time after which an upstream whose runs are being stopped may ask to leave again.
const RUNS_REMAIN_RETRY_MS: u64 = 1_000;

#[derive(Debug, Serialize)]
struct StateBody {
    state: &'static str,
}

#[derive(Debug, Serialize)]
struct WaitingBody {
    waiting_jobs: u64,
}

#[derive(Debug, Serialize)]
struct EvacuationsBody {
    evacuations: Vec<EvacuationStatus>,
}

/// Handles a request.
pub(super) async fn handle(control: Arc<Control>, received: FullRequest) -> FullResponse {
    let method = received.method.clone();
    let path = received.uri.path().to_owned();
    let timeout = requested_timeout(&received);
    let request = match parse_request(&received) {
        Ok(Some(request)) => request,
        Ok(None) if path == "/metrics" => return text(200, control.metrics_text()),
        Ok(None) => return error(404, "no such interface"),
        Err(reason) => {
            warn!(%method, path, reason, "request is invalid");
            return error(422, &reason);
        }
    };
    let is_heartbeat = matches!(request, Request::Heartbeat(_));
    let reply = match request {
        Request::Evacuate { data_centre, begin, .. } => {
            control.evacuate(data_centre, begin, timeout).await
        }
        request => control.call(request, timeout).await,
    };
    let response = response_to(reply);
    let status = response.status().as_u16();
    if status >= 400 {
        warn!(%method, path, status, "call was not served");
    } else if method != Method::GET && !is_heartbeat {
        info!(%method, path, status, "call was served");
    }
    response
}

fn requested_timeout(received: &FullRequest) -> Duration {
    let requested_ms = received.header(TIMEOUT_HEADER).and_then(|text| text.parse().ok());
    Duration::from_millis(requested_ms.unwrap_or(DEFAULT_TIMEOUT_MS).clamp(1, TIMEOUT_MAX_MS))
}

/// Converts an HTTP request to a request for the leader; returns `None` for unknown paths and
/// methods.
fn parse_request(received: &FullRequest) -> Result<Option<Request>, String> {
    let body = || std::str::from_utf8(&received.body).map_err(|fault| fault.to_string());
    let request = match (received.method.as_str(), received.segments().as_slice()) {
        ("PUT", ["v1", "configuration"]) => {
            let configuration = read_configuration(body()?).map_err(|fault| fault.to_string())?;
            let raw = received.body.clone();
            Request::SetConfiguration { configuration: Arc::new(configuration), raw }
        }
        ("GET", ["v1", "configuration"]) => Request::ReadConfiguration,
        ("GET", ["v1", "evacuations"]) => Request::Evacuations,
        ("PUT", ["v1", "evacuations", name]) => evacuate(name, true),
        ("DELETE", ["v1", "evacuations", name]) => evacuate(name, false),
        ("POST", ["v1", "upstreams", id, "heartbeat"]) => {
            let heartbeat: Heartbeat =
                serde_json::from_slice(&received.body).map_err(|fault| fault.to_string())?;
            if &*heartbeat.id != *id {
                return Err(format!("the heartbeat of {} names {id} in its path", heartbeat.id));
            }
            Request::Heartbeat(heartbeat)
        }
        ("POST", ["v1", "upstreams", id, "leave"]) => {
            let leave: LeaveRequest =
                serde_json::from_slice(&received.body).map_err(|fault| fault.to_string())?;
            Request::Deregister { id: (*id).into(), born_unix_ms: Some(leave.born_unix_ms) }
        }
        (method, ["v1", "queues", _, "jobs", ..]) => {
            let Some(action) = parse_action(method, body()?)? else { return Ok(None) };
            let authorization = received.header(AUTHORIZATION.as_str());
            let key =
                authorization.and_then(|text| text.strip_prefix("Bearer ")).map(str::to_owned);
            let path = received.uri.path().to_owned();
            // Queues of this interface are configured with an empty host.
            Request::Front(FrontCall { host: String::new(), path, key, action })
        }
        _ => return Ok(None),
    };
    Ok(Some(request))
}

/// Returns a request of an operator for a data centre; the host that takes it sets the revision.
fn evacuate(data_centre: &str, begin: bool) -> Request {
    Request::Evacuate { data_centre: data_centre.into(), begin, revision: 0 }
}

fn parse_action(method: &str, body: &str) -> Result<Option<Action>, String> {
    Ok(match method {
        "POST" => {
            let spec = read_job(body).map_err(|fault| fault.to_string())?;
            Some(Action::Submit { spec: Arc::new(spec) })
        }
        "GET" => Some(Action::Status),
        "DELETE" => Some(Action::Cancel),
        _ => None,
    })
}

fn response_to(reply: Result<Reply, ClientFault>) -> FullResponse {
    match reply {
        Ok(Reply::Front(reply)) => front_response(reply),
        Ok(Reply::Operator(OperatorReply::Configuration(raw))) if raw.is_empty() => {
            error(404, "there is no configuration yet")
        }
        Ok(Reply::Operator(OperatorReply::Configuration(raw))) => text(200, raw),
        Ok(Reply::Operator(OperatorReply::Invalid { reason })) => error(422, &reason),
        Ok(Reply::Operator(OperatorReply::Done) | Reply::Done) => {
            json(200, &StateBody { state: "stored" })
        }
        Ok(Reply::Evacuations(evacuations)) => json(200, &EvacuationsBody { evacuations }),
        Ok(Reply::RunsRemain) => {
            let response = error(503, "runs of the upstream have not ended yet");
            with_retry_after(response, RUNS_REMAIN_RETRY_MS)
        }
        Ok(_) => error(502, "control sent a reply of another kind"),
        Err(ClientFault::NotDelivered) => {
            let response = error(503, "no leader of control is in reach; nothing was accepted");
            with_retry_after(response, NO_LEADER_RETRY_MS)
        }
        Err(ClientFault::Unknown) => {
            error(504, "it is not known whether the request was carried out; ask again")
        }
    }
}

fn front_response(reply: FrontReply) -> FullResponse {
    match reply {
        FrontReply::Accepted => json(202, &StateBody { state: "accepted" }),
        FrontReply::Cancelled => json(200, &StateBody { state: "cancelled or ended" }),
        FrontReply::NotAccepted { retry_after_ms, reason } => {
            with_retry_after(error(503, &reason), retry_after_ms)
        }
        FrontReply::State(state) => json(200, &StateBody { state: state_name(state) }),
        FrontReply::Pending(waiting_jobs) => json(200, &WaitingBody { waiting_jobs }),
        FrontReply::NoJob => error(404, "no such job, or it ended long ago"),
        FrontReply::CancelledBefore => {
            error(410, "the job was cancelled before it arrived; nothing was accepted")
        }
        FrontReply::NoQueue => error(404, "no such queue"),
        FrontReply::BadKey => error(401, "the key in the header Authorization is unknown"),
        FrontReply::Invalid { reason } => error(422, &reason),
        FrontReply::NotConfigured => {
            with_retry_after(error(503, "there is no configuration yet"), NO_LEADER_RETRY_MS)
        }
    }
}

fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Queued => "queued",
        JobState::Active => "active",
        JobState::Completed => "completed",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    }
}
