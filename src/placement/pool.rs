//! Free capacity of the hosts during one decision.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::order::Waiting;
use super::room::tasks_that_fit;
use super::{View, for_each_unit, is_eligible};
use crate::tasks::{JobId, Life, Resources, UnitId};

/// Returns the share of a host that is free, by its scarcest resource.
fn millihosts_free(free: &Resources, capacity: &Resources) -> u64 {
    shares(free, capacity).into_iter().flatten().min().unwrap_or(0)
}

/// Returns the share of a host that a task takes, by its scarcest resource.
pub(super) fn millihosts_taken(need: &Resources, capacity: &Resources) -> u64 {
    shares(need, capacity).into_iter().flatten().max().unwrap_or(0)
}

/// Shares of each resource that the host has, in thousandths.
fn shares(part: &Resources, whole: &Resources) -> [Option<u64>; 3] {
    let share = |part: u32, whole: u32| (u64::from(part) * 1_000).checked_div(u64::from(whole));
    [
        share(part.cpu_millicores, whole.cpu_millicores),
        share(part.memory_mb, whole.memory_mb),
        share(part.accelerators, whole.accelerators),
    ]
}

/// Tasks of one occurrence of a step on one host.
type StepOnHost = (JobId, u32, u32, usize);

/// Free capacity of all hosts.
#[derive(Debug)]
pub(super) struct Pool {
    /// Capacity that is free now.
    pub(super) free: Vec<Resources>,
    /// Capacity that is free once everything that was told to stop is over.
    pub(super) soon: Vec<Resources>,
    /// The same together with what is kept for waiting units: capacity that changes hands.
    unused: Vec<Resources>,
    /// Hosts of each rack.
    pub(super) racks: BTreeMap<Arc<str>, Vec<usize>>,
    tasks_of_step: HashMap<StepOnHost, u32>,
}

impl Pool {
    /// Computes what is free; runs in `ending` free their capacity soon.
    pub(super) fn of(view: &View<'_>, ending: &HashSet<(UnitId, u32)>) -> Self {
        let by_life: HashMap<&Life, usize> =
            view.hosts.iter().enumerate().map(|(number, host)| (&host.life, number)).collect();
        let mut pool = Self {
            free: view.hosts.iter().map(|host| host.capacity).collect(),
            soon: view.hosts.iter().map(|host| host.capacity).collect(),
            unused: Vec::new(),
            racks: BTreeMap::new(),
            tasks_of_step: HashMap::new(),
        };
        for (number, host) in view.hosts.iter().enumerate() {
            pool.racks.entry(Arc::clone(&host.rack)).or_default().push(number);
        }
        for job in view.state.jobs.values() {
            for_each_unit(job, |id, unit| {
                let need = job.spec.steps[id.step as usize].reserved();
                let run = (id, unit.run);
                let stops = ending.contains(&run) || view.stopping.contains(&run);
                for member in unit.members().iter().filter(|member| member.end.is_none()) {
                    let Some(&host) = by_life.get(&member.life) else { continue };
                    pool.free[host].take(&need);
                    if !stops {
                        pool.soon[host].take(&need);
                    }
                    let place = (run.0.job.clone(), run.0.occurrence, run.0.step, host);
                    *pool.tasks_of_step.entry(place).or_default() += 1;
                }
            });
        }
        pool.unused.clone_from(&pool.soon);
        pool
    }

    /// Tells whether the first priority still has its reserve once a unit was placed.
    pub(super) fn leaves_reserve(&self, view: &View<'_>, unit: &Waiting<'_>) -> bool {
        if view.reserve_millihosts == 0 {
            return true;
        }
        let free: u64 = view
            .hosts
            .iter()
            .zip(&self.free)
            .filter(|(host, _)| host.takes_work && host.service == unit.queue.service)
            .map(|(host, free)| millihosts_free(free, &host.capacity))
            .sum();
        let Some(host) = view.hosts.iter().find(|host| host.service == unit.queue.service) else {
            return true;
        };
        let task = millihosts_taken(&unit.step.reserved(), &host.capacity);
        free >= view.reserve_millihosts + task * u64::from(unit.step.unit_size())
    }

    /// Tells whether less than half of a service's capacity is in use.
    pub(super) fn is_mostly_free(&self, view: &View<'_>, service: &str) -> bool {
        let hosts = view.hosts.iter().zip(&self.free);
        let of_service = hosts.filter(|(host, _)| host.takes_work && *host.service == *service);
        let (free, all) = of_service.fold((0, 0), |(free, all), (host, left)| {
            (free + left.weight(), all + host.capacity.weight())
        });
        free * 2 > all
    }

    /// Counts the tasks of a step for which there is capacity that changes hands.
    pub(super) fn tasks_in_unused(&self, view: &View<'_>, unit: &Waiting<'_>) -> u32 {
        let need = unit.step.reserved();
        let hosts = view.hosts.iter().zip(&self.unused);
        let eligible = hosts.filter(|(host, _)| {
            host.takes_work && is_eligible(host, unit.step, &unit.queue.service)
        });
        eligible.map(|(_, unused)| tasks_that_fit(&need, unused)).sum()
    }

    /// Number of tasks of a unit's step on a host.
    pub(super) fn tasks_on(&self, unit: &UnitId, host: usize) -> u32 {
        let place = (unit.job.clone(), unit.occurrence, unit.step, host);
        self.tasks_of_step.get(&place).copied().unwrap_or(0)
    }

    /// Takes the capacity of a unit at its places.
    pub(super) fn take(&mut self, unit: &Waiting<'_>, places: &[usize]) {
        let need = unit.step.reserved();
        for &host in places {
            self.free[host].take(&need);
            self.soon[host].take(&need);
            self.unused[host].take(&need);
            let place = (unit.id.job.clone(), unit.id.occurrence, unit.id.step, host);
            *self.tasks_of_step.entry(place).or_default() += 1;
        }
    }

    /// Notes that a run on a host is being stopped.
    pub(super) fn vacate(&mut self, host: usize, need: &Resources) {
        self.soon[host].give(need);
        self.unused[host].give(need);
    }

    /// Keeps capacity for a unit that will start there once it is free.
    pub(super) fn reserve(&mut self, unit: &Waiting<'_>, places: &[usize]) {
        let need = unit.step.reserved();
        for &host in places {
            // What is free now stays free for this unit, too.
            self.free[host].take(&need);
            self.soon[host].take(&need);
        }
    }
}
