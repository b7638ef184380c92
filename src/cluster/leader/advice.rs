//! Approval requests to the advising service: which upstreams may run a step.

use std::sync::Arc;

use tracing::{info, warn};

use super::Leader;
use crate::cluster::upstream_calls::AdviceRequest;
use crate::placement::{ApprovalRequest, without_pending};

/// Maximum number of requests under way; the service answers one at a time.
const PENDING_REQUESTS_MAX: usize = 8;

/// Time allowed for an answer in addition to the decision times of the service.
const ANSWER_MARGIN_MS: u64 = 2_000;

impl Leader {
    /// Sends the requests for steps that have none under way.
    pub(super) fn request_approvals(self: &Arc<Self>, requests: Vec<ApprovalRequest>) {
        let new = {
            let mut term_state = self.term_state();
            let mut new = without_pending(requests, &term_state.pending_approvals);
            new.truncate(PENDING_REQUESTS_MAX.saturating_sub(term_state.pending_approvals.len()));
            term_state.pending_approvals.extend(new.iter().map(|request| request.step.clone()));
            new
        };
        for request in new {
            self.spawn(Arc::clone(self).request_approval(request));
        }
    }

    async fn request_approval(self: Arc<Self>, request: ApprovalRequest) {
        let upstreams: Vec<_> =
            request.incarnations.iter().map(|incarnation| Arc::clone(&incarnation.id)).collect();
        let limit_ms = self.answer_limit_ms(&request);
        let step = request.step.to_string();
        let advice_question = AdviceRequest { step, upstreams, limit_ms };
        let sent_ms = self.replica.lock().now_ms();
        let answer = (self.calls.advise)(advice_question).await;
        let mut term_state = self.term_state();
        term_state.pending_approvals.remove(&request.step);
        match answer {
            Ok(answer) => {
                let valid_ms = answer.valid_ms.unwrap_or(request.valid_ms);
                info!(
                    request = %request.step.job, step = %request.step,
                    asked = request.incarnations.len(), approved = answer.approved.len(), valid_ms,
                    "upstreams were approved"
                );
                let until_ms = sent_ms + valid_ms;
                term_state.approvals.record(
                    &request.step,
                    &request.incarnations,
                    &answer.approved,
                    until_ms,
                );
            }
            Err(fault) => {
                warn!(
                    request = %request.step.job, step = %request.step, error = %fault,
                    "advising service gave no answer"
                );
            }
        }
        drop(term_state);
        self.wake.notify_one();
    }

    /// Returns how long to wait for the answer to a request.
    fn answer_limit_ms(&self, request: &ApprovalRequest) -> u64 {
        let inner = self.replica.lock();
        let job = inner.state.jobs.get(&request.step.job);
        let advice = job.and_then(|job| inner.state.queue_of(job)).and_then(|queue| queue.advice);
        let decision_ms = advice.map_or(0, |advice| {
            advice.decision_ms + advice.each_upstream_ms * request.incarnations.len() as u64
        });
        decision_ms * PENDING_REQUESTS_MAX as u64 + ANSWER_MARGIN_MS
    }
}
