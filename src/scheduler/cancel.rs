//! Submissions and cancellations.

use super::gang::{GangPhase, StopReason};
use super::job::{Job, JobEnd, JobSpec, JobState, Ran};
use super::limits::POOL_DISCOVERY_MS;
use super::queue::PlacementClass;
use super::rack::CapacityView;
use super::{Decision, JobRecord, Scheduler};
use crate::names::JobName;

impl Scheduler {
    pub(super) fn on_submitted(&mut self, spec: JobSpec, now_ms: u64) {
        let name = spec.name.clone();
        match self.refusal_reason(&spec, now_ms) {
            Some(reason) => self.emit(Decision::JobRefused { job: name, reason }),
            None if self.jobs.contains_key(&name) => {
                self.emit(Decision::JobAccepted { job: name });
            }
            None => {
                self.persist(JobRecord::Accepted { spec: spec.clone(), at_ms: now_ms });
                self.emit(Decision::JobAccepted { job: name.clone() });
                self.queue.push(&spec, now_ms);
                self.jobs.insert(name, Job::accept(spec, now_ms));
            }
        }
    }

    /// Returns why a submission is refused. A repeated submission is not checked again, because
    /// its first answer stays valid.
    fn refusal_reason(&mut self, spec: &JobSpec, now_ms: u64) -> Option<String> {
        match self.jobs.get(&spec.name) {
            Some(job) if job.spec == *spec => None,
            Some(_) => Some("another job has this name".to_owned()),
            None => spec
                .invalid_reason()
                .or_else(|| self.unrunnable_reason(&PlacementClass::of(spec), now_ms)),
        }
    }

    /// Returns why a class of jobs could not run at any load, or `None` if it could.
    pub(super) fn unrunnable_reason(
        &mut self,
        class: &PlacementClass,
        now_ms: u64,
    ) -> Option<String> {
        if now_ms < self.started_ms + POOL_DISCOVERY_MS {
            return None;
        }
        let (n, largest) = (class.accelerators, self.pool.largest_block(CapacityView::Layout));
        if n > largest {
            return Some(format!(
                "no rack has {n} adjacent accelerators; the largest block has {largest}"
            ));
        }
        let holder = class.guaranteed.as_ref();
        let own = holder.is_some_and(|holder| self.organisations.has_guarantee_for(holder, n));
        let unreserved = self.pool.largest_block(CapacityView::Unreserved);
        if own || class.reclaimable || n <= unreserved || !self.pool.is_complete() {
            return None;
        }
        (!self.fits_beside_guarantees(n)).then(|| {
            format!(
                "a job that can be neither checkpointed nor stopped cannot run on a loan, and \
                 {n} adjacent accelerators do not fit beside the guaranteed blocks"
            )
        })
    }

    /// Ends the waiting jobs that can no longer run.
    pub(super) fn refuse_unrunnable(&mut self, now_ms: u64) {
        let classes: Vec<_> = self.queue.classes().map(|(class, _)| class.clone()).collect();
        for class in classes {
            let Some(reason) = self.unrunnable_reason(&class, now_ms) else { continue };
            for job in self.queue.first_of(&class, usize::MAX) {
                self.end_waiting(&job, |ran| JobEnd::Unrunnable { reason: reason.clone(), ran });
            }
        }
    }

    pub(super) fn refuse_if_unrunnable(&mut self, name: &JobName, now_ms: u64) {
        let Some(job) = self.jobs.get(name) else { return };
        let class = PlacementClass::of(&job.spec);
        if let Some(reason) = self.unrunnable_reason(&class, now_ms) {
            self.end_waiting(name, |ran| JobEnd::Unrunnable { reason, ran });
        }
    }

    /// Ends a job that waits.
    pub(super) fn end_waiting(&mut self, name: &JobName, end: impl FnOnce(Ran) -> JobEnd) {
        let Some(job) = self.jobs.get(name) else { return };
        let end = end(job.ran);
        if self.queue.remove(&job.spec, job.accepted_ms) || self.drop_claim(name) {
            self.end_drain(name);
            self.end_job(name, end);
        }
    }

    /// Ends a cancelled job that waits.
    pub(super) fn end_cancelled(&mut self, name: &JobName) {
        self.end_waiting(name, |ran| JobEnd::Cancelled { ran });
    }

    pub(super) fn on_cancelled(&mut self, name: &JobName, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(name) else { return };
        if job.cancelled || matches!(job.state, JobState::Ended(_)) {
            return;
        }
        job.cancelled = true;
        let state = job.state.clone();
        self.persist(JobRecord::Cancelled { job: name.clone() });
        match state {
            JobState::Waiting => self.end_cancelled(name),
            JobState::Placed(id) => self.cancel_gang(name, id, now_ms),
            JobState::Ended(_) => {}
        }
    }

    /// Stops the gang of a cancelled job. Without a commit the job ends at once, because a staged
    /// member does no work; otherwise it ends once every member has ended.
    fn cancel_gang(&mut self, name: &JobName, id: super::GangId, now_ms: u64) {
        let Some(gang) = self.gangs.get(&id) else { return };
        let uncommitted = gang.committed_ms.is_none() && gang.phase != GangPhase::Confirming;
        if uncommitted {
            let ran = self.jobs.get(name).map_or(Ran::Unknown, |job| job.ran);
            self.end_job(name, JobEnd::Cancelled { ran });
        }
        self.stop_gang(id, StopReason::Cancelled, now_ms);
    }
}
