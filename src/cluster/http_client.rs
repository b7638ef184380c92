//! HTTP/1.1 client with pooled connections and a timeout for each call.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use tokio::time::timeout;

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

/// A complete response.
#[derive(Debug, Clone)]
pub struct HttpReply {
    /// Status code.
    pub status: u16,
    /// Response body.
    pub body: Bytes,
}

/// Why a call has no response.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum HttpFault {
    /// No connection could be opened, so nothing was sent.
    #[display("could not connect: {reason}")]
    NotSent {
        /// Error message.
        reason: String,
    },
    /// The request was sent and may have been received.
    #[display("no complete response: {reason}")]
    NoAnswer {
        /// Error message.
        reason: String,
    },
}

/// HTTP client with one connection pool per address; clones share the pools.
#[derive(Debug, Clone, Default)]
pub struct HttpClient {
    pools: Arc<Mutex<HashMap<SocketAddr, Pool>>>,
}

impl HttpClient {
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
                self.with_pool(address, |pool| pool.put(connection, &POOL_TIMES));
                Ok(reply)
            }
            Ok(Err(reason)) => Err(no_answer(reason)),
            Err(_) => Err(no_answer(format!("no answer within {} ms", limit.as_millis()))),
        }
    }

    /// Closes the idle connections of an address.
    pub fn forget(&self, address: SocketAddr) {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    fn with_pool<T>(&self, address: SocketAddr, work: impl FnOnce(&mut Pool) -> T) -> T {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        work(pools.entry(address).or_default())
    }

    async fn connection(&self, address: SocketAddr) -> Result<Connection, HttpFault> {
        let not_sent = |reason: String| HttpFault::NotSent { reason };
        let (idle, permit) = self.with_pool(address, |pool| {
            let idle = pool.take(&POOL_TIMES);
            let permit =
                if idle.is_none() { pool.open().try_acquire(CONNECTIONS_MAX) } else { None };
            (idle, permit)
        });
        if let Some(mut connection) = idle
            && connection.sender.ready().await.is_ok()
        {
            return Ok(connection);
        }
        let permit = match permit {
            Some(permit) => Some(permit),
            None => self.with_pool(address, |pool| pool.open().try_acquire(CONNECTIONS_MAX)),
        };
        let permit = permit.ok_or_else(|| not_sent("all connections are in use".to_owned()))?;
        open(address, permit, &POOL_TIMES).await.map_err(|fault| not_sent(fault.to_string()))
    }
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
