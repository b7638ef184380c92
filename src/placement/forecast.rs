//! Forecast: when a job would start if it were accepted now.
//!
//! Load pattern: at several times the normal load, the backlog grows by more than the pool does. A
//! job at its end is done long after its result is of use, and its caller is better off with a
//! refusal, now, that says when to come back.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::View;
use super::order::is_of_use;
use crate::tasks::{Job, JobSpec, Phase, Queue, Resources};

/// Share of the capacity that work gets while more of it waits; the rest is lost to fragments that
/// no waiting unit fits into, and to the time between two runs.
const USABLE_PERCENT: u64 = 85;

/// Longest forecast, for a pool that gets no work done.
const FORECAST_MAX_MS: u64 = 600_000;

/// Work: resources multiplied by the time for which they are needed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Work {
    /// Thousandths of a core for a second.
    cpu_millicore_s: u64,
    /// Thousandths of an accelerator for a second.
    accelerator_millis: u64,
}

impl Work {
    fn of(need: &Resources, tasks: u32, run_ms: u64) -> Self {
        let (cpu, accelerators) = (u64::from(need.cpu_millicores), u64::from(need.accelerators));
        let tasks = u64::from(tasks);
        Self {
            cpu_millicore_s: (cpu * tasks).saturating_mul(run_ms) / 1_000,
            accelerator_millis: (accelerators * tasks).saturating_mul(run_ms),
        }
    }

    fn of_job(view: &View<'_>, queue: &Queue, spec: &JobSpec) -> Self {
        let mut work = Self::default();
        for step in &spec.steps {
            work.add(Self::of(&step.reserved(), step.tasks, view.expected_run_ms(queue, step)));
        }
        work
    }

    fn add(&mut self, more: Self) {
        self.cpu_millicore_s = self.cpu_millicore_s.saturating_add(more.cpu_millicore_s);
        self.accelerator_millis = self.accelerator_millis.saturating_add(more.accelerator_millis);
    }
}

/// Capacity of a service, and the work for it by priority of the queue.
#[derive(Debug, Clone, Default)]
struct ServiceWork {
    capacity: Resources,
    /// Work that waits and whose result can still be of use.
    waiting: BTreeMap<u32, Work>,
}

/// Capacity and work of all services.
#[derive(Debug, Clone, Default)]
pub(crate) struct Backlog {
    services: HashMap<Arc<str>, ServiceWork>,
}

impl Backlog {
    /// Adds up the work of all jobs that wait.
    pub(crate) fn of(view: &View<'_>) -> Self {
        let mut backlog = Self::default();
        for host in view.hosts.iter().filter(|host| host.takes_work) {
            let service = backlog.services.entry(Arc::clone(&host.service)).or_default();
            service.capacity.add(&host.capacity);
        }
        for job in view.state.jobs.values() {
            let Some(queue) = view.state.queue_of(job) else { continue };
            let Some(service) = backlog.services.get_mut(&queue.service) else { continue };
            if job.outcome.is_none() && !job.spec.is_lasting() {
                let waiting = service.waiting.entry(queue.priority).or_default();
                add_waiting(waiting, view, job, queue);
            }
        }
        backlog
    }

    /// Adds a job that was accepted since the backlog was computed.
    pub(crate) fn add(&mut self, view: &View<'_>, queue: &Queue, spec: &JobSpec) {
        if let Some(service) = self.services.get_mut(&queue.service) {
            service.waiting.entry(queue.priority).or_default().add(Work::of_job(view, queue, spec));
        }
    }

    /// Returns the time after which a new job of the queue would start.
    ///
    /// `None` if no host of its service takes work, so that nothing can be told.
    pub(super) fn wait_ms(&self, queue: &Queue) -> Option<u64> {
        Some(self.services.get(&queue.service)?.wait_ms(queue.priority))
    }

    /// Returns the time in which all hosts of the queue's service together do the job's work.
    pub(super) fn work_ms(&self, view: &View<'_>, queue: &Queue, spec: &JobSpec) -> u64 {
        let service = self.services.get(&queue.service);
        service.map_or(0, |service| service.duration_ms(Work::of_job(view, queue, spec)))
    }
}

/// Adds the work of a job's waiting units.
fn add_waiting(waiting: &mut Work, view: &View<'_>, job: &Job, queue: &Queue) {
    let counts = |occurrence: u32| {
        // Work whose result would come too late goes after new jobs.
        job.spec.due_unix_ms(occurrence) <= view.unix_ms && is_of_use(view, job, queue, occurrence)
    };
    for (_, steps) in job.occurrences.iter().filter(|(occurrence, _)| counts(*occurrence)) {
        for (spec, step) in job.spec.steps.iter().zip(steps) {
            let units = step.units.iter().filter(|unit| unit.phase == Phase::Waiting).count();
            let tasks = u32::try_from(units).unwrap_or(u32::MAX).saturating_mul(spec.unit_size());
            waiting.add(Work::of(&spec.reserved(), tasks, view.expected_run_ms(queue, spec)));
        }
    }
}

impl ServiceWork {
    /// Returns the time after which a new job of a priority starts: when all work that goes before
    /// it is done. Work of higher priorities that is still to come is not known and not counted.
    fn wait_ms(&self, priority: u32) -> u64 {
        let mut ahead = Work::default();
        for work in self.waiting.range(..=priority).map(|(_, work)| *work) {
            ahead.add(work);
        }
        self.duration_ms(ahead)
    }

    /// Returns the time in which all hosts together do some work.
    fn duration_ms(&self, work: Work) -> u64 {
        let cpu = wait_ms(work.cpu_millicore_s, u64::from(self.capacity.cpu_millicores));
        let accelerators = u64::from(self.capacity.accelerators) * 1_000;
        cpu.max(wait_ms(work.accelerator_millis, accelerators))
    }
}

/// Returns the time in which the usable part of a capacity does some work.
fn wait_ms(work: u64, capacity: u64) -> u64 {
    if work == 0 {
        return 0;
    }
    let usable = capacity * USABLE_PERCENT / 100;
    work.saturating_mul(1_000).checked_div(usable).unwrap_or(FORECAST_MAX_MS).min(FORECAST_MAX_MS)
}
