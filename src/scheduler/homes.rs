//! Reservation of accelerators for guaranteed blocks, and detection of blocks at risk.

use super::Scheduler;
use super::event::GangId;
use super::gang::{Gang, GangPhase};
use super::limits::{
    GUARANTEE_REVIEW_INTERVAL_MS, POOL_DISCOVERY_MS, REPACK_INTERVAL_MS, UPSTREAM_BLOCK_LIMIT,
};
use super::organisation::{Guarantee, GuaranteeHolder, GuaranteeId};
use super::packing::RepackScope;
use super::pool::{RackIx, UpstreamIx};
use super::rack::{Block, CapacityView, aligned_masks, largest_aligned_count};
use super::timers::Timer;
use super::{Decision, JobRecord, Mask};

/// Cost of accelerators for a block, in order of weight: accelerators that cannot be reclaimed,
/// accelerators in use, and size of the free block that is broken up.
type Cost = (u32, u32, u32);

/// Returns the first candidate without accelerators in use, or else the one of the lowest cost.
fn cheapest(candidates: impl Iterator<Item = (Cost, Block)>) -> Option<(Cost, Block)> {
    let mut best: Option<(Cost, Block)> = None;
    for candidate in candidates {
        if best.as_ref().is_none_or(|(cost, _)| candidate.0 < *cost) {
            let free = candidate.0.1 == 0;
            best = Some(candidate);
            if free {
                break;
            }
        }
    }
    best
}

impl Scheduler {
    /// Returns whether a gang may be stopped for other work or is stopping already.
    pub(super) fn is_reclaimable(gang: &Gang) -> bool {
        gang.phase == GangPhase::Stopping || gang.reclaimable
    }

    /// Returns whether a gang runs guaranteed work of the holder.
    fn is_guaranteed_to(&self, gang: &Gang, holder: &GuaranteeHolder) -> bool {
        let spec = self.jobs.get(&gang.job).map(|job| &job.spec);
        spec.is_some_and(|spec| spec.holder().as_ref() == Some(holder))
    }

    /// Finds the accelerators of the lowest cost for a guaranteed block.
    pub(super) fn find_reservation(&self, count: u32) -> Option<(Cost, Block)> {
        if let Some(block) = self.pool.find_block(count, CapacityView::FreeUnreserved, &[]) {
            return Some(((0, 0, 0), block));
        }
        if count > UPSTREAM_BLOCK_LIMIT {
            let racks = self.pool.racks_fitting(count, CapacityView::Unreserved);
            return cheapest(racks.flat_map(|rack| self.reservations_in_rack(rack, count)));
        }
        let upstreams = self.pool.upstreams_fitting(count, CapacityView::Unreserved);
        cheapest(upstreams.filter_map(|ix| self.find_reservation_on(ix, count)))
    }

    fn find_reservation_on(&self, ix: UpstreamIx, count: u32) -> Option<(Cost, Block)> {
        let upstream = self.pool.upstream(ix);
        let unreserved = upstream.available(CapacityView::Unreserved);
        if !upstream.is_in_service() {
            return None;
        }
        let costs = aligned_masks(unreserved, count).map(|mask| {
            let broken =
                largest_aligned_count(unreserved) - largest_aligned_count(unreserved & !mask);
            let (non_reclaimable, used) = (upstream.non_reclaimable & mask, upstream.used & mask);
            ((non_reclaimable.count_ones(), used.count_ones(), broken), mask)
        });
        costs.min().map(|(cost, mask)| (cost, Block::from_iter([(ix, mask)])))
    }

    fn reservations_in_rack(&self, rack: RackIx, count: u32) -> Vec<(Cost, Block)> {
        let rack = &self.pool.racks[rack.get()];
        let windows = rack.windows(&self.pool.upstreams, count, CapacityView::Unreserved);
        let in_service = windows.into_iter().filter(|(_, block)| self.is_block_in_service(block));
        let costed = in_service.map(|(run, block)| {
            let mut cost = (0, 0, run);
            for (ix, mask) in &block {
                let upstream = self.pool.upstream(*ix);
                cost.0 += (upstream.non_reclaimable & mask).count_ones();
                cost.1 += (upstream.used & mask).count_ones();
            }
            (cost, block)
        });
        costed.collect()
    }

    fn is_block_in_service(&self, block: &Block) -> bool {
        block.iter().all(|(ix, _)| self.pool.upstream(*ix).is_in_service())
    }

