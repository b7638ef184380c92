//! Repacking of the guaranteed blocks when one of them or a waiting job does not fit.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use super::Scheduler;
use super::organisation::{Guarantee, GuaranteeId, Organisations};
use super::rack::Block;

/// Identity under which accelerators are reserved for a waiting job during a repack.
const JOB_RESERVATION_ID: GuaranteeId = GuaranteeId(u32::MAX);

/// Blocks that a repack may move, and where to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepackScope {
    /// Blocks without running guaranteed work, also to accelerators whose work has to end first.
    Unused,
    /// Blocks without running guaranteed work, only to accelerators that can be reclaimed at once,
    /// so that no guarantee is put at risk.
    UnusedWithoutRisk,
    /// All blocks, to check whether their sizes fit the pool regardless of running work.
    All,
}

impl Scheduler {
    /// Moves the blocks in scope, largest first, and returns a block of `job_size` beside them.
    ///
    /// # Errors
    /// Returns which block does not fit; nothing has changed then.
    pub(super) fn repack(
        &mut self,
        scope: RepackScope,
        job_size: Option<u32>,
    ) -> Result<Option<Block>, String> {
        let before = self.organisations.clone();
        let records_before = self.pending_records.len();
        let packed = self.try_repack(scope, job_size);
        if packed.is_err() {
            self.restore(before);
            self.pending_records.truncate(records_before);
        }
        packed
    }

    /// Returns whether `count` accelerators fit beside all guaranteed blocks, regardless of running
    /// work.
    pub(super) fn fits_beside_guarantees(&mut self, count: u32) -> bool {
        let before = self.organisations.clone();
        let records_before = self.pending_records.len();
        let fits = self.try_repack(RepackScope::All, Some(count)).is_ok();
        self.restore(before);
        self.pending_records.truncate(records_before);
        fits
    }

    fn try_repack(
        &mut self,
        scope: RepackScope,
        job_size: Option<u32>,
    ) -> Result<Option<Block>, String> {
        let guarantees = self.organisations.guarantees.iter();
        let movable = guarantees
            .filter(|(_, guarantee)| scope == RepackScope::All || guarantee.gangs.is_empty());
        let movable: Vec<GuaranteeId> = movable.map(|(id, _)| *id).collect();
        for id in &movable {
            self.set_reservation(*id, &Block::new());
        }
        let larger =
            |guarantee: &Guarantee| job_size.is_none_or(|size| guarantee.accelerators > size);
        let (first, rest): (Vec<_>, Vec<_>) =
            movable.into_iter().partition(|id| larger(&self.organisations.guarantees[id]));
        self.reserve_guarantees(first, scope)?;
        let job_block = self.reserve_for_job(job_size)?;
        let placed = self.reserve_guarantees(rest, scope);
        for &(ix, _) in job_block.iter().flatten() {
            let mask = self.pool.upstream(ix).whole_mask();
            self.pool.update(ix, |u| u.unreserve_within(JOB_RESERVATION_ID, mask));
        }
        placed.map(|()| job_block)
    }

    fn reserve_for_job(&mut self, job_size: Option<u32>) -> Result<Option<Block>, String> {
        let Some(count) = job_size else { return Ok(None) };
        let Some((_, block)) = self.find_reservation(count) else {
            return Err(format!("{count} adjacent accelerators do not fit beside the guarantees"));
        };
        for &(ix, mask) in &block {
            self.pool.update(ix, |u| u.reserve(JOB_RESERVATION_ID, mask));
        }
        Ok(Some(block))
    }

    /// Reserves accelerators for blocks, largest first.
    ///
    /// # Errors
    /// Returns which block does not fit.
    pub(super) fn reserve_guarantees(
        &mut self,
        mut guarantees: Vec<GuaranteeId>,
        scope: RepackScope,
    ) -> Result<(), String> {
        guarantees.sort_by_key(|id| (Reverse(self.organisations.guarantees[id].accelerators), *id));
        for id in guarantees {
            let guarantee = &self.organisations.guarantees[&id];
            let reservation = self.find_reservation(guarantee.accelerators);
            let reservation = reservation
                .filter(|(cost, _)| scope != RepackScope::UnusedWithoutRisk || cost.0 == 0);
            let Some((_, reservation)) = reservation else {
                return Err(format!(
                    "the guaranteed block of {} accelerators of {} does not fit the pool together \
                     with the other guarantees",
                    guarantee.accelerators, guarantee.holder.organisation
                ));
            };
            self.set_reservation(id, &reservation);
        }
        Ok(())
    }

    /// Restores the blocks and reservations of an earlier state.
    pub(super) fn restore(&mut self, before: Organisations) {
        for (id, guarantee) in std::mem::take(&mut self.organisations).guarantees {
            self.clear_reservation(id, &guarantee.reservation);
            self.clear_own_guarantee(&guarantee.gangs);
        }
        self.release_job_reservation();
        self.organisations = before;
        for id in self.guarantee_ids() {
            let guarantee = &self.organisations.guarantees[&id];
            let (reservation, at_risk) = (guarantee.reservation.clone(), guarantee.risk.is_some());
            for &(ix, mask) in &reservation {
                self.pool.update(ix, |u| {
                    u.reserve(id, mask);
                    u.set_withheld(mask, at_risk);
                });
            }
            self.attach_gangs(id);
        }
    }

    /// Releases the accelerators that a failed repack has left reserved for a job.
    fn release_job_reservation(&mut self) {
        let holds = |u: &super::pool::Upstream| {
            u.guarantees.iter().any(|(id, _)| *id == JOB_RESERVATION_ID)
        };
        let upstreams = self.pool.upstreams.iter().enumerate();
        let left: BTreeSet<usize> = upstreams.filter(|(_, u)| holds(u)).map(|(i, _)| i).collect();
        for i in left {
            let ix = super::pool::UpstreamIx(u32::try_from(i).unwrap_or(u32::MAX));
            let mask = self.pool.upstream(ix).whole_mask();
            self.pool.update(ix, |u| u.unreserve_within(JOB_RESERVATION_ID, mask));
        }
    }
}
