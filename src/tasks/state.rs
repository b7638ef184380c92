//! The replicated state.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::configuration::{Configuration, Queue};
use super::ids::{JobId, TaskId};
use super::job::{Job, Outcome, Unit};
use super::upstream::{Life, Upstream};
use super::wave::Wave;

/// Something that happened to a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct JobEvent {
    pub(crate) id: JobId,
    pub(crate) queue: Arc<str>,
    pub(crate) organisation: Option<Arc<str>>,
    /// Absent for the first start.
    pub(crate) outcome: Option<Outcome>,
    /// Time since the job was accepted.
    pub(crate) after_ms: u64,
}

/// Everything that control hosts agree on.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct State {
    /// Cluster time of the newest command; never falls.
    pub(crate) now_ms: u64,
    pub(crate) configuration: Option<Arc<Configuration>>,
    /// The configuration as the operator sent it.
    pub(crate) raw_configuration: Bytes,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) upstreams: BTreeMap<Arc<str>, Upstream>,
    /// Queues of jobs whose queue was removed from the configuration.
    pub(crate) former_queues: BTreeMap<Arc<str>, Queue>,
    /// Waves of maintenance by their number.
    pub(crate) waves: BTreeMap<u64, Wave>,
    /// What has happened to jobs since the shell last asked.
    #[serde(skip)]
    pub(super) events: Vec<JobEvent>,
    /// Tasks that may be running in each life and their runs; derived from the jobs.
    #[serde(skip)]
    pub(super) running: HashMap<Life, BTreeMap<TaskId, u32>>,
}

impl State {
    /// Takes what has happened to jobs since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<JobEvent> {
        std::mem::take(&mut self.events)
    }

    /// Rebuilds what is derived from the rest, after decoding.
    pub(crate) fn rebuild(&mut self) {
        let mut running: HashMap<Life, BTreeMap<TaskId, u32>> = HashMap::new();
        self.for_each_running(|task, run, member| {
            running.entry(member.life.clone()).or_default().insert(task, run);
        });
        self.running = running;
    }

    /// Lists the tasks that may be running in a life of an upstream, with their runs.
    pub(crate) fn runs_of(&self, life: &Life) -> Vec<(TaskId, u32)> {
        let runs = self.running.get(life).into_iter().flatten();
        runs.map(|(task, run)| (task.clone(), *run)).collect()
    }

    /// Returns the version of the configuration in force; 0 before the first.
    pub(crate) fn configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.version)
    }

    /// Returns the queue of a job, as configured now or when it was last configured.
    pub(crate) fn queue_of(&self, job: &Job) -> Option<&Queue> {
        let current = self.configuration.as_ref().and_then(|conf| conf.queue(&job.queue));
        current.or_else(|| self.former_queues.get(&job.queue))
    }

    /// Returns the unit of a task and the task's place in it.
    pub(crate) fn find(&self, task: &TaskId) -> Option<(&Job, &Unit, u32)> {
        let job = self.jobs.get(&task.job)?;
        let (unit, place) = job.place_of(task.step, task.index)?;
        Some((job, job.unit(task.occurrence, task.step, unit)?, place))
    }

    /// Counts the jobs of a queue of which nothing has started.
    pub(crate) fn pending(&self, queue: &str) -> usize {
        let waits = |job: &&Job| &*job.queue == queue && !job.started && job.outcome.is_none();
        self.jobs.values().filter(waits).count()
    }
}
