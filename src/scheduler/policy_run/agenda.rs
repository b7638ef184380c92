//! What happens next in a simulated data centre.

use std::collections::BTreeMap;

/// Items by time; items of one time keep their order.
#[derive(Debug)]
pub struct Agenda<T> {
    items: BTreeMap<(u64, u64), T>,
    next: u64,
}

impl<T> Agenda<T> {
    /// Builds an empty agenda.
    pub const fn new() -> Self {
        Self { items: BTreeMap::new(), next: 0 }
    }

    /// Adds an item.
    pub fn add(&mut self, at_ms: u64, item: T) {
        self.next += 1;
        self.items.insert((at_ms, self.next), item);
    }

    /// Takes the next item.
    pub fn pop(&mut self) -> Option<(u64, T)> {
        self.items.pop_first().map(|((at_ms, _), item)| (at_ms, item))
    }
}
