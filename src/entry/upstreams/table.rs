//! The table of upstreams and the requests parked for them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use super::Slot;
use super::state::{Allowance, UpstreamInfo, UpstreamState};
use super::waiting::{Waiter, Waiting};
use crate::class::Class;
use crate::entry::pool::{Connection, OpenPermit, PoolTimes};
use crate::error::StepError;
use crate::names::{ServiceName, UpstreamName};

/// Fixed values of the table.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TableSettings {
    /// Entry hosts that share each upstream's limits, this one included.
    pub(crate) local_entry_hosts: u32,
    pub(crate) upstream_lease: Duration,
    pub(crate) pool_times: PoolTimes,
    /// Most requests parked at once.
    pub(crate) park_max: usize,
    /// One in this many dispatches is batch while batch waits.
    pub(crate) batch_share_one_in: u32,
}

/// Upstreams of this host's data centre; clones share one table.
#[derive(Debug, Clone)]
pub(crate) struct Upstreams {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: TableSettings,
    table: Mutex<Table>,
    /// Wakes the task that reports use and demand to control.
    demand_changed: Notify,
}

#[derive(Debug, Default)]
struct Table {
    upstreams: BTreeMap<UpstreamName, UpstreamState>,
    by_service: BTreeMap<ServiceName, Vec<UpstreamName>>,
    /// Highest incarnation that has left; it outranks any announcement up to it.
    left: BTreeMap<UpstreamName, u64>,
    waiting: BTreeMap<ServiceName, Waiting>,
    parked: usize,
    shares_until: Option<Instant>,
    share_revision: u64,
}

/// A request that waits for a slot.
#[derive(Debug)]
pub(crate) struct Parked {
    receiver: oneshot::Receiver<Slot>,
    upstreams: Upstreams,
}

