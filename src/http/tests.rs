//! A listener at its limit of open connections.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::timeout;

use super::{AcceptPermits, FullRequest, ServerLimits, serve_within, text};

const LIMITS: ServerLimits = ServerLimits {
    head_timeout: Duration::from_mins(1),
    body_timeout: Duration::from_secs(1),
    body_limit_bytes: 1024,
    all_bodies_limit_bytes: 65_536,
    max_connections: 8,
};

/// Time in which the heartbeat of an upstream has to be acknowledged.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts a listener for 8 connections; requests for `/slow` take long.
async fn start(reserve: usize) -> (std::net::SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    let free = Arc::new(Semaphore::new(LIMITS.max_connections));
    let acquire = move || Arc::clone(&free).try_acquire_owned().ok();
    let permits = AcceptPermits::new(acquire, reserve, Arc::default());
    let handler = |request: FullRequest| async move {
        if request.uri.path() == "/slow" {
            tokio::time::sleep(Duration::from_secs(20)).await;
        }
        text(200, "ok")
    };
    tokio::spawn(serve_within(listener, LIMITS, permits, stopped, handler));
    (address, stop)
}

/// Sends a request and returns the response, or `None` if there is none in time.
async fn call(stream: &mut TcpStream, path: &str) -> Option<String> {
    let request = format!("GET {path} HTTP/1.1\r\nhost: control\r\n\r\n");
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut buffer = [0; 1024];
    let length = timeout(ANSWER_TIMEOUT, stream.read(&mut buffer)).await.ok()?.ok()?;
    (length > 0).then(|| String::from_utf8_lossy(&buffer[..length]).into_owned())
}

/// Guards against callers that wait in the backlog while connections which nobody uses take all
/// permits: upstreams then take their heartbeats for lost and connect to the next host, which fills up in
/// the same way.
#[tokio::test]
async fn idle_connections_make_room_for_new_ones() {
    let (address, _stop) = start(2).await;
    let mut idle = Vec::new();
    for _ in 0..LIMITS.max_connections {
        let mut stream = TcpStream::connect(address).await.unwrap();
        assert!(call(&mut stream, "/").await.is_some());
        idle.push(stream);
    }
    tokio::time::sleep(Duration::from_millis(2_100)).await;
    // This one is used and stays.
    assert!(call(&mut idle[0], "/").await.is_some());
    let mut new = Vec::new();
    for _ in 0..3 * LIMITS.max_connections {
        let mut stream = TcpStream::connect(address).await.unwrap();
        assert!(call(&mut stream, "/").await.is_some(), "the caller waits in the backlog");
        new.push(stream);
    }
    assert!(call(&mut idle[0], "/").await.is_some(), "a connection in use was closed");
}

/// Guards against an operator's call that waits behind connections that are all in use.
#[tokio::test]
async fn a_call_is_served_beyond_the_limit_and_its_connection_closed() {
    let (address, _stop) = start(2).await;
    let mut busy = Vec::new();
    for _ in 0..LIMITS.max_connections {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(b"GET /slow HTTP/1.1\r\nhost: control\r\n\r\n").await.unwrap();
        busy.push(stream);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    for _ in 0..6 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let response = call(&mut stream, "/").await.expect("a response");
        assert!(response.contains("connection: close"), "{response}");
        let mut buffer = [0; 16];
        assert_eq!(stream.read(&mut buffer).await.unwrap(), 0, "the connection stays open");
    }
}
