//! Admission of submitted jobs.
//!
//! A job with a step that the registered hosts could not hold even if they were empty is refused
//! with the time after which the caller may submit it again.

use super::View;
use super::is_eligible;
use super::room::tasks_that_fit;
use crate::tasks::{JobSpec, Queue};

/// Admission decision on a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Admission {
    Accepted,
    /// Refused for now; the caller may submit it again after this time.
    RetryLater {
        retry_after_ms: u64,
        reason: String,
    },
}

/// Time after which a caller may submit a refused job again.
const RETRY_AFTER_MS: u64 = 2_000;

/// Decides whether a job is admitted to a queue.
pub(crate) fn admit(view: &View<'_>, queue: &Queue, spec: &JobSpec) -> Admission {
    for (number, step) in spec.steps.iter().enumerate() {
        let eligible = view.hosts.iter().filter(|host| is_eligible(host, step, &queue.service));
        let fits = eligible.map(|host| {
            let tasks = tasks_that_fit(&step.reserved(), &host.capacity);
            if step.spread_limit == 0 { tasks } else { tasks.min(step.spread_limit) }
        });
        let tasks_max: u64 = fits.map(u64::from).sum();
        if tasks_max < u64::from(step.unit_size()) {
            let reason = format!("step {number} fits on no host of {}", queue.service);
            return Admission::RetryLater { retry_after_ms: RETRY_AFTER_MS, reason };
        }
    }
    Admission::Accepted
}
