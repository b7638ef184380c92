//! Upstreams of one data centre with their incarnations and leases.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::names::{RackName, ServiceName, UpstreamName};
use crate::rpc;

/// Time for which a left or lost upstream is kept, so that delayed messages are recognised.
const GONE_RETENTION_MS: u64 = 60 * 60 * 1000;

/// Properties that an upstream announces; they are constant within one incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Upstream {
    pub(crate) name: UpstreamName,
    pub(crate) incarnation: u64,
    pub(crate) address: String,
    pub(crate) services: SmallVec<[ServiceName; 2]>,
    /// `None` if only the leave of this upstream was received.
    pub(crate) rack: Option<RackName>,
    pub(crate) rack_position: u32,
    pub(crate) accelerators: u32,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
}

impl Upstream {
    /// Parses an announcement.
    ///
    /// # Errors
    /// Returns a message that describes the first malformed field.
    pub(crate) fn from_wire(wire: &rpc::Upstream) -> Result<Self, String> {
        let services: Result<_, _> = wire.services.iter().map(|name| name.parse()).collect();
        if wire.address.parse::<std::net::SocketAddr>().is_err() {
            return Err(format!("{:?} is not an address", wire.address));
        }
        Ok(Self {
            name: wire.name.parse().map_err(|fault| format!("{fault}"))?,
            incarnation: wire.incarnation,
            address: wire.address.clone(),
            services: services.map_err(|fault| format!("{fault}"))?,
            rack: Some(wire.rack.parse().map_err(|fault| format!("{fault}"))?),
            rack_position: wire.rack_position,
            accelerators: wire.accelerators,
            slots: wire.slots,
            connections: wire.connections,
        })
    }

    /// Returns a placeholder for an upstream of which only the leave was received.
    fn placeholder(name: UpstreamName, incarnation: u64) -> Self {
        Self {
            name,
            incarnation,
            address: String::new(),
            services: SmallVec::new(),
            rack: None,
            rack_position: 0,
            accelerators: 0,
            slots: 0,
            connections: 0,
        }
    }

    pub(crate) fn to_wire(&self, presence: Presence) -> rpc::Upstream {
        rpc::Upstream {
            name: self.name.to_string(),
            incarnation: self.incarnation,
            address: self.address.clone(),
            services: self.services.iter().map(ToString::to_string).collect(),
            rack: self.rack.as_ref().map_or_else(String::new, ToString::to_string),
            rack_position: self.rack_position,
            accelerators: self.accelerators,
            slots: self.slots,
            connections: self.connections,
            leaving: presence != Presence::Alive,
            lost: presence == Presence::Lost,
        }
    }
}

/// Whether an upstream may receive work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Presence {
    Alive,
    /// The upstream announced that it leaves; this incarnation never returns.
    Left,
    /// The lease expired; the same incarnation may return.
    Lost,
}

#[derive(Debug, Clone)]
struct Entry {
    upstream: Upstream,
    presence: Presence,
    renewed_at_ms: u64,
    /// Registry revision of the newest change.
    revision: u64,
}

/// Effect of a message on the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    Added,
    Returned,
    Renewed,
    Left,
    /// The message is outdated and was dropped.
    Stale,
    /// The incarnation is unknown; the full announcement is needed.
    Unknown,
}

/// All known upstreams of this data centre.
#[derive(Debug, Clone)]
pub(crate) struct Registry {
    entries: BTreeMap<UpstreamName, Entry>,
    lease_ms: u64,
    revision: u64,
    stale_dropped: u64,
}

impl Registry {
    pub(crate) fn new(lease_ms: u64) -> Self {
        Self { entries: BTreeMap::new(), lease_ms, revision: 0, stale_dropped: 0 }
    }

