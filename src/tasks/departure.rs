//! Announced departures of upstreams, as part of the replicated state.
//!
//! The end of an upstream is noticed seconds after it was announced, at times by another leader. So
//! what was announced is kept here until the upstream is removed.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::state::State;
use super::upstream::{Incarnation, Upstream};
use super::wave::MachineState;

/// What was announced of the end of an upstream, beyond its drain, which its heartbeats state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Departure {
    /// It has said that it leaves now.
    pub(crate) leaves: bool,
    /// Its physical host goes down for maintenance.
    pub(crate) maintained: bool,
}

/// Announced departures of registered upstreams.
pub(crate) type Departures = BTreeMap<Incarnation, Departure>;

impl State {
    /// Returns what was announced of the end of an upstream.
    pub(crate) fn departure_of(&self, incarnation: &Incarnation) -> Departure {
        self.departures.get(incarnation).copied().unwrap_or_default()
    }

    /// Records that an upstream has said that it leaves now.
    pub(super) fn record_leave(&mut self, incarnation: Incarnation) {
        if self.is_registered(&incarnation) {
            self.departures.entry(incarnation).or_default().leaves = true;
        }
    }

    /// Records for the upstreams of a physical host whether its maintenance is about to end them.
    ///
    /// Once another upstream has registered there, the maintenance is over, and the former one stays
    /// marked: its end may not have been noticed yet.
    pub(super) fn record_maintenance(&mut self, machine: &Arc<str>, progress: &MachineState) {
        let on_machine: Vec<_> = self
            .upstreams
            .values()
            .filter(|upstream| upstream.heartbeat.machine.as_ref() == Some(machine))
            .map(Upstream::incarnation)
            .collect();
        let maintained = progress.counts_as_down();
        let has_returned = on_machine.iter().any(|up| !self.departure_of(up).maintained);
        if !maintained && has_returned {
            return;
        }
        for incarnation in on_machine {
            self.departures.entry(incarnation).or_default().maintained = maintained;
        }
    }
}
