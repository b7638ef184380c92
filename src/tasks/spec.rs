//! What a caller submits.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Longest text handed to tasks, in bytes.
const PAYLOAD_LIMIT_BYTES: usize = 4_000;

/// Most tasks of one job over all steps and occurrences.
const TASK_LIMIT: u64 = 100_000;

/// Capacity that a task takes, or that an upstream has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub cpu_millicores: u32,
    /// Memory.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
}

/// Core-equivalents of one accelerator, in thousandths.
const ACCELERATOR_MILLICORES: u64 = 8_000;

impl Resources {
    /// Removes capacity, down to nothing.
    pub(crate) fn subtract(&mut self, need: &Self) {
        self.cpu_millicores = self.cpu_millicores.saturating_sub(need.cpu_millicores);
        self.memory_mb = self.memory_mb.saturating_sub(need.memory_mb);
        self.accelerators = self.accelerators.saturating_sub(need.accelerators);
    }

    /// Adds capacity.
    pub(crate) fn add(&mut self, need: &Self) {
        self.cpu_millicores = self.cpu_millicores.saturating_add(need.cpu_millicores);
        self.memory_mb = self.memory_mb.saturating_add(need.memory_mb);
        self.accelerators = self.accelerators.saturating_add(need.accelerators);
    }

    /// Returns processors and accelerators as one figure, in thousandths of a core.
    pub(crate) fn weight_millicores(&self) -> u64 {
        u64::from(self.cpu_millicores) + u64::from(self.accelerators) * ACCELERATOR_MILLICORES
    }
}

#[expect(clippy::struct_excessive_bools, reason = "independent properties that callers set")]
/// One step: equal tasks that start together once the steps before are done.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Capacity of each task.
    pub need: Resources,
    /// The caller's rough estimate of a task's run time.
    pub estimate_ms: u64,
    /// Earlier steps that must be done first.
    pub after: SmallVec<[u32; 2]>,
    /// Tasks save their progress and can resume.
    pub checkpoints: bool,
    /// Tasks work only while all of them run.
    pub gang: bool,
    /// Tasks run slower in more than one rack.
    pub same_rack: bool,
    /// Label that the upstream must have.
    pub label: Option<Arc<str>>,
    /// Rack with the step's data; tasks run slower elsewhere.
    pub data_rack: Option<Arc<str>>,
    /// Most tasks of one occurrence on one upstream; 0 is no limit.
    pub spread_limit: u32,
    /// Several copies of a task may run at once.
    pub copies: bool,
    /// Tasks run until the job is cancelled.
    pub lasting: bool,
    /// Tasks take processors that others leave idle, without a share of their own.
    pub fills: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// Bound of the response time's tail of a lasting task; 0 is none.
    pub tail_target_ms: u64,
    /// Most tasks of a lasting step that may be away because of the scheduler; `None` is no limit.
    pub away_limit: Option<u32>,
}

impl StepSpec {
    /// Number of units: one for a gang, else one a task.
    pub(crate) fn units(&self) -> u32 {
        if self.gang { 1 } else { self.tasks }
    }

    /// Number of tasks of each unit.
    pub(crate) fn unit_size(&self) -> u32 {
        if self.gang { self.tasks } else { 1 }
    }

    /// Capacity that a task reserves on its upstream.
    pub(crate) fn reserved(&self) -> Resources {
        let cpu_millicores = if self.fills { 0 } else { self.need.cpu_millicores };
        Resources { cpu_millicores, ..self.need }
    }
}

/// Runs all steps several times, each at its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Repeat {
    /// Number of occurrences.
    pub times: u32,
    /// Unix time at which the first one is due.
    pub first_unix_ms: u64,
    /// Time between two of them.
    pub interval_ms: u64,
}

/// A job as submitted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobSpec {
    /// Text handed to each task.
    pub payload: Arc<str>,
    /// Steps, of which each depends on earlier ones only.
    pub steps: Vec<StepSpec>,
    /// Present for a job that runs several times.
    pub repeat: Option<Repeat>,
}

/// Why a job is refused for good.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{reason}")]
pub struct InvalidJob {
    /// The fault, for the caller.
    reason: String,
}

impl JobSpec {
    /// Number of occurrences, at least one.
    pub(crate) fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.times.max(1))
    }

    /// Returns when an occurrence is due, in Unix time; 0 for a job without times.
    pub(crate) fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.repeat
            .map_or(0, |repeat| repeat.first_unix_ms + u64::from(occurrence) * repeat.interval_ms)
    }

    /// Tells whether some step runs until the job is cancelled.
    pub(crate) fn is_lasting(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }

    /// Checks what no state of the pool could make right.
    ///
    /// # Errors
    /// Returns the first fault found.
    pub fn check(&self) -> Result<(), InvalidJob> {
        let fault = |reason: String| Err(InvalidJob { reason });
        if self.payload.len() > PAYLOAD_LIMIT_BYTES {
            return fault(format!("the payload is longer than {PAYLOAD_LIMIT_BYTES} bytes"));
        }
        if self.steps.is_empty() {
            return fault("the job has no steps".to_owned());
        }
        let in_steps: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        if in_steps * u64::from(self.occurrences()) > TASK_LIMIT {
            return fault(format!("the job has more than {TASK_LIMIT} tasks"));
        }
        for (number, step) in (0_u32..).zip(&self.steps) {
            if step.tasks == 0 {
                return fault(format!("step {number} has no tasks"));
            }
            if step.after.iter().any(|after| *after >= number) {
                return fault(format!("step {number} depends on a step that is not before it"));
            }
        }
        Ok(())
    }
}
