//! Preemption: stops runs of lower priority to free capacity for an urgent unit.
//!
//! Borrowers may fill the pool when jobs under a guarantee arrive. The runs with the least unsaved
//! work on the fewest hosts are stopped, and the capacity that they free is reserved for the unit.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap, HashSet};

use super::order::WaitingUnit;
use super::pool::Pool;
use super::room::{find_hosts_in, host_groups, tasks_for_host};
use super::{View, for_each_unit};
use crate::tasks::{Resources, UnitId};

/// Unsaved run time assumed for a lasting task: about the time until it runs again elsewhere.
const LASTING_UNSAVED_MS: u64 = 10_000;

/// A run that may be preempted.
#[derive(Debug, Clone)]
pub(super) struct Victim {
    pub(super) unit: UnitId,
    pub(super) run: u32,
    pub(super) priority: u32,
    pub(super) need: Resources,
    pub(super) hosts: Vec<usize>,
    /// Unsaved work of all its tasks, in core-equivalent milliseconds.
    unsaved_core_ms: u64,
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
    /// Collects the runs that may be preempted and are not being stopped already.
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
        for job in view.state.jobs.values() {
            let Some(queue) = view.state.queue_of(job) else { continue };
            if queue.priority == 0 {
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
                let observed_ms = view.progress.get(&run).map_or(0, |progress| progress.unsaved_ms);
                let unsaved_ms = if step.lasting { LASTING_UNSAVED_MS } else { observed_ms };
                let unsaved_core_ms =
                    unsaved_ms * step.need.weight_millicores() / 1000 * hosts.len() as u64;
                let need = step.reserved();
                let priority = queue.priority;
                let ran_ms = step.lasting.then_some(observed_ms);
                let (unit, run) = run;
                victims.add(Victim { unit, run, priority, need, hosts, unsaved_core_ms, ran_ms });
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

    /// Iterates over the runs not yet selected, with their numbers.
    pub(super) fn candidates(&self) -> impl Iterator<Item = (usize, &Victim)> {
        let all = self.all.iter().enumerate();
        all.filter(|(number, _)| !self.selected.contains(number))
    }

    pub(super) fn get(&self, number: usize) -> &Victim {
        &self.all[number]
    }

    /// Selects a run to be stopped and counts its capacity as free after the stops.
    pub(super) fn select(&mut self, number: usize, pool: &mut Pool) -> &Victim {
        self.selected.insert(number);
        let victim = &self.all[number];
        for &host in &victim.hosts {
            pool.release(host, &victim.need);
        }
        victim
    }
}

/// Reserves capacity for the unit and returns the runs to stop for it.
pub(super) fn preempt_for(
    view: &View<'_>,
    pool: &mut Pool,
    victims: &mut Victims,
    unit: &WaitingUnit<'_>,
) -> Vec<(UnitId, u32)> {
    let free_after_stops = pool.free_after_stops.clone();
    if let Some(task_hosts) = find_hosts_in(view, pool, &free_after_stops, unit) {
        pool.reserve(unit, &task_hosts);
        return Vec::new();
    }
    let options = host_groups(view, pool, unit);
    let preemptions =
        options.iter().filter_map(|hosts| plan_preemption(view, pool, victims, unit, hosts));
    let Some(preemption) = preemptions.min_by_key(|preemption| preemption.unsaved_core_ms) else {
        return Vec::new();
    };
    let mut stops = Vec::with_capacity(preemption.stopped.len());
    for number in preemption.stopped {
        let victim = victims.select(number, pool);
        stops.push((victim.unit.clone(), victim.run));
    }
    pool.reserve(unit, &preemption.task_hosts);
    stops
}

/// Hosts for the tasks of a unit, and the runs to stop there.
struct Preemption {
    task_hosts: Vec<usize>,
    stopped: Vec<usize>,
    unsaved_core_ms: u64,
}

/// Capacity for one more task on a host, and the runs to stop for it.
struct Slot {
    host: usize,
    unsaved_core_ms: u64,
    stopped: Vec<usize>,
}

/// Selects slots with the least unsaved work among the hosts; `None` if the unit does not fit.
fn plan_preemption(
    view: &View<'_>,
    pool: &Pool,
    victims: &Victims,
    unit: &WaitingUnit<'_>,
    hosts: &[usize],
) -> Option<Preemption> {
    let wanted = unit.step.unit_size() as usize;
    let mut per_host: Vec<Vec<Slot>> =
        hosts.iter().map(|host| slots(view, pool, victims, unit, *host, wanted)).collect();
    let mut preemption =
        Preemption { task_hosts: Vec::new(), stopped: Vec::new(), unsaved_core_ms: 0 };
    while preemption.task_hosts.len() < wanted {
        let next = per_host.iter_mut().filter(|slots| !slots.is_empty());
        let cheapest = next.min_by_key(|slots| slots[0].unsaved_core_ms)?;
        let slot = cheapest.remove(0);
        preemption.task_hosts.push(slot.host);
        for number in slot.stopped {
            if !preemption.stopped.contains(&number) {
                preemption.unsaved_core_ms += victims.all[number].unsaved_core_ms;
                preemption.stopped.push(number);
            }
        }
    }
    Some(preemption)
}

/// Returns the slots that a host can offer, those with the least unsaved work first.
fn slots(
    view: &View<'_>,
    pool: &Pool,
    victims: &Victims,
    unit: &WaitingUnit<'_>,
    host: usize,
    wanted: usize,
) -> Vec<Slot> {
    let mut free = pool.free_after_stops.clone();
    let mut candidates: Vec<_> = victims.on_host[host]
        .iter()
        .copied()
        .filter(|number| !victims.selected.contains(number))
        .filter(|number| victims.all[*number].priority > unit.queue.priority)
        .collect();
    candidates.sort_by_key(|number| {
        let victim = &victims.all[*number];
        (victim.unsaved_core_ms, Reverse(victim.priority), Reverse(victim.ran_ms), *number)
    });
    let mut candidates = candidates.into_iter();
    let mut slots: Vec<Slot> = Vec::new();
    let mut pending = Slot { host, unsaved_core_ms: 0, stopped: Vec::new() };
    while slots.len() < wanted {
        if tasks_for_host(view, pool, &free, unit, host) as usize > slots.len() {
            let slot = std::mem::replace(
                &mut pending,
                Slot { host, unsaved_core_ms: 0, stopped: Vec::new() },
            );
            slots.push(slot);
            continue;
        }
        let Some(number) = candidates.next() else { break };
        let victim = &victims.all[number];
        for _ in victim.hosts.iter().filter(|at| **at == host) {
            free[host].add(&victim.need);
        }
        pending.unsaved_core_ms += victim.unsaved_core_ms;
        pending.stopped.push(number);
    }
    slots
}
