//! Orders to upstreams, repeated until their outcome is known.

use std::sync::{Arc, Weak};
use std::time::Duration;

use tracing::{info, warn};

use super::{Leader, TaskRun};
use crate::cluster::clock::boot_ms;
use crate::cluster::upstream_calls::{CallFault, OrderAnswer, Refusal, StartOrder, StopOrder};
use crate::placement::StepId;
use crate::tasks::{Change, EndKind, EndRecord, Life, TaskId, UnitId};

/// Pause before an order without an answer is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(120);

/// Time after which an unanswered start is given up, in milliseconds.
const START_GIVE_UP_MS: u64 = 1_500;

/// What came of a start order.
enum Started {
    /// It runs, or the lists will tell what became of it.
    Settled,
    /// It was refused and will never run.
    Refused(Refusal),
    /// A stop is needed to make sure that it never runs.
    Uncertain,
    /// Nothing more can be done in this term.
    Ended,
}

impl Leader {
    /// Orders one task of a recorded run to start.
    pub(super) fn order_start(self: &Arc<Self>, unit: &UnitId, run: u32, place: u32, life: &Life) {
        let work = Arc::clone(self).start_task(unit.clone(), place, run, life.clone());
        self.spawn(work);
    }

    async fn start_task(self: Arc<Self>, unit: UnitId, place: u32, run: u32, life: Life) {
        let key = (unit.task(place), run);
        let outcome = self.try_start(&key, &life).await;
        let how = match &outcome {
            Started::Settled => "settled",
            Started::Refused(_) => "refused",
            Started::Uncertain => "uncertain",
            Started::Ended => "ended",
        };
        if let Started::Refused(refusal) = &outcome {
            if *refusal == Refusal::NotApproved {
                let task = &key.0;
                let (job, occurrence) = (task.job.clone(), task.occurrence);
                let step = StepId { job, occurrence, step: task.step };
                self.soft().approvals.remove(&step, &life);
            }
            warn!(
                request = %key.0.job, task = %key.0, run, upstream = %life.id, cause = %refusal,
                "start was refused"
            );
        } else {
            info!(
                request = %key.0.job, task = %key.0, run, upstream = %life.id, outcome = how,
                "start was ordered"
            );
        }
        self.replica.metrics.order(match &outcome {
            Started::Settled => "start settled",
            Started::Refused(_) => "start refused",
            Started::Uncertain => "start unanswered",
            Started::Ended => "start void",
        });
        self.soft().starting.remove(&key);
        if matches!(outcome, Started::Refused(_) | Started::Uncertain) {
            // The others would only wait for this one until their patience ends.
            self.stop_others(&unit, key.1, place);
        }
        match outcome {
            Started::Settled => self.settle(&life, key),
            Started::Refused(_) => self.record_not_started(&life, key).await,
            Started::Uncertain => self.order_stop(&life, key.0, key.1, "start not answered"),
            Started::Ended => {}
        }
    }

