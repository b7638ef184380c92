//! Placement of guaranteed work in its own blocks, and the reclaim of lent accelerators.
//!
//! Accelerators of a guaranteed block that its holder does not use are lent to other gangs, the
//! borrowers. Guaranteed work of the holder claims them and has the borrowers stopped.

use std::collections::BTreeSet;

use smallvec::SmallVec;

use super::event::GangId;
use super::gang::{GangPhase, PendingReclaim, StopReason};
use super::job::JobState;
use super::limits::{CHECKPOINT_WAIT_MS, UPSTREAM_BLOCK_LIMIT};
use super::organisation::{Guarantee, GuaranteeHolder, GuaranteeId};
use super::pool::UpstreamIx;
use super::rack::{Block, aligned_masks};
use super::timers::Timer;
use super::{Decision, Mask, Scheduler};
use crate::names::{JobName, OrganisationName};

/// Accelerators that a waiting job gets once the gangs on them have been stopped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Guaranteed block that contains the accelerators; none for a drained block.
    pub guarantee: Option<GuaranteeId>,
    /// Accelerators that the job gets.
    pub block: Block,
}

impl Scheduler {
    /// Returns blocks of `count` adjacent accelerators within the `available` part of a guarantee.
    fn fitting_blocks(
        &self,
        guarantee: &Guarantee,
        count: u32,
        avoid: &[UpstreamIx],
        available: impl Fn(UpstreamIx, Mask) -> Mask,
    ) -> Vec<Block> {
        let usable = guarantee.reservation.iter().map(|&(ix, mask)| {
            let upstream = self.pool.upstream(ix);
            let usable = upstream.is_usable() && !avoid.contains(&ix);
            (ix, if usable { available(ix, mask) & !upstream.claimed } else { 0 })
        });
        if count <= UPSTREAM_BLOCK_LIMIT {
            let blocks = usable.flat_map(|(ix, mask)| {
                aligned_masks(mask, count).map(move |aligned| Block::from_iter([(ix, aligned)]))
            });
            return blocks.collect();
        }
        let upstreams: Vec<_> = usable
            .map(|(ix, mask)| (ix, mask, mask == self.pool.upstream(ix).whole_mask()))
            .collect();
        (0..upstreams.len()).filter_map(|start| window_from(&upstreams[start..], count)).collect()
    }

    /// Returns the sizes of the holder's blocks of at least `count` accelerators, smallest first.
    pub(super) fn own_guarantee_sizes(
        &self,
        holder: &GuaranteeHolder,
        count: u32,
    ) -> SmallVec<[u32; 4]> {
        let guarantees = self.organisations.guarantees_of(holder);
        let mut sizes: SmallVec<[u32; 4]> = guarantees
            .map(|(_, guarantee)| guarantee.accelerators)
            .filter(|size| *size >= count)
            .collect();
        sizes.sort_unstable();
        sizes.dedup();
        sizes
    }

    /// Finds `count` free accelerators within the holder's own blocks of `size` accelerators.
    pub(super) fn find_free_in_own_guarantee(
        &self,
        holder: &GuaranteeHolder,
        count: u32,
        size: u32,
        avoid: &[UpstreamIx],
    ) -> Option<(Block, GuaranteeId)> {
        let free = |ix: UpstreamIx, mask| mask & !self.pool.upstream(ix).used;
        let guarantees = self.organisations.guarantees_of(holder);
        let mut blocks = guarantees
            .filter(|(_, guarantee)| guarantee.accelerators == size)
            .filter_map(|(id, guarantee)| {
                let block =
                    self.fitting_blocks(guarantee, count, avoid, free).into_iter().next()?;
                Some((block, id))
            });
        blocks.next()
    }

    /// Claims `count` accelerators in one of the holder's own blocks of `size` accelerators, where
    /// the reclaim costs least, and stops their borrowers. Returns false if no block has so many.
    pub(super) fn claim_from_borrowers(
        &mut self,
        job: &JobName,
        holder: &GuaranteeHolder,
        (count, size): (u32, u32),
        avoid: &[UpstreamIx],
        now_ms: u64,
    ) -> bool {
        let Some((guarantee, block)) = self.find_claim(holder, count, size, avoid) else {
            return false;
        };
        let Some(waiting) = self.jobs.get(job) else { return false };
        self.queue.remove(&waiting.spec, waiting.accepted_ms);
        for &(ix, mask) in &block {
            self.pool.update(ix, |u| u.claimed |= mask);
        }
        let borrowers = self.gangs_in(&block);
        self.claims.insert(job.clone(), Claim { guarantee: Some(guarantee), block });
        for gang in borrowers {
            let reason = StopReason::Reclaimed(holder.organisation.clone());
            self.reclaim(gang, reason, now_ms);
        }
        true
    }

