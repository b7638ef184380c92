//! Applies committed commands to the replicated state.

use std::sync::Arc;

use bytes::Bytes;
use smallvec::SmallVec;

use super::attained::Usage;
use super::command::{Change, Command, EndRecord, LostRun, StartRecord};
use super::configuration::Configuration;
use super::ids::{JobId, TaskId, UnitId};
use super::job::{Job, Member, Outcome, Phase};
use super::spec::JobSpec;
use super::state::{JobEvent, State};
use super::upstream::{EndKind, Heartbeat, Incarnation, Upstream};
use super::wave::{MachineState, Wave};

impl State {
    /// Applies one command.
    pub(crate) fn apply(&mut self, command: Command) {
        self.now_ms = self.now_ms.max(command.at_ms);
        match command.change {
            Change::SetConfiguration { configuration, raw } => self.configure(configuration, raw),
            Change::Accept { id, queue, organisation, spec } => {
                self.accept(&id, queue, organisation, spec);
            }
            Change::Cancel { id } => self.cancel(&id),
            Change::Start { starts } => starts.into_iter().for_each(|start| self.start(start)),
            Change::RecordEnds { incarnation, up_to, ends } => {
                self.record_ends(&incarnation, up_to, ends);
            }
            Change::RecordLost { incarnation, runs } => self.record_lost_runs(&incarnation, runs),
            Change::RegisterUpstream { heartbeat } => self.register_upstream(heartbeat),
            Change::RemoveUpstream { incarnation } => self.remove_upstream(&incarnation),
            Change::StartWave { number, machines, cap, duration_ms } => {
                let started_ms = self.now_ms;
                let waiting = machines.into_iter().map(|machine| (machine, MachineState::Waiting));
                let machines = waiting.collect();
                let wave = Wave { machines, cap, duration_ms, started_ms };
                self.waves.entry(number).or_insert(wave);
            }
            Change::SetMachineState { wave, machine, state } => {
                if let Some(wave) = self.waves.get_mut(&wave)
                    && let Some(known) = wave.machines.get_mut(&machine)
                {
                    known.clone_from(&state);
                    self.record_maintenance(&machine, &state);
                }
            }
            Change::DropJobs { jobs } => {
                for id in &jobs {
                    self.jobs.remove(id);
                    self.early_cancellations.remove(id);
                }
                self.crashes.retain(|task| !jobs.contains(&task.job));
                self.forget_missed_returns();
            }
            Change::RecordCrash { incarnation, runs, silent_ms } => {
                self.record_crash(&incarnation, &runs, silent_ms);
            }
            Change::GiveUp { units } => units.iter().for_each(|unit| self.give_up(unit)),
            Change::OpenOccurrences { openings } => {
                for opening in openings {
                    if let Some(job) = self.jobs.get_mut(&opening.job) {
                        job.open_until(opening.until, self.now_ms);
                    }
                }
            }
            Change::SetEvacuation { data_centre, begin, revision } => {
                self.evacuations.set(data_centre, begin, revision, self.now_ms);
            }
            Change::RecordBegun { jobs } => jobs.iter().for_each(|id| self.record_begun(id)),
            Change::RecordReturns { returns } => self.record_returns(returns),
            Change::RecordLeave { incarnation } => self.record_leave(incarnation),
            Change::DropSteps { jobs } => {
                for id in &jobs {
                    if let Some(job) = self.jobs.get_mut(id) {
                        job.drop_steps();
                    }
                }
            }
        }
    }

    fn configure(&mut self, configuration: Arc<Configuration>, raw: Bytes) {
        if configuration.version <= self.configuration_version() {
            return;
        }
        if let Some(former) = self.configuration.take() {
            for queue in &former.queues {
                self.former_queues.insert(Arc::clone(&queue.name), queue.clone());
            }
        }
        let in_use = |name: &Arc<str>| self.jobs.values().any(|job| job.queue == *name);
        let unused: Vec<_> = self.former_queues.keys().filter(|n| !in_use(n)).cloned().collect();
        for name in unused {
            self.former_queues.remove(&name);
        }
        self.configuration = Some(configuration);
        self.raw_configuration = raw;
        self.recount_usage();
    }

    fn accept(
        &mut self,
        id: &JobId,
        queue: Arc<str>,
        organisation: Option<Arc<str>>,
        spec: Arc<JobSpec>,
    ) {
        self.returns.remove(id);
        // The caller has withdrawn the job before it arrived.
        if self.was_cancelled_early(id) {
            return;
        }
        // The queue may have been removed since the leader looked for it; nothing would start the job.
        if self.configuration.as_ref().is_none_or(|current| current.queue(&queue).is_none()) {
            return;
        }
        let now_ms = self.now_ms;
        let new = || Job::new(id.clone(), queue, organisation, spec, now_ms);
        self.jobs.entry(id.clone()).or_insert_with(new);
    }

    fn cancel(&mut self, id: &JobId) {
        let now_ms = self.now_ms;
        match self.jobs.get_mut(id) {
            Some(job) => self.events.extend(end_job(job, Outcome::Cancelled, now_ms)),
            None => self.record_early_cancellation(id),
        }
    }

