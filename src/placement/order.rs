//! The order in which waiting units are placed.
//!
//! When more work arrives than the pool can do, first come first served makes every job late.
//! Instead, jobs that can still be on time go before those that can only be late, and jobs whose
//! result would come too late to be of use go last.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::View;
use super::shares::{Excess, ShareFigures, ShareId, Shares};
use super::stop_costs::Slack;
use super::suspects::is_suspect;
use crate::tasks::{
    Configuration, Job, JobId, JobSpec, Phase, Queue, Resources, StepSpec, Unit, UnitId, Usage,
};

/// Whether a job can still be finished when its caller needs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timeliness {
    OnTime,
    /// Misses its objective, but the result is still of use.
    Late,
    /// The result would come too late to be of use.
    Expired,
}

/// Class of work that is ordered before the priority of its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Band {
    /// Priority 0 within a guarantee: each job must start within a bound, late or not.
    Guaranteed,
    /// Priority 0 beyond the guarantee.
    Urgent,
    /// Tasks that run until they are cancelled: while one does not run, its service is missing.
    Lasting,
    Other,
}

impl Band {
    fn of(queue: &Queue, step: &StepSpec, is_covered: bool) -> Self {
        match (queue.priority, step.lasting) {
            _ if is_covered => Self::Guaranteed,
            (0, _) => Self::Urgent,
            (_, true) => Self::Lasting,
            (_, false) => Self::Other,
        }
    }

    /// Returns whether units of this band are placed first come first served, late or not.
    fn is_fifo(self) -> bool {
        matches!(self, Self::Guaranteed | Self::Lasting)
    }
}

/// Sort key of a waiting unit; lower ones are placed first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    band: Band,
    priority: u32,
    timeliness: Timeliness,
    /// Steps of started jobs go first, since a job that is half done is of no use.
    job_not_started: bool,
    /// How far its organisation is beyond its fair part of a scarce capacity without it.
    excess: Excess,
    /// When its job was accepted, or when the lasting task last began to wait.
    since_ms: u64,
    id: UnitId,
}

/// A unit that waits and is ready to run.
#[derive(Debug)]
pub(super) struct WaitingUnit<'a> {
    pub(super) id: UnitId,
    pub(super) step: &'a StepSpec,
    pub(super) queue: &'a Queue,
    pub(super) run: u32,
    pub(super) rank: Rank,
    /// Absent if it does not wait yet.
    share: Option<ShareId>,
    pub(super) may_preempt: bool,
    /// Whether a guarantee covers its job.
    pub(super) is_covered: bool,
    /// How much later than now it may start.
    pub(super) slack: Slack,
    pub(super) waited_ms: u64,
    /// Whether upstreams have crashed under it for no known other cause.
    pub(super) is_suspect: bool,
}

impl WaitingUnit<'_> {
    /// Returns whether its result would come too late to be of use.
    pub(super) const fn is_expired(&self) -> bool {
        self.slack.useful_ms.is_none()
    }
}

/// A result is of use until this multiple of the job's objective.
pub(crate) const USEFUL_OBJECTIVE_FACTOR: u64 = 3;

/// Returns the length of the critical path through the steps, by the given run times.
pub(crate) fn critical_path_ms(spec: &JobSpec, run_ms: impl Fn(&StepSpec) -> u64) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for step in &spec.steps {
        let start_ms = step.after.iter().map(|before| ends[*before as usize]).max().unwrap_or(0);
        ends.push(start_ms + run_ms(step));
    }
    ends.into_iter().max().unwrap_or(0)
}

/// Returns the time within which a job of the queue should be completed.
pub(crate) fn objective_ms(queue: &Queue, critical_path_ms: u64) -> u64 {
    (critical_path_ms.saturating_mul(queue.slack_permille) / 1_000).saturating_add(queue.target_ms)
}

