//! Organisations and the blocks that are guaranteed to them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::document::Guarantees;
use super::event::GangId;
use super::rack::Block;
use crate::names::{OrganisationName, ServiceName};

/// An organisation within a service, which holds guarantees.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// Service whose document states the guarantee.
    pub service: ServiceName,
    /// Organisation that holds the guarantee.
    pub organisation: OrganisationName,
}

/// Identity of a guaranteed block; replaying the same documents gives the same identities.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CellId(pub u32);

/// A guaranteed block and the accelerators set aside for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cell {
    /// Organisation that holds the block.
    pub holder: Holder,
    /// Size of the block.
    pub accelerators: u32,
    /// Accelerators of the block; empty if none could be found. Others may borrow them only with
    /// work that can be stopped, so that stopping borrowers always makes room for the block.
    pub home: Block,
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
    pub cells: BTreeMap<CellId, Cell>,
    holders: BTreeMap<Holder, BTreeSet<CellId>>,
    versions: BTreeMap<ServiceName, u64>,
    next_cell: u32,
}

/// All guarantees, as kept in a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationsRecord {
    versions: Vec<(ServiceName, u64)>,
    next_cell: u32,
    cells: Vec<(CellId, Holder, u32)>,
}

/// Blocks that a document adds and removes.
#[derive(Debug, Default)]
pub struct CellChange {
    /// Blocks that are new.
    pub added: Vec<CellId>,
    /// Blocks that are no longer guaranteed.
    pub removed: Vec<(CellId, Cell)>,
}

impl Organisations {
    /// Returns whether the document is newer than the one in force.
    pub fn is_newer(&self, document: &Guarantees) -> bool {
        self.versions.get(&document.service).is_none_or(|version| *version < document.version)
    }

    /// Returns the blocks of a holder.
    pub fn cells_of(&self, holder: &Holder) -> impl Iterator<Item = (CellId, &Cell)> {
        let ids = self.holders.get(holder).into_iter().flatten();
        ids.map(|id| (*id, &self.cells[id]))
    }

    /// Returns whether a block of the holder is large enough for a shape.
    pub fn has_cell_for(&self, holder: &Holder, count: u32) -> bool {
        self.cells_of(holder).any(|(_, cell)| cell.accelerators >= count)
    }

    /// Replaces the blocks of the document's service; blocks of unchanged size stay.
    pub fn apply(&mut self, document: &Guarantees) -> CellChange {
        self.versions.insert(document.service.clone(), document.version);
        let mut change = CellChange::default();
        let mut kept = self.cells_of_service(&document.service);
        for (organisation, sizes) in &document.organisations {
            let holder =
                Holder { service: document.service.clone(), organisation: organisation.clone() };
            for size in sizes.iter().filter(|size| **size > 0) {
                let same = |id: &CellId| {
                    let cell = &self.cells[id];
                    cell.holder == holder && cell.accelerators == *size
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

    /// Describes all guarantees for a snapshot.
    pub fn record(&self) -> OrganisationsRecord {
        let cells = self.cells.iter().map(|(id, c)| (*id, c.holder.clone(), c.accelerators));
        OrganisationsRecord {
            versions: self.versions.iter().map(|(s, v)| (s.clone(), *v)).collect(),
            next_cell: self.next_cell,
            cells: cells.collect(),
        }
    }

    /// Rebuilds the guarantees of a snapshot, without the places of their blocks.
    pub fn from_record(record: OrganisationsRecord) -> Self {
        let mut organisations = Self::default();
        organisations.versions.extend(record.versions);
        for (id, holder, accelerators) in record.cells {
            organisations.next_cell = id.0;
            organisations.add(holder, accelerators);
        }
        organisations.next_cell = record.next_cell;
        organisations
    }

    fn cells_of_service(&self, service: &ServiceName) -> Vec<CellId> {
        let cells = self.cells.iter().filter(|(_, cell)| cell.holder.service == *service);
        cells.map(|(id, _)| *id).collect()
    }

    fn add(&mut self, holder: Holder, accelerators: u32) -> CellId {
        let id = CellId(self.next_cell);
        self.next_cell += 1;
        self.holders.entry(holder.clone()).or_default().insert(id);
        let cell = Cell {
            holder,
            accelerators,
            home: Block::new(),
            gangs: BTreeSet::new(),
            risk: None,
            reported: false,
        };
        self.cells.insert(id, cell);
        id
    }

    fn remove(&mut self, id: CellId) -> Option<(CellId, Cell)> {
        let cell = self.cells.remove(&id)?;
        if let Some(ids) = self.holders.get_mut(&cell.holder) {
            ids.remove(&id);
            if ids.is_empty() {
                self.holders.remove(&cell.holder);
            }
        }
        Some((id, cell))
    }
}
