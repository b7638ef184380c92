//! Units under which upstreams crash: when to give one up, and where a suspect may start.
//!
//! The crashes under its tasks tell whether a unit is a suspect (see [`crate::crashes`]). A suspect
//! starts where no other run has to prove itself, and nothing starts beside it until it has survived
//! its start: its next crash tells whose fault it is.

use std::collections::{HashMap, HashSet};

use super::View;
use super::order::WaitingUnit;
use crate::crashes::{
    self, Crash, SURVIVED_START_MS, Verdict, large_outage_crashes, needs_probation,
};
use crate::tasks::{Incarnation, State, TaskId, UnitId};

/// Number of crashes and silent upstreams under a task after which it waits until it is known whether
/// those have crashed.
const LOSSES_TO_WAIT: usize = 3;

/// Returns the crashes under each task of a unit.
fn crashes_under<'a>(
    state: &'a State,
    unit: &UnitId,
    members: u32,
) -> impl Iterator<Item = &'a [Crash]> {
    let members = if state.crashes.is_empty() { 0 } else { members };
    (0..members).map(|member| state.crashes_of(&unit.task(member)))
}

/// Upstreams that do not answer, counted for each task that they may have run. It is not known yet
/// whether they have crashed.
#[derive(Debug, Default)]
pub(super) struct SilentUpstreams {
    by_task: HashMap<TaskId, usize>,
}

impl SilentUpstreams {
    pub(super) fn new(view: &View<'_>) -> Self {
        let mut silent = Self::default();
        if view.state.lapsed_runs.is_empty() {
            return silent;
        }
        let answering = view.hosts.iter().filter(|host| host.takes_work);
        let answering: HashSet<&Incarnation> = answering.map(|host| &host.incarnation).collect();
        for (incarnation, runs) in &view.state.lapsed_runs {
            if answering.contains(incarnation) {
                continue;
            }
            for (task, _) in runs {
                *silent.by_task.entry(task.clone()).or_default() += 1;
            }
        }
        silent
    }

    /// Returns whether so many upstreams under some task of a unit have crashed or do not answer that
    /// another start could be one too many.
    fn defer(&self, view: &View<'_>, unit: &UnitId, members: u32) -> bool {
        if self.by_task.is_empty() {
            return false;
        }
        let upstreams = view.state.upstreams.len();
        (0..members).map(|member| unit.task(member)).any(|task| {
            let crashed = crashes::count(view.state.crashes_of(&task), upstreams);
            self.by_task.get(&task).is_some_and(|silent| silent + crashed >= LOSSES_TO_WAIT)
        })
    }
}

/// Judges a unit by the worst of its tasks.
pub(super) fn verdict(
    view: &View<'_>,
    silent: &SilentUpstreams,
    unit: &WaitingUnit<'_>,
) -> Verdict {
    let upstreams = view.state.upstreams.len();
    let members = unit.step.unit_size();
    let crashes = crashes_under(view.state, &unit.id, members);
    let verdicts = crashes.map(|crashes| crashes::verdict(crashes, upstreams, view.now_ms));
    let verdict = verdicts.max().unwrap_or(Verdict::Clear);
    if silent.defer(view, &unit.id, members) { verdict.max(Verdict::Undecided) } else { verdict }
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