    fn start(&mut self, start: StartRecord) {
        // An upstream may have left since the decision; nobody would ever end a run there.
        if !start.incarnations.iter().all(|incarnation| self.is_registered(incarnation)) {
            return;
        }
        // An evacuation may have begun since the decision.
        if start.incarnations.iter().any(|incarnation| self.is_evacuated(incarnation)) {
            return;
        }
        let account = self.jobs.get(&start.unit.job).and_then(|job| self.account_of(job));
        let Some(job) = self.jobs.get_mut(&start.unit.job) else { return };
        if job.outcome.is_some() {
            return;
        }
        let unit_id = &start.unit;
        // In a log of an earlier build, all occurrences were open from the acceptance on.
        job.open_until(unit_id.occurrence.saturating_add(1), self.now_ms);
        let Some(unit) = job.unit_mut(unit_id.occurrence, unit_id.step, unit_id.unit) else {
            return;
        };
        // A unit has one run at a time; starts that were decided on an older state are ignored.
        if unit.phase != Phase::Waiting || start.run <= unit.run {
            return;
        }
        for (member, incarnation) in (0_u32..).zip(&start.incarnations) {
            // It takes work again, so it has not crashed.
            self.lapsed_runs.remove(incarnation);
            let runs = self.running.entry(incarnation.clone()).or_default();
            runs.insert(unit_id.task(member), start.run);
        }
        let members: SmallVec<[Member; 1]> = start
            .incarnations
            .into_iter()
            .map(|incarnation| Member { incarnation, end: None })
            .collect();
        unit.run = start.run;
        let tasks = members.len() as u64;
        unit.phase = Phase::Running { members };
        job.running_units += 1;
        let need = Usage::of(&job.spec.steps[unit_id.step as usize].reserved());
        if let Some(account) = account {
            self.add_usage(account, need.times(tasks));
        }
    }

    /// Records that a task of a job has begun on an upstream.
    fn record_begun(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.outcome.is_none() && !std::mem::replace(&mut job.begun, true) {
            let event = job_event(job, self.now_ms);
            self.events.push(event);
        }
    }

    /// Returns whether an incarnation of an upstream is registered.
    pub(crate) fn is_registered(&self, incarnation: &Incarnation) -> bool {
        let known = self.upstreams.get(&incarnation.id);
        known.is_some_and(|known| known.heartbeat.born_unix_ms == incarnation.born_unix_ms)
    }

    fn record_ends(&mut self, incarnation: &Incarnation, up_to: u64, ends: Vec<EndRecord>) {
        for end in ends {
            if end.how != EndKind::NotStarted {
                self.record_begun(&end.task.job);
            }
            self.end_run(incarnation, &end.task, end.run, end.how, end.checkpoint);
        }
        if let Some(upstream) = self.upstreams.get_mut(&incarnation.id)
            && upstream.heartbeat.born_unix_ms == incarnation.born_unix_ms
        {
            upstream.ends_seen = upstream.ends_seen.max(up_to);
        }
    }

    fn record_lost_runs(&mut self, incarnation: &Incarnation, runs: Vec<LostRun>) {
        let lapsed = runs.iter().map(|lost| (lost.task.clone(), lost.run)).collect();
        self.lapsed_runs.insert(incarnation.clone(), lapsed);
        for lost in runs {
            self.end_run(incarnation, &lost.task, lost.run, EndKind::Lapsed, lost.checkpoint);
        }
    }