/// Returns the units that are ready to run, in the order in which they are placed, and what the
/// organisations have.
pub(super) fn ordered_units<'a>(view: &View<'a>) -> (Vec<WaitingUnit<'a>>, Vec<ShareFigures>) {
    let mut shares = Shares::of(view);
    let mut waiting = waiting_units(view, &mut shares);
    waiting.sort_unstable_by(|a, b| a.rank.cmp(&b.rank));
    for unit in waiting.iter().filter(|unit| unit.rank.has_share()) {
        if let Some(share) = unit.share {
            shares.add_demand(share, unit.queue.priority, unit.need());
        }
    }
    let mut filling = shares.fill();
    let figures = filling.figures();
    if !filling.is_scarce() {
        return (waiting, figures);
    }
    for unit in waiting.iter_mut().filter(|unit| unit.rank.has_share()) {
        if let Some(share) = unit.share {
            unit.rank.excess = filling.take(share, unit.queue.priority, unit.need());
        }
    }
    // Within a class, the order of the units is kept, so that only this key need be compared.
    for class in waiting.chunk_by_mut(|a, b| a.rank.class() == b.rank.class()) {
        class.sort_by_key(|unit| unit.rank.excess);
    }
    (waiting, figures)
}

/// Place of a job in the order of waiting work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Standing {
    /// Place of its first waiting unit, from 1.
    pub(crate) place: usize,
    /// Number of units that wait.
    pub(crate) waiting: usize,
    /// Whether its organisation has its fair part without that unit.
    pub(crate) beyond_share: bool,
    pub(crate) share: Option<ShareFigures>,
}

/// Returns the place of a job in the order; `None` if none of its units is ready and waits.
pub(crate) fn standing(view: &View<'_>, job: &Job) -> Option<Standing> {
    let (waiting, figures) = ordered_units(view);
    let first = waiting.iter().position(|unit| unit.id.job == job.id)?;
    let unit = &waiting[first];
    let organisation = job.organisation.as_deref().unwrap_or_default();
    let of_job = |figures: &ShareFigures| {
        *figures.organisation == *organisation && figures.service == unit.queue.service
    };
    Some(Standing {
        place: first + 1,
        waiting: waiting.len(),
        beyond_share: unit.rank.excess > Excess::None,
        share: figures.into_iter().find(of_job),
    })
}

/// Returns the open jobs of priority 0 that the guarantees of their organisations cover, older jobs first.
pub(super) fn covered_jobs<'a>(view: &View<'a>) -> HashSet<&'a JobId> {
    let Some(configuration) = &view.state.configuration else { return HashSet::new() };
    let is_urgent = |job: &&Job| {
        job.outcome.is_none() && view.state.queue_of(job).is_some_and(|queue| queue.priority == 0)
    };
    let mut urgent: Vec<&Job> = view.state.jobs.values().filter(is_urgent).collect();
    urgent.sort_by_key(|job| job.accepted_ms);
    let mut guarantees = Guarantees::of(configuration);
    urgent.into_iter().filter(|job| guarantees.try_claim(job)).map(|job| &job.id).collect()
}

/// Returns the units that are ready to run, in no particular order.
fn waiting_units<'a>(view: &View<'a>, shares: &mut Shares) -> Vec<WaitingUnit<'a>> {
    let public = Arc::default();
    if view.state.configuration.is_none() {
        return Vec::new();
    }
    let covered = covered_jobs(view);
    let mut waiting = Vec::new();
    for job in view.state.jobs.values().filter(|job| job.outcome.is_none()) {
        let Some(queue) = view.state.queue_of(job) else { continue };
        let is_covered = covered.contains(&job.id);
        let due = |occurrence| job.spec.due_unix_ms(occurrence) <= view.unix_ms;
        for (occurrence, steps) in job.occurrences.iter().filter(|(number, _)| due(*number)) {
            let slack = slack(view, job, queue, occurrence);
            let organisation = job.organisation.as_ref().unwrap_or(&public);
            let share = Some(shares.id(view, &queue.service, organisation));
            let turn = Turn { job, queue, is_covered, slack, timeliness: slack.into(), share };
            for (number, state) in (0_u32..).zip(steps) {
                if !job.is_ready(steps, number as usize) {
                    continue;
                }
                let waits = |(_, unit): &(u32, &Unit)| unit.phase == Phase::Waiting;
                for (unit_number, unit) in (0_u32..).zip(&state.units).filter(waits) {
                    let job = job.id.clone();
                    let id = UnitId { job, occurrence, step: number, unit: unit_number };
                    waiting.push(turn.waiting_unit(view, id, unit));
                }
            }
        }
    }
    waiting
}

