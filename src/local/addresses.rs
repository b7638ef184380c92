//! Loopback addresses that differ for each host, as in a real network.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::error::StepError;

/// Port for callers, upstreams and work.
const WORK_PORT: u16 = 7_100;
/// Port for other entry hosts, or for control's messages.
const PEER_PORT: u16 = 7_101;
/// Port for health and metrics.
const ADMIN_PORT: u16 = 7_102;
/// Second octets that blocks use; 127.0 stays free for other programs.
const BLOCKS: u32 = 250;
/// Tries before giving up; other processes may hold blocks.
const TRIES_MAX: u32 = 100;

static NEXT_BLOCK: AtomicU32 = AtomicU32::new(0);

/// A block of loopback addresses that one installation uses.
///
/// Outgoing connections come from 127.0.0.1, so they cannot take a port that a host of a block
/// listens on, which released ephemeral ports could not promise.
#[derive(Debug)]
pub struct AddressBlock {
    second: u8,
    third: u8,
    /// Held so that no other installation takes the block.
    _guard: TcpListener,
}

impl AddressBlock {
    /// Takes a block that no other installation on this machine uses.
    ///
    /// # Errors
    /// Returns an error if no block is free.
    ///
    /// # Panics
    /// Never: the numbers of blocks fit into an octet.
    pub fn take() -> Result<Self, StepError> {
        let mut last = None;
        for _ in 0..TRIES_MAX {
            let number = std::process::id() + NEXT_BLOCK.fetch_add(1, Ordering::Relaxed) * 7;
            let second = u8::try_from(number % BLOCKS + 1).expect("at most 250");
            let third = u8::try_from(number / BLOCKS % BLOCKS).expect("at most 249");
            match TcpListener::bind((Ipv4Addr::new(127, second, third, 1), ADMIN_PORT)) {
                Ok(guard) => return Ok(Self { second, third, _guard: guard }),
                Err(error) => last = Some(error),
            }
        }
        let source = last.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into());
        Err(StepError::new("take loopback addresses", "127.0.0.0/8", source))
    }

    /// Returns the work address of a host, counted from 0.
    #[must_use]
    pub fn work(&self, host: u8) -> SocketAddr {
        self.address(host, WORK_PORT)
    }

    /// Returns the peer address of a host.
    #[must_use]
    pub fn peer(&self, host: u8) -> SocketAddr {
        self.address(host, PEER_PORT)
    }

    /// Returns the admin address of a host.
    #[must_use]
    pub fn admin(&self, host: u8) -> SocketAddr {
        self.address(host, ADMIN_PORT)
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        (Ipv4Addr::new(127, self.second, self.third, host.saturating_add(10)), port).into()
    }
}
