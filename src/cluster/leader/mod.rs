//! The leader during one term: sessions with upstreams, scheduling, orders and requests.

mod advice;
mod calls;
mod draining;
mod evacuations;
mod failures;
mod heartbeats;
mod hold;
mod hosts;
mod lag;
mod learning;
mod lists;
mod losses;
mod maintenance;
mod orders;
mod pacing;
mod records;
mod recovery;
mod replacement;
mod reports;
mod requests;
mod scheduling;
mod session;
mod shares;
mod stops;
#[cfg(test)]
mod tests;
mod unlisted;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use tokio::sync::{Notify, Semaphore};
use tokio::task::{AbortHandle, JoinSet};
use tracing::info;

use super::clock::boot_ms;
use super::replica::Replica;
use super::settings::{ClusterSettings, TaskBounds};
use super::upstream_calls::UpstreamCalls;
use crate::placement::{Admissions, Approvals, Headroom, Learned, Observer, StepId};
use crate::tasks::{Incarnation, JobId, State, TaskId, Upstream};
use evacuations::EvacuationReport;
use hosts::KnownHosts;
use lag::Lag;
use recovery::{RecoverySteps, Step, contact_order};
use replacement::Supersession;
use session::Session;

/// Delay after a change of the state until sessions follow it.
const SESSIONS_DELAY: Duration = Duration::from_millis(10);

/// One run of one task.
pub(super) type TaskRun = (TaskId, u32);

/// What the sessions follow of a registered upstream.
struct RegisteredUpstream {
    incarnation: Incarnation,
    address: Arc<str>,
    rack: Arc<str>,
    /// Number of tasks that may be running on it.
    runs: usize,
    /// For how long it stays at least, if it drains.
    drain_remaining_ms: Option<u64>,
}

impl RegisteredUpstream {
    fn of(upstream: &Upstream, state: &State) -> Self {
        let heartbeat = &upstream.heartbeat;
        Self {
            incarnation: upstream.incarnation(),
            address: Arc::clone(&heartbeat.address),
            rack: Arc::clone(&heartbeat.rack),
            runs: state.count_runs(&upstream.incarnation()),
            drain_remaining_ms: heartbeat.draining.then_some(heartbeat.drain_remaining_ms),
        }
    }
}

/// The leader in one term.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) term: u64,
    /// When the term began on this host, on its boot clock.
    begun_ms: u64,
    replica: Arc<Replica>,
    calls: UpstreamCalls,
    bounds: TaskBounds,
    /// Data centres that the settings name.
    data_centres: BTreeSet<Arc<str>>,
    /// Whether stops for urgent work are weighed against what they cost.
    weighs_stops: bool,
    internal_address: String,
    term_state: Mutex<TermState>,
    /// Wakes the scheduling loop.
    wake: Notify,
    lag: Lag,
    /// Limits the first calls of the term to upstreams.
    first_contacts: Semaphore,
    tasks: Mutex<JoinSet<()>>,
    /// Reference to itself, for spawned work that must not keep it alive.
    weak: Weak<Self>,
}

/// State of one term that is not replicated and is lost with the leadership.
#[derive(Debug, Default)]
struct TermState {
    sessions: HashMap<Arc<str>, Session>,
    /// Runs whose start is being recorded or ordered.
    starting: HashSet<TaskRun>,
    /// Runs that were ordered to stop and have not ended yet.
    stopping: HashSet<TaskRun>,
    /// Jobs of which a task has begun, which is not recorded yet.
    begun: HashSet<JobId>,
    /// Upstreams that get no more calls, because a successor was heard of.
    superseded: HashMap<Incarnation, Supersession>,
    /// Identities of upstreams whose replacement is under way.
    replacing: HashSet<Arc<str>>,
    /// Holding loops, by upstream.
    holds: HashMap<Incarnation, AbortHandle>,
    headroom: Headroom,
    known_hosts: Option<KnownHosts>,
    admissions: Admissions,
    /// Services and organisations that were logged as having their fair part, and when.
    shares_logged: HashMap<(Arc<str>, Arc<str>), u64>,
    /// Upstreams that a job must avoid because it made no progress there, and until when.
    avoid: HashMap<(JobId, Incarnation), u64>,
    approvals: Approvals,
    /// What runs have shown of upstreams and of work.
    learned: Arc<Learned>,
    observer: Observer,
    /// Paces in percent that were set for filling tasks, and when.
    paces: HashMap<TaskRun, (u32, u64)>,
    /// Physical hosts that are being evacuated for maintenance, and since when.
    evacuating: HashMap<Arc<str>, u64>,
    /// Steps with an approval request under way.
    pending_approvals: HashSet<StepId>,
    evacuation_report: EvacuationReport,
    /// Upstreams that are slow for a while, and until when.
    cold_until_ms: HashMap<Incarnation, u64>,
    stopped: bool,
    /// Steps of the recovery that were reached.
    recovery: RecoverySteps,
}

