//! Placement decisions: the order in which waiting work starts, its hosts, and what it preempts.
//!
//! [`plan`] is a pure function of the replicated state and the leader's view of the upstreams. It
//! returns the runs to start and to stop, does no I/O and reads no clock.

mod admission;
mod approvals;
mod departure;
mod drain;
mod evacuation;
mod forecast;
mod free_capacity;
mod full_steps;
mod headroom;
mod learned;
mod memory;
mod openings;
mod order;
mod pacing;
mod pool;
mod preemption;
mod preference;
mod progress;
mod room;
mod rotation;
mod shares;
mod stop_costs;
mod stop_set;
mod suspects;
#[cfg(test)]
mod tests;
mod upkeep;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::crashes::Verdict;
use crate::tasks::{
    Incarnation, Job, JobId, JobSpec, Opening, Outcome, Queue, Resources, StartRecord, State,
    StepSpec, UnitId, Upstream,
};

pub(crate) use admission::{Admission, Admissions};
pub(crate) use approvals::{ApprovalRequest, Approvals, StepId, without_pending};
pub(crate) use departure::must_move;
use drain::Drains;
pub(crate) use evacuation::{Consequences, consequences};
use full_steps::FullSteps;
pub(crate) use headroom::{Headroom, urgent_demand};
pub use learned::Feeds;
pub(crate) use learned::{Kind, Learned, ListRead, ListedProgress, Observer, SpellChange};
pub(crate) use memory::jobs_to_shrink;
pub(crate) use order::{USEFUL_OBJECTIVE_FACTOR, critical_path_ms, objective_ms, standing};
use order::{WaitingUnit, ordered_units};
pub(crate) use pacing::next_pace;
use pool::Pool;
use preemption::Victims;
pub(crate) use progress::{Progress, Reports, estimated_left_ms};
use rotation::Rotation;
pub(crate) use shares::ShareFigures;
use suspects::{Probation, SilentUpstreams};
pub(crate) use upkeep::{Candidate, evacuation_limit_ms, free_wave_slots, order_candidates};

/// An upstream as a host for tasks.
#[derive(Debug, Clone)]
pub(crate) struct Host {
    pub(crate) incarnation: Incarnation,
    pub(crate) service: Arc<str>,
    pub(crate) rack: Arc<str>,
    pub(crate) data_centre: Arc<str>,
    pub(crate) labels: Vec<Arc<str>>,
    pub(crate) capacity: Resources,
    /// Whether it may get new work: reachable, not draining, not set aside and not evacuated.
    pub(crate) takes_work: bool,
    /// Whether it is slow for a while, as after its start.
    pub(crate) is_cold: bool,
}

impl Host {
    /// Describes a registered upstream; none takes work whose data centre is being evacuated.
    pub(crate) fn of(state: &State, upstream: &Upstream, takes_work: bool) -> Self {
        let heartbeat = &upstream.heartbeat;
        Self {
            incarnation: upstream.incarnation(),
            service: Arc::clone(&heartbeat.service),
            rack: Arc::clone(&heartbeat.rack),
            data_centre: Arc::clone(&heartbeat.data_centre),
            labels: heartbeat.labels.clone(),
            capacity: heartbeat.capacity,
            takes_work: takes_work && !state.evacuations.is_active(&heartbeat.data_centre),
            is_cold: false,
        }
    }
}

/// Input of a placement decision.
#[derive(Debug)]
pub(crate) struct View<'a> {
    pub(crate) state: &'a State,
    pub(crate) hosts: &'a [Host],
    /// Cluster time.
    pub(crate) now_ms: u64,
    /// Wall-clock time, for jobs that are due at given times.
    pub(crate) unix_ms: u64,
    /// Runs that were ordered to stop and have not ended yet.
    pub(crate) stopping: &'a HashSet<(UnitId, u32)>,
    pub(crate) progress: &'a HashMap<(UnitId, u32), Progress>,
    /// Upstreams on which a job must not run for now, since it made no progress there.
    pub(crate) avoid: &'a HashSet<(JobId, Incarnation)>,
    /// Approvals received for queues that need them.
    pub(crate) approvals: &'a Approvals,
    /// What runs have shown of upstreams and of work.
    pub(crate) learned: &'a Learned,
    /// Capacity reserved for jobs of priority 0, in thousandths of a host.
    pub(crate) reserve_millihosts: u64,
    /// Time from the order to stop a run until its capacity is listed as free.
    pub(crate) stop_ms: u64,
    /// Whether urgent units without a guarantee wait for capacity that becomes free by itself, and stop
    /// runs only if that pays off.
    pub(crate) weighs_stops: bool,
    /// Memory that all jobs together may take.
    pub(crate) jobs_max_bytes: u64,
}

