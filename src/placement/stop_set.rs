//! The cheapest set of runs whose end makes a unit fit on a group of hosts.
//!
//! Large gangs fill most racks. A stopped member ends its whole gang, so the set is chosen by the cost
//! of whole gangs, and what their members free on other hosts of the group counts as well.

use std::cmp::Reverse;

use super::View;
use super::free_capacity::FreeCapacity;
use super::order::WaitingUnit;
use super::pool::Pool;
use super::preemption::{StopSet, Victims};
use super::room::{fill_fullest_hosts, tasks_for_host};

/// Bounds of a search.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bounds {
    /// Cost that a set has to stay below.
    pub(super) cost_core_ms: u64,
    /// Time within which a run that ends by itself is not worth stopping; `None` if no end is relied on.
    pub(super) soon_ms: Option<u64>,
    /// Whether urgent runs that no guarantee covers may be stopped as well.
    pub(super) reclaims_urgent: bool,
}

/// What a search is about: the input of the decision, the pool, the candidates, and the unit.
type Subject<'a> = (&'a View<'a>, &'a Pool, &'a Victims, &'a WaitingUnit<'a>);

/// Returns the runs to stop so that the unit fits on the hosts, if there are any within the bounds.
///
/// `free` is the capacity that is free without further stops; it is the same again afterwards.
pub(super) fn cheapest_set(
    subject: Subject<'_>,
    hosts: &[usize],
    free: &mut [FreeCapacity],
    bounds: Bounds,
) -> Option<StopSet> {
    let mut search = Search::new(subject, hosts, free, bounds);
    let found = search.find();
    search.undo();
    found
}

/// Runs on one host that are stopped together to make more tasks fit.
#[derive(Debug, Clone)]
struct Move {
    runs: Vec<usize>,
    cost_core_ms: u64,
    /// Number of tasks that fit additionally in the whole group.
    gained: u32,
}

impl Move {
    /// Returns the cost for each task that is gained and wanted.
    fn cost_per_task(&self, wanted: u32) -> u64 {
        self.cost_core_ms / u64::from(self.gained.min(wanted).max(1))
    }
}

struct Search<'a> {
    view: &'a View<'a>,
    pool: &'a Pool,
    victims: &'a Victims,
    unit: &'a WaitingUnit<'a>,
    hosts: &'a [usize],
    free: &'a mut [FreeCapacity],
    bounds: Bounds,
    /// Whether each host belongs to the group.
    in_group: Vec<bool>,
    stopped: Vec<usize>,
    fitting: u32,
}

impl<'a> Search<'a> {
    fn new(
        (view, pool, victims, unit): Subject<'a>,
        hosts: &'a [usize],
        free: &'a mut [FreeCapacity],
        bounds: Bounds,
    ) -> Self {
        let mut in_group = vec![false; view.hosts.len()];
        for &host in hosts {
            in_group[host] = true;
        }
        let (stopped, fitting) = (Vec::new(), 0);
        let mut search =
            Self { view, pool, victims, unit, hosts, free, bounds, in_group, stopped, fitting };
        search.fitting = hosts.iter().map(|host| search.tasks_on(*host)).sum();
        search
    }

    fn find(&mut self) -> Option<StopSet> {
        let wanted = self.unit.step.unit_size();
        let limit = self.bounds.cost_core_ms;
        let mut moves: Vec<Option<Move>> =
            self.hosts.iter().map(|host| self.cheapest_move(*host)).collect();
        while self.fitting < wanted {
            let missing = wanted - self.fitting;
            let best = moves.iter().flatten().min_by_key(|found| found.cost_per_task(missing))?;
            let runs = best.runs.clone();
            for &number in &runs {
                self.stop(number);
            }
            if self.cost_core_ms() >= limit.saturating_mul(2) {
                // Even without the runs that turn out to be needless it is hardly the cheapest.
                return None;
            }
            for (found, host) in moves.iter_mut().zip(self.hosts) {
                let is_hit = |number: &usize| self.victims.get(*number).hosts.contains(host);
                if runs.iter().any(is_hit) {
                    *found = self.cheapest_move(*host);
                }
            }
        }
        self.drop_needless(wanted);
        let cost_core_ms = self.cost_core_ms();
        if cost_core_ms >= limit {
            return None;
        }
        let task_hosts =
            fill_fullest_hosts(self.view, self.pool, self.free, self.unit, self.hosts)?;
        Some(StopSet { task_hosts, stopped: self.stopped.clone(), cost_core_ms })
    }

