//! What happens to running work in a data centre that is being evacuated.
//!
//! Load pattern: a data centre with a sixth of the pool gets no more work while the others are well filled.
//! Most runs there end within seconds. Lasting tasks, and long ones that resume from a checkpoint, move to
//! capacity that nobody else waits for; the rest stay until they end.

mod consequences;
mod ramp;

use std::collections::{HashMap, HashSet};

pub(super) use consequences::hindrance;
pub(crate) use consequences::{Consequences, consequences};
pub(super) use ramp::held_back;

use super::full_steps::FullSteps;
use super::order::{WaitingUnit, as_waiting};
use super::pool::Pool;
use super::{Host, View, for_each_unit, hosts_for};
use crate::tasks::{Incarnation, Job, JobId, StepSpec, Unit, UnitId};

/// Time after which runs begin to move. An operator who has named the wrong data centre notices within a few
/// seconds, and by then little work is to have been stopped.
const MOVE_AFTER_MS: u64 = 5_000;

/// A run that ends within this time is left to do so: a move costs a stop, a start, and the work since the
/// latest checkpoint.
const LEFT_TO_FINISH_MS: u64 = 10_000;

/// A run moves only shortly after a checkpoint; one that saves none in this time would lose too much.
const UNSAVED_MAX_MS: u64 = 2_000;

/// One of this many movable runs may be on its way at once, so that they do not all stand still together.
const RUNS_PER_MOVE: usize = 8;

/// Returns the runs to stop, so that they go on in other data centres.
///
/// Called last in a decision, when `pool` has only the capacity that no waiting unit takes.
pub(super) fn runs_to_move(
    view: &View<'_>,
    pool: &mut Pool,
    full: &FullSteps,
    ending: &HashSet<(UnitId, u32)>,
) -> Vec<(UnitId, u32)> {
    let hosts = evacuated_hosts(view);
    if hosts.is_empty() {
        return Vec::new();
    }
    let Candidates { mut movable, under_way } = candidates(view, ending, &hosts);
    let moves_max = (movable.len() + under_way).div_ceil(RUNS_PER_MOVE).saturating_sub(under_way);
    movable.sort_by_key(|unit| (!unit.step.lasting, unit.id.clone()));
    let mut away = AwayTasks::default();
    let mut moves = Vec::new();
    for unit in movable {
        if moves.len() >= moves_max {
            break;
        }
        if !away.may_leave(view, &unit) {
            continue;
        }
        if let Some(task_hosts) = hosts_for(view, pool, full, &unit) {
            pool.occupy(&unit, &task_hosts);
            away.record(&unit);
            moves.push((unit.id, unit.run));
        }
    }
    moves
}

/// Returns the hosts from which runs are to move.
fn evacuated_hosts<'a>(view: &View<'a>) -> HashSet<&'a Incarnation> {
    let is_due = |host: &&Host| {
        let found = view.state.evacuations.get(&host.data_centre);
        found.is_some_and(|evacuation| {
            let lasted_ms = view.now_ms.saturating_sub(evacuation.began_ms);
            evacuation.finished_ms.is_none() && lasted_ms >= MOVE_AFTER_MS
        })
    };
    view.hosts.iter().filter(is_due).map(|host| &host.incarnation).collect()
}

/// Runs in data centres that are being evacuated.
#[derive(Default)]
struct Candidates<'a> {
    /// Runs that may move.
    movable: Vec<WaitingUnit<'a>>,
    /// Number of runs that are being stopped.
    under_way: usize,
}

fn candidates<'a>(
    view: &View<'a>,
    ending: &HashSet<(UnitId, u32)>,
    hosts: &HashSet<&Incarnation>,
) -> Candidates<'a> {
    let mut found = Candidates::default();
    for job in view.state.jobs.values().filter(|job| job.outcome.is_none()) {
        let Some(queue) = view.state.queue_of(job) else { continue };
        for_each_unit(job, |id, unit| {
            let is_there = |unit: &Unit| {
                let mut members = unit.members().iter().filter(|member| member.end.is_none());
                members.any(|member| hosts.contains(&member.incarnation))
            };
            if !is_there(unit) {
                return;
            }
            let run = (id, unit.run);
            if ending.contains(&run) || view.stopping.contains(&run) {
                found.under_way += 1;
            } else if goes_on_elsewhere(view, &job.spec.steps[run.0.step as usize], &run) {
                found.movable.push(as_waiting(view, job, queue, run.0, unit));
            }
        });
    }
    found
}

/// Returns whether a run loses little when it is stopped, and would not end soon by itself.
fn goes_on_elsewhere(view: &View<'_>, step: &StepSpec, run: &(UnitId, u32)) -> bool {
    if step.lasting {
        return true;
    }
    let Some(progress) = view.progress.get(run) else { return false };
    step.checkpoints
        && progress.left_ms > LEFT_TO_FINISH_MS
        && progress.unsaved_ms <= UNSAVED_MAX_MS
        && progress.seen_alive_ms > progress.unsaved_ms
}

/// Tasks of lasting steps with a limit that are kept from running, by job, occurrence and step.
#[derive(Default)]
struct AwayTasks(HashMap<(JobId, u32, u32), u32>);

impl AwayTasks {
    /// Returns whether one more unit of a step may be kept from running for a while.
    fn may_leave(&mut self, view: &View<'_>, unit: &WaitingUnit<'_>) -> bool {
        let Some(limit) = unit.step.away_limit else { return true };
        let count =
            || view.state.jobs.get(&unit.id.job).map_or(0, |job| count_away(view, job, unit));
        let away = *self.0.entry(key(unit)).or_insert_with(count);
        away + unit.step.unit_size() <= limit
    }

    fn record(&mut self, unit: &WaitingUnit<'_>) {
        if let Some(away) = self.0.get_mut(&key(unit)) {
            *away += unit.step.unit_size();
        }
    }
}

fn key(unit: &WaitingUnit<'_>) -> (JobId, u32, u32) {
    (unit.id.job.clone(), unit.id.occurrence, unit.id.step)
}

/// Counts the tasks of a unit's step that do not run, or will soon not run.
fn count_away(view: &View<'_>, job: &Job, unit: &WaitingUnit<'_>) -> u32 {
    let mut away = 0;
    for_each_unit(job, |id, other| {
        if (id.occurrence, id.step) == (unit.id.occurrence, unit.id.step) {
            let runs = other.is_running() && !view.stopping.contains(&(id, other.run));
            away += if runs { 0 } else { unit.step.unit_size() };
        }
    });
    away
}
