//! Start and stop orders to upstreams, repeated until their outcome is known.

use std::sync::{Arc, Weak};
use std::time::Duration;

use tracing::{info, warn};

use super::session::Session;
use super::unlisted::AnsweredOrder;
use super::{Leader, TaskRun};
use crate::cluster::clock::boot_ms;
use crate::cluster::upstream_calls::{CallFault, OrderAnswer, Refusal, StartOrder, StopOrder};
use crate::placement::StepId;
use crate::tasks::{Change, EndKind, EndRecord, Incarnation, TaskId, UnitId};

/// Pause before an unanswered order is repeated.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(120);

/// Time after which an unanswered start order is given up.
const START_GIVE_UP_MS: u64 = 1_500;

/// Outcome of a start order.
enum StartOutcome {
    /// Carried out, as the answer or the lists say.
    Begun,
    /// Refused as old: the run was stopped before it began, or has ended. The lists will tell.
    Old,
    /// Refused: the run will never start.
    Refused(Refusal),
    /// Not answered: a stop order must make sure that the run does not start later.
    Uncertain,
    /// A newer leader or another upstream answered; this leader does nothing more for the run.
    Abandoned,
}

impl Leader {
    /// Orders one task of a recorded run to start.
    pub(super) fn order_start(
        self: &Arc<Self>,
        unit: &UnitId,
        run: u32,
        member_index: u32,
        incarnation: &Incarnation,
    ) {
        let work =
            Arc::clone(self).start_task(unit.clone(), member_index, run, incarnation.clone());
        self.spawn(work);
    }

    async fn start_task(
        self: Arc<Self>,
        unit: UnitId,
        member_index: u32,
        run: u32,
        incarnation: Incarnation,
    ) {
        let key = (unit.task(member_index), run);
        let outcome = self.try_start(&key, &incarnation).await;
        let how = match &outcome {
            StartOutcome::Begun | StartOutcome::Old => "settled",
            StartOutcome::Refused(_) => "refused",
            StartOutcome::Uncertain => "uncertain",
            StartOutcome::Abandoned => "ended",
        };
        if let StartOutcome::Refused(refusal) = &outcome {
            if *refusal == Refusal::NotApproved {
                let task = &key.0;
                let (job, occurrence) = (task.job.clone(), task.occurrence);
                let step = StepId { job, occurrence, step: task.step };
                self.term_state().approvals.remove(&step, &incarnation);
            }
            warn!(
                request = %key.0.job, task = %key.0, run, upstream = %incarnation.id,
                cause = %refusal,
                "start was refused"
            );
        } else {
            info!(
                request = %key.0.job, task = %key.0, run, upstream = %incarnation.id, outcome = how,
                "start was ordered"
            );
        }
        self.replica.metrics.order(match &outcome {
            StartOutcome::Begun | StartOutcome::Old => "start settled",
            StartOutcome::Refused(_) => "start refused",
            StartOutcome::Uncertain => "start unanswered",
            StartOutcome::Abandoned => "start void",
        });
        self.term_state().starting.remove(&key);
        if matches!(outcome, StartOutcome::Refused(_) | StartOutcome::Uncertain) {
            // The other members would wait for this one until their own time limit.
            self.stop_others(&unit, key.1, member_index);
        }
        match outcome {
            StartOutcome::Begun => {
                self.note_begun(&key.0.job);
                self.record_answered_order(&incarnation, key.clone(), AnsweredOrder::begun);
                self.check_suspect(&incarnation, &key).await;
            }
            StartOutcome::Old => {
                self.record_answered_order(&incarnation, key, AnsweredOrder::old);
            }
            StartOutcome::Refused(_) => self.record_not_started(&incarnation, key).await,
            StartOutcome::Uncertain => {
                self.order_stop(&incarnation, key.0, key.1, "start not answered");
            }
            StartOutcome::Abandoned => {}
        }
    }