impl View<'_> {
    /// Returns the expected run time of a step's tasks without interruptions.
    pub(crate) fn expected_run_ms(&self, queue: &Queue, step: &StepSpec) -> u64 {
        self.learned.expected_run_ms(queue, step)
    }

    /// Returns the length of the critical path through the steps, by expected run times.
    pub(crate) fn critical_path_ms(&self, queue: &Queue, spec: &JobSpec) -> u64 {
        critical_path_ms(spec, |step| self.expected_run_ms(queue, step))
    }
}

/// Result of a placement decision.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    pub(crate) starts: Vec<StartRecord>,
    /// Occurrences that are about to be due.
    pub(crate) openings: Vec<Opening>,
    /// Runs to stop, with the cause.
    pub(crate) stops: Vec<(UnitId, u32, StopCause)>,
    /// Units that are given up, because upstreams crash under them.
    pub(crate) give_ups: Vec<UnitId>,
    /// Approvals without which a unit cannot be placed.
    pub(crate) approval_requests: Vec<ApprovalRequest>,
    /// Number of units that are ready to run and were not placed.
    pub(crate) unplaced: usize,
    /// Those among them that may preempt: capacity is reserved for them.
    pub(crate) unplaced_urgent: usize,
    /// What the organisations have of the capacity.
    pub(crate) shares: Vec<ShareFigures>,
}

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum StopCause {
    /// Its job has ended.
    #[display("job ended")]
    JobEnded,
    /// Another member of its gang has ended.
    #[display("gang broken")]
    GangBroken,
    /// A unit of a higher priority needs its capacity.
    #[display("preempted")]
    Preempted,
    /// Another lasting task, which has waited too long, replaces it.
    #[display("rotated")]
    Rotated,
    /// Its physical host goes down for maintenance.
    #[display("maintenance")]
    Maintenance,
    /// Its upstream drains and may leave soon.
    #[display("upstream drains")]
    Draining,
    /// Its data centre is being evacuated, and others have capacity for it.
    #[display("data centre is evacuated")]
    Evacuated,
    /// It makes no progress.
    #[display("hangs")]
    Hangs,
}

impl StopCause {
    /// Returns the name of the cause in metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::JobEnded => "job ended",
            Self::GangBroken => "gang broken",
            Self::Preempted => "preempted",
            Self::Rotated => "rotated",
            Self::Maintenance => "maintenance",
            Self::Draining => "draining",
            Self::Hangs => "hangs",
            Self::Evacuated => "evacuated",
        }
    }
}

/// Decides which runs to start and to stop.
pub(crate) fn plan(view: &View<'_>) -> Plan {
    let stops = stops_for_ended_work(view);
    let ending: HashSet<_> = stops.iter().map(|(unit, run, _)| (unit.clone(), *run)).collect();
    let victims = Victims::new(view, &ending);
    let mut builder = PlanBuilder {
        pool: Pool::new(view, &ending),
        rotation: Rotation::new(&victims),
        drains: Drains::default(),
        probation: Probation::new(view),
        silent: SilentUpstreams::new(view),
        full: FullSteps::default(),
        victims,
        plan: Plan { stops, openings: openings::due_openings(view), ..Plan::default() },
    };
    let (waiting, shares) = ordered_units(view);
    builder.plan.shares = shares;
    for unit in &waiting {
        builder.place(view, unit);
    }
    let PlanBuilder { mut pool, full, mut plan, .. } = builder;
    let moves = evacuation::runs_to_move(view, &mut pool, &full, &ending);
    plan.stops.extend(moves.into_iter().map(|(id, run)| (id, run, StopCause::Evacuated)));
    plan
}

