//! Adoption of shares that hosts hold from an earlier epoch, so that a restart keeps them.
//!
//! A share with a valid lease is part of what the earlier epoch had allocated, and nothing else is
//! lent before those leases have expired. The message in which a host reports its shares contains
//! the new epoch. The host has thus received a reply of this process, and no longer accepts loans
//! from the earlier one.

use tracing::warn;

use crate::names::{HostName, UpstreamName};
use crate::rpc;

use super::Shares;
use super::pool::Grant;

impl Shares {
    /// Returns whether a host must report what it holds before its shares can be sent.
    pub(crate) fn awaits_report(&self, host: &HostName, now_ms: u64) -> bool {
        let has_reported = self.hosts.get(host).is_none_or(|host| host.has_reported);
        !has_reported && now_ms < self.lend_from_ms
    }

    /// Returns whether shares of an earlier epoch may still be in use, so that nothing is lent.
    #[cfg(test)]
    pub(super) fn is_lending_paused(&self, now_ms: u64) -> bool {
        now_ms < self.lend_from_ms
    }

    /// Adopts the shares that a host holds from an earlier epoch; only its first report counts.
    pub(crate) fn handle_report(&mut self, host: &HostName, held: &[rpc::Share], now_ms: u64) {
        if !self.awaits_report(host, now_ms) {
            return;
        }
        let Some(known) = self.hosts.get_mut(host) else { return };
        known.has_reported = true;
        known.held = held.to_vec();
        let names: Vec<UpstreamName> = self.pools.keys().cloned().collect();
        for name in names {
            self.adopt_held(&name);
        }
        if !held.is_empty()
            && let Some(known) = self.hosts.get_mut(host)
        {
            known.revision += 1;
        }
    }

    /// Adopts the shares that hosts hold of an upstream whose limits are now known.
    ///
    /// Replies have renewed the leases of these shares, so they are valid however late the upstream
    /// announces itself.
    pub(super) fn adopt_held(&mut self, name: &UpstreamName) {
        let Some(pool) = self.pools.get_mut(name) else { return };
        for (host_name, host) in &mut self.hosts {
            let Some(index) = host.held.iter().position(|share| share.upstream == name.as_str())
            else {
                continue;
            };
            let share = host.held.swap_remove(index);
            let grant = Grant { slots: share.slots, connections: share.connections };
            let is_same = share.incarnation == pool.limits().incarnation;
            if is_same && !pool.adopt(host_name, grant) {
                warn!(host = %host_name, upstream = %name, "cannot adopt a held share");
            }
        }
    }
}
