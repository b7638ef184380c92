//! Changes of the replicated state.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::configuration::Configuration;
use super::ids::{JobId, TaskId, UnitId};
use super::spec::JobSpec;
use super::upstream::{EndKind, Heartbeat, Life};
use super::wave::MachineState;

/// A run that is to be started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StartRecord {
    pub(crate) unit: UnitId,
    pub(crate) run: u32,
    /// Upstream of each task, in the order of the tasks.
    pub(crate) lives: SmallVec<[Life; 1]>,
}

/// An end that an upstream has listed, or that follows from a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EndRecord {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    pub(crate) how: EndKind,
    /// Newest checkpoint, if there is one.
    pub(crate) checkpoint: Option<Arc<str>>,
}

/// A run that is over although its upstream did not say so.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LostRun {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    /// Newest checkpoint that was seen, if there is one.
    pub(crate) checkpoint: Option<Arc<str>>,
}

/// A change of the replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Change {
    /// Puts a configuration in force if its version is higher; `raw` is what the operator sent.
    SetConfiguration { configuration: Arc<Configuration>, raw: Bytes },
    /// Accepts a job unless it is known.
    Accept { id: JobId, queue: Arc<str>, organisation: Option<Arc<str>>, spec: Arc<JobSpec> },
    /// Cancels a job unless it has ended.
    Cancel { id: JobId },
    /// Records runs before they are ordered.
    Start { starts: Vec<StartRecord> },
    /// Records the ends that an upstream listed, up to a number.
    Ends { life: Life, up_to: u64, ends: Vec<EndRecord> },
    /// Records runs of a life that are certainly over.
    Lost { life: Life, runs: Vec<LostRun> },
    /// Registers an upstream or a change of what it is.
    Register { beat: Heartbeat },
    /// Removes an upstream that has left or was lost.
    Leave { life: Life },
    /// Begins a wave unless it is known.
    StartWave { number: u64, machines: Vec<Arc<str>>, cap: u32, duration_ms: u64 },
    /// Records how far a physical host of a wave is.
    Maintain { wave: u64, machine: Arc<str>, state: MachineState },
    /// Drops jobs whose state was kept long enough.
    Forget { jobs: Vec<JobId> },
}

/// A change and the cluster time at which its leader made it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Command {
    pub(crate) at_ms: u64,
    pub(crate) change: Change,
}
