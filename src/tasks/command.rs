//! Commands that change the replicated state.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::configuration::Configuration;
use super::ids::{JobId, TaskId, UnitId};
use super::returns::PromisedReturn;
use super::spec::JobSpec;
use super::upstream::{EndKind, Heartbeat, Incarnation};
use super::wave::MachineState;
use crate::crashes::CrashedRun;

/// A run to be started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StartRecord {
    pub(crate) unit: UnitId,
    pub(crate) run: u32,
    /// Upstream of each task, in the order of the tasks.
    pub(crate) incarnations: SmallVec<[Incarnation; 1]>,
}

/// Occurrences of a job to be opened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Opening {
    pub(crate) job: JobId,
    /// The occurrences before this one are opened, unless they were before.
    pub(crate) until: u32,
}

/// End of a task that its upstream has reported, or that follows from a refused start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EndRecord {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    pub(crate) how: EndKind,
    /// Latest checkpoint, if there is one.
    pub(crate) checkpoint: Option<Arc<str>>,
}

/// A run that has certainly ended, although its upstream did not report its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LostRun {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    /// Latest checkpoint that the leader observed, if there is one.
    pub(crate) checkpoint: Option<Arc<str>>,
}

/// A change of the replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Change {
    /// Applies a configuration if its version is higher; `raw` is the text that the operator sent.
    SetConfiguration { configuration: Arc<Configuration>, raw: Bytes },
    /// Accepts a job unless its identity is known, it was cancelled before, or its queue was removed.
    Accept { id: JobId, queue: Arc<str>, organisation: Option<Arc<str>>, spec: Arc<JobSpec> },
    /// Cancels a job unless it has ended.
    Cancel { id: JobId },
    /// Records runs before the start orders are sent.
    Start { starts: Vec<StartRecord> },
    /// Records the ends that an upstream reported, up to the end numbered `up_to`.
    RecordEnds { incarnation: Incarnation, up_to: u64, ends: Vec<EndRecord> },
    /// Records that runs on an upstream have certainly ended.
    RecordLost { incarnation: Incarnation, runs: Vec<LostRun> },
    /// Registers an upstream, or a change of its properties.
    RegisterUpstream { heartbeat: Heartbeat },
    /// Removes an upstream that has left or was lost.
    RemoveUpstream { incarnation: Incarnation },
    /// Begins a wave of maintenance unless its number is known.
    StartWave { number: u64, machines: Vec<Arc<str>>, cap: u32, duration_ms: u64 },
    /// Records the maintenance state of a physical host in a wave.
    SetMachineState { wave: u64, machine: Arc<str>, state: MachineState },
    /// Drops ended jobs whose retention period is over.
    DropJobs { jobs: Vec<JobId> },
    /// Removes an upstream that has crashed, or does not come back, and records the runs that it may
    /// have had. It was last heard of `silent_ms` ago.
    RecordCrash { incarnation: Incarnation, runs: Vec<CrashedRun<TaskId>>, silent_ms: u64 },
    /// Gives up units under which upstreams crash; their jobs fail.
    GiveUp { units: Vec<UnitId> },
    /// Opens occurrences that are about to be due.
    OpenOccurrences { openings: Vec<Opening> },
    /// Drops the steps of ended jobs, whose outcome is kept, so that others have room in memory.
    DropSteps { jobs: Vec<JobId> },
    /// Records that tasks of jobs have begun on upstreams.
    RecordBegun { jobs: Vec<JobId> },
    /// Begins or finishes the evacuation of a data centre, unless its state has changed since the request
    /// was made for this revision of it.
    SetEvacuation { data_centre: Arc<str>, begin: bool, revision: u64 },
    /// Records callers that were refused and told to return.
    RecordReturns { returns: Vec<(JobId, PromisedReturn)> },
    /// Records that an upstream has said that it leaves now.
    RecordLeave { incarnation: Incarnation },
}

/// A change and the cluster time at which the leader proposed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Command {
    pub(crate) at_ms: u64,
    pub(crate) change: Change,
}
