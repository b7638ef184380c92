//! Turns among lasting tasks.
//!
//! Load: more lasting tasks than the pool holds, and urgent jobs that displace them all the time, so
//! that capacity changes hands but is kept for others. In a pool that is just full, a change of
//! turns would only cost work.

use std::cmp::Reverse;

use super::View;
use super::order::Waiting;
use super::pool::Pool;
use super::preemption::Victims;
use super::room::{find_in, groups, tasks_for_host};
use crate::tasks::UnitId;

/// Time for which a lasting task stays away before it takes the turn of another one.
const AWAY_MAX_MS: u64 = 6_500;

/// Time that a lasting task runs before another one may take its turn.
const TURN_MS: u64 = 5_000;

/// One of this many lasting tasks may change turns at one time.
const TURNS_SHARE: usize = 12;

/// Tasks for which capacity has to change hands before turns are changed.
const TASKS_IN_UNUSED_MIN: u32 = 2;

/// Bound on the turns that change at one time.
#[derive(Debug)]
pub(super) struct Turns {
    left: usize,
}

impl Turns {
    pub(super) fn of(victims: &Victims) -> Self {
        let lasting = victims.open().filter(|(_, victim)| victim.turn_ms.is_some());
        Self { left: lasting.count().div_ceil(TURNS_SHARE) }
    }

    /// Lets a lasting task that has been away for long take the place of one that has run for long.
    ///
    /// Returns the run to stop, if one has to be stopped now.
    pub(super) fn take(
        &mut self,
        view: &View<'_>,
        pool: &mut Pool,
        victims: &mut Victims,
        unit: &Waiting<'_>,
    ) -> Option<(UnitId, u32)> {
        let is_single = unit.step.unit_size() == 1;
        let is_away = unit.step.lasting && is_single && unit.waited_ms >= AWAY_MAX_MS;
        if !is_away || self.left == 0 || pool.tasks_in_unused(view, unit) < TASKS_IN_UNUSED_MIN {
            return None;
        }
        let soon = pool.soon.clone();
        if let Some(places) = find_in(view, pool, &soon, unit) {
            // The run whose turn it takes is being stopped.
            pool.reserve(unit, &places);
            self.left -= 1;
            return None;
        }
        let number = longest_turn(view, pool, victims, unit)?;
        self.left -= 1;
        let victim = victims.take(number, pool);
        pool.reserve(unit, &victim.hosts);
        Some((victim.unit.clone(), victim.run))
    }
}

/// Finds the run with the longest turn in whose place the unit fits.
fn longest_turn(
    view: &View<'_>,
    pool: &Pool,
    victims: &Victims,
    unit: &Waiting<'_>,
) -> Option<usize> {
    let usable: Vec<usize> = groups(view, pool, unit).into_iter().flatten().collect();
    let mut candidates: Vec<(u64, usize)> = victims
        .open()
        .filter(|(_, victim)| victim.priority >= unit.queue.priority)
        .filter_map(|(number, victim)| Some((victim.turn_ms?, number)))
        .filter(|(turn_ms, _)| *turn_ms >= TURN_MS)
        .collect();
    candidates.sort_unstable_by_key(|(turn_ms, number)| (Reverse(*turn_ms), *number));
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
