//! Shares of each upstream's slots and connections, lent to entry hosts on leases.
//!
//! Every configured host has a permanent base share. The rest is lent by demand. Until a host
//! acknowledges a smaller share, the largest share that it may still use is counted, so the sum of
//! what hosts can use never exceeds the limits of the upstream.
//!
//! A host acknowledges a revision once it starts no more work than that revision grants, and
//! reports the slots that are still in use. It measures the lease of lent shares from the time at
//! which it sent the request that a reply answers.
//!
//! After a restart nothing is lent until the leases of the earlier epoch have expired, but shares
//! that a host still holds from that epoch are adopted as its grant.

mod adoption;
mod pool;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use crate::names::{HostName, UpstreamName};
use crate::rpc;
use pool::Pool;

/// Limits of one incarnation of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct UpstreamLimits {
    pub(crate) incarnation: u64,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
}

/// Demand of one host for one upstream.
#[derive(Debug, Clone)]
pub(crate) struct Demand {
    pub(crate) upstream: UpstreamName,
    pub(crate) slots_in_use: u32,
    pub(crate) slots_wanted: u32,
}

/// State of one host.
#[derive(Debug, Clone)]
struct Host {
    /// Revision of the newest complete list of shares for this host.
    revision: u64,
    last_seen_ms: Option<u64>,
    /// Whether the host has reported the shares that it holds from an earlier epoch.
    has_reported: bool,
    /// Shares of an earlier epoch for upstreams that have not announced themselves yet.
    held: Vec<rpc::Share>,
}

/// Shares of all upstreams of one data centre.
#[derive(Debug, Clone)]
pub(crate) struct Shares {
    hosts: BTreeMap<HostName, Host>,
    pools: BTreeMap<UpstreamName, Pool>,
    /// Time since the last message of a host after which it holds no lent share any more.
    lease_expiry_ms: u64,
    /// Time from which shares lent before a restart have expired.
    lend_from_ms: u64,
}

impl Shares {
    /// Creates the shares without any loan.
    ///
    /// Revisions begin at `first_revision`, which must exceed those of earlier epochs.
    pub(crate) fn new(
        hosts: &[HostName],
        first_revision: u64,
        lease_expiry_ms: u64,
        started_ms: u64,
    ) -> Self {
        let host = Host {
            revision: first_revision,
            last_seen_ms: None,
            has_reported: false,
            held: Vec::new(),
        };
        let hosts = hosts.iter().map(|name| (name.clone(), host.clone())).collect();
        let lend_from_ms = started_ms + lease_expiry_ms;
        Self { hosts, pools: BTreeMap::new(), lease_expiry_ms, lend_from_ms }
    }

    /// Returns whether the base shares of all hosts fit the limits of an upstream.
    pub(crate) fn fits(&self, limits: UpstreamLimits) -> bool {
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        limits.slots >= hosts && limits.connections / 2 >= hosts
    }

    /// Adds an upstream; a new incarnation starts without loans.
    pub(crate) fn add(&mut self, name: &UpstreamName, limits: UpstreamLimits, now_ms: u64) {
        let known = self.pools.get(name).is_some_and(|pool| pool.limits() == limits);
        if !known {
            let hosts = self.hosts.keys().cloned();
            self.pools.insert(name.clone(), Pool::new(limits, hosts));
            self.adopt_held(name);
            self.increment_revisions();
        }
        self.set_open(name, true);
        self.rebalance(now_ms);
    }

    /// Revokes the loans of an upstream that is lost and may return.
    pub(crate) fn suspend(&mut self, name: &UpstreamName, now_ms: u64) {
        self.set_open(name, false);
        self.rebalance(now_ms);
    }

    fn set_open(&mut self, name: &UpstreamName, open: bool) {
        let Some(pool) = self.pools.get_mut(name) else { return };
        if pool.is_open() != open {
            pool.set_open(open);
            self.increment_revisions();
        }
    }

    /// Removes an upstream whose incarnation has left.
    pub(crate) fn remove(&mut self, name: &UpstreamName) {
        let mut is_known = self.pools.remove(name).is_some();
        for host in self.hosts.values_mut() {
            let before = host.held.len();
            host.held.retain(|share| share.upstream != name.as_str());
            is_known |= host.held.len() != before;
        }
        if is_known {
            self.increment_revisions();
        }
    }

