//! Bin packing: selects a host for each task of a unit.
//!
//! Single tasks and gangs of every size share the pool, and large gangs starve when free capacity
//! is fragmented. Tasks go to the fullest host that still has capacity, and gangs to the fullest
//! rack, so that whole hosts and racks stay free.

use super::free_capacity::FreeCapacity;
use super::order::WaitingUnit;
use super::pool::Pool;
use super::{StepId, View, is_eligible};
use crate::tasks::{Incarnation, Resources};

/// Returns the host of each task of the unit, or `None` if not all of them fit.
pub(super) fn find_hosts(
    view: &View<'_>,
    pool: &Pool,
    unit: &WaitingUnit<'_>,
) -> Option<Vec<usize>> {
    find_hosts_in(view, pool, &pool.free, unit)
}

/// Like [`find_hosts`], with the given free capacity of each host.
pub(super) fn find_hosts_in(
    view: &View<'_>,
    pool: &Pool,
    free: &[FreeCapacity],
    unit: &WaitingUnit<'_>,
) -> Option<Vec<usize>> {
    let groups = host_groups(view, pool, unit);
    let warm = warm_groups(view, unit, &groups);
    warm.and_then(|warm| find_hosts_among(view, pool, free, unit, &warm))
        .or_else(|| find_hosts_among(view, pool, free, unit, &groups))
}

/// Returns the groups without hosts that are slow for a while, for a unit that goes to others while these
/// have room: it is urgent, or a gang, which is as slow as its slowest member. `None` if all hosts are alike.
fn warm_groups(
    view: &View<'_>,
    unit: &WaitingUnit<'_>,
    groups: &[Vec<usize>],
) -> Option<Vec<Vec<usize>>> {
    let is_cold = |host: &usize| view.hosts[*host].is_cold;
    if !unit.may_preempt && unit.step.unit_size() == 1 || !groups.iter().flatten().any(is_cold) {
        return None;
    }
    let warm = |hosts: &Vec<usize>| hosts.iter().copied().filter(|host| !is_cold(host)).collect();
    Some(groups.iter().map(warm).collect())
}

/// Returns the host of each task of the unit within the fullest group in which all of them fit.
fn find_hosts_among(
    view: &View<'_>,
    pool: &Pool,
    free: &[FreeCapacity],
    unit: &WaitingUnit<'_>,
    groups: &[Vec<usize>],
) -> Option<Vec<usize>> {
    let fitting = groups.iter().filter_map(|hosts| {
        let task_hosts = fill_fullest_hosts(view, pool, free, unit, hosts)?;
        let free_weight: u64 = hosts.iter().map(|host| free[*host].weight_millicores()).sum();
        Some((free_weight, task_hosts))
    });
    fitting.min_by_key(|(free_weight, _)| *free_weight).map(|(_, task_hosts)| task_hosts)
}

/// A unit waits for a host near its data for this multiple of its estimated run time.
const LOCALITY_WAIT_ESTIMATES: u64 = 2;

/// Time for which a unit waits for its preferred rack while most of the pool is free.
const LOCALITY_WAIT_MOSTLY_FREE_MS: u64 = 1_500;

/// Returns groups of hosts; all tasks of the unit must run within one group.
pub(super) fn host_groups(view: &View<'_>, pool: &Pool, unit: &WaitingUnit<'_>) -> Vec<Vec<usize>> {
    let step = unit.step;
    let step_id = StepId::of(&unit.id);
    let approved = |incarnation: &Incarnation| {
        let needs_no_approval = unit.queue.advice.is_none();
        needs_no_approval || view.approvals.ticket(&step_id, incarnation, view.now_ms).is_some()
    };
    let usable = |number: &usize| {
        let host = &view.hosts[*number];
        host.takes_work
            && !pool.is_held_back(unit, *number)
            && is_eligible(host, step, &unit.queue.service)
            && approved(&host.incarnation)
    };
    let in_rack = |hosts: &Vec<usize>| hosts.iter().copied().filter(usable).collect::<Vec<_>>();
    if let Some(rack) = &step.data_rack {
        let near = pool.racks.get(rack).map(in_rack).unwrap_or_default();
        let locality_wait_ms = if step.lasting {
            0
        } else if pool.is_mostly_free(view, &unit.queue.service) {
            LOCALITY_WAIT_MOSTLY_FREE_MS
        } else {
            LOCALITY_WAIT_ESTIMATES * view.expected_run_ms(unit.queue, step)
        };
        let keeps_waiting = unit.waited_ms < locality_wait_ms;
        if keeps_waiting && fits_when_empty(view, unit, &near) {
            return vec![near];
        }
    }
    let racks: Vec<_> =
        pool.racks.values().map(in_rack).filter(|hosts| !hosts.is_empty()).collect();
    let fitting_racks = racks.iter().filter(|hosts| fits_when_empty(view, unit, hosts)).count();
    let may_span_racks = unit.waited_ms >= LOCALITY_WAIT_MOSTLY_FREE_MS
        && pool.is_mostly_free(view, &unit.queue.service);
    if step.same_rack && step.tasks > 1 && fitting_racks > 0 && !may_span_racks {
        return racks;
    }
    vec![racks.into_iter().flatten().collect()]
}

