//! Work that runs lost in a replay, by cause.

use std::collections::BTreeMap;

use serde::Serialize;

/// Runs that ended without their result, and the work that they lost, by cause.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Discarded {
    /// Number of runs by cause.
    pub runs: BTreeMap<String, u64>,
    /// Lost work by cause, in core-equivalent milliseconds.
    pub core_ms: BTreeMap<String, u64>,
}

impl Discarded {
    pub(super) fn add(&mut self, cause: String, core_ms: u64) {
        *self.runs.entry(cause.clone()).or_default() += 1;
        *self.core_ms.entry(cause).or_default() += core_ms;
    }

    /// Returns the lost work of all causes, in core-equivalent milliseconds.
    pub(super) fn total_core_ms(&self) -> u64 {
        self.core_ms.values().sum()
    }
}
