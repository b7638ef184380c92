//! Detection of hanging runs, and the rules that set upstreams aside because of failed runs.

use std::collections::HashSet;

use super::TaskRun;
use super::session::Session;
use crate::tasks::{Incarnation, State, UnitId};

/// Number of different jobs that must fail in a row on an upstream before it is set aside.
pub(super) const FAILED_JOBS_TO_SET_ASIDE: usize = 2;

/// Time for which an upstream is set aside at first.
const SET_ASIDE_MIN_MS: u64 = 3_000;

/// Longest time for which an upstream is set aside.
const SET_ASIDE_MAX_MS: u64 = 12_000;

/// Time without progress after which a run counts as hanging.
const HANG_AFTER_MS: u64 = 2_500;

/// Share of its estimated run time that a run may spend without progress.
const HANG_ESTIMATE_PERCENT: u64 = 30;

/// Time for which a job avoids an upstream on which it hung.
pub(super) const AVOID_MS: u64 = 15_000;

/// Returns for how long an upstream is set aside, given how often it was set aside before.
pub(super) fn set_aside_ms(set_aside_before: u32) -> u64 {
    (SET_ASIDE_MIN_MS << set_aside_before.min(4)).min(SET_ASIDE_MAX_MS)
}

/// Returns the time without progress after which a run of a step counts as hanging.
pub(super) fn hang_after_ms(estimate_ms: u64) -> u64 {
    HANG_AFTER_MS.max(estimate_ms * HANG_ESTIMATE_PERCENT / 100)
}

/// A run without progress on one of its upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct HangingRun {
    pub(super) unit: UnitId,
    pub(super) run: u32,
    pub(super) incarnation: Incarnation,
    pub(super) stalled_ms: u64,
    pub(super) percent: u32,
}

/// Returns the hanging runs, one entry for each of their upstreams.
///
/// When one member of a gang hangs, all of its members stop making progress.
pub(super) fn find_hanging_runs<'a>(
    state: &State,
    sessions: impl Iterator<Item = &'a Session>,
    stopping: &HashSet<TaskRun>,
    now_ms: u64,
) -> Vec<HangingRun> {
    let mut hanging = Vec::new();
    for session in sessions.filter(|session| session.is_reachable(now_ms)) {
        for (task, observed) in &session.runs {
            let key = (task.clone(), observed.run);
            let Some((unit, run)) = unit_of(state, &key) else { continue };
            let Some((job, ..)) = state.find_task(task) else { continue };
            let step = &job.spec.steps[task.step as usize];
            // Nothing is known of the time since the lists were last read.
            let known_until_ms = observed.last_listed_ms.min(now_ms);
            let stalled_ms = known_until_ms.saturating_sub(observed.advanced_ms);
            // A member of a gang that has finished its part waits for the others.
            let unfinished = observed.percent < 100;
            let over_limit = unfinished && stalled_ms > hang_after_ms(step.estimate_ms);
            if over_limit && !step.lasting && !stopping.contains(&key) {
                let incarnation = session.incarnation.clone();
                hanging.push(HangingRun {
                    unit,
                    run,
                    incarnation,
                    stalled_ms,
                    percent: observed.percent,
                });
            }
        }
    }
    hanging
}

/// Returns the unit and run of a task that is running.
pub(super) fn unit_of(state: &State, (task, run): &TaskRun) -> Option<(UnitId, u32)> {
    let job = state.jobs.get(&task.job)?;
    let (unit, _) = job.locate_task(task.step, task.index)?;
    let current = job.unit(task.occurrence, task.step, unit)?;
    let id = UnitId { job: task.job.clone(), occurrence: task.occurrence, step: task.step, unit };
    (current.run == *run && current.is_running()).then_some((id, *run))
}