    /// Returns the runs on a host to stop next so that at least one more task fits.
    fn cheapest_move(&mut self, host: usize) -> Option<Move> {
        let wanted = u64::from(self.unit.step.unit_size());
        let mut candidates: Vec<usize> = self
            .victims
            .on_host(host)
            .filter(|number| !self.stopped.contains(number))
            .filter(|number| {
                let victim = self.victims.get(*number);
                // A run that ends as soon by itself frees nothing when it is stopped.
                let ends_late = self.bounds.soon_ms.is_none_or(|soon_ms| victim.left_ms > soon_ms);
                let is_lower = victim.priority > self.unit.queue.priority;
                (is_lower || self.bounds.reclaims_urgent) && ends_late
            })
            .collect();
        candidates.sort_by_cached_key(|number| {
            let victim = self.victims.get(*number);
            let tasks = (victim.hosts.len() as u64).min(wanted);
            let freed = (tasks * victim.need.weight_millicores()).max(1);
            let cost = victim.cost_core_ms.saturating_mul(1_000) / freed;
            (cost, Reverse(victim.priority), Reverse(victim.ran_ms), *number)
        });
        let (fitting, before) = (self.fitting, self.tasks_on(host));
        let kept = self.stopped.len();
        let mut enough = false;
        for number in candidates {
            self.stop(number);
            enough = self.tasks_on(host) > before;
            if enough {
                break;
            }
        }
        let gained = self.fitting - fitting;
        let runs = self.stopped[kept..].to_vec();
        for &number in &runs {
            self.resume(number);
        }
        self.stopped.truncate(kept);
        let cost_core_ms = runs.iter().map(|number| self.victims.get(*number).cost_core_ms).sum();
        enough.then_some(Move { runs, cost_core_ms, gained })
    }

    /// Keeps runs, the most costly first, without which the unit still fits.
    fn drop_needless(&mut self, wanted: u32) {
        let mut by_cost = self.stopped.clone();
        by_cost.sort_by_key(|number| Reverse(self.victims.get(*number).cost_core_ms));
        for number in by_cost {
            self.resume(number);
            if self.fitting >= wanted {
                self.stopped.retain(|other| *other != number);
            } else {
                self.count(number, FreeCapacity::add);
            }
        }
    }

    fn tasks_on(&self, host: usize) -> u32 {
        tasks_for_host(self.view, self.pool, self.free, self.unit, host)
    }

    fn cost_core_ms(&self) -> u64 {
        self.stopped.iter().map(|number| self.victims.get(*number).cost_core_ms).sum()
    }

    fn stop(&mut self, number: usize) {
        self.stopped.push(number);
        self.count(number, FreeCapacity::add);
    }

    fn resume(&mut self, number: usize) {
        self.count(number, FreeCapacity::subtract);
    }

    /// Changes the free capacity on the hosts of a run and counts the tasks that fit again.
    fn count(
        &mut self,
        number: usize,
        change: impl Fn(&mut FreeCapacity, &crate::tasks::Resources),
    ) {
        let victim = self.victims.get(number);
        for &host in &victim.hosts {
            if !self.in_group[host] {
                continue;
            }
            self.fitting -= self.tasks_on(host);
            change(&mut self.free[host], &victim.need);
            self.fitting += self.tasks_on(host);
        }
    }

    fn undo(mut self) {
        for number in std::mem::take(&mut self.stopped) {
            self.resume(number);
        }
    }
}
