//! Forecast: when a job would start if it were accepted now.
//!
//! Load pattern: at several times the normal load, the backlog grows by more than the pool does. A
//! job at its end is done long after its result is of use, and its caller is better off with a
//! refusal, now, that says when to come back.
//!
//! Within a priority, the backlog of the job's own organisation counts in full, and that of the others
//! only up to the part that they get while the job waits (`shares.rs`): a flood of one organisation
//! delays its own jobs.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::View;
use super::order::is_of_use;
use super::shares::{attained, scaled, weight};
use crate::tasks::{Job, JobSpec, Organisation, Phase, Queue, Resources, Usage};

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

    /// Returns a usage that is multiplied by milliseconds.
    fn of_history(history: Usage) -> Self {
        Self {
            cpu_millicore_s: history.cpu_millicores / 1_000,
            accelerator_millis: history.accelerators,
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

    fn scaled(self, numerator: u64, denominator: u64) -> Self {
        Self {
            cpu_millicore_s: scaled(self.cpu_millicore_s, numerator, denominator),
            accelerator_millis: scaled(self.accelerator_millis, numerator, denominator),
        }
    }
}

/// What decides the part of an organisation.
#[derive(Debug, Clone, Copy)]
struct Claim {
    weight: u64,
    /// Recently attained service.
    history: Work,
}

/// Time that the pool needs for work that was promised a turn, by priority and organisation.
pub(super) type PromisedWork = BTreeMap<(u32, Arc<str>), u64>;

/// A job whose wait is to be forecast.
#[derive(Debug, Clone, Copy)]
pub(super) struct Applicant<'a> {
    pub(super) queue: &'a Queue,
    pub(super) organisation: &'a str,
    /// Time that the pool needs for the job's work.
    pub(super) work_ms: u64,
}

/// Capacity of a service, and the work for it by priority of the queue.
#[derive(Debug, Clone, Default)]
struct ServiceWork {
    capacity: Resources,
    /// Work by organisation that waits and whose result can still be of use.
    waiting: BTreeMap<u32, BTreeMap<Arc<str>, Work>>,
    /// Organisations that are configured or have attained service.
    claims: HashMap<Arc<str>, Claim>,
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
        let configuration = view.state.configuration.as_deref();
        for service in backlog.services.values_mut() {
            for known in configuration.iter().flat_map(|conf| &conf.organisations) {
                let claim = Claim { weight: known.weight.into(), history: Work::default() };
                service.claims.insert(Arc::clone(&known.name), claim);
            }
        }
        for ((service, organisation), attained) in attained(view) {
            if let Some(service) = backlog.services.get_mut(&service) {
                let weight = weight(configuration, &organisation);
                let history = Work::of_history(attained.history);
                service.claims.insert(organisation, Claim { weight, history });
            }
        }
        let public = Arc::default();
        for job in view.state.jobs.values() {
            let Some(queue) = view.state.queue_of(job) else { continue };
            let Some(service) = backlog.services.get_mut(&queue.service) else { continue };
            if job.outcome.is_none() && !job.spec.is_lasting() {
                let by_organisation = service.waiting.entry(queue.priority).or_default();
                let organisation = job.organisation.as_ref().unwrap_or(&public);
                add_waiting(work_of(by_organisation, organisation), view, job, queue);
            }
        }
        backlog
    }

    /// Adds a job that was accepted since the backlog was computed.
    pub(super) fn add(
        &mut self,
        view: &View<'_>,
        queue: &Queue,
        organisation: &str,
        spec: &JobSpec,
    ) {
        if let Some(service) = self.services.get_mut(&queue.service) {
            let by_organisation = service.waiting.entry(queue.priority).or_default();
            work_of(by_organisation, &organisation.into()).add(Work::of_job(view, queue, spec));
        }
    }

    /// Returns the time after which a new job would start.
    ///
    /// `None` if no host of its service takes work, so that nothing can be told.
    pub(super) fn wait_ms(&self, job: &Applicant<'_>, promised: &PromisedWork) -> Option<u64> {
        Some(self.services.get(&job.queue.service)?.wait_ms(job, promised))
    }

    /// Returns the time in which all hosts of the queue's service together do the job's work.
    pub(super) fn work_ms(&self, view: &View<'_>, queue: &Queue, spec: &JobSpec) -> u64 {
        let service = self.services.get(&queue.service);
        service.map_or(0, |service| service.duration_ms(Work::of_job(view, queue, spec)))
    }
}

fn work_of<'a>(
    by_organisation: &'a mut BTreeMap<Arc<str>, Work>,
    organisation: &Arc<str>,
) -> &'a mut Work {
    by_organisation.entry(Arc::clone(organisation)).or_default()
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
    /// Returns the time after which a new job starts: when all work that goes before it is done. Work
    /// of higher priorities that is still to come is not known and not counted.
    fn wait_ms(&self, job: &Applicant<'_>, promised: &PromisedWork) -> u64 {
        let (priority, own) = (job.queue.priority, job.organisation);
        let mut ahead = Work::default();
        let mut ahead_ms = 0;
        for work in self.waiting.range(..priority).flat_map(|(_, by_name)| by_name.values()) {
            ahead.add(*work);
        }
        for (_, promised_ms) in promised.iter().filter(|((other, _), _)| *other < priority) {
            ahead_ms += promised_ms;
        }
        let mut same: BTreeMap<&str, (Work, u64)> = BTreeMap::new();
        for (organisation, work) in self.waiting.get(&priority).into_iter().flatten() {
            same.entry(organisation).or_default().0 = *work;
        }
        for ((_, organisation), promised_ms) in
            promised.iter().filter(|((other, _), _)| *other == priority)
        {
            same.entry(organisation).or_default().1 = *promised_ms;
        }
        let (own_work, own_promised_ms) = same.remove(own).unwrap_or_default();
        let own_ms = self.duration_ms(own_work) + own_promised_ms + job.work_ms;
        ahead.add(own_work);
        ahead_ms += own_promised_ms;
        for (other, (work, promised_ms)) in same {
            let work_ms = self.duration_ms(work);
            let part_ms = self.part_ms(own, own_ms, other).min(work_ms + promised_ms);
            ahead.add(work.scaled(part_ms.min(work_ms), work_ms));
            ahead_ms += part_ms.saturating_sub(work_ms);
        }
        self.duration_ms(ahead) + ahead_ms
    }

    /// Returns how much of the pool's time another organisation gets while `own_ms` of an
    /// organisation's work is done, if both get service by weight, what they recently had included.
    fn part_ms(&self, own: &str, own_ms: u64, other: &str) -> u64 {
        let (own, other) = (self.claim(own), self.claim(other));
        let own_total_ms = own_ms.saturating_add(self.duration_ms(own.history));
        let other_total_ms = scaled(own_total_ms, other.weight, own.weight);
        other_total_ms.saturating_sub(self.duration_ms(other.history))
    }

    fn claim(&self, organisation: &str) -> Claim {
        let unknown =
            Claim { weight: Organisation::DEFAULT_WEIGHT.into(), history: Work::default() };
        self.claims.get(organisation).copied().unwrap_or(unknown)
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
