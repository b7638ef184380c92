//! What the shell remembers of jobs besides the core: submissions and waiting times.

use std::collections::BTreeMap;

use super::metrics::JobsMetrics;
use super::record::StoredRecord;
use super::submission::Submission;
use crate::names::JobName;
use crate::scheduler::{GangId, JobRecord, JobSpec, Scheduler};
use crate::upstream_http::GangWork;

/// Least number of jobs at which forgotten ones are looked for.
const PRUNE_MIN: usize = 1_024;

/// A job that was accepted.
#[derive(Debug)]
pub(super) struct Entry {
    /// The submission as sent; absent if the record was written without one.
    pub(super) submission: Option<Submission>,
    pub(super) spec: JobSpec,
    pub(super) accepted_ms: u64,
    pub(super) cancelled: bool,
    waiting_since_ms: u64,
}

/// Accepted jobs and the gangs that hold accelerators.
#[derive(Debug, Default)]
pub(super) struct Book {
    jobs: BTreeMap<JobName, Entry>,
    gangs: BTreeMap<GangId, JobName>,
    prune_at: usize,
}

impl Book {
    pub(super) fn get(&self, job: &JobName) -> Option<&Entry> {
        self.jobs.get(job)
    }

    /// Returns what the upstreams run for a job.
    pub(super) fn work(&self, job: &JobName) -> GangWork {
        let submission = self.jobs.get(job).and_then(|entry| entry.submission.as_ref());
        submission.map_or_else(GangWork::default, Submission::work)
    }

    /// Applies a record from the journal or of a step.
    pub(super) fn apply(&mut self, stored: &StoredRecord, now_ms: u64) {
        match &stored.record {
            JobRecord::Accepted { spec, at_ms } => {
                let entry = Entry {
                    submission: stored.submission.clone(),
                    spec: spec.clone(),
                    accepted_ms: *at_ms,
                    cancelled: false,
                    waiting_since_ms: *at_ms,
                };
                self.jobs.insert(spec.name.clone(), entry);
            }
            JobRecord::Cancelled { job } => {
                if let Some(entry) = self.jobs.get_mut(job) {
                    entry.cancelled = true;
                }
            }
            JobRecord::Placed { job, gang, .. } => {
                self.gangs.insert(*gang, job.clone());
            }
            JobRecord::Released { gang } => {
                let job = self.gangs.remove(gang);
                if let Some(entry) = job.and_then(|job| self.jobs.get_mut(&job)) {
                    entry.waiting_since_ms = now_ms;
                }
            }
            JobRecord::Committed { .. }
            | JobRecord::Ended { .. }
            | JobRecord::Home { .. }
            | JobRecord::Organisations(_)
            | JobRecord::History { .. }
            | JobRecord::NextGang(_)
            | JobRecord::Guarantees(_) => {}
        }
    }

    /// Counts what a record of a step, already applied, shows.
    pub(super) fn count(&self, record: &JobRecord, metrics: &JobsMetrics, now_ms: u64) {
        match record {
            JobRecord::Committed { gang } => {
                let job = self.gangs.get(gang).and_then(|job| self.jobs.get(job));
                if let Some(entry) = job {
                    let waited_ms = now_ms.saturating_sub(entry.waiting_since_ms);
                    metrics.job_started(&entry.spec, waited_ms);
                }
            }
            JobRecord::Ended { job, end } => {
                if let Some(entry) = self.jobs.get(job) {
                    metrics.job_ended(&entry.spec, end);
                }
            }
            _ => {}
        }
    }

    /// Drops jobs that the core has forgotten, at a cost proportional to the jobs added.
    pub(super) fn prune(&mut self, scheduler: &Scheduler) {
        if self.jobs.len() >= self.prune_at.max(PRUNE_MIN) {
            self.jobs.retain(|job, _| scheduler.job(job).is_some());
            self.prune_at = self.jobs.len() * 2;
        }
    }
}
