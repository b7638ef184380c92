//! Preemption: stops runs of lower priority to free capacity for an urgent unit.
//!
//! Borrowers may fill the pool when jobs under a guarantee arrive. If capacity that becomes free by
//! itself comes too late, the cheapest runs are stopped, and what they free is reserved for the unit.
//! Urgent work that no guarantee covers is a borrower, too: a covered unit stops it if nothing else will do.

use std::collections::{BTreeSet, HashMap, HashSet};

use super::order::{WaitingUnit, covered_jobs};
use super::pool::Pool;
use super::room::{find_hosts_in, host_groups};
use super::stop_costs::{Claim, RunFacts, pays_off, stop_cost_core_ms};
use super::stop_set::{Bounds, cheapest_set};
use super::{View, for_each_unit};
use crate::tasks::{Resources, UnitId};

/// A run that may be preempted.
#[derive(Debug, Clone)]
pub(super) struct Victim {
    pub(super) unit: UnitId,
    pub(super) run: u32,
    pub(super) priority: u32,
    pub(super) need: Resources,
    pub(super) hosts: Vec<usize>,
    /// Cost of stopping it, in core-equivalent milliseconds.
    pub(super) cost_core_ms: u64,
    /// Estimated time until it ends by itself.
    pub(super) left_ms: u64,
    /// Time that a lasting task has run; `None` for other tasks.
    pub(super) ran_ms: Option<u64>,
}

/// Runs that may be preempted, by host.
#[derive(Debug)]
pub(super) struct Victims {
    all: Vec<Victim>,
    on_host: Vec<Vec<usize>>,
    selected: HashSet<usize>,
}

impl Victims {
    /// Collects the runs that may be preempted and are not being stopped already: those of lower priorities,
    /// and urgent ones that no guarantee covers.
    pub(super) fn new(view: &View<'_>, ending: &HashSet<(UnitId, u32)>) -> Self {
        let host_of_incarnation: HashMap<_, usize> = view
            .hosts
            .iter()
            .enumerate()
            .map(|(number, host)| (&host.incarnation, number))
            .collect();
        let mut victims = Self {
            all: Vec::new(),
            on_host: vec![Vec::new(); view.hosts.len()],
            selected: HashSet::new(),
        };
        let covered = covered_jobs(view);
        for job in view.state.jobs.values() {
            let Some(queue) = view.state.queue_of(job) else { continue };
            if covered.contains(&job.id) {
                continue;
            }
            for_each_unit(job, |unit, state| {
                let run = (unit, state.run);
                let step = &job.spec.steps[run.0.step as usize];
                let is_stopping = ending.contains(&run) || view.stopping.contains(&run);
                if !state.is_running() || is_stopping || step.away_limit.is_some() {
                    return;
                }
                let members = state.members().iter().filter(|member| member.end.is_none());
                let hosts: Vec<_> = members
                    .filter_map(|member| host_of_incarnation.get(&member.incarnation).copied())
                    .collect();
                let progress = view.progress.get(&run).copied();
                let unsaved_ms = progress.map_or(0, |progress| progress.unsaved_ms);
                let cost_core_ms = stop_cost_core_ms(&RunFacts {
                    unsaved_ms,
                    checkpoints: step.checkpoints,
                    lasting: step.lasting,
                    earlier_stops: state.run.saturating_sub(1 + state.failures),
                    weight_millicores: step.need.weight_millicores() * hosts.len() as u64,
                });
                let left_ms = match progress {
                    _ if step.lasting => u64::MAX,
                    Some(progress) => progress.left_ms,
                    None => view.expected_run_ms(queue, step),
                };
                victims.add(Victim {
                    unit: run.0,
                    run: run.1,
                    priority: queue.priority,
                    need: step.reserved(),
                    hosts,
                    cost_core_ms,
                    left_ms,
                    ran_ms: step.lasting.then_some(unsaved_ms),
                });
            });
        }
        victims
    }

    fn add(&mut self, victim: Victim) {
        let number = self.all.len();
        for host in victim.hosts.iter().copied().collect::<BTreeSet<_>>() {
            self.on_host[host].push(number);
        }
        self.all.push(victim);
    }

    /// Iterates over the runs of lower priorities that are not selected yet, with their numbers.
    pub(super) fn candidates(&self) -> impl Iterator<Item = (usize, &Victim)> {
        let lower = self.all.iter().enumerate().filter(|(_, victim)| victim.priority > 0);
        lower.filter(|(number, _)| !self.selected.contains(number))
    }

