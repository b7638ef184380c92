//! Holding an upstream: extends its lease, reads its lists, and detects when it stops answering.
//!
//! One loop per upstream repeats a call that extends the lease and returns the running and ended
//! tasks. The upstream answers early when a task ends (long polling).

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;
use tracing::{debug, info, warn};

use super::lag::Shedding;
use super::losses::{Loss, LossSign};
use super::replacement::Supersession;
use super::session::{Session, is_possible_clock};
use super::{Leader, TaskRun};
use crate::cluster::clock::boot_ms;
use crate::cluster::upstream_calls::{CallFault, HoldOrder, TaskLists};
use crate::tasks::{Change, Incarnation, TaskId};

/// Longest time that a call waits for a task to end; shorter waits would cost more calls.
const LONG_POLL_MS: u64 = 2_000;

/// Longest wait of a call to a draining upstream, whose leases are shorter.
pub(super) const DRAINING_POLL_MS: u64 = 1_000;

/// Leases are extended unless the upstream has not answered for longer than this.
const EXTEND_LEASE_SILENCE_MAX_MS: u64 = 3_500;

/// Pause after a call without an answer.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Pause after an upstream has reported a newer leader, until this one steps down.
const FENCED_PAUSE: Duration = Duration::from_secs(2);

/// Pause between reads of the lists of an upstream that runs nothing, while connections are scarce.
const IDLE_POLL_PAUSE: Duration = Duration::from_secs(2);

/// Number of first calls of a term that are under way at the same time. A new leader of thousands of
/// upstreams that called all of them at once would answer nobody else for more than a second.
pub(super) const FIRST_CONTACTS_MAX: usize = 256;

/// Time after which a first call without an answer no longer keeps others from theirs.
const FIRST_CONTACT_SLOT: Duration = Duration::from_millis(100);

/// Time without heartbeats after which an upstream whose leases have ended is removed.
const REMOVE_SILENT_AFTER_MS: u64 = 20_000;

/// Longest wait of one call for the ends of the runs of an upstream that leaves; its caller waits for a
/// second.
const LAST_RUNS_CALL_TIMEOUT_MS: u64 = 800;

/// Time beyond the stop timeout in which the ends of the last runs of a leaving upstream are recorded.
pub(super) const LAST_RUNS_MARGIN_MS: u64 = 500;

const LAST_RUNS_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// State of the runs of an upstream that leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LastRuns {
    /// All of them have ended.
    Ended,
    /// Some are being stopped.
    Ending,
    /// Some have not ended in time; they are over when their lease is.
    Remaining,
}

/// What the holding loop does after a call.
pub(super) enum NextStep {
    Again,
    Pause(Duration),
    /// Pauses while the upstream runs nothing and its connection is needed elsewhere.
    PauseIdle,
    End,
}

impl Leader {
    /// Holds an upstream until it has left or restarted.
    pub(super) async fn hold_upstream(self: Arc<Self>, incarnation: Incarnation) {
        let mut next = self.hold_first(&incarnation).await;
        loop {
            match next {
                NextStep::Again => {}
                NextStep::Pause(pause) => tokio::time::sleep(pause).await,
                NextStep::PauseIdle => self.pause_idle(&incarnation).await,
                NextStep::End => return,
            }
            next = self.hold_once(&incarnation).await;
        }
    }

    /// Holds an upstream for the first time in this term, when its turn has come.
    async fn hold_first(&self, incarnation: &Incarnation) -> NextStep {
        let slot = self.first_contacts.acquire().await;
        let mut holding = pin!(self.hold_once(incarnation));
        if let Ok(next) = timeout(FIRST_CONTACT_SLOT, &mut holding).await {
            return next;
        }
        drop(slot);
        holding.await
    }

    /// Pauses until the next read of the lists is due or requested.
    async fn pause_idle(&self, incarnation: &Incarnation) {
        let Some(read_now) = self.read_now(incarnation) else { return };
        // A timeout ends the pause as well.
        _ = tokio::time::timeout(IDLE_POLL_PAUSE, read_now.notified()).await;
    }

    /// Returns whether the upstream is polled at intervals, since it runs nothing and connections
    /// are scarce or the leader falls behind. Its heartbeats show meanwhile that it is alive.
    fn polls_at_intervals(&self, incarnation: &Incarnation) -> bool {
        let is_short = self.calls.budget.is_scarce() || self.lag.shedding() >= Shedding::Optional;
        is_short && !self.replica.lock().state.has_runs(incarnation)
    }

    async fn hold_once(&self, incarnation: &Incarnation) -> NextStep {
        if !self.replica.is_confirmed_leader() {
            // A leader that may have been replaced must not extend leases.
            return NextStep::Pause(RETRY_PAUSE);
        }
        if let Some(supersession) = self.supersession_of(incarnation) {
            return self.await_successor(incarnation, supersession).await;
        }
        let sent_ms = boot_ms();
        let Some(order) = self.hold_order(incarnation, sent_ms) else { return NextStep::End };
        let Some(read_now) = self.read_now(incarnation) else { return NextStep::End };
        let waits = order.wait_ms > 0;
        let lists = tokio::select! {
            lists = (self.calls.hold)(order) => lists,
            () = read_now.notified(), if waits => return self.read_lists_at_once(incarnation).await,
        };
        self.handle_answer(incarnation, lists, sent_ms).await
    }

