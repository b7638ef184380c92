//! Where guaranteed blocks are set aside, and when one cannot be provided.

use super::Scheduler;
use super::event::GangId;
use super::gang::{Gang, Phase};
use super::limits::{
    CELL_REVIEW_INTERVAL_MS, POOL_DISCOVERY_MS, REPACK_INTERVAL_MS, UPSTREAM_SHAPE_LIMIT,
};
use super::organisation::{Cell, CellId, Holder};
use super::packing::Moves;
use super::pool::{RackIx, UpstreamIx};
use super::rack::{Block, View, aligned_masks, room};
use super::timers::Timer;
use super::{Decision, JobRecord, Mask};

/// Cost of a place for a block: accelerators that cannot be reclaimed, accelerators in use, and
/// the room that is broken up.
type Cost = (u32, u32, u32);

/// Returns the first place without any gang in the way, or else the one of the lowest cost.
fn cheapest(homes: impl Iterator<Item = (Cost, Block)>) -> Option<(Cost, Block)> {
    let mut best: Option<(Cost, Block)> = None;
    for home in homes {
        if best.as_ref().is_none_or(|(cost, _)| home.0 < *cost) {
            let free = home.0.1 == 0;
            best = Some(home);
            if free {
                break;
            }
        }
    }
    best
}

impl Scheduler {
    /// Returns whether stopping a gang is allowed, or it is stopping already.
    pub(super) fn is_reclaimable(gang: &Gang) -> bool {
        gang.phase == Phase::Stopping || gang.reclaimable
    }

    /// Returns whether a gang runs guaranteed work of the holder.
    fn is_guaranteed_to(&self, gang: &Gang, holder: &Holder) -> bool {
        let spec = self.jobs.get(&gang.job).map(|job| &job.spec);
        spec.is_some_and(|spec| spec.holder().as_ref() == Some(holder))
    }

    /// Finds accelerators for a guaranteed block, with as few obstacles as possible.
    pub(super) fn find_home(&self, count: u32) -> Option<(Cost, Block)> {
        if let Some(block) = self.pool.find_block(count, View::Open, &[]) {
            return Some(((0, 0, 0), block));
        }
        if count > UPSTREAM_SHAPE_LIMIT {
            let racks = self.pool.racks_with(count, View::Unreserved);
            return cheapest(racks.flat_map(|rack| self.home_runs(rack, count)));
        }
        let upstreams = self.pool.upstreams_with(count, View::Unreserved);
        cheapest(upstreams.filter_map(|ix| self.find_home_on(ix, count)))
    }

    fn find_home_on(&self, ix: UpstreamIx, count: u32) -> Option<(Cost, Block)> {
        let upstream = self.pool.upstream(ix);
        let unreserved = upstream.available(View::Unreserved);
        if !upstream.is_sound() {
            return None;
        }
        let costs = aligned_masks(unreserved, count).map(|mask| {
            let broken = room(unreserved) - room(unreserved & !mask);
            let (firm, used) = (upstream.firm & mask, upstream.used & mask);
            ((firm.count_ones(), used.count_ones(), broken), mask)
        });
        costs.min().map(|(cost, mask)| (cost, Block::from_iter([(ix, mask)])))
    }

    fn home_runs(&self, rack: RackIx, count: u32) -> Vec<(Cost, Block)> {
        let rack = &self.pool.racks[rack.get()];
        let windows = rack.windows(&self.pool.upstreams, count, View::Unreserved);
        let sound = windows.into_iter().filter(|(_, block)| self.is_block_sound(block));
        let costed = sound.map(|(run, block)| {
            let mut cost = (0, 0, run);
            for (ix, mask) in &block {
                let upstream = self.pool.upstream(*ix);
                cost.0 += (upstream.firm & mask).count_ones();
                cost.1 += (upstream.used & mask).count_ones();
            }
            (cost, block)
        });
        costed.collect()
    }

    fn is_block_sound(&self, block: &Block) -> bool {
        block.iter().all(|(ix, _)| self.pool.upstream(*ix).is_sound())
    }

