//! Waves of maintenance of physical hosts.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::upstream::Life;

/// How far the maintenance of one physical host is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum MachineState {
    Waiting,
    /// Ordered or under way; the life that ran there before, if one was known.
    Down {
        former: Option<Life>,
    },
    /// Back, or not to be maintained at all.
    Done,
}

impl MachineState {
    /// Tells whether the host counts against the wave's cap.
    pub(crate) fn counts_as_down(&self) -> bool {
        matches!(self, Self::Down { .. })
    }
}

/// One wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Wave {
    pub(crate) machines: BTreeMap<Arc<str>, MachineState>,
    /// Most hosts that may be down at once.
    pub(crate) cap: u32,
    /// Time within which all should have been maintained.
    pub(crate) duration_ms: u64,
    /// When it was asked for, in cluster time.
    pub(crate) started_ms: u64,
}

impl Wave {
    /// Tells whether all hosts have been maintained.
    pub(crate) fn is_completed(&self) -> bool {
        self.machines.values().all(|state| *state == MachineState::Done)
    }
}