impl Leader {
    pub(super) fn new(
        term: u64,
        replica: Arc<Replica>,
        calls: UpstreamCalls,
        bounds: TaskBounds,
        settings: &ClusterSettings,
    ) -> Arc<Self> {
        let feeds = settings.learned_feeds();
        let term_state =
            TermState { learned: Arc::new(Learned::with_feeds(feeds)), ..TermState::default() };
        Arc::new_cyclic(|weak| Self {
            term,
            begun_ms: boot_ms(),
            replica,
            calls,
            bounds,
            data_centres: settings.data_centres.clone(),
            weighs_stops: settings.weighs_stops,
            internal_address: settings.internal_address.to_string(),
            term_state: Mutex::new(term_state),
            wake: Notify::new(),
            lag: Lag::default(),
            first_contacts: Semaphore::new(hold::FIRST_CONTACTS_MAX),
            tasks: Mutex::default(),
            weak: Weak::clone(weak),
        })
    }

    fn term_state(&self) -> MutexGuard<'_, TermState> {
        self.term_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs until the caller aborts it at the end of the term.
    pub(super) async fn run(self: Arc<Self>) {
        info!(term = self.term, "leader starts its work");
        let following = Arc::clone(&self);
        let maintaining = Arc::clone(&self);
        tokio::join!(
            self.schedule_forever(),
            following.follow_upstreams(),
            maintaining.maintain_forever(),
            self.lag.measure_forever(&self.replica.metrics)
        );
    }

    /// Aborts all tasks that were spawned for this term.
    pub(super) fn stop(&self) {
        self.term_state().stopped = true;
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner).abort_all();
        (self.calls.close_idle)();
        self.replica.metrics.evacuations.clear();
        self.replica.metrics.evacuations.set_cold(0);
        info!(term = self.term, "leader ends its work");
    }

    /// Spawns a task that is aborted at the end of the term; `None` if the term has ended.
    fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) -> Option<AbortHandle> {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        while tasks.try_join_next().is_some() {}
        if self.term_state().stopped {
            return None;
        }
        Some(tasks.spawn(work))
    }

    /// Keeps one session and holding loop for each registered upstream.
    async fn follow_upstreams(self: Arc<Self>) {
        let mut changed = self.replica.changed();
        let mut synced_version = None;
        loop {
            // Most entries change no upstream, and the sync walks all of them.
            let version = self.replica.lock().state.fleet_version();
            if synced_version.replace(version) != Some(version) {
                self.sync_sessions();
            }
            self.wake.notify_one();
            if changed.changed().await.is_err() {
                return;
            }
            // Several changes are handled together, since each look walks all upstreams.
            tokio::time::sleep(SESSIONS_DELAY).await;
        }
    }

    fn sync_sessions(self: &Arc<Self>) {
        let upstreams: Vec<RegisteredUpstream> = {
            let inner = self.replica.lock();
            let state = &inner.state;
            let registered = |upstream| RegisteredUpstream::of(upstream, state);
            state.upstreams.values().map(registered).collect()
        };
        let mut new = Vec::new();
        {
            let mut term_state = self.term_state();
            let known: HashSet<&Incarnation> =
                upstreams.iter().map(|upstream| &upstream.incarnation).collect();
            let gone: Vec<_> = term_state
                .holds
                .keys()
                .filter(|incarnation| !known.contains(incarnation))
                .cloned()
                .collect();
            for incarnation in gone {
                if let Some(hold) = term_state.holds.remove(&incarnation) {
                    hold.abort();
                }
                let is_current = |session: &Session| session.incarnation == incarnation;
                if term_state.sessions.get(&incarnation.id).is_some_and(is_current) {
                    term_state.sessions.remove(&incarnation.id);
                }
            }
            term_state.superseded.retain(|incarnation, _| known.contains(incarnation));
            let names: HashSet<&str> = known.iter().map(|incarnation| &*incarnation.id).collect();
            let TermState { learned, observer, .. } = &mut *term_state;
            observer.retain(learned, |name| names.contains(name));
            for upstream in upstreams {
                let RegisteredUpstream { incarnation, address, rack, runs, drain_remaining_ms } =
                    upstream;
                let now_ms = boot_ms();
                if !term_state.holds.contains_key(&incarnation) {
                    let lease_max_ms = self.bounds.lease_max_ms;
                    let session = Session::new(incarnation.clone(), address, lease_max_ms, now_ms);
                    term_state.sessions.insert(Arc::clone(&incarnation.id), session);
                    new.push((incarnation.clone(), rack, runs));
                }
                let session = term_state.sessions.get_mut(&incarnation.id);
                if let Some(session) = session.filter(|known| known.incarnation == incarnation) {
                    session.record_drain(drain_remaining_ms, now_ms);
                }
            }
        }
        // First contacts take turns in this order.
        let new = contact_order(new, |(_, rack, runs)| (Arc::clone(rack), *runs));
        if !new.is_empty() {
            self.reach_step(Step::Sessions);
        }
        for (incarnation, ..) in new {
            let hold = self.spawn(Arc::clone(self).hold_upstream(incarnation.clone()));
            if let Some(hold) = hold {
                self.term_state().holds.insert(incarnation, hold);
            }
        }
    }
}
