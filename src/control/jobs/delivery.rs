//! Delivery of gang messages over HTTP.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::BoxFuture;
use crate::error::StepError;
use crate::upstream_http::{GangReply, GangRequest};

/// Largest accepted answer of an upstream.
const ANSWER_LIMIT_BYTES: usize = 1024 * 1024;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Sends a message to an upstream on a new connection.
///
/// Unlike a pooled connection, a new one cannot be stale. Dropping the future closes it.
pub(crate) fn deliver_http(
    address: SocketAddr,
    request: GangRequest,
) -> BoxFuture<Result<GangReply, StepError>> {
    Box::pin(async move {
        exchange(address, &request)
            .await
            .map_err(|error| StepError::new("send a gang message", address, error))
    })
}

async fn exchange(address: SocketAddr, request: &GangRequest) -> Result<GangReply, BoxError> {
    let message = Request::post(request.path())
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(request.to_body()?)))?;
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
    let answer = async {
        let response = sender.send_request(message).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES).collect().await?;
        Ok::<_, BoxError>((status, body.to_bytes()))
    };
    tokio::pin!(answer, driver);
    let (status, body) = tokio::select! {
        answer = answer.as_mut() => answer?,
        // The peer may close the connection right after its answer.
        _ = driver.as_mut() => answer.await?,
    };
    match status {
        StatusCode::OK | StatusCode::CONFLICT => Ok(serde_json::from_slice(&body)?),
        other => Err(format!("status {other}").into()),
    }
}