    /// Applies an announcement.
    pub(crate) fn announce(&mut self, upstream: Upstream, now_ms: u64) -> Change {
        let Some(entry) = self.entries.get_mut(&upstream.name) else {
            self.insert(upstream, Presence::Alive, now_ms);
            return Change::Added;
        };
        if upstream.incarnation > entry.upstream.incarnation {
            self.insert(upstream, Presence::Alive, now_ms);
            return Change::Added;
        }
        // Announcements are constant within an incarnation, so different content is not newer.
        let is_same = upstream == entry.upstream;
        if !is_same || entry.presence == Presence::Left {
            self.stale_dropped += 1;
            return Change::Stale;
        }
        self.renew_entry(&upstream.name, now_ms)
    }

    /// Applies a leave, which overrides announcements of the same and older incarnations.
    pub(crate) fn leave(&mut self, name: &UpstreamName, incarnation: u64, now_ms: u64) -> Change {
        let known = self.entries.get(name);
        let upstream = match known {
            Some(entry) if incarnation < entry.upstream.incarnation => {
                self.stale_dropped += 1;
                return Change::Stale;
            }
            Some(entry) if incarnation == entry.upstream.incarnation => {
                if entry.presence == Presence::Left {
                    return Change::Renewed;
                }
                entry.upstream.clone()
            }
            _ => Upstream::placeholder(name.clone(), incarnation),
        };
        self.insert(upstream, Presence::Left, now_ms);
        Change::Left
    }

    /// Renews a lease without a full announcement.
    pub(crate) fn renew(&mut self, name: &UpstreamName, incarnation: u64, now_ms: u64) -> Change {
        let Some(entry) = self.entries.get(name) else { return Change::Unknown };
        if incarnation > entry.upstream.incarnation {
            return Change::Unknown;
        }
        if incarnation < entry.upstream.incarnation || entry.presence == Presence::Left {
            self.stale_dropped += 1;
            return Change::Stale;
        }
        self.renew_entry(&name.clone(), now_ms)
    }

    fn renew_entry(&mut self, name: &UpstreamName, now_ms: u64) -> Change {
        let Some(entry) = self.entries.get_mut(name) else { return Change::Unknown };
        entry.renewed_at_ms = now_ms;
        if entry.presence == Presence::Alive {
            return Change::Renewed;
        }
        entry.presence = Presence::Alive;
        self.revision += 1;
        entry.revision = self.revision;
        Change::Returned
    }

    fn insert(&mut self, upstream: Upstream, presence: Presence, now_ms: u64) {
        self.revision += 1;
        let name = upstream.name.clone();
        let entry = Entry { upstream, presence, renewed_at_ms: now_ms, revision: self.revision };
        self.entries.insert(name, entry);
    }

    /// Expires leases that were not renewed and returns the upstreams that are lost as a result.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<UpstreamName> {
        let lease_ms = self.lease_ms;
        self.entries.retain(|_, entry| {
            entry.presence == Presence::Alive || entry.renewed_at_ms + GONE_RETENTION_MS > now_ms
        });
        let mut lost = Vec::new();
        for (name, entry) in &mut self.entries {
            if entry.presence != Presence::Alive || entry.renewed_at_ms + lease_ms > now_ms {
                continue;
            }
            self.revision += 1;
            entry.presence = Presence::Lost;
            entry.revision = self.revision;
            lost.push(name.clone());
        }
        lost
    }

    pub(crate) fn get(&self, name: &UpstreamName) -> Option<(&Upstream, Presence)> {
        self.entries.get(name).map(|entry| (&entry.upstream, entry.presence))
    }

    /// Returns the upstreams changed after a revision.
    pub(crate) fn changed_since(&self, revision: u64) -> Vec<rpc::Upstream> {
        let changed = self.entries.values().filter(|entry| entry.revision > revision);
        changed.map(|entry| entry.upstream.to_wire(entry.presence)).collect()
    }

    pub(crate) const fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) const fn stale_dropped(&self) -> u64 {
        self.stale_dropped
    }

    /// Returns the number of upstreams that may receive work.
    pub(crate) fn alive_count(&self) -> usize {
        self.entries.values().filter(|entry| entry.presence == Presence::Alive).count()
    }
}
