//! Table of upstreams and of the requests parked for them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use super::Slot;
use super::state::{UpstreamInfo, UpstreamState};
use super::waiting::{WaitQueue, Waiter};
use crate::class::Class;
use crate::entry::pool::{Connection, OpenPermit, PoolTimes};
use crate::error::StepError;
use crate::names::{ServiceName, UpstreamName};

/// Time for which a leave is kept, so that delayed announcements that arrive after it are rejected.
const LEAVE_RETENTION: Duration = Duration::from_hours(1);

/// Time after the lease of shares in which slots reserved before may still be used; control gives
/// the shares to other hosts 160 ms after a lease of 3 s.
const SHARE_GRACE: Duration = Duration::from_millis(50);

/// Settings of the table.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TableSettings {
    /// Number of entry hosts that share each upstream's limits, including this one.
    pub(crate) local_entry_hosts: u32,
    pub(crate) upstream_lease: Duration,
    pub(crate) pool_times: PoolTimes,
    /// Most requests parked at once.
    pub(crate) park_max: usize,
    /// One in this many dispatches is batch work while batch requests wait.
    pub(crate) batch_share_one_in: u32,
}

/// Upstreams of this host's data centre; clones share one table.
#[derive(Debug, Clone)]
pub(crate) struct Upstreams {
    pub(super) shared: Arc<Shared>,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) settings: TableSettings,
    table: Mutex<Table>,
    /// Wakes the task that reports use and demand to control.
    demand_changed: Notify,
}

#[derive(Debug, Default)]
pub(super) struct Table {
    pub(super) upstreams: BTreeMap<UpstreamName, UpstreamState>,
    pub(super) by_service: BTreeMap<ServiceName, Vec<UpstreamName>>,
    /// Highest incarnation that has left and when; announcements up to it are rejected.
    leaves: BTreeMap<UpstreamName, (u64, Instant)>,
    pub(super) wait_queues: BTreeMap<ServiceName, WaitQueue>,
    parked: usize,
    pub(super) shares_until: Option<Instant>,
    pub(super) share_revision: u64,
}

/// A request that waits for a slot.
#[derive(Debug)]
pub(crate) struct ParkedRequest {
    receiver: oneshot::Receiver<Slot>,
    service: ServiceName,
    upstreams: Upstreams,
}

/// Why a request may not wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ParkRefusal {
    /// The host has reached its limit of parked requests.
    Full,
    /// The class has reached the limit of the service document.
    ClassFull,
}

impl Upstreams {
    pub(crate) fn new(settings: TableSettings) -> Self {
        let shared =
            Shared { settings, table: Mutex::new(Table::default()), demand_changed: Notify::new() };
        Self { shared: Arc::new(shared) }
    }

    /// Applies an announcement; returns false if a leave or a newer incarnation supersedes it.
    pub(crate) fn announce(&self, info: UpstreamInfo) -> bool {
        let mut table = self.lock();
        let applied = table.announce(info, self.shared.settings.upstream_lease);
        table.grant_free_slots(self);
        applied
    }

    /// Returns whether a live upstream has announced the same contents before.
    pub(crate) fn is_known(&self, info: &UpstreamInfo) -> bool {
        let table = self.lock();
        let state = table.upstreams.get(&info.name);
        state.is_some_and(|state| state.info == *info && state.is_live(Instant::now()))
    }

    /// Applies a leave; this incarnation and older ones get no new work.
    pub(crate) fn leave(&self, name: &UpstreamName, incarnation: u64) {
        self.lock().leave(name, incarnation);
    }

    /// Waits until demand has changed in a way that should be reported to control at once.
    pub(crate) async fn demand_changed(&self) {
        self.shared.demand_changed.notified().await;
    }

