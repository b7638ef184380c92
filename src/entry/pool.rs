//! Pool of HTTP/1 connections to one upstream, each with one request at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::error::StepError;

/// Time limits for the connections of a pool.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolTimes {
    pub(crate) connect_timeout: Duration,
    /// Age at which a connection is replaced.
    pub(crate) age: Duration,
    /// Idle time after which a connection is probed before use.
    pub(crate) idle_probe: Duration,
}

/// An open connection; dropping it closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    opened_at: Instant,
    used_at: Instant,
    /// Whether the connection has carried a request before.
    pub(crate) reused: bool,
}

/// Idle connections of one incarnation of an upstream, and the count of open ones.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Vec<Connection>,
    open: OpenCount,
}

/// Number of open sockets; the task that drives a connection holds an [`OpenPermit`] until it ends.
#[derive(Debug, Clone, Default)]
pub(crate) struct OpenCount(Arc<AtomicU32>);

/// Counts one socket that is open or being opened.
#[derive(Debug)]
pub(crate) struct OpenPermit(OpenCount);

impl OpenCount {
    /// Returns the number of open sockets.
    pub(crate) fn get(&self) -> u32 {
        self.0.load(Ordering::Acquire)
    }

    /// Counts one more socket if fewer than `limit` are open.
    pub(crate) fn try_acquire(&self, limit: u32) -> Option<OpenPermit> {
        let below = |open| (open < limit).then_some(open + 1);
        self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, below).ok()?;
        Some(OpenPermit(self.clone()))
    }
}

impl Drop for OpenPermit {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Pool {
    /// Returns the count of open sockets.
    pub(crate) fn open(&self) -> &OpenCount {
        &self.open
    }

    /// Takes the most recently used idle connection, so that surplus ones reach their age limit.
    pub(crate) fn take(&mut self, times: &PoolTimes) -> Option<Connection> {
        self.idle.retain(|connection| connection.is_usable(times));
        self.idle.pop()
    }

    /// Returns a connection to the pool after a complete answer.
    pub(crate) fn put(&mut self, mut connection: Connection, times: &PoolTimes) {
        connection.used_at = Instant::now();
        connection.reused = true;
        if connection.is_usable(times) {
            self.idle.push(connection);
        }
    }

    /// Returns when each idle connection was last used.
    pub(crate) fn idle_since(&self) -> impl Iterator<Item = Instant> {
        self.idle.iter().map(|connection| connection.used_at)
    }

    /// Closes the idle connections that were not used after `used_at`.
    pub(crate) fn close_idle_since(&mut self, used_at: Instant) {
        self.idle.retain(|connection| connection.used_at > used_at);
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&mut self) {
        self.idle.clear();
    }

    /// Closes idle connections until at most `limit` sockets are open or none is idle.
    pub(crate) fn shrink(&mut self, limit: u32) {
        let excess = self.open.get().saturating_sub(limit) as usize;
        let keep = self.idle.len().saturating_sub(excess);
        self.idle.truncate(keep);
    }
}

impl Connection {
    fn is_usable(&self, times: &PoolTimes) -> bool {
        !self.sender.is_closed() && self.opened_at.elapsed() < times.age
    }

    /// Returns whether the connection was idle for so long that it may be dead.
    pub(crate) fn needs_probe(&self, times: &PoolTimes) -> bool {
        self.reused && self.used_at.elapsed() >= times.idle_probe
    }
}

/// Opens a connection within the connect timeout; it holds the permit until it is closed.
pub(crate) async fn open(
    address: SocketAddr,
    permit: impl Send + 'static,
    times: &PoolTimes,
) -> Result<Connection, StepError> {
    let failed = |source: Box<dyn std::error::Error + Send + Sync>| {
        StepError::new("connect to upstream", address, source)
    };
    let connect = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok::<_, std::io::Error>(stream)
    };
    let stream = timeout(times.connect_timeout, connect)
        .await
        .map_err(|elapsed| failed(elapsed.into()))?
        .map_err(|error| failed(error.into()))?;
    let (sender, driver) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| failed(error.into()))?;
    tokio::spawn(async move {
        // Errors of the connection are reported to the request that uses it.
        _ = driver.await;
        drop(permit);
    });
    let now = Instant::now();
    Ok(Connection { sender, opened_at: now, used_at: now, reused: false })
}