    /// Iterates over the runs on a host that are not selected yet, by number.
    pub(super) fn on_host(&self, host: usize) -> impl Iterator<Item = usize> {
        self.on_host[host].iter().copied().filter(|number| !self.selected.contains(number))
    }

    pub(super) fn get(&self, number: usize) -> &Victim {
        &self.all[number]
    }

    /// Selects a run to be stopped and counts its capacity as free after the stops.
    pub(super) fn select(&mut self, number: usize, pool: &mut Pool) -> &Victim {
        self.selected.insert(number);
        let victim = &self.all[number];
        for &host in &victim.hosts {
            pool.release(host, &victim.need, victim.left_ms);
        }
        victim
    }
}

/// Reserves capacity for the unit and returns the runs to stop for it.
///
/// Nothing is stopped if enough capacity becomes free by itself in time, or if it does not pay off.
pub(super) fn preempt_for(
    view: &View<'_>,
    pool: &mut Pool,
    victims: &mut Victims,
    unit: &WaitingUnit<'_>,
) -> Vec<(UnitId, u32)> {
    if let Some(task_hosts) = find_hosts_in(view, pool, &pool.free_after_stops, unit) {
        pool.reserve(unit, &task_hosts);
        return Vec::new();
    }
    // A guaranteed unit must start within a bound, and a run may not end when it is expected to.
    let trusts_ends = view.weighs_stops && !unit.is_covered;
    let soon_ms = trusts_ends.then_some(view.stop_ms);
    if trusts_ends && let Some(task_hosts) = awaited_hosts(view, pool, unit) {
        pool.reserve_unstopped(unit, &task_hosts);
        return Vec::new();
    }
    let mut free =
        soon_ms.map_or_else(|| pool.free_after_stops.clone(), |soon_ms| pool.free_within(soon_ms));
    let groups = host_groups(view, pool, unit);
    let mut cheapest_of = |reclaims_urgent| {
        let mut cheapest: Option<StopSet> = None;
        for hosts in &groups {
            let limit = cheapest.as_ref().map_or(u64::MAX, |set| set.cost_core_ms);
            let bounds = Bounds { cost_core_ms: limit, soon_ms, reclaims_urgent };
            let found = cheapest_set((view, pool, victims, unit), hosts, &mut free, bounds);
            cheapest = found.or(cheapest);
        }
        cheapest
    };
    let cheapest = cheapest_of(false).or_else(|| unit.is_covered.then(|| cheapest_of(true))?);
    let Some(set) = cheapest else { return Vec::new() };
    let run_ms = view.expected_run_ms(unit.queue, unit.step);
    let claim = Claim {
        slack: unit.slack,
        is_guaranteed: unit.is_covered,
        work_core_ms: run_ms * unit.step.need.weight_millicores() / 1_000
            * u64::from(unit.step.unit_size()),
    };
    if view.weighs_stops && !pays_off(&claim, view.stop_ms, None, set.cost_core_ms) {
        return Vec::new();
    }
    let mut stops = Vec::with_capacity(set.stopped.len());
    for number in set.stopped {
        let victim = victims.select(number, pool);
        stops.push((victim.unit.clone(), victim.run));
    }
    pool.reserve(unit, &set.task_hosts);
    stops
}

/// Returns hosts on which the unit fits soon enough without a stop, those that are free first.
fn awaited_hosts(view: &View<'_>, pool: &Pool, unit: &WaitingUnit<'_>) -> Option<Vec<usize>> {
    let can_be_on_time = unit.slack.on_time_ms.is_some_and(|slack_ms| slack_ms >= view.stop_ms);
    let limit_ms = if can_be_on_time {
        unit.slack.wait_max_ms(view.stop_ms)
    } else {
        unit.slack.useful_ms.unwrap_or(0).max(view.stop_ms)
    };
    let mut within_ms = view.stop_ms.max(1);
    loop {
        let free = pool.free_within(within_ms);
        if let Some(task_hosts) = find_hosts_in(view, pool, &free, unit) {
            return Some(task_hosts);
        }
        if within_ms >= limit_ms {
            return None;
        }
        within_ms = within_ms.saturating_mul(2).min(limit_ms);
    }
}

/// Runs to stop for a unit, and the hosts of its tasks.
pub(super) struct StopSet {
    pub(super) task_hosts: Vec<usize>,
    pub(super) stopped: Vec<usize>,
    pub(super) cost_core_ms: u64,
}
