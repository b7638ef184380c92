//! A server that bounds head time, body time, body size and open connections.

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

use super::body::{BodyFault, BodyRoom};
use super::{FullResponse, error};

/// Pause after a failed accept, so that a lack of file handles does not become a busy loop.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Time after the stop in which a request that is on its way over an open connection is taken.
const LAST_REQUEST_PAUSE: Duration = Duration::from_millis(200);

/// Largest read buffer of a connection, which also bounds the size of a head.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// Bounds on what one listener takes from its peers.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Time for a peer to send a request head.
    pub head_timeout: Duration,
    /// Time for a peer to send a request body.
    pub body_timeout: Duration,
    /// Largest request body.
    pub body_limit_bytes: usize,
    /// Most bytes of large bodies of all requests together.
    pub all_bodies_limit_bytes: usize,
    /// Most connections open at once; further ones wait in the listener's backlog.
    pub max_connections: usize,
}

/// A request whose body has been received whole.
#[derive(Debug)]
pub struct FullRequest {
    /// Method.
    pub method: Method,
    /// Target.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl FullRequest {
    /// Returns a header as text, if it is present and readable.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the parts of the path between slashes.
    pub fn segments(&self) -> Vec<&str> {
        self.uri.path().split('/').filter(|part| !part.is_empty()).collect()
    }
}

/// Serves requests until `stop` becomes true, then finishes those in flight.
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

/// Serves like [`serve`] and records the most connections that were open at once.
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
    let room = BodyRoom::new(limits.all_bodies_limit_bytes, limits.body_limit_bytes);
    let mut connections = JoinSet::new();
    while let Some((stream, permit)) = accept(&listener, &permits, &mut stop).await {
        let open = limits.max_connections - permits.available_permits();
        open_peak.fetch_max(open, Ordering::AcqRel);
        let bounds = (limits, room.clone());
        connections.spawn(serve_connection(stream, permit, bounds, stop.clone(), handler.clone()));
        while connections.try_join_next().is_some() {}
    }
    // The kernel resets connections that wait in the backlog of a closed listener.
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else { break };
        let bounds = (limits, room.clone());
        connections.spawn(serve_connection(stream, permit, bounds, stop.clone(), handler.clone()));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Waits for the next connection; `None` once the server is to stop.
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

/// Waits until `stop` becomes true or its sender is gone.
pub(crate) async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    _ = stop.wait_for(|stopped| *stopped).await;
}

/// Waits for the stop and a little longer, since closing an idle connection cuts off a request that
/// its peer is sending at that moment.
async fn stop_after_last_request(stop: &mut watch::Receiver<bool>) {
    wait_for_stop(stop).await;
    tokio::time::sleep(LAST_REQUEST_PAUSE).await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    (limits, room): (ServerLimits, BodyRoom),
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(FullRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    // Without this, an answer in two writes can wait for the peer's delayed acknowledgement.
    _ = stream.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let (handler, room) = (handler.clone(), room.clone());
        async move { Ok::<_, Infallible>(respond(request, limits, &room, handler).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(READ_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => {}
        () = stop_after_last_request(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            _ = connection.await;
        }
    }
    drop(permit);
}

async fn respond<H, F>(
    request: Request<Incoming>,
    limits: ServerLimits,
    room: &BodyRoom,
    handler: H,
) -> FullResponse
where
    H: Fn(FullRequest) -> F,
    F: Future<Output = FullResponse>,
{
    let (parts, body) = request.into_parts();
    let body = match timeout(limits.body_timeout, room.receive(body)).await {
        Ok(Ok(body)) => body,
        Ok(Err(fault)) => return refuse_body(&fault, limits),
        Err(_) => {
            let millis = limits.body_timeout.as_millis();
            return not_dispatched(408, &format!("the body took over {millis} ms"));
        }
    };
    let (method, uri, headers) = (parts.method, parts.uri, parts.headers);
    let received = FullRequest { method, uri, headers, body: body.bytes.clone() };
    // The room of the body stays taken until the answer is at hand.
    let response = handler(received).await;
    drop(body);
    response
}

fn refuse_body(fault: &BodyFault, limits: ServerLimits) -> FullResponse {
    match fault {
        BodyFault::TooLarge => {
            let bytes = limits.body_limit_bytes;
            not_dispatched(413, &format!("the body is larger than {bytes} bytes"))
        }
        BodyFault::NoRoom => not_dispatched(503, "this host holds as many bodies as it may"),
        BodyFault::Broken(fault) => {
            not_dispatched(400, &format!("the body could not be read: {fault}"))
        }
    }
}

fn not_dispatched(status: u16, reason: &str) -> FullResponse {
    error(status, &format!("{reason}; this submission was not dispatched"))
}
