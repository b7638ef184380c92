//! Holding an upstream: extends its lease, reads its lists, and notices when it falls silent.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tracing::{debug, info, warn};

use super::{Leader, TaskRun};
use crate::cluster::clock::boot_ms;
use crate::cluster::upstream_calls::{CallFault, HoldOrder, Lists};
use crate::tasks::{Change, Incarnation, TaskId};

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
    /// Holds one incarnation of an upstream until it is over.
    pub(super) async fn hold_forever(self: Arc<Self>, incarnation: Incarnation) {
        loop {
            match self.hold_once(&incarnation).await {
                Next::Again => {}
                Next::Pause(pause) => tokio::time::sleep(pause).await,
                Next::End => return,
            }
        }
    }

    async fn hold_once(&self, incarnation: &Incarnation) -> Next {
        if !self.replica.may_read() {
            // A leader that may have been replaced must not extend leases.
            return Next::Pause(RETRY_PAUSE);
        }
        let sent_ms = boot_ms();
        let Some(order) = self.hold_order(incarnation, sent_ms) else { return Next::End };
        let Some(look_now) = self.look_now(incarnation) else { return Next::End };
        let waits = order.wait_ms > 0;
        let lists = tokio::select! {
            lists = (self.calls.hold)(order) => lists,
            () = look_now.notified(), if waits => return self.look_at_once(incarnation).await,
        };
        self.take_answer(incarnation, lists, sent_ms).await
    }

    /// Looks without waiting for an end.
    async fn look_at_once(&self, incarnation: &Incarnation) -> Next {
        let sent_ms = boot_ms();
        let Some(mut order) = self.hold_order(incarnation, sent_ms) else { return Next::End };
        order.wait_ms = 0;
        let lists = (self.calls.hold)(order).await;
        self.take_answer(incarnation, lists, sent_ms).await
    }

    fn look_now(&self, incarnation: &Incarnation) -> Option<Arc<Notify>> {
        let soft = self.soft();
        soft.sessions.get(&incarnation.id).map(|session| Arc::clone(&session.look_now))
    }

    async fn take_answer(
        &self,
        incarnation: &Incarnation,
        answer: Result<Lists, CallFault>,
        sent_ms: u64,
    ) -> Next {
        match answer {
            Ok(lists) => self.take_lists(incarnation, &lists, sent_ms).await,
            Err(CallFault::OtherUpstream) => {
                warn!(upstream = %incarnation.id, "another upstream answers at its address");
                self.end_life(incarnation).await
            }
            Err(CallFault::Fenced) => {
                warn!(upstream = %incarnation.id, term = self.term, "a newer leader has been there");
                Next::Pause(FENCED_PAUSE)
            }
            Err(_) if self.is_leaving(incarnation) => self.end_life(incarnation).await,
            Err(fault) => self.note_silence(incarnation, &fault).await,
        }
    }

    /// Tells whether the upstream has said that it leaves now.
    pub(super) fn is_leaving(&self, incarnation: &Incarnation) -> bool {
        let soft = self.soft();
        soft.sessions.get(&incarnation.id).is_some_and(|session| session.leaving)
    }

    fn hold_order(&self, incarnation: &Incarnation, now_ms: u64) -> Option<HoldOrder> {
        let ends_seen = {
            let inner = self.replica.lock();
            let upstream = inner.state.upstreams.get(&incarnation.id)?;
            if upstream.incarnation() != *incarnation {
                return None;
            }
            upstream.ends_seen
        };
        let mut soft = self.soft();
        let session = soft
            .sessions
            .get_mut(&incarnation.id)
            .filter(|session| session.incarnation == *incarnation)?;
        let silent = session.silent_ms(now_ms).is_some_and(|ms| ms > EXTEND_UNTIL_SILENT_MS);
        // Leases that go on growing without an answer would never let lost work start elsewhere.
        let lease_until_ms = if silent { None } else { session.grant_lease(now_ms) };
        let look_only = !session.listed || session.leaving;
        let wait_ms = if look_only { 0 } else { WAIT_MS };
        Some(HoldOrder {
            address: Arc::clone(&session.address),
            upstream: Arc::clone(&incarnation.id),
            fencing_token: self.term,
            ends_seen,
            lease_until_ms,
            wait_ms,
        })
    }

    /// Decides what a call without an answer means.
    async fn note_silence(&self, incarnation: &Incarnation, fault: &CallFault) -> Next {
        let now_ms = boot_ms();
        let (lapsed, forgotten) = {
            let soft = self.soft();
            let Some(session) = soft.sessions.get(&incarnation.id) else { return Next::End };
            let lapsed = session.lapsed(now_ms);
            let quiet_ms = now_ms.saturating_sub(session.last_heartbeat_ms);
            (lapsed, lapsed && quiet_ms > FORGET_AFTER_MS)
        };
        debug!(upstream = %incarnation.id, error = %fault, lapsed, "upstream does not answer");
        if forgotten {
            return self.end_life(incarnation).await;
        }
        if lapsed {
            self.lose_runs(incarnation).await;
        }
        Next::Pause(RETRY_PAUSE)
    }

    /// Records that all runs of a incarnation are over because its lease has ended.
    async fn lose_runs(&self, incarnation: &Incarnation) {
        let recorded = self.replica.lock().state.runs_of(incarnation);
        if recorded.is_empty() {
            return;
        }
        let runs: Vec<_> = {
            let soft = self.soft();
            let seen = soft.sessions.get(&incarnation.id).map(|session| &session.runs);
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
        warn!(upstream = %incarnation.id, runs = runs.len(), "lease of a silent upstream has ended");
        let change = Change::RecordLost { incarnation: incarnation.clone(), runs };
        if self.replica.propose(change).await.is_err() {
            debug!(upstream = %incarnation.id, "could not record lost runs");
        }
    }

    /// Removes a incarnation whose process is gone.
    async fn end_life(&self, incarnation: &Incarnation) -> Next {
        info!(upstream = %incarnation.id, born_unix_ms = incarnation.born_unix_ms, "upstream is gone");
        match self
            .replica
            .propose(Change::RemoveUpstream { incarnation: incarnation.clone() })
            .await
        {
            Ok(()) => Next::End,
            Err(_) => Next::Pause(RETRY_PAUSE),
        }
    }
}
