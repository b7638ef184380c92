//! Records that decisions need not wait for: jobs that have begun, and the turns of refused callers.

use std::sync::Arc;

use tracing::debug;

use super::Leader;
use crate::tasks::{Change, JobId};

impl Leader {
    /// Notes that a task of a job has begun; the next pass records it.
    pub(super) fn note_begun(&self, id: &JobId) {
        let is_news = {
            let inner = self.replica.lock();
            inner.state.jobs.get(id).is_some_and(|job| !job.begun && job.outcome.is_none())
        };
        if is_news && self.term_state().begun.insert(id.clone()) {
            self.wake.notify_one();
        }
    }

    /// Records the jobs that have begun, which decisions need not wait for. If that fails, later lists
    /// show them again.
    pub(super) fn record_begun_jobs(self: &Arc<Self>) {
        let jobs: Vec<_> = self.term_state().begun.drain().collect();
        if jobs.is_empty() {
            return;
        }
        let leader = Arc::clone(self);
        self.spawn(async move {
            if leader.replica.propose(Change::RecordBegun { jobs }).await.is_err() {
                debug!("could not record jobs that have begun");
            }
        });
    }

    /// Records the turns of refused callers, so that the next leader keeps them.
    pub(super) fn record_returns(self: &Arc<Self>) {
        let now_ms = self.replica.lock().now_ms();
        let returns = self.term_state().admissions.take_unrecorded(now_ms);
        if returns.is_empty() {
            return;
        }
        let leader = Arc::clone(self);
        self.spawn(async move {
            let change = Change::RecordReturns { returns: returns.clone() };
            if leader.replica.propose(change).await.is_err() {
                debug!(turns = returns.len(), "could not record turns of refused callers");
                leader.term_state().admissions.keep_unrecorded(returns);
            }
        });
    }
}