    /// Returns whether this host is configured.
    pub(crate) fn is_configured(&self, host: &HostName) -> bool {
        self.hosts.contains_key(host)
    }

    /// Handles the acknowledgement and the demand in a message of a host.
    pub(crate) fn handle_demand(
        &mut self,
        host: &HostName,
        acknowledged: u64,
        demands: &[Demand],
        now_ms: u64,
    ) {
        let Some(known) = self.hosts.get_mut(host) else { return };
        known.last_seen_ms = Some(now_ms);
        // A host cannot have applied a revision that was never sent.
        let acknowledged = acknowledged.min(known.revision);
        for (name, pool) in &mut self.pools {
            let demand = demands.iter().find(|demand| demand.upstream == *name);
            let (in_use, wanted) = demand.map_or((0, 0), |d| (d.slots_in_use, d.slots_wanted));
            pool.acknowledge(host, acknowledged, in_use);
            pool.set_demand(host, in_use.saturating_add(wanted), now_ms);
        }
        self.rebalance(now_ms);
    }

    /// Revokes the loans of hosts whose leases have expired, and lends by demand.
    pub(crate) fn tick(&mut self, now_ms: u64) {
        let lease_expiry_ms = self.lease_expiry_ms;
        for (name, host) in &mut self.hosts {
            let is_expired = host.last_seen_ms.is_some_and(|at| at + lease_expiry_ms < now_ms);
            if !is_expired {
                continue;
            }
            host.last_seen_ms = None;
            host.held.clear();
            host.revision += 1;
            self.pools.values_mut().for_each(|pool| pool.expire(name));
        }
        self.rebalance(now_ms);
    }

    /// Returns the time of a host's last message, unless its lease has expired.
    pub(crate) fn last_seen_ms(&self, host: &HostName) -> Option<u64> {
        self.hosts.get(host)?.last_seen_ms
    }

    /// Returns the revision of a host's shares.
    pub(crate) fn revision(&self, host: &HostName) -> u64 {
        self.hosts.get(host).map_or(0, |host| host.revision)
    }

    /// Returns a number that increases with every change of any host's shares.
    pub(crate) fn total_revision(&self) -> u64 {
        self.hosts.values().fold(0, |sum, host| sum.wrapping_add(host.revision))
    }

    /// Returns the complete list of a host's shares, base shares included.
    pub(crate) fn list(&self, host: &HostName) -> Vec<rpc::Share> {
        let open = self.pools.iter().filter(|(_, pool)| pool.is_open());
        let share = |(name, pool): (&UpstreamName, &Pool)| {
            let grant = pool.granted(host)?;
            Some(rpc::Share {
                upstream: name.to_string(),
                incarnation: pool.limits().incarnation,
                slots: grant.slots,
                connections: grant.connections,
            })
        };
        let held = self.hosts.get(host).map_or(&[][..], |host| &host.held);
        open.filter_map(share).chain(held.iter().cloned()).collect()
    }

    /// Returns the number of slots lent beyond the base shares.
    pub(crate) fn lent_slots(&self) -> u32 {
        self.pools.values().map(Pool::lent_slots).sum()
    }

    fn increment_revisions(&mut self) {
        self.hosts.values_mut().for_each(|host| host.revision += 1);
    }

    /// Adjusts loans to demand; only hosts with a valid lease can get more.
    fn rebalance(&mut self, now_ms: u64) {
        if now_ms >= self.lend_from_ms {
            self.lend();
        }
        for (name, pool) in &self.pools {
            pool.assert_within_limits(name);
        }
    }

    fn lend(&mut self) {
        let hosts = &mut self.hosts;
        for pool in self.pools.values_mut() {
            let reachable =
                |name: &HostName| hosts.get(name).is_some_and(|host| host.last_seen_ms.is_some());
            let targets = pool.target_loans(reachable);
            for (name, slots) in targets {
                let Some(host) = hosts.get_mut(&name) else { continue };
                if pool.grant(&name, slots, host.revision + 1) {
                    host.revision += 1;
                }
            }
        }
    }
}
