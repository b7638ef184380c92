//! Sending one attempt to an upstream, and fence calls about an attempt's state.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, TRANSFER_ENCODING};
use hyper::{Request, Response};
use tokio::time::{Instant, timeout};

use super::pool::Connection;
use super::upstreams::Slot;
use crate::names::RequestKey;
use crate::upstream_http::{
    ATTEMPT_HEADER, AttemptState, DEADLINE_HEADER, FENCE_PATH, FenceReply, FenceRequest,
    INCARNATION_HEADER, KEY_HEADER, NOT_STARTED_HEADER, PROBE_PATH, RUN_PATH,
};

/// Largest accepted answer of an upstream.
const ANSWER_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Time limit of a fence call, connecting included.
const FENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// One attempt as it is sent to an upstream.
#[derive(Debug, Clone)]
pub(crate) struct Payload {
    pub(crate) key: RequestKey,
    pub(crate) attempt: u32,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
}

/// A complete answer whose key and attempt number match the attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

/// Result of sending a request.
#[derive(Debug)]
pub(crate) enum SendResult {
    /// The complete answer has arrived.
    Answered(Answer),
    /// The request was certainly not started and never will be.
    NotStarted(String),
    /// The request was sent, at least in part, and no usable answer has arrived.
    Incomplete(String),
}

/// State of an attempt as its upstream reports it to a fence call.
#[derive(Debug)]
pub(crate) enum FenceResult {
    /// The attempt was not started and never will be.
    NotStarted,
    Running,
    Done(Answer),
    /// The upstream gave no usable answer.
    NoAnswer(String),
}

/// Sends the request and receives the answer.
///
/// A reused connection that turns out to be closed before anything was sent is replaced once by a
/// fresh one.
pub(crate) async fn send(slot: &Slot, payload: &Payload) -> SendResult {
    let mut connection = match usable_connection(slot).await {
        Ok(connection) => connection,
        Err(reason) => return SendResult::NotStarted(reason),
    };
    let mut request = run_request(slot, payload);
    loop {
        if let Err(error) = connection.sender.ready().await {
            // The peer closed the connection while it was idle; nothing has been sent on it.
            match replace_reused(slot, &connection).await {
                Some(fresh) => connection = fresh,
                None => {
                    return SendResult::NotStarted(format!(
                        "connection closed before use: {error}"
                    ));
                }
            }
        }
        match connection.sender.try_send_request(request).await {
            Ok(response) => return receive(slot, connection, payload, response).await,
            Err(mut failure) => match failure.take_message() {
                Some(unsent) => match replace_reused(slot, &connection).await {
                    Some(fresh) => (connection, request) = (fresh, unsent),
                    None => {
                        return SendResult::NotStarted("the connection closed before use".into());
                    }
                },
                None => {
                    return SendResult::Incomplete(format!(
                        "connection lost: {}",
                        failure.into_error()
                    ));
                }
            },
        }
    }
}

/// Returns a connection; one that was idle for long is probed, and replaced if the probe fails.
async fn usable_connection(slot: &Slot) -> Result<Connection, String> {
    let connection = slot.connection().await.map_err(|error| error.to_string())?;
    if !connection.needs_probe(slot.pool_times()) {
        return Ok(connection);
    }
    match timeout(slot.pool_times().connect_timeout, probe(slot, connection)).await {
        Ok(Some(connection)) => Ok(connection),
        // The old connection may be dead while new ones still work.
        _ => slot.fresh_connection().await.map_err(|error| error.to_string()),
    }
}

async fn probe(slot: &Slot, mut connection: Connection) -> Option<Connection> {
    connection.sender.ready().await.ok()?;
    let response = connection.sender.send_request(get(slot, PROBE_PATH)).await.ok()?;
    let healthy = response.status().is_success();
    Limited::new(response.into_body(), ANSWER_LIMIT_BYTES).collect().await.ok()?;
    healthy.then_some(connection)
}

/// Opens a fresh connection in place of a closed one, unless that one was fresh itself.
async fn replace_reused(slot: &Slot, failed: &Connection) -> Option<Connection> {
    if !failed.reused {
        return None;
    }
    slot.fresh_connection().await.ok()
}

