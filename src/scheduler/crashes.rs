//! Jobs under which upstreams crash or are lost.
//!
//! Such a job is placed again, and may take the next upstream down. A job whose fault is proved ends;
//! while the latest crash may still turn out to be part of an outage, it waits.

use super::gang::{Gang, Member};
use super::job::{Job, JobEnd, JobState, Ran};
use super::limits::ANNOUNCEMENT_LEASE_MS;
use super::pool::UpstreamIx;
use super::timers::Timer;
use super::{JobRecord, Scheduler};
use crate::crashes::{
    CrashHistory, CrashedRun, LostUpstream, OUTAGE_SPREAD_MS, Subject, Verdict, verdict,
};
use crate::names::JobName;

/// Crashes of upstreams under jobs that have not ended.
pub type JobCrashes = CrashHistory<JobName, JobName>;

/// Time after a gang's end within which the loss of an upstream that did not answer is noticed.
const UNANSWERED_KEPT_MS: u64 = 2 * ANNOUNCEMENT_LEASE_MS;

/// A run of a gang that has ended, whose upstream did not answer and may have crashed.
#[derive(Debug)]
pub struct UnansweredRun {
    upstream: UpstreamIx,
    incarnation: u64,
    run: CrashedRun<JobName>,
    ended_ms: u64,
}

impl Subject for JobName {
    type Job = Self;

    fn job(&self) -> &Self {
        self
    }
}

impl Scheduler {
    /// Records that an incarnation of an upstream was lost or has restarted, for the jobs that worked
    /// there. It is recorded without any, too: then no job explains it, as in an outage.
    ///
    /// An upstream that is leaving does not crash.
    pub(super) fn record_crash(&mut self, ix: UpstreamIx, incarnation: u64, now_ms: u64) {
        let upstream = self.pool.upstream(ix);
        if upstream.leaving >= Some(incarnation) {
            return;
        }
        let gangs = upstream.gangs.iter().filter_map(|(id, _)| self.gangs.get(id));
        let at_work = gangs.filter_map(|gang| {
            let member = gang.members.iter().find(|member| member.upstream == ix)?;
            (member.incarnation <= incarnation).then(|| possibly_crashed(gang, member, now_ms))?
        });
        let ended = self.unanswered.iter().filter(|unanswered| {
            unanswered.upstream == ix && unanswered.incarnation <= incarnation
        });
        let runs: Vec<_> = at_work.chain(ended.map(|unanswered| unanswered.run.clone())).collect();
        let lost = LostUpstream {
            name: upstream.name.as_str().into(),
            incarnation,
            address: upstream.name.as_str().into(),
            heard_ms: now_ms,
        };
        if self.apply_crash(lost.clone(), &runs, now_ms) {
            self.persist(JobRecord::Crashed { upstream: lost, runs, at_ms: now_ms });
            self.schedule_crash_review(now_ms);
        }
    }

    /// Keeps the runs of a gang that ends although upstreams of it have not answered.
    pub(super) fn keep_unanswered_runs(&mut self, gang: &Gang, now_ms: u64) {
        self.unanswered.retain(|run| now_ms - run.ended_ms <= UNANSWERED_KEPT_MS);
        let unanswered = gang.members.iter().filter_map(|member| {
            let run = possibly_crashed(gang, member, now_ms)?;
            let (upstream, incarnation) = (member.upstream, member.incarnation);
            Some(UnansweredRun { upstream, incarnation, run, ended_ms: now_ms })
        });
        self.unanswered.extend(unanswered);
    }

    /// Adds a crash to what is known of the jobs; returns false if it is known.
    pub(super) fn apply_crash(
        &mut self,
        upstream: LostUpstream,
        runs: &[CrashedRun<JobName>],
        at_ms: u64,
    ) -> bool {
        let jobs = &self.jobs;
        self.crashes.record(upstream, runs, at_ms, |job| jobs.get(job).is_some_and(is_active))
    }

    /// Sets the time at which the latest crash can no longer turn out to be part of an outage.
    pub(super) fn schedule_crash_review(&mut self, now_ms: u64) {
        if !self.crashes.is_empty() {
            self.timers.set(Timer::Crashes, now_ms + OUTAGE_SPREAD_MS + 1);
        }
    }

    /// Ends waiting jobs whose fault is proved by now, and lets the others start.
    pub(super) fn review_crashes(&mut self, now_ms: u64) {
        let jobs = &self.jobs;
        self.crashes.retain(|job| jobs.get(job).is_some_and(is_active));
        let waiting = |job: &&JobName| self.jobs[*job].state == JobState::Waiting;
        let names: Vec<_> =
            self.crashes.subjects().map(|(job, _)| job).filter(waiting).cloned().collect();
        for name in names {
            if let Some(end) = self.crash_limit_end(&name, now_ms) {
                self.end_waiting(&name, |_| end);
            }
        }
        self.queue.retry_all();
    }

    /// Returns whether a waiting job must not start, at least for now.
    pub(super) fn is_start_deferred(&self, job: &JobName, now_ms: u64) -> bool {
        self.crash_verdict(job, now_ms) >= Verdict::Undecided
    }

    /// Returns the end of a job that is given up because upstreams crash under it.
    pub(super) fn crash_limit_end(&self, job: &JobName, now_ms: u64) -> Option<JobEnd> {
        let crashes = self.crashes.of(job).len();
        (self.crash_verdict(job, now_ms) == Verdict::GivenUp).then(|| JobEnd::Failed {
            reason: format!("{crashes} of its runs ended with a crash of their upstream"),
        })
    }

    fn crash_verdict(&self, job: &JobName, now_ms: u64) -> Verdict {
        verdict(self.crashes.of(job), self.pool.live_count(), now_ms)
    }
}

fn is_active(job: &Job) -> bool {
    !matches!(job.state, JobState::Ended(_))
}

/// Returns the run of a member that has not certainly ended, if it may have begun.
fn possibly_crashed(gang: &Gang, member: &Member, now_ms: u64) -> Option<CrashedRun<JobName>> {
    let may_run = gang.committed_ms.is_some() && !member.ended;
    may_run.then(|| CrashedRun {
        subject: gang.job.clone(),
        run: gang.id.0,
        seen_alive_ms: (member.ran == Ran::Yes).then(|| seen_alive_ms(gang, now_ms)),
    })
}

/// Returns for how long a gang is known to have worked before a crash that was noticed now.
fn seen_alive_ms(gang: &Gang, now_ms: u64) -> u64 {
    let since_ms = gang.started_ms.or(gang.committed_ms).unwrap_or(now_ms);
    now_ms.saturating_sub(since_ms).saturating_sub(ANNOUNCEMENT_LEASE_MS)
}
