//! Service documents: guarantees that take effect, or are refused because they do not fit.

use std::cmp::Reverse;

use super::document::Guarantees;
use super::limits::{ACCELERATORS_LIMIT, POOL_DISCOVERY_MS};
use super::organisation::{CellId, Organisations};
use super::rack::Block;
use super::{Decision, JobRecord, Scheduler};

impl Scheduler {
    pub(super) fn on_document(&mut self, document: Guarantees, now_ms: u64) {
        if !self.organisations.is_newer(&document) {
            return;
        }
        if let Some(reason) = oversized(&document) {
            return self.refuse_document(document, reason);
        }
        let before = self.organisations.clone();
        let change = self.organisations.apply(&document);
        let discovered = now_ms >= self.started_ms + POOL_DISCOVERY_MS;
        let records = self.persist.len();
        self.persist(JobRecord::Guarantees(document.clone()));
        for (id, cell) in &change.removed {
            self.clear_home(*id, &cell.home);
            self.disown(&cell.gangs);
        }
        let placed = self.place_cells(change.added, discovered);
        if let Err(reason) = placed
            && discovered
        {
            self.restore(before);
            self.persist.truncate(records);
            return self.refuse_document(document, reason);
        }
        for id in self.cell_ids() {
            self.review_cell(id, now_ms);
        }
        self.refuse_unrunnable(now_ms);
        self.queue.retry_all();
    }

    fn refuse_document(&mut self, document: Guarantees, reason: String) {
        let (service, version) = (document.service, document.version);
        self.emit(Decision::DocumentRefused { service, version, reason });
    }

    fn cell_ids(&self) -> Vec<CellId> {
        self.organisations.cells.keys().copied().collect()
    }

    fn disown<'a>(&mut self, gangs: impl IntoIterator<Item = &'a super::GangId>) {
        for gang in gangs {
            self.gangs.get_mut(gang).map(|g| g.own_cell.take());
        }
    }

    /// Sets accelerators aside for new blocks, largest first. If one does not fit, all blocks
    /// without running guaranteed work are placed anew, because an earlier choice may be in the
    /// way. While the pool is not known yet, blocks that fit already are left where they are.
    ///
    /// # Errors
    /// Returns the block that does not fit.
    fn place_cells(&mut self, mut cells: Vec<CellId>, discovered: bool) -> Result<(), String> {
        let placed = self.try_place_cells(&mut cells);
        if placed.is_ok() || !discovered {
            return placed;
        }
        let movable = self.organisations.cells.iter().filter(|(_, cell)| cell.gangs.is_empty());
        let mut movable: Vec<CellId> = movable.map(|(id, _)| *id).collect();
        for id in &movable {
            self.set_home(*id, &Block::new());
        }
        self.try_place_cells(&mut movable)
    }

    fn try_place_cells(&mut self, cells: &mut [CellId]) -> Result<(), String> {
        cells.sort_by_key(|id| (Reverse(self.organisations.cells[id].accelerators), *id));
        for id in cells {
            let cell = &self.organisations.cells[id];
            let Some((_, home)) = self.find_home(cell) else {
                return Err(format!(
                    "the guaranteed block of {} accelerators of {} does not fit the pool together \
                     with the other guarantees",
                    cell.accelerators, cell.holder.organisation
                ));
            };
            self.set_home(*id, &home);
        }
        Ok(())
    }

    /// Returns to the blocks and places of an earlier state.
    fn restore(&mut self, before: Organisations) {
        for (id, cell) in std::mem::take(&mut self.organisations).cells {
            self.clear_home(id, &cell.home);
            self.disown(&cell.gangs);
        }
        self.organisations = before;
        for id in self.cell_ids() {
            let cell = &self.organisations.cells[&id];
            let (home, at_risk) = (cell.home.clone(), cell.risk.is_some());
            for &(ix, mask) in &home {
                self.pool.change(ix, |u| {
                    u.reserve(id, mask);
                    u.withhold(mask, at_risk);
                });
            }
            self.adopt_gangs(id);
        }
    }
}

fn oversized(document: &Guarantees) -> Option<String> {
    let blocks = document
        .organisations
        .iter()
        .flat_map(|(name, sizes)| sizes.iter().map(move |size| (name, *size)));
    let (name, size) = blocks.into_iter().find(|(_, size)| *size > ACCELERATORS_LIMIT)?;
    Some(format!(
        "the guaranteed block of {size} accelerators of {name} exceeds the limit of \
         {ACCELERATORS_LIMIT} adjacent ones"
    ))
}
