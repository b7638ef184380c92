//! HTTP server with limits on head time, body time, body size and open connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::body::{BodyBudget, BodyError};
use super::{FullResponse, error};

/// Pause after a failed accept, which prevents a busy loop when file descriptors run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Time after `stop` becomes true in which open connections still accept requests.
const LAST_REQUEST_GRACE: Duration = Duration::from_millis(200);

/// Largest read buffer of a connection, which also limits the size of a request head.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// Limits of one listener.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Time limit for receiving a request head.
    pub head_timeout: Duration,
    /// Time limit for receiving a request body.
    pub body_timeout: Duration,
    /// Largest request body.
    pub body_limit_bytes: usize,
    /// Most bytes of all request bodies together, without the uncounted first bytes of each.
    pub all_bodies_limit_bytes: usize,
    /// Most open connections; further ones wait in the listener's backlog.
    pub max_connections: usize,
}

/// A request with its complete body.
#[derive(Debug)]
pub struct FullRequest {
    /// Request method.
    pub method: Method,
    /// Request target.
    pub uri: Uri,
    /// Request headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl FullRequest {
    /// Returns the value of a header if it is present and visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the non-empty segments of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.uri.path().split('/').filter(|segment| !segment.is_empty()).collect()
    }
}

/// Serves requests until `stop` becomes true, then completes those in flight.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(FullRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    serve_recording_peak(listener, limits, &AtomicUsize::new(0), stop, handler).await;
}

/// Serves like [`serve`] and records the highest number of open connections in `open_peak`.
pub(crate) async fn serve_recording_peak<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    open_peak: &AtomicUsize,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(FullRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let budget = BodyBudget::new(limits.all_bodies_limit_bytes, limits.body_limit_bytes);
    let mut connections = JoinSet::new();
    while let Some((stream, permit)) = accept(&listener, &permits, &mut stop).await {
        let open = limits.max_connections - permits.available_permits();
        open_peak.fetch_max(open, Ordering::AcqRel);
        let bounds = (limits, budget.clone());
        connections.spawn(serve_connection(stream, permit, bounds, stop.clone(), handler.clone()));
        while connections.try_join_next().is_some() {}
    }
    // Closing the listener resets the connections in its backlog, so they are accepted first.
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else { break };
        let bounds = (limits, budget.clone());
        connections.spawn(serve_connection(stream, permit, bounds, stop.clone(), handler.clone()));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Waits for the next connection; returns `None` once `stop` is true.
async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
    stop: &mut watch::Receiver<bool>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    loop {
        let next = async {
            let permit = Arc::clone(permits).acquire_owned().await.ok()?;
            Some((listener.accept().await, permit))
        };
        let (accepted, permit) = tokio::select! {
            next = next => next?,
            () = wait_for_stop(stop) => return None,
        };
        match accepted {
            Ok((stream, _)) => return Some((stream, permit)),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
}

/// Waits until `stop` becomes true or its sender is dropped.
pub(crate) async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    _ = stop.wait_for(|stopped| *stopped).await;
}

/// Waits until `stop` becomes true and then for [`LAST_REQUEST_GRACE`].
///
/// Closing an idle connection at once would drop a request that its peer is just sending.
async fn wait_for_stop_and_grace(stop: &mut watch::Receiver<bool>) {
    wait_for_stop(stop).await;
    tokio::time::sleep(LAST_REQUEST_GRACE).await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    (limits, budget): (ServerLimits, BodyBudget),
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(FullRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    // Without this, a response sent in two writes can wait for the peer's delayed acknowledgement.
    _ = stream.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let (handler, budget) = (handler.clone(), budget.clone());
        async move { Ok::<_, Infallible>(respond(request, limits, &budget, handler).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(READ_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => {}
        () = wait_for_stop_and_grace(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            _ = connection.await;
        }
    }
    drop(permit);
}

async fn respond<H, F>(
    request: Request<Incoming>,
    limits: ServerLimits,
    budget: &BodyBudget,
    handler: H,
) -> FullResponse
where
    H: Fn(FullRequest) -> F,
    F: Future<Output = FullResponse>,
{
    let (parts, body) = request.into_parts();
    let body = match timeout(limits.body_timeout, budget.receive(body)).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return refuse_body(&error, limits),
        Err(_) => {
            let millis = limits.body_timeout.as_millis();
            return not_dispatched(408, &format!("the body was not received within {millis} ms"));
        }
    };
    let (method, uri, headers) = (parts.method, parts.uri, parts.headers);
    let received = FullRequest { method, uri, headers, body: body.bytes.clone() };
    // The body counts against the budget until the handler has finished.
    let response = handler(received).await;
    drop(body);
    response
}

fn refuse_body(reason: &BodyError, limits: ServerLimits) -> FullResponse {
    match reason {
        BodyError::TooLarge => {
            let bytes = limits.body_limit_bytes;
            not_dispatched(413, &format!("the body is larger than {bytes} bytes"))
        }
        BodyError::BudgetExhausted => {
            not_dispatched(503, "the memory budget of this host for request bodies is exhausted")
        }
        BodyError::Read(error) => {
            not_dispatched(400, &format!("the body could not be read: {error}"))
        }
    }
}

fn not_dispatched(status: u16, reason: &str) -> FullResponse {
    error(status, &format!("{reason}; this submission was not dispatched"))
}