    /// Reads the lists without waiting for a task to end.
    async fn read_lists_at_once(&self, incarnation: &Incarnation) -> NextStep {
        if self.supersession_of(incarnation).is_some() {
            return NextStep::Again;
        }
        let sent_ms = boot_ms();
        let Some(mut order) = self.hold_order(incarnation, sent_ms) else { return NextStep::End };
        order.wait_ms = 0;
        let lists = (self.calls.hold)(order).await;
        self.handle_answer(incarnation, lists, sent_ms).await
    }

    /// Stops the runs of an upstream that leaves since `leaving_since_ms`, and waits until their ends are
    /// in the state.
    ///
    /// The upstream may go once its leave is acknowledged. Nobody else knows of the ends that its lists
    /// show, and runs that it takes along can't start elsewhere before their lease has ended.
    pub(super) async fn end_last_runs(
        &self,
        incarnation: &Incarnation,
        leaving_since_ms: u64,
    ) -> LastRuns {
        if let Some(read_now) = self.read_now(incarnation) {
            read_now.notify_one();
        }
        let begun_ms = boot_ms();
        let limit_ms = self.bounds.stop_timeout_ms + LAST_RUNS_MARGIN_MS;
        loop {
            let runs = self.replica.lock().state.runs_of(incarnation);
            if runs.is_empty() {
                return LastRuns::Ended;
            }
            let now_ms = boot_ms();
            if now_ms.saturating_sub(leaving_since_ms) > limit_ms {
                warn!(
                    upstream = %incarnation.id, runs = runs.len(),
                    "upstream leaves before its runs have ended"
                );
                return LastRuns::Remaining;
            }
            if now_ms.saturating_sub(begun_ms) > LAST_RUNS_CALL_TIMEOUT_MS {
                return LastRuns::Ending;
            }
            for (task, run) in runs {
                self.order_stop(incarnation, task, run, "upstream leaves");
            }
            tokio::time::sleep(LAST_RUNS_CHECK_INTERVAL).await;
        }
    }

    fn read_now(&self, incarnation: &Incarnation) -> Option<Arc<Notify>> {
        let term_state = self.term_state();
        term_state.sessions.get(&incarnation.id).map(|session| Arc::clone(&session.read_now))
    }

    async fn handle_answer(
        &self,
        incarnation: &Incarnation,
        answer: Result<TaskLists, CallFault>,
        sent_ms: u64,
    ) -> NextStep {
        if let Err(fault) = &answer {
            self.record_failed_hold(incarnation, fault, sent_ms);
        }
        match answer {
            Ok(lists) if !is_possible_clock(lists.clock_ms) => {
                let reason = format!("its clock shows {} ms", lists.clock_ms);
                self.handle_silence(incarnation, &CallFault::NoAnswer { reason }).await
            }
            Ok(lists) => match self.process_lists(incarnation, &lists, sent_ms).await {
                // The next call says that the ends are recorded, which it cannot after a pause.
                NextStep::Again
                    if lists.ended.is_empty() && self.polls_at_intervals(incarnation) =>
                {
                    NextStep::PauseIdle
                }
                next => next,
            },
            Err(CallFault::OtherUpstream) => {
                warn!(upstream = %incarnation.id, "another upstream answers at its address");
                self.remove_upstream(incarnation, LossSign::OtherAtAddress).await
            }
            Err(CallFault::Fenced) => {
                warn!(
                    upstream = %incarnation.id, term = self.term,
                    "upstream has accepted a newer leader"
                );
                NextStep::Pause(FENCED_PAUSE)
            }
            // The upstream was not asked, so it is not silent.
            Err(CallFault::NoConnection) => NextStep::Pause(RETRY_PAUSE),
            Err(_) if self.has_left(incarnation) => {
                self.remove_upstream(incarnation, LossSign::Silence).await
            }
            Err(fault) => self.handle_silence(incarnation, &fault).await,
        }
    }

    /// Records that a hold call failed.
    fn record_failed_hold(&self, incarnation: &Incarnation, fault: &CallFault, sent_ms: u64) {
        let mut term_state = self.term_state();
        if let Some(session) = term_state.sessions.get_mut(&incarnation.id)
            && session.incarnation == *incarnation
        {
            session.record_failed_hold();
            if *fault != CallFault::NoConnection {
                session.record_unanswered_hold(sent_ms);
            }
        }
    }

    /// Returns whether a leaving upstream that did not answer can be removed, since it runs nothing.
    ///
    /// Its announcement does not prove that it has ended, nor does a refused connection: it goes on for
    /// a while if its leave is not acknowledged, and a link may refuse as well. Runs end with their
    /// lease.
    fn has_left(&self, incarnation: &Incarnation) -> bool {
        self.is_leaving(incarnation) && !self.replica.lock().state.has_runs(incarnation)
    }

