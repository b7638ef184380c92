//! Queue of the pending events of a simulated data centre.

use std::collections::BTreeMap;

/// Pending events in the order of their times; events at the same time stay in insertion order.
#[derive(Debug)]
pub struct EventQueue<T> {
    events: BTreeMap<(u64, u64), T>,
    last_sequence: u64,
}

impl<T> EventQueue<T> {
    /// Builds an empty queue.
    pub const fn new() -> Self {
        Self { events: BTreeMap::new(), last_sequence: 0 }
    }

    /// Schedules an event.
    pub fn push(&mut self, at_ms: u64, event: T) {
        self.last_sequence += 1;
        self.events.insert((at_ms, self.last_sequence), event);
    }

    /// Removes the next event and returns it with its time.
    pub fn pop(&mut self) -> Option<(u64, T)> {
        self.events.pop_first().map(|((at_ms, _), event)| (at_ms, event))
    }
}
