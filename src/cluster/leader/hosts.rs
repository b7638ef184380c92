//! Upstreams as input of decisions and admissions.

use std::sync::Arc;
use std::time::Duration;

use super::Leader;
use super::scheduling::PASS_INTERVAL;
use crate::cluster::clock::boot_ms;
use crate::placement::Host;
use crate::tasks::{Incarnation, State};

/// Largest share of the pool that may be set aside.
const SET_ASIDE_MAX_PERCENT: usize = 34;

/// Longest time for which an upstream is believed to be slow; its next heartbeat renews it.
const COLD_MAX_MS: u64 = 60_000;

/// Upstreams as the newest decision saw them. Listing all of them for each submission would take a
/// leader of many upstreams longer than the admission itself.
#[derive(Debug, Clone)]
pub(super) struct KnownHosts {
    fleet_version: u64,
    at_ms: u64,
    hosts: Arc<Vec<Host>>,
}

impl KnownHosts {
    /// Returns whether these are still the registered upstreams, and no older than the input of a pass.
    fn is_recent(&self, state: &State, now_ms: u64) -> bool {
        let age = Duration::from_millis(now_ms.saturating_sub(self.at_ms));
        self.fleet_version == state.fleet_version() && age <= PASS_INTERVAL
    }
}

impl Leader {
    /// Returns the upstreams as input of an admission, which need not know their newest contacts.
    pub(super) fn recent_hosts(&self, state: &State, now_ms: u64) -> Arc<Vec<Host>> {
        let known = self.term_state().known_hosts.clone();
        match known {
            Some(known) if known.is_recent(state, now_ms) => known.hosts,
            _ => self.renewed_hosts(state, now_ms),
        }
    }

    /// Returns the upstreams as input of a placement decision, and keeps them for admissions.
    pub(super) fn renewed_hosts(&self, state: &State, now_ms: u64) -> Arc<Vec<Host>> {
        let hosts = Arc::new(self.hosts(state, now_ms));
        let fleet_version = state.fleet_version();
        let known = KnownHosts { fleet_version, at_ms: now_ms, hosts: Arc::clone(&hosts) };
        self.term_state().known_hosts = Some(known);
        hosts
    }

    /// Returns the upstreams as they are now.
    pub(super) fn hosts(&self, state: &State, now_ms: u64) -> Vec<Host> {
        let term_state = self.term_state();
        let mut hosts: Vec<Host> = Vec::with_capacity(state.upstreams.len());
        let mut set_aside: Vec<(u64, usize)> = Vec::new();
        for upstream in state.upstreams.values() {
            let incarnation = upstream.incarnation();
            let session = term_state
                .sessions
                .get(&incarnation.id)
                .filter(|session| session.incarnation == incarnation);
            let ready = session.is_some_and(|s| s.lists_read && s.is_reachable(now_ms))
                && !term_state.superseded.contains_key(&incarnation);
            let heartbeat = &upstream.heartbeat;
            let evacuated = heartbeat
                .machine
                .as_ref()
                .is_some_and(|machine| term_state.evacuating.contains_key(machine));
            let takes_work = ready && !heartbeat.draining && !evacuated;
            let is_cold = term_state.cold_until_ms.get(&incarnation).is_some_and(|ms| *ms > now_ms);
            let host = Host { is_cold, ..Host::of(state, upstream, takes_work) };
            let until_ms = session.map_or(0, |session| session.set_aside_until_ms);
            if until_ms > now_ms && host.takes_work {
                set_aside.push((until_ms, hosts.len()));
            }
            hosts.push(host);
        }
        // If more than this share fails runs, an upstream that may fail is better than none.
        set_aside.sort_unstable_by(|a, b| b.cmp(a));
        let set_aside_max = hosts.len() * SET_ASIDE_MAX_PERCENT / 100;
        for (_, host) in set_aside.into_iter().take(set_aside_max) {
            hosts[host].takes_work = false;
        }
        hosts
    }

    /// Records for how long an upstream is slow. A new leader learns it from the next heartbeat.
    pub(super) fn record_cold(&self, incarnation: &Incarnation, remaining_ms: u64) {
        let mut term_state = self.term_state();
        if remaining_ms == 0 {
            term_state.cold_until_ms.remove(incarnation);
        } else {
            let until_ms = boot_ms() + remaining_ms.min(COLD_MAX_MS);
            term_state.cold_until_ms.insert(incarnation.clone(), until_ms);
        }
    }
}
