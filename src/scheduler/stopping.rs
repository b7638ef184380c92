//! The end of gangs: stop messages, release of accelerators, and end or requeuing of the job.

use super::event::{GangId, StopStatus};
use super::gang::{Gang, GangPhase, StopReason};
use super::job::{Job, JobEnd, JobState, Ran};
use super::limits::{ENDED_JOBS_LIMIT, POOL_DISCOVERY_MS};
use super::rack::CapacityView;
use super::timers::Timer;
use super::{Decision, JobRecord, Scheduler};
use crate::names::{JobName, UpstreamName};

impl Scheduler {
    /// Stops a gang; its accelerators are free once every member has certainly ended.
    pub(super) fn stop_gang(&mut self, id: GangId, reason: StopReason, now_ms: u64) {
        let Some(gang) = self.gangs.get_mut(&id) else { return };
        if gang.phase != GangPhase::Stopping {
            gang.begin_stop(reason, now_ms);
            for member in &gang.members {
                self.pool.mark_reclaimable(member.upstream, member.mask);
            }
            self.send_stops(id, now_ms);
        }
        self.finish_if_ended(id, now_ms);
    }

    /// Sends a stop message to each member that may still be staged or working.
    pub(super) fn send_stops(&mut self, id: GangId, now_ms: u64) {
        let Some(gang) = self.gangs.get_mut(&id) else { return };
        gang.schedule_stop_repeat(now_ms);
        self.timers.set(Timer::Gang(id), gang.deadline_ms);
        let remaining = gang.members.iter().filter(|m| !m.ended).map(|m| m.upstream);
        for ix in remaining.collect::<Vec<_>>() {
            let upstream = self.pool.upstream(ix).name.clone();
            self.emit(Decision::Stop { gang: id, upstream });
        }
    }

    pub(super) fn on_stop_answered(
        &mut self,
        id: GangId,
        upstream: &UpstreamName,
        status: StopStatus,
        now_ms: u64,
    ) {
        let Some((gang, ix)) = self.member_gang(id, upstream) else { return };
        if gang.phase != GangPhase::Stopping {
            return;
        }
        let Some(member) = gang.member_mut(ix) else { return };
        if member.ended {
            return;
        }
        member.ended = true;
        member.completed = status == StopStatus::Completed;
        if status != StopStatus::NotStarted {
            member.ran = Ran::Yes;
        } else if member.ran == Ran::Unknown {
            member.ran = Ran::No;
        }
        self.finish_if_ended(id, now_ms);
    }

    pub(super) fn finish_if_ended(&mut self, id: GangId, now_ms: u64) {
        if self.gangs.get(&id).is_some_and(Gang::all_ended) {
            self.finish_gang(id, now_ms);
        }
    }

    /// Releases the accelerators of a gang that has certainly ended and ends or requeues its job.
    ///
    /// # Panics
    /// Panics if a member may still work, because its accelerators would be allocated twice.
    pub(super) fn finish_gang(&mut self, id: GangId, now_ms: u64) {
        let Some(gang) = self.gangs.remove(&id) else { return };
        assert!(
            gang.all_ended() || now_ms >= gang.certain_end_ms,
            "gang {id} would be released while a member may work"
        );
        self.timers.clear(Timer::Gang(id));
        self.timers.clear(Timer::Reclaim(id));
        if let Some(guarantee) =
            gang.own_guarantee.and_then(|id| self.organisations.guarantees.get_mut(&id))
        {
            guarantee.gangs.remove(&id);
        }
        self.keep_unanswered_runs(&gang, now_ms);
        for member in &gang.members {
            self.pool.release(id, member.upstream, member.mask);
        }
        if gang.all_completed() {
            self.learn_from_gang(&gang, now_ms);
        }
        self.persist(JobRecord::Released { gang: id });
        self.queue.retry_all();
        self.end_or_requeue_job(&gang, now_ms);
    }

    fn end_or_requeue_job(&mut self, gang: &Gang, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(&gang.job) else { return };
        // A job cancelled before its commit has ended already.
        if job.state != JobState::Placed(gang.id) {
            return;
        }
        job.ran = job.ran.max(gang.ran());
        job.last_stop.clone_from(&gang.stop_reason);
        let end = if gang.all_completed() {
            Some(JobEnd::Completed)
        } else if job.cancelled {
            Some(JobEnd::Cancelled { ran: job.ran })
        } else {
            job.failure_limit_end().or_else(|| self.crash_limit_end(&gang.job, now_ms))
        };
        if let Some(end) = end.or_else(|| self.failed_everywhere_end(&gang.job, now_ms)) {
            return self.end_job(&gang.job, end);
        }
        let Some(job) = self.jobs.get_mut(&gang.job) else { return };
        job.state = JobState::Waiting;
        job.waiting_since_ms = now_ms;
        self.queue.push(&job.spec, job.accepted_ms);
        self.refuse_if_unrunnable(&gang.job, now_ms);
    }

    /// Ends the waiting jobs that have failed wherever they fit, which could not be decided before
    /// the upstreams had time to announce themselves.
    pub(super) fn end_jobs_failed_everywhere(&mut self, now_ms: u64) {
        let failed = |job: &Job| job.state == JobState::Waiting && !job.failed_on.is_empty();
        let failed = self.jobs.iter().filter(|(_, job)| failed(job));
        for name in failed.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            if let Some(end) = self.failed_everywhere_end(&name, now_ms) {
                self.end_waiting(&name, |_| end);
            }
        }
    }

    /// Returns the end of a job that would wait forever, because no block of its size avoids the
    /// upstreams where it failed. Lost upstreams count as part of the layout.
    fn failed_everywhere_end(&self, name: &JobName, now_ms: u64) -> Option<JobEnd> {
        let failed = self.failed_upstreams(name);
        if failed.is_empty() || now_ms < self.started_ms + POOL_DISCOVERY_MS {
            return None;
        }
        let accelerators = self.jobs.get(name)?.spec.accelerators;
        let none_left = self.pool.find_block(accelerators, CapacityView::Layout, &failed).is_none();
        let count = failed.len();
        none_left.then(|| JobEnd::Failed {
            reason: format!("no block of its size avoids the upstreams where it failed: {count}"),
        })
    }

    /// Ends a job and reports it once.
    ///
    /// # Panics
    /// Panics if the job has ended already, because the caller would get two answers.
    pub(super) fn end_job(&mut self, name: &JobName, end: JobEnd) {
        let Some(job) = self.jobs.get_mut(name) else { return };
        assert!(!matches!(job.state, JobState::Ended(_)), "job {name} would end twice");
        job.state = JobState::Ended(end.clone());
        self.persist(JobRecord::Ended { job: name.clone(), end: end.clone() });
        self.emit(Decision::JobEnded { job: name.clone(), end });
        self.remember_ended(name.clone());
    }

    /// Keeps the latest ended jobs for queries and drops older ones.
    pub(super) fn remember_ended(&mut self, name: JobName) {
        self.ended_jobs.push_back(name);
        if self.ended_jobs.len() > ENDED_JOBS_LIMIT
            && let Some(oldest) = self.ended_jobs.pop_front()
        {
            self.jobs.remove(&oldest);
        }
    }
}
