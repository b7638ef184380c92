//! Sets the pace of filling tasks that run beside serving tasks.

use std::sync::Arc;

use tracing::{info, warn};

use super::{Leader, TaskRun};
use crate::cluster::clock::boot_ms;
use crate::cluster::upstream_calls::{OrderAnswer, PaceOrder};
use crate::placement::next_pace;
use crate::tasks::Incarnation;

/// Shortest time between two changes of one task's pace; load figures cover half a second.
const PACE_CHANGE_INTERVAL_MS: u64 = 600;

impl Leader {
    /// Sends a new pace to filling tasks whose pace should change.
    pub(super) fn pace_filling(self: &Arc<Self>) {
        for (incarnation, key, percent) in self.wanted_paces() {
            let order = {
                let mut term_state = self.term_state();
                term_state.paces.insert(key.clone(), (percent, boot_ms()));
                let Some(session) = term_state.sessions.get(&incarnation.id) else { continue };
                PaceOrder {
                    address: Arc::clone(&session.address),
                    upstream: Arc::clone(&incarnation.id),
                    fencing_token: self.term,
                    task: key.0.clone(),
                    run: key.1,
                    percent,
                }
            };
            info!(
                request = %key.0.job, task = %key.0, run = key.1,
                upstream = %incarnation.id, percent,
                "pace was set"
            );
            let calls = self.calls.clone();
            self.spawn(async move {
                match (calls.pace)(order).await {
                    Ok(OrderAnswer::Done { .. }) => {}
                    Ok(OrderAnswer::Refused(cause)) => {
                        warn!(task = %key.0, cause = %cause, "pace was refused");
                    }
                    Err(fault) => warn!(task = %key.0, error = %fault, "pace was not answered"),
                }
            });
        }
    }

    fn wanted_paces(&self) -> Vec<(Incarnation, TaskRun, u32)> {
        let now_ms = boot_ms();
        let inner = self.replica.lock();
        let term_state = self.term_state();
        let mut wanted = Vec::new();
        for session in term_state.sessions.values() {
            let mut tails = Vec::new();
            let mut filling = Vec::new();
            for (task, observed) in &session.runs {
                let Some(job) = inner.state.jobs.get(&task.job) else { continue };
                let Some(step) = job.spec.steps.get(task.step as usize) else { continue };
                if step.fills {
                    filling.push((task.clone(), observed.run));
                } else if step.tail_target_ms > 0
                    && let Some(tail_ms) = observed.load
                {
                    tails.push((tail_ms, step.tail_target_ms));
                }
            }
            for key in filling {
                let (pace, set_ms) = term_state.paces.get(&key).copied().unwrap_or((100, 0));
                let next = next_pace(pace, &tails);
                if next != pace && now_ms >= set_ms + PACE_CHANGE_INTERVAL_MS {
                    wanted.push((session.incarnation.clone(), key, next));
                }
            }
        }
        wanted
    }
}
