//! Tasks under which upstreams crash: when to give one up, and where a suspect may start.
//!
//! A task may crash each upstream that starts it; then it crashes one after the other, with all that
//! runs beside it. But upstreams also crash in an outage, because they are unstable, or because of a
//! neighbour. So a crash counts as proof only if the task had just started there and nothing else
//! explains it. A suspect starts where no other run has to prove itself, and nothing starts beside it
//! until it has survived its start: its next crash tells whose fault it is.

use super::View;
use super::order::WaitingUnit;
use crate::tasks::{OUTAGE_SPREAD_MS, SURVIVED_START_MS, State, TaskCrash, TaskId, UnitId};

/// Number of crashes that prove a task's fault after which it is given up.
const PROOFS_TO_GIVE_UP: usize = 2;

/// Number of crashes that point at a task after which it is given up.
const CRASHES_TO_GIVE_UP: usize = 4;

/// Number of starts that ended in a crash after which a task is given up, if some crash that points
/// at it was no part of a large outage.
const STARTS_TO_GIVE_UP: usize = 5;

/// Crashes of other upstreams at the same time that make an outage, at least.
const OUTAGE_CRASHES_MIN: usize = 3;

/// Share of all upstreams that crash together in an outage.
const OUTAGE_SHARE_PERCENT: usize = 5;

/// Share of all upstreams that crash together in a large outage.
const LARGE_OUTAGE_SHARE_PERCENT: usize = 20;

/// Number of crashes hidden by large outages after which a task starts on probation.
const HIDDEN_TO_PROBATION: usize = 2;

/// Returns the number of crashes elsewhere that make an outage of a given share of all upstreams.
fn outage_crashes(upstreams: usize, share_percent: usize) -> usize {
    OUTAGE_CRASHES_MIN.max(upstreams * share_percent / 100)
}

/// What a crash says about a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// The task caused it.
    Proof,
    /// The task may have caused it.
    Hint,
    /// The task had just started, and a large outage has hidden the cause.
    Hidden,
    /// It has another cause.
    None,
}

impl Evidence {
    fn of(crash: &TaskCrash, upstreams: usize) -> Self {
        let is_share = |crashes: u32, share_percent: usize| {
            crashes as usize >= outage_crashes(upstreams, share_percent)
        };
        // Several tasks may crash their upstreams at the same time, which is no outage.
        let in_outage = is_share(crash.elsewhere.unexplained, OUTAGE_SHARE_PERCENT);
        let in_large_outage = is_share(crash.elsewhere.crashes, LARGE_OUTAGE_SHARE_PERCENT);
        let excused =
            in_outage || in_large_outage || crash.upstream_unstable || crash.others_suspect;
        match (crash.survived_start, excused) {
            (true, true) => Self::None,
            (false, true) if in_large_outage => Self::Hidden,
            (false, false) if crash.started => Self::Proof,
            _ => Self::Hint,
        }
    }

    fn counts(self) -> bool {
        matches!(self, Self::Proof | Self::Hint)
    }
}

/// What follows from the crashes under the tasks of a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    Clear,
    Suspect,
    /// It would be given up, but the latest crash may still turn out to be part of an outage.
    Undecided,
    GivenUp,
}

impl Verdict {
    pub(super) fn of(view: &View<'_>, unit: &WaitingUnit<'_>) -> Self {
        if !view.state.has_task_crashes() {
            return Self::Clear;
        }
        let tasks = (0..unit.step.unit_size()).map(|member| unit.id.task(member));
        let verdicts = tasks.map(|task| {
            let crashes = view.state.crashes_of(&task);
            Self::of_task(crashes, view.state.upstreams.len(), view.now_ms)
        });
        verdicts.max_by_key(|verdict| *verdict as u8).unwrap_or(Self::Clear)
    }

    fn of_task(crashes: &[TaskCrash], upstreams: usize, now_ms: u64) -> Self {
        let evidence = || crashes.iter().map(|crash| Evidence::of(crash, upstreams));
        let proofs = evidence().filter(|evidence| *evidence == Evidence::Proof).count();
        let hints = evidence().filter(|evidence| *evidence == Evidence::Hint).count();
        let hidden = evidence().filter(|evidence| *evidence == Evidence::Hidden).count();
        let counted = proofs + hints;
        if counted == 0 {
            return Self::Clear;
        }
        let is_proved = proofs >= PROOFS_TO_GIVE_UP
            || counted >= CRASHES_TO_GIVE_UP
            || counted + hidden >= STARTS_TO_GIVE_UP;
        if !is_proved {
            return Self::Suspect;
        }
        let latest_ms = crashes.iter().map(|crash| crash.at_ms).max().unwrap_or(0);
        if now_ms.saturating_sub(latest_ms) <= OUTAGE_SPREAD_MS {
            Self::Undecided
        } else {
            Self::GivenUp
        }
    }
}

/// Returns whether an upstream has crashed under some task of a unit for no known other cause.
pub(super) fn is_suspect(state: &State, unit: &UnitId, members: u32) -> bool {
    let upstreams = state.upstreams.len();
    let mut crashes = (0..members).flat_map(|member| state.crashes_of(&unit.task(member)));
    state.has_task_crashes() && crashes.any(|crash| Evidence::of(crash, upstreams).counts())
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
        let suspects = view.state.crashed_tasks();
        let on_probation = suspects.filter(|(_, crashes)| needs_probation(crashes, upstreams));
        let open = on_probation.filter(|(task, _)| is_starting(view, task));
        let limit = outage_crashes(upstreams, LARGE_OUTAGE_SHARE_PERCENT) / 2;
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
    let mut tasks = (0..unit.step.unit_size()).map(|member| unit.id.task(member));
    view.state.has_task_crashes()
        && tasks.any(|task| needs_probation(view.state.crashes_of(&task), upstreams))
}

fn needs_probation(crashes: &[TaskCrash], upstreams: usize) -> bool {
    let evidence = crashes.iter().map(|crash| Evidence::of(crash, upstreams));
    evidence.filter(|evidence| *evidence == Evidence::Hidden).count() >= HIDDEN_TO_PROBATION
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
