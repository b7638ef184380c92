//! Rotation: time-slices capacity among lasting tasks.
//!
//! There may be more lasting tasks than the pool holds while urgent jobs preempt them all the time,
//! so that capacity changes hands but is reserved for others. In a pool that is merely full,
//! rotation would only lose work, so what rotation itself frees does not count as changing hands.

use std::cmp::Reverse;

use super::View;
use super::order::WaitingUnit;
use super::pool::Pool;
use super::preemption::Victims;
use super::room::{find_hosts_in, host_groups, tasks_for_host};
use crate::tasks::UnitId;

/// Time for which a lasting task waits before it may replace another one.
const ROTATION_WAIT_MS: u64 = 6_500;

/// Time for which a lasting task runs before another one may replace it.
const TIME_SLICE_MS: u64 = 5_000;

/// One of this many running lasting tasks may be replaced per decision.
const LASTING_TASKS_PER_ROTATION: usize = 12;

/// Rotation needs capacity reserved for urgent units that would hold at least this many tasks.
const RESERVED_TASKS_MIN: u32 = 2;

/// Number of tasks that may still be replaced in one decision.
#[derive(Debug)]
pub(super) struct Rotation {
    remaining: usize,
}

impl Rotation {
    pub(super) fn new(victims: &Victims) -> Self {
        let lasting = victims.candidates().filter(|(_, victim)| victim.ran_ms.is_some());
        Self { remaining: lasting.count().div_ceil(LASTING_TASKS_PER_ROTATION) }
    }

    /// Replaces the longest-running lasting task by one that has waited for a given time.
    ///
    /// Returns the run to stop, if one must be stopped now.
    pub(super) fn replace(
        &mut self,
        view: &View<'_>,
        pool: &mut Pool,
        victims: &mut Victims,
        unit: &WaitingUnit<'_>,
    ) -> Option<(UnitId, u32)> {
        let is_single = unit.step.unit_size() == 1;
        let has_waited = unit.step.lasting && is_single && unit.waited_ms >= ROTATION_WAIT_MS;
        if !has_waited
            || self.remaining == 0
            || pool.tasks_in_reserved(view, unit) < RESERVED_TASKS_MIN
        {
            return None;
        }
        let free_after_stops = pool.free_after_stops.clone();
        if let Some(task_hosts) = find_hosts_in(view, pool, &free_after_stops, unit) {
            // A run whose capacity the unit can take is being stopped already.
            pool.reserve(unit, &task_hosts);
            self.remaining -= 1;
            return None;
        }
        let number = longest_running(view, pool, victims, unit)?;
        self.remaining -= 1;
        let victim = victims.select(number, pool);
        pool.reserve(unit, &victim.hosts);
        Some((victim.unit.clone(), victim.run))
    }
}

/// Returns the longest-running lasting task whose capacity the unit fits into.
fn longest_running(
    view: &View<'_>,
    pool: &Pool,
    victims: &Victims,
    unit: &WaitingUnit<'_>,
) -> Option<usize> {
    let usable: Vec<usize> = host_groups(view, pool, unit).into_iter().flatten().collect();
    let mut candidates: Vec<(u64, usize)> = victims
        .candidates()
        .filter(|(_, victim)| victim.priority >= unit.queue.priority)
        .filter_map(|(number, victim)| Some((victim.ran_ms?, number)))
        .filter(|(ran_ms, _)| *ran_ms >= TIME_SLICE_MS)
        .collect();
    candidates.sort_unstable_by_key(|(ran_ms, number)| (Reverse(*ran_ms), *number));
    let mut free = pool.free_after_stops.clone();
    let mut fits_instead_of = |number: usize| {
        let victim = victims.get(number);
        let &[host] = victim.hosts.as_slice() else { return false };
        let before = free[host];
        free[host].add(&victim.need);
        let fits = usable.contains(&host) && tasks_for_host(view, pool, &free, unit, host) > 0;
        free[host] = before;
        fits
    };
    candidates.into_iter().map(|(_, number)| number).find(|number| fits_instead_of(*number))
}
