//! Free capacity of the hosts during one decision.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use smallvec::SmallVec;

use super::evacuation::held_back;
use super::free_capacity::FreeCapacity;
use super::order::WaitingUnit;
use super::room::tasks_that_fit;
use super::suspects::{is_suspect, survived_start};
use super::{View, for_each_unit, is_eligible};
use crate::tasks::{Incarnation, JobId, Resources, StepSpec, UnitId};

/// Returns the share of a host that is free, by its scarcest resource.
fn millihosts_free(free: &Resources, capacity: &Resources) -> u64 {
    shares(free, capacity).into_iter().flatten().min().unwrap_or(0)
}

/// Returns the share of a host that a task takes, by its scarcest resource.
pub(super) fn millihosts_taken(need: &Resources, capacity: &Resources) -> u64 {
    shares(need, capacity).into_iter().flatten().max().unwrap_or(0)
}

/// Returns `part` of `whole` for each resource that the host has, in thousandths.
fn shares(part: &Resources, whole: &Resources) -> [Option<u64>; 3] {
    let share = |part: u32, whole: u32| (u64::from(part) * 1_000).checked_div(u64::from(whole));
    [
        share(part.cpu_millicores, whole.cpu_millicores),
        share(part.memory_mb, whole.memory_mb),
        share(part.accelerators, whole.accelerators),
    ]
}

/// One occurrence of a step on one host: job, occurrence, step and host.
type StepOnHost = (JobId, u32, u32, usize);

/// Free capacity of all hosts.
#[derive(Debug)]
pub(super) struct Pool {
    /// Capacity that is free now.
    pub(super) free: Vec<FreeCapacity>,
    /// Capacity that will be free once all stopping runs have ended.
    pub(super) free_after_stops: Vec<FreeCapacity>,
    /// Capacity that is reserved for waiting units that may preempt: it changes hands.
    reserved_for_urgent: Vec<Resources>,
    /// Indices of the hosts in each rack.
    pub(super) racks: BTreeMap<Arc<str>, Vec<usize>>,
    tasks_of_step: HashMap<StepOnHost, u32>,
    /// Capacity of the running tasks of each host that end by themselves.
    releases: Vec<Vec<Release>>,
    /// Whether each host is being drained for a unit.
    drained: Vec<bool>,
    /// Whether work that may not preempt is kept from each host; empty if it is from none.
    held_back: Vec<bool>,
    /// Runs on each host that have not survived their start yet.
    starting: Vec<SmallVec<[StartingRun; 2]>>,
}

/// A run that has not survived its start yet.
#[derive(Debug, Clone)]
struct StartingRun {
    job: JobId,
    /// Whether upstreams have crashed under it before.
    is_suspect: bool,
}

/// Capacity that a running task will release.
#[derive(Debug, Clone, Copy)]
pub(super) struct Release {
    /// Estimated time until the task ends.
    pub(super) left_ms: u64,
    pub(super) need: Resources,
    /// Whether the task is being stopped.
    is_stopping: bool,
}

impl Pool {
    /// Computes the free capacity; runs in `ending` count as stopping.
    pub(super) fn new(view: &View<'_>, ending: &HashSet<(UnitId, u32)>) -> Self {
        let host_of_incarnation: HashMap<&Incarnation, usize> = view
            .hosts
            .iter()
            .enumerate()
            .map(|(number, host)| (&host.incarnation, number))
            .collect();
        let capacities: Vec<_> =
            view.hosts.iter().map(|host| FreeCapacity::new(host.capacity)).collect();
        let mut pool = Self {
            free_after_stops: capacities.clone(),
            free: capacities,
            reserved_for_urgent: vec![Resources::default(); view.hosts.len()],
            racks: BTreeMap::new(),
            tasks_of_step: HashMap::new(),
            releases: vec![Vec::new(); view.hosts.len()],
            drained: vec![false; view.hosts.len()],
            held_back: held_back(view),
            starting: vec![SmallVec::new(); view.hosts.len()],
        };
        for (number, host) in view.hosts.iter().enumerate() {
            pool.racks.entry(Arc::clone(&host.rack)).or_default().push(number);
        }
        for job in view.state.jobs.values() {
            let queue = view.state.queue_of(job);
            let run_ms = |step: &StepSpec| {
                queue.map_or(step.estimate_ms, |queue| view.expected_run_ms(queue, step))
            };
            for_each_unit(job, |id, unit| {
                if !unit.is_running() {
                    return;
                }
                let step = &job.spec.steps[id.step as usize];
                let need = step.reserved();
                let run = (id, unit.run);
                let is_stopping = ending.contains(&run) || view.stopping.contains(&run);
                let left_ms = match view.progress.get(&run) {
                    _ if is_stopping => 0,
                    Some(progress) => progress.left_ms,
                    None => run_ms(step),
                };
                let starting = (!survived_start(view, &run.0, run.1)).then(|| StartingRun {
                    job: run.0.job.clone(),
                    is_suspect: is_suspect(view.state, &run.0, step.unit_size()),
                });
                for member in unit.members().iter().filter(|member| member.end.is_none()) {
                    let Some(&host) = host_of_incarnation.get(&member.incarnation) else {
                        continue;
                    };
                    pool.starting[host].extend(starting.clone());
                    pool.free[host].subtract(&need);
                    if is_stopping || !step.lasting {
                        pool.releases[host].push(Release { left_ms, need, is_stopping });
                    }
                    if !is_stopping {
                        pool.free_after_stops[host].subtract(&need);
                    }
                    let step_on_host = (run.0.job.clone(), run.0.occurrence, run.0.step, host);
                    *pool.tasks_of_step.entry(step_on_host).or_default() += 1;
                }
            });
        }
        pool
    }

