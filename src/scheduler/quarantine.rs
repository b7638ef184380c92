//! Quarantine of upstreams on which several jobs failed, and their release by probes.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::event::GangId;
use super::limits::{
    PROBE_INTERVAL_MAX_MS, PROBE_INTERVAL_MS, QUARANTINE_FAILED_JOBS, QUARANTINE_SHARE_DIVISOR,
    REFUSAL_PAUSE_MS,
};
use super::pool::UpstreamIx;
use super::timers::Timer;
use super::{Decision, Scheduler};
use crate::names::{JobName, UpstreamName};

/// Failures of one upstream since the last work that it completed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FailureRecord {
    /// Different jobs that failed.
    pub jobs: SmallVec<[JobName; 3]>,
    /// Time between probes, while the upstream is in quarantine.
    pub probe_interval_ms: Option<u64>,
    /// Whether a probe ended the quarantine and no work has completed since, so that one failure
    /// starts it again.
    pub on_probation: bool,
}

/// Upstreams with failures.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Failures by upstream.
    pub records: BTreeMap<UpstreamIx, FailureRecord>,
    /// Number of upstreams in quarantine.
    pub count: usize,
}

impl Scheduler {
    /// Keeps new work away from an upstream that refused a stage message.
    pub(super) fn pause_upstream(&mut self, ix: UpstreamIx, now_ms: u64) {
        if !self.is_quarantined(ix) {
            self.pool.update(ix, |u| u.suspended = true);
            self.timers.set(Timer::Resume(ix), now_ms + REFUSAL_PAUSE_MS);
        }
    }

    pub(super) fn is_quarantined(&self, ix: UpstreamIx) -> bool {
        let record = self.quarantine.records.get(&ix);
        record.is_some_and(|record| record.probe_interval_ms.is_some())
    }

    /// Ends the pause of an upstream, or sends a probe to one in quarantine.
    pub(super) fn on_resume_due(&mut self, ix: UpstreamIx, now_ms: u64) {
        let Some(record) = self.quarantine.records.get_mut(&ix) else {
            return self.resume_upstream(ix);
        };
        let Some(interval_ms) = record.probe_interval_ms else { return self.resume_upstream(ix) };
        record.probe_interval_ms = Some((interval_ms * 2).min(PROBE_INTERVAL_MAX_MS));
        self.timers.set(Timer::Resume(ix), now_ms + interval_ms);
        if self.pool.upstream(ix).live {
            let upstream = self.pool.upstream(ix).name.clone();
            self.emit(Decision::Probe { upstream });
        }
    }

    fn resume_upstream(&mut self, ix: UpstreamIx) {
        self.pool.update(ix, |u| u.suspended = false);
        self.queue.retry_all();
    }

    /// Releases an upstream whose probe succeeded; one failure is enough for a new quarantine.
    pub(super) fn on_probe_answered(&mut self, upstream: &UpstreamName, healthy: bool) {
        let Some(ix) = self.pool.find(upstream) else { return };
        if !healthy || !self.is_quarantined(ix) {
            return;
        }
        if let Some(record) = self.quarantine.records.get_mut(&ix) {
            record.on_probation = true;
        }
        self.end_quarantine(ix);
        self.resume_upstream(ix);
    }

    fn end_quarantine(&mut self, ix: UpstreamIx) {
        if let Some(record) = self.quarantine.records.get_mut(&ix)
            && record.probe_interval_ms.take().is_some()
        {
            self.quarantine.count -= 1;
        }
        self.timers.clear(Timer::Resume(ix));
    }

    /// Records the failure of a member for its job and its upstream.
    pub(super) fn record_member_failure(&mut self, id: GangId, ix: UpstreamIx, now_ms: u64) {
        let Some(gang) = self.gangs.get(&id) else { return };
        let name = gang.job.clone();
        let upstream = self.pool.upstream(ix).name.clone();
        if let Some(job) = self.jobs.get_mut(&name) {
            job.record_failure(&upstream);
        }
        let record = self.quarantine.records.entry(ix).or_default();
        if !record.jobs.contains(&name) {
            record.jobs.push(name);
        }
        if record.jobs.len() >= QUARANTINE_FAILED_JOBS || record.on_probation {
            self.start_quarantine(ix, now_ms);
        }
        self.pause_upstream(ix, now_ms);
    }

    /// Puts an upstream in quarantine and removes its failures from the jobs, unless too much of
    /// the pool would be in quarantine.
    fn start_quarantine(&mut self, ix: UpstreamIx, now_ms: u64) {
        let limit = self.pool.live_count() / QUARANTINE_SHARE_DIVISOR;
        if self.quarantine.count >= limit || self.is_quarantined(ix) {
            return;
        }
        let upstream = self.pool.upstream(ix).name.clone();
        let Some(record) = self.quarantine.records.get_mut(&ix) else { return };
        record.on_probation = false;
        record.probe_interval_ms = Some(PROBE_INTERVAL_MS);
        for name in std::mem::take(&mut record.jobs) {
            if let Some(job) = self.jobs.get_mut(&name) {
                job.failed_on.retain(|failed| *failed != upstream);
            }
        }
        self.quarantine.count += 1;
        self.pool.update(ix, |u| u.suspended = true);
        self.timers.set(Timer::Resume(ix), now_ms + PROBE_INTERVAL_MS);
    }

    /// Clears the failures of an upstream that completed work.
    pub(super) fn record_member_success(&mut self, ix: UpstreamIx) {
        if !self.is_quarantined(ix) {
            self.quarantine.records.remove(&ix);
        }
    }

    /// Clears the failures of an upstream that restarted or was removed from the layout.
    pub(super) fn clear_failures(&mut self, ix: UpstreamIx) {
        self.end_quarantine(ix);
        self.quarantine.records.remove(&ix);
        self.resume_upstream(ix);
    }
}
