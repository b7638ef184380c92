//! Job data kept outside the scheduling core: submissions, ends and waiting times.

use std::collections::BTreeMap;

use super::metrics::JobsMetrics;
use super::record::StoredRecord;
use super::submission::Submission;
use crate::control::clock::DAY_MS;
use crate::control::records::key_date;
use crate::names::JobName;
use crate::outcome::{NotRun, NotRunCause};
use crate::scheduler::{GangId, JobEnd, JobRecord, JobSpec, Scheduler};
use crate::upstream_http::GangWork;

/// Time for which an ended job is kept, from midnight of the date in its name. New submissions are
/// refused after 7 days; the eighth day covers a clock that is set back between two starts.
const RETENTION_MS: u64 = 8 * DAY_MS;

/// Minimum number of new jobs between two prunings.
const MIN_PRUNE_INTERVAL_JOBS: usize = 1_024;

/// Maximum number of jobs kept. A job is kept for at most 9 days, so this allows 7,000 jobs a day
/// in one data centre, ten times the mean of 15,000 a day in 22 data centres.
pub(super) const MAX_JOBS: usize = 65_536;

/// A job that was accepted.
#[derive(Debug)]
pub(super) struct Entry {
    /// The submission as sent; absent if the record was written without one.
    pub(super) submission: Option<Submission>,
    pub(super) spec: JobSpec,
    pub(super) accepted_ms: u64,
    pub(super) cancelled: bool,
    /// Whether the job was refused at once, because it may not wait.
    pub(super) refused: bool,
    /// How the job ended; kept here because the core keeps only a limited number of ended jobs.
    pub(super) end: Option<JobEnd>,
    waiting_since_ms: u64,
}

/// Accepted jobs and the gangs that hold accelerators.
#[derive(Debug, Default)]
pub(super) struct JobTable {
    jobs: BTreeMap<JobName, Entry>,
    gangs: BTreeMap<GangId, JobName>,
    prune_at: usize,
}

impl JobTable {
    pub(super) fn get(&self, job: &JobName) -> Option<&Entry> {
        self.jobs.get(job)
    }

    /// Returns the work that upstreams run for a job.
    pub(super) fn work(&self, job: &JobName) -> GangWork {
        let submission = self.jobs.get(job).and_then(|entry| entry.submission.as_ref());
        submission.map_or_else(GangWork::default, Submission::work)
    }

    /// Applies a record, either from the journal or from a step.
    pub(super) fn apply(&mut self, stored: &StoredRecord, now_ms: u64) {
        match &stored.record {
            JobRecord::Accepted { spec, at_ms } => {
                let entry = Entry {
                    submission: stored.submission.clone(),
                    spec: spec.clone(),
                    accepted_ms: *at_ms,
                    cancelled: false,
                    refused: stored.refused,
                    end: None,
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
            JobRecord::Ended { job, end } => {
                if let Some(entry) = self.jobs.get_mut(job) {
                    entry.end = Some(end.clone());
                }
            }
            JobRecord::Committed { .. }
            | JobRecord::Reserved { .. }
            | JobRecord::Organisations(_)
            | JobRecord::History { .. }
            | JobRecord::NextGang(_)
            | JobRecord::Guarantees(_)
            | JobRecord::Crashed { .. }
            | JobRecord::Crashes(_) => {}
        }
    }

    /// Updates the metrics from a record of a step that has been applied.
    pub(super) fn update_metrics(&self, record: &JobRecord, metrics: &JobsMetrics, now_ms: u64) {
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

    /// Marks a job as refused at once.
    pub(super) fn mark_refused(&mut self, job: &JobName) {
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.refused = true;
        }
    }

    /// Returns whether the maximum number of jobs is reached.
    pub(super) fn is_full(&self) -> bool {
        self.jobs.len() >= MAX_JOBS
    }

    /// Returns the records of ended jobs that the core no longer keeps.
    pub(super) fn evicted_records(&self, scheduler: &Scheduler) -> Vec<StoredRecord> {
        let evicted = self.jobs.iter().filter(|(job, _)| scheduler.job(job).is_none());
        evicted.flat_map(|(_, entry)| entry.records()).collect()
    }

    /// Drops jobs that the core no longer keeps and whose names no submission can use any more.
    ///
    /// The cost is proportional to the number of jobs added.
    pub(super) fn prune(&mut self, scheduler: &Scheduler, now_ms: u64) {
        if self.jobs.len() >= self.prune_at.max(MIN_PRUNE_INTERVAL_JOBS) {
            self.jobs.retain(|job, _| scheduler.job(job).is_some() || !is_prunable(job, now_ms));
            self.prune_at = self.jobs.len() + MIN_PRUNE_INTERVAL_JOBS.max(self.jobs.len() / 4);
        }
    }
}

impl Entry {
    fn records(&self) -> Vec<StoredRecord> {
        let job = self.spec.name.clone();
        let accepted = JobRecord::Accepted { spec: self.spec.clone(), at_ms: self.accepted_ms };
        let (submission, refused) = (self.submission.clone(), self.refused);
        let mut records = vec![StoredRecord { record: accepted, submission, refused }];
        let cancelled = self.cancelled.then(|| JobRecord::Cancelled { job: job.clone() });
        let ended = self.end.clone().map(|end| JobRecord::Ended { job, end });
        let later = cancelled.into_iter().chain(ended);
        records.extend(later.map(StoredRecord::without_submission));
        records
    }
}

/// Returns whether submissions with this name have been refused for at least a day.
fn is_prunable(job: &JobName, now_ms: u64) -> bool {
    key_date::issued_ms(job.as_str()).is_none_or(|issued_ms| issued_ms + RETENTION_MS < now_ms)
}

/// Checks the date in the name of a new job.
///
/// # Errors
/// Returns why a job of this name is not accepted.
pub(super) fn check_date(job: &JobName, now_ms: u64) -> Result<(), NotRun> {
    let Some(issued_ms) = key_date::issued_ms(job.as_str()) else {
        let detail = "the name of a job must have the form YYYYMMDD-ID";
        return Err(NotRun::new(NotRunCause::BadRequest, detail));
    };
    if key_date::is_expired(issued_ms, now_ms) {
        let detail = "the date of the name is more than 7 days old or more than 1 day ahead, so \
                      that it is not known whether a job of this name ran before";
        return Err(NotRun::new(NotRunCause::KeyExpired, detail));
    }
    Ok(())
}
