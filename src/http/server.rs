//! HTTP server with limits on head time, body time, body size and open connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::body::{BodyBudget, BodyError};
use super::open::{AcceptPermits, Lifetime, OpenConnections, Registration};
use super::{FullResponse, error};

/// Pause after a failed accept, which prevents a busy loop when file descriptors run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Pause before another look for a permit, while all connections are in use.
const PERMIT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Time that an evicted connection gets to end in an orderly way.
const EVICTION_GRACE: Duration = Duration::from_millis(200);

/// Time after `stop` becomes true in which open connections still accept requests.
const LAST_REQUEST_GRACE: Duration = Duration::from_millis(200);

/// Largest read buffer of a connection, which also limits the size of a request head.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// Permit of an open connection, and how long it is served.
type Permitted = (Box<dyn Send>, Lifetime);

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
    /// Most open connections. At this limit idle ones are closed, and further ones wait in the listener's
    /// backlog.
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
    let permits = AcceptPermits::up_to(limits.max_connections);
    serve_within(listener, limits, permits, stop, handler).await;
}

/// Serves like [`serve`], with permits that the listener shares with other uses of connections.
pub async fn serve_within<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    permits: AcceptPermits,
    stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(FullRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    serve_all(listener, limits, permits, &AtomicUsize::new(0), stop, handler).await;
}

/// Serves like [`serve`] and records the highest number of open connections in `open_peak`.
pub(crate) async fn serve_recording_peak<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    open_peak: &AtomicUsize,
    stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(FullRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    let permits = AcceptPermits::up_to(limits.max_connections);
    serve_all(listener, limits, permits, open_peak, stop, handler).await;
}

async fn serve_all<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    permits: AcceptPermits,
    open_peak: &AtomicUsize,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(FullRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    let open = OpenConnections::new();
    let budget = BodyBudget::new(limits.all_bodies_limit_bytes, limits.body_limit_bytes);
    let mut connections = JoinSet::new();
    while let Some((stream, permit)) = accept(&listener, &permits, &open, &mut stop).await {
        let registration = open.register();
        open_peak.fetch_max(open.count(), Ordering::AcqRel);
        let held = (permit, registration);
        let bounds = (limits, budget.clone());
        connections.spawn(serve_connection(stream, held, bounds, stop.clone(), handler.clone()));
        while connections.try_join_next().is_some() {}
    }
    // Closing the listener resets the connections in its backlog, so they are accepted first.
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        let Some(permit) = permits.try_acquire() else { break };
        let held = (permit, open.register());
        let bounds = (limits, budget.clone());
        connections.spawn(serve_connection(stream, held, bounds, stop.clone(), handler.clone()));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Waits for the next connection; returns `None` once `stop` is true.
async fn accept(
    listener: &TcpListener,
    permits: &AcceptPermits,
    open: &OpenConnections,
    stop: &mut watch::Receiver<bool>,
) -> Option<(TcpStream, Permitted)> {
    loop {
        let next = async {
            let permit = permit(permits, open).await;
            (listener.accept().await, permit)
        };
        let (accepted, permit) = tokio::select! {
            next = next => next,
            () = permits.reclaimed() => {
                open.evict_idle();
                continue;
            }
            () = wait_for_stop(stop) => return None,
        };
        match accepted {
            Ok((stream, _)) => return Some((stream, permit)),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
}

/// Waits for a permit; idle connections make room for it.
async fn permit(permits: &AcceptPermits, open: &OpenConnections) -> Permitted {
    loop {
        let permit = permits.try_acquire();
        if !permit.as_ref().is_some_and(|(_, lifetime)| *lifetime == Lifetime::KeptAlive) {
            open.evict_idle();
        }
        match permit {
            Some(permit) => return permit,
            None => tokio::time::sleep(PERMIT_RETRY_PAUSE).await,
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
    ((permit, lifetime), registration): (Permitted, Registration),
    (limits, budget): (ServerLimits, BodyBudget),
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(FullRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    // Without this, a response sent in two writes can wait for the peer's delayed acknowledgement.
    _ = stream.set_nodelay(true);
    let activity = &registration.activity;
    let request_activity = Arc::clone(activity);
    let service = service_fn(move |request: Request<Incoming>| {
        let (handler, budget) = (handler.clone(), budget.clone());
        let activity = Arc::clone(&request_activity);
        async move {
            activity.set_busy(true);
            let mut response = respond(request, limits, &budget, handler).await;
            if lifetime == Lifetime::OneRequest {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            activity.set_busy(false);
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(READ_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => {}
        () = activity.evicted.notified() => {
            connection.as_mut().graceful_shutdown();
            let ended = timeout(EVICTION_GRACE, connection.as_mut()).await.is_ok();
            // A request may have arrived just before.
            if !ended && activity.is_busy() {
                _ = connection.await;
            }
        }
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
