//! Admission of submitted jobs.
//!
//! A job that could not start even on empty hosts, or whose result would come too late to be of use,
//! is refused with the time after which the caller may submit it again. So is one for which this host has
//! no memory, also if it is due later or lasts.
//!
//! Load patterns: a burst that the pool cannot do in time, and callers who return from refusals.
//! Refused callers return in the order in which they came, spread over the time in which the pool
//! does their work, and a new caller does not take the place that was promised to an earlier one.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

use super::evacuation::hindrance;
use super::forecast::{Applicant, Backlog, PromisedWork};
use super::order::{is_covered, useful_ms};
use super::room::tasks_that_fit;
use super::{View, is_eligible};
use crate::tasks::{JobId, JobSpec, PromisedReturn, Queue, RETURNS_MAX};

/// Admission decision on a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Admission {
    Accepted {
        /// Time after which the job is expected to be done; absent if nothing can be told.
        forecast_ms: Option<u64>,
    },
    /// Refused for now; the caller may submit it again after this time.
    RetryLater { retry_after_ms: u64, reason: String },
}

/// Time after which a caller may submit a job again for which no host is registered.
const NO_HOST_RETRY_MS: u64 = 2_000;

/// Time after which a caller may submit a job again for which there is no memory.
const NO_MEMORY_RETRY_MS: u64 = 5_000;

/// Part of the memory for jobs that accepted ones may take; the rest is for the occurrences that they
/// open later.
const ADMITTED_MEMORY_PERCENT: u64 = 75;

/// Shortest and longest time after which a caller may submit a job again.
const RETRY_MIN_MS: u64 = 1_000;
const RETRY_MAX_MS: u64 = 60_000;

/// Largest number of turns that one entry of the log records.
const RETURNS_BATCH_MAX: usize = 256;

/// Time between two entries that record turns; the turns of the latest one are lost with a leader.
const RETURNS_INTERVAL_MS: u64 = 1_000;

/// When a job would be done.
#[derive(Debug, Clone, Copy)]
struct Forecast {
    done_after_ms: u64,
    /// Time by which the result would come too late to be of use.
    excess_ms: u64,
}

/// State of the admission of jobs; it belongs to one leader, and the turns of refused callers are
/// replicated.
#[derive(Debug, Default)]
pub(crate) struct Admissions {
    /// Whether the replicated turns were read.
    is_loaded: bool,
    backlog: Backlog,
    returns: BTreeMap<JobId, PromisedReturn>,
    /// Callers whose turns are not replicated yet.
    unrecorded: BTreeSet<JobId>,
    /// When turns were last handed over to be recorded.
    recorded_ms: u64,
    /// Jobs whose acceptance is being stored. It can no longer be refused, even if the caller asks
    /// again.
    storing: HashSet<JobId>,
    /// Estimated memory that the accepted jobs take.
    held_bytes: u64,
}

impl Admissions {
    /// Renews the backlog and forgets callers that did not return.
    pub(crate) fn update(&mut self, view: &View<'_>) {
        if !self.is_loaded {
            self.is_loaded = true;
            self.returns = view.state.returns.clone();
        }
        self.backlog = Backlog::of(view);
        self.held_bytes = view.state.held_bytes();
        self.returns.retain(|_, promised| !promised.is_missed(view.now_ms));
    }

    /// Takes the turns that are to be recorded now, a batch at most once a second.
    pub(crate) fn take_unrecorded(&mut self, now_ms: u64) -> Vec<(JobId, PromisedReturn)> {
        if self.unrecorded.is_empty() || now_ms < self.recorded_ms + RETURNS_INTERVAL_MS {
            return Vec::new();
        }
        self.recorded_ms = now_ms;
        let mut batch = Vec::new();
        while let Some(id) = self.unrecorded.pop_first() {
            // Callers that were accepted meanwhile have no turn any more.
            if let Some(promised) = self.returns.get(&id) {
                batch.push((id, promised.clone()));
            }
            if batch.len() == RETURNS_BATCH_MAX {
                break;
            }
        }
        batch
    }

    /// Keeps turns that could not be recorded for the next batch.
    pub(crate) fn keep_unrecorded(&mut self, batch: Vec<(JobId, PromisedReturn)>) {
        self.unrecorded.extend(batch.into_iter().map(|(id, _)| id));
    }

