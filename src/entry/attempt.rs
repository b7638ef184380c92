//! One attempt at one upstream, and the question how an attempt ended.

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
    KEY_HEADER, NOT_STARTED_HEADER, PROBE_PATH, RUN_PATH,
};

/// Largest answer taken from an upstream.
const ANSWER_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Time for an upstream to answer a probe or a question about an attempt.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// What is sent to an upstream.
#[derive(Debug, Clone)]
pub(crate) struct Payload {
    pub(crate) key: RequestKey,
    pub(crate) attempt: u32,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
}

/// A whole answer that belongs to the attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

/// How sending a request ended.
#[derive(Debug)]
pub(crate) enum Sent {
    /// The whole answer has arrived.
    Answered(Answer),
    /// The request certainly was not started and will not be.
    NotStarted(String),
    /// Something was sent and no whole answer has arrived.
    Broken(String),
}

/// What an upstream says of an attempt.
#[derive(Debug)]
pub(crate) enum Fenced {
    /// It was not started and never will be.
    NotStarted,
    Running,
    Done(Answer),
    /// The upstream gave no usable answer.
    Silent(String),
}

/// Sends the request and receives the answer.
pub(crate) async fn send(slot: &Slot, payload: &Payload) -> Sent {
    let mut connection = match usable_connection(slot).await {
        Ok(connection) => connection,
        Err(reason) => return Sent::NotStarted(reason),
    };
    let mut request = run_request(slot, payload);
    loop {
        if let Err(error) = connection.sender.ready().await {
            // The peer has closed an idle connection; nothing has been sent on it.
            match retry_fresh(slot, &connection).await {
                Some(fresh) => connection = fresh,
                None => return Sent::NotStarted(format!("connection closed before use: {error}")),
            }
        }
        match connection.sender.try_send_request(request).await {
            Ok(response) => return receive(slot, connection, payload, response).await,
            Err(mut failure) => match failure.take_message() {
                Some(unsent) => match retry_fresh(slot, &connection).await {
                    Some(fresh) => (connection, request) = (fresh, unsent),
                    None => return Sent::NotStarted("the connection closed before use".into()),
                },
                None => return Sent::Broken(format!("connection lost: {}", failure.into_error())),
            },
        }
    }
}

/// Takes a connection and probes it first if it was idle for long.
async fn usable_connection(slot: &Slot) -> Result<Connection, String> {
    let connection = slot.connection().await.map_err(|error| error.to_string())?;
    if !connection.needs_probe(slot.pool_times()) {
        return Ok(connection);
    }
    match timeout(slot.pool_times().connect_timeout, probe(slot, connection)).await {
        Ok(Some(connection)) => Ok(connection),
        // The connection may have gone silent while new ones work.
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

async fn retry_fresh(slot: &Slot, failed: &Connection) -> Option<Connection> {
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
) -> Sent {
    let (parts, body) = response.into_parts();
    if !repeats_identity(&parts.headers, payload) {
        return Sent::Broken("the answer belongs to another request".into());
    }
    // An answer that ends with its connection cannot be told from a truncated one.
    if body.size_hint().exact().is_none() && !parts.headers.contains_key(TRANSFER_ENCODING) {
        return Sent::Broken("the answer states no length".into());
    }
    let body = match Limited::new(body, ANSWER_LIMIT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return Sent::Broken(format!("the answer is truncated: {error}")),
    };
    slot.give_back(connection);
    if parts.headers.get(NOT_STARTED_HEADER).is_some_and(|value| value == "true") {
        let reason = String::from_utf8_lossy(&body).into_owned();
        return Sent::NotStarted(format!("refused before start: {reason}"));
    }
    let status = parts.status.as_u16();
    if parts.status.is_server_error() {
        return Sent::Broken(format!("the upstream answered with status {status}"));
    }
    Sent::Answered(Answer { status, body })
}

fn repeats_identity(headers: &HeaderMap, payload: &Payload) -> bool {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    text(KEY_HEADER) == Some(payload.key.to_string().as_str())
        && text(ATTEMPT_HEADER) == Some(payload.attempt.to_string().as_str())
}

fn run_request(slot: &Slot, payload: &Payload) -> Request<Full<Bytes>> {
    let left = payload.deadline.saturating_duration_since(Instant::now());
    let builder = Request::post(RUN_PATH)
        .header(HOST, slot.address().to_string())
        .header(CONTENT_TYPE, "application/json")
        .header(KEY_HEADER, payload.key.to_string())
        .header(ATTEMPT_HEADER, payload.attempt)
        .header(DEADLINE_HEADER, left.as_millis().to_string());
    builder.body(Full::new(payload.body.clone())).expect("names and numbers are valid headers")
}

fn get(slot: &Slot, path: &str) -> Request<Full<Bytes>> {
    let builder = Request::get(path).header(HOST, slot.address().to_string());
    builder.body(Full::default()).expect("an address is a valid header")
}

/// Asks the upstream on a fresh connection how an attempt stands, and fences it if not started.
pub(crate) async fn fence(slot: &Slot, key: &RequestKey, attempt: u32) -> Fenced {
    match timeout(ASK_TIMEOUT, ask(slot, key, attempt)).await {
        Ok(Ok(fenced)) => fenced,
        Ok(Err(reason)) => Fenced::Silent(reason),
        Err(_) => Fenced::Silent(format!("no answer within {} ms", ASK_TIMEOUT.as_millis())),
    }
}

async fn ask(slot: &Slot, key: &RequestKey, attempt: u32) -> Result<Fenced, String> {
    let mut connection = slot.fresh_connection().await.map_err(|error| error.to_string())?;
    let question = FenceRequest { key: key.clone(), attempt, incarnation: slot.incarnation() };
    let body = serde_json::to_vec(&question).map_err(|error| error.to_string())?;
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

fn read_reply(reply: FenceReply) -> Fenced {
    match (reply.state, reply.answer) {
        (AttemptState::NotStarted, _) => Fenced::NotStarted,
        (AttemptState::Running, _) => Fenced::Running,
        (AttemptState::Done, None) => Fenced::Silent("an ended attempt without an answer".into()),
        (AttemptState::Done, Some(answer)) => {
            let body = Bytes::copy_from_slice(answer.get().as_bytes());
            Fenced::Done(Answer { status: reply.status.unwrap_or(200), body })
        }
    }
}
