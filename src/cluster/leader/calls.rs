//! Calls of callers on queues: submissions, states and cancellations of jobs.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use tracing::{info, warn};

use super::Leader;
use super::lag::Shedding;
use crate::cluster::clock::{boot_ms, unix_ms};
use crate::cluster::protocol::{Action, FrontCall, FrontReply, Reply};
use crate::placement::{Admission, Approvals, View, critical_path_ms, objective_ms};
use crate::tasks::{Change, JobId, JobSpec, Outcome, Queue};

/// Time after which a caller may try again while no upstream has registered.
const NO_UPSTREAMS_RETRY_MS: u64 = 1_000;

/// Time after which a caller may try again while the leader is behind. It needs less to catch up once
/// optional work is shed.
const BEHIND_RETRY_MS: u64 = 2_000;

/// What a caller's call addresses.
pub(super) struct CallTarget {
    queue: Queue,
    organisation: Option<Arc<str>>,
    /// Path after the queue's prefix: the id of a job, or empty.
    rest: String,
}

impl Leader {
    /// Answers a caller's call and counts the reply.
    pub(super) async fn handle_call(&self, call: FrontCall, resent_after_ms: Option<u64>) -> Reply {
        let reply = self.answer_call(call, resent_after_ms).await;
        self.replica.metrics.request(result_name(&reply));
        reply
    }

    /// Answers a call; `resent_after_ms` is the time since the first attempt if this is a later one.
    async fn answer_call(&self, call: FrontCall, resent_after_ms: Option<u64>) -> Reply {
        if let Some(earlier) = resent_after_ms.and_then(|ms| self.earlier_outcome(&call, ms)) {
            return Reply::Front(earlier);
        }
        let target = match self.resolve_target(&call) {
            Ok(target) => target,
            Err(reply) => return Reply::Front(reply),
        };
        if target.rest.is_empty() {
            let pending = self.replica.lock().state.pending(&target.queue.name);
            return Reply::Front(match call.action {
                Action::Status => FrontReply::Pending(pending as u64),
                _ => FrontReply::Invalid { reason: "the path names no job".to_owned() },
            });
        }
        let Ok(id) = target.rest.parse::<JobId>() else {
            return Reply::Front(match call.action {
                Action::Status | Action::Cancel => FrontReply::NoJob,
                _ => FrontReply::Invalid { reason: "not the identity of a job".to_owned() },
            });
        };
        match call.action {
            Action::Submit { spec } => self.submit(target, id, spec).await,
            Action::SubmitUnreadable { reason } => {
                info!(request = %id, reason, "submission cannot be read");
                Reply::Front(FrontReply::Invalid { reason })
            }
            Action::Status => {
                let inner = self.replica.lock();
                let job = inner.state.jobs.get(&id);
                Reply::Front(job.map_or(FrontReply::NoJob, |job| FrontReply::State(job.state())))
            }
            Action::Cancel => self.cancel(id).await,
        }
    }

    /// Finds the queue of a call and the organisation of its key. Only a public queue can be used
    /// without a valid key.
    pub(super) fn resolve_target(&self, call: &FrontCall) -> Result<CallTarget, FrontReply> {
        let inner = self.replica.lock();
        let configuration = inner.state.configuration.as_ref().ok_or(FrontReply::NotConfigured)?;
        let queue = configuration.queue_for(&call.host, &call.path).ok_or(FrontReply::NoQueue)?;
        let organisation =
            call.key.as_deref().and_then(|key| configuration.organisation_with_key(key));
        if organisation.is_none() && !queue.public {
            return Err(FrontReply::BadKey);
        }
        Ok(CallTarget {
            queue: queue.clone(),
            organisation: organisation.map(|organisation| Arc::clone(&organisation.name)),
            rest: call.path[queue.path_prefix.len()..].to_owned(),
        })
    }

    /// Returns what an earlier attempt of a call has achieved, although the call's queue may have been
    /// removed since then.
    ///
    /// The job must be of the key's organisation, so that nobody learns of the jobs of others. A
    /// submission must have stored it since the call's first attempt: an older job is of an earlier call.
    fn earlier_outcome(&self, call: &FrontCall, age_ms: u64) -> Option<FrontReply> {
        let inner = self.replica.lock();
        let state = &inner.state;
        let (_, id) = call.path.rsplit_once('/')?;
        let job = state.jobs.get(&id.parse::<JobId>().ok()?)?;
        let queue = state.queue_of(job)?;
        if !queue.serves(&call.host, &call.path) || &call.path[queue.path_prefix.len()..] != id {
            return None;
        }
        let configuration = state.configuration.as_ref()?;
        let key = call.key.as_deref();
        let organisation = key.and_then(|key| configuration.organisation_with_key(key));
        if job.organisation.as_ref() != organisation.map(|organisation| &organisation.name) {
            return None;
        }
        let is_recent = job.accepted_ms >= inner.now_ms().saturating_sub(age_ms);
        match call.action {
            Action::Submit { .. } if is_recent => Some(FrontReply::Accepted),
            Action::Cancel if job.outcome == Some(Outcome::Cancelled) => {
                Some(FrontReply::Cancelled)
            }
            _ => None,
        }
    }

