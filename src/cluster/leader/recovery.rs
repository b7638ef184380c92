//! Steps from the start of a leader's term until the pool is at work again, with their durations.
//!
//! Load pattern: all control hosts were lost, and callers return together while the lists of all upstreams
//! are still being read. Until an upstream's lists were read its capacity is not in use, but a forecast
//! that counted only the upstreams that have answered would refuse nearly all callers.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

use tracing::info;

use super::Leader;
use crate::cluster::clock::boot_ms;
use crate::placement::Host;
use crate::tasks::State;

/// Time from the start of a term in which upstreams whose lists were not read yet count as capacity of
/// the near future. An upstream that has not answered after this time counts as silent.
const FIRST_CONTACT_MS: u64 = super::session::SILENT_AFTER_MS;

/// A step of a leader's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(super) enum Step {
    #[display("sessions are opened")]
    Sessions,
    #[display("first lists are read")]
    FirstLists,
    #[display("half of the lists are read")]
    HalfOfLists,
    #[display("nine tenths of the lists are read")]
    MostLists,
    #[display("first decision is made")]
    FirstDecision,
    #[display("first start is ordered")]
    FirstStart,
}

impl Step {
    /// Returns the name of the step in metrics.
    const fn name(self) -> &'static str {
        match self {
            Self::Sessions => "sessions",
            Self::FirstLists => "first lists",
            Self::HalfOfLists => "half of lists",
            Self::MostLists => "most lists",
            Self::FirstDecision => "first decision",
            Self::FirstStart => "first start",
        }
    }
}

/// Steps that a leader has reached in its term.
#[derive(Debug, Clone, Default)]
pub(super) struct RecoverySteps {
    reached: Vec<Step>,
}

impl RecoverySteps {
    /// Records a step; returns whether it is reached for the first time.
    pub(super) fn reach(&mut self, step: Step) -> bool {
        let is_new = !self.reached.contains(&step);
        if is_new {
            self.reached.push(step);
        }
        is_new
    }
}

/// Returns the steps that are reached once the lists of `read` of `all` upstreams were read.
pub(super) fn list_steps(read: usize, all: usize) -> impl Iterator<Item = Step> {
    let parts = [
        (Step::FirstLists, read > 0),
        (Step::HalfOfLists, read * 2 >= all),
        (Step::MostLists, read * 10 >= all * 9),
    ];
    parts.into_iter().filter(move |(_, reached)| *reached && read > 0).map(|(step, _)| step)
}

/// Returns the upstreams in the order in which a new leader contacts them: whole racks one after the
/// other, so that gangs fit early, and first the racks in which runs wait for their leases.
pub(super) fn contact_order<T>(
    mut upstreams: Vec<T>,
    rack_and_runs: impl Fn(&T) -> (Arc<str>, usize),
) -> Vec<T> {
    let mut runs_of_rack = HashMap::new();
    for upstream in &upstreams {
        let (rack, runs) = rack_and_runs(upstream);
        *runs_of_rack.entry(rack).or_insert(0) += runs;
    }
    upstreams.sort_by_cached_key(|upstream| {
        let (rack, _) = rack_and_runs(upstream);
        (Reverse(runs_of_rack[&rack]), rack)
    });
    upstreams
}

impl Leader {
    /// Logs a step of the recovery and records its time, the first time that it is reached.
    pub(super) fn reach_step(&self, step: Step) {
        if !self.term_state().recovery.reach(step) {
            return;
        }
        let after_ms = boot_ms().saturating_sub(self.begun_ms);
        self.replica.metrics.recovery_step(step.name(), after_ms);
        info!(term = self.term, %step, after_ms, "step of the recovery");
    }

    /// Logs how far the reading of the lists is.
    pub(super) fn reach_list_steps(&self) {
        let (read, all) = {
            let term_state = self.term_state();
            let sessions = term_state.sessions.values();
            (sessions.filter(|session| session.lists_read).count(), term_state.sessions.len())
        };
        for step in list_steps(read, all) {
            self.reach_step(step);
        }
    }

    /// Returns the upstreams as input of a forecast: those whose lists are about to be read for the first
    /// time count as taking work.
    pub(super) fn hosts_for_forecast(
        &self,
        state: &State,
        hosts: &Arc<Vec<Host>>,
        now_ms: u64,
    ) -> Arc<Vec<Host>> {
        if now_ms > self.begun_ms + FIRST_CONTACT_MS {
            return Arc::clone(hosts);
        }
        let term_state = self.term_state();
        let forecast = |host: &Host| {
            let session = term_state.sessions.get(&host.incarnation.id);
            let is_read = session.is_some_and(|session| session.lists_read);
            match state.upstreams.get(&host.incarnation.id) {
                Some(upstream) if !is_read => {
                    Host::of(state, upstream, !upstream.heartbeat.draining)
                }
                _ => host.clone(),
            }
        };
        Arc::new(hosts.iter().map(forecast).collect())
    }
}