/// Describes a running unit as it will wait once it is stopped.
pub(super) fn as_waiting<'a>(
    view: &View<'_>,
    job: &'a Job,
    queue: &'a Queue,
    id: UnitId,
    unit: &Unit,
) -> WaitingUnit<'a> {
    let slack = slack(view, job, queue, id.occurrence);
    let timeliness = slack.into();
    let turn = Turn { job, queue, is_covered: false, slack, timeliness, share: None };
    WaitingUnit { waited_ms: 0, ..turn.waiting_unit(view, id, unit) }
}

/// What decides when the units of a job's occurrence have their turn.
struct Turn<'a> {
    job: &'a Job,
    queue: &'a Queue,
    /// Whether the guarantee of its organisation covers the job.
    is_covered: bool,
    slack: Slack,
    timeliness: Timeliness,
    share: Option<ShareId>,
}

impl Rank {
    /// Returns whether the unit is subject to fair shares: neither first come first served, nor too
    /// late to be of use.
    fn has_share(&self) -> bool {
        !self.band.is_fifo() && self.timeliness != Timeliness::Expired
    }

    /// Returns the part of the key that goes before fair shares.
    fn class(&self) -> (Band, u32, Timeliness, bool) {
        (self.band, self.priority, self.timeliness, self.job_not_started)
    }
}

impl WaitingUnit<'_> {
    fn need(&self) -> Usage {
        Usage::of(&self.step.reserved()).times(self.step.unit_size().into())
    }
}