    /// Reserves other accelerators for a block, or none.
    pub(super) fn set_reservation(&mut self, id: GuaranteeId, reservation: &Block) {
        let Some(guarantee) = self.organisations.guarantees.get_mut(&id) else { return };
        let old = std::mem::replace(&mut guarantee.reservation, reservation.clone());
        let gangs = std::mem::take(&mut guarantee.gangs);
        self.clear_reservation(id, &old);
        for gang in gangs {
            self.gangs.get_mut(&gang).map(|g| g.own_guarantee.take());
        }
        for &(ix, mask) in reservation {
            self.pool.update(ix, |u| u.reserve(id, mask));
        }
        self.attach_gangs(id);
        let members = reservation.iter().map(|&(ix, mask)| self.member_record(ix, mask)).collect();
        self.persist(JobRecord::Reserved { guarantee: id, members });
        self.queue.retry_all();
    }

    /// Releases the accelerators reserved for a block.
    pub(super) fn clear_reservation(&mut self, id: GuaranteeId, reservation: &Block) {
        for &(ix, mask) in reservation {
            self.pool.update(ix, |u| u.unreserve(id, mask));
        }
    }

    /// Attaches the holder's guaranteed gangs that run within the block to the block.
    pub(super) fn attach_gangs(&mut self, id: GuaranteeId) {
        let Some(guarantee) = self.organisations.guarantees.get(&id) else { return };
        let attached: Vec<GangId> = self
            .gangs_in(&guarantee.reservation)
            .into_iter()
            .filter(|gang| self.is_inside(*gang, guarantee))
            .collect();
        for gang in &attached {
            if let Some(gang) = self.gangs.get_mut(gang) {
                gang.own_guarantee = Some(id);
            }
        }
        if let Some(guarantee) = self.organisations.guarantees.get_mut(&id) {
            guarantee.gangs.extend(attached);
        }
    }