    /// Moves a block to other accelerators, or to none.
    pub(super) fn set_home(&mut self, id: CellId, home: &Block) {
        let Some(cell) = self.organisations.cells.get_mut(&id) else { return };
        let old = std::mem::replace(&mut cell.home, home.clone());
        let gangs = std::mem::take(&mut cell.gangs);
        self.clear_home(id, &old);
        for gang in gangs {
            self.gangs.get_mut(&gang).map(|g| g.own_cell.take());
        }
        for &(ix, mask) in home {
            self.pool.change(ix, |u| u.reserve(id, mask));
        }
        self.adopt_gangs(id);
        let members = home.iter().map(|&(ix, mask)| self.place_record(ix, mask)).collect();
        self.persist(JobRecord::Reserved { guarantee: id, members });
        self.queue.retry_all();
    }

    /// Gives back the accelerators of a block.
    pub(super) fn clear_home(&mut self, id: CellId, home: &Block) {
        for &(ix, mask) in home {
            self.pool.change(ix, |u| u.unreserve(id, mask));
        }
    }

    /// Counts the holder's guaranteed gangs within the block as use of the block.
    pub(super) fn adopt_gangs(&mut self, id: CellId) {
        let Some(cell) = self.organisations.cells.get(&id) else { return };
        let adopted: Vec<GangId> = self
            .gangs_in(&cell.home)
            .into_iter()
            .filter(|gang| self.is_inside(*gang, cell))
            .collect();
        for gang in &adopted {
            if let Some(gang) = self.gangs.get_mut(gang) {
                gang.own_cell = Some(id);
            }
        }
        if let Some(cell) = self.organisations.cells.get_mut(&id) {
            cell.gangs.extend(adopted);
        }
    }

    fn is_inside(&self, id: GangId, cell: &Cell) -> bool {
        let Some(gang) = self.gangs.get(&id) else { return false };
        let covered = |ix: UpstreamIx, mask: Mask| {
            cell.home.iter().any(|&(home, home_mask)| home == ix && home_mask & mask == mask)
        };
        self.is_guaranteed_to(gang, &cell.holder)
            && gang.members.iter().all(|m| covered(m.upstream, m.mask))
    }

    /// Returns the gangs that hold accelerators of a block.
    pub(super) fn gangs_in(&self, block: &Block) -> Vec<GangId> {
        let gangs = block.iter().flat_map(|&(ix, mask)| {
            let here = self.pool.upstream(ix).gangs.iter();
            here.filter(move |(_, held)| held & mask != 0).map(|(id, _)| *id)
        });
        let mut gangs: Vec<GangId> = gangs.collect();
        gangs.sort_unstable();
        gangs.dedup();
        gangs
    }

    /// Returns why a block cannot be provided by stopping borrowers only.
    fn risk_of(&self, id: CellId) -> Option<String> {
        let cell = self.organisations.cells.get(&id)?;
        let n = cell.accelerators;
        if cell.home.is_empty() {
            return Some(format!("no {n} adjacent accelerators are left for the block"));
        }
        let gone = cell.home.iter().find(|(ix, _)| !self.pool.upstream(*ix).is_sound());
        if let Some((ix, _)) = gone {
            return Some(format!("upstream {} of the block is gone", self.pool.upstream(*ix).name));
        }
        let blocking = self.gangs_in(&cell.home).into_iter().find_map(|gang| {
            let gang = self.gangs.get(&gang)?;
            let fine = gang.own_cell == Some(id) || Self::is_reclaimable(gang);
            (!fine).then_some(&gang.job)
        });
        blocking
            .map(|job| format!("job {job} in the block can be neither checkpointed nor stopped"))
    }