impl<'a> Turn<'a> {
    fn waiting_unit(&self, view: &View<'_>, id: UnitId, unit: &Unit) -> WaitingUnit<'a> {
        let Self { job, queue, is_covered, slack, timeliness, share } = *self;
        let step = &job.spec.steps[id.step as usize];
        // By waiting time, so that no preempted lasting task waits much longer than others.
        let since_ms = if step.lasting { unit.waiting_since_ms } else { job.accepted_ms };
        let band = Band::of(queue, step, is_covered);
        let is_fifo = band.is_fifo();
        let rank = Rank {
            band,
            priority: queue.priority,
            timeliness: if is_fifo { Timeliness::OnTime } else { timeliness },
            job_not_started: !is_fifo && !job.is_under_way(),
            excess: Excess::None,
            since_ms,
            id: id.clone(),
        };
        let is_suspect = is_suspect(view.state, &id, step.unit_size());
        WaitingUnit {
            id,
            step,
            queue,
            run: unit.run,
            rank,
            share,
            may_preempt: queue.priority == 0 && timeliness != Timeliness::Expired || is_covered,
            is_covered,
            slack,
            waited_ms: view.now_ms.saturating_sub(unit.waiting_since_ms),
            is_suspect,
        }
    }
}

/// Returns how much later than now the open steps of a job's occurrence may start.
fn slack(view: &View<'_>, job: &Job, queue: &Queue, occurrence: u32) -> Slack {
    if job.spec.is_lasting() {
        return Slack::UNLIMITED;
    }
    let objective_ms = objective_ms(queue, view.critical_path_ms(queue, &job.spec));
    let age_ms = match job.spec.due_unix_ms(occurrence) {
        0 => view.now_ms.saturating_sub(job.accepted_ms),
        due_unix_ms => view.unix_ms.saturating_sub(due_unix_ms),
    };
    let expected_ms = age_ms + remaining_critical_path_ms(view, job, queue, occurrence);
    let useful_ms = objective_ms.saturating_mul(USEFUL_OBJECTIVE_FACTOR);
    Slack {
        on_time_ms: objective_ms.checked_sub(expected_ms),
        useful_ms: useful_ms.checked_sub(expected_ms),
    }
}

impl From<Slack> for Timeliness {
    fn from(slack: Slack) -> Self {
        match slack {
            Slack { on_time_ms: Some(_), .. } => Self::OnTime,
            Slack { useful_ms: Some(_), .. } => Self::Late,
            _ => Self::Expired,
        }
    }
}

/// Returns whether the result of a job's occurrence can still be of use to its caller.
pub(super) fn is_of_use(view: &View<'_>, job: &Job, queue: &Queue, occurrence: u32) -> bool {
    slack(view, job, queue, occurrence).useful_ms.is_some()
}

/// Returns the time after which a job's result is of no use to its caller.
pub(super) fn useful_ms(view: &View<'_>, queue: &Queue, spec: &JobSpec) -> u64 {
    let critical_path_ms = view.critical_path_ms(queue, spec);
    objective_ms(queue, critical_path_ms).saturating_mul(USEFUL_OBJECTIVE_FACTOR)
}

/// Returns whether the guarantee of an organisation covers one more job of priority 0.
pub(super) fn is_covered(view: &View<'_>, organisation: Option<&str>, spec: &JobSpec) -> bool {
    let (Some(organisation), Some(configuration)) = (organisation, &view.state.configuration)
    else {
        return false;
    };
    let found = configuration.organisations.iter().find(|known| *known.name == *organisation);
    let Some(guaranteed) = found.map(|found| found.guaranteed.accelerators) else { return false };
    let is_urgent = |job: &&Job| {
        let of_organisation = job.organisation.as_deref() == Some(organisation);
        let open = job.outcome.is_none();
        open && of_organisation && view.state.queue_of(job).is_some_and(|q| q.priority == 0)
    };
    let open = view.state.jobs.values().filter(is_urgent);
    let claimed: u64 = open.map(|job| u64::from(open_steps_resources(job).accelerators)).sum();
    claimed + spec.accelerators() <= u64::from(guaranteed)
}

/// Returns the length of the critical path through the steps that are not done.
fn remaining_critical_path_ms(view: &View<'_>, job: &Job, queue: &Queue, occurrence: u32) -> u64 {
    let steps = job.occurrences.get(occurrence).unwrap_or_default();
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for (spec, state) in job.spec.steps.iter().zip(steps) {
        let start_ms = spec.after.iter().map(|before| ends[*before as usize]).max().unwrap_or(0);
        let step_ms = if state.open_units == 0 { 0 } else { view.expected_run_ms(queue, spec) };
        ends.push(start_ms + step_ms);
    }
    ends.into_iter().max().unwrap_or(0)
}

/// Accelerators that each organisation may still claim under its guarantee.
struct Guarantees {
    remaining_accelerators: HashMap<Arc<str>, u32>,
}

impl Guarantees {
    fn of(configuration: &Configuration) -> Self {
        let organisations = configuration.organisations.iter();
        let remaining_accelerators =
            organisations.map(|org| (Arc::clone(&org.name), org.guaranteed.accelerators)).collect();
        Self { remaining_accelerators }
    }

    /// Claims the accelerators of a job and returns whether the guarantee covers them.
    ///
    /// Called for older jobs first, so that these are covered first.
    fn try_claim(&mut self, job: &Job) -> bool {
        let Some(organisation) = &job.organisation else { return false };
        let Some(remaining) = self.remaining_accelerators.get_mut(organisation) else {
            return false;
        };
        let needed = open_steps_resources(job).accelerators;
        let covered = needed <= *remaining;
        if covered {
            *remaining -= needed;
        }
        covered
    }
}

/// Returns the resources that all open steps of a job need if they run at the same time.
fn open_steps_resources(job: &Job) -> Resources {
    let mut all = Resources::default();
    let steps = job.occurrences.iter().flat_map(|(_, steps)| job.spec.steps.iter().zip(steps));
    for (spec, state) in steps {
        if state.open_units > 0 {
            for _ in 0..state.open_units * spec.unit_size() {
                all.add(&spec.need);
            }
        }
    }
    all
}
