//! Addresses, incarnations and clocks of upstreams, as far as gang messages need them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::names::UpstreamName;
use crate::upstream_http::{GangMessage, GangRequest, Sender};

/// A message that is ready to be sent.
#[derive(Debug)]
pub(super) struct Outgoing {
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

/// Known upstreams. Lost ones are kept, because their members still have to be told to stop.
#[derive(Debug)]
pub(super) struct Peers {
    epoch: u64,
    by_name: BTreeMap<UpstreamName, Peer>,
}

impl Peers {
    pub(super) const fn new(epoch: u64) -> Self {
        Self { epoch, by_name: BTreeMap::new() }
    }

    /// Notes where an upstream can be reached; a new incarnation has a new clock.
    pub(super) fn announced(&mut self, name: &UpstreamName, incarnation: u64, address: SocketAddr) {
        let known = self.by_name.get(name);
        if known.is_some_and(|peer| peer.incarnation > incarnation) {
            return;
        }
        let clock_ms =
            known.filter(|peer| peer.incarnation == incarnation).and_then(|p| p.clock_ms);
        self.by_name.insert(name.clone(), Peer { address, incarnation, clock_ms });
    }

    /// Notes the clock of an answer. Answers may arrive out of order, and the clock only goes up.
    pub(super) fn answered(&mut self, name: &UpstreamName, incarnation: u64, clock_ms: u64) {
        if let Some(peer) = self.by_name.get_mut(name)
            && peer.incarnation == incarnation
        {
            peer.clock_ms = peer.clock_ms.max(Some(clock_ms));
        }
    }

    /// Addresses a message, with the upstream's clock as known now; `None` if the upstream has
    /// not announced itself.
    ///
    /// The clock is taken at the step that decided on the message and not when it is sent: the
    /// core counts the end of a lease from the step, and a later clock value could outlast it.
    pub(super) fn address(&self, upstream: UpstreamName, message: GangMessage) -> Option<Outgoing> {
        let peer = self.by_name.get(&upstream)?;
        let sender =
            Sender { epoch: self.epoch, incarnation: peer.incarnation, clock_ms: peer.clock_ms };
        Some(Outgoing { address: peer.address, upstream, request: GangRequest { sender, message } })
    }
}