async fn receive(
    slot: &Slot,
    connection: Connection,
    payload: &Payload,
    response: Response<Incoming>,
) -> SendResult {
    let (parts, body) = response.into_parts();
    if !matches_attempt(&parts.headers, payload) {
        return SendResult::Incomplete("the answer belongs to another request".into());
    }
    // An answer delimited by the end of its connection looks the same as a truncated one.
    if body.size_hint().exact().is_none() && !parts.headers.contains_key(TRANSFER_ENCODING) {
        return SendResult::Incomplete(
            "the answer has neither a content length nor a transfer encoding".into(),
        );
    }
    let body = match Limited::new(body, ANSWER_LIMIT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return SendResult::Incomplete(format!("the answer is truncated: {error}")),
    };
    slot.give_back(connection);
    if parts.headers.get(NOT_STARTED_HEADER).is_some_and(|value| value == "true") {
        let reason = String::from_utf8_lossy(&body).into_owned();
        return SendResult::NotStarted(format!("refused before start: {reason}"));
    }
    let status = parts.status.as_u16();
    if parts.status.is_server_error() {
        return SendResult::Incomplete(format!("the upstream answered with status {status}"));
    }
    SendResult::Answered(Answer { status, body })
}

fn matches_attempt(headers: &HeaderMap, payload: &Payload) -> bool {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    text(KEY_HEADER) == Some(payload.key.to_string().as_str())
        && text(ATTEMPT_HEADER) == Some(payload.attempt.to_string().as_str())
}

fn run_request(slot: &Slot, payload: &Payload) -> Request<Full<Bytes>> {
    let remaining = payload.deadline.saturating_duration_since(Instant::now());
    let builder = Request::post(RUN_PATH)
        .header(HOST, slot.address().to_string())
        .header(CONTENT_TYPE, "application/json")
        .header(KEY_HEADER, payload.key.to_string())
        .header(ATTEMPT_HEADER, payload.attempt)
        .header(INCARNATION_HEADER, slot.incarnation())
        .header(DEADLINE_HEADER, remaining.as_millis().to_string());
    builder.body(Full::new(payload.body.clone())).expect("names and numbers are valid headers")
}

fn get(slot: &Slot, path: &str) -> Request<Full<Bytes>> {
    let builder = Request::get(path).header(HOST, slot.address().to_string());
    builder.body(Full::default()).expect("an address is a valid header")
}

/// Asks the upstream for an attempt's state, over a fresh connection since others may be dead.
///
/// If the attempt has not started by then, the upstream promises never to start it.
pub(crate) async fn fence(slot: &Slot, key: &RequestKey, attempt: u32) -> FenceResult {
    match timeout(FENCE_TIMEOUT, request_fence(slot, key, attempt)).await {
        Ok(Ok(fenced)) => fenced,
        Ok(Err(reason)) => FenceResult::NoAnswer(reason),
        Err(_) => {
            FenceResult::NoAnswer(format!("no answer within {} ms", FENCE_TIMEOUT.as_millis()))
        }
    }
}

async fn request_fence(slot: &Slot, key: &RequestKey, attempt: u32) -> Result<FenceResult, String> {
    let mut connection = slot.fresh_connection().await.map_err(|error| error.to_string())?;
    let fence_request = FenceRequest { key: key.clone(), attempt, incarnation: slot.incarnation() };
    let body = serde_json::to_vec(&fence_request).map_err(|error| error.to_string())?;
    let request = Request::post(FENCE_PATH)
        .header(HOST, slot.address().to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| error.to_string())?;
    let response =
        connection.sender.send_request(request).await.map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(format!("status {}", response.status()));
    }
    let body = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES).collect().await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    let reply: FenceReply = serde_json::from_slice(&body).map_err(|error| error.to_string())?;
    Ok(read_reply(reply))
}

fn read_reply(reply: FenceReply) -> FenceResult {
    match (reply.state, reply.answer) {
        (AttemptState::NotStarted, _) => FenceResult::NotStarted,
        (AttemptState::Running, _) => FenceResult::Running,
        (AttemptState::Done, None) => FenceResult::NoAnswer(
            "the upstream reported an ended attempt without its answer".into(),
        ),
        (AttemptState::Done, Some(answer)) => {
            let body = Bytes::copy_from_slice(answer.get().as_bytes());
            FenceResult::Done(Answer { status: reply.status.unwrap_or(200), body })
        }
    }
}
