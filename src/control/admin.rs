//! HTTP endpoints for health and metrics.

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::http::{FullRequest, FullResponse, ServerLimits, error, json, serve, text};

use super::core::Core;

const LIMITS: ServerLimits = ServerLimits {
    head_timeout: Duration::from_secs(5),
    body_timeout: Duration::from_secs(5),
    body_limit_bytes: 4096,
    all_bodies_limit_bytes: 4096,
    max_connections: 32,
};

#[derive(Serialize)]
struct Health {
    epoch: u64,
    /// Error that stopped the journal, if any; nothing durable is accepted then.
    journal: Option<String>,
}

/// Serves the admin port until `stop` becomes true.
pub(super) async fn run(core: Arc<Core>, listener: TcpListener, stop: watch::Receiver<bool>) {
    serve(listener, LIMITS, stop, move |request| {
        let response = respond(&core, &request);
        async move { response }
    })
    .await;
}

fn respond(core: &Core, request: &FullRequest) -> FullResponse {
    match (&request.method, request.uri.path()) {
        (&Method::GET, "/health") => health(core),
        (&Method::GET, "/metrics") => text(200, core.metrics.text(core)),
        _ => error(404, "use GET /health or GET /metrics"),
    }
}

fn health(core: &Core) -> FullResponse {
    let journal = core.journal.check().err().map(|fault| fault.to_string());
    let status = if journal.is_none() { 200 } else { 503 };
    json(status, &Health { epoch: core.epoch, journal })
}