    /// Returns whether the reserve for priority 0 stays free if the unit is placed.
    pub(super) fn leaves_reserve(&self, view: &View<'_>, unit: &WaitingUnit<'_>) -> bool {
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

    /// Returns whether less than half of a service's capacity is in use.
    pub(super) fn is_mostly_free(&self, view: &View<'_>, service: &str) -> bool {
        let hosts = view.hosts.iter().zip(&self.free);
        let of_service = hosts.filter(|(host, _)| host.takes_work && *host.service == *service);
        let (free, all) = of_service.fold((0, 0), |(free, all), (host, host_free)| {
            (free + host_free.weight_millicores(), all + host.capacity.weight_millicores())
        });
        free * 2 > all
    }

    /// Counts the tasks of a step that would fit into the capacity reserved for urgent units.
    pub(super) fn tasks_in_reserved(&self, view: &View<'_>, unit: &WaitingUnit<'_>) -> u32 {
        let need = unit.step.reserved();
        let hosts = view.hosts.iter().zip(&self.reserved_for_urgent);
        let eligible = hosts.filter(|(host, _)| {
            host.takes_work && is_eligible(host, unit.step, &unit.queue.service)
        });
        eligible.map(|(_, reserved)| tasks_that_fit(&need, reserved)).sum()
    }

    /// Returns the number of tasks of a unit's step on a host.
    pub(super) fn tasks_on(&self, unit: &UnitId, host: usize) -> u32 {
        let step_on_host = (unit.job.clone(), unit.occurrence, unit.step, host);
        self.tasks_of_step.get(&step_on_host).copied().unwrap_or(0)
    }

    /// Returns whether a unit is kept from a host whose data centre has just been evacuated.
    pub(super) fn is_held_back(&self, unit: &WaitingUnit<'_>, host: usize) -> bool {
        !unit.may_preempt && self.held_back.get(host).copied().unwrap_or(false)
    }

    /// Marks the capacity of a unit's tasks as used.
    pub(super) fn occupy(&mut self, unit: &WaitingUnit<'_>, task_hosts: &[usize]) {
        let need = unit.step.reserved();
        for &host in task_hosts {
            self.free[host].subtract(&need);
            self.free_after_stops[host].subtract(&need);
            let run = StartingRun { job: unit.id.job.clone(), is_suspect: unit.is_suspect };
            self.starting[host].push(run);
            let step_on_host = (unit.id.job.clone(), unit.id.occurrence, unit.id.step, host);
            *self.tasks_of_step.entry(step_on_host).or_default() += 1;
        }
    }

    /// Returns whether a suspect of another job is starting on a host.
    pub(super) fn is_kept_for_suspect(&self, job: &JobId, host: usize) -> bool {
        self.starting[host].iter().any(|run| run.is_suspect && run.job != *job)
    }

    /// Returns whether a run of another job is starting on a host.
    pub(super) fn has_starting_run(&self, job: &JobId, host: usize) -> bool {
        self.starting[host].iter().any(|run| run.job != *job)
    }

    /// Counts the capacity of a task on a host that is stopped now as free after the stops.
    pub(super) fn release(&mut self, host: usize, need: &Resources, left_ms: u64) {
        self.free_after_stops[host].add(need);
        let alike = |release: &Release| {
            !release.is_stopping && release.left_ms == left_ms && release.need == *need
        };
        if let Some(release) = self.releases[host].iter_mut().find(|release| alike(release)) {
            release.is_stopping = true;
        }
    }

    /// Returns the capacity that is free after the stops and the ends that are due within a time.
    pub(super) fn free_within(&self, within_ms: u64) -> Vec<FreeCapacity> {
        let mut free = self.free_after_stops.clone();
        for (free, releases) in free.iter_mut().zip(&self.releases) {
            let due = |release: &&Release| !release.is_stopping && release.left_ms <= within_ms;
            releases.iter().filter(due).for_each(|release| free.add(&release.need));
        }
        free
    }

    /// Returns the capacity that running tasks of a host will release.
    pub(super) fn releases(&self, host: usize) -> &[Release] {
        &self.releases[host]
    }

    /// Returns whether a host is being drained for a unit.
    pub(super) fn is_drained(&self, host: usize) -> bool {
        self.drained[host]
    }

    /// Reserves capacity for a unit that will start there once other runs have ended.
    pub(super) fn drain(&mut self, unit: &WaitingUnit<'_>, task_hosts: &[usize]) {
        self.reserve(unit, task_hosts);
        for &host in task_hosts {
            self.drained[host] = true;
        }
    }

    /// Reserves capacity for a unit that will start there once the capacity is free.
    pub(super) fn reserve(&mut self, unit: &WaitingUnit<'_>, task_hosts: &[usize]) {
        self.reserve_unstopped(unit, task_hosts);
        if unit.may_preempt {
            let need = unit.step.reserved();
            for &host in task_hosts {
                self.reserved_for_urgent[host].add(&need);
            }
        }
    }

    /// Like [`Pool::reserve`], for capacity that becomes free without a stop: it does not change hands.
    pub(super) fn reserve_unstopped(&mut self, unit: &WaitingUnit<'_>, task_hosts: &[usize]) {
        let need = unit.step.reserved();
        for &host in task_hosts {
            // Capacity that is free already is reserved, too.
            self.free[host].subtract(&need);
            self.free_after_stops[host].subtract(&need);
        }
    }
}
