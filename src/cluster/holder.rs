//! Holds upstreams for the leader: sends its hold orders and returns the answers.
//!
//! A holder decides nothing. Leases, ends and losses are the leader's, whose term each order carries as
//! its fencing token. So nothing has to be handed over when a holder or the leader is lost.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout};
use tracing::info;

use super::clock::boot_ms;
use super::protocol::{RelayReply, RelayRequest, RelayedAnswer};
use super::upstream_calls::{HoldOrder, RESTART_MIN_MS, UpstreamCalls};

/// Delay of a reply after its first answer, so that it carries several.
const ANSWERS_DELAY: Duration = Duration::from_millis(10);

/// Longest wait for an answer. New orders of the leader come with the next exchange.
const EXCHANGE_WAIT: Duration = Duration::from_millis(25);

/// Time without an exchange after which the calls of a leader that is gone are given up.
const FORSAKEN_AFTER: Duration = Duration::from_secs(3);

/// Holds upstreams for the leader of another host.
#[derive(Debug)]
pub(super) struct Holder {
    calls: UpstreamCalls,
    held: Mutex<Held>,
    answered: Notify,
}

#[derive(Debug, Default)]
struct Held {
    /// Highest term of which orders were taken.
    term: u64,
    calls: HashMap<u64, AbortHandle>,
    answers: Vec<RelayedAnswer>,
    /// When each upstream last answered this host.
    answered_ms: HashMap<Arc<str>, u64>,
    exchanged_at: Option<Instant>,
}

impl Held {
    /// Gives up all calls.
    fn clear(&mut self) {
        self.calls.drain().for_each(|(_, call)| call.abort());
        self.answers.clear();
        self.answered_ms.clear();
    }
}

impl Holder {
    pub(super) fn new(calls: UpstreamCalls) -> Arc<Self> {
        Arc::new(Self { calls, held: Mutex::default(), answered: Notify::new() })
    }

    fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins the calls of new orders and returns the answers that are there soon.
    pub(super) async fn exchange(self: &Arc<Self>, request: RelayRequest) -> RelayReply {
        let RelayRequest { term, orders, dropped } = request;
        if !self.accept_term(term) {
            return RelayReply { refused: true, answers: Vec::new() };
        }
        for number in dropped {
            let call = self.lock().calls.remove(&number);
            call.inspect(AbortHandle::abort);
        }
        for (number, order) in orders {
            self.begin(term, number, order);
        }
        if self.lock().answers.is_empty() {
            // A timeout ends the wait as well.
            _ = timeout(EXCHANGE_WAIT, self.answered.notified()).await;
        }
        sleep(ANSWERS_DELAY).await;
        let mut held = self.lock();
        if held.term != term {
            return RelayReply { refused: true, answers: Vec::new() };
        }
        RelayReply { refused: false, answers: std::mem::take(&mut held.answers) }
    }

    /// Returns whether orders of a term are taken; a newer one ends the calls of the former.
    fn accept_term(self: &Arc<Self>, term: u64) -> bool {
        let mut held = self.lock();
        if term < held.term {
            return false;
        }
        if term > held.term {
            info!(term, former = held.term, "upstreams are held for a leader");
            held.clear();
            held.term = term;
        }
        let is_watched = held.exchanged_at.replace(Instant::now()).is_some();
        drop(held);
        if !is_watched {
            tokio::spawn(Arc::clone(self).give_up_forsaken());
        }
        true
    }

    /// Gives up the calls once the leader has sent nothing for a while.
    async fn give_up_forsaken(self: Arc<Self>) {
        loop {
            sleep(FORSAKEN_AFTER).await;
            let mut held = self.lock();
            if held.exchanged_at.is_none_or(|at| at.elapsed() >= FORSAKEN_AFTER) {
                info!(term = held.term, calls = held.calls.len(), "no more upstreams are held");
                held.clear();
                held.exchanged_at = None;
                return;
            }
        }
    }

    fn begin(self: &Arc<Self>, term: u64, number: u64, order: HoldOrder) {
        let holder = Arc::clone(self);
        let mut held = self.lock();
        // The answer can only be recorded once this lock is free again.
        let call = tokio::spawn(async move { holder.hold(term, number, order).await });
        held.calls.insert(number, call.abort_handle());
    }

    async fn hold(&self, term: u64, number: u64, mut order: HoldOrder) {
        let upstream = Arc::clone(&order.upstream);
        let answered_ms = self.lock().answered_ms.get(&upstream).copied().unwrap_or(0);
        // The order has been on its way, in which the upstream may have restarted.
        if boot_ms().saturating_sub(answered_ms) > RESTART_MIN_MS {
            order.ends_seen = 0;
        }
        let answer = (self.calls.hold)(order).await;
        let mut held = self.lock();
        if held.term != term || held.calls.remove(&number).is_none() {
            return;
        }
        if answer.is_ok() {
            held.answered_ms.insert(upstream, boot_ms());
        } else {
            held.answered_ms.remove(&upstream);
        }
        held.answers.push(RelayedAnswer { number, answer });
        drop(held);
        self.answered.notify_one();
    }
}
