//! Capacity that is kept free for the first priority.
//!
//! Load: urgent jobs arrive in bursts while others fill the pool. Stopping others takes about as
//! long as an urgent job may take altogether, so room for the demand of the recent past stays free.

use std::collections::VecDeque;

use super::pool::millihosts_taken;
use super::{View, for_each_unit};
use crate::tasks::Phase;

/// Time for which demand is remembered, in milliseconds.
const SPAN_MS: u64 = 20_000;

/// Largest share of the pool that is kept free, in thousandths.
const MOST_PERMILLE: u64 = 250;

/// Demand of the first priority at one time, in thousandths of a host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Demand {
    /// What runs and waits.
    pub(crate) total: u64,
    /// The largest unit among them.
    pub(crate) largest_unit: u64,
}

/// Demand of the recent past.
#[derive(Debug, Clone, Default)]
pub(crate) struct Headroom {
    samples: VecDeque<(u64, Demand)>,
}

impl Headroom {
    /// Notes the demand and returns how much capacity to keep free.
    pub(crate) fn reserve(&mut self, now_ms: u64, demand: Demand, hosts: usize) -> u64 {
        self.samples.push_back((now_ms, demand));
        while self.samples.front().is_some_and(|(at_ms, _)| now_ms > at_ms + SPAN_MS) {
            self.samples.pop_front();
        }
        let recent = self.samples.iter().map(|(_, demand)| demand);
        let peak = recent.clone().map(|demand| demand.total).max().unwrap_or(0);
        let unit = recent.map(|demand| demand.largest_unit).max().unwrap_or(0);
        let most = hosts as u64 * MOST_PERMILLE;
        peak.saturating_sub(demand.total).max(unit).min(most)
    }
}

/// Measures the demand of the first priority.
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
            let task = millihosts_taken(&step.reserved(), &host.capacity);
            let all = task * u64::from(step.unit_size());
            demand.total += all;
            demand.largest_unit = demand.largest_unit.max(all);
        });
    }
    demand
}
