//! The replicated state.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::attained::{Account, Attained};
use super::configuration::{Configuration, Queue};
use super::crash::TaskCrashes;
use super::departure::Departures;
use super::evacuation::Evacuations;
use super::ids::{JobId, TaskId};
use super::job::{Job, Outcome, Unit};
use super::returns::PromisedReturn;
use super::upstream::{Incarnation, Upstream};
use super::wave::Wave;

/// First start or final outcome of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct JobEvent {
    pub(crate) id: JobId,
    pub(crate) queue: Arc<str>,
    pub(crate) organisation: Option<Arc<str>>,
    /// Absent if the event is the first start.
    pub(crate) outcome: Option<Outcome>,
    /// Time since the job was accepted.
    pub(crate) after_ms: u64,
}

/// Largest number of jobs that are remembered as cancelled before they arrived.
pub(crate) const EARLY_CANCELLATIONS_MAX: usize = 20_000;

/// State that is replicated to all control hosts.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct State {
    /// Cluster time of the latest command; never decreases.
    pub(crate) now_ms: u64,
    pub(crate) configuration: Option<Arc<Configuration>>,
    /// The configuration as the operator sent it.
    pub(crate) raw_configuration: Bytes,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) upstreams: BTreeMap<Arc<str>, Upstream>,
    /// Former definitions of queues that unfinished or retained jobs belong to.
    pub(crate) former_queues: BTreeMap<Arc<str>, Queue>,
    /// Waves of maintenance, by number.
    pub(crate) waves: BTreeMap<u64, Wave>,
    pub(crate) crashes: TaskCrashes,
    /// Runs that were recorded as lost when the lease of a silent upstream had ended. It may turn out
    /// to have crashed.
    pub(crate) lapsed_runs: BTreeMap<Incarnation, Vec<(TaskId, u32)>>,
    /// Jobs that were cancelled before their submission arrived, and when. It may be on its way still.
    pub(crate) early_cancellations: BTreeMap<JobId, u64>,
    /// Data centres that are being evacuated, or were lately.
    pub(crate) evacuations: Evacuations,
    /// Service that organisations have attained.
    pub(crate) attained: BTreeMap<Account, Attained>,
    /// Callers that were refused and told to return, by the job that they submit.
    pub(crate) returns: BTreeMap<JobId, PromisedReturn>,
    /// What was announced of the ends of registered upstreams.
    pub(crate) departures: Departures,
    /// Job events since the last call of [`State::take_events`].
    #[serde(skip)]
    pub(super) events: Vec<JobEvent>,
    /// Rises with each change of the registered upstreams on this host; not replicated.
    #[serde(skip)]
    pub(super) fleet_version: u64,
    /// Index of the tasks that may be running, by upstream; derived from the jobs.
    #[serde(skip)]
    pub(super) running: HashMap<Incarnation, BTreeMap<TaskId, u32>>,
}

impl State {
    /// Returns the job events since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<JobEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns a number that rises with each change of the registered upstreams, so that work on all of
    /// them can be left out while nothing has changed.
    pub(crate) const fn fleet_version(&self) -> u64 {
        self.fleet_version
    }

    /// Rebuilds the derived index after decoding.
    pub(crate) fn rebuild(&mut self) {
        let mut running: HashMap<Incarnation, BTreeMap<TaskId, u32>> = HashMap::new();
        self.for_each_running(|task, run, member| {
            running.entry(member.incarnation.clone()).or_default().insert(task, run);
        });
        self.running = running;
        self.rebuild_usage();
        self.jobs.values_mut().for_each(Job::recount_running_units);
    }

    /// Returns the estimated memory that all jobs take.
    pub(crate) fn held_bytes(&self) -> u64 {
        self.jobs.values().map(Job::held_bytes).sum()
    }

    /// Returns the tasks that may be running on an upstream, with their runs.
    pub(crate) fn runs_of(&self, incarnation: &Incarnation) -> Vec<(TaskId, u32)> {
        let runs = self.running.get(incarnation).into_iter().flatten();
        runs.map(|(task, run)| (task.clone(), *run)).collect()
    }

    /// Returns the number of tasks that may be running on an upstream.
    pub(crate) fn count_runs(&self, incarnation: &Incarnation) -> usize {
        self.running.get(incarnation).map_or(0, BTreeMap::len)
    }

    /// Returns whether some task may be running on an upstream.
    pub(crate) fn has_runs(&self, incarnation: &Incarnation) -> bool {
        self.running.get(incarnation).is_some_and(|runs| !runs.is_empty())
    }

    /// Returns the version of the current configuration; 0 before the first.
    pub(crate) fn configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.version)
    }

    /// Returns whether a job was cancelled before its submission arrived.
    pub(crate) fn was_cancelled_early(&self, id: &JobId) -> bool {
        self.early_cancellations.contains_key(id)
    }

    /// Remembers that an unknown job was cancelled; the oldest such job is forgotten if there are many.
    pub(super) fn record_early_cancellation(&mut self, id: &JobId) {
        self.early_cancellations.insert(id.clone(), self.now_ms);
        if self.early_cancellations.len() > EARLY_CANCELLATIONS_MAX {
            let oldest = self.early_cancellations.iter().min_by_key(|(_, at_ms)| **at_ms);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.early_cancellations.remove(&id);
            }
        }
    }

    /// Returns the queue of a job, as configured now or when it was last configured.
    pub(crate) fn queue_of(&self, job: &Job) -> Option<&Queue> {
        let current = self.configuration.as_ref().and_then(|conf| conf.queue(&job.queue));
        current.or_else(|| self.former_queues.get(&job.queue))
    }

    /// Returns whether the configuration names a service, or a job that has not ended still needs it, since
    /// it was accepted when an earlier configuration did. True before the first configuration.
    pub(crate) fn needs_service(&self, name: &str) -> bool {
        let Some(configuration) = &self.configuration else { return true };
        let is_named = configuration.services.iter().any(|service| &*service.name == name);
        let is_of_former = |queue: &Queue| &*queue.service == name;
        is_named
            || self.former_queues.values().any(is_of_former)
                && self.jobs.values().any(|job| {
                    job.outcome.is_none() && self.queue_of(job).is_some_and(is_of_former)
                })
    }

    /// Returns the job and the unit of a task, and its index among the unit's members.
    pub(crate) fn find_task(&self, task: &TaskId) -> Option<(&Job, &Unit, u32)> {
        let job = self.jobs.get(&task.job)?;
        let (unit, member) = job.locate_task(task.step, task.index)?;
        Some((job, job.unit(task.occurrence, task.step, unit)?, member))
    }

    /// Counts the jobs of a queue of which no task has begun and that have not ended.
    pub(crate) fn pending(&self, queue: &str) -> usize {
        let waits = |job: &&Job| &*job.queue == queue && !job.begun && job.outcome.is_none();
        self.jobs.values().filter(waits).count()
    }
}
