//! What really happened, and the checks of the core's claims against it.

use std::collections::BTreeMap;

use crate::names::JobName;
use crate::scheduler::event::GangId;
use crate::scheduler::limits::{
    DELIVERY_ALLOWANCE_MS, GANG_LEASE_MS, RENEW_INTERVAL_MS, START_LEASE_MS,
};
use crate::scheduler::{JobEnd, Ran};

/// Longest partial work of a gang that never had all members: the start lease with drift, counted
/// from the last commit to arrive.
const PARTIAL_START_MS: u64 = START_LEASE_MS + START_LEASE_MS / 50 + DELIVERY_ALLOWANCE_MS;

/// Longest partial work after a loss: a renewal may be sent one interval after the lost member's
/// last answer.
const PARTIAL_RUN_MS: u64 =
    RENEW_INTERVAL_MS + GANG_LEASE_MS + GANG_LEASE_MS / 50 + DELIVERY_ALLOWANCE_MS;

/// Work of one member.
#[derive(Debug, Clone, Copy, Default)]
pub struct Work {
    /// Time of the start.
    pub start_ms: Option<u64>,
    /// Time of the end, if it is over.
    pub end_ms: Option<u64>,
    /// Whether the work was completed.
    pub completed: bool,
}

/// A gang as it really ran, by worker.
#[derive(Debug, Clone)]
pub struct GangTruth {
    /// Job of the gang.
    pub job: JobName,
    /// Work of each member, by index of its worker.
    pub members: BTreeMap<usize, Work>,
}

impl GangTruth {
    /// Checks that the gang worked with a member missing for no longer than the page allows.
    pub fn check_partial(&self) -> Result<(), String> {
        let starts: Vec<u64> = self.members.values().filter_map(|w| w.start_ms).collect();
        let (Some(first), Some(last_start)) = (starts.iter().min(), starts.iter().max()) else {
            return Ok(());
        };
        let last_end = self.members.values().filter_map(|w| w.end_ms).max().unwrap_or(*last_start);
        let (since, bound) = if starts.len() < self.members.len() {
            (*first, PARTIAL_START_MS)
        } else {
            let lost = self.members.values().filter(|w| !w.completed).filter_map(|w| w.end_ms);
            (lost.min().unwrap_or(last_end), PARTIAL_RUN_MS)
        };
        let partial_ms = last_end.saturating_sub(since);
        if partial_ms > bound {
            return Err(format!(
                "a gang of {} worked with a member missing for {partial_ms} ms, bound {bound} ms",
                self.job
            ));
        }
        Ok(())
    }
}

/// What the members of a job do once they are started.
#[derive(Debug, Clone, Copy, Default)]
pub struct Plan {
    /// Time that the members need.
    pub run_ms: u64,
    /// Whether the job fails wherever it runs.
    pub fails: bool,
}

/// What the gangs of a job have done.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// No member has ever worked.
    #[default]
    Nothing,
    /// A member has worked.
    Worked,
    /// All members of one gang completed.
    Completed,
}

/// A job as it really ran.
#[derive(Debug, Clone, Default)]
pub struct JobTruth {
    /// What its members do.
    pub plan: Plan,
    /// What its gangs have done.
    pub progress: Progress,
    /// The answer that the caller got.
    pub end: Option<JobEnd>,
    /// Whether the job was accepted.
    pub accepted: bool,
    /// Whether the caller asked to cancel it.
    pub cancelled: bool,
}

impl JobTruth {
    /// Checks the end of a job against what its members did.
    pub fn check_end(&self, name: &JobName, end: &JobEnd) -> Result<(), String> {
        if let Some(first) = &self.end {
            return Err(format!("job {name} ended as {first:?} and again as {end:?}"));
        }
        let ran = match end {
            JobEnd::Completed if self.progress == Progress::Completed => return Ok(()),
            JobEnd::Completed => return Err(format!("job {name} did not complete")),
            JobEnd::Failed { .. } => return Ok(()),
            JobEnd::Cancelled { .. } if !self.cancelled => {
                return Err(format!("job {name} ended as cancelled and nobody asked for it"));
            }
            JobEnd::Cancelled { ran } | JobEnd::Unrunnable { ran, .. } => *ran,
        };
        match (ran, self.progress > Progress::Nothing) {
            (Ran::No, true) => Err(format!("job {name} is told that it did not run, but it did")),
            (Ran::Yes, false) => Err(format!("job {name} is told that it ran, but it did not")),
            _ => Ok(()),
        }
    }
}

/// Everything that really happened and still matters.
#[derive(Debug, Default)]
pub struct Truth {
    /// Gangs that the core has not released.
    pub gangs: BTreeMap<GangId, GangTruth>,
    /// Jobs that were submitted.
    pub jobs: BTreeMap<JobName, JobTruth>,
}
