//! A server that bounds head time, body time, body size and open connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::{FullResponse, error};

/// Pause after a failed accept, so that a lack of file handles does not become a busy loop.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Time after the stop in which a request that is on its way over an open connection is taken.
const LAST_REQUEST_PAUSE: Duration = Duration::from_millis(200);

/// Bounds on what one listener takes from its peers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServerLimits {
    /// Time for a peer to send a request head.
    pub(crate) head_timeout: Duration,
    /// Time for a peer to send a request body.
    pub(crate) body_timeout: Duration,
    /// Largest request body.
    pub(crate) body_limit_bytes: usize,
    /// Most connections open at once; further ones wait in the listener's backlog.
    pub(crate) max_connections: usize,
}

/// A request whose body has been received whole.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Received {
    /// Returns a header as text, if it is present and readable.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the parts of the path between slashes.
    pub(crate) fn segments(&self) -> Vec<&str> {
        self.uri.path().split('/').filter(|part| !part.is_empty()).collect()
    }
}

/// Serves requests until `stop` becomes true, then finishes those in flight.
pub(crate) async fn serve<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Received) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    serve_counted(listener, limits, &AtomicUsize::new(0), stop, handler).await;
}

/// Serves like [`serve`] and records the most connections that were open at once.
pub(crate) async fn serve_counted<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    open_peak: &AtomicUsize,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Received) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let mut connections = JoinSet::new();
    while let Some((stream, permit)) = accept(&listener, &permits, &mut stop).await {
        let open = limits.max_connections - permits.available_permits();
        open_peak.fetch_max(open, Ordering::AcqRel);
        connections.spawn(serve_connection(stream, permit, limits, stop.clone(), handler.clone()));
        while connections.try_join_next().is_some() {}
    }
    // The kernel resets connections that wait in the backlog of a closed listener.
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else { break };
        connections.spawn(serve_connection(stream, permit, limits, stop.clone(), handler.clone()));
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
            () = stopped(stop) => return None,
        };
        match accepted {
            Ok((stream, _)) => return Some((stream, permit)),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
}

/// Waits until `stop` becomes true or its sender is gone.
pub(crate) async fn stopped(stop: &mut watch::Receiver<bool>) {
    _ = stop.wait_for(|stopped| *stopped).await;
}

/// Waits for the stop and a little longer, since closing an idle connection cuts off a request that
/// its peer is sending at that moment.
async fn stop_after_last_request(stop: &mut watch::Receiver<bool>) {
    stopped(stop).await;
    tokio::time::sleep(LAST_REQUEST_PAUSE).await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    limits: ServerLimits,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Received) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    // Without this, an answer in two writes can wait for the peer's delayed acknowledgement.
    _ = stream.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(respond(request, limits, handler).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
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

async fn respond<H, F>(request: Request<Incoming>, limits: ServerLimits, handler: H) -> FullResponse
where
    H: Fn(Received) -> F,
    F: Future<Output = FullResponse>,
{
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, limits.body_limit_bytes).collect();
    let body = match timeout(limits.body_timeout, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(fault)) if fault.is::<LengthLimitError>() => {
            let bytes = limits.body_limit_bytes;
            return error(
                413,
                &format!(
                    "the body is larger than {bytes} bytes; this submission was not dispatched"
                ),
            );
        }
        Ok(Err(fault)) => {
            return error(
                400,
                &format!("the body could not be read: {fault}; this submission was not dispatched"),
            );
        }
        Err(_) => {
            let millis = limits.body_timeout.as_millis();
            return error(
                408,
                &format!("the body took over {millis} ms; this submission was not dispatched"),
            );
        }
    };
    let received = Received { method: parts.method, uri: parts.uri, headers: parts.headers, body };
    handler(received).await
}