    /// Stores a job, unless it is known, was cancelled before, is invalid, or has to come later.
    pub(super) async fn submit(&self, target: CallTarget, id: JobId, spec: Arc<JobSpec>) -> Reply {
        let CallTarget { queue, organisation, .. } = target;
        {
            let inner = self.replica.lock();
            if inner.state.jobs.contains_key(&id) {
                return Reply::Front(FrontReply::Accepted);
            }
            if inner.state.was_cancelled_early(&id) {
                info!(request = %id, "submission arrives after its cancellation");
                return Reply::Front(FrontReply::CancelledBefore);
            }
        }
        if let Err(fault) = spec.check() {
            return Reply::Front(FrontReply::Invalid { reason: fault.to_string() });
        }
        let (admission, configuration_version) =
            self.admission(&queue, organisation.as_deref(), (&id, &spec));
        let tasks: u64 = spec.steps.iter().map(|step| u64::from(step.tasks)).sum();
        let accelerators = spec.accelerators();
        let critical_path_ms = critical_path_ms(&spec, |step| step.estimate_ms);
        let (priority, objective_ms) = (queue.priority, objective_ms(&queue, critical_path_ms));
        let queue_name = Arc::clone(&queue.name);
        match admission {
            Admission::RetryLater { retry_after_ms, reason } => {
                let organisation = organisation.unwrap_or_default();
                self.replica.metrics.job_refused(&organisation, &queue_name);
                warn!(
                    request = %id, queue = %queue_name, %organisation, tasks, reason,
                    retry_after_ms, configuration_version, "job was not accepted"
                );
                Reply::Front(FrontReply::NotAccepted { retry_after_ms, reason })
            }
            Admission::Accepted { forecast_ms } => {
                let change =
                    Change::Accept { id: id.clone(), queue: queue.name, organisation, spec };
                let mut reply = self.commit(change, Reply::Front(FrontReply::Accepted)).await;
                self.term_state().admissions.end_storing(&id);
                if reply != Reply::Unknown {
                    reply = Reply::Front(self.outcome_of_acceptance(&id));
                }
                let stored = reply == Reply::Front(FrontReply::Accepted);
                info!(
                    request = %id, queue = %queue_name, priority, tasks, accelerators,
                    chain_ms = critical_path_ms,
                    objective_ms, forecast_ms, stored, configuration_version, "job was submitted"
                );
                reply
            }
        }
    }

    /// Returns the reply to a submission whose acceptance was applied: a cancellation, or the removal of
    /// the queue, may have been stored before it.
    fn outcome_of_acceptance(&self, id: &JobId) -> FrontReply {
        let inner = self.replica.lock();
        if inner.state.was_cancelled_early(id) {
            FrontReply::CancelledBefore
        } else if inner.state.jobs.contains_key(id) {
            FrontReply::Accepted
        } else {
            FrontReply::NoQueue
        }
    }

    fn admission(
        &self,
        queue: &Queue,
        organisation: Option<&str>,
        job: (&JobId, &JobSpec),
    ) -> (Admission, u64) {
        let inner = self.replica.lock();
        let version = inner.state.configuration_version();
        let hosts = self.recent_hosts(&inner.state, boot_ms());
        if hosts.is_empty() {
            let reason = "no upstream has registered yet".to_owned();
            let retry_after_ms = NO_UPSTREAMS_RETRY_MS;
            return (Admission::RetryLater { retry_after_ms, reason }, version);
        }
        // An acceptance that is being stored can no longer be refused, even if its caller asks again.
        let is_storing = self.term_state().admissions.is_storing(job.0);
        if self.lag.shedding() == Shedding::Submissions && !is_storing {
            let reason = format!("control is {} ms behind", self.lag.smoothed_ms());
            let retry_after_ms = BEHIND_RETRY_MS;
            return (Admission::RetryLater { retry_after_ms, reason }, version);
        }
        let learned = Arc::clone(&self.term_state().learned);
        let view = View {
            state: &inner.state,
            hosts: &hosts,
            now_ms: inner.now_ms(),
            unix_ms: unix_ms(),
            stopping: &HashSet::new(),
            progress: &HashMap::new(),
            avoid: &HashSet::new(),
            approvals: &Approvals::default(),
            learned: &learned,
            reserve_millihosts: 0,
            stop_ms: self.bounds.stop_timeout_ms,
            weighs_stops: self.weighs_stops,
            jobs_max_bytes: self.bounds.jobs_max_bytes(),
        };
        let admission = self.term_state().admissions.decide(&view, queue, organisation, job);
        (admission, version)
    }

    /// Cancels a job. The cancellation of an unknown one is stored as well, since its submission may
    /// still be on its way.
    async fn cancel(&self, id: JobId) -> Reply {
        {
            let inner = self.replica.lock();
            if inner.state.was_cancelled_early(&id) {
                return Reply::Front(FrontReply::NoJob);
            }
            if inner.state.jobs.get(&id).is_some_and(|job| job.outcome.is_some()) {
                return Reply::Front(FrontReply::Cancelled);
            }
        }
        let change = Change::Cancel { id: id.clone() };
        if self.commit(change, Reply::Done).await == Reply::Unknown {
            info!(request = %id, stored = false, "job was cancelled");
            return Reply::Unknown;
        }
        let known = !self.replica.lock().state.was_cancelled_early(&id);
        info!(request = %id, stored = true, known, "job was cancelled");
        Reply::Front(if known { FrontReply::Cancelled } else { FrontReply::NoJob })
    }
}

/// Returns the metric label of a reply.
fn result_name(reply: &Reply) -> &'static str {
    let Reply::Front(reply) = reply else { return "unknown" };
    match reply {
        FrontReply::Accepted => "accepted",
        FrontReply::NotAccepted { .. } => "not accepted",
        FrontReply::State(_) => "state",
        FrontReply::Cancelled => "cancelled",
        FrontReply::Pending(_) => "pending",
        FrontReply::NoJob => "no job",
        FrontReply::NoQueue => "no queue",
        FrontReply::BadKey => "bad key",
        FrontReply::Invalid { .. } => "invalid",
        FrontReply::NotConfigured => "not configured",
        FrontReply::CancelledBefore => "cancelled before",
    }
}