    /// Decides whether a job is admitted to a queue.
    ///
    /// From an acceptance until [`Admissions::end_storing`], the job is not refused.
    pub(crate) fn decide(
        &mut self,
        view: &View<'_>,
        queue: &Queue,
        organisation: Option<&str>,
        (id, spec): (&JobId, &JobSpec),
    ) -> Admission {
        if !self.is_loaded {
            self.update(view);
        }
        if self.storing.contains(id) {
            return Admission::Accepted { forecast_ms: None };
        }
        if let Some(reason) = unplaceable(view, queue, spec) {
            return Admission::RetryLater { retry_after_ms: NO_HOST_RETRY_MS, reason };
        }
        let waits_anyway = spec.repeat.is_some() || spec.is_lasting();
        if !waits_anyway && let Some(reason) = hindrance(view, queue, spec) {
            return Admission::RetryLater { retry_after_ms: NO_HOST_RETRY_MS, reason };
        }
        let admitted_bytes = view.jobs_max_bytes * ADMITTED_MEMORY_PERCENT / 100;
        if self.held_bytes + initial_bytes(spec) > admitted_bytes {
            let reason = format!("the jobs that are held take {} bytes of memory", self.held_bytes);
            return Admission::RetryLater { retry_after_ms: NO_MEMORY_RETRY_MS, reason };
        }
        let promised = self.returns.remove(id);
        let work_ms = self.backlog.work_ms(view, queue, spec);
        let applicant =
            Applicant { queue, organisation: organisation.unwrap_or_default(), work_ms };
        let Some(forecast) = self.forecast(view, &applicant, spec, promised.as_ref()) else {
            return self.accept(view, &applicant, (id, spec), None);
        };
        let cannot_wait = spec.repeat.is_some() || spec.is_lasting();
        let is_guaranteed = queue.priority == 0 && is_covered(view, organisation, spec);
        if forecast.excess_ms == 0 || cannot_wait || is_guaranteed {
            return self.accept(view, &applicant, (id, spec), Some(forecast.done_after_ms));
        }
        let retry_after_ms = forecast.excess_ms.clamp(RETRY_MIN_MS, RETRY_MAX_MS);
        let promised = PromisedReturn {
            first_ms: promised.map_or(view.now_ms, |promised| promised.first_ms),
            at_ms: view.now_ms + retry_after_ms,
            service: Arc::clone(&queue.service),
            priority: queue.priority,
            organisation: applicant.organisation.into(),
            work_ms,
        };
        self.promise(id, promised);
        let reason = format!(
            "it would be done in {} ms, which is {} ms after it is of use",
            forecast.done_after_ms, forecast.excess_ms
        );
        Admission::RetryLater { retry_after_ms, reason }
    }

    /// Returns whether the acceptance of a job is being stored.
    pub(crate) fn is_storing(&self, id: &JobId) -> bool {
        self.storing.contains(id)
    }

    /// Keeps a caller's turn; beyond the bound, the latest turn is forgotten.
    fn promise(&mut self, id: &JobId, promised: PromisedReturn) {
        self.returns.insert(id.clone(), promised);
        self.unrecorded.insert(id.clone());
        if self.returns.len() > RETURNS_MAX {
            let latest = self.returns.iter().max_by_key(|(_, promised)| promised.at_ms);
            if let Some(id) = latest.map(|(id, _)| id.clone()) {
                self.returns.remove(&id);
                self.unrecorded.remove(&id);
            }
        }
    }

    /// Records that the acceptance of a job is stored, or that this leader cannot store it.
    pub(crate) fn end_storing(&mut self, id: &JobId) {
        self.storing.remove(id);
    }

    fn accept(
        &mut self,
        view: &View<'_>,
        job: &Applicant<'_>,
        (id, spec): (&JobId, &JobSpec),
        forecast_ms: Option<u64>,
    ) -> Admission {
        self.backlog.add(view, job.queue, job.organisation, spec);
        self.held_bytes += initial_bytes(spec);
        self.storing.insert(id.clone());
        Admission::Accepted { forecast_ms }
    }

    /// Returns when the job would be done; `None` if no host of its service takes work.
    fn forecast(
        &self,
        view: &View<'_>,
        job: &Applicant<'_>,
        spec: &JobSpec,
        promised: Option<&PromisedReturn>,
    ) -> Option<Forecast> {
        let queue = job.queue;
        let own_turn_ms = promised.map(|promised| promised.at_ms);
        let wait_ms = self.backlog.wait_ms(job, &self.promised_work(queue, own_turn_ms))?;
        let done_after_ms = wait_ms + view.critical_path_ms(queue, spec);
        let first_ms = promised.map_or(view.now_ms, |promised| promised.first_ms);
        // Without a backlog nothing is gained by a refusal, however long the caller has waited.
        let waited_ms = if wait_ms == 0 { 0 } else { view.now_ms.saturating_sub(first_ms) };
        let excess_ms = (waited_ms + done_after_ms).saturating_sub(useful_ms(view, queue, spec));
        Some(Forecast { done_after_ms, excess_ms })
    }

    /// Returns the time that the pool needs for the jobs of callers who return earlier.
    fn promised_work(&self, queue: &Queue, own_turn_ms: Option<u64>) -> PromisedWork {
        let is_earlier = |promised: &&PromisedReturn| {
            promised.service == queue.service
                && promised.priority <= queue.priority
                && own_turn_ms.is_none_or(|own_ms| promised.at_ms < own_ms)
        };
        let mut work = PromisedWork::new();
        for promised in self.returns.values().filter(is_earlier) {
            let key = (promised.priority, Arc::clone(&promised.organisation));
            *work.entry(key).or_default() += promised.work_ms;
        }
        work
    }
}

/// Returns the memory that a job takes with its first occurrence.
fn initial_bytes(spec: &JobSpec) -> u64 {
    spec.held_bytes() + spec.occurrence_bytes()
}

/// Returns why no step of the job could start even on empty hosts, if this is so.
fn unplaceable(view: &View<'_>, queue: &Queue, spec: &JobSpec) -> Option<String> {
    let mut steps = spec.steps.iter().enumerate();
    let (number, _) = steps.find(|(_, step)| {
        let eligible = view.hosts.iter().filter(|host| is_eligible(host, step, &queue.service));
        let fits = eligible.map(|host| {
            let tasks = tasks_that_fit(&step.reserved(), &host.capacity);
            if step.spread_limit == 0 { tasks } else { tasks.min(step.spread_limit) }
        });
        fits.map(u64::from).sum::<u64>() < u64::from(step.unit_size())
    })?;
    Some(format!("step {number} fits on no host of {}", queue.service))
}
