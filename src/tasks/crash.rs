//! Crashes of upstreams, as evidence about the tasks that ran there.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::ids::{JobId, TaskId};
use super::state::State;
use super::upstream::Incarnation;

/// Time for which a run must have been seen alive to have survived its start.
pub(crate) const SURVIVED_START_MS: u64 = 500;

/// Time within which upstreams that crashed together register again.
pub(crate) const OUTAGE_SPREAD_MS: u64 = 2_000;

/// Time for which an upstream that crashes again counts as unstable.
const UNSTABLE_MS: u64 = 60_000;

/// Time after which a crash says nothing about a task any more.
const FORGET_AFTER_MS: u64 = 3_600_000;

/// Maximum number of crashes that are kept for a task.
const CRASHES_KEPT_MAX: usize = 16;

/// A run that was lost when its upstream crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CrashedRun {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    /// For how long the leader saw it alive; `None` if it may not have started.
    pub(crate) seen_alive_ms: Option<u64>,
}

impl CrashedRun {
    fn survived_start(&self) -> bool {
        self.seen_alive_ms.is_some_and(|alive_ms| alive_ms >= SURVIVED_START_MS)
    }
}

/// A crash of an upstream under a run of a task.
#[expect(clippy::struct_excessive_bools, reason = "independent observations")]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TaskCrash {
    pub(crate) run: u32,
    /// When it was recorded, in cluster time.
    pub(crate) at_ms: u64,
    /// Whether the start of the run was answered or the run was listed.
    pub(crate) started: bool,
    pub(crate) survived_start: bool,
    /// Whether a run of another job on the upstream had not survived its start, either.
    pub(crate) others_suspect: bool,
    /// Whether the upstream had crashed shortly before without the job.
    pub(crate) upstream_unstable: bool,
    pub(crate) elsewhere: Elsewhere,
}

/// Upstreams without a task's job that crashed at about the same time as the task's.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Elsewhere {
    pub(crate) crashes: u32,
    /// How many of them had no run that was just starting, so that no task explains their crash.
    pub(crate) unexplained: u32,
}

impl Elsewhere {
    fn add(&mut self, crash: &UpstreamCrash) {
        self.crashes += 1;
        self.unexplained += u32::from(!crash.is_explained);
    }
}

/// A crash of an upstream, with the jobs that ran there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UpstreamCrash {
    incarnation: Incarnation,
    address: Arc<str>,
    at_ms: u64,
    jobs: SmallVec<[JobId; 4]>,
    /// Whether some run there had not survived its start, which may have caused the crash.
    is_explained: bool,
}

/// Crashes of one task, oldest first.
pub(crate) type TaskCrashes = SmallVec<[TaskCrash; 2]>;

impl State {
    /// Records the crash of an upstream for its tasks, and removes the upstream.
    pub(super) fn record_crash(&mut self, incarnation: &Incarnation, runs: &[CrashedRun]) {
        if !self.upstream_crashes.iter().any(|crash| crash.incarnation == *incarnation) {
            self.add_crash(incarnation, runs);
        }
        self.remove_upstream(incarnation);
    }

    fn add_crash(&mut self, incarnation: &Incarnation, runs: &[CrashedRun]) {
        let now_ms = self.now_ms;
        let address = match self.upstreams.get(&incarnation.id) {
            Some(upstream) => Arc::clone(&upstream.heartbeat.address),
            None => "".into(),
        };
        let mut jobs: SmallVec<[JobId; 4]> = runs.iter().map(|run| run.task.job.clone()).collect();
        jobs.sort();
        jobs.dedup();
        let is_explained = runs.iter().any(|run| !run.survived_start());
        let incarnation = incarnation.clone();
        let crash = UpstreamCrash { incarnation, address, at_ms: now_ms, jobs, is_explained };
        self.count_elsewhere(&crash);
        for run in runs {
            let others_suspect =
                runs.iter().any(|other| other.task.job != run.task.job && !other.survived_start());
            self.add_task_crash(run, &crash.address, others_suspect);
        }
        self.upstream_crashes.retain(|known| now_ms - known.at_ms <= UNSTABLE_MS);
        self.upstream_crashes.push_back(crash);
    }

    fn add_task_crash(&mut self, run: &CrashedRun, address: &str, others_suspect: bool) {
        let now_ms = self.now_ms;
        let job = &run.task.job;
        if self.jobs.get(job).is_none_or(|job| job.outcome.is_some()) {
            return;
        }
        let without_job = self.upstream_crashes.iter().filter(|crash| !crash.jobs.contains(job));
        let mut elsewhere = Elsewhere::default();
        let mut upstream_unstable = false;
        for crash in without_job {
            let ago_ms = now_ms - crash.at_ms;
            if ago_ms <= OUTAGE_SPREAD_MS {
                elsewhere.add(crash);
            }
            upstream_unstable |=
                *crash.address == *address && ago_ms <= UNSTABLE_MS && !crash.is_explained;
        }
        let crash = TaskCrash {
            run: run.run,
            at_ms: now_ms,
            started: run.seen_alive_ms.is_some(),
            survived_start: run.survived_start(),
            others_suspect,
            upstream_unstable,
            elsewhere,
        };
        let crashes = self.task_crashes.entry(run.task.clone()).or_default();
        crashes.retain(|known| now_ms - known.at_ms <= FORGET_AFTER_MS);
        if crashes.iter().any(|known| known.run == crash.run) {
            return;
        }
        if crashes.len() == CRASHES_KEPT_MAX {
            crashes.remove(0);
        }
        crashes.push(crash);
    }

    /// Counts a crash for the tasks of other jobs whose upstreams crashed shortly before.
    fn count_elsewhere(&mut self, crash: &UpstreamCrash) {
        for (task, crashes) in &mut self.task_crashes {
            if crash.jobs.contains(&task.job) {
                continue;
            }
            for known in crashes.iter_mut() {
                if crash.at_ms - known.at_ms <= OUTAGE_SPREAD_MS {
                    known.elsewhere.add(crash);
                }
            }
        }
    }

    /// Returns the crashes of upstreams under a task, oldest first.
    pub(crate) fn crashes_of(&self, task: &TaskId) -> &[TaskCrash] {
        self.task_crashes.get(task).map_or(&[], SmallVec::as_slice)
    }

    /// Iterates over the tasks under which upstreams have crashed.
    pub(crate) fn crashed_tasks(&self) -> impl Iterator<Item = (&TaskId, &TaskCrashes)> {
        self.task_crashes.iter()
    }

    /// Returns whether an upstream has crashed under any task.
    pub(crate) fn has_task_crashes(&self) -> bool {
        !self.task_crashes.is_empty()
    }

    /// Returns the runs that may have been in execution on an upstream when it fell silent or
    /// crashed.
    pub(crate) fn possibly_crashed_runs(&self, incarnation: &Incarnation) -> Vec<(TaskId, u32)> {
        let mut runs = self.runs_of(incarnation);
        runs.extend(self.lapsed_runs.get(incarnation).into_iter().flatten().cloned());
        runs
    }
}

/// Recent crashes of upstreams, oldest first.
pub(crate) type UpstreamCrashes = VecDeque<UpstreamCrash>;
