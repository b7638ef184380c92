//! Timers of the scheduling core.

use std::collections::{BTreeMap, BTreeSet};

use super::event::GangId;
use super::pool::{RackIx, UpstreamIx};

/// Action that is due at a given time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A gang's messages stayed unanswered, or its lease ended.
    Gang(GangId),
    /// The gangs of a rack are renewed.
    Rack(RackIx),
    /// A pause of an upstream ends, or a probe is due.
    Resume(UpstreamIx),
    /// A lost upstream is removed from the layout.
    RemoveFromLayout(UpstreamIx),
    /// A gang that was asked for a checkpoint is stopped.
    Reclaim(GangId),
    /// Waiting jobs are reviewed.
    Starvation,
    /// Jobs under which upstreams have crashed are judged again.
    Crashes,
    /// Guaranteed blocks at risk are reviewed.
    Guarantees,
    /// The time for upstreams to announce themselves after a start is over.
    DiscoveryEnded,
}

/// Timers that are set, each with one due time.
#[derive(Debug, Default)]
pub struct Timers {
    due: BTreeSet<(u64, Timer)>,
    at: BTreeMap<Timer, u64>,
}

impl Timers {
    /// Sets the due time and replaces an earlier setting.
    pub fn set(&mut self, timer: Timer, due_ms: u64) {
        if let Some(old) = self.at.insert(timer, due_ms) {
            self.due.remove(&(old, timer));
        }
        self.due.insert((due_ms, timer));
    }

    /// Sets the due time unless the timer is due earlier.
    pub fn set_earlier(&mut self, timer: Timer, due_ms: u64) {
        if self.at.get(&timer).is_none_or(|at| *at > due_ms) {
            self.set(timer, due_ms);
        }
    }

    /// Removes the timer.
    pub fn clear(&mut self, timer: Timer) {
        if let Some(old) = self.at.remove(&timer) {
            self.due.remove(&(old, timer));
        }
    }

    /// Returns whether the timer is set.
    pub fn is_set(&self, timer: Timer) -> bool {
        self.at.contains_key(&timer)
    }

    /// Takes the earliest timer that is due.
    pub fn take_due(&mut self, now_ms: u64) -> Option<Timer> {
        let &(due_ms, timer) = self.due.first()?;
        if due_ms > now_ms {
            return None;
        }
        self.clear(timer);
        Some(timer)
    }

    /// Returns the earliest due time.
    pub fn next_due_ms(&self) -> Option<u64> {
        self.due.first().map(|(due_ms, _)| *due_ms)
    }
}
