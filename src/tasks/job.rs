//! A job in the replicated state, with its occurrences, steps, units and runs.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::ids::JobId;
use super::spec::{JobSpec, StepSpec};
use super::upstream::{EndKind, Incarnation};

/// State of a job as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// Some task has started.
    Active,
    /// All tasks are done.
    Completed,
    /// A task or gang has used up its attempts.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

/// Final state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Outcome {
    Completed,
    Failed,
    Cancelled,
}

/// One task of a run and the upstream that runs it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    pub(crate) incarnation: Incarnation,
    /// Present once the task has ended.
    pub(crate) end: Option<EndKind>,
}

/// Execution phase of a unit.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Phase {
    #[default]
    Waiting,
    /// A run exists, or an order that is under way may still start it.
    Running {
        members: SmallVec<[Member; 1]>,
    },
    Done,
    /// Its attempts are used up.
    GivenUp,
}

/// A single task, or a gang as a whole.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Unit {
    pub(crate) phase: Phase,
    /// Number of the latest run; 0 before the first.
    pub(crate) run: u32,
    pub(crate) failures: u32,
    /// Whether its work is done; some members of a gang may not have reported their end yet.
    pub(crate) finished: bool,
    /// Latest checkpoint; empty if there is none.
    pub(crate) checkpoint: Arc<str>,
    /// When it last began to wait, in cluster time.
    pub(crate) waiting_since_ms: u64,
}

impl Unit {
    /// Returns whether some task of the unit may be running.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running { .. })
    }

    pub(crate) fn members(&self) -> &[Member] {
        match &self.phase {
            Phase::Running { members } => members,
            Phase::Waiting | Phase::Done | Phase::GivenUp => &[],
        }
    }
}

/// One step of one occurrence.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Step {
    pub(crate) units: Vec<Unit>,
    /// Number of units that are not done.
    pub(crate) open_units: u32,
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    /// Name of the queue that it was submitted to.
    pub(crate) queue: Arc<str>,
    /// Absent if the queue is public.
    pub(crate) organisation: Option<Arc<str>>,
    pub(crate) spec: Arc<JobSpec>,
    /// When it was accepted, in cluster time.
    pub(crate) accepted_ms: u64,
    /// Steps of each occurrence.
    pub(crate) occurrences: Vec<Vec<Step>>,
    pub(crate) started: bool,
    pub(crate) outcome: Option<Outcome>,
    /// When its outcome was decided, in cluster time.
    pub(crate) ended_ms: u64,
}

impl Job {
    pub(crate) fn new(
        id: JobId,
        queue: Arc<str>,
        organisation: Option<Arc<str>>,
        spec: Arc<JobSpec>,
        now_ms: u64,
    ) -> Self {
        let step = |spec: &StepSpec| {
            let unit = Unit { waiting_since_ms: now_ms, ..Unit::default() };
            Step { units: vec![unit; spec.units() as usize], open_units: spec.units() }
        };
        let steps: Vec<_> = spec.steps.iter().map(step).collect();
        let occurrences = vec![steps; spec.occurrences() as usize];
        Self {
            id,
            queue,
            organisation,
            spec,
            accepted_ms: now_ms,
            occurrences,
            started: false,
            outcome: None,
            ended_ms: 0,
        }
    }

    pub(crate) fn state(&self) -> JobState {
        match self.outcome {
            Some(Outcome::Completed) => JobState::Completed,
            Some(Outcome::Failed) => JobState::Failed,
            Some(Outcome::Cancelled) => JobState::Cancelled,
            None if self.started => JobState::Active,
            None => JobState::Queued,
        }
    }

    /// Returns whether all steps that a step depends on are done.
    pub(crate) fn is_ready(&self, occurrence: usize, step: usize) -> bool {
        let steps = &self.occurrences[occurrence];
        self.spec.steps[step].after.iter().all(|before| steps[*before as usize].open_units == 0)
    }

    pub(crate) fn unit(&self, occurrence: u32, step: u32, unit: u32) -> Option<&Unit> {
        let steps = self.occurrences.get(occurrence as usize)?;
        steps.get(step as usize)?.units.get(unit as usize)
    }

    pub(super) fn unit_mut(&mut self, occurrence: u32, step: u32, unit: u32) -> Option<&mut Unit> {
        let steps = self.occurrences.get_mut(occurrence as usize)?;
        steps.get_mut(step as usize)?.units.get_mut(unit as usize)
    }

    /// Returns the number of a task's unit and the index of the task among its members.
    pub(crate) fn locate_task(&self, step: u32, index: u32) -> Option<(u32, u32)> {
        let spec = self.spec.steps.get(step as usize)?;
        if index >= spec.tasks {
            return None;
        }
        Some(if spec.gang { (0, index) } else { (index, 0) })
    }

    /// Returns whether the job ended longer ago than the retention period and has no runs left.
    pub(crate) fn may_be_dropped(&self, now_ms: u64, retention_ms: u64) -> bool {
        let ended_for_ms = now_ms.saturating_sub(self.ended_ms);
        self.outcome.is_some() && ended_for_ms > retention_ms && !self.has_runs()
    }

    /// Returns whether some run of the job may exist.
    fn has_runs(&self) -> bool {
        self.occurrences.iter().flatten().flat_map(|step| &step.units).any(Unit::is_running)
    }
}