    /// Returns whether the upstream has announced that it leaves now.
    pub(super) fn is_leaving(&self, incarnation: &Incarnation) -> bool {
        let term_state = self.term_state();
        term_state.sessions.get(&incarnation.id).is_some_and(Session::is_leaving)
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
        let polls_at_intervals = self.polls_at_intervals(incarnation);
        let mut term_state = self.term_state();
        let session = term_state
            .sessions
            .get_mut(&incarnation.id)
            .filter(|session| session.incarnation == *incarnation)?;
        // Another incarnation counts its ends anew, and would drop those up to this number.
        let ends_seen = if session.is_incarnation_certain(now_ms) { ends_seen } else { 0 };
        let silent = session.unanswered_ms(now_ms) > EXTEND_LEASE_SILENCE_MAX_MS;
        // If leases were extended without end, the work of a silent upstream could never restart. The
        // runs of one that leaves are being stopped.
        let lease_until_ms =
            if silent || session.is_leaving() { None } else { session.grant_lease(now_ms) };
        let wait_ms = if !session.lists_read || session.is_leaving() || polls_at_intervals {
            0
        } else if session.is_draining() {
            DRAINING_POLL_MS
        } else {
            LONG_POLL_MS
        };
        Some(HoldOrder {
            address: Arc::clone(&session.address),
            upstream: Arc::clone(&incarnation.id),
            fencing_token: self.term,
            ends_seen,
            lease_until_ms,
            wait_ms,
        })
    }

    /// Handles a call without an answer: records lost runs or removes the upstream when due.
    pub(super) async fn handle_silence(
        &self,
        incarnation: &Incarnation,
        fault: &CallFault,
    ) -> NextStep {
        let now_ms = boot_ms();
        let (lapsed, remove) = {
            let term_state = self.term_state();
            let Some(session) = term_state.sessions.get(&incarnation.id) else {
                return NextStep::End;
            };
            let lapsed = session.has_lapsed(now_ms);
            let since_heartbeat_ms = now_ms.saturating_sub(session.last_heartbeat_ms);
            let gone = session.is_leaving() || since_heartbeat_ms > REMOVE_SILENT_AFTER_MS;
            (lapsed, lapsed && gone)
        };
        debug!(upstream = %incarnation.id, error = %fault, lapsed, "upstream does not answer");
        if remove {
            // This keeps the checkpoints that were observed.
            self.record_lost_runs(incarnation).await;
            return self.remove_upstream(incarnation, LossSign::Silence).await;
        }
        if lapsed {
            self.record_lost_runs(incarnation).await;
        }
        NextStep::Pause(RETRY_PAUSE)
    }

    /// Waits for the heartbeat of a successor, which ends the runs of the upstream that it replaces.
    ///
    /// The successor gets no calls that were meant for the former incarnation. If it can't be asked about
    /// the runs, they are over when a lease that began after the last order has ended.
    async fn await_successor(
        &self,
        incarnation: &Incarnation,
        supersession: Supersession,
    ) -> NextStep {
        let now_ms = boot_ms();
        if now_ms > supersession.runs_over_ms(self.bounds.lease_max_ms) {
            self.record_lost_runs(incarnation).await;
        }
        if now_ms.saturating_sub(supersession.heard_ms) > REMOVE_SILENT_AFTER_MS {
            return self.remove_upstream(incarnation, LossSign::SilentSuccessor).await;
        }
        NextStep::Pause(RETRY_PAUSE)
    }

    /// Records all runs of an upstream as lost because its lease has ended.
    async fn record_lost_runs(&self, incarnation: &Incarnation) {
        let recorded = self.replica.lock().state.runs_of(incarnation);
        if recorded.is_empty() {
            return;
        }
        self.report_lost_runs(incarnation, &recorded, Loss::LeaseEnded);
        let runs: Vec<_> = {
            let term_state = self.term_state();
            let observed = term_state.sessions.get(&incarnation.id).map(|session| &session.runs);
            let checkpoint = |task: &TaskId| {
                let observed = observed.and_then(|runs| runs.get(task));
                observed.map(|observed| Arc::clone(&observed.checkpoint))
            };
            let lost = |(task, run): TaskRun| {
                let checkpoint = checkpoint(&task);
                crate::tasks::LostRun { task, run, checkpoint }
            };
            recorded.into_iter().map(lost).collect()
        };
        warn!(
            upstream = %incarnation.id, runs = runs.len(),
            "lease of a silent upstream has ended"
        );
        let change = Change::RecordLost { incarnation: incarnation.clone(), runs };
        if self.replica.propose(change).await.is_err() {
            debug!(upstream = %incarnation.id, "could not record lost runs");
        }
    }

    /// Removes an upstream that has left, was replaced or did not answer for too long.
    async fn remove_upstream(&self, incarnation: &Incarnation, sign: LossSign) -> NextStep {
        let loss = self.loss_of(incarnation, sign);
        info!(
            upstream = %incarnation.id, born_unix_ms = incarnation.born_unix_ms, cause = %loss,
            "upstream is gone"
        );
        match self.record_loss(incarnation, loss).await {
            Ok(()) => NextStep::End,
            Err(_) => NextStep::Pause(RETRY_PAUSE),
        }
    }
}