    /// Records the end of one task of a run; the run ends with its last task.
    fn end_run(
        &mut self,
        incarnation: &Incarnation,
        task: &TaskId,
        run: u32,
        how: EndKind,
        checkpoint: Option<Arc<str>>,
    ) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get(&task.job) else { return };
        let attempts_max = self.queue_of(job).map_or(1, |queue| queue.attempts_max.max(1));
        let Some((unit_number, member_index)) = job.locate_task(task.step, task.index) else {
            return;
        };
        let account = self.account_of(job);
        let need = Usage::of(&job.spec.steps[task.step as usize].reserved());
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let lasting = job.spec.steps[task.step as usize].lasting;
        let Some(unit) = job.unit_mut(task.occurrence, task.step, unit_number) else { return };
        if unit.run != run {
            return;
        }
        if unit.phase == Phase::Waiting && how == EndKind::Done && !lasting {
            // The run was recorded as lost before its report of success arrived.
            unit.finished = true;
            unit.phase = Phase::Done;
            self.close_unit(task, now_ms);
            self.close_finished(task);
            return;
        }
        let Phase::Running { members } = &mut unit.phase else { return };
        let Some(member) = members.get_mut(member_index as usize) else { return };
        if member.incarnation != *incarnation || member.end.is_some() {
            return;
        }
        member.end = Some(how);
        if let Some(runs) = self.running.get_mut(incarnation) {
            runs.remove(task);
            if runs.is_empty() {
                self.running.remove(incarnation);
            }
        }
        if let Some(checkpoint) = checkpoint.filter(|checkpoint| !checkpoint.is_empty()) {
            unit.checkpoint = checkpoint;
        }
        let all_ended = members.iter().all(|member| member.end.is_some());
        let failed = members.iter().any(|member| member.end == Some(EndKind::Failed));
        let has_begun = members.iter().any(|member| member.end != Some(EndKind::NotStarted));
        // The members of a gang finish together, so the first report of success completes the unit.
        let newly_done = how == EndKind::Done && !lasting && !unit.finished;
        unit.finished |= newly_done;
        let mut given_up = false;
        if all_ended && unit.finished {
            unit.phase = Phase::Done;
        } else if all_ended {
            unit.failures += u32::from(failed && !lasting);
            given_up = unit.failures >= attempts_max;
            if has_begun {
                unit.waiting_since_ms = now_ms;
            }
            unit.phase = if given_up { Phase::GivenUp } else { Phase::Waiting };
        }
        job.running_units -= u64::from(all_ended);
        if given_up {
            self.events.extend(end_job(job, Outcome::Failed, now_ms));
        }
        if let Some(account) = account {
            self.subtract_usage(&account, need);
        }
        if newly_done {
            self.close_unit(task, now_ms);
        }
        if all_ended {
            self.close_finished(task);
        }
    }

    /// Closes the occurrence of a task if it is over.
    fn close_finished(&mut self, task: &TaskId) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.close_finished(task.occurrence);
        }
    }

    /// Gives up a unit that does not run; its job fails.
    fn give_up(&mut self, id: &UnitId) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&id.job).filter(|job| job.outcome.is_none()) else {
            return;
        };
        let Some(unit) = job.unit_mut(id.occurrence, id.step, id.unit) else { return };
        if unit.phase == Phase::Waiting {
            unit.phase = Phase::GivenUp;
            self.events.extend(end_job(job, Outcome::Failed, now_ms));
        }
    }

    /// Counts a unit of a step as done; the job completes with its last unit.
    fn close_unit(&mut self, task: &TaskId, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let steps = job.occurrences.get_mut(task.occurrence);
        let Some(step) = steps.and_then(|steps| steps.get_mut(task.step as usize)) else { return };
        assert!(step.open_units > 0, "{task}: unit was done before");
        step.open_units -= 1;
        if job.is_done() {
            self.events.extend(end_job(job, Outcome::Completed, now_ms));
        }
    }

    fn register_upstream(&mut self, heartbeat: Heartbeat) {
        let known = self.upstreams.get(&heartbeat.id);
        if known.is_some_and(|known| known.heartbeat.born_unix_ms > heartbeat.born_unix_ms) {
            return;
        }
        let same = known.filter(|known| known.heartbeat.born_unix_ms == heartbeat.born_unix_ms);
        let ends_seen = same.map_or(0, |known| known.ends_seen);
        if same.is_some_and(|known| known.heartbeat.sequence > heartbeat.sequence) {
            return;
        }
        let former = known.filter(|known| known.heartbeat.born_unix_ms != heartbeat.born_unix_ms);
        if let Some(former) = former.map(Upstream::incarnation) {
            self.end_all_runs(&former);
        }
        self.fleet_version += 1;
        self.upstreams.insert(Arc::clone(&heartbeat.id), Upstream { heartbeat, ends_seen });
    }

    pub(super) fn remove_upstream(&mut self, incarnation: &Incarnation) {
        if self.is_registered(incarnation) {
            self.fleet_version += 1;
            self.upstreams.remove(&incarnation.id);
        }
        self.end_all_runs(incarnation);
    }

    /// Ends all runs of an upstream that has left or restarted.
    fn end_all_runs(&mut self, incarnation: &Incarnation) {
        self.lapsed_runs.remove(incarnation);
        self.departures.remove(incarnation);
        for (task, run) in self.runs_of(incarnation) {
            self.end_run(incarnation, &task, run, EndKind::Lapsed, None);
        }
    }

    /// Calls `visit` for each task that may be running.
    pub(crate) fn for_each_running(&self, mut visit: impl FnMut(TaskId, u32, &Member)) {
        for job in self.jobs.values() {
            for (occurrence, steps) in job.occurrences.iter() {
                for (step, state) in (0_u32..).zip(steps) {
                    for (number, unit) in (0_u32..).zip(&state.units) {
                        for (member_index, member) in (0_u32..).zip(unit.members()) {
                            if member.end.is_none() {
                                let index = number + member_index;
                                let job = job.id.clone();
                                let task = TaskId { job, occurrence, step, index };
                                visit(task, unit.run, member);
                            }
                        }
                    }
                }
            }
        }
    }
}

/// Sets the outcome of a job unless it has one, and returns the event.
fn end_job(job: &mut Job, outcome: Outcome, now_ms: u64) -> Option<JobEvent> {
    if job.outcome.is_some() {
        return None;
    }
    job.outcome = Some(outcome);
    job.ended_ms = now_ms;
    Some(job_event(job, now_ms))
}

fn job_event(job: &Job, now_ms: u64) -> JobEvent {
    JobEvent {
        id: job.id.clone(),
        queue: Arc::clone(&job.queue),
        organisation: job.organisation.clone(),
        outcome: job.outcome,
        after_ms: now_ms.saturating_sub(job.accepted_ms),
    }
}
