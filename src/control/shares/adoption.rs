//! Taking over what hosts hold of an earlier epoch, so that a restart does not take it away.
//!
//! A share whose lease has not ended lies within what the earlier epoch had allocated, and nothing
//! else is lent before those leases have ended. A host reports what it holds with the new epoch in
//! its message, so it has heard this process, and the earlier one can lend nothing any more.

use tracing::warn;

use crate::names::{HostName, UpstreamName};
use crate::rpc;

use super::Shares;
use super::pool::Grant;

impl Shares {
    /// Tells whether a host has yet to report what it holds before it can be told its shares.
    pub(crate) fn awaits_report(&self, host: &HostName, now_ms: u64) -> bool {
        let has_reported = self.hosts.get(host).is_none_or(|host| host.has_reported);
        !has_reported && now_ms < self.lend_from_ms
    }

    /// Tells whether shares of an earlier epoch may still be in use, so that nothing is lent.
    #[cfg(test)]
    pub(super) fn awaits_loans(&self, now_ms: u64) -> bool {
        now_ms < self.lend_from_ms
    }

    /// Takes in what a host holds of an earlier epoch; only its first report counts.
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

    /// Adopts what hosts hold of an upstream whose limits are known now.
    ///
    /// Replies have renewed the lease of what is held, so it counts however late the upstream is
    /// heard.
    pub(super) fn adopt_held(&mut self, name: &UpstreamName) {
        let Some(pool) = self.pools.get_mut(name) else { return };
        for (host_name, host) in &mut self.hosts {
            let Some(at) = host.held.iter().position(|share| share.upstream == name.as_str())
            else {
                continue;
            };
            let share = host.held.swap_remove(at);
            let grant = Grant { slots: share.slots, connections: share.connections };
            let is_same = share.incarnation == pool.limits().incarnation;
            if is_same && !pool.adopt(host_name, grant) {
                warn!(host = %host_name, upstream = %name, "a held share does not fit");
            }
        }
    }
}