/// Why a request may not wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ParkRefusal {
    /// The host holds as many waiting requests as it may.
    Full,
    /// The service's document bounds how many batch requests wait.
    BatchFull,
}

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
    pub(crate) fn new(settings: TableSettings) -> Self {
        let shared =
            Shared { settings, table: Mutex::new(Table::default()), demand_changed: Notify::new() };
        Self { shared: Arc::new(shared) }
    }

    /// Applies an announcement; false if it is outranked by a leave or a newer incarnation.
    pub(crate) fn announce(&self, info: UpstreamInfo) -> bool {
        let lease_until = Instant::now() + self.shared.settings.upstream_lease;
        let mut table = self.lock();
        let applied = table.announce(info, lease_until);
        table.pump(self);
        applied
    }

    /// Tells whether a live upstream has announced exactly this before.
    pub(crate) fn is_known(&self, info: &UpstreamInfo) -> bool {
        let table = self.lock();
        let state = table.upstreams.get(&info.name);
        state.is_some_and(|state| state.info == *info && state.is_live(Instant::now()))
    }

    /// Applies a leave; the incarnation and older ones get nothing new.
    pub(crate) fn leave(&self, name: &UpstreamName, incarnation: u64) {
        self.lock().leave(name, incarnation);
    }

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
        let within = table.upstreams.values_mut().all(|state| {
            let allowance = state.allowance(hosts, valid);
            state.pool.shrink(allowance.connections);
            state.slots_in_use <= allowance.slots
                && state.pool.open().get() <= allowance.connections
        });
        within.then_some(table.share_revision)
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

    /// Waits until demand has changed in a way that control should hear of at once.
    pub(crate) async fn demand_changed(&self) {
        self.shared.demand_changed.notified().await;
    }

    /// Reserves a slot at once, unless none is free or an earlier request waits.
    pub(crate) fn try_reserve(
        &self,
        service: &ServiceName,
        class: Class,
        avoid: Option<&UpstreamName>,
    ) -> Option<Slot> {
        let mut table = self.lock();
        if table.waiting.get(service).is_some_and(|waiting| waiting.is_blocked(class)) {
            return None;
        }
        table.reserve(self, service, avoid)
    }

    /// Parks a request until a slot is free.
    pub(crate) fn park(
        &self,
        service: &ServiceName,
        class: Class,
        avoid: Option<UpstreamName>,
        batch_max: usize,
    ) -> Result<Parked, ParkRefusal> {
        let mut table = self.lock();
        if table.parked >= self.shared.settings.park_max {
            return Err(ParkRefusal::Full);
        }
        let waiting = table.waiting.entry(service.clone()).or_default();
        if class == Class::Batch && waiting.len(Class::Batch) >= batch_max {
            waiting.drop_abandoned();
            if waiting.len(Class::Batch) >= batch_max {
                return Err(ParkRefusal::BatchFull);
            }
        }
        let (sender, receiver) = oneshot::channel();
        waiting.push(class, Waiter { sender, avoid });
        table.parked += 1;
        table.pump(self);
        drop(table);
        self.shared.demand_changed.notify_one();
        Ok(Parked { receiver, upstreams: self.clone() })
    }

    /// Returns the number of parked requests.
    pub(crate) fn parked(&self) -> usize {
        self.lock().parked
    }

    /// Returns every upstream whose lease has not ended.
    pub(crate) fn live(&self) -> Vec<UpstreamInfo> {
        let now = Instant::now();
        let table = self.lock();
        table
            .upstreams
            .values()
            .filter(|state| state.is_live(now))
            .map(|state| state.info.clone())
            .collect()
    }

    pub(super) fn is_current(&self, name: &UpstreamName, incarnation: u64) -> bool {
        self.lock().current(name, incarnation).is_some()
    }

    pub(super) fn times(&self) -> &PoolTimes {
        &self.shared.settings.pool_times
    }

    pub(super) fn take_idle(&self, name: &UpstreamName, incarnation: u64) -> Option<Connection> {
        let times = self.times();
        self.lock().current(name, incarnation)?.pool.take(times)
    }

    pub(super) fn put_idle(&self, name: &UpstreamName, incarnation: u64, connection: Connection) {
        let hosts = self.shared.settings.local_entry_hosts;
        let mut table = self.lock();
        let valid = table.shares_valid(Instant::now());
        let Some(state) = table.current(name, incarnation) else { return };
        let limit = state.allowance(hosts, valid).connections;
        state.pool.put(connection, &self.shared.settings.pool_times);
        state.pool.shrink(limit);
    }

    pub(super) fn permit_to_open(
        &self,
        name: &UpstreamName,
        incarnation: u64,
    ) -> Result<OpenPermit, StepError> {
        let refused = |reason| StepError::new("open connection", name, reason);
        let hosts = self.shared.settings.local_entry_hosts;
        let mut table = self.lock();
        let valid = table.shares_valid(Instant::now());
        let state = table
            .current(name, incarnation)
            .ok_or_else(|| refused("the upstream has left or restarted"))?;
        let limit = state.allowance(hosts, valid).connections;
        let permit = state.pool.open().try_acquire(limit);
        permit.ok_or_else(|| refused("this host's share of connections is in use"))
    }

    pub(super) fn note_success(&self, name: &UpstreamName, incarnation: u64) {
        if let Some(state) = self.lock().current(name, incarnation) {
            state.note_success();
        }
    }

    pub(super) fn note_failure(&self, name: &UpstreamName, incarnation: u64) {
        if let Some(state) = self.lock().current(name, incarnation) {
            state.note_failure(Instant::now());
        }
    }

    pub(super) fn release(&self, name: &UpstreamName, incarnation: u64) {
        let mut table = self.lock();
        if let Some(state) = table.current(name, incarnation) {
            state.slots_in_use -= 1;
        }
        table.pump(self);
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.shared.table.lock().expect("no panic while the table is locked")
    }
}

impl Parked {
    /// Waits for a slot.
    pub(crate) async fn slot(mut self) -> Option<Slot> {
        (&mut self.receiver).await.ok()
    }
}

impl Drop for Parked {
    fn drop(&mut self) {
        // A slot that was granted but not taken comes back once the receiver is closed.
        self.receiver.close();
        let granted = self.receiver.try_recv().ok();
        let mut table = self.upstreams.lock();
        table.parked -= 1;
        drop(table);
        drop(granted);
    }
}

impl Table {
    fn announce(&mut self, info: UpstreamInfo, lease_until: Instant) -> bool {
        if self.left.get(&info.name).is_some_and(|left| *left >= info.incarnation) {
            return false;
        }
        match self.upstreams.get_mut(&info.name) {
            Some(state) if state.info.incarnation > info.incarnation => return false,
            Some(state) if state.info == info => {
                state.lease_until = lease_until;
                return true;
            }
            Some(state) if state.info.incarnation == info.incarnation => {
                state.info = info;
                state.lease_until = lease_until;
            }
            _ => {
                let state = UpstreamState::new(info.clone(), lease_until);
                self.upstreams.insert(info.name, state);
            }
        }
        self.index_services();
        true
    }

