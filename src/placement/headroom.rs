//! Capacity that is kept free for jobs of priority 0.
//!
//! Urgent jobs arrive in bursts while other work fills the pool. Stopping other runs takes about as
//! long as an urgent job may take altogether, so a little capacity stays free for the next one. More
//! would keep large gangs and single tasks waiting while it is idle.

use std::collections::VecDeque;

use super::pool::millihosts_taken;
use super::{View, for_each_unit};
use crate::tasks::Phase;

/// Window over which the peak demand is taken.
const DEMAND_WINDOW_MS: u64 = 20_000;

/// Largest share of the pool that is kept free.
const RESERVE_MAX_PERMILLE: u64 = 25;

/// Demand of jobs of priority 0 at one time, in thousandths of a host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Demand {
    /// Sum over all running and waiting units.
    pub(crate) total: u64,
    /// Largest of these units.
    pub(crate) largest_unit: u64,
}

/// Recent samples of the demand.
#[derive(Debug, Clone, Default)]
pub(crate) struct Headroom {
    samples: VecDeque<(u64, Demand)>,
}

impl Headroom {
    /// Records the demand and returns the capacity to keep free, in thousandths of a host.
    pub(crate) fn update(&mut self, now_ms: u64, demand: Demand, hosts: usize) -> u64 {
        self.samples.push_back((now_ms, demand));
        while self.samples.front().is_some_and(|(at_ms, _)| now_ms > at_ms + DEMAND_WINDOW_MS) {
            self.samples.pop_front();
        }
        let recent = self.samples.iter().map(|(_, demand)| demand);
        let peak = recent.clone().map(|demand| demand.total).max().unwrap_or(0);
        let largest_unit = recent.map(|demand| demand.largest_unit).max().unwrap_or(0);
        let reserve_max = hosts as u64 * RESERVE_MAX_PERMILLE;
        peak.saturating_sub(demand.total).max(largest_unit).min(reserve_max)
    }
}

/// Returns the current demand of jobs of priority 0.
pub(crate) fn urgent_demand(view: &View<'_>) -> Demand {
    let mut demand = Demand::default();
    for job in view.state.jobs.values() {
        let Some(queue) = view.state.queue_of(job) else { continue };
        let Some(host) = view.hosts.iter().find(|host| host.service == queue.service) else {
            continue;
        };
        if queue.priority > 0 {
            continue;
        }
        for_each_unit(job, |id, unit| {
            let waits = unit.phase == Phase::Waiting && job.outcome.is_none();
            if !waits && !unit.is_running() {
                return;
            }
            let step = &job.spec.steps[id.step as usize];
            let task_millihosts = millihosts_taken(&step.reserved(), &host.capacity);
            let unit_millihosts = task_millihosts * u64::from(step.unit_size());
            demand.total += unit_millihosts;
            demand.largest_unit = demand.largest_unit.max(unit_millihosts);
        });
    }
    demand
}
