//! Judging upstreams that fail, hang or refuse, by what comes of their runs.

use std::collections::HashSet;

use super::TaskRun;
use super::session::Session;
use crate::tasks::{Incarnation, State, UnitId};

/// Different jobs that must fail in a row on an upstream before it is set aside.
pub(super) const JOBS_TO_SUSPECT: usize = 2;

/// First time for which an upstream is set aside, in milliseconds.
const FIRST_PAUSE_MS: u64 = 3_000;

/// Longest time for which an upstream is set aside, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 12_000;

/// Time without progress after which a run counts as hanging, in milliseconds.
const HANG_AFTER_MS: u64 = 2_500;

/// Share of its estimate that a run may spend without progress, in percent.
const HANG_SHARE_PERCENT: u64 = 30;

/// Time for which a job is kept away from an upstream on which it hung, in milliseconds.
pub(super) const AVOID_MS: u64 = 15_000;

/// Time for which an upstream is set aside after it was set aside before.
pub(super) fn pause_ms(times_before: u32) -> u64 {
    (FIRST_PAUSE_MS << times_before.min(4)).min(LONGEST_PAUSE_MS)
}

/// Time without progress after which a run of a step hangs.
pub(super) fn hang_after_ms(estimate_ms: u64) -> u64 {
    HANG_AFTER_MS.max(estimate_ms * HANG_SHARE_PERCENT / 100)
}

/// A run that stands still on one of its hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Hanging {
    pub(super) unit: UnitId,
    pub(super) run: u32,
    pub(super) incarnation: Incarnation,
    pub(super) still_ms: u64,
    pub(super) percent: u32,
}

/// Lists the runs that stand still, with each of their hosts.
///
/// All members of a gang stand still when one of them does.
pub(super) fn hanging<'a>(
    state: &State,
    sessions: impl Iterator<Item = &'a Session>,
    stopping: &HashSet<TaskRun>,
    now_ms: u64,
) -> Vec<Hanging> {
    let mut hanging = Vec::new();
    for session in sessions.filter(|session| session.in_touch(now_ms)) {
        for (task, seen) in &session.runs {
            let key = (task.clone(), seen.run);
            let Some((unit, run)) = unit_of(state, &key) else { continue };
            let Some((job, ..)) = state.find_task(task) else { continue };
            let step = &job.spec.steps[task.step as usize];
            let still_ms = now_ms.saturating_sub(seen.advanced_ms);
            // A member of a gang that has done its part waits for the others.
            let works = seen.percent < 100;
            let over_limit = works && still_ms > hang_after_ms(step.estimate_ms);
            if over_limit && !step.lasting && !stopping.contains(&key) {
                let incarnation = session.incarnation.clone();
                hanging.push(Hanging { unit, run, incarnation, still_ms, percent: seen.percent });
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
