//! Maintenance of physical hosts in waves.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::upstream::Incarnation;

/// Progress of the maintenance of one physical host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum MachineState {
    Waiting,
    /// Ordered or under way; `former` is the upstream that ran there before, if one was known.
    Down {
        former: Option<Incarnation>,
    },
    /// Finished, or not needed.
    Done,
}

impl MachineState {
    /// Returns whether the host counts against the wave's cap.
    pub(crate) fn counts_as_down(&self) -> bool {
        matches!(self, Self::Down { .. })
    }
}

/// One wave of maintenance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Wave {
    pub(crate) machines: BTreeMap<Arc<str>, MachineState>,
    /// Maximum number of hosts that may be down at once.
    pub(crate) cap: u32,
    /// Time within which all hosts should be maintained.
    pub(crate) duration_ms: u64,
    /// When it was requested, in cluster time.
    pub(crate) started_ms: u64,
}

impl Wave {
    /// Returns whether the maintenance of all hosts is finished.
    pub(crate) fn is_completed(&self) -> bool {
        self.machines.values().all(|state| *state == MachineState::Done)
    }
}
