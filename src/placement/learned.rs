//! What runs have shown of upstreams and of work, as far as decisions use it.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::tasks::{Queue, StepSpec};

/// Figures learned from runs. The default knows nothing, and then callers' estimates count.
#[derive(Debug, Clone, Default)]
pub(crate) struct Learned {
    /// Run times of the tasks of queues, by name.
    run_ms: BTreeMap<Arc<str>, u64>,
}

impl Learned {
    /// Returns the expected run time of a step's tasks without interruptions.
    pub(crate) fn expected_run_ms(&self, queue: &Queue, step: &StepSpec) -> u64 {
        self.run_ms.get(&queue.name).copied().unwrap_or(step.estimate_ms)
    }
}