    fn leave(&mut self, name: &UpstreamName, incarnation: u64) {
        let left = self.left.entry(name.clone()).or_default();
        *left = incarnation.max(*left);
        if self.upstreams.get(name).is_some_and(|state| state.info.incarnation <= incarnation) {
            self.upstreams.remove(name);
            self.index_services();
        }
    }

    fn index_services(&mut self) {
        self.by_service.clear();
        for (name, state) in &self.upstreams {
            for service in &state.info.services {
                self.by_service.entry(service.clone()).or_default().push(name.clone());
            }
        }
    }

    fn current(&mut self, name: &UpstreamName, incarnation: u64) -> Option<&mut UpstreamState> {
        let state = self.upstreams.get_mut(name)?;
        (state.info.incarnation == incarnation).then_some(state)
    }

    fn shares_valid(&self, now: Instant) -> bool {
        self.shares_until.is_some_and(|until| now < until)
    }

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

    /// Gives free slots to waiting requests.
    fn pump(&mut self, upstreams: &Upstreams) {
        if self.waiting.values().all(Waiting::is_empty) {
            return;
        }
        let services: Vec<ServiceName> = self.waiting.keys().cloned().collect();
        for service in services {
            while let Some(slot) = self.reserve(upstreams, &service, None) {
                let Some(waiter) = self.next_waiter(upstreams, &service) else {
                    self.unreserve(slot);
                    break;
                };
                let slot = self.swap_avoided(upstreams, &service, &waiter, slot);
                if let Err(slot) = waiter.sender.send(slot) {
                    self.unreserve(slot);
                }
            }
        }
    }

    fn next_waiter(&mut self, upstreams: &Upstreams, service: &ServiceName) -> Option<Waiter> {
        let one_in = upstreams.shared.settings.batch_share_one_in;
        self.waiting.get_mut(service)?.pop(one_in)
    }

    /// Exchanges a slot of the upstream that the request avoids for another, if there is one.
    fn swap_avoided(
        &mut self,
        upstreams: &Upstreams,
        service: &ServiceName,
        waiter: &Waiter,
        slot: Slot,
    ) -> Slot {
        if waiter.avoid.as_ref() != Some(slot.upstream()) {
            return slot;
        }
        match self.reserve(upstreams, service, waiter.avoid.as_ref()) {
            Some(other) => {
                self.unreserve(slot);
                other
            }
            None => slot,
        }
    }

    /// Reserves a slot of the less loaded of two upstreams picked at random.
    fn reserve(
        &mut self,
        upstreams: &Upstreams,
        service: &ServiceName,
        avoid: Option<&UpstreamName>,
    ) -> Option<Slot> {
        let name = self.pick(upstreams, service, avoid)?;
        let state = self.upstreams.get_mut(&name)?;
        state.slots_in_use += 1;
        Some(Slot {
            upstreams: upstreams.clone(),
            name,
            incarnation: state.info.incarnation,
            address: state.info.address,
            held: true,
        })
    }

    /// Takes back a slot while the table is locked, where dropping it would lock again.
    fn unreserve(&mut self, slot: Slot) {
        if let Some(state) = self.current(&slot.name, slot.incarnation) {
            state.slots_in_use -= 1;
        }
        slot.forget();
    }

    fn pick(
        &self,
        upstreams: &Upstreams,
        service: &ServiceName,
        avoid: Option<&UpstreamName>,
    ) -> Option<UpstreamName> {
        let now = Instant::now();
        let hosts = upstreams.shared.settings.local_entry_hosts;
        let valid = self.shares_valid(now);
        let free = |name: &&UpstreamName| {
            let state = &self.upstreams[*name];
            state.is_live(now) && state.slots_in_use < state.allowance(hosts, valid).slots
        };
        let names = self.by_service.get(service)?;
        let candidates: Vec<&UpstreamName> = names.iter().filter(free).collect();
        let healthy = |name: &&&UpstreamName| {
            Some(**name) != avoid && !self.upstreams[**name].is_failing(now)
        };
        let preferred: Vec<&UpstreamName> = candidates.iter().filter(healthy).copied().collect();
        let pool = if preferred.is_empty() { &candidates } else { &preferred };
        if pool.is_empty() {
            return None;
        }
        let first = pool[rand::random_range(0..pool.len())];
        let second = pool[rand::random_range(0..pool.len())];
        let load = |name: &UpstreamName| self.upstreams[name].slots_in_use;
        Some(if load(second) < load(first) { second.clone() } else { first.clone() })
    }
}
