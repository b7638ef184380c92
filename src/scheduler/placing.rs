//! Placement of waiting jobs.

use smallvec::SmallVec;

use super::event::GangId;
use super::gang::{Gang, Member};
use super::job::JobState;
use super::limits::{PLACEMENTS_PER_STEP, STAGE_HOLD_MS};
use super::organisation::{GuaranteeHolder, GuaranteeId};
use super::pool::UpstreamIx;
use super::queue::PlacementClass;
use super::rack::{Block, CapacityView};
use super::timers::Timer;
use super::{Decision, JobRecord, MemberRecord, Scheduler};
use crate::names::JobName;

/// Number of jobs of a class tried in one search. Jobs of a class differ only in the upstreams
/// where they failed, so that a few are enough to get past one that has no other upstream left.
const JOBS_TRIED_PER_CLASS: usize = 4;

impl Scheduler {
    /// Places waiting jobs in queue order, as far as capacity allows.
    pub(super) fn place_waiting(&mut self, now_ms: u64) {
        if !self.pending_documents.is_empty() {
            // New work could take the accelerators that a pending guarantee needs.
            return;
        }
        for _ in 0..PLACEMENTS_PER_STEP {
            let Some(class) = self.queue.next_class() else { return };
            if !self.place_first_of(&class, now_ms) {
                self.queue.clear_retry(&class);
            }
        }
    }

    fn place_first_of(&mut self, class: &PlacementClass, now_ms: u64) -> bool {
        for job in self.queue.first_of(class, JOBS_TRIED_PER_CLASS) {
            if self.is_start_deferred(&job, now_ms) {
                continue;
            }
            let avoid = self.failed_upstreams(&job);
            if self.place(&job, class, &avoid, now_ms) {
                return true;
            }
            if avoid.is_empty() {
                return false;
            }
        }
        false
    }

    pub(super) fn failed_upstreams(&self, job: &JobName) -> SmallVec<[UpstreamIx; 3]> {
        let failed = self.jobs.get(job).map(|job| job.failed_on.iter());
        failed.into_iter().flatten().filter_map(|name| self.pool.find(name)).collect()
    }

    /// Takes or reclaims accelerators of the smallest own guaranteed block that can provide them.
    /// Larger blocks are tried later, because a larger job may need one of them as a whole.
    fn start_in_own_guarantee(
        &mut self,
        job: &JobName,
        holder: &GuaranteeHolder,
        count: u32,
        avoid: &[UpstreamIx],
        now_ms: u64,
    ) -> bool {
        for size in self.own_guarantee_sizes(holder, count) {
            if let Some((block, guarantee)) =
                self.find_free_in_own_guarantee(holder, count, size, avoid)
            {
                self.start_gang(job, &block, Some(guarantee), now_ms);
                return true;
            }
            if self.claim_from_borrowers(job, holder, (count, size), avoid, now_ms) {
                return true;
            }
        }
        false
    }

    /// Takes or reclaims accelerators of the job's own guaranteed block, or else takes free ones
    /// outside all blocks, or else borrows from other guarantees. The own block comes first even
    /// if it is lent: otherwise later work of the organisation would get a larger block than it
    /// needs.
    fn place(
        &mut self,
        job: &JobName,
        class: &PlacementClass,
        avoid: &[UpstreamIx],
        now_ms: u64,
    ) -> bool {
        let count = class.accelerators;
        if let Some(holder) = &class.guaranteed
            && self.start_in_own_guarantee(job, holder, count, avoid, now_ms)
        {
            return true;
        }
        let open = self.pool.find_block(count, CapacityView::FreeUnreserved, avoid);
        let lent = || self.pool.find_block(count, CapacityView::Lendable, avoid);
        let block = open.or_else(|| class.reclaimable.then(lent)?);
        let Some(block) = block else { return false };
        self.start_gang(job, &block, None, now_ms);
        true
    }

    /// Starts a gang for a waiting job.
    ///
    /// # Panics
    /// Panics if work that cannot be stopped would run on another guarantee's accelerators.
    pub(super) fn start_gang(
        &mut self,
        name: &JobName,
        block: &Block,
        own_guarantee: Option<GuaranteeId>,
        now_ms: u64,
    ) {
        let Some(job) = self.jobs.get_mut(name) else { return };
        let id = GangId(self.next_gang);
        self.next_gang += 1;
        self.queue.remove(&job.spec, job.accepted_ms);
        job.state = JobState::Placed(id);
        let reclaimable = job.spec.is_reclaimable();
        let lent = block.iter().any(|(ix, mask)| self.pool.upstream(*ix).reserved & mask != 0);
        assert!(
            !lent || own_guarantee.is_some() || reclaimable,
            "job {name} cannot be stopped and would run on a loan"
        );
        self.end_drain(name);
        self.pool.allocate(id, block, !reclaimable);
        let members = block.iter().map(|&(ix, mask)| self.member(ix, mask)).collect();
        let mut gang = Gang::stage(id, name.clone(), members, now_ms);
        gang.own_guarantee = own_guarantee;
        gang.reclaimable = reclaimable;
        if let Some(guarantee) =
            own_guarantee.and_then(|id| self.organisations.guarantees.get_mut(&id))
        {
            guarantee.gangs.insert(id);
        }
        self.timers.set(Timer::Gang(id), gang.deadline_ms);
        let members = gang.members.iter().map(|m| self.member_record(m.upstream, m.mask)).collect();
        self.persist(JobRecord::Placed { job: name.clone(), gang: id, members });
        for &(ix, mask) in block {
            let upstream = self.pool.upstream(ix).name.clone();
            let (job, hold_ms) = (name.clone(), STAGE_HOLD_MS);
            self.emit(Decision::Stage { gang: id, job, upstream, mask, hold_ms });
        }
        self.gangs.insert(id, gang);
    }

    fn member(&self, ix: UpstreamIx, mask: super::Mask) -> Member {
        Member {
            upstream: ix,
            incarnation: self.pool.upstream(ix).incarnation,
            mask,
            answered: false,
            ended: false,
            completed: false,
            ran: super::Ran::No,
        }
    }

    /// Returns the record of accelerators for the journal.
    pub(super) fn member_record(&self, ix: UpstreamIx, mask: super::Mask) -> MemberRecord {
        let upstream = self.pool.upstream(ix);
        MemberRecord {
            upstream: upstream.name.clone(),
            incarnation: upstream.incarnation,
            rack: self.pool.racks[upstream.rack.get()].name.clone(),
            position: upstream.position,
            accelerators: upstream.accelerators,
            mask,
        }
    }
}
