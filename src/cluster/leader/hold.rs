//! Holding an upstream: extends its lease, reads its lists, and notices when it falls silent.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tracing::{debug, info, warn};

use super::{Leader, TaskRun};
use crate::cluster::clock::boot_ms;
use crate::cluster::upstream_calls::{CallFault, HoldOrder, TaskLists};
use crate::tasks::{Change, Life, TaskId};

/// Longest time that a call waits for an end; each call has its price.
const WAIT_MS: u64 = 2_000;

/// Time without an answer for which leases are still extended.
const EXTEND_UNTIL_SILENT_MS: u64 = 3_500;

/// Pause after a call without an answer.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Pause after a newer leader was noticed, until this one learns of it.
const FENCED_PAUSE: Duration = Duration::from_secs(2);

/// Time without heartbeats and answers after which a lapsed upstream is forgotten.
const FORGET_AFTER_MS: u64 = 20_000;

/// What to do after a call.
pub(super) enum Next {
    Again,
    Pause(Duration),
    End,
}

impl Leader {
    /// Holds one life of an upstream until it is over.
    pub(super) async fn hold_forever(self: Arc<Self>, life: Life) {
        loop {
            match self.hold_once(&life).await {
                Next::Again => {}
                Next::Pause(pause) => tokio::time::sleep(pause).await,
                Next::End => return,
            }
        }
    }

    async fn hold_once(&self, life: &Life) -> Next {
        if !self.replica.is_confirmed_leader() {
            // A leader that may have been replaced must not extend leases.
            return Next::Pause(RETRY_PAUSE);
        }
        let sent_ms = boot_ms();
        let Some(order) = self.hold_order(life, sent_ms) else { return Next::End };
        let Some(look_now) = self.look_now(life) else { return Next::End };
        let waits = order.wait_ms > 0;
        let lists = tokio::select! {
            lists = (self.calls.hold)(order) => lists,
            () = look_now.notified(), if waits => return self.look_at_once(life).await,
        };
        self.take_answer(life, lists, sent_ms).await
    }

    /// Looks without waiting for an end.
    async fn look_at_once(&self, life: &Life) -> Next {
        let sent_ms = boot_ms();
        let Some(mut order) = self.hold_order(life, sent_ms) else { return Next::End };
        order.wait_ms = 0;
        let lists = (self.calls.hold)(order).await;
        self.take_answer(life, lists, sent_ms).await
    }

    fn look_now(&self, life: &Life) -> Option<Arc<Notify>> {
        let soft = self.soft();
        soft.sessions.get(&life.id).map(|session| Arc::clone(&session.look_now))
    }

    async fn take_answer(
        &self,
        life: &Life,
        answer: Result<TaskLists, CallFault>,
        sent_ms: u64,
    ) -> Next {
        match answer {
            Ok(lists) => self.take_lists(life, &lists, sent_ms).await,
            Err(CallFault::OtherUpstream) => {
                warn!(upstream = %life.id, "another upstream answers at its address");
                self.end_life(life).await
            }
            Err(CallFault::Fenced) => {
                warn!(upstream = %life.id, term = self.term, "a newer leader has been there");
                Next::Pause(FENCED_PAUSE)
            }
            Err(_) if self.is_leaving(life) => self.end_life(life).await,
            Err(fault) => self.note_silence(life, &fault).await,
        }
    }

    /// Tells whether the upstream has said that it leaves now.
    pub(super) fn is_leaving(&self, life: &Life) -> bool {
        let soft = self.soft();
        soft.sessions.get(&life.id).is_some_and(|session| session.leaving)
    }

    fn hold_order(&self, life: &Life, now_ms: u64) -> Option<HoldOrder> {
        let ends_seen = {
            let inner = self.replica.lock();
            let upstream = inner.state.upstreams.get(&life.id)?;
            if upstream.life() != *life {
                return None;
            }
            upstream.ends_seen
        };
        let mut soft = self.soft();
        let session = soft.sessions.get_mut(&life.id).filter(|session| session.life == *life)?;
        let silent = session.silent_ms(now_ms).is_some_and(|ms| ms > EXTEND_UNTIL_SILENT_MS);
        // Leases that go on growing without an answer would never let lost work start elsewhere.
        let lease_until_ms = if silent { None } else { session.grant_lease(now_ms) };
        let look_only = !session.listed || session.leaving;
        let wait_ms = if look_only { 0 } else { WAIT_MS };
        Some(HoldOrder {
            address: Arc::clone(&session.address),
            upstream: Arc::clone(&life.id),
            fencing_token: self.term,
            ends_seen,
            lease_until_ms,
            wait_ms,
        })
    }

    /// Decides what a call without an answer means.
    async fn note_silence(&self, life: &Life, fault: &CallFault) -> Next {
        let now_ms = boot_ms();
        let (lapsed, forgotten) = {
            let soft = self.soft();
            let Some(session) = soft.sessions.get(&life.id) else { return Next::End };
            let lapsed = session.lapsed(now_ms);
            let quiet_ms = now_ms.saturating_sub(session.beat_ms);
            (lapsed, lapsed && quiet_ms > FORGET_AFTER_MS)
        };
        debug!(upstream = %life.id, error = %fault, lapsed, "upstream does not answer");
        if forgotten {
            return self.end_life(life).await;
        }
        if lapsed {
            self.lose_runs(life).await;
        }
        Next::Pause(RETRY_PAUSE)
    }

    /// Records that all runs of a life are over because its lease has ended.
    async fn lose_runs(&self, life: &Life) {
        let recorded = self.replica.lock().state.runs_of(life);
        if recorded.is_empty() {
            return;
        }
        let runs: Vec<_> = {
            let soft = self.soft();
            let seen = soft.sessions.get(&life.id).map(|session| &session.runs);
            let checkpoint = |task: &TaskId| {
                let seen = seen.and_then(|runs| runs.get(task));
                seen.map(|seen| Arc::clone(&seen.checkpoint))
            };
            let lost = |(task, run): TaskRun| {
                let checkpoint = checkpoint(&task);
                crate::tasks::LostRun { task, run, checkpoint }
            };
            recorded.into_iter().map(lost).collect()
        };
        warn!(upstream = %life.id, runs = runs.len(), "lease of a silent upstream has ended");
        let change = Change::Lost { life: life.clone(), runs };
        if self.replica.propose(change).await.is_err() {
            debug!(upstream = %life.id, "could not record lost runs");
        }
    }

    /// Removes a life whose process is gone.
    async fn end_life(&self, life: &Life) -> Next {
        info!(upstream = %life.id, born_unix_ms = life.born_unix_ms, "upstream is gone");
        match self.replica.propose(Change::Leave { life: life.clone() }).await {
            Ok(()) => Next::End,
            Err(_) => Next::Pause(RETRY_PAUSE),
        }
    }
}
