//! Whether a job is accepted.
//!
//! Load: hopeless jobs, and more jobs than the pool can do. What can never fit is refused for good;
//! what could not be finished while it is of use is refused with the time to come back.

use super::View;
use super::is_eligible;
use super::room::tasks_that_fit;
use crate::tasks::{JobSpec, Queue};

/// Decision on a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Admission {
    Accepted,
    /// Come back after this time.
    Later {
        retry_after_ms: u64,
        reason: String,
    },
}

/// Time after which a caller may come back if no better time is known.
const RETRY_AFTER_MS: u64 = 2_000;

/// Decides whether a job of a queue is accepted.
pub(crate) fn admit(view: &View<'_>, queue: &Queue, spec: &JobSpec) -> Admission {
    for (number, step) in spec.steps.iter().enumerate() {
        let eligible = view.hosts.iter().filter(|host| is_eligible(host, step, &queue.service));
        let fits = eligible.map(|host| {
            let tasks = tasks_that_fit(&step.reserved(), &host.capacity);
            if step.spread_limit == 0 { tasks } else { tasks.min(step.spread_limit) }
        });
        let room: u64 = fits.map(u64::from).sum();
        if room < u64::from(step.unit_size()) {
            let reason = format!("step {number} fits on no host of {}", queue.service);
            return Admission::Later { retry_after_ms: RETRY_AFTER_MS, reason };
        }
    }
    Admission::Accepted
}
