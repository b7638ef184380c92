//! A job in the replicated state, with its occurrences, steps, units and runs.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::ids::JobId;
use super::occurrences::Occurrences;
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

impl Step {
    pub(super) fn new(spec: &StepSpec, now_ms: u64) -> Self {
        let unit = Unit { waiting_since_ms: now_ms, ..Unit::default() };
        Self { units: vec![unit; spec.units() as usize], open_units: spec.units() }
    }
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
    pub(crate) occurrences: Occurrences,
    /// Whether some task is known to have begun on an upstream; a recorded run is only an intent.
    pub(crate) begun: bool,
    pub(crate) outcome: Option<Outcome>,
    /// When its outcome was decided, in cluster time.
    pub(crate) ended_ms: u64,
    /// Number of units of which some task may be running; derived from the occurrences.
    #[serde(skip)]
    pub(super) running_units: u64,
}

impl Job {
    pub(crate) fn new(
        id: JobId,
        queue: Arc<str>,
        organisation: Option<Arc<str>>,
        spec: Arc<JobSpec>,
        now_ms: u64,
    ) -> Self {
        let mut occurrences = Occurrences::default();
        if spec.repeat.is_none() {
            occurrences.open_until(1, &spec, now_ms);
        }
        Self {
            id,
            queue,
            organisation,
            spec,
            accepted_ms: now_ms,
            occurrences,
            begun: false,
            outcome: None,
            ended_ms: 0,
            running_units: 0,
        }
    }

    /// Opens the occurrences before `until` that were never open, unless the job has ended.
    pub(super) fn open_until(&mut self, until: u32, now_ms: u64) {
        if self.outcome.is_none() {
            self.occurrences.open_until(until, &self.spec, now_ms);
        }
    }

    /// Closes an occurrence of a repeated job if it is over.
    pub(super) fn close_finished(&mut self, occurrence: u32) {
        if self.spec.repeat.is_some() {
            self.occurrences.close_if_done(occurrence);
        }
    }

    /// Drops the steps of a job that has ended, unless some run may exist. Its outcome is kept.
    pub(super) fn drop_steps(&mut self) {
        if self.has_droppable_steps() {
            self.occurrences.close_all();
            self.spec = Arc::default();
        }
    }

    /// Returns whether the job has ended and holds steps of which none may be running.
    pub(crate) fn has_droppable_steps(&self) -> bool {
        self.outcome.is_some() && !self.has_runs() && !self.spec.steps.is_empty()
    }

    /// Returns whether some task has begun or is being started.
    pub(crate) fn is_under_way(&self) -> bool {
        self.begun || self.has_runs()
    }

    /// Returns whether all units of all occurrences are done.
    pub(super) fn is_done(&self) -> bool {
        self.occurrences.next() == self.spec.occurrences() && self.occurrences.are_done()
    }

    /// Returns the estimated memory that the job takes.
    pub(crate) fn held_bytes(&self) -> u64 {
        self.spec.held_bytes() + self.occurrences.units() * size_of::<Unit>() as u64
    }

    pub(crate) fn state(&self) -> JobState {
        match self.outcome {
            Some(Outcome::Completed) => JobState::Completed,
            Some(Outcome::Failed) => JobState::Failed,
            Some(Outcome::Cancelled) => JobState::Cancelled,
            None if self.begun => JobState::Active,
            None => JobState::Queued,
        }
    }

    /// Returns whether all steps of an occurrence that a step depends on are done.
    pub(crate) fn is_ready(&self, steps: &[Step], step: usize) -> bool {
        self.spec.steps[step].after.iter().all(|before| steps[*before as usize].open_units == 0)
    }

    pub(crate) fn unit(&self, occurrence: u32, step: u32, unit: u32) -> Option<&Unit> {
        let steps = self.occurrences.get(occurrence)?;
        steps.get(step as usize)?.units.get(unit as usize)
    }

    pub(super) fn unit_mut(&mut self, occurrence: u32, step: u32, unit: u32) -> Option<&mut Unit> {
        let steps = self.occurrences.get_mut(occurrence)?;
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
        self.running_units > 0
    }

    /// Counts the running units again after decoding.
    pub(super) fn recount_running_units(&mut self) {
        let running = self.occurrences.all_units().filter(|unit| unit.is_running());
        self.running_units = running.count() as u64;
    }
}