    /// Reserves a slot; returns `None` if none is free or an earlier request waits.
    pub(crate) fn try_reserve(
        &self,
        service: &ServiceName,
        class: Class,
        avoid: Option<&UpstreamName>,
    ) -> Option<Slot> {
        let mut table = self.lock();
        if table.wait_queues.get(service).is_some_and(|queue| queue.is_blocked(class)) {
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
        class_max: usize,
    ) -> Result<ParkedRequest, ParkRefusal> {
        let mut table = self.lock();
        if table.parked >= self.shared.settings.park_max {
            return Err(ParkRefusal::Full);
        }
        let queue = table.wait_queues.entry(service.clone()).or_default();
        if queue.len(class) >= class_max {
            queue.drop_abandoned();
            if queue.len(class) >= class_max {
                return Err(ParkRefusal::ClassFull);
            }
        }
        let (sender, receiver) = oneshot::channel();
        queue.push(class, Waiter { sender, avoid });
        table.parked += 1;
        table.grant_free_slots(self);
        drop(table);
        self.shared.demand_changed.notify_one();
        Ok(ParkedRequest { receiver, service: service.clone(), upstreams: self.clone() })
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

    /// Returns the number of upstreams in the table, including those that have left.
    #[cfg(test)]
    pub(super) fn known_count(&self) -> usize {
        self.lock().upstreams.len()
    }

    pub(super) fn is_current(&self, name: &UpstreamName, incarnation: u64) -> bool {
        let now = Instant::now();
        self.lock().current(name, incarnation).is_some_and(|state| !state.is_gone(now))
    }

    /// Returns whether work may still be sent to this incarnation under a slot reserved before.
    ///
    /// If this process was suspended since, control may have given the share to another host.
    pub(super) fn may_send(&self, name: &UpstreamName, incarnation: u64) -> bool {
        let now = Instant::now();
        let hosts = self.shared.settings.local_entry_hosts;
        let mut table = self.lock();
        let has_share = table.shares_until.is_none_or(|until| now < until + SHARE_GRACE);
        table.current(name, incarnation).is_some_and(|state| {
            let base_share = state.allowance(hosts, false);
            !state.leaving && (has_share || state.slots_in_use <= base_share.slots)
        })
    }

    pub(super) fn pool_times(&self) -> &PoolTimes {
        &self.shared.settings.pool_times
    }

    pub(super) fn take_idle(&self, name: &UpstreamName, incarnation: u64) -> Option<Connection> {
        let times = self.pool_times();
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

    pub(super) fn close_idle(&self, name: &UpstreamName, incarnation: u64) {
        if let Some(state) = self.lock().current(name, incarnation) {
            state.pool.close_idle();
        }
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

    pub(super) fn record_success(&self, name: &UpstreamName, incarnation: u64) {
        if let Some(state) = self.lock().current(name, incarnation) {
            state.record_success();
        }
    }

    pub(super) fn record_failure(&self, name: &UpstreamName, incarnation: u64) {
        if let Some(state) = self.lock().current(name, incarnation) {
            state.record_failure(Instant::now());
        }
    }

    pub(super) fn release(&self, name: &UpstreamName, incarnation: u64) {
        let mut table = self.lock();
        if let Some(state) = table.current(name, incarnation) {
            state.slots_in_use -= 1;
            if state.leaving {
                table.prune(Instant::now());
            }
        }
        table.grant_free_slots(self);
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Table> {
        self.shared.table.lock().expect("no panic while the table is locked")
    }
}

impl ParkedRequest {
    /// Waits for a slot.
    pub(crate) async fn wait_for_slot(mut self) -> Option<Slot> {
        (&mut self.receiver).await.ok()
    }
}

impl Drop for ParkedRequest {
    fn drop(&mut self) {
        // A slot may have been granted and not been received; dropping it releases it.
        self.receiver.close();
        let granted = self.receiver.try_recv().ok();
        let mut table = self.upstreams.lock();
        table.parked -= 1;
        if let Some(queue) = table.wait_queues.get_mut(&self.service) {
            queue.drop_abandoned();
        }
        drop(table);
        drop(granted);
    }
}

impl Table {
    fn announce(&mut self, info: UpstreamInfo, lease: Duration) -> bool {
        if self.leaves.get(&info.name).is_some_and(|(left, _)| *left >= info.incarnation) {
            return false;
        }
        match self.upstreams.get_mut(&info.name) {
            Some(state) if state.info.incarnation > info.incarnation => return false,
            Some(state) if state.info == info => {
                state.renew(lease);
                return true;
            }
            Some(state) if state.info.incarnation == info.incarnation => {
                state.info = info;
                state.renew(lease);
            }
            _ => {
                let state = UpstreamState::new(info.clone(), lease);
                self.upstreams.insert(info.name, state);
            }
        }
        self.index_services();
        true
    }

    fn leave(&mut self, name: &UpstreamName, incarnation: u64) {
        let now = Instant::now();
        let (left, at) = self.leaves.entry(name.clone()).or_insert((incarnation, now));
        (*left, *at) = (incarnation.max(*left), now);
        if let Some(state) = self.upstreams.get_mut(name)
            && state.info.incarnation <= incarnation
        {
            state.leaving = true;
            self.prune(now);
            self.index_services();
        }
    }

    /// Removes upstreams and leaves that are no longer needed.
    pub(super) fn prune(&mut self, now: Instant) {
        let before = self.upstreams.len();
        self.upstreams.retain(|_, state| !state.is_removable(now));
        self.leaves.retain(|_, (_, at)| now < *at + LEAVE_RETENTION);
        if self.upstreams.len() != before {
            self.index_services();
        }
    }

    fn index_services(&mut self) {
        self.by_service.clear();
        for (name, state) in self.upstreams.iter().filter(|(_, state)| !state.leaving) {
            for service in &state.info.services {
                self.by_service.entry(service.clone()).or_default().push(name.clone());
            }
        }
    }

    pub(super) fn current(
        &mut self,
        name: &UpstreamName,
        incarnation: u64,
    ) -> Option<&mut UpstreamState> {
        let state = self.upstreams.get_mut(name)?;
        (state.info.incarnation == incarnation).then_some(state)
    }

    pub(super) fn shares_valid(&self, now: Instant) -> bool {
        self.shares_until.is_some_and(|until| now < until)
    }

    /// Grants free slots to waiting requests.
    pub(super) fn grant_free_slots(&mut self, upstreams: &Upstreams) {
        if self.wait_queues.values().all(WaitQueue::is_empty) {
            return;
        }
        let services: Vec<ServiceName> = self.wait_queues.keys().cloned().collect();
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
        self.wait_queues.get_mut(service)?.pop(one_in)
    }

    /// Replaces a slot of the upstream that the request avoids by one of another upstream, if any.
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
        let name = self.pick_upstream(upstreams, service, avoid)?;
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

    /// Releases a slot while the table is locked, where dropping it would deadlock.
    fn unreserve(&mut self, slot: Slot) {
        if let Some(state) = self.current(&slot.name, slot.incarnation) {
            state.slots_in_use -= 1;
        }
        slot.disarm();
    }

    fn pick_upstream(
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
            state.accepts_work(now) && state.slots_in_use < state.allowance(hosts, valid).slots
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