    fn find_claim(
        &self,
        holder: &GuaranteeHolder,
        count: u32,
        size: u32,
        avoid: &[UpstreamIx],
    ) -> Option<(GuaranteeId, Block)> {
        let guarantees = self.organisations.guarantees_of(holder);
        let guarantees = guarantees.filter(|(_, guarantee)| guarantee.accelerators == size);
        let blocks = guarantees.flat_map(|(id, guarantee)| {
            let lent = |ix, mask| self.reclaimable_mask(ix, mask, id);
            self.fitting_blocks(guarantee, count, avoid, lent)
                .into_iter()
                .map(move |block| (id, block))
        });
        blocks.min_by_key(|(_, block)| self.reclaim_cost(block))
    }

    /// Returns the cost by which blocks are compared: first the number of gangs that are stopping
    /// already, because their end has to be waited for, then the number of all gangs on the block.
    fn reclaim_cost(&self, block: &Block) -> (usize, usize) {
        let gangs = self.gangs_in(block);
        let stopping =
            |id: &&GangId| self.gangs.get(id).is_some_and(|g| g.phase == GangPhase::Stopping);
        (gangs.iter().filter(stopping).count(), gangs.len())
    }

    /// Returns the accelerators of `mask` that are free or can be freed by stopping borrowers.
    fn reclaimable_mask(&self, ix: UpstreamIx, mask: Mask, guarantee: GuaranteeId) -> Mask {
        let gangs = self.pool.upstream(ix).gangs.iter();
        let kept = gangs.filter(|(id, _)| {
            let gang = self.gangs.get(id);
            gang.is_some_and(|g| g.own_guarantee == Some(guarantee) || !Self::is_reclaimable(g))
        });
        kept.fold(mask, |mask, (_, held)| mask & !held)
    }

    /// Requests a checkpoint of a gang and stops it after [`CHECKPOINT_WAIT_MS`]. A gang that has
    /// not started or cannot write a checkpoint is stopped at once.
    pub(super) fn reclaim(&mut self, id: GangId, reason: StopReason, now_ms: u64) {
        let Some(gang) = self.gangs.get_mut(&id) else { return };
        if gang.phase == GangPhase::Stopping || gang.reclaim.is_some() {
            return;
        }
        let can_checkpoint = self.jobs.get(&gang.job).is_some_and(|job| job.spec.can_checkpoint);
        if !can_checkpoint || gang.started_ms.is_none() {
            return self.stop_gang(id, reason, now_ms);
        }
        let stop_at_ms = now_ms + CHECKPOINT_WAIT_MS;
        gang.reclaim = Some(PendingReclaim { stop_at_ms, reason });
        self.timers.set(Timer::Reclaim(id), stop_at_ms);
        let members: Vec<_> =
            gang.members.iter().filter(|m| !m.ended).map(|m| m.upstream).collect();
        for ix in members {
            let upstream = self.pool.upstream(ix).name.clone();
            self.emit(Decision::Checkpoint { gang: id, upstream });
        }
    }

    pub(super) fn on_reclaim_due(&mut self, id: GangId, now_ms: u64) {
        let Some(gang) = self.gangs.get(&id) else { return };
        if let Some(reclaim) = gang.reclaim.clone() {
            self.stop_gang(id, reclaim.reason, now_ms);
        }
    }

    /// Returns whether a waiting job has claimed accelerators that are being freed for it.
    #[must_use]
    pub fn has_claim(&self, job: &JobName) -> bool {
        self.claims.contains_key(job)
    }

    /// Starts the jobs whose claimed accelerators are all free.
    pub(super) fn start_claimed_jobs(&mut self, now_ms: u64) {
        let is_free = |(ix, mask): &(UpstreamIx, Mask)| self.pool.upstream(*ix).used & mask == 0;
        let ready = self.claims.iter().filter(|(_, claim)| claim.block.iter().all(is_free));
        let ready: Vec<JobName> = ready.map(|(job, _)| job.clone()).collect();
        for job in ready {
            let Some(claim) = self.take_claim(&job) else { continue };
            self.start_gang(&job, &claim.block, claim.guarantee, now_ms);
        }
    }