/// Builds a plan unit by unit and tracks the capacity that is left for later units.
struct PlanBuilder {
    pool: Pool,
    victims: Victims,
    rotation: Rotation,
    drains: Drains,
    probation: Probation,
    silent: SilentUpstreams,
    full: FullSteps,
    plan: Plan,
}

impl PlanBuilder {
    /// Starts a unit if it fits; otherwise selects runs to stop for it, if it may replace any.
    fn place(&mut self, view: &View<'_>, unit: &WaitingUnit<'_>) {
        let Self { pool, victims, rotation, drains, probation, silent, full, plan } = self;
        let verdict = suspects::verdict(view, silent, unit);
        if verdict == Verdict::GivenUp {
            plan.give_ups.push(unit.id.clone());
            return;
        }
        if verdict == Verdict::Undecided || !probation.admits(view, unit) {
            plan.unplaced += 1;
            return;
        }
        if let Some(task_hosts) = hosts_for(view, pool, full, unit) {
            let incarnations =
                task_hosts.iter().map(|host| view.hosts[*host].incarnation.clone()).collect();
            pool.occupy(unit, &task_hosts);
            probation.start(view, unit);
            plan.starts.push(StartRecord {
                unit: unit.id.clone(),
                run: unit.run + 1,
                incarnations,
            });
            return;
        }
        full.insert(unit);
        plan.unplaced += 1;
        plan.unplaced_urgent += usize::from(unit.may_preempt);
        request_approvals(view, pool, unit, plan);
        if unit.may_preempt {
            let stops = preemption::preempt_for(view, pool, victims, unit);
            plan.stops.extend(stops.into_iter().map(|(id, run)| (id, run, StopCause::Preempted)));
        } else if let Some((id, run)) = rotation.replace(view, pool, victims, unit) {
            plan.stops.push((id, run, StopCause::Rotated));
        } else {
            drains.drain_for_gang(view, pool, unit);
        }
    }
}

/// Returns the hosts on which a unit can start now, if it may use what is free there.
fn hosts_for(
    view: &View<'_>,
    pool: &Pool,
    full: &FullSteps,
    unit: &WaitingUnit<'_>,
) -> Option<Vec<usize>> {
    let exempt = unit.queue.priority == 0 || unit.step.lasting;
    if full.contains(unit) || !exempt && !pool.leaves_reserve(view, unit) {
        return None;
    }
    room::find_hosts(view, pool, unit)
}

/// Returns the runs of ended jobs and the remaining members of broken gangs.
fn stops_for_ended_work(view: &View<'_>) -> Vec<(UnitId, u32, StopCause)> {
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

/// Calls `visit` for each unit of a job.
pub(crate) fn for_each_unit(job: &Job, mut visit: impl FnMut(UnitId, &crate::tasks::Unit)) {
    for (occurrence, steps) in job.occurrences.iter() {
        for (step, state) in (0_u32..).zip(steps) {
            for (number, unit) in (0_u32..).zip(&state.units) {
                let id = UnitId { job: job.id.clone(), occurrence, step, unit: number };
                visit(id, unit);
            }
        }
    }
}

/// Adds an approval request to the plan if the unit's queue needs approvals.
fn request_approvals(view: &View<'_>, pool: &Pool, unit: &WaitingUnit<'_>, plan: &mut Plan) {
    let Some(advice) = unit.queue.advice else { return };
    let step = StepId::of(&unit.id);
    if plan.approval_requests.iter().any(|request| request.step == step) {
        return;
    }
    let details = (unit.step, &*unit.queue.service, advice.valid_ms);
    plan.approval_requests.extend(approvals::approval_request(view, &pool.free, &unit.id, details));
}

/// Returns whether a host belongs to the service and carries the label that the step requires.
fn is_eligible(host: &Host, step: &StepSpec, service: &str) -> bool {
    let labelled = step.label.as_ref().is_none_or(|label| host.labels.contains(label));
    *host.service == *service && labelled
}
