//! Protection against starvation: drains a block for a job that has waited too long.
//!
//! Jobs are placed in order of age, but a small job may start before an older large one that does
//! not fit. A large job could therefore wait forever for adjacent accelerators. After
//! `DRAIN_AFTER_MS`, a block is chosen for it and drained: work that cannot be stopped no longer
//! starts there. Work that can be stopped still starts in the block, whatever run time it declares,
//! because all of it is stopped once nothing else runs there. The number of drains is limited, and
//! so is the work that one loses.

use super::Scheduler;
use super::event::GangId;
use super::gang::{Gang, GangPhase, StopReason};
use super::limits::{
    DRAIN_AFTER_MS, DRAIN_CANDIDATES, DRAIN_LIMIT, DRAIN_MIN_RUN_MS, DRAIN_SCAN_LIMIT,
    STARVATION_REVIEW_INTERVAL_MS, UPSTREAM_BLOCK_LIMIT,
};
use super::loans::Claim;
use super::packing::RepackScope;
use super::pool::UpstreamIx;
use super::queue::PlacementClass;
use super::rack::{Block, CapacityView, aligned_masks};
use super::timers::Timer;
use crate::names::JobName;

/// Run time assumed for work that declares none.
const DEFAULT_EXPECTED_RUN_MS: u64 = 3_600_000;

/// A block that is drained for a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Drain {
    /// Accelerators that the job gets.
    pub block: Block,
    /// Time at which the drain began.
    pub since_ms: u64,
}

impl Scheduler {
    /// Schedules a review of the waiting jobs unless one is scheduled already.
    pub(super) fn schedule_starvation_review(&mut self, now_ms: u64) {
        if self.queue.len() > 0 && !self.timers.is_set(Timer::Starvation) {
            self.timers.set(Timer::Starvation, now_ms + STARVATION_REVIEW_INTERVAL_MS);
        }
    }

    pub(super) fn review_starvation(&mut self, now_ms: u64) {
        for job in self.drains.keys().cloned().collect::<Vec<_>>() {
            self.review_drain(&job, now_ms);
        }
        for (job, class) in self.starving(now_ms) {
            if self.drains.len() >= DRAIN_LIMIT {
                return;
            }
            self.start_drain(&job, &class, now_ms);
        }
    }

    /// Returns the jobs that have waited too long, oldest first.
    fn starving(&self, now_ms: u64) -> Vec<(JobName, PlacementClass)> {
        let candidates = self.queue.classes().flat_map(|(class, entries)| {
            entries.iter().take(DRAIN_LIMIT).map(move |entry| (entry, class))
        });
        let waited = |job: &JobName| {
            let since_ms = self.jobs.get(job).map_or(now_ms, |job| job.waiting_since_ms);
            now_ms >= since_ms + DRAIN_AFTER_MS
        };
        let mut candidates: Vec<_> = candidates
            .filter(|(entry, _)| waited(&entry.job) && !self.drains.contains_key(&entry.job))
            .collect();
        candidates.sort();
        let first = candidates.into_iter().take(DRAIN_CANDIDATES);
        first.map(|(entry, class)| (entry.job.clone(), class.clone())).collect()
    }

    fn start_drain(&mut self, job: &JobName, class: &PlacementClass, now_ms: u64) {
        let mut block = self.find_drain(class, now_ms);
        if block.is_none() && !class.reclaimable {
            let moved = self.repack(RepackScope::UnusedWithoutRisk, Some(class.accelerators));
            if moved.is_ok() {
                block = self.find_drain(class, now_ms);
            }
            for id in self.guarantee_ids() {
                self.update_risk(id, now_ms);
            }
        }
        let Some(block) = block else { return self.refuse_if_unrunnable(job, now_ms) };
        for &(ix, mask) in &block {
            self.pool.update(ix, |u| u.draining |= mask);
        }
        self.drains.insert(job.clone(), Drain { block, since_ms: now_ms });
        self.review_drain(job, now_ms);
    }

    /// Finds the block with the least expected wait and the fewest accelerators in use, among a
    /// bounded number of racks or upstreams; each search covers the next ones.
    fn find_drain(&mut self, class: &PlacementClass, now_ms: u64) -> Option<Block> {
        let view = if class.reclaimable { CapacityView::Layout } else { CapacityView::Unreserved };
        self.drain_search_count += 1;
        let blocks = self.drain_blocks(class.accelerators, view, self.drain_search_count);
        blocks.into_iter().min_by_key(|block| self.drain_cost(block, now_ms))
    }

    /// Returns blocks that could be drained; `search_count` determines which racks or upstreams are
    /// searched.
    fn drain_blocks(&self, count: u32, view: CapacityView, search_count: usize) -> Vec<Block> {
        let drainable = |ix: UpstreamIx| {
            let u = self.pool.upstream(ix);
            if u.is_usable() { u.available(view) & !u.draining & !u.claimed } else { 0 }
        };
        if count > UPSTREAM_BLOCK_LIMIT {
            let racks: Vec<_> = self.pool.racks_fitting(count, view).collect();
            return scan_blocks(&racks, search_count, |rack| {
                let windows =
                    self.pool.racks[rack.get()].windows(&self.pool.upstreams, count, view);
                let blocks = windows.into_iter().map(|(_, block)| block);
                blocks
                    .filter(|block| block.iter().all(|(ix, mask)| drainable(*ix) == *mask))
                    .collect()
            });
        }
        let upstreams: Vec<_> = self.pool.upstreams_fitting(count, view).collect();
        scan_blocks(&upstreams, search_count, |ix| {
            aligned_masks(drainable(ix), count).map(|mask| Block::from_iter([(ix, mask)])).collect()
        })
    }

