//! Scheduling loop: collects the input of placement decisions and carries them out.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, timeout};
use tracing::{debug, info, warn};

use super::failures::unit_of;
use super::lag::Shedding;
use super::recovery::Step;
use super::{Leader, TaskRun, learning};
use crate::cluster::clock::{boot_ms, unix_ms};
use crate::placement::{Plan, Progress, StopCause, View, jobs_to_shrink, plan, urgent_demand};
use crate::tasks::{
    Change, Incarnation, JobId, Opening, StartRecord, State, StepSpec, TaskId, UnitId,
};

/// Longest time between two decisions.
pub(super) const PASS_INTERVAL: Duration = Duration::from_millis(250);

/// Delay before a decision, so that several changes are handled together.
const PASS_DELAY: Duration = Duration::from_millis(10);

/// Delay before the next decision, as a multiple of the time that the latest one took. With many
/// upstreams a decision takes long, and leases, heartbeats and calls need the processor as well.
const PASS_DELAY_FACTOR: u32 = 4;

/// Pause after a command that was not confirmed as committed.
const UNCONFIRMED_PAUSE: Duration = Duration::from_millis(100);

/// Maximum number of ended jobs that one command drops.
const DROP_JOBS_BATCH_MAX: usize = 200;

impl Leader {
    /// Runs a scheduling pass after each change, and at the latest after [`PASS_INTERVAL`].
    pub(super) async fn schedule_forever(self: &Arc<Self>) {
        let mut decided_in = Duration::ZERO;
        loop {
            // A timeout also starts the next pass.
            _ = timeout(PASS_INTERVAL, self.wake.notified()).await;
            tokio::time::sleep(pass_delay(decided_in)).await;
            if self.replica.is_confirmed_leader() {
                decided_in = self.run_pass().await;
            }
        }
    }

    /// Decides and carries the decision out; returns the time that the decision itself took.
    async fn run_pass(self: &Arc<Self>) -> Duration {
        let begun = Instant::now();
        self.drop_ended_run_state();
        self.record_begun_jobs();
        self.record_returns();
        self.stop_hanging_runs();
        let spares_optional = self.lag.shedding() >= Shedding::Optional;
        if !spares_optional {
            self.pace_filling();
        }
        self.move_from_draining();
        self.report_evacuations();
        let plan = self.decide();
        self.reach_step(Step::FirstDecision);
        let decided_in = begun.elapsed();
        log_rotation(&plan);
        self.note_shares(&plan.shares);
        self.count_moves(&plan.stops);
        if !spares_optional {
            self.request_approvals(plan.approval_requests);
        }
        if !plan.openings.is_empty() {
            self.open_occurrences(plan.openings).await;
        }
        if !plan.give_ups.is_empty() {
            self.give_up(plan.give_ups).await;
        }
        for (unit, run, cause) in &plan.stops {
            self.stop_unit(unit, *run, *cause);
        }
        if !plan.starts.is_empty() {
            self.start_units(plan.starts).await;
        }
        self.drop_ended_jobs().await;
        self.drop_steps_of_ended_jobs().await;
        decided_in
    }

    /// Drops the state kept for runs and jobs that have ended.
    fn drop_ended_run_state(&self) {
        let inner = self.replica.lock();
        let is_running = |(task, run): &TaskRun| is_running(&inner.state, task, *run);
        let mut term_state = self.term_state();
        term_state.stopping.retain(|key| is_running(key));
        term_state.paces.retain(|key, _| is_running(key));
        let now_ms = boot_ms();
        term_state.avoid.retain(|_, until_ms| now_ms < *until_ms);
        term_state.cold_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        self.replica.metrics.evacuations.set_cold(term_state.cold_until_ms.len());
        let is_open =
            |job: &JobId| inner.state.jobs.get(job).is_some_and(|job| job.outcome.is_none());
        term_state.approvals.retain(|step| is_open(&step.job));
        for session in term_state.sessions.values_mut() {
            session.answered_orders.retain(|key, _| is_running(key));
        }
    }

