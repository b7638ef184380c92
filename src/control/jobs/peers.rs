//! Addresses, incarnations and clocks of upstreams, which gang messages contain.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::names::UpstreamName;
use crate::upstream_http::{GangMessage, GangRequest, Sender};

/// A message that is ready to be sent.
#[derive(Debug)]
pub(super) struct OutgoingMessage {
    pub(super) upstream: UpstreamName,
    pub(super) address: SocketAddr,
    pub(super) request: GangRequest,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    incarnation: u64,
    clock_ms: Option<u64>,
}

/// Known upstreams. Lost ones are kept, because stop messages must still be sent to them.
#[derive(Debug)]
pub(super) struct Peers {
    epoch: u64,
    by_name: BTreeMap<UpstreamName, Peer>,
    /// Registry revision of the newest change of each upstream.
    revisions: BTreeMap<UpstreamName, u64>,
}

impl Peers {
    pub(super) const fn new(epoch: u64) -> Self {
        Self { epoch, by_name: BTreeMap::new(), revisions: BTreeMap::new() }
    }

    /// Records the revision of a change; returns false if a newer one of the same upstream is known.
    pub(super) fn is_newest_change(&mut self, name: &UpstreamName, revision: u64) -> bool {
        let newest = self.revisions.entry(name.clone()).or_default();
        let is_newest = revision >= *newest;
        *newest = revision.max(*newest);
        is_newest
    }

    /// Updates the address of an upstream; a new incarnation has a new clock.
    pub(super) fn update_address(
        &mut self,
        name: &UpstreamName,
        incarnation: u64,
        address: SocketAddr,
    ) {
        let known = self.by_name.get(name);
        if known.is_some_and(|peer| peer.incarnation > incarnation) {
            return;
        }
        let clock_ms =
            known.filter(|peer| peer.incarnation == incarnation).and_then(|p| p.clock_ms);
        self.by_name.insert(name.clone(), Peer { address, incarnation, clock_ms });
    }

    /// Updates the clock from an answer. Answers may arrive out of order, so it never decreases.
    pub(super) fn update_clock(&mut self, name: &UpstreamName, incarnation: u64, clock_ms: u64) {
        if let Some(peer) = self.by_name.get_mut(name)
            && peer.incarnation == incarnation
        {
            peer.clock_ms = peer.clock_ms.max(Some(clock_ms));
        }
    }

    /// Prepares a message to an upstream; `None` if the upstream has not announced itself.
    ///
    /// The message contains the upstream's clock as known at the step that decided on it, not when
    /// it is sent: the core measures the lease from the step, and with a later clock value the
    /// upstream could keep the lease for longer.
    pub(super) fn prepare(
        &self,
        upstream: UpstreamName,
        message: GangMessage,
    ) -> Option<OutgoingMessage> {
        let peer = self.by_name.get(&upstream)?;
        let sender =
            Sender { epoch: self.epoch, incarnation: peer.incarnation, clock_ms: peer.clock_ms };
        Some(OutgoingMessage {
            address: peer.address,
            upstream,
            request: GangRequest { sender, message },
        })
    }
}
