//! Drains: reserve capacity for a gang that does not fit, until the runs there have ended.
//!
//! Load pattern: single tasks and small gangs keep every rack partly filled. Each piece of capacity
//! that becomes free goes to the next small unit, so a gang that needs most of a rack never fits,
//! however long it has waited.

use super::View;
use super::order::WaitingUnit;
use super::pool::Pool;
use super::room::{fill_fullest_hosts, host_groups, tasks_for_host};

/// Maximum number of gangs for which hosts are drained at the same time.
const DRAINS_MAX: usize = 2;

/// Hosts on which all tasks of a unit fit, once some runs have ended.
struct Fit {
    after_ms: u64,
    task_hosts: Vec<usize>,
}

/// Gangs for which hosts are drained in one decision.
#[derive(Debug, Default)]
pub(super) struct Drains {
    count: usize,
}

impl Drains {
    /// Drains hosts for a gang that does not fit, if not too many others are waiting for theirs.
    pub(super) fn drain_for_gang(
        &mut self,
        view: &View<'_>,
        pool: &mut Pool,
        unit: &WaitingUnit<'_>,
    ) {
        let is_gang = unit.step.unit_size() > 1;
        if !is_gang || unit.is_expired() || self.count >= DRAINS_MAX {
            return;
        }
        if let Some(fit) = first_fit(view, pool, unit) {
            pool.drain(unit, &fit.task_hosts);
            self.count += 1;
        }
    }
}

/// Returns the hosts on which the unit fits first.
fn first_fit(view: &View<'_>, pool: &Pool, unit: &WaitingUnit<'_>) -> Option<Fit> {
    let groups = host_groups(view, pool, unit);
    let fits = groups.iter().filter_map(|hosts| first_fit_in(view, pool, unit, hosts));
    fits.min_by_key(|fit| fit.after_ms)
}

/// Returns the hosts of a group on which the unit fits first.
fn first_fit_in(
    view: &View<'_>,
    pool: &Pool,
    unit: &WaitingUnit<'_>,
    hosts: &[usize],
) -> Option<Fit> {
    let wanted = unit.step.unit_size();
    let usable: Vec<usize> = hosts.iter().copied().filter(|host| !pool.is_drained(*host)).collect();
    let mut free = pool.free.clone();
    let mut fitting: u32 =
        usable.iter().map(|host| tasks_for_host(view, pool, &free, unit, *host)).sum();
    let mut releases: Vec<_> = usable
        .iter()
        .flat_map(|host| pool.releases(*host).iter().map(|release| (*host, release)))
        .collect();
    releases.sort_by_key(|(_, release)| release.left_ms);
    let mut releases = releases.into_iter();
    let mut after_ms = 0;
    while fitting < wanted {
        let (host, release) = releases.next()?;
        fitting -= tasks_for_host(view, pool, &free, unit, host);
        free[host].add(&release.need);
        fitting += tasks_for_host(view, pool, &free, unit, host);
        after_ms = release.left_ms;
    }
    let task_hosts = fill_fullest_hosts(view, pool, &free, unit, &usable)?;
    Some(Fit { after_ms, task_hosts })
}
