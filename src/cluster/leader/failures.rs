//! Detection of hanging runs, and the rules that set upstreams aside because of failed runs.

use std::collections::HashSet;

use tracing::warn;

use super::session::{ObservedRun, Session};
use super::{Leader, TaskRun, learning};
use crate::cluster::clock::boot_ms;
use crate::placement::StopCause;
use crate::tasks::{Incarnation, Job, State, StepSpec, UnitId};

/// Number of different jobs that must fail in a row on an upstream before it is set aside.
pub(super) const FAILED_JOBS_TO_SET_ASIDE: usize = 2;

/// Time for which an upstream is set aside at first.
const SET_ASIDE_MIN_MS: u64 = 3_000;

/// Longest time for which an upstream is set aside.
const SET_ASIDE_MAX_MS: u64 = 12_000;

/// Time without progress after which a run counts as hanging.
const HANG_AFTER_MS: u64 = 2_500;

/// Share of its longest usual run time that a run may spend without progress.
const HANG_ESTIMATE_PERCENT: u64 = 30;

/// Time for which a job avoids an upstream on which it hung.
pub(super) const AVOID_MS: u64 = 15_000;

/// Returns for how long an upstream is set aside, given how often it was set aside before.
pub(super) fn set_aside_ms(set_aside_before: u32) -> u64 {
    (SET_ASIDE_MIN_MS << set_aside_before.min(4)).min(SET_ASIDE_MAX_MS)
}

/// Time without progress, as a multiple of the mean time that the run took for one percent so far, before
/// it can count as hanging. An upstream may become three times slower for a while, and neighbours may
/// double that.
const HANG_PACE_FACTOR: u64 = 8;

/// Returns the time without progress after which a run counts as hanging.
///
/// The run's own pace counts as well, since a long run whose estimate is far too low would otherwise seem
/// to hang between two percentages.
pub(super) fn hang_after_ms(usual_max_ms: u64, observed: &ObservedRun) -> u64 {
    let by_estimate_ms = usual_max_ms.saturating_mul(HANG_ESTIMATE_PERCENT) / 100;
    let progressed = u64::from(observed.percent.saturating_sub(observed.first_percent));
    let worked_ms = observed.advanced_ms.saturating_sub(observed.first_listed_ms);
    let by_pace_ms = (worked_ms * HANG_PACE_FACTOR).checked_div(progressed).unwrap_or(0);
    HANG_AFTER_MS.max(by_estimate_ms).max(by_pace_ms)
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

impl Leader {
    /// Stops hanging runs and counts them as failures of their upstreams.
    ///
    /// It is unknown which member of a gang hangs, so the job avoids all of its upstreams. When
    /// another job hangs on the faulty one, that one is set aside.
    pub(super) fn stop_hanging_runs(&self) {
        let now_ms = boot_ms();
        let mut judged: HashSet<(UnitId, u32, Incarnation)> = HashSet::new();
        let hanging = {
            let inner = self.replica.lock();
            let term_state = self.term_state();
            let learned = &term_state.learned;
            let usual_max_ms = |job: &Job, step: &StepSpec| {
                learning::usual_max_ms(learned, &inner.state, job, step)
            };
            find_hanging_runs(
                &inner.state,
                usual_max_ms,
                term_state.sessions.values(),
                &term_state.stopping,
                now_ms,
            )
        };
        for HangingRun { unit, run, incarnation, stalled_ms, percent } in hanging {
            if !judged.insert((unit.clone(), run, incarnation.clone())) {
                continue;
            }
            let set_aside_ms = {
                let mut term_state = self.term_state();
                term_state.avoid.insert((unit.job.clone(), incarnation.clone()), now_ms + AVOID_MS);
                term_state
                    .sessions
                    .get_mut(&incarnation.id)
                    .and_then(|session| session.record_outcome(unit.job.clone(), false, now_ms))
            };
            warn!(
                request = %unit.job, unit = %unit, run, upstream = %incarnation.id,
                still_ms = stalled_ms, percent, set_aside_ms, "run makes no progress"
            );
            self.stop_unit(&unit, run, StopCause::Hangs);
        }
    }
}

/// Returns the hanging runs, one entry for each of their upstreams.
///
/// When one member of a gang hangs, all of its members stop making progress.
pub(super) fn find_hanging_runs<'a>(
    state: &State,
    usual_max_ms: impl Fn(&Job, &StepSpec) -> u64,
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
            let limit_ms = hang_after_ms(usual_max_ms(job, step), observed);
            let over_limit = unfinished && stalled_ms > limit_ms;
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
