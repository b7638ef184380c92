//! Crashes of upstreams under tasks, as part of the replicated state.

use std::sync::Arc;

use super::ids::{JobId, TaskId};
use super::state::State;
use super::upstream::Incarnation;
use crate::crashes::{Crash, CrashHistory, CrashedRun, LostUpstream, Subject};

/// Crashes under the tasks of the jobs that are kept.
pub(crate) type TaskCrashes = CrashHistory<TaskId, JobId>;

impl Subject for TaskId {
    type Job = JobId;

    fn job(&self) -> &JobId {
        &self.job
    }
}

impl State {
    /// Records the crash of an upstream that was last heard of `silent_ms` ago for its tasks, and
    /// removes the upstream.
    pub(super) fn record_crash(
        &mut self,
        incarnation: &Incarnation,
        runs: &[CrashedRun<TaskId>],
        silent_ms: u64,
    ) {
        let address = match self.upstreams.get(&incarnation.id) {
            Some(upstream) => Arc::clone(&upstream.heartbeat.address),
            None => "".into(),
        };
        let lost = LostUpstream {
            name: Arc::clone(&incarnation.id),
            incarnation: incarnation.born_unix_ms,
            address,
            heard_ms: self.now_ms.saturating_sub(silent_ms),
        };
        let jobs = &self.jobs;
        let is_active =
            |task: &TaskId| jobs.get(&task.job).is_some_and(|job| job.outcome.is_none());
        self.crashes.record(lost, runs, self.now_ms, is_active);
        self.remove_upstream(incarnation);
    }

    /// Returns the crashes of upstreams under a task.
    pub(crate) fn crashes_of(&self, task: &TaskId) -> &[Crash] {
        self.crashes.of(task)
    }

    /// Returns the runs that may have been in execution on an upstream when it fell silent or
    /// crashed.
    pub(crate) fn possibly_crashed_runs(&self, incarnation: &Incarnation) -> Vec<(TaskId, u32)> {
        let mut runs = self.runs_of(incarnation);
        runs.extend(self.lapsed_runs.get(incarnation).into_iter().flatten().cloned());
        runs
    }
}