/// Returns whether the unit would fit on the hosts if they were empty.
fn fits_when_empty(view: &View<'_>, unit: &WaitingUnit<'_>, hosts: &[usize]) -> bool {
    let need = unit.step.reserved();
    let fits = |host: &usize| u64::from(tasks_that_fit(&need, &view.hosts[*host].capacity));
    let total: u64 = hosts.iter().map(fits).sum();
    total >= u64::from(unit.step.unit_size())
}

/// Number of tasks assumed to fit where they do not need the resource at all.
const UNLIMITED_TASKS: u32 = 10_000;

/// Returns how many tasks with the given need fit into the free capacity.
pub(super) fn tasks_that_fit(need: &Resources, free: &Resources) -> u32 {
    let by_resource = |need: u32, free: u32| free.checked_div(need).unwrap_or(UNLIMITED_TASKS);
    by_resource(need.cpu_millicores, free.cpu_millicores)
        .min(by_resource(need.memory_mb, free.memory_mb))
        .min(by_resource(need.accelerators, free.accelerators))
}

/// Returns how many more tasks of the unit a host can take.
pub(super) fn tasks_for_host(
    view: &View<'_>,
    pool: &Pool,
    free: &[FreeCapacity],
    unit: &WaitingUnit<'_>,
    host: usize,
) -> u32 {
    // Most often nothing is avoided, and the key is costly to build for each host.
    if !view.avoid.is_empty()
        && view.avoid.contains(&(unit.id.job.clone(), view.hosts[host].incarnation.clone()))
    {
        return 0;
    }
    if pool.is_kept_for_suspect(&unit.id.job, host) {
        return 0;
    }
    let by_capacity = tasks_that_fit(&unit.step.reserved(), &free[host]);
    match unit.step.spread_limit {
        0 => by_capacity,
        limit => by_capacity.min(limit.saturating_sub(pool.tasks_on(&unit.id, host))),
    }
}

/// Assigns the tasks of a unit to the fullest hosts of a group; `None` if not all of them fit.
pub(super) fn fill_fullest_hosts(
    view: &View<'_>,
    pool: &Pool,
    free: &[FreeCapacity],
    unit: &WaitingUnit<'_>,
    hosts: &[usize],
) -> Option<Vec<usize>> {
    let wanted = unit.step.unit_size() as usize;
    let mut fullest: Vec<_> = hosts
        .iter()
        .map(|host| (tasks_for_host(view, pool, free, unit, *host), *host))
        .filter(|(tasks, _)| *tasks > 0)
        .collect();
    let total: usize = fullest.iter().map(|(tasks, _)| *tasks as usize).sum();
    if total < wanted {
        return None;
    }
    fullest.sort_by_key(|(_, host)| {
        (free[*host].accelerators, free[*host].weight_millicores(), *host)
    });
    if unit.is_suspect {
        // The emptiest first: as few runs as possible are lost if it crashes the host.
        fullest.reverse();
        fullest.sort_by_key(|(_, host)| pool.has_starting_run(&unit.id.job, *host));
    }
    let slots =
        fullest.into_iter().flat_map(|(tasks, host)| std::iter::repeat_n(host, tasks as usize));
    Some(slots.take(wanted).collect())
}
