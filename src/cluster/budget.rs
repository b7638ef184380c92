//! Budget of a process's connections to and from upstreams, over all addresses.
//!
//! A process has a limited number of file descriptors. Without a budget, a leader of many upstreams
//! runs out of them at some point; then every new connection fails, upstreams that work look dead,
//! and restarting their work opens even more connections. With a budget, an order waits until a
//! connection is free, the most urgent one first, and its failure says that nothing is known of the
//! upstream.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, oneshot};
use tracing::{info, warn};

use crate::http::AcceptPermits;

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

/// Parts of a budget that are never lent to connections in the other direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetReserves {
    /// Connections that this process opens to upstreams.
    pub outgoing: usize,
    /// Connections that upstreams and operators open.
    pub incoming: usize,
}

/// Connections to and from upstreams that this process may have open; clones share the budget.
#[derive(Debug, Clone)]
pub struct ConnectionBudget(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
    limit: usize,
    reserves: BudgetReserves,
    /// Open connections to upstreams.
    open: usize,
    /// Open connections from upstreams and operators.
    incoming: usize,
    /// Notified when connections from others are needed for orders.
    reclaim: Arc<Notify>,
    waiting: BTreeMap<(ConnectionUse, u64), oneshot::Sender<ConnectionPermit>>,
    /// Number of requests so far; orders those with the same use.
    requests: u64,
    /// Whether some request had to wait since all permits were last free again.
    exhausted: bool,
}

/// Counts one connection that is open or being opened.
#[derive(Debug)]
pub(crate) struct ConnectionPermit(ConnectionBudget);

/// Counts one connection from an upstream or operator.
#[derive(Debug)]
pub(super) struct IncomingPermit(ConnectionBudget);

/// Use of a budget at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BudgetUse {
    /// Connections to upstreams.
    pub(crate) open: usize,
    /// Requests that wait for one.
    pub(crate) waiting: usize,
    /// Connections from upstreams and operators.
    pub(crate) incoming: usize,
}

impl ConnectionBudget {
    /// Creates a budget of at most `limit` connections to upstreams.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self::shared(limit, BudgetReserves { outgoing: limit, incoming: 0 })
    }

    /// Creates a budget for connections in both directions. What no reserve covers goes to whoever needs
    /// it first: a leader mostly calls upstreams, and the other hosts mostly receive heartbeats.
    #[must_use]
    pub fn shared(limit: usize, reserves: BudgetReserves) -> Self {
        let inner = Inner {
            limit,
            reserves,
            open: 0,
            incoming: 0,
            reclaim: Arc::default(),
            waiting: BTreeMap::new(),
            requests: 0,
            exhausted: false,
        };
        Self(Arc::new(Mutex::new(inner)))
    }

    /// Returns permits for the listener of upstreams and operators. Beyond them, `for_operators`
    /// connections are served for one request each.
    #[must_use]
    pub fn accept_permits(&self, for_operators: usize) -> AcceptPermits {
        let budget = self.clone();
        let reclaim = Arc::clone(&self.lock().reclaim);
        AcceptPermits::new(move || budget.try_accept(), for_operators, reclaim)
    }

    /// Takes a permit for a connection from an upstream or operator.
    pub(super) fn try_accept(&self) -> Option<IncomingPermit> {
        let mut inner = self.lock();
        let accepts = inner.incoming < inner.incoming_max();
        inner.incoming += usize::from(accepts);
        drop(inner);
        accepts.then(|| IncomingPermit(self.clone()))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how much of the budget is in use.
    pub(crate) fn in_use(&self) -> BudgetUse {
        let inner = self.lock();
        BudgetUse { open: inner.open, waiting: inner.waiting.len(), incoming: inner.incoming }
    }

    /// Returns how many long polls may be open now.
    pub(crate) fn leases_max(&self) -> usize {
        let outgoing_max = self.lock().outgoing_max();
        outgoing_max - outgoing_max / ORDER_PARTS
    }

    /// Returns whether so much of the budget is in use that long polls should leave some of it.
    pub(crate) fn is_scarce(&self) -> bool {
        let inner = self.lock();
        let outgoing_max = inner.outgoing_max();
        let for_leases = outgoing_max - outgoing_max / ORDER_PARTS;
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
    fn release(&self, count: impl FnOnce(&mut Inner)) {
        let next = {
            let mut inner = self.lock();
            count(&mut inner);
            inner.take_next_waiting()
        };
        if let Some(next) = next {
            // If the request no longer waits, the permit comes back, and its drop passes it on.
            _ = next.send(ConnectionPermit(self.clone()));
        }
    }
}

impl Inner {
    /// Returns the most connections to upstreams that may be open now.
    fn outgoing_max(&self) -> usize {
        let rest = self.limit.saturating_sub(self.incoming.max(self.reserves.incoming));
        rest.max(self.reserves.outgoing)
    }

    /// Returns the most connections from upstreams and operators that may be open now.
    fn incoming_max(&self) -> usize {
        let rest = self.limit.saturating_sub(self.open.max(self.reserves.outgoing));
        rest.max(self.reserves.incoming)
    }

    /// Returns whether a connection for this use may be opened.
    fn has_room_for(&self, connection_use: ConnectionUse) -> bool {
        let outgoing_max = self.outgoing_max();
        let kept_free = match connection_use {
            ConnectionUse::Lease => outgoing_max / ORDER_PARTS,
            ConnectionUse::Stop | ConnectionUse::Start => 0,
        };
        self.open + kept_free < outgoing_max
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
        if self.incoming > self.reserves.incoming {
            self.reclaim.notify_one();
        }
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
        self.0.release(|inner| inner.open -= 1);
    }
}

impl Drop for IncomingPermit {
    fn drop(&mut self) {
        self.0.release(|inner| inner.incoming -= 1);
    }
}