    /// Updates the risk of a block, reports a new one and stops lending what the block needs.
    pub(super) fn update_risk(&mut self, id: CellId, now_ms: u64) {
        let risk = self.risk_of(id);
        let Some(cell) = self.organisations.cells.get_mut(&id) else { return };
        let (was, is) = (cell.risk.is_some(), risk.is_some());
        // Upstreams that have not announced themselves since a restart are not reported as lost.
        let report = is && !cell.reported && now_ms >= self.started_ms + POOL_DISCOVERY_MS;
        cell.reported = is && (cell.reported || report);
        cell.risk.clone_from(&risk);
        let (home, holder, accelerators) =
            (cell.home.clone(), cell.holder.clone(), cell.accelerators);
        for (ix, mask) in home {
            self.pool.change(ix, |u| u.withhold(mask, is));
        }
        if let Some(reason) = risk {
            self.timers.set_earlier(Timer::Cells, now_ms + CELL_REVIEW_INTERVAL_MS);
            if report {
                let organisation = holder.organisation;
                self.emit(Decision::GuaranteeAtRisk { organisation, accelerators, reason });
            }
        } else if was {
            self.queue.retry_all();
        }
    }

    fn is_home_sound(&self, id: CellId) -> bool {
        let cell = self.organisations.cells.get(&id);
        cell.is_none_or(|cell| self.is_block_sound(&cell.home))
    }

    /// Finds another place for a block, which may share upstreams with the present one.
    fn find_other_home(&mut self, id: CellId) -> Option<(Cost, Block)> {
        let cell = self.organisations.cells.get(&id)?.clone();
        self.clear_home(id, &cell.home);
        let found = self.find_home(cell.accelerators);
        for &(ix, mask) in &cell.home {
            self.pool.change(ix, |u| u.reserve(id, mask));
        }
        found.filter(|(_, home)| *home != cell.home)
    }

    /// Looks for a better place if a block cannot be provided where it is.
    pub(super) fn review_cell(&mut self, id: CellId, now_ms: u64) {
        if !self.is_home_adjacent(id) {
            self.set_home(id, &Block::new());
        }
        // After a start, upstreams that have not announced themselves yet are not lost.
        let discovered = now_ms >= self.started_ms + POOL_DISCOVERY_MS;
        if self.risk_of(id).is_some() {
            let lost = !self.is_home_sound(id);
            match self.find_other_home(id) {
                Some((cost, home)) if cost.0 == 0 && (!lost || discovered) => {
                    self.set_home(id, &home);
                }
                Some((_, home)) if lost && discovered => self.set_home(id, &home),
                _ => {}
            }
        }
        self.update_risk(id, now_ms);
    }

    /// Reviews the blocks at risk, which more capacity or ended work may allow now.
    pub(super) fn review_risks(&mut self, now_ms: u64) {
        let homeless = self.organisations.cells.values().any(|cell| cell.home.is_empty());
        if homeless && now_ms >= self.repacked_ms + REPACK_INTERVAL_MS {
            self.repacked_ms = now_ms;
            // Without room for all, each block keeps what it has and stays reported.
            if self.repack(Moves::UnusedWithoutRisk, None).is_ok() {
                self.queue.retry_all();
            }
        }
        let cells = self.organisations.cells.iter().filter(|(_, cell)| cell.risk.is_some());
        for id in cells.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.review_cell(id, now_ms);
        }
    }

    /// Reviews the blocks that have accelerators on an upstream.
    pub(super) fn review_upstream(&mut self, ix: UpstreamIx, now_ms: u64) {
        let cells: Vec<CellId> = self.pool.upstream(ix).cells.iter().map(|(id, _)| *id).collect();
        for id in cells {
            self.review_cell(id, now_ms);
        }
    }

    /// Returns whether the upstreams of a block are still mounted side by side.
    fn is_home_adjacent(&self, id: CellId) -> bool {
        let Some(cell) = self.organisations.cells.get(&id) else { return true };
        let places: Vec<_> =
            cell.home.iter().map(|&(ix, mask)| (self.pool.upstream(ix), mask)).collect();
        let whole = places.len() == 1 || places.iter().all(|(u, mask)| *mask == u.whole_mask());
        let adjacent = places
            .windows(2)
            .all(|w| w[0].0.rack == w[1].0.rack && w[0].0.position + 1 == w[1].0.position);
        let within = places.iter().all(|(u, mask)| mask & !u.whole_mask() == 0);
        let size: u32 = places.iter().map(|(_, mask)| mask.count_ones()).sum();
        places.is_empty() || (whole && adjacent && within && size >= cell.accelerators)
    }
}