    async fn try_start(&self, key: &TaskRun, life: &Life) -> Started {
        let begun_ms = boot_ms();
        let mut unanswered = false;
        loop {
            let Some(order) = self.start_order(key, life) else {
                return if unanswered {
                    Started::Uncertain
                } else {
                    Started::Refused(Refusal::LeaseEnded)
                };
            };
            match (self.calls.start)(order).await {
                Ok(OrderAnswer::Done { clock_ms }) => {
                    self.heard(life, clock_ms);
                    return Started::Settled;
                }
                Ok(OrderAnswer::Refused(Refusal::StaleRun)) => return Started::Settled,
                Ok(OrderAnswer::Refused(Refusal::StaleToken)) | Err(CallFault::Fenced) => {
                    return Started::Ended;
                }
                Ok(OrderAnswer::Refused(refusal)) => {
                    // An earlier copy of the order may still be carried out.
                    return if unanswered { Started::Uncertain } else { Started::Refused(refusal) };
                }
                Err(CallFault::OtherUpstream) => return Started::Ended,
                Err(CallFault::NotSent { .. }) => self.doubt(life),
                Err(CallFault::NoAnswer { .. }) => {
                    unanswered = true;
                    self.doubt(life);
                }
            }
            if boot_ms().saturating_sub(begun_ms) > START_GIVE_UP_MS {
                return if unanswered {
                    Started::Uncertain
                } else {
                    Started::Refused(Refusal::Unhealthy)
                };
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Builds a start order; `None` if the run is no longer wanted or the lease cannot be granted.
    fn start_order(&self, key: &TaskRun, life: &Life) -> Option<StartOrder> {
        if !self.replica.is_confirmed_leader() {
            return None;
        }
        let (task, run) = key;
        let (payload, checkpoint) = {
            let inner = self.replica.lock();
            let (job, unit, _) = inner.state.find(task)?;
            let wanted = job.outcome.is_none() && unit.is_running() && unit.run == *run;
            let whole = unit.members().iter().all(|member| member.end.is_none());
            if !wanted || !whole {
                return None;
            }
            (Arc::clone(&job.spec.payload), Arc::clone(&unit.checkpoint))
        };
        let step = StepId { job: task.job.clone(), occurrence: task.occurrence, step: task.step };
        let cluster_ms = self.replica.lock().now_ms();
        let mut soft = self.soft();
        let ticket = soft.approvals.ticket(&step, life, cluster_ms);
        let session = soft.sessions.get_mut(&life.id).filter(|session| session.life == *life)?;
        let lease_until_ms = session.grant_lease(boot_ms())?;
        Some(StartOrder {
            address: Arc::clone(&session.address),
            upstream: Arc::clone(&life.id),
            fencing_token: self.term,
            task: task.clone(),
            run: *run,
            payload,
            lease_until_ms,
            checkpoint,
            ticket,
        })
    }

    fn heard(&self, life: &Life, clock_ms: u64) {
        let mut soft = self.soft();
        if let Some(session) = soft.sessions.get_mut(&life.id)
            && session.life == *life
        {
            session.heard(clock_ms, boot_ms());
        }
    }

    /// Gives an upstream no new work until it answers again.
    fn doubt(&self, life: &Life) {
        let mut soft = self.soft();
        if let Some(session) = soft.sessions.get_mut(&life.id)
            && session.life == *life
        {
            session.doubt();
        }
    }

    /// Notes that an order has a definite answer.
    fn settle(&self, life: &Life, key: TaskRun) {
        let mut soft = self.soft();
        if let Some(session) = soft.sessions.get_mut(&life.id)
            && session.life == *life
        {
            session.settled.insert(key, boot_ms());
        }
    }

    /// Looks at once at an upstream that does not list a stopped run: the run is over then.
    fn look_if_unlisted(&self, life: &Life, (task, run): &TaskRun) {
        let soft = self.soft();
        let Some(session) = soft.sessions.get(&life.id) else { return };
        if session.runs.get(task).is_none_or(|seen| seen.run != *run) {
            session.look_now.notify_one();
        }
    }

    async fn record_not_started(&self, life: &Life, key: TaskRun) {
        let (task, run) = key;
        let end = EndRecord { task, run, how: EndKind::NotStarted, checkpoint: None };
        let change = Change::Ends { life: life.clone(), up_to: 0, ends: vec![end] };
        if self.replica.propose(change).await.is_err() {
            warn!(upstream = %life.id, "could not record a refused start; the next leader will");
        }
    }

    /// Orders one task to stop, until the upstream has answered.
    pub(super) fn order_stop(&self, life: &Life, task: TaskId, run: u32, cause: &str) {
        let key = (task, run);
        let address = {
            let mut soft = self.soft();
            let Some(session) = soft.sessions.get(&life.id) else { return };
            if session.life != *life {
                return;
            }
            let address = Arc::clone(&session.address);
            if !soft.stopping.insert(key.clone()) {
                return;
            }
            address
        };
        info!(
            request = %key.0.job, task = %key.0, run, upstream = %life.id, cause,
            "stop was ordered"
        );
        self.replica.metrics.order("stop");
        let order = StopOrder {
            address,
            upstream: Arc::clone(&life.id),
            fencing_token: self.term,
            task: key.0.clone(),
            run,
        };
        let calls = self.calls.clone();
        let replica = Arc::clone(&self.replica);
        let life = life.clone();
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
                            leader.heard(&life, clock_ms);
                            leader.settle(&life, key.clone());
                            leader.look_if_unlisted(&life, &key);
                        }
                        break;
                    }
                    Ok(OrderAnswer::Refused(Refusal::StaleToken))
                    | Err(CallFault::OtherUpstream | CallFault::Fenced) => break,
                    Ok(OrderAnswer::Refused(refusal)) => {
                        warn!(upstream = %life.id, cause = %refusal, "stop was refused");
                    }
                    Err(CallFault::NotSent { .. } | CallFault::NoAnswer { .. }) => {}
                }
                let Some(leader) = shared.upgrade() else { break };
                if !leader.has_session(&life) {
                    break;
                }
                drop(leader);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        });
    }

    fn has_session(&self, life: &Life) -> bool {
        self.soft().sessions.get(&life.id).is_some_and(|session| session.life == *life)
    }
}

/// Tries to stop a run on the new life of an upstream before the life is registered anyway.
const FENCE_TRIES: usize = 5;

impl Leader {
    /// Stops a run on the new life of an upstream, so that a late order cannot start it there.
    pub(super) async fn fence_run(
        self: &Arc<Self>,
        beat: &crate::tasks::Heartbeat,
        task: TaskId,
        run: u32,
    ) {
        let order = StopOrder {
            address: Arc::clone(&beat.address),
            upstream: Arc::clone(&beat.id),
            fencing_token: self.term,
            task,
            run,
        };
        for _ in 0..FENCE_TRIES {
            match (self.calls.stop)(order.clone()).await {
                Ok(_) | Err(CallFault::OtherUpstream | CallFault::Fenced) => return,
                Err(fault) => {
                    warn!(task = %order.task, error = %fault, "could not fence a run yet");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}
