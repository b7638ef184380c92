//! Selects the physical hosts of a wave that go down for maintenance next, and when.
//!
//! A wave is limited by a cap while other work runs on. Hosts with the least work go first; their
//! work may end or move away for as long as the duration of the wave allows.

use std::sync::Arc;

use crate::tasks::{MachineState, Wave};

/// Allowance for orders and reports around each maintenance.
const ORDER_MARGIN_MS: u64 = 1_500;

/// A host of a wave that may go down next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Candidate {
    pub(crate) machine: Arc<str>,
    /// Number of runs on it.
    pub(crate) runs: u64,
}

/// Returns how many more hosts of a wave may go down now.
pub(crate) fn free_wave_slots(wave: &Wave) -> usize {
    let down = wave.machines.values().filter(|state| state.counts_as_down()).count();
    (wave.cap as usize).saturating_sub(down)
}

/// Sorts candidates by their number of runs, fewest first.
pub(crate) fn order_candidates(mut candidates: Vec<Candidate>) -> Vec<Candidate> {
    candidates.sort_by(|a, b| (a.runs, &a.machine).cmp(&(b.runs, &b.machine)));
    candidates
}

/// Returns how long the runs on a host may take to end or move away before it goes down.
pub(crate) fn evacuation_limit_ms(wave: &Wave, now_ms: u64, maintenance_ms: u64) -> u64 {
    let waiting = wave.machines.values().filter(|state| **state == MachineState::Waiting).count();
    let rounds = (waiting as u64).div_ceil(u64::from(wave.cap.max(1))).max(1);
    let left_ms = (wave.started_ms + wave.duration_ms).saturating_sub(now_ms);
    (left_ms / rounds).saturating_sub(maintenance_ms + ORDER_MARGIN_MS)
}
