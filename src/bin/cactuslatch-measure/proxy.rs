//! A TCP proxy that counts the bytes and reads that it forwards.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Size of the buffer of one direction, the largest read.
const BUFFER_BYTES: usize = 64 * 1024;

/// Payload counted at the sockets of one link, without TCP and IP headers.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Traffic {
    /// Bytes from the side that opened the connection.
    #[serde(rename = "there_bytes")]
    pub(crate) to_server_bytes: u64,
    /// Bytes to the side that opened the connection.
    #[serde(rename = "back_bytes")]
    pub(crate) to_caller_bytes: u64,
    /// Reads in both directions, an estimate of TCP segments.
    #[serde(rename = "pieces")]
    pub(crate) reads: u64,
}

impl Traffic {
    pub(crate) fn since(self, before: Self) -> Self {
        Self {
            to_server_bytes: self.to_server_bytes - before.to_server_bytes,
            to_caller_bytes: self.to_caller_bytes - before.to_caller_bytes,
            reads: self.reads - before.reads,
        }
    }

    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            to_server_bytes: self.to_server_bytes + other.to_server_bytes,
            to_caller_bytes: self.to_caller_bytes + other.to_caller_bytes,
            reads: self.reads + other.reads,
        }
    }

    /// Returns the bytes in both directions.
    pub(crate) fn bytes(self) -> u64 {
        self.to_server_bytes + self.to_caller_bytes
    }
}

/// Counters of a running proxy.
#[derive(Debug, Clone, Default)]
pub(crate) struct Proxy(Arc<Counters>);

#[derive(Debug, Default)]
struct Counters {
    to_server_bytes: AtomicU64,
    to_caller_bytes: AtomicU64,
    reads: AtomicU64,
}

impl Proxy {
    /// Listens on `address` and forwards connections to `target`.
    pub(crate) async fn start(address: SocketAddr, target: SocketAddr) -> eyre::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let proxy = Self::default();
        let counters = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let proxy = counters.clone();
                tokio::spawn(async move { proxy.relay(stream, target).await });
            }
        });
        Ok(proxy)
    }

    pub(crate) fn traffic(&self) -> Traffic {
        Traffic {
            to_server_bytes: self.0.to_server_bytes.load(Ordering::Relaxed),
            to_caller_bytes: self.0.to_caller_bytes.load(Ordering::Relaxed),
            reads: self.0.reads.load(Ordering::Relaxed),
        }
    }

    async fn relay(&self, caller: TcpStream, target: SocketAddr) {
        let Ok(server) = TcpStream::connect(target).await else { return };
        _ = caller.set_nodelay(true);
        _ = server.set_nodelay(true);
        let (from_caller, to_caller) = caller.into_split();
        let (from_server, to_server) = server.into_split();
        tokio::join!(
            self.forward(from_caller, to_server, &self.0.to_server_bytes),
            self.forward(from_server, to_caller, &self.0.to_caller_bytes),
        );
    }

    async fn forward(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, bytes: &AtomicU64) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(size) = from.read(&mut buffer).await {
            if size == 0 || to.write_all(&buffer[..size]).await.is_err() {
                return;
            }
            bytes.fetch_add(size as u64, Ordering::Relaxed);
            self.0.reads.fetch_add(1, Ordering::Relaxed);
        }
    }
}
