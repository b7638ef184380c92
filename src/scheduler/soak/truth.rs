//! Record of what gangs and jobs actually did in the simulation, and checks of the core against it.

use std::collections::{BTreeMap, BTreeSet};

use crate::names::JobName;
use crate::scheduler::event::GangId;
use crate::scheduler::limits::{
    DELIVERY_ALLOWANCE_MS, GANG_LEASE_MS, RENEW_INTERVAL_MS, START_LEASE_MS,
};
use crate::scheduler::{JobEnd, Ran};

/// Longest time for which a gang may work if not all members started: the start lease with clock
/// drift. Its commits arrive within the delivery allowance of each other.
const PARTIAL_START_LIMIT_MS: u64 = START_LEASE_MS + START_LEASE_MS / 50 + DELIVERY_ALLOWANCE_MS;

/// Longest time for which a gang may work on after it lost a member. A renewal may be sent one
/// interval after the lost member's last answer, and its lease then has to end.
const PARTIAL_RUN_LIMIT_MS: u64 =
    RENEW_INTERVAL_MS + GANG_LEASE_MS + GANG_LEASE_MS / 50 + DELIVERY_ALLOWANCE_MS;

/// What one member actually did.
#[derive(Debug, Clone, Copy, Default)]
pub struct MemberWork {
    /// Time at which the member started, if it did.
    pub start_ms: Option<u64>,
    /// Time at which it ended, if it has.
    pub end_ms: Option<u64>,
    /// Whether the work was completed.
    pub completed: bool,
}

/// What a gang actually did.
#[derive(Debug, Clone)]
pub struct ActualGang {
    /// Job of the gang.
    pub job: JobName,
    /// Work of each member, by index of its worker.
    pub members: BTreeMap<usize, MemberWork>,
}

impl ActualGang {
    /// Checks that the gang did not work with a member missing for longer than the leases allow.
    pub fn check_partial(&self) -> Result<(), String> {
        let starts: Vec<u64> = self.members.values().filter_map(|w| w.start_ms).collect();
        let (Some(first_start), Some(last_start)) = (starts.iter().min(), starts.iter().max())
        else {
            return Ok(());
        };
        let last_end = self.members.values().filter_map(|w| w.end_ms).max().unwrap_or(*last_start);
        let (since_ms, bound_ms) = if starts.len() < self.members.len() {
            (*first_start, PARTIAL_START_LIMIT_MS)
        } else {
            let losses = self.members.values().filter(|w| !w.completed).filter_map(|w| w.end_ms);
            (losses.min().unwrap_or(last_end), PARTIAL_RUN_LIMIT_MS)
        };
        let partial_ms = last_end.saturating_sub(since_ms);
        if partial_ms > bound_ms {
            return Err(format!(
                "a gang of {} worked with a member missing for {partial_ms} ms, bound {bound_ms} ms",
                self.job
            ));
        }
        Ok(())
    }
}

/// How the members of a job behave once they are started.
#[derive(Debug, Clone, Copy, Default)]
pub struct JobBehaviour {
    /// Run time of the members.
    pub run_ms: u64,
    /// Whether the job fails wherever it runs.
    pub fails: bool,
    /// Whether the job crashes each upstream that starts it.
    pub crashes: bool,
}

impl JobBehaviour {
    /// Returns whether the job is to blame for its failures.
    pub fn is_at_fault(self) -> bool {
        self.fails || self.crashes
    }
}

/// How far a job has actually come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobProgress {
    /// No member of any gang has started.
    #[default]
    NotStarted,
    /// At least one member has started.
    Started,
    /// All members of one gang completed.
    Completed,
}

/// What a job actually did.
#[derive(Debug, Clone, Default)]
pub struct ActualJob {
    /// Behaviour of its members.
    pub behaviour: JobBehaviour,
    /// How far its gangs have come.
    pub progress: JobProgress,
    /// Gangs of which a member has started.
    pub started_gangs: BTreeSet<GangId>,
    /// How the core reported its end, once it did.
    pub end: Option<JobEnd>,
    /// Whether the core accepted the job.
    pub accepted: bool,
    /// Whether a cancellation was requested.
    pub cancelled: bool,
}

/// Number of gangs of a job that crashes its upstreams after which it must have been given up.
const CRASHING_STARTS_MAX: usize = 8;

impl ActualJob {
    /// Records the start of a gang, and checks that a job does not crash upstream after upstream.
    pub fn record_start(&mut self, name: &JobName, gang: GangId) -> Result<(), String> {
        self.progress = self.progress.max(JobProgress::Started);
        self.started_gangs.insert(gang);
        let starts = self.started_gangs.len();
        if self.behaviour.crashes && starts > CRASHING_STARTS_MAX {
            return Err(format!("job {name} crashes its upstreams and was started {starts} times"));
        }
        Ok(())
    }

    /// Checks the reported end of the job against what its members did.
    pub fn check_end(&self, name: &JobName, end: &JobEnd) -> Result<(), String> {
        if let Some(first) = &self.end {
            return Err(format!("job {name} ended twice: as {first:?} and as {end:?}"));
        }
        let ran = match end {
            JobEnd::Completed if self.progress == JobProgress::Completed => return Ok(()),
            JobEnd::Completed => {
                return Err(format!("job {name} ended as completed, but no gang completed"));
            }
            JobEnd::Failed { .. } => return Ok(()),
            JobEnd::Cancelled { .. } if !self.cancelled => {
                return Err(format!("job {name} ended as cancelled without a request"));
            }
            JobEnd::Cancelled { ran } | JobEnd::Unrunnable { ran, .. } => *ran,
        };
        match (ran, self.progress > JobProgress::NotStarted) {
            (Ran::No, true) => Err(format!("job {name} was reported as not run, but it did run")),
            (Ran::Yes, false) => Err(format!("job {name} was reported as run, but it did not run")),
            _ => Ok(()),
        }
    }
}

/// Actual state of the gangs and jobs that later checks need.
#[derive(Debug, Default)]
pub struct ActualState {
    /// Gangs that the core has not released.
    pub gangs: BTreeMap<GangId, ActualGang>,
    /// Submitted jobs, without those that ended long ago.
    pub jobs: BTreeMap<JobName, ActualJob>,
}
