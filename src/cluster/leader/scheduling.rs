//! Feeds the placement decisions and carries them out.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;
use tracing::{debug, info, warn};

use super::failures::{Hanging, unit_of};
use super::{Leader, TaskRun, failures};
use crate::cluster::clock::{boot_ms, unix_ms};
use crate::placement::{Host, Plan, Progress, StopCause, View, plan, urgent_demand};
use crate::tasks::{Change, JobId, Life, StartRecord, State, UnitId};

/// Longest time between two decisions.
const PASS_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time between two decisions, so that changes are handled together.
const PASS_PAUSE: Duration = Duration::from_millis(10);

/// Pause after a change that was not confirmed.
const UNCONFIRMED_PAUSE: Duration = Duration::from_millis(100);

/// Largest share of the pool that may be set aside, in percent.
const SET_ASIDE_MAX_PERCENT: usize = 34;

/// Ended jobs that are dropped at once.
const FORGET_BATCH: usize = 200;

impl Leader {
    /// Decides again whenever something has changed.
    pub(super) async fn schedule_forever(self: &Arc<Self>) {
        loop {
            // Either way it is time for the next decision.
            _ = timeout(PASS_INTERVAL, self.wake.notified()).await;
            tokio::time::sleep(PASS_PAUSE).await;
            if self.replica.is_confirmed_leader() {
                self.pass().await;
            }
        }
    }

    async fn pass(self: &Arc<Self>) {
        self.forget_settled();
        self.find_hanging();
        self.pace_filling();
        let plan = self.decide();
        self.ask(plan.approval_requests);
        for (unit, run, cause) in &plan.stops {
            self.stop_unit(unit, *run, *cause);
        }
        if !plan.starts.is_empty() {
            self.start_units(plan.starts).await;
        }
        self.forget_jobs().await;
    }

    /// Drops notes on runs that are over.
    fn forget_settled(&self) {
        let inner = self.replica.lock();
        let is_running = |(task, run): &TaskRun| is_running(&inner.state, task, *run);
        let mut soft = self.soft();
        soft.stopping.retain(|key| is_running(key));
        soft.paces.retain(|key, _| is_running(key));
        let now_ms = boot_ms();
        soft.avoid.retain(|_, until_ms| now_ms < *until_ms);
        let is_open =
            |job: &JobId| inner.state.jobs.get(job).is_some_and(|job| job.outcome.is_none());
        soft.approvals.retain(|step| is_open(&step.job));
        for session in soft.sessions.values_mut() {
            session.settled.retain(|key, _| is_running(key));
        }
    }

    fn decide(&self) -> Plan {
        let now_ms = boot_ms();
        let inner = self.replica.lock();
        let state = &inner.state;
        let hosts = self.hosts(state, now_ms);
        let soft = self.soft();
        let approvals = soft.approvals.clone();
        let avoid: HashSet<(JobId, Life)> = soft.avoid.keys().cloned().collect();
        let stopping: HashSet<(UnitId, u32)> =
            soft.stopping.iter().filter_map(|key| unit_of(state, key)).collect();
        let mut progress: HashMap<(UnitId, u32), Progress> = HashMap::new();
        for session in soft.sessions.values() {
            for (task, seen) in &session.runs {
                let key = (task.clone(), seen.run);
                let Some(unit) = unit_of(state, &key) else { continue };
                let checkpoints = checkpoints(state, &key.0);
                let since_ms = if checkpoints { seen.saved_ms } else { seen.first_ms };
                let unsaved_ms = now_ms.saturating_sub(since_ms);
                let known = progress.entry(unit).or_default();
                known.unsaved_ms = known.unsaved_ms.max(unsaved_ms);
            }
        }
        drop(soft);
        let view = View {
            state,
            hosts: &hosts,
            now_ms: inner.now_ms(),
            unix_ms: unix_ms(),
            stopping: &stopping,
            progress: &progress,
            avoid: &avoid,
            approvals: &approvals,
            reserve_millihosts: 0,
        };
        let demand = urgent_demand(&view);
        let reserve = self.soft().headroom.update(view.now_ms, demand, hosts.len());
        plan(&View { reserve_millihosts: reserve, ..view })
    }

    /// Describes the upstreams as the decisions see them.
    pub(super) fn hosts(&self, state: &State, now_ms: u64) -> Vec<Host> {
        let soft = self.soft();
        let mut hosts: Vec<Host> = Vec::with_capacity(state.upstreams.len());
        let mut set_aside: Vec<(u64, usize)> = Vec::new();
        for upstream in state.upstreams.values() {
            let life = upstream.life();
            let session = soft.sessions.get(&life.id).filter(|session| session.life == life);
            let ready = session.is_some_and(|s| s.listed && s.in_touch(now_ms));
            let beat = &upstream.beat;
            let evacuated =
                beat.machine.as_ref().is_some_and(|machine| soft.evacuating.contains_key(machine));
            let takes_work = ready && !beat.draining && !evacuated;
            let until_ms = session.map_or(0, |session| session.set_aside_until_ms);
            if until_ms > now_ms && takes_work {
                set_aside.push((until_ms, hosts.len()));
            }
            hosts.push(Host {
                life,
                service: Arc::clone(&beat.service),
                rack: Arc::clone(&beat.rack),
                labels: beat.labels.clone(),
                capacity: beat.capacity,
                takes_work,
            });
        }
        // Beyond a share of the pool a bad upstream is better than none.
        set_aside.sort_unstable_by(|a, b| b.cmp(a));
        let most = hosts.len() * SET_ASIDE_MAX_PERCENT / 100;
        for (_, host) in set_aside.into_iter().take(most) {
            hosts[host].takes_work = false;
        }
        hosts
    }

