//! This host's shares of the limits of upstreams: taking them in, keeping to them, reporting use.

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
    /// Applies the complete list of this host's shares, valid until `until`.
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
            state.lent = None;
        }
        for (name, incarnation, allowance) in shares {
            if let Some(state) = table.current(&name, incarnation) {
                state.lent = Some(allowance);
                state.pool.shrink(allowance.connections);
            }
        }
        table.pump(self);
    }

    /// Returns the lent shares whose lease has not ended; work that has outlasted a larger share
    /// counts as held.
    pub(crate) fn held_shares(&self) -> Vec<(UpstreamName, u64, Allowance)> {
        let table = self.lock();
        if !table.shares_valid(Instant::now()) {
            return Vec::new();
        }
        let held = table.upstreams.values().filter(|state| !state.leaving);
        let share = |state: &UpstreamState| {
            let mut lent = state.lent?;
            lent.slots = lent.slots.max(state.slots_in_use);
            Some((state.info.name.clone(), state.info.incarnation, lent))
        };
        held.filter_map(share).collect()
    }

    /// Extends the lease of the shares in force.
    pub(crate) fn renew_shares(&self, until: Instant) {
        let mut table = self.lock();
        table.shares_until = Some(until);
        table.pump(self);
    }

    /// Returns the share revision whose limits this host keeps now, if it keeps them.
    ///
    /// A shrunk share is acknowledged only once the use has come down to it.
    pub(crate) fn acknowledged_revision(&self) -> Option<u64> {
        let mut table = self.lock();
        let hosts = self.shared.settings.local_entry_hosts;
        let valid = table.shares_valid(Instant::now());
        // Control no longer shares the limits of an upstream that leaves.
        let mut shared = table.upstreams.values_mut().filter(|state| !state.leaving);
        let within = shared.all(|state| {
            let allowance = state.allowance(hosts, valid);
            state.pool.shrink(allowance.connections);
            state.slots_in_use <= allowance.slots
                && state.pool.open().get() <= allowance.connections
        });
        within.then_some(table.share_revision)
    }

    /// Closes idle connections beyond this host's shares and forgets what is long gone.
    ///
    /// Control may give a share away soon after its lease, so this has to run more often.
    pub(crate) fn tidy(&self) {
        let now = Instant::now();
        let hosts = self.shared.settings.local_entry_hosts;
        let mut table = self.lock();
        let valid = table.shares_valid(now);
        for state in table.upstreams.values_mut() {
            let limit = state.allowance(hosts, valid).connections;
            state.pool.shrink(limit);
        }
        table.forget(now);
    }

    /// Returns use and demand of every upstream with either.
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
    /// Spreads the waiting requests of each service over its upstreams, as demand for slots.
    fn wanted_slots(&self) -> BTreeMap<UpstreamName, u32> {
        let mut wanted = BTreeMap::new();
        for (service, waiting) in &self.waiting {
            let count = waiting.len(Class::Interactive) + waiting.len(Class::Batch);
            let names = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
            if count == 0 || names.is_empty() {
                continue;
            }
            let each = u32::try_from(count.div_ceil(names.len())).unwrap_or(u32::MAX);
            for name in names {
                *wanted.entry(name.clone()).or_default() += each;
            }
        }
        wanted
    }
}
