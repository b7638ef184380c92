//! Finding out what became of attempts whose entry host is gone.

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

/// Time for one question to an upstream.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer of an upstream, in bytes; entry hosts accept no larger ones either.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// What an upstream says about an attempt.
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

/// The attempt to ask about.
#[derive(Debug, Clone)]
pub(super) struct FenceCall {
    pub(super) address: String,
    pub(super) key: RequestKey,
    pub(super) attempt: u32,
    pub(super) incarnation: u64,
}

/// Answer of an upstream that arrives later.
pub(super) type FenceFuture = Pin<Box<dyn Future<Output = Result<FenceAnswer, StepError>> + Send>>;

/// A way to ask upstreams; tests replace it.
pub(super) type Fence = Arc<dyn Fn(FenceCall) -> FenceFuture + Send + Sync>;

/// Asks upstreams over HTTP.
pub(super) fn over_http() -> Fence {
    Arc::new(|call| Box::pin(ask(call)))
}

async fn ask(call: FenceCall) -> Result<FenceAnswer, StepError> {
    let failed = |fault: Box<dyn std::error::Error + Send + Sync>| {
        StepError::new("fence an attempt", &call.address, fault)
    };
    match timeout(ASK_TIMEOUT, exchange(&call)).await {
        Ok(answer) => answer.map_err(failed),
        Err(elapsed) => Err(failed(elapsed.into())),
    }
}

async fn exchange(
    call: &FenceCall,
) -> Result<FenceAnswer, Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(&call.address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = tokio::spawn(connection);
    let FenceCall { key, attempt, incarnation, .. } = call;
    let question = FenceRequest { key: key.clone(), attempt: *attempt, incarnation: *incarnation };
    let request = Request::builder()
        .method(Method::POST)
        .uri(FENCE_PATH)
        .header(HOST, &call.address)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(serde_json::to_vec(&question)?)))?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES).collect().await?.to_bytes();
    connection.abort();
    if !status.is_success() {
        return Err(format!("the upstream answered with status {status}").into());
    }
    read_reply(&body).map_err(Into::into)
}

/// Reads the upstream's answer.
///
/// # Errors
/// Returns a sentence for the log if the answer has another form.
pub(super) fn read_reply(body: &[u8]) -> Result<FenceAnswer, String> {
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
