//! Requests of callers, operators, upstreams and control hosts to the leader.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use bytes::Bytes;
use tracing::{info, warn};

use super::Leader;
use super::hold::LastRuns;
use super::lag::Shedding;
use crate::cluster::clock::{boot_ms, unix_ms};
use crate::cluster::protocol::{Action, FrontCall, FrontReply, OperatorReply, Reply, Request};
use crate::placement::{Admission, Approvals, View, critical_path_ms, objective_ms};
use crate::tasks::{
    Change, Configuration, Heartbeat, Incarnation, JobId, JobSpec, Outcome, Queue, Upstream, Wave,
};

/// Time after which a caller may try again while no upstream has registered.
const NO_UPSTREAMS_RETRY_MS: u64 = 1_000;

/// Time after which a caller may try again while the leader is behind. It needs less to catch up once
/// optional work is shed.
const BEHIND_RETRY_MS: u64 = 2_000;

/// Number of warnings about a configuration beyond which no more are logged.
const CONFIGURATION_WARNINGS_MAX: usize = 20;

/// What a caller's call addresses.
pub(super) struct CallTarget {
    queue: Queue,
    organisation: Option<Arc<str>>,
    /// Path after the queue's prefix: the id of a job, or empty.
    rest: String,
}

impl Leader {
    /// Handles one request.
    pub(in crate::cluster) async fn handle(self: &Arc<Self>, request: Request) -> Reply {
        match request {
            Request::Front(call) => self.handle_call(call, None).await,
            Request::Resend { call, age_ms } => self.handle_call(call, Some(age_ms)).await,
            Request::Heartbeat(heartbeat) => self.heartbeat(heartbeat).await,
            Request::Deregister { id, born_unix_ms } => self.deregister(&id, born_unix_ms).await,
            Request::SetConfiguration { configuration, raw } => {
                self.set_configuration(configuration, raw).await
            }
            Request::ReadConfiguration => {
                let raw = self.replica.lock().state.raw_configuration.clone();
                Reply::Operator(OperatorReply::Configuration(raw))
            }
            Request::StartWave { number, machines, cap, duration_ms } => {
                info!(wave = number, hosts = machines.len(), cap, duration_ms, "wave begins");
                let change = Change::StartWave { number, machines, cap, duration_ms };
                self.commit(change, Reply::Done).await
            }
            Request::WaveStatus { number } => {
                let inner = self.replica.lock();
                Reply::Wave(inner.state.waves.get(&number).map(Wave::is_completed))
            }
            Request::Join { id, address } => {
                self.replica.join(id, address);
                Reply::Done
            }
            Request::Leave { id } => {
                self.replica.remove_member(id).await;
                Reply::Done
            }
            Request::Status => Reply::Status(self.status()),
            Request::Explain { job } => Reply::Explanation(self.explain(&job)),
            Request::Evacuate { data_centre, begin, revision } => {
                self.set_evacuation(data_centre, begin, revision).await
            }
            // The host answers these itself, whether it leads or not.
            Request::Relay(_) => Reply::Unknown,
            Request::Evacuations => Reply::Evacuations(self.evacuations()),
        }
    }

    pub(super) async fn commit(&self, change: Change, reply: Reply) -> Reply {
        match self.replica.propose(change).await {
            Ok(()) => {
                self.wake.notify_one();
                reply
            }
            Err(_) => Reply::Unknown,
        }
    }

    /// Answers a caller's call and counts the reply.
    async fn handle_call(&self, call: FrontCall, resent_after_ms: Option<u64>) -> Reply {
        let reply = self.answer_call(call, resent_after_ms).await;
        self.replica.metrics.request(result_name(&reply));
        reply
    }

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

    async fn set_configuration(&self, configuration: Arc<Configuration>, raw: Bytes) -> Reply {
        if let Err(fault) = configuration.check() {
            warn!(version = configuration.version, error = %fault, "configuration is invalid");
            return Reply::Operator(OperatorReply::Invalid { reason: fault.to_string() });
        }
        let version = configuration.version;
        let current = self.replica.lock().state.configuration_version();
        if version <= current {
            info!(version, held = current, "configuration is not newer and changes nothing");
            return Reply::Operator(OperatorReply::Done);
        }
        for warning in configuration.warnings().iter().take(CONFIGURATION_WARNINGS_MAX) {
            warn!(version, %warning, "configuration has an entry without effect, or limits that contradict");
        }
        let change = Change::SetConfiguration { configuration, raw };
        let reply = self.commit(change, Reply::Operator(OperatorReply::Done)).await;
        let stored = reply != Reply::Unknown;
        info!(version, replaced = current, stored, "configuration was set");
        reply
    }

