//! Units under which upstreams crash: when to give one up, and where a suspect may start.
//!
//! The crashes under its tasks tell whether a unit is a suspect (see [`crate::crashes`]). A suspect
//! starts where no other run has to prove itself, and nothing starts beside it until it has survived
//! its start: its next crash tells whose fault it is.

use super::View;
use super::order::WaitingUnit;
use crate::crashes::{
    self, Crash, SURVIVED_START_MS, Verdict, large_outage_crashes, needs_probation,
};
use crate::tasks::{Incarnation, State, TaskId, UnitId};

/// Returns the crashes under each task of a unit.
fn crashes_under<'a>(
    state: &'a State,
    unit: &UnitId,
    members: u32,
) -> impl Iterator<Item = &'a [Crash]> {
    let members = if state.crashes.is_empty() { 0 } else { members };
    (0..members).map(|member| state.crashes_of(&unit.task(member)))
}

/// Number of crashes and silent upstreams under a task after which it waits until it is known whether
/// those have crashed.
const LOSSES_TO_WAIT: usize = 3;

/// Judges a unit by the worst of its tasks.
pub(super) fn verdict(view: &View<'_>, unit: &WaitingUnit<'_>) -> Verdict {
    let upstreams = view.state.upstreams.len();
    let members = unit.step.unit_size();
    let crashes = crashes_under(view.state, &unit.id, members);
    let verdicts = crashes.map(|crashes| crashes::verdict(crashes, upstreams, view.now_ms));
    let verdict = verdicts.max().unwrap_or(Verdict::Clear);
    if waits_for_silent_upstreams(view, &unit.id, members) {
        return verdict.max(Verdict::Undecided);
    }
    verdict
}

/// Returns whether so many upstreams under some task of a unit have crashed or do not answer that
/// another start could be one too many.
fn waits_for_silent_upstreams(view: &View<'_>, unit: &UnitId, members: u32) -> bool {
    if view.state.lapsed_runs.is_empty() {
        return false;
    }
    let upstreams = view.state.upstreams.len();
    let answers = |incarnation: &Incarnation| {
        view.hosts.iter().any(|host| host.takes_work && host.incarnation == *incarnation)
    };
    let silent: Vec<_> =
        view.state.lapsed_runs.iter().filter(|(incarnation, _)| !answers(incarnation)).collect();
    (0..members).map(|member| unit.task(member)).any(|task| {
        let lost = |runs: &[(TaskId, u32)]| runs.iter().any(|(lost, _)| *lost == task);
        let silent = silent.iter().filter(|(_, runs)| lost(runs)).count();
        let crashed = crashes::count(view.state.crashes_of(&task), upstreams);
        silent > 0 && silent + crashed >= LOSSES_TO_WAIT
    })
}

/// Returns whether an upstream has crashed under some task of a unit for no known other cause.
pub(super) fn is_suspect(state: &State, unit: &UnitId, members: u32) -> bool {
    let upstreams = state.upstreams.len();
    crashes_under(state, unit, members).any(|crashes| crashes::count(crashes, upstreams) > 0)
}

/// Starts of tasks on probation, of which only some may be open at a time.
///
/// Many tasks that crash their upstreams in step look like a large outage. If only a few of them
/// start together, they no longer do.
#[derive(Debug)]
pub(super) struct Probation {
    remaining: usize,
}

impl Probation {
    /// Counts the starts that are open already.
    pub(super) fn new(view: &View<'_>) -> Self {
        let upstreams = view.state.upstreams.len();
        let suspects = view.state.crashes.subjects();
        let on_probation = suspects.filter(|(_, crashes)| needs_probation(crashes, upstreams));
        let open = on_probation.filter(|(task, _)| is_starting(view, task));
        let limit = large_outage_crashes(upstreams) / 2;
        Self { remaining: limit.max(1).saturating_sub(open.count()) }
    }

    /// Returns whether a unit may start now.
    pub(super) fn admits(&self, view: &View<'_>, unit: &WaitingUnit<'_>) -> bool {
        self.remaining > 0 || !is_on_probation(view, unit)
    }

    /// Counts the start of a unit.
    pub(super) fn start(&mut self, view: &View<'_>, unit: &WaitingUnit<'_>) {
        if is_on_probation(view, unit) {
            self.remaining = self.remaining.saturating_sub(1);
        }
    }
}

fn is_on_probation(view: &View<'_>, unit: &WaitingUnit<'_>) -> bool {
    let upstreams = view.state.upstreams.len();
    crashes_under(view.state, &unit.id, unit.step.unit_size())
        .any(|crashes| needs_probation(crashes, upstreams))
}

/// Returns whether a task runs and has not survived its start yet.
fn is_starting(view: &View<'_>, task: &TaskId) -> bool {
    let Some((_, unit, member)) = view.state.find_task(task) else { return false };
    let id = UnitId {
        job: task.job.clone(),
        occurrence: task.occurrence,
        step: task.step,
        unit: task.index - member,
    };
    unit.is_running() && !survived_start(view, &id, unit.run)
}

/// Returns whether a run has been seen alive for long enough after its start.
pub(super) fn survived_start(view: &View<'_>, unit: &UnitId, run: u32) -> bool {
    let progress = view.progress.get(&(unit.clone(), run));
    progress.is_some_and(|progress| progress.seen_alive_ms >= SURVIVED_START_MS)
}
