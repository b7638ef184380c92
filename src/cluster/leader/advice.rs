//! Asking the advising service which upstreams may run a step.

use std::sync::Arc;

use tracing::{info, warn};

use super::Leader;
use crate::cluster::upstream_calls::AdviceRequest;
use crate::placement::{ApprovalRequest, without_pending};

/// Most questions that wait or are under way; the service answers one after the other.
const QUESTIONS_MAX: usize = 8;

/// Time for an answer on top of the time that the service needs for its decision.
const ANSWER_MARGIN_MS: u64 = 2_000;

impl Leader {
    /// Sends questions that are not under way yet.
    pub(super) fn ask(self: &Arc<Self>, questions: Vec<ApprovalRequest>) {
        let new = {
            let mut soft = self.soft();
            let mut new = without_pending(questions, &soft.asking);
            new.truncate(QUESTIONS_MAX.saturating_sub(soft.asking.len()));
            soft.asking.extend(new.iter().map(|question| question.step.clone()));
            new
        };
        for question in new {
            self.spawn(Arc::clone(self).ask_one(question));
        }
    }

    async fn ask_one(self: Arc<Self>, question: ApprovalRequest) {
        let upstreams: Vec<_> = question.lives.iter().map(|life| Arc::clone(&life.id)).collect();
        let limit_ms = self.answer_limit_ms(&question);
        let step = question.step.to_string();
        let asked = AdviceRequest { step, upstreams, limit_ms };
        let sent_ms = self.replica.lock().now_ms();
        let answer = (self.calls.advise)(asked).await;
        let mut soft = self.soft();
        soft.asking.remove(&question.step);
        match answer {
            Ok(answer) => {
                let valid_ms = answer.valid_ms.unwrap_or(question.valid_ms);
                info!(
                    request = %question.step.job, step = %question.step,
                    asked = question.lives.len(), approved = answer.approved.len(), valid_ms,
                    "upstreams were approved"
                );
                let until_ms = sent_ms + valid_ms;
                soft.approvals.record(&question.step, &question.lives, &answer.approved, until_ms);
            }
            Err(fault) => {
                warn!(
                    request = %question.step.job, step = %question.step, error = %fault,
                    "no advice"
                );
            }
        }
        drop(soft);
        self.wake.notify_one();
    }

    /// Time after which an answer is no longer awaited.
    fn answer_limit_ms(&self, question: &ApprovalRequest) -> u64 {
        let inner = self.replica.lock();
        let job = inner.state.jobs.get(&question.step.job);
        let advice = job.and_then(|job| inner.state.queue_of(job)).and_then(|queue| queue.advice);
        let decision_ms = advice.map_or(0, |advice| {
            advice.decision_ms + advice.each_upstream_ms * question.lives.len() as u64
        });
        decision_ms * QUESTIONS_MAX as u64 + ANSWER_MARGIN_MS
    }
}
