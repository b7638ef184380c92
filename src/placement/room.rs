//! Finding hosts for a unit.
//!
//! Load: single tasks and gangs of every width share the pool, and large gangs starve when free
//! capacity is scattered. Tasks go to the fullest host that still has room, and gangs to the
//! fullest rack, so that whole hosts and racks stay free.

use super::order::Waiting;
use super::pool::Pool;
use super::{StepId, View, is_eligible};
use crate::tasks::{Life, Resources};

/// Finds a host for each task of the unit, or nothing if not all of them fit.
pub(super) fn find(view: &View<'_>, pool: &Pool, unit: &Waiting<'_>) -> Option<Vec<usize>> {
    find_in(view, pool, &pool.free, unit)
}

/// Finds hosts on a given figure of free capacity.
pub(super) fn find_in(
    view: &View<'_>,
    pool: &Pool,
    free: &[Resources],
    unit: &Waiting<'_>,
) -> Option<Vec<usize>> {
    let groups = groups(view, pool, unit);
    let fitting = groups.iter().filter_map(|hosts| {
        let places = fill(view, pool, free, unit, hosts)?;
        let left: u64 = hosts.iter().map(|host| free[*host].weight()).sum();
        Some((left, places))
    });
    fitting.min_by_key(|(left, _)| *left).map(|(_, places)| places)
}

/// Time after which a unit takes a place far from its data, as a share of its estimate.
const FAR_AFTER_ESTIMATES: u64 = 2;

/// Time for which a unit waits for its best place while most of the pool is free, in milliseconds.
const PATIENCE_WITH_ROOM_MS: u64 = 1_500;

/// Returns the groups of hosts among which a unit has to choose one.
pub(super) fn groups(view: &View<'_>, pool: &Pool, unit: &Waiting<'_>) -> Vec<Vec<usize>> {
    let step = unit.step;
    let step_id = StepId::of(&unit.id);
    let approved = |life: &Life| {
        let free = unit.queue.advice.is_none();
        free || view.approvals.ticket(&step_id, life, view.now_ms).is_some()
    };
    let usable = |host: &usize| {
        let host = &view.hosts[*host];
        host.takes_work && is_eligible(host, step, &unit.queue.service) && approved(&host.life)
    };
    let in_rack = |hosts: &Vec<usize>| hosts.iter().copied().filter(usable).collect::<Vec<_>>();
    if let Some(rack) = &step.data_rack {
        let near = pool.racks.get(rack).map(in_rack).unwrap_or_default();
        let patience_ms = if step.lasting {
            0
        } else if pool.is_mostly_free(view, &unit.queue.service) {
            PATIENCE_WITH_ROOM_MS
        } else {
            FAR_AFTER_ESTIMATES * step.estimate_ms
        };
        let patient = unit.waited_ms < patience_ms;
        if patient && could_ever_fit(view, unit, &near) {
            return vec![near];
        }
    }
    let racks: Vec<_> =
        pool.racks.values().map(in_rack).filter(|hosts| !hosts.is_empty()).collect();
    let whole = racks.iter().filter(|hosts| could_ever_fit(view, unit, hosts)).count();
    let must_run =
        unit.waited_ms >= PATIENCE_WITH_ROOM_MS && pool.is_mostly_free(view, &unit.queue.service);
    if step.same_rack && step.tasks > 1 && whole > 0 && !must_run {
        return racks;
    }
    vec![racks.into_iter().flatten().collect()]
}

/// Tells whether the unit would fit into the hosts if they were empty.
fn could_ever_fit(view: &View<'_>, unit: &Waiting<'_>, hosts: &[usize]) -> bool {
    let need = unit.step.reserved();
    let fits = |host: &usize| u64::from(tasks_that_fit(&need, &view.hosts[*host].capacity));
    let total: u64 = hosts.iter().map(fits).sum();
    total >= u64::from(unit.step.unit_size())
}

/// Most tasks that are counted on one host.
const MOST_TASKS_ON_HOST: u32 = 10_000;

/// Returns how many tasks fit into free capacity.
pub(super) fn tasks_that_fit(need: &Resources, free: &Resources) -> u32 {
    let share = |need: u32, free: u32| free.checked_div(need).unwrap_or(MOST_TASKS_ON_HOST);
    share(need.cpu_millicores, free.cpu_millicores)
        .min(share(need.memory_mb, free.memory_mb))
        .min(share(need.accelerators, free.accelerators))
}

/// Returns how many more tasks of the unit a host can take.
pub(super) fn tasks_for_host(
    view: &View<'_>,
    pool: &Pool,
    free: &[Resources],
    unit: &Waiting<'_>,
    host: usize,
) -> u32 {
    if view.avoid.contains(&(unit.id.job.clone(), view.hosts[host].life.clone())) {
        return 0;
    }
    let by_capacity = tasks_that_fit(&unit.step.reserved(), &free[host]);
    match unit.step.spread_limit {
        0 => by_capacity,
        limit => by_capacity.min(limit.saturating_sub(pool.tasks_on(&unit.id, host))),
    }
}

/// Puts the tasks of a unit on the fullest hosts of a group.
fn fill(
    view: &View<'_>,
    pool: &Pool,
    free: &[Resources],
    unit: &Waiting<'_>,
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
    fullest.sort_by_key(|(_, host)| (free[*host].accelerators, free[*host].weight(), *host));
    let slots =
        fullest.into_iter().flat_map(|(tasks, host)| std::iter::repeat_n(host, tasks as usize));
    Some(slots.take(wanted).collect())
}
