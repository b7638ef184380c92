//! A proxy that counts the bytes and segments it passes on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Largest piece that is passed on at once.
const PIECE_BYTES: usize = 64 * 1024;

/// Payload counted at the sockets of one link, without TCP and IP headers.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Traffic {
    /// Bytes from the side that opened the connection.
    pub(crate) there_bytes: u64,
    /// Bytes to the side that opened the connection.
    pub(crate) back_bytes: u64,
    /// Pieces read in both directions, an estimate of segments.
    pub(crate) pieces: u64,
}

impl Traffic {
    pub(crate) fn since(self, before: Self) -> Self {
        Self {
            there_bytes: self.there_bytes - before.there_bytes,
            back_bytes: self.back_bytes - before.back_bytes,
            pieces: self.pieces - before.pieces,
        }
    }

    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            there_bytes: self.there_bytes + other.there_bytes,
            back_bytes: self.back_bytes + other.back_bytes,
            pieces: self.pieces + other.pieces,
        }
    }

    /// Returns the bytes in both directions.
    pub(crate) fn bytes(self) -> u64 {
        self.there_bytes + self.back_bytes
    }
}

/// Counters of a running proxy.
#[derive(Debug, Clone, Default)]
pub(crate) struct Proxy(Arc<Counters>);

#[derive(Debug, Default)]
struct Counters {
    there: AtomicU64,
    back: AtomicU64,
    pieces: AtomicU64,
}

impl Proxy {
    /// Listens at `address` and passes connections on to `target`.
    pub(crate) async fn start(address: SocketAddr, target: SocketAddr) -> eyre::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let proxy = Self::default();
        let accepting = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let proxy = accepting.clone();
                tokio::spawn(async move { proxy.join(stream, target).await });
            }
        });
        Ok(proxy)
    }

    pub(crate) fn traffic(&self) -> Traffic {
        Traffic {
            there_bytes: self.0.there.load(Ordering::Relaxed),
            back_bytes: self.0.back.load(Ordering::Relaxed),
            pieces: self.0.pieces.load(Ordering::Relaxed),
        }
    }

    async fn join(&self, caller: TcpStream, target: SocketAddr) {
        let Ok(server) = TcpStream::connect(target).await else { return };
        _ = caller.set_nodelay(true);
        _ = server.set_nodelay(true);
        let (from_caller, to_caller) = caller.into_split();
        let (from_server, to_server) = server.into_split();
        tokio::join!(
            self.pass(from_caller, to_server, &self.0.there),
            self.pass(from_server, to_caller, &self.0.back),
        );
    }

    async fn pass(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, count: &AtomicU64) {
        let mut piece = vec![0; PIECE_BYTES];
        while let Ok(size) = from.read(&mut piece).await {
            if size == 0 || to.write_all(&piece[..size]).await.is_err() {
                return;
            }
            count.fetch_add(size as u64, Ordering::Relaxed);
            self.0.pieces.fetch_add(1, Ordering::Relaxed);
        }
    }
}