    async fn try_start(&self, key: &TaskRun, incarnation: &Incarnation) -> StartOutcome {
        let begun_ms = boot_ms();
        let mut unanswered = false;
        loop {
            let order = match self.start_order(key, incarnation) {
                Ok(order) => order,
                // An earlier attempt of the order may still be carried out.
                Err(_) if unanswered => return StartOutcome::Uncertain,
                Err(withheld) => return StartOutcome::Refused(withheld),
            };
            let known_clock_ms = self.known_clock_ms(incarnation);
            match (self.calls.start)(order).await {
                Ok(OrderAnswer::Done { clock_ms }) => {
                    if clock_ms < known_clock_ms {
                        self.report_start_by_successor(key, incarnation, clock_ms, known_clock_ms);
                    }
                    self.record_contact(incarnation, clock_ms);
                    return StartOutcome::Begun;
                }
                Ok(OrderAnswer::Refused(Refusal::StaleRun)) => return StartOutcome::Old,
                Ok(OrderAnswer::Refused(Refusal::StaleToken)) | Err(CallFault::Fenced) => {
                    return StartOutcome::Abandoned;
                }
                Ok(OrderAnswer::Refused(refusal)) => {
                    // An earlier attempt of the order may still be carried out.
                    return if unanswered {
                        StartOutcome::Uncertain
                    } else {
                        StartOutcome::Refused(refusal)
                    };
                }
                Err(CallFault::OtherUpstream) => return StartOutcome::Abandoned,
                // The upstream was not asked, so it has left nothing unanswered.
                Err(CallFault::NoConnection) => {}
                Err(CallFault::NotSent { .. } | CallFault::Refused) => {
                    self.record_unanswered_order(incarnation);
                }
                Err(CallFault::NoAnswer { .. }) => {
                    unanswered = true;
                    self.record_unanswered_order(incarnation);
                    self.read_if_unlisted(incarnation, key);
                }
            }
            if unanswered && self.lists_run(incarnation, key) {
                // Only the answer was lost.
                return StartOutcome::Begun;
            }
            if boot_ms().saturating_sub(begun_ms) > START_GIVE_UP_MS {
                return if unanswered {
                    StartOutcome::Uncertain
                } else {
                    StartOutcome::Refused(Refusal::Unhealthy)
                };
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Builds a start order.
    ///
    /// # Errors
    /// Returns why the order must not be sent: the run is no longer wanted, the lease cannot be granted, or
    /// the data centre of the upstream is being evacuated.
    fn start_order(&self, key: &TaskRun, incarnation: &Incarnation) -> Result<StartOrder, Refusal> {
        if !self.replica.is_confirmed_leader() {
            return Err(Refusal::LeaseEnded);
        }
        let (task, run) = key;
        let (payload, checkpoint) = {
            let inner = self.replica.lock();
            if inner.state.is_evacuated(incarnation) {
                return Err(Refusal::Evacuated);
            }
            let (job, unit, _) = inner.state.find_task(task).ok_or(Refusal::LeaseEnded)?;
            let wanted = job.outcome.is_none() && unit.is_running() && unit.run == *run;
            let whole = unit.members().iter().all(|member| member.end.is_none());
            if !wanted || !whole {
                return Err(Refusal::LeaseEnded);
            }
            (Arc::clone(&job.spec.payload), Arc::clone(&unit.checkpoint))
        };
        let step = StepId { job: task.job.clone(), occurrence: task.occurrence, step: task.step };
        let cluster_ms = self.replica.lock().now_ms();
        let mut term_state = self.term_state();
        if term_state.superseded.contains_key(incarnation) {
            return Err(Refusal::LeaseEnded);
        }
        let ticket = term_state.approvals.ticket(&step, incarnation, cluster_ms);
        let session = term_state
            .sessions
            .get_mut(&incarnation.id)
            .filter(|session| session.incarnation == *incarnation && !session.is_leaving())
            .ok_or(Refusal::LeaseEnded)?;
        let lease_until_ms = session.grant_lease(boot_ms()).ok_or(Refusal::LeaseEnded)?;
        Ok(StartOrder {
            address: Arc::clone(&session.address),
            upstream: Arc::clone(&incarnation.id),
            fencing_token: self.term,
            task: task.clone(),
            run: *run,
            payload,
            lease_until_ms,
            checkpoint,
            ticket,
        })
    }

    /// Returns the newest time that was seen on an upstream's clock; 0 before the first answer.
    fn known_clock_ms(&self, incarnation: &Incarnation) -> u64 {
        let term_state = self.term_state();
        let session = term_state.sessions.get(&incarnation.id);
        let session = session.filter(|session| session.incarnation == *incarnation);
        session.map_or(0, Session::known_clock_ms)
    }

    /// Logs a start that was answered by another incarnation than the one that it was meant for, as a
    /// clock shows that is behind the time seen before the order was sent.
    fn report_start_by_successor(
        &self,
        (task, run): &TaskRun,
        incarnation: &Incarnation,
        clock_ms: u64,
        known_clock_ms: u64,
    ) {
        self.replica.metrics.order("start by a successor");
        warn!(
            request = %task.job, task = %task, run, upstream = %incarnation.id,
            born_unix_ms = incarnation.born_unix_ms, clock_ms, known_clock_ms,
            "start was carried out by another incarnation of the upstream"
        );
    }

    fn record_contact(&self, incarnation: &Incarnation, clock_ms: u64) {
        let mut term_state = self.term_state();
        if let Some(session) = term_state.sessions.get_mut(&incarnation.id)
            && session.incarnation == *incarnation
        {
            session.record_contact(clock_ms, boot_ms());
        }
    }

    /// Records that an order had no answer; the upstream gets no new work until it answers again.
    fn record_unanswered_order(&self, incarnation: &Incarnation) {
        let mut term_state = self.term_state();
        if let Some(session) = term_state.sessions.get_mut(&incarnation.id)
            && session.incarnation == *incarnation
        {
            session.record_unanswered_order();
        }
    }

    /// Records that an order has a definite answer.
    fn record_answered_order(
        &self,
        incarnation: &Incarnation,
        key: TaskRun,
        answered: impl Fn(u64) -> AnsweredOrder,
    ) {
        let mut term_state = self.term_state();
        if let Some(session) = term_state.sessions.get_mut(&incarnation.id)
            && session.incarnation == *incarnation
        {
            let answered = answered(boot_ms());
            let known = session.answered_orders.entry(key).or_insert(answered);
            *known = known.followed_by(answered);
        }
    }

    /// Reads the lists at once if the upstream did not list a run.
    ///
    /// New lists show whether a start without an answer was carried out, and whether a stopped run
    /// has ended.
    fn read_if_unlisted(&self, incarnation: &Incarnation, (task, run): &TaskRun) {
        let term_state = self.term_state();
        let Some(session) = term_state.sessions.get(&incarnation.id) else { return };
        if session.runs.get(task).is_none_or(|observed| observed.run != *run) {
            session.read_now.notify_one();
        }
    }

    /// Returns whether the newest lists of the upstream contain a run.
    fn lists_run(&self, incarnation: &Incarnation, (task, run): &TaskRun) -> bool {
        let term_state = self.term_state();
        let session = term_state.sessions.get(&incarnation.id);
        session.is_some_and(|session| {
            let observed = session.runs.get(task);
            session.incarnation == *incarnation
                && observed.is_some_and(|run_seen| run_seen.run == *run)
        })
    }

    async fn record_not_started(&self, incarnation: &Incarnation, key: TaskRun) {
        let (task, run) = key;
        let end = EndRecord { task, run, how: EndKind::NotStarted, checkpoint: None };
        let change =
            Change::RecordEnds { incarnation: incarnation.clone(), up_to: 0, ends: vec![end] };
        if self.replica.propose(change).await.is_err() {
            warn!(
                upstream = %incarnation.id,
                "could not record a refused start; the next leader will"
            );
        }
    }

    /// Orders one task to stop and repeats the order until the upstream has answered.
    pub(super) fn order_stop(
        &self,
        incarnation: &Incarnation,
        task: TaskId,
        run: u32,
        cause: &str,
    ) {
        let key = (task, run);
        let address = {
            let mut term_state = self.term_state();
            let Some(session) = term_state.sessions.get(&incarnation.id) else { return };
            if session.incarnation != *incarnation {
                return;
            }
            let address = Arc::clone(&session.address);
            if !term_state.stopping.insert(key.clone()) {
                return;
            }
            address
        };
        info!(
            request = %key.0.job, task = %key.0, run, upstream = %incarnation.id, cause,
            "stop was ordered"
        );
        self.replica.metrics.order("stop");
        let order = StopOrder {
            address,
            upstream: Arc::clone(&incarnation.id),
            fencing_token: self.term,
            task: key.0.clone(),
            run,
        };
        let calls = self.calls.clone();
        let replica = Arc::clone(&self.replica);
        let incarnation = incarnation.clone();
        let shared = Weak::clone(&self.weak);
        self.spawn(async move {
            loop {
                if !replica.is_confirmed_leader() {
                    tokio::time::sleep(RETRY_PAUSE).await;
                    continue;
                }
                match (calls.stop)(order.clone()).await {
                    Ok(OrderAnswer::Done { clock_ms }) => {
                        if let Some(leader) = shared.upgrade() {
                            leader.record_contact(&incarnation, clock_ms);
                            leader.record_answered_order(
                                &incarnation,
                                key.clone(),
                                AnsweredOrder::stopped,
                            );
                            leader.read_if_unlisted(&incarnation, &key);
                        }
                        break;
                    }
                    Ok(OrderAnswer::Refused(Refusal::StaleToken))
                    | Err(CallFault::OtherUpstream | CallFault::Fenced) => break,
                    Ok(OrderAnswer::Refused(refusal)) => {
                        warn!(upstream = %incarnation.id, cause = %refusal, "stop was refused");
                    }
                    Err(
                        CallFault::NoConnection
                        | CallFault::Refused
                        | CallFault::NotSent { .. }
                        | CallFault::NoAnswer { .. },
                    ) => {}
                }
                let Some(leader) = shared.upgrade() else { break };
                if !leader.has_session(&incarnation) {
                    break;
                }
                drop(leader);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        });
    }

    fn has_session(&self, incarnation: &Incarnation) -> bool {
        self.term_state()
            .sessions
            .get(&incarnation.id)
            .is_some_and(|session| session.incarnation == *incarnation)
    }
}
