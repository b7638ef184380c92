//! Data centres on whose upstreams nothing more may start.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::state::State;
use super::upstream::Incarnation;

/// Time for which a finished evacuation is remembered. No request that was sent before it arrives later,
/// and the load on the data centre has long returned.
const FINISHED_KEPT_MS: u64 = 3_600_000;

/// The latest evacuation of a data centre; times are cluster times.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Evacuation {
    /// Number of times that it has begun or was finished.
    pub(crate) revision: u64,
    pub(crate) began_ms: u64,
    /// When it was finished; `None` while it lasts.
    pub(crate) finished_ms: Option<u64>,
}

/// Evacuations by data centre: those that last, and those that were finished lately.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Evacuations(BTreeMap<Arc<str>, Evacuation>);

impl Evacuations {
    /// Returns the latest evacuation of a data centre, if it is remembered.
    pub(crate) fn get(&self, data_centre: &str) -> Option<&Evacuation> {
        self.0.get(data_centre)
    }

    /// Returns whether a data centre is being evacuated.
    pub(crate) fn is_active(&self, data_centre: &str) -> bool {
        self.get(data_centre).is_some_and(|evacuation| evacuation.finished_ms.is_none())
    }

    /// Iterates over the evacuations that last.
    pub(crate) fn active(&self) -> impl Iterator<Item = (&Arc<str>, &Evacuation)> {
        self.0.iter().filter(|(_, evacuation)| evacuation.finished_ms.is_none())
    }

    /// Iterates over the evacuations that were finished lately.
    pub(crate) fn finished(&self) -> impl Iterator<Item = (&Arc<str>, &Evacuation)> {
        self.0.iter().filter(|(_, evacuation)| evacuation.finished_ms.is_some())
    }

    /// Returns how often the evacuation of a data centre has begun or was finished.
    pub(crate) fn revision(&self, data_centre: &str) -> u64 {
        self.get(data_centre).map_or(0, |evacuation| evacuation.revision)
    }

    /// Begins or finishes an evacuation, unless that is done already.
    ///
    /// A request that was delayed must not undo a later one, so it has no effect if another revision than
    /// the one that it was made for is current.
    pub(super) fn set(&mut self, data_centre: Arc<str>, begin: bool, revision: u64, now_ms: u64) {
        self.0.retain(|_, evacuation| {
            evacuation.finished_ms.is_none_or(|at_ms| now_ms <= at_ms + FINISHED_KEPT_MS)
        });
        let current = self.revision(&data_centre);
        if self.is_active(&data_centre) == begin || current != revision {
            return;
        }
        let began_ms = self.get(&data_centre).filter(|_| !begin).map_or(now_ms, |e| e.began_ms);
        let finished_ms = (!begin).then_some(now_ms);
        let evacuation = Evacuation { revision: revision + 1, began_ms, finished_ms };
        self.0.insert(data_centre, evacuation);
    }
}

impl State {
    /// Returns the data centre of a registered upstream, by its newest heartbeat.
    pub(crate) fn data_centre_of(&self, incarnation: &Incarnation) -> Option<&Arc<str>> {
        let known = self.upstreams.get(&incarnation.id)?;
        let is_current = known.heartbeat.born_unix_ms == incarnation.born_unix_ms;
        is_current.then_some(&known.heartbeat.data_centre)
    }

    /// Returns whether nothing may start on an upstream, since its data centre is being evacuated.
    pub(crate) fn is_evacuated(&self, incarnation: &Incarnation) -> bool {
        self.data_centre_of(incarnation).is_some_and(|name| self.evacuations.is_active(name))
    }
}
