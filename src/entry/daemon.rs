//! Start and graceful shutdown of an entry host.

use std::sync::Arc;
use std::time::Duration;

use hyper::header::{CONNECTION, HeaderValue};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;
use tracing::{info, warn};

use super::{EntryHost, api, peers, sync};
use crate::config::EntrySettings;
use crate::error::StepError;
use crate::http::{self, FullRequest, FullResponse, ServerLimits, wait_for_stop};
use crate::rpc::entry_server::EntryServer;

/// Largest accepted body on the admin port.
const ADMIN_BODY_LIMIT_BYTES: usize = 4 * 1024;
/// Most bytes of large request bodies held at once; the whole process has a budget of 128 MB.
const BODIES_LIMIT_BYTES: usize = 32 * 1024 * 1024;
/// Most connections open on the admin port.
const ADMIN_CONNECTIONS_MAX: usize = 32;

/// A running entry host.
#[derive(Debug)]
pub struct RunningEntry {
    drain: watch::Sender<bool>,
    task: JoinHandle<()>,
}

/// Starts the graceful shutdown of a running host.
#[derive(Debug, Clone)]
pub struct DrainHandle(watch::Sender<bool>);

impl DrainHandle {
    /// Starts the shutdown; further calls have no effect.
    pub fn start(&self) {
        self.0.send_replace(true);
    }
}

impl RunningEntry {
    /// Returns a handle with which another task starts the graceful shutdown.
    #[must_use]
    pub fn drain_handle(&self) -> DrainHandle {
        DrainHandle(self.drain.clone())
    }

    /// Waits until the host has ended.
    pub async fn ended(self) {
        _ = self.task.await;
    }
}

/// Binds the ports of an entry host and starts it.
///
/// # Errors
/// Returns an error if a port cannot be bound.
pub async fn start(settings: EntrySettings) -> Result<RunningEntry, StepError> {
    let callers = bind("listen for callers", settings.caller_address).await?;
    let peers = bind("listen for entry hosts", settings.peer_address).await?;
    let admin = bind("listen for operators", settings.admin_address).await?;
    let (drain, _) = watch::channel(false);
    let host = Arc::new(EntryHost::new(settings));
    info!(host = %host.settings.host, data_centre = %host.settings.data_centre, "started");
    let task = tokio::spawn(run(host, callers, peers, admin, drain.clone()));
    Ok(RunningEntry { drain, task })
}

async fn bind(step: &'static str, address: std::net::SocketAddr) -> Result<TcpListener, StepError> {
    TcpListener::bind(address).await.map_err(|error| StepError::new(step, address, error))
}

async fn run(
    host: Arc<EntryHost>,
    callers: TcpListener,
    peers: TcpListener,
    admin: TcpListener,
    drain: watch::Sender<bool>,
) {
    let (stop_callers, _) = watch::channel(false);
    let (stop_background, _) = watch::channel(false);
    let background = [
        tokio::spawn(sync::watch_control(Arc::clone(&host), stop_background.subscribe())),
        tokio::spawn(sync::maintain_upstreams(Arc::clone(&host), stop_background.subscribe())),
        tokio::spawn(sync::relay(Arc::clone(&host), stop_background.subscribe())),
        tokio::spawn(serve_peers(Arc::clone(&host), peers, stop_background.subscribe())),
        tokio::spawn(serve_admin(
            Arc::clone(&host),
            admin,
            drain.clone(),
            stop_background.subscribe(),
        )),
    ];
    let serving = tokio::spawn(serve_callers(Arc::clone(&host), callers, stop_callers.subscribe()));
    wait_for_stop(&mut drain.subscribe()).await;
    host.start_draining();
    info!(host = %host.settings.host, "draining: health fails, requests are still accepted");
    sleep(Duration::from_millis(host.settings.timeouts.balancer_notice_ms)).await;
    stop_callers.send_replace(true);
    let limit = Duration::from_millis(host.settings.timeouts.drain_timeout_ms);
    if timeout(limit, serving).await.is_err() {
        warn!(host = %host.settings.host, "requests were still in flight at the drain timeout");
    }
    stop_background.send_replace(true);
    for task in background {
        _ = timeout(limit, task).await;
    }
    info!(host = %host.settings.host, "ended");
}

async fn serve_callers(host: Arc<EntryHost>, listener: TcpListener, stop: watch::Receiver<bool>) {
    let timeouts = &host.settings.timeouts;
    let limits = ServerLimits {
        head_timeout: Duration::from_millis(timeouts.head_timeout_ms),
        body_timeout: Duration::from_millis(timeouts.body_timeout_ms),
        body_limit_bytes: host.settings.limits.body_limit_bytes,
        all_bodies_limit_bytes: BODIES_LIMIT_BYTES.max(host.settings.limits.body_limit_bytes),
        max_connections: host.settings.limits.max_connections,
    };
    let handler = move |received| answer_caller(Arc::clone(&host), received);
    http::serve(listener, limits, stop, handler).await;
}

/// Handles a caller's request.
///
/// A draining host asks the caller to close the connection, so that the next one is opened at
/// another host.
async fn answer_caller(host: Arc<EntryHost>, received: FullRequest) -> FullResponse {
    let mut response = api::handle(Arc::clone(&host), received).await;
    if host.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn serve_peers(host: Arc<EntryHost>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let server = peers::PeerServer { host };
    let result = Server::builder()
        .tcp_nodelay(true)
        .add_service(EntryServer::new(server))
        .serve_with_incoming_shutdown(TcpListenerStream::new(listener), async move {
            wait_for_stop(&mut stop).await;
        })
        .await;
    if let Err(error) = result {
        warn!(%error, "the server for other entry hosts failed");
    }
}

async fn serve_admin(
    host: Arc<EntryHost>,
    listener: TcpListener,
    drain: watch::Sender<bool>,
    stop: watch::Receiver<bool>,
) {
    let limits = ServerLimits {
        head_timeout: Duration::from_millis(host.settings.timeouts.head_timeout_ms),
        body_timeout: Duration::from_millis(host.settings.timeouts.body_timeout_ms),
        body_limit_bytes: ADMIN_BODY_LIMIT_BYTES,
        all_bodies_limit_bytes: ADMIN_BODY_LIMIT_BYTES,
        max_connections: ADMIN_CONNECTIONS_MAX,
    };
    http::serve(listener, limits, stop, move |received| {
        let response = handle_admin(&host, &drain, &received);
        std::future::ready(response)
    })
    .await;
}

fn handle_admin(
    host: &EntryHost,
    drain: &watch::Sender<bool>,
    received: &FullRequest,
) -> FullResponse {
    match (received.method.as_str(), received.uri.path()) {
        ("GET", "/health") if host.is_draining() => http::text(503, "draining\n"),
        ("GET", "/health") => http::text(200, "ok\n"),
        ("GET", "/metrics") => {
            let (parked, age_ms) = (host.upstreams.parked(), host.documents.age_ms());
            http::text(200, host.metrics.render(parked, age_ms))
        }
        ("POST", "/drain") => {
            drain.send_replace(true);
            http::text(202, "draining\n")
        }
        _ => http::error(404, "use GET /health, GET /metrics or POST /drain"),
    }
}
