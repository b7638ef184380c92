//! Placing all guaranteed blocks anew, when one of them or a waiting job finds no room.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use super::Scheduler;
use super::organisation::{Cell, CellId, Organisations};
use super::rack::Block;

/// Identity under which room for a waiting job is set aside while blocks are placed.
const JOB_ROOM: CellId = CellId(u32::MAX);

/// What may change when blocks are placed anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Moves {
    /// Blocks without running guaranteed work, even if work in the way has to end first.
    Unused,
    /// Blocks without running guaranteed work, and only to places that can be reclaimed at once,
    /// so that no guarantee is put at risk.
    UnusedWithoutRisk,
    /// All blocks, to judge whether sizes fit the pool whatever runs there.
    All,
}

impl Scheduler {
    /// Places the movable blocks anew, largest first, with room for one more shape.
    ///
    /// # Errors
    /// Returns the block that does not fit; nothing has changed then.
    pub(super) fn repack(
        &mut self,
        moves: Moves,
        job_size: Option<u32>,
    ) -> Result<Option<Block>, String> {
        let before = self.organisations.clone();
        let records = self.persist.len();
        let packed = self.try_repack(moves, job_size);
        if packed.is_err() {
            self.restore(before);
            self.persist.truncate(records);
        }
        packed
    }

    /// Returns whether a shape fits the pool beside all guaranteed blocks, whatever runs there.
    pub(super) fn fits_beside_guarantees(&mut self, count: u32) -> bool {
        let before = self.organisations.clone();
        let records = self.persist.len();
        let fits = self.try_repack(Moves::All, Some(count)).is_ok();
        self.restore(before);
        self.persist.truncate(records);
        fits
    }

    fn try_repack(&mut self, moves: Moves, job_size: Option<u32>) -> Result<Option<Block>, String> {
        let cells = self.organisations.cells.iter();
        let movable = cells.filter(|(_, cell)| moves == Moves::All || cell.gangs.is_empty());
        let movable: Vec<CellId> = movable.map(|(id, _)| *id).collect();
        for id in &movable {
            self.set_home(*id, &Block::new());
        }
        let larger = |cell: &Cell| job_size.is_none_or(|size| cell.accelerators > size);
        let (first, rest): (Vec<_>, Vec<_>) =
            movable.into_iter().partition(|id| larger(&self.organisations.cells[id]));
        self.place_cells(first, moves)?;
        let room = self.set_room_aside(job_size)?;
        let placed = self.place_cells(rest, moves);
        for &(ix, _) in room.iter().flatten() {
            let mask = self.pool.upstream(ix).whole_mask();
            self.pool.change(ix, |u| u.unreserve_cell(JOB_ROOM, mask));
        }
        placed.map(|()| room)
    }

    fn set_room_aside(&mut self, job_size: Option<u32>) -> Result<Option<Block>, String> {
        let Some(count) = job_size else { return Ok(None) };
        let Some((_, block)) = self.find_home(count) else {
            return Err(format!("{count} adjacent accelerators do not fit beside the guarantees"));
        };
        for &(ix, mask) in &block {
            self.pool.change(ix, |u| u.reserve(JOB_ROOM, mask));
        }
        Ok(Some(block))
    }

    /// Sets accelerators aside for blocks, largest first.
    ///
    /// # Errors
    /// Returns the block that does not fit.
    pub(super) fn place_cells(
        &mut self,
        mut cells: Vec<CellId>,
        moves: Moves,
    ) -> Result<(), String> {
        cells.sort_by_key(|id| (Reverse(self.organisations.cells[id].accelerators), *id));
        for id in cells {
            let cell = &self.organisations.cells[&id];
            let home = self.find_home(cell.accelerators);
            let home = home.filter(|(cost, _)| moves != Moves::UnusedWithoutRisk || cost.0 == 0);
            let Some((_, home)) = home else {
                return Err(format!(
                    "the guaranteed block of {} accelerators of {} does not fit the pool together \
                     with the other guarantees",
                    cell.accelerators, cell.holder.organisation
                ));
            };
            self.set_home(id, &home);
        }
        Ok(())
    }

    /// Returns to the blocks and places of an earlier state.
    pub(super) fn restore(&mut self, before: Organisations) {
        for (id, cell) in std::mem::take(&mut self.organisations).cells {
            self.clear_home(id, &cell.home);
            self.disown(&cell.gangs);
        }
        self.clear_room();
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

    /// Gives back room for a job that a failed attempt has set aside.
    fn clear_room(&mut self) {
        let holds = |u: &super::pool::Upstream| u.cells.iter().any(|(id, _)| *id == JOB_ROOM);
        let upstreams = self.pool.upstreams.iter().enumerate();
        let left: BTreeSet<usize> = upstreams.filter(|(_, u)| holds(u)).map(|(i, _)| i).collect();
        for i in left {
            let ix = super::pool::UpstreamIx(u32::try_from(i).unwrap_or(u32::MAX));
            let mask = self.pool.upstream(ix).whole_mask();
            self.pool.change(ix, |u| u.unreserve_cell(JOB_ROOM, mask));
        }
    }
}
