//! Queue of the requests of one service that wait for a slot, by class.

use std::collections::VecDeque;

use tokio::sync::oneshot;

use super::Slot;
use crate::class::Class;
use crate::names::UpstreamName;

/// One parked request.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) sender: oneshot::Sender<Slot>,
    /// Upstream that has just failed this request and is avoided if possible.
    pub(crate) avoid: Option<UpstreamName>,
}

/// Parked requests of one service.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    interactive: VecDeque<Waiter>,
    batch: VecDeque<Waiter>,
    /// Interactive dispatches since the last batch dispatch.
    interactive_since_batch: u32,
}

impl WaitQueue {
    pub(crate) fn push(&mut self, class: Class, waiter: Waiter) {
        self.class_queue(class).push_back(waiter);
    }

    pub(crate) fn len(&self, class: Class) -> usize {
        match class {
            Class::Interactive => self.interactive.len(),
            Class::Batch => self.batch.len(),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.interactive.is_empty() && self.batch.is_empty()
    }

    /// Returns whether a request that arrives now has to queue behind a parked one.
    pub(crate) fn is_blocked(&self, class: Class) -> bool {
        match class {
            Class::Interactive => !self.interactive.is_empty(),
            Class::Batch => !self.is_empty(),
        }
    }

    /// Removes requests whose callers no longer wait.
    pub(crate) fn drop_abandoned(&mut self) {
        self.interactive.retain(|waiter| !waiter.sender.is_closed());
        self.batch.retain(|waiter| !waiter.sender.is_closed());
    }

    /// Removes the next request: interactive ones first, except that one in `batch_one_in` is batch.
    pub(crate) fn pop(&mut self, batch_one_in: u32) -> Option<Waiter> {
        self.drop_abandoned();
        let batch_due = self.interactive_since_batch + 1 >= batch_one_in && !self.batch.is_empty();
        if self.interactive.is_empty() || batch_due {
            let waiter = self.batch.pop_front()?;
            self.interactive_since_batch = 0;
            return Some(waiter);
        }
        if !self.batch.is_empty() {
            self.interactive_since_batch += 1;
        }
        self.interactive.pop_front()
    }

    fn class_queue(&mut self, class: Class) -> &mut VecDeque<Waiter> {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Batch => &mut self.batch,
        }
    }
}