    /// Registers the upstream of a heartbeat if it is new or has changed, once the runs of an upstream
    /// that it replaces, by identity or by address, are over.
    async fn heartbeat(self: &Arc<Self>, heartbeat: Heartbeat) -> Reply {
        let incarnation =
            Incarnation { id: Arc::clone(&heartbeat.id), born_unix_ms: heartbeat.born_unix_ms };
        self.record_cold(&incarnation, heartbeat.cold_remaining_ms);
        if heartbeat.draining {
            self.record_notice(&incarnation, heartbeat.drain_remaining_ms);
        }
        let known = self.replica.lock().state.upstreams.get(&heartbeat.id).cloned();
        if known.as_ref().is_some_and(|known| known.is_described_by(&heartbeat)) {
            self.record_heartbeat(&heartbeat.id);
            return Reply::Done;
        }
        let at_address = {
            let inner = self.replica.lock();
            let is_other_at_address = |other: &&Upstream| {
                other.heartbeat.address == heartbeat.address && other.heartbeat.id != heartbeat.id
            };
            inner.state.upstreams.values().find(is_other_at_address).cloned()
        };
        // What a registered upstream says of itself counts as long as it is registered.
        let is_registered = known.as_ref().is_some_and(|known| known.incarnation() == incarnation);
        if !is_registered && !self.replica.lock().state.needs_service(&heartbeat.service) {
            info!(
                upstream = %heartbeat.id, service = %heartbeat.service,
                "heartbeat of an unknown service"
            );
            return Reply::Done;
        }
        if known.as_ref().is_some_and(|known| known.heartbeat.born_unix_ms > heartbeat.born_unix_ms)
        {
            info!(upstream = %heartbeat.id, "heartbeat of an earlier incarnation is ignored");
            return Reply::Done;
        }
        if let Some(other) = at_address {
            if other.heartbeat.born_unix_ms > heartbeat.born_unix_ms {
                info!(upstream = %heartbeat.id, "heartbeat of a former upstream is ignored");
                return Reply::Done;
            }
            if self.replace_upstream(&other.incarnation(), &heartbeat).await.is_err() {
                return Reply::Unknown;
            }
        }
        if let Some(former) = known.map(|known| known.incarnation()) {
            if former == incarnation {
                self.record_heartbeat(&heartbeat.id);
            } else if self.replace_upstream(&former, &heartbeat).await.is_err() {
                return Reply::Unknown;
            }
        }
        info!(
            upstream = %heartbeat.id, address = %heartbeat.address,
            born_unix_ms = heartbeat.born_unix_ms, draining = heartbeat.draining,
            rack = %heartbeat.rack, "upstream is registered"
        );
        self.commit(Change::RegisterUpstream { heartbeat }, Reply::Done).await
    }

    /// Records for how long a draining upstream stays at least.
    fn record_notice(&self, incarnation: &Incarnation, remaining_ms: u64) {
        let mut term_state = self.term_state();
        let session = term_state.sessions.get_mut(&incarnation.id);
        if let Some(session) = session.filter(|session| session.incarnation == *incarnation) {
            session.record_notice(remaining_ms, boot_ms());
        }
    }

    /// Records that an upstream is alive.
    fn record_heartbeat(&self, id: &Arc<str>) {
        if let Some(session) = self.term_state().sessions.get_mut(id) {
            session.last_heartbeat_ms = boot_ms();
        }
    }

    /// Removes a leaving upstream, or marks its session as leaving. Without `born_unix_ms` this
    /// applies to any incarnation.
    async fn deregister(&self, id: &Arc<str>, born_unix_ms: Option<u64>) -> Reply {
        let known = self.replica.lock().state.upstreams.get(id).map(Upstream::incarnation);
        let Some(incarnation) = known else { return Reply::Done };
        if born_unix_ms.is_some_and(|born| born != incarnation.born_unix_ms) {
            return Reply::Done;
        }
        info!(upstream = %id, "upstream leaves");
        // Ends of runs that are not reported yet must not get lost. So an upstream with a session
        // is removed once it no longer answers the loop that extends its lease and reads its lists.
        let leaving_since_ms = match self.term_state().sessions.get_mut(id) {
            Some(session) if session.incarnation == incarnation => {
                Some(session.record_leave(boot_ms()))
            }
            _ => None,
        };
        let Some(leaving_since_ms) = leaving_since_ms else {
            return self.remove_idle_upstream(incarnation).await;
        };
        // The next leader must know of it if it is the one that notices the end.
        if !self.store_leave(&incarnation).await {
            return Reply::Unknown;
        }
        match self.end_last_runs(&incarnation, leaving_since_ms).await {
            LastRuns::Ended | LastRuns::Remaining => Reply::Done,
            LastRuns::Ending => Reply::RunsRemain,
        }
    }

    /// Records in the log that an upstream leaves, unless that is known; returns whether it is stored.
    async fn store_leave(&self, incarnation: &Incarnation) -> bool {
        if self.replica.lock().state.departure_of(incarnation).leaves {
            return true;
        }
        let change = Change::RecordLeave { incarnation: incarnation.clone() };
        self.replica.propose(change).await.is_ok()
    }

    /// Removes a leaving upstream without a session, unless it has runs: these go on until they are
    /// stopped, which takes the session that begins soon.
    async fn remove_idle_upstream(&self, incarnation: Incarnation) -> Reply {
        if self.replica.lock().state.has_runs(&incarnation) {
            return Reply::RunsRemain;
        }
        self.commit(Change::RemoveUpstream { incarnation }, Reply::Done).await
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