    pub(super) fn decide(&self) -> Plan {
        let now_ms = boot_ms();
        let inner = self.replica.lock();
        let state = &inner.state;
        let hosts = self.renewed_hosts(state, now_ms);
        let forecast_hosts = self.hosts_for_forecast(state, &hosts, now_ms);
        let term_state = self.term_state();
        let approvals = term_state.approvals.clone();
        let learned = Arc::clone(&term_state.learned);
        let [kinds, slow, pairs] = learned.counts(inner.now_ms());
        self.replica.metrics.set_learned(kinds, slow, pairs);
        let avoid: HashSet<(JobId, Incarnation)> = term_state.avoid.keys().cloned().collect();
        let stopping: HashSet<(UnitId, u32)> =
            term_state.stopping.iter().filter_map(|key| unit_of(state, key)).collect();
        let expected_ms = |task: &TaskId| {
            let known = state.jobs.get(&task.job).zip(step_of(state, task));
            known.map_or(0, |(job, step)| learning::expected_ms(&learned, state, job, step))
        };
        let mut progress: HashMap<(UnitId, u32), Progress> = HashMap::new();
        for session in term_state.sessions.values() {
            for (task, observed) in &session.runs {
                let key = (task.clone(), observed.run);
                let Some(unit) = unit_of(state, &key) else { continue };
                let checkpoints = checkpoints(state, &key.0);
                let since_ms =
                    if checkpoints { observed.saved_ms } else { observed.first_listed_ms };
                let unsaved_ms = now_ms.saturating_sub(since_ms);
                let left_ms = observed.estimated_left_ms(expected_ms(task), now_ms);
                let seen_alive_ms = session.seen_alive_ms(&key).unwrap_or(0);
                let known = progress
                    .entry(unit)
                    .or_insert(Progress { seen_alive_ms, ..Progress::default() });
                known.seen_alive_ms = known.seen_alive_ms.min(seen_alive_ms);
                known.unsaved_ms = known.unsaved_ms.max(unsaved_ms);
                known.left_ms = known.left_ms.max(left_ms);
            }
        }
        drop(term_state);
        let view = View {
            state,
            hosts: &hosts,
            now_ms: inner.now_ms(),
            unix_ms: unix_ms(),
            stopping: &stopping,
            progress: &progress,
            avoid: &avoid,
            approvals: &approvals,
            learned: &learned,
            reserve_millihosts: 0,
            stop_ms: self.bounds.stop_timeout_ms,
            weighs_stops: self.weighs_stops,
            jobs_max_bytes: self.bounds.jobs_max_bytes(),
        };
        let demand = urgent_demand(&view);
        let reserve = {
            let mut term_state = self.term_state();
            term_state.admissions.update(&View { hosts: &forecast_hosts, ..view });
            term_state.headroom.update(view.now_ms, demand, hosts.len())
        };
        plan(&View { reserve_millihosts: reserve, ..view })
    }

    /// Records runs in the replicated state, and orders their start once the record is committed.
    async fn start_units(self: &Arc<Self>, starts: Vec<StartRecord>) {
        for start in &starts {
            info!(
                request = %start.unit.job,
                unit = %start.unit,
                run = start.run,
                upstreams = start
                    .incarnations
                    .iter()
                    .map(|incarnation| &*incarnation.id)
                    .collect::<Vec<_>>()
                    .join(","),
                "unit is placed"
            );
        }
        let keys: Vec<TaskRun> = starts.iter().flat_map(task_runs).collect();
        self.term_state().starting.extend(keys.iter().cloned());
        let recorded = self.replica.propose(Change::Start { starts: starts.clone() }).await;
        if recorded.is_err() {
            warn!(units = starts.len(), "starts were not confirmed");
            self.term_state().starting.retain(|key| !keys.contains(key));
            tokio::time::sleep(UNCONFIRMED_PAUSE).await;
            return;
        }
        self.reach_step(Step::FirstStart);
        for start in starts {
            for (member_index, incarnation) in (0_u32..).zip(&start.incarnations) {
                self.order_start(&start.unit, start.run, member_index, incarnation);
            }
        }
    }

