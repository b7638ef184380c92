//! Pure decisions on waiting work: its order, where it runs, and what makes room for it.
//!
//! [`plan`] sees the replicated state and what the leader knows of the upstreams, and returns the
//! runs to start and to stop. It does no input or output and reads no clock.

mod admission;
mod approvals;
mod headroom;
mod order;
mod pacing;
mod pool;
mod preemption;
mod room;
mod rotation;
#[cfg(test)]
mod tests;
mod upkeep;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::tasks::{Job, JobId, Life, Outcome, Resources, StartRecord, State, StepSpec, UnitId};

pub(crate) use admission::{Admission, admit};
pub(crate) use approvals::{Approvals, Question, StepId, without_asked};
pub(crate) use headroom::{Headroom, urgent_demand};
use order::{Waiting, waiting_units};
pub(crate) use order::{objective_ms, work_chain_ms};
pub(crate) use pacing::next_pace;
use pool::Pool;
use preemption::Victims;
use rotation::Rotation;
pub(crate) use upkeep::{Candidate, open_places, order as order_candidates, patience_ms};

/// What the leader knows of one upstream.
#[derive(Debug, Clone)]
pub(crate) struct Host {
    pub(crate) life: Life,
    pub(crate) service: Arc<str>,
    pub(crate) rack: Arc<str>,
    pub(crate) labels: Vec<Arc<str>>,
    pub(crate) capacity: Resources,
    /// In touch, not draining and not set aside.
    pub(crate) takes_work: bool,
}

/// What the leader has seen of a run.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Progress {
    /// Work that a stop would lose, in milliseconds.
    pub(crate) unsaved_ms: u64,
}

/// Everything that a decision depends on.
#[derive(Debug)]
pub(crate) struct View<'a> {
    pub(crate) state: &'a State,
    pub(crate) hosts: &'a [Host],
    /// Cluster time.
    pub(crate) now_ms: u64,
    /// Time of day, for jobs with times.
    pub(crate) unix_ms: u64,
    /// Runs that were told to stop and whose end is not known yet.
    pub(crate) stopping: &'a HashSet<(UnitId, u32)>,
    pub(crate) progress: &'a HashMap<(UnitId, u32), Progress>,
    /// Upstreams on which a unit should not be tried again soon.
    pub(crate) avoid: &'a HashSet<(JobId, Life)>,
    /// Approvals for queues that need them.
    pub(crate) approvals: &'a Approvals,
    /// Capacity that only the first priority may take, in thousandths of a host.
    pub(crate) reserve_millihosts: u64,
}

/// What should be done now.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    pub(crate) starts: Vec<StartRecord>,
    /// Runs to stop, with the cause.
    pub(crate) stops: Vec<(UnitId, u32, StopCause)>,
    /// Questions without whose answer a unit cannot be placed.
    pub(crate) questions: Vec<Question>,
    /// Units that wait although their turn has come.
    pub(crate) unplaced: usize,
}

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum StopCause {
    /// Its job has ended.
    #[display("job ended")]
    JobEnded,
    /// Another member of its gang is over.
    #[display("gang broken")]
    GangBroken,
    /// Work of a higher priority needs its place.
    #[display("preempted")]
    Preempted,
    /// Another lasting task that has waited for long replaces it.
    #[display("rotated")]
    Rotated,
    /// Its host goes down for maintenance.
    #[display("maintenance")]
    Maintenance,
    /// It makes no progress.
    #[display("hangs")]
    Hangs,
}

/// Decides what to start and stop.
pub(crate) fn plan(view: &View<'_>) -> Plan {
    let stops = stops_of_ended(view);
    let ending: HashSet<_> = stops.iter().map(|(unit, run, _)| (unit.clone(), *run)).collect();
    let victims = Victims::of(view, &ending);
    let mut decision = Decision {
        pool: Pool::of(view, &ending),
        rotation: Rotation::of(&victims),
        victims,
        plan: Plan { stops, ..Plan::default() },
    };
    let mut waiting = waiting_units(view);
    waiting.sort_by(|a, b| a.rank.cmp(&b.rank));
    for unit in &waiting {
        decision.place(view, unit);
    }
    decision.plan
}

/// A plan in the making, and what it leaves for the units behind.
struct Decision {
    pool: Pool,
    victims: Victims,
    rotation: Rotation,
    plan: Plan,
}

impl Decision {
    /// Starts a unit if there is room, or makes room for it if it may displace others.
    fn place(&mut self, view: &View<'_>, unit: &Waiting<'_>) {
        let Self { pool, victims, rotation, plan } = self;
        let exempt = unit.queue.priority == 0 || unit.step.lasting;
        let within_limit = exempt || pool.leaves_reserve(view, unit);
        if within_limit && let Some(places) = room::find(view, pool, unit) {
            let lives = places.iter().map(|host| view.hosts[*host].life.clone()).collect();
            pool.take(unit, &places);
            plan.starts.push(StartRecord { unit: unit.id.clone(), run: unit.run + 1, lives });
            return;
        }
        plan.unplaced += 1;
        ask_for_approvals(view, pool, unit, plan);
        if unit.may_preempt {
            let stops = preemption::make_room(view, pool, victims, unit);
            plan.stops.extend(stops.into_iter().map(|(id, run)| (id, run, StopCause::Preempted)));
        } else if let Some((id, run)) = rotation.replace(view, pool, victims, unit) {
            plan.stops.push((id, run, StopCause::Rotated));
        }
    }
}

/// Stops what runs for a job that has ended, and what is left of a broken gang.
fn stops_of_ended(view: &View<'_>) -> Vec<(UnitId, u32, StopCause)> {
    let mut stops = Vec::new();
    for job in view.state.jobs.values() {
        for_each_unit(job, |id, unit| {
            let members = unit.members();
            if members.iter().all(|member| member.end.is_some()) {
                return;
            }
            if job.outcome.is_some_and(|outcome| outcome != Outcome::Completed) {
                stops.push((id, unit.run, StopCause::JobEnded));
            } else if !unit.finished && members.iter().any(|member| member.end.is_some()) {
                stops.push((id, unit.run, StopCause::GangBroken));
            }
        });
    }
    stops
}

/// Visits the units of a job.
pub(crate) fn for_each_unit(job: &Job, mut visit: impl FnMut(UnitId, &crate::tasks::Unit)) {
    for (occurrence, steps) in (0_u32..).zip(&job.occurrences) {
        for (step, state) in (0_u32..).zip(steps) {
            for (number, unit) in (0_u32..).zip(&state.units) {
                let id = UnitId { job: job.id.clone(), occurrence, step, unit: number };
                visit(id, unit);
            }
        }
    }
}

/// Asks about further upstreams if the unit's queue needs approvals.
fn ask_for_approvals(view: &View<'_>, pool: &Pool, unit: &Waiting<'_>, plan: &mut Plan) {
    let Some(advice) = unit.queue.advice else { return };
    let step = StepId::of(&unit.id);
    if plan.questions.iter().any(|question| question.step == step) {
        return;
    }
    let about = (unit.step, &*unit.queue.service, advice.valid_ms);
    plan.questions.extend(approvals::question(view, &pool.free, &unit.id, about));
}

/// Tells whether a host may run tasks of a step at all.
fn is_eligible(host: &Host, step: &StepSpec, service: &str) -> bool {
    let labelled = step.label.as_ref().is_none_or(|label| host.labels.contains(label));
    *host.service == *service && labelled
}
