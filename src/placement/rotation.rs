//! Round-robin among lasting tasks.
//!
//! Load: more lasting tasks than the pool holds, and urgent jobs that displace them all the time, so
//! that capacity changes hands but is kept for others. In a pool that is just full, rotation would
//! only cost work.

use std::cmp::Reverse;

use super::View;
use super::order::Waiting;
use super::pool::Pool;
use super::preemption::Victims;
use super::room::{find_in, groups, tasks_for_host};
use crate::tasks::UnitId;

/// Time for which a lasting task waits before it replaces another one.
const WAIT_MAX_MS: u64 = 6_500;

/// Time that a lasting task runs before another one may replace it.
const TIME_SLICE_MS: u64 = 5_000;

/// One of this many lasting tasks may be replaced at one time.
const ROTATION_SHARE: usize = 12;

/// Tasks for which capacity has to change hands before tasks are rotated.
const TASKS_IN_UNUSED_MIN: u32 = 2;

/// Bound on the tasks that are replaced at one time.
#[derive(Debug)]
pub(super) struct Rotation {
    left: usize,
}

impl Rotation {
    pub(super) fn of(victims: &Victims) -> Self {
        let lasting = victims.open().filter(|(_, victim)| victim.ran_ms.is_some());
        Self { left: lasting.count().div_ceil(ROTATION_SHARE) }
    }

    /// Lets a lasting task that has waited for long replace one that has run for long.
    ///
    /// Returns the run to stop, if one has to be stopped now.
    pub(super) fn replace(
        &mut self,
        view: &View<'_>,
        pool: &mut Pool,
        victims: &mut Victims,
        unit: &Waiting<'_>,
    ) -> Option<(UnitId, u32)> {
        let is_single = unit.step.unit_size() == 1;
        let has_waited = unit.step.lasting && is_single && unit.waited_ms >= WAIT_MAX_MS;
        if !has_waited || self.left == 0 || pool.tasks_in_unused(view, unit) < TASKS_IN_UNUSED_MIN {
            return None;
        }
        let soon = pool.soon.clone();
        if let Some(places) = find_in(view, pool, &soon, unit) {
            // The run that it replaces is being stopped.
            pool.reserve(unit, &places);
            self.left -= 1;
            return None;
        }
        let number = longest_running(view, pool, victims, unit)?;
        self.left -= 1;
        let victim = victims.take(number, pool);
        pool.reserve(unit, &victim.hosts);
        Some((victim.unit.clone(), victim.run))
    }
}

/// Finds the lasting task that has run longest and in whose place the unit fits.
fn longest_running(
    view: &View<'_>,
    pool: &Pool,
    victims: &Victims,
    unit: &Waiting<'_>,
) -> Option<usize> {
    let usable: Vec<usize> = groups(view, pool, unit).into_iter().flatten().collect();
    let mut candidates: Vec<(u64, usize)> = victims
        .open()
        .filter(|(_, victim)| victim.priority >= unit.queue.priority)
        .filter_map(|(number, victim)| Some((victim.ran_ms?, number)))
        .filter(|(ran_ms, _)| *ran_ms >= TIME_SLICE_MS)
        .collect();
    candidates.sort_unstable_by_key(|(ran_ms, number)| (Reverse(*ran_ms), *number));
    let mut free = pool.soon.clone();
    let mut fits_instead_of = |number: usize| {
        let victim = victims.get(number);
        let &[host] = victim.hosts.as_slice() else { return false };
        let before = free[host];
        free[host].give(&victim.need);
        let fits = usable.contains(&host) && tasks_for_host(view, pool, &free, unit, host) > 0;
        free[host] = before;
        fits
    };
    candidates.into_iter().map(|(_, number)| number).find(|number| fits_instead_of(*number))
}
