//! Jobs of steps and tasks: what callers submit, and the replicated state of its execution.
//!
//! [`State`] changes only by applying a [`Command`], so that every control host that applies the
//! same commands holds the same state. Decisions are made in `placement`, input and output in
//! `cluster`.

mod apply;
mod command;
mod configuration;
mod ids;
mod job;
mod spec;
mod state;
#[cfg(test)]
pub(crate) mod tests;
mod upstream;
mod wave;

pub(crate) use command::{Change, Command, EndRecord, LostRun, StartRecord};
pub use configuration::{
    Advice, Configuration, ConfigurationFault, FrontLimits, Organisation, Queue, WorkerService,
};
pub use ids::{InvalidTaskId, JobId, TaskId, UnitId};
pub use job::JobState;
pub(crate) use job::{Job, Outcome, Phase, Unit};
pub use spec::{InvalidJob, JobSpec, Repeat, Resources, StepSpec};
pub(crate) use state::{JobEvent, State};
pub use upstream::{EndKind, Heartbeat};
pub(crate) use upstream::{Life, Upstream};
pub(crate) use wave::{MachineState, Wave};