    /// Returns how long a drain that begins now is expected to wait, and how many accelerators of
    /// the block are in use.
    fn drain_cost(&self, block: &Block, now_ms: u64) -> (u64, u32) {
        let gangs = self.gangs_in(block).into_iter().filter_map(|id| self.gangs.get(&id));
        let wait_ms = gangs.map(|gang| self.drain_wait_ms(gang, now_ms, now_ms)).max().unwrap_or(0);
        let used =
            block.iter().map(|(ix, mask)| (self.pool.upstream(*ix).used & mask).count_ones());
        (wait_ms, used.sum())
    }

    /// Returns how long a drain that began at `since_ms` is expected to wait for a gang; 0 if the
    /// gang can be stopped now. A reclaimable gang that was placed during the drain can be stopped
    /// at any time. One placed earlier is stopped only if it can write a checkpoint and has run for
    /// [`DRAIN_MIN_RUN_MS`], so that the stop costs a small share of its run.
    fn drain_wait_ms(&self, gang: &Gang, since_ms: u64, now_ms: u64) -> u64 {
        let Some(job) = self.jobs.get(&gang.job) else { return 0 };
        let started_ms = gang.started_ms.unwrap_or(now_ms);
        let ran_ms = now_ms.saturating_sub(started_ms);
        if gang.phase == GangPhase::Stopping {
            return 0;
        }
        let expected_ms = self.expected_run_ms(&job.spec).unwrap_or(DEFAULT_EXPECTED_RUN_MS);
        let remaining_ms = expected_ms.saturating_sub(ran_ms).max(1);
        if gang.own_guarantee.is_some() || !job.spec.is_reclaimable() {
            return remaining_ms;
        }
        if gang.placed_ms >= since_ms && since_ms < now_ms {
            return 0;
        }
        if !job.spec.can_checkpoint {
            return remaining_ms;
        }
        DRAIN_MIN_RUN_MS.saturating_sub(ran_ms).min(remaining_ms)
    }

    fn review_drain(&mut self, job: &JobName, now_ms: u64) {
        let Some(drain) = self.drains.get(job) else { return };
        let usable = drain.block.iter().all(|(ix, _)| self.pool.upstream(*ix).is_in_service());
        let reclaimable = self.jobs.get(job).is_some_and(|job| job.spec.is_reclaimable());
        let reserved =
            |(ix, mask): &(UpstreamIx, super::Mask)| self.pool.upstream(*ix).reserved & mask != 0;
        let is_reserved = !reclaimable && drain.block.iter().any(reserved);
        if !usable || is_reserved {
            self.end_drain(job);
            return;
        }
        let gangs = self.gangs_in(&drain.block);
        let must_wait_for = |id: &GangId| {
            self.gangs.get(id).is_some_and(|g| self.drain_wait_ms(g, drain.since_ms, now_ms) > 0)
        };
        if !gangs.iter().any(must_wait_for) {
            self.claim_drained(job, &gangs, now_ms);
        }
    }

    /// Stops the gangs that are left in a drained block and claims the block for the job.
    fn claim_drained(&mut self, name: &JobName, gangs: &[GangId], now_ms: u64) {
        let Some(drain) = self.end_drain(name) else { return };
        let Some(job) = self.jobs.get(name) else { return };
        self.queue.remove(&job.spec, job.accepted_ms);
        for &(ix, mask) in &drain.block {
            self.pool.update(ix, |u| {
                u.draining |= mask;
                u.drained |= mask;
            });
        }
        self.claims.insert(name.clone(), Claim { guarantee: None, block: drain.block });
        for gang in gangs {
            self.reclaim(*gang, StopReason::Drained(name.clone()), now_ms);
        }
    }

    /// Ends a drain and returns it; its block is no longer held for the job.
    pub(super) fn end_drain(&mut self, job: &JobName) -> Option<Drain> {
        let drain = self.drains.remove(job)?;
        for &(ix, mask) in &drain.block {
            self.pool.update(ix, |u| u.draining &= !mask);
        }
        self.queue.retry_all();
        Some(drain)
    }
}

/// Collects blocks from [`DRAIN_SCAN_LIMIT`] racks or upstreams, and from further ones until one is
/// found. The first of them moves on with each search, so that all are covered in turn.
fn scan_blocks<T: Copy>(
    racks_or_upstreams: &[T],
    search_count: usize,
    blocks: impl Fn(T) -> Vec<Block>,
) -> Vec<Block> {
    let mut found = Vec::new();
    for i in 0..racks_or_upstreams.len() {
        if i >= DRAIN_SCAN_LIMIT && !found.is_empty() {
            break;
        }
        let next = (i + search_count * DRAIN_SCAN_LIMIT) % racks_or_upstreams.len();
        found.extend(blocks(racks_or_upstreams[next]));
    }
    found
}
