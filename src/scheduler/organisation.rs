//! Organisations and the blocks that are guaranteed to them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::document::Guarantees;
use super::event::GangId;
use super::rack::Block;
use crate::names::{OrganisationName, ServiceName};

/// An organisation within a service, which holds guarantees.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GuaranteeHolder {
    /// Service whose document states the guarantee.
    pub service: ServiceName,
    /// Organisation that holds the guarantee.
    pub organisation: OrganisationName,
}

/// Identity of a guaranteed block; replaying the same documents gives the same identities.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GuaranteeId(pub u32);

/// A guaranteed block and the accelerators reserved for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Guarantee {
    /// Organisation that holds the block.
    pub holder: GuaranteeHolder,
    /// Size of the block.
    pub accelerators: u32,
    /// Accelerators reserved for the block; empty if none could be found. They are lent only to
    /// work that can be stopped, so that stopping the borrowers always frees the block.
    pub reservation: Block,
    /// Guaranteed gangs of the holder that run in the block.
    pub gangs: BTreeSet<GangId>,
    /// Why the block cannot be provided at present.
    pub risk: Option<String>,
    /// Whether the risk was reported.
    pub reported: bool,
}

/// All guaranteed blocks.
#[derive(Debug, Default, Clone)]
pub struct Organisations {
    /// Blocks by identity.
    pub guarantees: BTreeMap<GuaranteeId, Guarantee>,
    holders: BTreeMap<GuaranteeHolder, BTreeSet<GuaranteeId>>,
    versions: BTreeMap<ServiceName, u64>,
    next_guarantee: u32,
}

/// All guarantees, as kept in a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationsRecord {
    versions: Vec<(ServiceName, u64)>,
    #[serde(rename = "next_cell")]
    next_guarantee: u32,
    #[serde(rename = "cells")]
    guarantees: Vec<(GuaranteeId, GuaranteeHolder, u32)>,
}

/// Blocks that a document adds and removes.
#[derive(Debug, Default)]
pub struct GuaranteeChange {
    /// Blocks that are new.
    pub added: Vec<GuaranteeId>,
    /// Blocks that are no longer guaranteed.
    pub removed: Vec<(GuaranteeId, Guarantee)>,
}

impl Organisations {
    /// Returns whether the document is newer than the one in force.
    pub fn is_newer(&self, document: &Guarantees) -> bool {
        self.versions.get(&document.service).is_none_or(|version| *version < document.version)
    }

    /// Returns the blocks of a holder.
    pub fn guarantees_of(
        &self,
        holder: &GuaranteeHolder,
    ) -> impl Iterator<Item = (GuaranteeId, &Guarantee)> {
        let ids = self.holders.get(holder).into_iter().flatten();
        ids.map(|id| (*id, &self.guarantees[id]))
    }

    /// Returns whether a block of the holder has at least `count` accelerators.
    pub fn has_guarantee_for(&self, holder: &GuaranteeHolder, count: u32) -> bool {
        self.guarantees_of(holder).any(|(_, guarantee)| guarantee.accelerators >= count)
    }

    /// Replaces the blocks of the document's service; blocks of unchanged size stay.
    pub fn apply(&mut self, document: &Guarantees) -> GuaranteeChange {
        self.versions.insert(document.service.clone(), document.version);
        let mut change = GuaranteeChange::default();
        let mut kept = self.guarantees_of_service(&document.service);
        for (organisation, sizes) in &document.organisations {
            let holder = GuaranteeHolder {
                service: document.service.clone(),
                organisation: organisation.clone(),
            };
            for size in sizes.iter().filter(|size| **size > 0) {
                let same = |id: &GuaranteeId| {
                    let guarantee = &self.guarantees[id];
                    guarantee.holder == holder && guarantee.accelerators == *size
                };
                if let Some(at) = kept.iter().position(same) {
                    kept.swap_remove(at);
                } else {
                    change.added.push(self.add(holder.clone(), *size));
                }
            }
        }
        change.removed = kept.into_iter().filter_map(|id| self.remove(id)).collect();
        change
    }

    /// Returns all guarantees in the form kept in a snapshot.
    pub fn record(&self) -> OrganisationsRecord {
        let guarantees =
            self.guarantees.iter().map(|(id, c)| (*id, c.holder.clone(), c.accelerators));
        OrganisationsRecord {
            versions: self.versions.iter().map(|(s, v)| (s.clone(), *v)).collect(),
            next_guarantee: self.next_guarantee,
            guarantees: guarantees.collect(),
        }
    }

    /// Rebuilds the guarantees of a snapshot, without the accelerators reserved for them.
    pub fn from_record(record: OrganisationsRecord) -> Self {
        let mut organisations = Self::default();
        organisations.versions.extend(record.versions);
        for (id, holder, accelerators) in record.guarantees {
            organisations.next_guarantee = id.0;
            organisations.add(holder, accelerators);
        }
        organisations.next_guarantee = record.next_guarantee;
        organisations
    }

    fn guarantees_of_service(&self, service: &ServiceName) -> Vec<GuaranteeId> {
        let guarantees =
            self.guarantees.iter().filter(|(_, guarantee)| guarantee.holder.service == *service);
        guarantees.map(|(id, _)| *id).collect()
    }

    fn add(&mut self, holder: GuaranteeHolder, accelerators: u32) -> GuaranteeId {
        let id = GuaranteeId(self.next_guarantee);
        self.next_guarantee += 1;
        self.holders.entry(holder.clone()).or_default().insert(id);
        let guarantee = Guarantee {
            holder,
            accelerators,
            reservation: Block::new(),
            gangs: BTreeSet::new(),
            risk: None,
            reported: false,
        };
        self.guarantees.insert(id, guarantee);
        id
    }

    fn remove(&mut self, id: GuaranteeId) -> Option<(GuaranteeId, Guarantee)> {
        let guarantee = self.guarantees.remove(&id)?;
        if let Some(ids) = self.holders.get_mut(&guarantee.holder) {
            ids.remove(&id);
            if ids.is_empty() {
                self.holders.remove(&guarantee.holder);
            }
        }
        Some((id, guarantee))
    }
}