    /// Opens occurrences; the next decision starts their tasks.
    async fn open_occurrences(&self, openings: Vec<Opening>) {
        for Opening { job, until } in &openings {
            info!(request = %job, until, "occurrences are opened");
        }
        if self.replica.propose(Change::OpenOccurrences { openings }).await.is_ok() {
            self.wake.notify_one();
        }
    }

    /// Drops ended jobs and early cancellations whose retention period is over.
    async fn drop_ended_jobs(&self) {
        let jobs: Vec<JobId> = {
            let inner = self.replica.lock();
            let (now_ms, keep_ms) = (inner.now_ms(), self.bounds.keep_state_ms);
            let jobs = inner.state.jobs.values();
            let old = jobs.filter(|job| job.may_be_dropped(now_ms, keep_ms)).map(|job| &job.id);
            let cancellations = inner.state.early_cancellations.iter();
            let old_cancellations =
                cancellations.filter(|(_, at_ms)| now_ms > **at_ms + keep_ms).map(|(id, _)| id);
            old.chain(old_cancellations).take(DROP_JOBS_BATCH_MAX).cloned().collect()
        };
        if jobs.is_empty() {
            return;
        }
        let count = jobs.len();
        if self.replica.propose(Change::DropJobs { jobs }).await.is_ok() {
            debug!(count, "dropped ended jobs");
        }
    }

    /// Drops the steps of ended jobs if memory is short.
    async fn drop_steps_of_ended_jobs(&self) {
        let jobs = {
            let inner = self.replica.lock();
            jobs_to_shrink(&inner.state, self.bounds.jobs_max_bytes())
        };
        if jobs.is_empty() {
            return;
        }
        info!(jobs = jobs.len(), "steps of ended jobs are dropped, since memory is short");
        if self.replica.propose(Change::DropSteps { jobs }).await.is_err() {
            debug!("could not drop the steps of ended jobs; the next pass will");
        }
    }
}

/// Returns the delay before a decision when the latest one took the given time.
pub(super) fn pass_delay(decided_in: Duration) -> Duration {
    (decided_in * PASS_DELAY_FACTOR).clamp(PASS_DELAY, PASS_INTERVAL)
}

/// Logs how many lasting tasks a decision rotates, and how many units wait meanwhile.
fn log_rotation(plan: &Plan) {
    let rotated = plan.stops.iter().filter(|(.., cause)| *cause == StopCause::Rotated).count();
    if rotated > 0 {
        let Plan { unplaced, unplaced_urgent, .. } = plan;
        info!(rotated, unplaced, unplaced_urgent, "lasting tasks are rotated");
    }
}

fn task_runs(start: &StartRecord) -> Vec<TaskRun> {
    let members = (0_u32..).zip(&start.incarnations);
    members.map(|(member_index, _)| (start.unit.task(member_index), start.run)).collect()
}

pub(super) fn is_running(state: &State, task: &TaskId, run: u32) -> bool {
    state.find_task(task).is_some_and(|(_, unit, member_index)| {
        let member = unit.members().get(member_index as usize);
        unit.run == run && member.is_some_and(|member| member.end.is_none())
    })
}

fn checkpoints(state: &State, task: &TaskId) -> bool {
    step_of(state, task).is_some_and(|step| step.checkpoints)
}

pub(super) fn step_of<'a>(state: &'a State, task: &TaskId) -> Option<&'a StepSpec> {
    state.jobs.get(&task.job)?.spec.steps.get(task.step as usize)
}
