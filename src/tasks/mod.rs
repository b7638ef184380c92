//! Jobs, steps and tasks as callers submit them, and the replicated state of their execution.
//!
//! [`State`] is a deterministic state machine: it changes only by applying a [`Command`], so
//! control hosts that apply the same commands hold the same state. `placement` makes the decisions,
//! and `cluster` does the I/O.

mod apply;
mod attained;
mod command;
mod configuration;
mod configuration_changes;
mod configuration_warnings;
mod crash;
mod departure;
mod evacuation;
mod ids;
mod job;
mod occurrences;
mod returns;
mod spec;
mod state;
#[cfg(test)]
pub(crate) mod tests;
mod upstream;
mod wave;

pub(crate) use attained::{ATTAINED_DECAY_MS, Usage};
pub(crate) use command::{Change, Command, EndRecord, LostRun, Opening, StartRecord};
pub use configuration::{
    Advice, Configuration, ConfigurationEntry, ConfigurationFault, FrontLimits, Organisation,
    Queue, WorkerService,
};
pub(crate) use evacuation::Evacuation;
pub use ids::{InvalidTaskId, JobId, TaskId, UnitId};
pub use job::JobState;
pub(crate) use job::{Job, Outcome, Phase, Unit};
pub(crate) use returns::{PromisedReturn, RETURNS_MAX};
pub use spec::{InvalidJob, JobSpec, Repeat, Resources, StepSpec};
pub(crate) use state::{JobEvent, State};
pub use upstream::{EndKind, Heartbeat};
pub(crate) use upstream::{Incarnation, Upstream};
pub(crate) use wave::{MachineState, Wave};