    /// Orders all tasks of a run to stop.
    pub(super) fn stop_unit(&self, unit: &UnitId, run: u32, cause: StopCause) {
        for (place, life) in self.open_members(unit, run) {
            self.order_stop(&life, unit.task(place), run, &cause.to_string());
        }
    }

    /// Orders the other members of a gang to stop.
    pub(super) fn stop_others(&self, unit: &UnitId, run: u32, place: u32) {
        let cause = StopCause::GangBroken.to_string();
        for (other, life) in self.open_members(unit, run) {
            if other != place {
                self.order_stop(&life, unit.task(other), run, &cause);
            }
        }
    }

    /// Lists the tasks of a run that may be running, by their place.
    fn open_members(&self, unit: &UnitId, run: u32) -> Vec<(u32, Life)> {
        let inner = self.replica.lock();
        let job = inner.state.jobs.get(&unit.job);
        let Some(state) = job.and_then(|job| job.unit(unit.occurrence, unit.step, unit.unit))
        else {
            return Vec::new();
        };
        let open = (0_u32..).zip(state.members()).filter(|(_, member)| member.end.is_none());
        let members = open.map(|(place, member)| (place, member.life.clone()));
        if state.run == run { members.collect() } else { Vec::new() }
    }

    /// Records runs, and orders them once the record is safe.
    async fn start_units(self: &Arc<Self>, starts: Vec<StartRecord>) {
        for start in &starts {
            info!(
                request = %start.unit.job,
                unit = %start.unit,
                run = start.run,
                upstreams = start.lives.iter().map(|life| &*life.id).collect::<Vec<_>>().join(","),
                "unit is placed"
            );
        }
        let keys: Vec<TaskRun> = starts.iter().flat_map(task_runs).collect();
        self.soft().starting.extend(keys.iter().cloned());
        let recorded = self.replica.propose(Change::Start { starts: starts.clone() }).await;
        if recorded.is_err() {
            warn!(units = starts.len(), "starts were not confirmed");
            self.soft().starting.retain(|key| !keys.contains(key));
            tokio::time::sleep(UNCONFIRMED_PAUSE).await;
            return;
        }
        for start in starts {
            for (place, life) in (0_u32..).zip(&start.lives) {
                self.order_start(&start.unit, start.run, place, life);
            }
        }
    }

    /// Stops runs that make no progress, and judges their upstreams by them.
    ///
    /// Which member of a gang hangs is not known, so the job is kept away from all of its hosts;
    /// the one that hangs is found by the next job that hangs there.
    fn find_hanging(&self) {
        let now_ms = boot_ms();
        let mut blamed: HashSet<(UnitId, u32, Life)> = HashSet::new();
        let hanging = {
            let inner = self.replica.lock();
            let soft = self.soft();
            failures::hanging(&inner.state, soft.sessions.values(), &soft.stopping, now_ms)
        };
        for Hanging { unit, run, life, still_ms, percent } in hanging {
            if !blamed.insert((unit.clone(), run, life.clone())) {
                continue;
            }
            let set_aside_ms = {
                let mut soft = self.soft();
                soft.avoid.insert((unit.job.clone(), life.clone()), now_ms + failures::AVOID_MS);
                soft.sessions
                    .get_mut(&life.id)
                    .and_then(|session| session.note_outcome(unit.job.clone(), false, now_ms))
            };
            warn!(
                request = %unit.job, unit = %unit, run, upstream = %life.id, still_ms, percent,
                set_aside_ms, "run makes no progress"
            );
            self.stop_unit(&unit, run, StopCause::Hangs);
        }
    }

    /// Drops ended jobs whose state was kept long enough.
    async fn forget_jobs(&self) {
        let jobs: Vec<JobId> = {
            let inner = self.replica.lock();
            let (now_ms, keep_ms) = (inner.now_ms(), self.bounds.keep_state_ms);
            let jobs = inner.state.jobs.values();
            let old = jobs.filter(|job| job.may_be_forgotten(now_ms, keep_ms));
            old.take(FORGET_BATCH).map(|job| job.id.clone()).collect()
        };
        if jobs.is_empty() {
            return;
        }
        let count = jobs.len();
        if self.replica.propose(Change::Forget { jobs }).await.is_ok() {
            debug!(count, "dropped ended jobs");
        }
    }
}

fn task_runs(start: &StartRecord) -> Vec<TaskRun> {
    let places = (0_u32..).zip(&start.lives);
    places.map(|(place, _)| (start.unit.task(place), start.run)).collect()
}

fn is_running(state: &State, task: &crate::tasks::TaskId, run: u32) -> bool {
    state.find(task).is_some_and(|(_, unit, place)| {
        let member = unit.members().get(place as usize);
        unit.run == run && member.is_some_and(|member| member.end.is_none())
    })
}

fn checkpoints(state: &State, task: &crate::tasks::TaskId) -> bool {
    let job = state.jobs.get(&task.job);
    job.and_then(|job| job.spec.steps.get(task.step as usize)).is_some_and(|step| step.checkpoints)
}