    fn take_claim(&mut self, job: &JobName) -> Option<Claim> {
        let claim = self.claims.remove(job)?;
        for &(ix, mask) in &claim.block {
            self.pool.update(ix, |u| {
                if claim.guarantee.is_some() {
                    u.claimed &= !mask;
                } else {
                    u.draining &= !mask;
                    u.drained &= !mask;
                }
            });
        }
        Some(claim)
    }

    /// Drops a claim; borrowers that have not been stopped yet keep running.
    pub(super) fn drop_claim(&mut self, job: &JobName) -> bool {
        let Some(claim) = self.take_claim(job) else { return false };
        let still_claimed: BTreeSet<GangId> =
            self.claims.values().flat_map(|other| self.gangs_in(&other.block)).collect();
        let gangs = self.gangs_in(&claim.block);
        for gang in gangs.into_iter().filter(|gang| !still_claimed.contains(gang)) {
            if let Some(gang) = self.gangs.get_mut(&gang) {
                gang.reclaim = None;
            }
            self.timers.clear(Timer::Reclaim(gang));
        }
        self.queue.retry_all();
        true
    }

    /// Drops the claims that can no longer be met and queues their jobs again.
    pub(super) fn drop_broken_claims(&mut self) {
        let broken = self.claims.iter().filter(|(job, claim)| !self.is_claim_valid(job, claim));
        for name in broken.map(|(job, _)| job.clone()).collect::<Vec<_>>() {
            self.drop_claim(&name);
            let Some(job) = self.jobs.get(&name) else { continue };
            debug_assert_eq!(job.state, JobState::Waiting, "a claim belongs to a waiting job");
            self.queue.push(&job.spec, job.accepted_ms);
        }
    }

    fn is_claim_valid(&self, job: &JobName, claim: &Claim) -> bool {
        let Some(guarantee) = claim.guarantee else {
            return self.is_drained_claim_valid(job, claim);
        };
        let Some(guarantee) = self.organisations.guarantees.get(&guarantee) else { return false };
        let in_reservation = |(ix, mask): &(UpstreamIx, Mask)| {
            guarantee.reservation.iter().any(|(reserved_ix, reserved_mask)| {
                reserved_ix == ix && reserved_mask & mask == *mask
            })
        };
        let in_service = |(ix, _): &(UpstreamIx, Mask)| self.pool.upstream(*ix).is_in_service();
        claim.block.iter().all(in_reservation) && claim.block.iter().all(in_service)
    }

    /// Returns whether a drained block can still go to its job: its upstreams are in service,
    /// guaranteed work has not taken it, and the gangs on it are ending.
    fn is_drained_claim_valid(&self, job: &JobName, claim: &Claim) -> bool {
        let reclaimable = self.jobs.get(job).is_some_and(|job| job.spec.is_reclaimable());
        let is_available = |(ix, mask): &(UpstreamIx, Mask)| {
            let u = self.pool.upstream(*ix);
            u.is_in_service() && u.claimed & mask == 0 && (reclaimable || u.reserved & mask == 0)
        };
        let is_ending = |id: &GangId| {
            self.gangs
                .get(id)
                .is_some_and(|g| g.phase == GangPhase::Stopping || g.reclaim.is_some())
        };
        claim.block.iter().all(is_available) && self.gangs_in(&claim.block).iter().all(is_ending)
    }

    /// Returns the organisations whose guaranteed accelerators a gang borrows.
    pub(super) fn lenders(&self, id: GangId) -> Vec<OrganisationName> {
        let Some(gang) = self.gangs.get(&id) else { return Vec::new() };
        let guarantees = gang.members.iter().flat_map(|member| {
            let guarantees = self.pool.upstream(member.upstream).guarantees.iter();
            guarantees.filter(|(_, mask)| mask & member.mask != 0).map(|(guarantee, _)| *guarantee)
        });
        let borrowed = guarantees.filter(|guarantee| gang.own_guarantee != Some(*guarantee));
        let mut lenders: Vec<_> = borrowed
            .filter_map(|id| {
                Some(self.organisations.guarantees.get(&id)?.holder.organisation.clone())
            })
            .collect();
        lenders.sort();
        lenders.dedup();
        lenders
    }
}

/// Takes upstreams from the start of the list until they have `count` accelerators. Returns none if
/// an upstream among them is not wholly available (false).
fn window_from(upstreams: &[(UpstreamIx, Mask, bool)], count: u32) -> Option<Block> {
    let mut block = Block::new();
    let mut size = 0;
    for (ix, mask, _) in upstreams.iter().take_while(|(.., whole)| *whole) {
        block.push((*ix, *mask));
        size += mask.count_ones();
        if size >= count {
            return Some(block);
        }
    }
    None
}