    fn is_inside(&self, id: GangId, guarantee: &Guarantee) -> bool {
        let Some(gang) = self.gangs.get(&id) else { return false };
        let covered = |ix: UpstreamIx, mask: Mask| {
            guarantee.reservation.iter().any(|&(reserved_ix, reserved_mask)| {
                reserved_ix == ix && reserved_mask & mask == mask
            })
        };
        self.is_guaranteed_to(gang, &guarantee.holder)
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

    /// Returns why stopping borrowers is not enough to provide a block, or `None` if it is.
    fn risk_of(&self, id: GuaranteeId) -> Option<String> {
        let guarantee = self.organisations.guarantees.get(&id)?;
        let n = guarantee.accelerators;
        if guarantee.reservation.is_empty() {
            return Some(format!("no {n} adjacent accelerators are left for the block"));
        }
        let lost =
            guarantee.reservation.iter().find(|(ix, _)| !self.pool.upstream(*ix).is_in_service());
        if let Some((ix, _)) = lost {
            return Some(format!("upstream {} of the block is gone", self.pool.upstream(*ix).name));
        }
        let blocking = self.gangs_in(&guarantee.reservation).into_iter().find_map(|gang| {
            let gang = self.gangs.get(&gang)?;
            let allowed = gang.own_guarantee == Some(id) || Self::is_reclaimable(gang);
            (!allowed).then_some(&gang.job)
        });
        blocking
            .map(|job| format!("job {job} in the block can be neither checkpointed nor stopped"))
    }

    /// Updates whether a block is at risk, reports a new risk and withholds the block from lending.
    pub(super) fn update_risk(&mut self, id: GuaranteeId, now_ms: u64) {
        let risk = self.risk_of(id);
        let Some(guarantee) = self.organisations.guarantees.get_mut(&id) else { return };
        let (was_at_risk, is_at_risk) = (guarantee.risk.is_some(), risk.is_some());
        // Upstreams that have not announced themselves since a restart are not reported as lost.
        let report =
            is_at_risk && !guarantee.reported && now_ms >= self.started_ms + POOL_DISCOVERY_MS;
        guarantee.reported = is_at_risk && (guarantee.reported || report);
        guarantee.risk.clone_from(&risk);
        let (reservation, holder, accelerators) =
            (guarantee.reservation.clone(), guarantee.holder.clone(), guarantee.accelerators);
        for (ix, mask) in reservation {
            self.pool.update(ix, |u| u.set_withheld(mask, is_at_risk));
        }
        if let Some(reason) = risk {
            self.timers.set_earlier(Timer::Guarantees, now_ms + GUARANTEE_REVIEW_INTERVAL_MS);
            if report {
                let organisation = holder.organisation;
                self.emit(Decision::GuaranteeAtRisk { organisation, accelerators, reason });
            }
        } else if was_at_risk {
            self.queue.retry_all();
        }
    }

    fn is_reservation_in_service(&self, id: GuaranteeId) -> bool {
        let guarantee = self.organisations.guarantees.get(&id);
        guarantee.is_none_or(|guarantee| self.is_block_in_service(&guarantee.reservation))
    }

    /// Finds other accelerators for a block, which may overlap with the present ones.
    fn find_other_reservation(&mut self, id: GuaranteeId) -> Option<(Cost, Block)> {
        let guarantee = self.organisations.guarantees.get(&id)?.clone();
        self.clear_reservation(id, &guarantee.reservation);
        let found = self.find_reservation(guarantee.accelerators);
        for &(ix, mask) in &guarantee.reservation {
            self.pool.update(ix, |u| u.reserve(id, mask));
        }
        found.filter(|(_, reservation)| *reservation != guarantee.reservation)
    }

    /// Reserves other accelerators for a block that cannot be provided with the present ones.
    pub(super) fn review_guarantee(&mut self, id: GuaranteeId, now_ms: u64) {
        if !self.is_reservation_intact(id) {
            self.set_reservation(id, &Block::new());
        }
        // After a start, upstreams that have not announced themselves yet do not count as lost.
        let discovered = now_ms >= self.started_ms + POOL_DISCOVERY_MS;
        if self.risk_of(id).is_some() {
            let lost = !self.is_reservation_in_service(id);
            match self.find_other_reservation(id) {
                Some((cost, reservation)) if cost.0 == 0 && (!lost || discovered) => {
                    self.set_reservation(id, &reservation);
                }
                Some((_, reservation)) if lost && discovered => {
                    self.set_reservation(id, &reservation);
                }
                _ => {}
            }
        }
        self.update_risk(id, now_ms);
    }

    /// Reviews the blocks at risk, which new capacity or ended work may have made possible.
    pub(super) fn review_risks(&mut self, now_ms: u64) {
        let any_unplaced = self
            .organisations
            .guarantees
            .values()
            .any(|guarantee| guarantee.reservation.is_empty());
        if any_unplaced && now_ms >= self.last_repack_ms + REPACK_INTERVAL_MS {
            self.last_repack_ms = now_ms;
            // If not all blocks fit, each keeps its accelerators and stays at risk.
            if self.repack(RepackScope::UnusedWithoutRisk, None).is_ok() {
                self.queue.retry_all();
            }
        }
        let guarantees =
            self.organisations.guarantees.iter().filter(|(_, guarantee)| guarantee.risk.is_some());
        for id in guarantees.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.review_guarantee(id, now_ms);
        }
    }

    /// Reviews the blocks that have accelerators on an upstream.
    pub(super) fn review_upstream(&mut self, ix: UpstreamIx, now_ms: u64) {
        let guarantees: Vec<GuaranteeId> =
            self.pool.upstream(ix).guarantees.iter().map(|(id, _)| *id).collect();
        for id in guarantees {
            self.review_guarantee(id, now_ms);
        }
    }

    /// Returns whether the accelerators of a block still exist, are adjacent and are enough.
    fn is_reservation_intact(&self, id: GuaranteeId) -> bool {
        let Some(guarantee) = self.organisations.guarantees.get(&id) else { return true };
        let parts: Vec<_> = guarantee
            .reservation
            .iter()
            .map(|&(ix, mask)| (self.pool.upstream(ix), mask))
            .collect();
        let whole = parts.len() == 1 || parts.iter().all(|(u, mask)| *mask == u.whole_mask());
        let adjacent = parts
            .windows(2)
            .all(|w| w[0].0.rack == w[1].0.rack && w[0].0.position + 1 == w[1].0.position);
        let within = parts.iter().all(|(u, mask)| mask & !u.whole_mask() == 0);
        let size: u32 = parts.iter().map(|(_, mask)| mask.count_ones()).sum();
        parts.is_empty() || (whole && adjacent && within && size >= guarantee.accelerators)
    }
}
