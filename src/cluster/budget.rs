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

    /// Takes a permit if one is free and no more urgent request waits.
    pub(crate) fn try_acquire(&self, connection_use: ConnectionUse) -> Option<ConnectionPermit> {
        let mut inner = self.lock();
        let first = inner.waiting.first_key_value();
        let is_first = first.is_none_or(|((waiting_use, _), _)| connection_use < *waiting_use);
        if !is_first || !inner.has_room_for(connection_use) {
            return None;
        }
        inner.open += 1;
        drop(inner);
        Some(ConnectionPermit(self.clone()))
    }

    /// Waits for a permit; the wait ends without one if the future is dropped.
    pub(crate) async fn acquire(&self, connection_use: ConnectionUse) -> Option<ConnectionPermit> {
        if let Some(permit) = self.try_acquire(connection_use) {
            return Some(permit);
        }
        let (sender, receiver) = oneshot::channel();
        {
            let mut inner = self.lock();
            inner.requests += 1;
            let number = inner.requests;
            inner.waiting.insert((connection_use, number), sender);
            if !std::mem::replace(&mut inner.exhausted, true) {
                warn!(
                    limit = inner.limit,
                    open = inner.open,
                    "connections to upstreams are used up"
                );
            }
        }
        receiver.await.ok()
    }

    fn release(&self) {
        let mut inner = self.lock();
        inner.open -= 1;
        let mut next = inner.take_next_waiting();
        if inner.waiting.is_empty() && next.is_none() && inner.exhausted {
            inner.exhausted = false;
            info!(
                limit = inner.limit,
                open = inner.open,
                "connections to upstreams are free again"
            );
        }
        drop(inner);
        while let Some(sender) = next {
            match sender.send(ConnectionPermit(self.clone())) {
                Ok(()) => return,
                // The request no longer waits, so the permit goes to the next one.
                Err(permit) => {
                    std::mem::forget(permit);
                    let mut inner = self.lock();
                    inner.open -= 1;
                    next = inner.take_next_waiting();
                }
            }
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

    /// Takes the most urgent waiting request that there is room for, and counts its connection.
    fn take_next_waiting(&mut self) -> Option<oneshot::Sender<ConnectionPermit>> {
        self.waiting.retain(|_, sender| !sender.is_closed());
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
