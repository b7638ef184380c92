//! HTTP server and response helpers on top of `hyper`.

mod body;
mod open;
mod server;
#[cfg(test)]
mod tests;

pub use open::AcceptPermits;
pub use server::{FullRequest, ServerLimits, serve, serve_within};
pub(crate) use server::{serve_recording_peak, wait_for_stop};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

/// A response with its complete body.
pub type FullResponse = Response<Full<Bytes>>;

/// Builds a JSON response; a value that cannot be serialised gives status 500.
#[must_use]
pub fn json(status: u16, value: &impl Serialize) -> FullResponse {
    match serde_json::to_vec(value) {
        Ok(body) => with_content_type(status, "application/json", body.into()),
        Err(error) => with_content_type(500, "text/plain", error.to_string().into()),
    }
}

/// Builds a plain text response.
#[must_use]
pub fn text(status: u16, body: impl Into<Bytes>) -> FullResponse {
    with_content_type(status, "text/plain; charset=utf-8", body.into())
}

/// Body of a response that reports an error.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Builds a JSON response that reports an error.
#[must_use]
pub fn error(status: u16, message: &str) -> FullResponse {
    json(status, &ErrorBody { error: message })
}

/// Adds a `Retry-After` header, rounded up to whole seconds and at least 1.
#[must_use]
pub fn with_retry_after(mut response: FullResponse, retry_after_ms: u64) -> FullResponse {
    let seconds = retry_after_ms.div_ceil(1_000).max(1);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    response
}

fn with_content_type(status: u16, content_type: &'static str, body: Bytes) -> FullResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
