//! This host's shares of the slots and connections of upstreams.
//!
//! Control leases the shares. The host applies and enforces them and reports use and demand.

use std::collections::BTreeMap;

use tokio::time::Instant;

use super::Upstreams;
use super::state::{Allowance, UpstreamState};
use super::table::Table;
use crate::class::Class;
use crate::names::UpstreamName;

/// Use and demand of one upstream, as reported to control.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ShareReport {
    pub(crate) upstream: UpstreamName,
    pub(crate) slots_in_use: u32,
    pub(crate) connections_in_use: u32,
    /// Slots that waiting requests could use beyond those in use.
    pub(crate) slots_wanted: u32,
}

impl Upstreams {
    /// Replaces this host's shares by a new list, whose lease ends at `until`.
    pub(crate) fn apply_shares(
        &self,
        revision: u64,
        shares: impl IntoIterator<Item = (UpstreamName, u64, Allowance)>,
        until: Instant,
    ) {
        let mut table = self.lock();
        table.share_revision = revision;
        table.shares_until = Some(until);
        for state in table.upstreams.values_mut() {
            state.leased_share = None;
        }
        for (name, incarnation, allowance) in shares {
            if let Some(state) = table.current(&name, incarnation) {
                state.leased_share = Some(allowance);
                state.pool.shrink(allowance.connections);
            }
        }
        table.grant_free_slots(self);
    }

    /// Returns the leased shares, or none after the end of their lease.
    ///
    /// If a share was reduced below the slots in use, the slots in use are returned.
    pub(crate) fn held_shares(&self) -> Vec<(UpstreamName, u64, Allowance)> {
        let table = self.lock();
        if !table.shares_valid(Instant::now()) {
            return Vec::new();
        }
        let staying = table.upstreams.values().filter(|state| !state.leaving);
        let held_share = |state: &UpstreamState| {
            let mut share = state.leased_share?;
            share.slots = share.slots.max(state.slots_in_use);
            Some((state.info.name.clone(), state.info.incarnation, share))
        };
        staying.filter_map(held_share).collect()
    }

    /// Extends the lease of the current shares.
    pub(crate) fn renew_shares(&self, until: Instant) {
        let mut table = self.lock();
        table.shares_until = Some(until);
        table.grant_free_slots(self);
    }

    /// Returns the share revision if the use of every upstream is within its share.
    ///
    /// A reduced share is therefore acknowledged only after the use has dropped to it.
    pub(crate) fn acknowledged_revision(&self) -> Option<u64> {
        let mut table = self.lock();
        let hosts = self.shared.settings.local_entry_hosts;
        let valid = table.shares_valid(Instant::now());
        // Control no longer divides the limits of a leaving upstream among hosts.
        let mut staying = table.upstreams.values_mut().filter(|state| !state.leaving);
        let within_limits = staying.all(|state| {
            let allowance = state.allowance(hosts, valid);
            state.pool.shrink(allowance.connections);
            state.slots_in_use <= allowance.slots
                && state.pool.open().get() <= allowance.connections
        });
        within_limits.then_some(table.share_revision)
    }

    /// Closes idle connections beyond this host's shares and removes expired records.
    ///
    /// Control gives a share to another host a short delay after its lease has ended. The calls
    /// have to be closer together than that delay.
    pub(crate) fn maintain(&self) {
        let now = Instant::now();
        let hosts = self.shared.settings.local_entry_hosts;
        let mut table = self.lock();
        let valid = table.shares_valid(now);
        for state in table.upstreams.values_mut() {
            let limit = state.allowance(hosts, valid).connections;
            state.pool.shrink(limit);
        }
        table.prune(now);
    }

    /// Returns the use and demand of each upstream, without those that have neither.
    pub(crate) fn share_reports(&self) -> Vec<ShareReport> {
        let table = self.lock();
        let wanted = table.wanted_slots();
        table
            .upstreams
            .iter()
            .map(|(name, state)| ShareReport {
                upstream: name.clone(),
                slots_in_use: state.slots_in_use,
                connections_in_use: state.pool.open().get(),
                slots_wanted: wanted.get(name).copied().unwrap_or(0),
            })
            .filter(|report| {
                report.slots_in_use + report.slots_wanted + report.connections_in_use > 0
            })
            .collect()
    }
}

impl Table {
    /// Returns the demand for slots: the waiting requests of each service, divided evenly among its
    /// upstreams.
    fn wanted_slots(&self) -> BTreeMap<UpstreamName, u32> {
        let mut wanted = BTreeMap::new();
        for (service, queue) in &self.wait_queues {
            let count = queue.len(Class::Interactive) + queue.len(Class::Batch);
            let names = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
            if count == 0 || names.is_empty() {
                continue;
            }
            let per_upstream = u32::try_from(count.div_ceil(names.len())).unwrap_or(u32::MAX);
            for name in names {
                *wanted.entry(name.clone()).or_default() += per_upstream;
            }
        }
        wanted
    }
}
