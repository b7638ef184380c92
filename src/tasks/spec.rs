//! Specification of a job as its caller submits it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::job::{Job, Step, Unit};

/// Maximum size of the text that is handed to tasks.
const PAYLOAD_LIMIT_BYTES: usize = 4_000;

/// Maximum number of tasks of one job over all steps and occurrences.
const TASK_LIMIT: u64 = 100_000;

/// Longest estimated run time of a task, and longest interval between occurrences: a year.
const DURATION_LIMIT_MS: u64 = 366 * 24 * 3_600 * 1_000;

/// Latest time at which a job may first be due, about the year 2500.
const FIRST_DUE_LIMIT_UNIX_MS: u64 = 530 * DURATION_LIMIT_MS;

/// Resources that a task takes, or that an upstream has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub cpu_millicores: u32,
    /// Memory in megabytes.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

/// Core-equivalents of one accelerator, in thousandths.
const ACCELERATOR_MILLICORES: u64 = 8_000;

impl Resources {
    /// Subtracts resources, down to 0.
    pub(crate) fn subtract(&mut self, need: &Self) {
        self.cpu_millicores = self.cpu_millicores.saturating_sub(need.cpu_millicores);
        self.memory_mb = self.memory_mb.saturating_sub(need.memory_mb);
        self.accelerators = self.accelerators.saturating_sub(need.accelerators);
    }

    /// Adds resources.
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
/// One step: equal tasks that may start once the steps it depends on are done.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources of each task.
    pub need: Resources,
    /// The caller's rough estimate of a task's run time.
    pub estimate_ms: u64,
    /// Earlier steps that must be done first.
    pub after: SmallVec<[u32; 2]>,
    /// Whether tasks save checkpoints and can resume from them.
    pub checkpoints: bool,
    /// Whether the tasks form a gang, which works only while all of them run.
    pub gang: bool,
    /// Whether the tasks run slower in more than one rack.
    pub same_rack: bool,
    /// Label that the upstream must have.
    pub label: Option<Arc<str>>,
    /// Rack with the step's data; tasks run slower elsewhere.
    pub data_rack: Option<Arc<str>>,
    /// Maximum number of tasks of one occurrence on one upstream; 0 is no limit.
    pub spread_limit: u32,
    /// Whether several copies of a task may run at once.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// Whether the tasks use processors that others leave idle, without reserving any.
    pub fills: bool,
    /// Image that the tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// Bound on the tail response time of a lasting task; 0 is none.
    pub tail_target_ms: u64,
    /// Maximum number of tasks of a lasting step that the scheduler may keep from running at once;
    /// `None` is no limit.
    pub away_limit: Option<u32>,
}

impl StepSpec {
    /// Returns the number of units: 1 for a gang, otherwise one for each task.
    pub(crate) fn units(&self) -> u32 {
        if self.gang { 1 } else { self.tasks }
    }

    /// Returns the number of tasks in each unit.
    pub(crate) fn unit_size(&self) -> u32 {
        if self.gang { self.tasks } else { 1 }
    }

    /// Returns the resources that a task reserves on its upstream.
    pub(crate) fn reserved(&self) -> Resources {
        let cpu_millicores = if self.fills { 0 } else { self.need.cpu_millicores };
        Resources { cpu_millicores, ..self.need }
    }
}

/// Repetition of all steps at regular intervals.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Repeat {
    /// Number of occurrences.
    pub times: u32,
    /// Unix time at which the first one is due.
    pub first_unix_ms: u64,
    /// Time between two occurrences.
    pub interval_ms: u64,
}

/// A job as submitted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobSpec {
    /// Text handed to each task.
    pub payload: Arc<str>,
    /// Steps; each depends on earlier ones only.
    pub steps: Vec<StepSpec>,
    /// Present for a job that runs several times.
    pub repeat: Option<Repeat>,
}

/// A job is invalid, whatever the state of the pool.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{reason}")]
pub struct InvalidJob {
    /// Description for the caller.
    reason: String,
}

impl JobSpec {
    /// Returns the number of occurrences, at least 1.
    pub(crate) fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.times.max(1))
    }

    /// Returns the Unix time at which an occurrence is due; 0 for a job that is not repeated.
    pub(crate) fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.repeat
            .map_or(0, |repeat| repeat.first_unix_ms + u64::from(occurrence) * repeat.interval_ms)
    }

    /// Returns the accelerators of all tasks of one occurrence together.
    pub(crate) fn accelerators(&self) -> u64 {
        let of_step = |step: &StepSpec| u64::from(step.tasks) * u64::from(step.need.accelerators);
        self.steps.iter().map(of_step).sum()
    }

    /// Returns the estimated memory that the job takes apart from its units.
    pub(crate) fn held_bytes(&self) -> u64 {
        let steps = self.steps.len() * (size_of::<StepSpec>() + size_of::<Step>());
        (size_of::<Job>() + size_of::<Self>() + self.payload.len() + steps) as u64
    }

    /// Returns the estimated memory that the units of one occurrence take.
    pub(crate) fn occurrence_bytes(&self) -> u64 {
        let units: u64 = self.steps.iter().map(|step| u64::from(step.units())).sum();
        units * size_of::<Unit>() as u64
    }

    /// Returns whether some step runs until the job is cancelled.
    pub(crate) fn is_lasting(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }

    /// Checks for errors that do not depend on the state of the pool.
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
        if in_steps.saturating_mul(u64::from(self.occurrences())) > TASK_LIMIT {
            return fault(format!("the job has more than {TASK_LIMIT} tasks"));
        }
        for (number, step) in (0_u32..).zip(&self.steps) {
            if step.tasks == 0 {
                return fault(format!("step {number} has no tasks"));
            }
            if step.after.iter().any(|after| *after >= number) {
                return fault(format!("step {number} depends on a step that is not before it"));
            }
            if step.estimate_ms > DURATION_LIMIT_MS {
                return fault(format!("step {number} is estimated to take over a year"));
            }
        }
        if let Some(repeat) = &self.repeat {
            if repeat.interval_ms > DURATION_LIMIT_MS {
                return fault("the job repeats at intervals of over a year".to_owned());
            }
            if repeat.first_unix_ms > FIRST_DUE_LIMIT_UNIX_MS {
                return fault("the job is first due after the year 2500".to_owned());
            }
        }
        Ok(())
    }
}
