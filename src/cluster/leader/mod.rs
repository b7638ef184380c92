//! The leader's work during one term: holding upstreams, scheduling, orders and requests.

mod advice;
mod failures;
mod hold;
mod lists;
mod maintenance;
mod orders;
mod pacing;
mod requests;
mod scheduling;
mod session;
#[cfg(test)]
mod tests;

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinSet};
use tracing::info;

use super::clock::boot_ms;
use super::replica::Replica;
use super::settings::{ClusterSettings, TaskBounds};
use super::upstream_calls::UpstreamCalls;
use crate::placement::{Approvals, Headroom, StepId};
use crate::tasks::{JobId, Life, TaskId};
use session::Session;

/// One run of one task.
pub(super) type TaskRun = (TaskId, u32);

/// The leader in one term.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) term: u64,
    replica: Arc<Replica>,
    calls: UpstreamCalls,
    bounds: TaskBounds,
    internal: String,
    soft: Mutex<Soft>,
    /// Work for the scheduler.
    wake: Notify,
    tasks: Mutex<JoinSet<()>>,
    /// Itself, for work that must not keep it alive.
    weak: Weak<Self>,
}

/// What the leader knows beyond the replicated state; lost with the leadership.
#[derive(Debug, Default)]
struct Soft {
    sessions: HashMap<Arc<str>, Session>,
    /// Start or stop orders that are under way.
    starting: HashSet<TaskRun>,
    stopping: HashSet<TaskRun>,
    holds: HashMap<Life, AbortHandle>,
    headroom: Headroom,
    /// Upstreams on which a job made no progress, and until when it is kept away from them.
    avoid: HashMap<(JobId, Life), u64>,
    approvals: Approvals,
    /// Pace of filling tasks that differs from full speed, and when it was set.
    paces: HashMap<TaskRun, (u32, u64)>,
    /// Physical hosts whose work is moving away, and since when.
    evacuating: HashMap<Arc<str>, u64>,
    /// Steps about which a question is under way.
    asking: HashSet<StepId>,
    stopped: bool,
}

impl Leader {
    pub(super) fn new(
        term: u64,
        replica: Arc<Replica>,
        calls: UpstreamCalls,
        bounds: TaskBounds,
        settings: &ClusterSettings,
    ) -> Arc<Self> {
        Arc::new_cyclic(|weak| Self {
            term,
            replica,
            calls,
            bounds,
            internal: settings.internal_address.to_string(),
            soft: Mutex::default(),
            wake: Notify::new(),
            tasks: Mutex::default(),
            weak: Weak::clone(weak),
        })
    }

    fn soft(&self) -> MutexGuard<'_, Soft> {
        self.soft.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Works until the term ends; the caller aborts it then.
    pub(super) async fn run(self: Arc<Self>) {
        info!(term = self.term, "leader starts its work");
        let following = Arc::clone(&self);
        let maintaining = Arc::clone(&self);
        tokio::join!(
            self.schedule_forever(),
            following.follow_upstreams(),
            maintaining.maintain_forever()
        );
    }

    /// Ends everything that was started for this term.
    pub(super) fn stop(&self) {
        self.soft().stopped = true;
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner).abort_all();
        info!(term = self.term, "leader ends its work");
    }

    /// Starts work that ends with the term at the latest.
    fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) -> Option<AbortHandle> {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        while tasks.try_join_next().is_some() {}
        if self.soft().stopped {
            return None;
        }
        Some(tasks.spawn(work))
    }

    /// Keeps one holding loop for each registered life.
    async fn follow_upstreams(self: Arc<Self>) {
        let mut changed = self.replica.changed();
        loop {
            self.match_sessions();
            self.wake.notify_one();
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    fn match_sessions(self: &Arc<Self>) {
        let lives: Vec<(Life, Arc<str>)> = {
            let inner = self.replica.lock();
            let upstreams = inner.state.upstreams.values();
            upstreams.map(|up| (up.life(), Arc::clone(&up.beat.address))).collect()
        };
        let mut new = Vec::new();
        {
            let mut soft = self.soft();
            let known: HashSet<&Life> = lives.iter().map(|(life, _)| life).collect();
            let gone: Vec<_> =
                soft.holds.keys().filter(|life| !known.contains(life)).cloned().collect();
            for life in gone {
                if let Some(hold) = soft.holds.remove(&life) {
                    hold.abort();
                }
                let ours = |session: &Session| session.life == life;
                if soft.sessions.get(&life.id).is_some_and(ours) {
                    soft.sessions.remove(&life.id);
                }
            }
            for (life, address) in lives {
                if !soft.holds.contains_key(&life) {
                    let lease_max_ms = self.bounds.lease_max_ms;
                    let session = Session::new(life.clone(), address, lease_max_ms, boot_ms());
                    soft.sessions.insert(Arc::clone(&life.id), session);
                    new.push(life);
                }
            }
        }
        for life in new {
            let hold = self.spawn(Arc::clone(self).hold_forever(life.clone()));
            if let Some(hold) = hold {
                self.soft().holds.insert(life, hold);
            }
        }
    }
}
