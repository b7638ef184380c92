//! Budget of connections to upstreams, over all addresses.
//!
//! A process has a limited number of file descriptors. Without a budget, a leader of many upstreams
//! runs out of them at some point; then every new connection fails, upstreams that work look dead,
//! and restarting their work opens even more connections. With a budget, an order waits until a
//! connection is free, the most urgent one first, and its failure says that nothing is known of the
//! upstream.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;
use tracing::{info, warn};

/// What a connection is needed for; urgent ones come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionUse {
    /// Stops a task.
    Stop,
    /// Extends a lease and reads lists.
    Lease,
    /// Starts a task or sets its pace.
    Start,
}

/// One part in this many of a budget is kept free of long polls, for orders.
const ORDER_PARTS: usize = 8;

/// Share of the connections for long polls above which they are scarce.
const SCARCE_PERCENT: usize = 90;

/// Connections to upstreams that this process may have open; clones share the budget.
#[derive(Debug, Clone)]
pub struct ConnectionBudget(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
    limit: usize,
    open: usize,
    waiting: BTreeMap<(ConnectionUse, u64), oneshot::Sender<ConnectionPermit>>,
    /// Number of requests so far; orders those with the same use.
    requests: u64,
    /// Whether some request had to wait since all permits were last free again.
    exhausted: bool,
}

/// Counts one connection that is open or being opened.
#[derive(Debug)]
pub(crate) struct ConnectionPermit(ConnectionBudget);

/// Use of a budget at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BudgetUse {
    pub(crate) open: usize,
    pub(crate) waiting: usize,
}

impl ConnectionBudget {
    /// Creates a budget of at most `limit` connections.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        let inner =
            Inner { limit, open: 0, waiting: BTreeMap::new(), requests: 0, exhausted: false };
        Self(Arc::new(Mutex::new(inner)))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how much of the budget is in use.
    pub(crate) fn in_use(&self) -> BudgetUse {
        let inner = self.lock();
        BudgetUse { open: inner.open, waiting: inner.waiting.len() }
    }

    /// Returns whether so much of the budget is in use that long polls should leave some of it.
    pub(crate) fn is_scarce(&self) -> bool {
        let inner = self.lock();
        let for_leases = inner.limit - inner.limit / ORDER_PARTS;
        !inner.waiting.is_empty() || inner.open * 100 > for_leases * SCARCE_PERCENT
    }

    /// Returns whether a request waits for a connection.
    pub(crate) fn has_waiting(&self) -> bool {
        !self.lock().waiting.is_empty()
    }

    /// Takes a permit if one is free and no request of this urgency or a higher one waits.
    pub(crate) fn try_acquire(&self, connection_use: ConnectionUse) -> Option<ConnectionPermit> {
        self.lock().try_open(connection_use).then(|| ConnectionPermit(self.clone()))
    }

    /// Waits for a permit; the wait ends without one if the future is dropped.
    pub(crate) async fn acquire(&self, connection_use: ConnectionUse) -> Option<ConnectionPermit> {
        let receiver = {
            let mut inner = self.lock();
            if inner.try_open(connection_use) {
                return Some(ConnectionPermit(self.clone()));
            }
            inner.wait(connection_use)
        };
        receiver.await.ok()
    }

    /// Hands a closed connection's permit to the most urgent request that waits.
    fn release(&self) {
        let next = {
            let mut inner = self.lock();
            inner.open -= 1;
            inner.take_next_waiting()
        };
        if let Some(next) = next {
            // If the request no longer waits, the permit comes back, and its drop passes it on.
            _ = next.send(ConnectionPermit(self.clone()));
        }
    }
}

impl Inner {
    /// Returns whether a connection for this use may be opened.
    fn has_room_for(&self, connection_use: ConnectionUse) -> bool {
        let kept_free = match connection_use {
            ConnectionUse::Lease => self.limit / ORDER_PARTS,
            ConnectionUse::Stop | ConnectionUse::Start => 0,
        };
        self.open + kept_free < self.limit
    }

    /// Counts a connection if there is room for it and no request that comes first waits.
    fn try_open(&mut self, connection_use: ConnectionUse) -> bool {
        let first = self.waiting.first_key_value();
        let is_first = first.is_none_or(|((waiting_use, _), _)| connection_use < *waiting_use);
        let opens = is_first && self.has_room_for(connection_use);
        self.open += usize::from(opens);
        opens
    }

    /// Adds a request that waits for a connection.
    fn wait(&mut self, connection_use: ConnectionUse) -> oneshot::Receiver<ConnectionPermit> {
        let (sender, receiver) = oneshot::channel();
        self.requests += 1;
        self.waiting.insert((connection_use, self.requests), sender);
        if !std::mem::replace(&mut self.exhausted, true) {
            let (limit, open) = (self.limit, self.open);
            warn!(limit, open, "connections to upstreams are used up");
        }
        receiver
    }

    /// Takes the most urgent waiting request that there is room for, and counts its connection.
    fn take_next_waiting(&mut self) -> Option<oneshot::Sender<ConnectionPermit>> {
        self.waiting.retain(|_, sender| !sender.is_closed());
        if self.waiting.is_empty() && std::mem::take(&mut self.exhausted) {
            let (limit, open) = (self.limit, self.open);
            info!(limit, open, "connections to upstreams are free again");
        }
        let next = self.waiting.keys().find(|(waiting_use, _)| self.has_room_for(*waiting_use));
        let next = *next?;
        self.open += 1;
        self.waiting.remove(&next)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.release();
    }
}
