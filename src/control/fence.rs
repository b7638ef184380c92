//! Queries to upstreams about attempts whose entry host is gone.
//!
//! A query also fences the attempt: an upstream that has not started it never will.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::StepError;
use crate::names::RequestKey;
use crate::upstream_http::{AttemptState, FENCE_PATH, FenceReply, FenceRequest};

/// Time limit for one query to an upstream.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest response of an upstream; entry hosts accept no larger ones either.
const RESPONSE_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// State of an attempt, as reported by its upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum FenceAnswer {
    /// The attempt has not started and never will.
    NotStarted,
    Running,
    Done {
        answer: Bytes,
        status: u16,
    },
}

/// Query about an attempt.
#[derive(Debug, Clone)]
pub(super) struct FenceQuery {
    pub(super) address: String,
    pub(super) key: RequestKey,
    pub(super) attempt: u32,
    pub(super) incarnation: u64,
}

/// Future of an upstream's answer.
pub(super) type FenceFuture = Pin<Box<dyn Future<Output = Result<FenceAnswer, StepError>> + Send>>;

/// Sends a query to an upstream; tests replace it.
pub(super) type FenceFn = Arc<dyn Fn(FenceQuery) -> FenceFuture + Send + Sync>;

/// Returns a function that queries upstreams over HTTP.
pub(super) fn fence_over_http() -> FenceFn {
    Arc::new(|query| Box::pin(send_query(query)))
}

async fn send_query(call: FenceQuery) -> Result<FenceAnswer, StepError> {
    let failed = |fault: Box<dyn std::error::Error + Send + Sync>| {
        StepError::new("fence an attempt", &call.address, fault)
    };
    match timeout(QUERY_TIMEOUT, exchange(&call)).await {
        Ok(answer) => answer.map_err(failed),
        Err(elapsed) => Err(failed(elapsed.into())),
    }
}

async fn exchange(
    call: &FenceQuery,
) -> Result<FenceAnswer, Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(&call.address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = tokio::spawn(connection);
    let FenceQuery { key, attempt, incarnation, .. } = call;
    let query = FenceRequest { key: key.clone(), attempt: *attempt, incarnation: *incarnation };
    let request = Request::builder()
        .method(Method::POST)
        .uri(FENCE_PATH)
        .header(HOST, &call.address)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(serde_json::to_vec(&query)?)))?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), RESPONSE_LIMIT_BYTES).collect().await?.to_bytes();
    connection.abort();
    if !status.is_success() {
        return Err(format!("the upstream responded with status {status}").into());
    }
    parse_reply(&body).map_err(Into::into)
}

/// Parses the response of an upstream.
///
/// # Errors
/// Returns a message for the log if the response is malformed.
pub(super) fn parse_reply(body: &[u8]) -> Result<FenceAnswer, String> {
    let reply: FenceReply = serde_json::from_slice(body).map_err(|fault| fault.to_string())?;
    match (reply.state, reply.answer) {
        (AttemptState::NotStarted, _) => Ok(FenceAnswer::NotStarted),
        (AttemptState::Running, _) => Ok(FenceAnswer::Running),
        (AttemptState::Done, Some(answer)) => Ok(FenceAnswer::Done {
            answer: Bytes::copy_from_slice(answer.get().as_bytes()),
            status: reply.status.unwrap_or(200),
        }),
        (AttemptState::Done, None) => Err("state \"done\" needs an answer".into()),
    }
}
