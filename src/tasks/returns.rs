//! Callers that were refused and told when to submit their jobs again.
//!
//! They are part of the replicated state, so that a new leader keeps the order in which callers return.
//! They are recorded in batches: losing the latest second of them costs a caller its turn and nothing
//! else.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::ids::JobId;
use super::state::State;

/// Time for which a caller may be late without losing its turn.
pub(crate) const RETURN_MARGIN_MS: u64 = 2_000;

/// Largest number of callers whose turns are kept; those that return last are forgotten first. They
/// take less than a megabyte.
pub(crate) const RETURNS_MAX: usize = 4_096;

/// A caller that was told to return.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PromisedReturn {
    /// When the caller submitted the job first; the job's objective counts from then.
    pub(crate) first_ms: u64,
    /// When it is to submit the job again.
    pub(crate) at_ms: u64,
    pub(crate) service: Arc<str>,
    pub(crate) priority: u32,
    /// Empty if the queue is public.
    pub(crate) organisation: Arc<str>,
    /// Time in which the whole pool does the job's work.
    pub(crate) work_ms: u64,
}

impl PromisedReturn {
    /// Returns whether the caller did not return in time.
    pub(crate) fn is_missed(&self, now_ms: u64) -> bool {
        now_ms > self.at_ms.saturating_add(RETURN_MARGIN_MS)
    }
}

impl State {
    pub(super) fn record_returns(&mut self, returns: Vec<(JobId, PromisedReturn)>) {
        for (id, promised) in returns {
            // The caller may have returned and been accepted before this entry was committed.
            if !self.jobs.contains_key(&id) {
                self.returns.insert(id, promised);
            }
        }
        self.forget_missed_returns();
        let excess = self.returns.len().saturating_sub(RETURNS_MAX);
        if excess > 0 {
            let mut latest: Vec<_> =
                self.returns.iter().map(|(id, promised)| (promised.at_ms, id.clone())).collect();
            latest.sort_unstable_by(|a, b| b.cmp(a));
            for (_, id) in latest.into_iter().take(excess) {
                self.returns.remove(&id);
            }
        }
    }

    pub(super) fn forget_missed_returns(&mut self) {
        let now_ms = self.now_ms;
        self.returns.retain(|_, promised| !promised.is_missed(now_ms));
    }
}
