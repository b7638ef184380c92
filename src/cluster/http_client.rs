//! HTTP/1.1 client with pooled connections, a budget for all of them and a timeout for each call.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use tokio::time::{Instant, timeout};

use super::budget::{ConnectionBudget, ConnectionPermit, ConnectionUse};
use crate::StepError;
use crate::entry::pool::{Connection, Pool, PoolTimes, open};

/// Size limit of a response body.
const BODY_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of connections to one address.
const CONNECTIONS_MAX: u32 = 8;

const POOL_TIMES: PoolTimes = PoolTimes {
    connect_timeout: Duration::from_millis(700),
    age: Duration::from_mins(10),
    idle_probe: Duration::from_mins(10),
};

/// Time for which a call waits for a connection of the budget.
const PERMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of idle connections that are closed at once when the budget is used up.
const EVICTED_AT_ONCE: usize = 16;

/// Budget of a client that is created without one.
const DEFAULT_BUDGET: usize = 512;

/// A complete response.
#[derive(Debug, Clone)]
pub struct HttpReply {
    /// Status code.
    pub status: u16,
    /// Response body.
    pub body: Bytes,
}

/// Error codes of a connect call for which there is no descriptor: the process's limit, the host's
/// limit, and the local ports.
const OUT_OF_DESCRIPTORS: [i32; 3] = [
    rustix::io::Errno::MFILE.raw_os_error(),
    rustix::io::Errno::NFILE.raw_os_error(),
    rustix::io::Errno::ADDRNOTAVAIL.raw_os_error(),
];

/// Connection pools by address.
type Pools = HashMap<SocketAddr, Pool>;

/// Why a call has no response.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum HttpFault {
    /// No connection could be opened, so nothing was sent.
    #[display("could not connect: {reason}")]
    NotSent {
        /// Error message.
        reason: String,
    },
    /// Nothing listens at the address, so nothing was sent.
    #[display("connection refused")]
    Refused,
    /// This process has no connection to spare, so nothing was sent. It says nothing about the
    /// address.
    #[display("no connection to spare")]
    NoConnection,
    /// The request was sent and may have been received.
    #[display("no complete response: {reason}")]
    NoAnswer {
        /// Error message.
        reason: String,
    },
}

/// HTTP client with one connection pool per address; clones share the pools and the budget.
#[derive(Debug, Clone)]
pub struct HttpClient {
    pools: Arc<Mutex<Pools>>,
    budget: ConnectionBudget,
    connection_use: ConnectionUse,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new(ConnectionBudget::new(DEFAULT_BUDGET), ConnectionUse::Start)
    }
}

impl HttpClient {
    /// Creates a client whose connections count against a budget.
    #[must_use]
    pub fn new(budget: ConnectionBudget, connection_use: ConnectionUse) -> Self {
        Self { pools: Arc::default(), budget, connection_use }
    }

    /// Returns a client with the same pools for calls of another urgency.
    #[must_use]
    pub fn for_use(&self, connection_use: ConnectionUse) -> Self {
        Self { connection_use, ..self.clone() }
    }

    /// Sends a request and reads the complete response.
    ///
    /// A connection whose call timed out is closed, so that the next call neither reads a late
    /// response nor uses a dead connection.
    ///
    /// # Errors
    /// Returns an error if no complete response arrives within `limit`.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<HttpReply, HttpFault> {
        let mut connection = self.connection(address).await?;
        let no_answer = |reason: String| HttpFault::NoAnswer { reason };
        match timeout(limit, exchange(&mut connection, request)).await {
            Ok(Ok(reply)) => {
                // Otherwise a request that waits might get no connection for as long as this one
                // is used again and again.
                if !self.budget.has_waiting() {
                    self.with_pool(address, |pool| pool.put(connection, &POOL_TIMES));
                }
                Ok(reply)
            }
            Ok(Err(reason)) => Err(no_answer(reason)),
            Err(_) => Err(no_answer(format!("no answer within {} ms", limit.as_millis()))),
        }
    }

    /// Closes the idle connections of an address.
    pub fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Closes the idle connections of all addresses.
    pub fn forget_all(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, Pools> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with_pool<T>(&self, address: SocketAddr, work: impl FnOnce(&mut Pool) -> T) -> T {
        work(self.lock().entry(address).or_default())
    }

    async fn connection(&self, address: SocketAddr) -> Result<Connection, HttpFault> {
        let not_sent = |reason: String| HttpFault::NotSent { reason };
        let idle = self.with_pool(address, |pool| pool.take(&POOL_TIMES));
        if let Some(mut connection) = idle
            && connection.sender.ready().await.is_ok()
        {
            return Ok(connection);
        }
        let of_address = self.with_pool(address, |pool| pool.open().try_acquire(CONNECTIONS_MAX));
        // All connections are in use by calls of this process, which says nothing about the address.
        let of_address = of_address.ok_or(HttpFault::NoConnection)?;
        let of_budget = self.permit().await.ok_or(HttpFault::NoConnection)?;
        let permits = (of_address, of_budget);
        open(address, permits, &POOL_TIMES).await.map_err(|fault| match io_error(&fault) {
            Some(error) if is_out_of_descriptors(error) => HttpFault::NoConnection,
            Some(error) if error.kind() == io::ErrorKind::ConnectionRefused => HttpFault::Refused,
            _ => not_sent(fault.to_string()),
        })
    }

    /// Takes a permit of the budget; idle connections make room for it.
    async fn permit(&self) -> Option<ConnectionPermit> {
        if let Some(permit) = self.budget.try_acquire(self.connection_use) {
            return Some(permit);
        }
        self.evict_idle();
        let waiting = self.budget.acquire(self.connection_use);
        timeout(PERMIT_TIMEOUT, waiting).await.ok().flatten()
    }

    /// Closes some idle connections, those that have been idle for longest first.
    fn evict_idle(&self) {
        let mut pools = self.lock();
        let mut idle: Vec<Instant> = pools.values().flat_map(Pool::idle_since).collect();
        idle.sort_unstable();
        let Some(used_at) = idle.get(EVICTED_AT_ONCE.min(idle.len()).saturating_sub(1)).copied()
        else {
            return;
        };
        for pool in pools.values_mut() {
            pool.close_idle_since(used_at);
        }
    }
}

/// Returns the input or output error that caused a fault.
fn io_error(fault: &StepError) -> Option<&io::Error> {
    let mut source = std::error::Error::source(fault);
    while let Some(cause) = source {
        if let Some(error) = cause.downcast_ref::<io::Error>() {
            return Some(error);
        }
        source = cause.source();
    }
    None
}

/// Returns whether a connection failed because this process or host has no more descriptors.
fn is_out_of_descriptors(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| OUT_OF_DESCRIPTORS.contains(&code))
}

async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<HttpReply, String> {
    let response =
        connection.sender.send_request(request).await.map_err(|fault| fault.to_string())?;
    let status = response.status().as_u16();
    let mut body = response.into_body();
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|fault| fault.to_string())?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > BODY_LIMIT_BYTES {
            return Err(format!("the answer is larger than {BODY_LIMIT_BYTES} bytes"));
        }
    }
    Ok(HttpReply { status, body: bytes.freeze() })
}
