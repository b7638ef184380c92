//! A job: its specification, its state and its end.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::event::GangId;
use super::gang::StopReason;
use super::limits::{ACCELERATORS_LIMIT, JOB_FAILURE_LIMIT};
use super::organisation::GuaranteeHolder;
use crate::names::{JobName, OrganisationName, ServiceName, UpstreamName};

/// A job as submitted by a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Name of the job, unique within the data centre.
    pub name: JobName,
    /// Organisation on whose account the job runs.
    pub organisation: OrganisationName,
    /// Service whose document holds the organisation's guarantees.
    pub service: ServiceName,
    /// Number of adjacent accelerators.
    pub accelerators: u32,
    /// Whether the job may use its organisation's guaranteed blocks and reclaim them.
    #[serde(default)]
    pub guaranteed: bool,
    /// Whether the job can write a checkpoint on request.
    #[serde(default)]
    pub can_checkpoint: bool,
    /// Whether the job may be stopped and run again from the start or its last checkpoint.
    #[serde(default)]
    pub can_stop: bool,
    /// Kind of work, by which ratios of actual to declared run times are learned.
    #[serde(default)]
    pub kind: String,
    /// Declared run time.
    #[serde(default)]
    pub declared_run_ms: Option<u64>,
}

impl JobSpec {
    /// Returns whether the job may run on capacity that another guarantee can reclaim.
    #[must_use]
    pub const fn is_reclaimable(&self) -> bool {
        self.can_checkpoint || self.can_stop
    }

    /// Returns the holder whose guaranteed blocks the job may use.
    #[must_use]
    pub fn holder(&self) -> Option<GuaranteeHolder> {
        let (service, organisation) = (&self.service, &self.organisation);
        self.guaranteed.then(|| GuaranteeHolder {
            service: service.clone(),
            organisation: organisation.clone(),
        })
    }

    /// Returns why the job could not run in any pool, or `None` if its size is valid.
    #[must_use]
    pub fn invalid_reason(&self) -> Option<String> {
        let n = self.accelerators;
        if n == 0 {
            return Some("a job needs at least 1 accelerator".to_owned());
        }
        (n > ACCELERATORS_LIMIT).then(|| {
            format!("{n} accelerators exceed the limit of {ACCELERATORS_LIMIT} adjacent ones")
        })
    }
}

/// Whether a job that did not complete has worked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Ran {
    /// No member of any gang of the job has worked.
    No,
    /// A member may have worked.
    Unknown,
    /// At least one member has worked.
    Yes,
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobEnd {
    /// Every member completed.
    Completed,
    /// The job was cancelled before it completed.
    Cancelled {
        /// Whether it had worked.
        ran: Ran,
    },
    /// The job failed on several upstreams.
    Failed {
        /// Reason reported to the caller.
        reason: String,
    },
    /// The accepted job can no longer run in this data centre.
    Unrunnable {
        /// Constraint that is not met.
        reason: String,
        /// Whether it had worked.
        ran: Ran,
    },
}

/// State of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// The job waits for accelerators.
    Waiting,
    /// The job holds accelerators for a gang.
    Placed(GangId),
    /// The job has ended.
    Ended(JobEnd),
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The job as submitted.
    pub spec: JobSpec,
    /// Time of acceptance.
    pub accepted_ms: u64,
    /// Start of the current wait, while the job waits.
    pub waiting_since_ms: u64,
    /// State of the job.
    pub state: JobState,
    /// Whether the caller cancelled the job.
    pub cancelled: bool,
    /// Whether an earlier gang of the job has worked.
    pub ran: Ran,
    /// Upstreams on which the job failed, each once.
    pub failed_on: SmallVec<[UpstreamName; 3]>,
    /// Why the last gang of the job was stopped.
    pub last_stop: Option<StopReason>,
}

impl Job {
    /// Builds an accepted job that waits.
    pub const fn accept(spec: JobSpec, now_ms: u64) -> Self {
        Self {
            spec,
            accepted_ms: now_ms,
            waiting_since_ms: now_ms,
            state: JobState::Waiting,
            cancelled: false,
            ran: Ran::No,
            failed_on: SmallVec::new_const(),
            last_stop: None,
        }
    }

    /// Records a failure on `upstream`.
    pub fn record_failure(&mut self, upstream: &UpstreamName) {
        if !self.failed_on.contains(upstream) {
            self.failed_on.push(upstream.clone());
        }
    }

    /// Returns the end of a job that failed on so many upstreams that it counts as faulty itself.
    pub fn failure_limit_end(&self) -> Option<JobEnd> {
        let count = self.failed_on.len();
        (count >= JOB_FAILURE_LIMIT)
            .then(|| JobEnd::Failed { reason: format!("the job failed on {count} upstreams") })
    }
}
