//! A small HTTP client for callers and operators.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use crate::error::StepError;

/// Timeout of a whole call; longer than any request may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A blocking client of one entry host.
#[derive(Debug, Clone)]
pub struct Client {
    agent: ureq::Agent,
    address: SocketAddr,
}

/// Status and body of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body, or null if it was not JSON.
    pub body: Value,
}

impl Reply {
    /// Returns the outcome in the body, or an empty string if there is none.
    #[must_use]
    pub fn outcome(&self) -> &str {
        self.body["outcome"].as_str().unwrap_or_default()
    }
}

impl Client {
    /// Builds a client of the host at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self { agent: config.into(), address }
    }

    /// Sends a call with a body.
    ///
    /// # Errors
    /// Returns an error if no answer arrives.
    pub fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Reply, StepError> {
        let failed = |error: ureq::Error| StepError::new("call entry host", self.address, error);
        let builder = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        let builder =
            headers.iter().fold(builder, |builder, (name, value)| builder.header(*name, *value));
        let request = builder
            .body(body.to_owned())
            .map_err(|error| StepError::new("build call", self.address, error))?;
        let mut response = self.agent.run(request).map_err(failed)?;
        let status = response.status().as_u16();
        let text = response.body_mut().read_to_string().map_err(failed)?;
        Ok(Reply { status, body: serde_json::from_str(&text).unwrap_or(Value::Null) })
    }

    /// Sends a `GET` without headers.
    ///
    /// # Errors
    /// Returns an error if no answer arrives.
    pub fn get(&self, path: &str) -> Result<Reply, StepError> {
        self.send("GET", path, &[], "")
    }
}
