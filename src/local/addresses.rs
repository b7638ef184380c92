//! Loopback addresses, a different one for each host as in a real network.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::error::StepError;

/// Port for requests of callers, announcements of upstreams and work.
const WORK_PORT: u16 = 7_100;
/// Port for messages from other entry hosts or control hosts.
const PEER_PORT: u16 = 7_101;
/// Port for health and metrics.
const ADMIN_PORT: u16 = 7_102;
/// Number of values of the second and third octet; 127.0 stays free for other programs.
const OCTET_VALUES: u32 = 250;
/// Most blocks that are tried, because other processes may hold some.
const TRIES_MAX: u32 = 100;

static NEXT_BLOCK: AtomicU32 = AtomicU32::new(0);

/// A block of loopback addresses that one installation uses.
///
/// Outgoing connections use 127.0.0.1, so they cannot occupy an address on which a host of a block
/// listens. Ephemeral ports that are bound and released before use could be taken in between.
#[derive(Debug)]
pub struct AddressBlock {
    second: u8,
    third: u8,
    /// Listener that reserves the block; no other installation can bind its address.
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
        let mut last_error = None;
        for _ in 0..TRIES_MAX {
            let number = std::process::id() + NEXT_BLOCK.fetch_add(1, Ordering::Relaxed) * 7;
            let second = u8::try_from(number % OCTET_VALUES + 1).expect("at most 250");
            let third = u8::try_from(number / OCTET_VALUES % OCTET_VALUES).expect("at most 249");
            match TcpListener::bind((Ipv4Addr::new(127, second, third, 1), ADMIN_PORT)) {
                Ok(guard) => return Ok(Self { second, third, _guard: guard }),
                Err(error) => last_error = Some(error),
            }
        }
        let source = last_error.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into());
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
