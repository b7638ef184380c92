//! Free capacity of one host, which may be negative after the host has shrunk.

use std::ops::Deref;

use crate::tasks::Resources;

/// Free capacity of a host.
///
/// While more is in use than the host holds, released capacity first makes up for the excess.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FreeCapacity {
    free: Resources,
    /// What is in use beyond the host's capacity.
    excess: Resources,
}

impl FreeCapacity {
    pub(super) fn new(capacity: Resources) -> Self {
        Self { free: capacity, excess: Resources::default() }
    }

    /// Takes the capacity of a task.
    pub(super) fn subtract(&mut self, need: &Resources) {
        let mut uncovered = *need;
        uncovered.subtract(&self.free);
        self.free.subtract(need);
        self.excess.add(&uncovered);
    }

    /// Releases the capacity of a task.
    pub(super) fn add(&mut self, need: &Resources) {
        let mut released = *need;
        released.subtract(&self.excess);
        self.excess.subtract(need);
        self.free.add(&released);
    }
}

impl Deref for FreeCapacity {
    type Target = Resources;

    fn deref(&self) -> &Resources {
        &self.free
    }
}
