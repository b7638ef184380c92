//! The order in which waiting units get their turn.
//!
//! Load: more work arrives than the pool can do. First come first served then makes every job late;
//! here jobs that can still be on time go before those that can only be late, and those that
//! nobody waits for any more go last.

use std::collections::HashMap;
use std::sync::Arc;

use smallvec::SmallVec;

use super::{View, for_each_unit};
use crate::tasks::{Configuration, Job, JobSpec, Phase, Queue, Resources, StepSpec, UnitId};

/// Whether a job can still be finished when its caller needs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timeliness {
    OnTime,
    Late,
    Hopeless,
}

/// Kinds of work that go before others whatever their queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Band {
    /// First priority under a guarantee: each job has to begin within a bound, late or not.
    Guaranteed,
    /// First priority otherwise.
    Urgent,
    /// Tasks that run until they are cancelled: each moment away is service lost.
    Lasting,
    Other,
}

impl Band {
    fn of(queue: &Queue, step: &StepSpec, is_covered: bool) -> Self {
        match (queue.priority, step.lasting) {
            _ if is_covered => Self::Guaranteed,
            (0, _) => Self::Urgent,
            (_, true) => Self::Lasting,
            (_, false) => Self::Other,
        }
    }

    /// Units wait first come first served here, whatever their jobs can still reach for their callers.
    fn is_fifo(self) -> bool {
        matches!(self, Self::Guaranteed | Self::Lasting)
    }
}

/// Place in the order; lower ones go first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    band: Band,
    priority: u32,
    timeliness: Timeliness,
    /// Steps of a job that has begun go first, since a half-done job is worth nothing.
    not_begun: bool,
    /// When its job was accepted, or when a lasting task last began to wait.
    since_ms: u64,
    id: UnitId,
}

/// A unit whose turn has come.
#[derive(Debug)]
pub(super) struct Waiting<'a> {
    pub(super) id: UnitId,
    pub(super) step: &'a StepSpec,
    pub(super) queue: &'a Queue,
    pub(super) run: u32,
    pub(super) rank: Rank,
    pub(super) may_preempt: bool,
    pub(super) waited_ms: u64,
}

/// Objective times this is the latest time at which a result is still of use.
const USEFUL_FACTOR: u64 = 3;

/// Returns the longest chain of steps on estimated run times.
pub(crate) fn work_chain_ms(spec: &JobSpec) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for step in &spec.steps {
        let begin = step.after.iter().map(|before| ends[*before as usize]).max().unwrap_or(0);
        ends.push(begin + step.estimate_ms);
    }
    ends.into_iter().max().unwrap_or(0)
}

/// Returns the time within which a job should be completed.
pub(crate) fn objective_ms(queue: &Queue, chain_ms: u64) -> u64 {
    (chain_ms.saturating_mul(queue.slack_permille) / 1_000).saturating_add(queue.target_ms)
}

/// Lists the units whose turn has come, in no particular order.
pub(super) fn waiting_units<'a>(view: &View<'a>) -> Vec<Waiting<'a>> {
    let Some(configuration) = &view.state.configuration else { return Vec::new() };
    let mut guarantees = Guarantees::of(view, configuration);
    let mut waiting = Vec::new();
    let mut open: Vec<&Job> =
        view.state.jobs.values().filter(|job| job.outcome.is_none()).collect();
    open.sort_by_key(|job| job.accepted_ms);
    for job in open {
        let Some(queue) = view.state.queue_of(job) else { continue };
        let is_covered = queue.priority == 0 && guarantees.covers(job);
        let occurrences = 0..job.spec.occurrences();
        let timeliness: SmallVec<[Timeliness; 1]> =
            occurrences.map(|occurrence| Timeliness::of(view, job, queue, occurrence)).collect();
        for_each_unit(job, |id, unit| {
            let (occurrence, step) = (id.occurrence as usize, id.step as usize);
            let due = job.spec.due_unix_ms(id.occurrence) <= view.unix_ms;
            if unit.phase != Phase::Waiting || !due || !job.is_ready(occurrence, step) {
                return;
            }
            let timeliness = timeliness[occurrence];
            let step = &job.spec.steps[step];
            // Round-robin, so that no displaced lasting task stays away for long.
            let since_ms = if step.lasting { unit.waiting_since_ms } else { job.accepted_ms };
            let band = Band::of(queue, step, is_covered);
            let is_fifo = band.is_fifo();
            let rank = Rank {
                band,
                priority: queue.priority,
                timeliness: if is_fifo { Timeliness::OnTime } else { timeliness },
                not_begun: !is_fifo && !job.started,
                since_ms,
                id: id.clone(),
            };
            waiting.push(Waiting {
                id,
                step,
                queue,
                run: unit.run,
                rank,
                may_preempt: queue.priority == 0 && timeliness != Timeliness::Hopeless
                    || is_covered,
                waited_ms: view.now_ms.saturating_sub(unit.waiting_since_ms),
            });
        });
    }
    waiting
}

impl Timeliness {
    fn of(view: &View<'_>, job: &Job, queue: &Queue, occurrence: u32) -> Self {
        if job.spec.is_lasting() {
            return Self::OnTime;
        }
        let objective_ms = objective_ms(queue, work_chain_ms(&job.spec));
        let age_ms = match job.spec.due_unix_ms(occurrence) {
            0 => view.now_ms.saturating_sub(job.accepted_ms),
            due_unix_ms => view.unix_ms.saturating_sub(due_unix_ms),
        };
        let expected_ms = age_ms + remaining_chain_ms(job, occurrence);
        if expected_ms <= objective_ms {
            Self::OnTime
        } else if expected_ms <= objective_ms * USEFUL_FACTOR {
            Self::Late
        } else {
            Self::Hopeless
        }
    }
}

/// Returns the longest chain of steps that are not done.
fn remaining_chain_ms(job: &Job, occurrence: u32) -> u64 {
    let steps = &job.occurrences[occurrence as usize];
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for (spec, state) in job.spec.steps.iter().zip(steps) {
        let begin = spec.after.iter().map(|before| ends[*before as usize]).max().unwrap_or(0);
        let own_ms = if state.open == 0 { 0 } else { spec.estimate_ms };
        ends.push(begin + own_ms);
    }
    ends.into_iter().max().unwrap_or(0)
}

/// Accelerators that each organisation may still claim under its guarantee.
struct Guarantees {
    left: HashMap<Arc<str>, u32>,
}

impl Guarantees {
    fn of(_view: &View<'_>, configuration: &Configuration) -> Self {
        let left = configuration.organisations.iter();
        let left = left.map(|org| (Arc::clone(&org.name), org.guaranteed.accelerators)).collect();
        Self { left }
    }

    /// Tells whether a job of priority 0 is covered; older jobs are asked first.
    fn covers(&mut self, job: &Job) -> bool {
        let Some(organisation) = &job.organisation else { return false };
        let Some(left) = self.left.get_mut(organisation) else { return false };
        let needed = widest_need(job).accelerators;
        let covered = needed <= *left;
        if covered {
            *left -= needed;
        }
        covered
    }
}

/// Returns the most capacity that the open steps of a job need at once, taken as all together.
fn widest_need(job: &Job) -> Resources {
    let mut all = Resources::default();
    for (spec, state) in job.occurrences.iter().flat_map(|steps| job.spec.steps.iter().zip(steps)) {
        if state.open > 0 {
            for _ in 0..state.open * spec.unit_size() {
                all.give(&spec.need);
            }
        }
    }
    all
}
