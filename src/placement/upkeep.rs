//! Which physical hosts of a wave go down for maintenance next, and when.
//!
//! Load: a wave of maintenance under a cap, beside work that runs on. Hosts with the least work
//! go first; their work may end or move away for as long as the wave's time allows.

use std::sync::Arc;

use crate::tasks::{MachineState, Wave};

/// Time kept for orders and reports around each maintenance, in milliseconds.
const MARGIN_MS: u64 = 1_500;

/// A host of a wave that may go down next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Candidate {
    pub(crate) machine: Arc<str>,
    /// Unsaved work there, in core-milliseconds.
    pub(crate) unsaved: u64,
}

/// Returns how many more hosts of a wave may begin now.
pub(crate) fn open_places(wave: &Wave) -> usize {
    let down = wave.machines.values().filter(|state| state.counts_as_down()).count();
    (wave.cap as usize).saturating_sub(down)
}

/// Orders candidates: the least work first.
pub(crate) fn order(mut candidates: Vec<Candidate>) -> Vec<Candidate> {
    candidates.sort_by(|a, b| (a.unsaved, &a.machine).cmp(&(b.unsaved, &b.machine)));
    candidates
}

/// Returns how long the work on a host may take to end or move away before it goes down.
pub(crate) fn patience_ms(wave: &Wave, now_ms: u64, maintenance_ms: u64) -> u64 {
    let waiting = wave.machines.values().filter(|state| **state == MachineState::Waiting).count();
    let rounds = (waiting as u64).div_ceil(u64::from(wave.cap.max(1))).max(1);
    let left_ms = (wave.started_ms + wave.duration_ms).saturating_sub(now_ms);
    (left_ms / rounds).saturating_sub(maintenance_ms + MARGIN_MS)
}
