//! Run of the production core on a scenario, with simulated workers.

use std::collections::BTreeMap;

use super::agenda::EventQueue;
use super::ledger::{Outcome, Recorder};
use super::progress::{MESSAGE_DELAY_MS, SavedWork};
use super::scenario::{Input, RACK_WORKERS, Scenario, WORKER_ACCELERATORS, WORKERS};
use super::space::Placement;
use crate::names::{JobName, UpstreamName};
use crate::scheduler::event::{Event, GangId, MemberEnd};
use crate::scheduler::soak::worker::{Activity, Link, Worker};
use crate::scheduler::{
    Announcement, Decision, Guarantees, JobEnd, JobRecord, MemberRecord, Renewal, Scheduler,
    StopStatus,
};

/// Time without announcements after which an upstream counts as lost.
pub const UPSTREAM_LEASE_MS: u64 = 3_000;

enum SimEvent {
    Input(Input),
    CoreEvent(Event),
    Deliver(usize, Decision),
    Done(usize, GangId),
    LeaseEnd(usize, u64),
    Tick,
}

/// What an unreleased gang actually does.
struct ActualGang {
    job: usize,
    placement: Placement,
    started_members: usize,
    start_ms: u64,
    /// Run time at which a checkpoint was requested.
    checkpoint_requested_ms: Option<u64>,
    stop_ms: Option<u64>,
}

/// State of a run of the core with its workers.
struct CoreRun<'a> {
    scenario: &'a Scenario,
    core: Scheduler,
    now_ms: u64,
    event_queue: EventQueue<SimEvent>,
    /// Time of the next tick, if one is scheduled.
    next_tick_ms: Option<u64>,
    workers: Vec<Worker>,
    worker_indices: BTreeMap<UpstreamName, usize>,
    job_indices: BTreeMap<JobName, usize>,
    gangs: BTreeMap<GangId, ActualGang>,
    saved_work: SavedWork,
    recorder: Recorder<'a>,
}

/// Runs the core until the work is done or `limit_ms` is reached; returns the time of the end.
pub fn run(scenario: &Scenario, limit_ms: u64) -> (Recorder<'_>, u64) {
    let mut run = CoreRun::new(scenario);
    let mut inputs_left = scenario.inputs.len();
    while let Some((at_ms, event)) = run.event_queue.pop() {
        run.recorder.advance(at_ms);
        run.now_ms = at_ms;
        inputs_left -= usize::from(matches!(event, SimEvent::Input(_)));
        let may_end_job = matches!(event, SimEvent::CoreEvent(_) | SimEvent::Input(_));
        run.handle(event);
        if (inputs_left == 0 && may_end_job && run.recorder.all_jobs_ended()) || at_ms > limit_ms {
            break;
        }
    }
    run.recorder.advance(scenario.window_ms);
    (run.recorder, run.now_ms)
}

impl<'a> CoreRun<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let jobs = scenario.jobs.iter().enumerate();
        let mut run = Self {
            scenario,
            core: Scheduler::new(0),
            now_ms: 0,
            event_queue: EventQueue::new(),
            next_tick_ms: None,
            workers: (0..WORKERS).map(new_worker).collect(),
            worker_indices: BTreeMap::new(),
            job_indices: jobs.map(|(i, job)| (job.spec.name.clone(), i)).collect(),
            gangs: BTreeMap::new(),
            saved_work: SavedWork::new(scenario),
            recorder: Recorder::new(scenario),
        };
        for ix in 0..WORKERS {
            let announcement = run.workers[ix].announcement.clone();
            run.worker_indices.insert(announcement.name.clone(), ix);
            run.event_queue.push(1, SimEvent::CoreEvent(Event::UpstreamAnnounced(announcement)));
        }
        run.event_queue.push(2, SimEvent::CoreEvent(Event::DocumentApplied(guarantees(scenario))));
        for (at_ms, input) in &scenario.inputs {
            run.event_queue.push(*at_ms, SimEvent::Input(*input));
        }
        run
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Input(input) => self.handle_input(input),
            SimEvent::CoreEvent(event) => self.step(event),
            SimEvent::Deliver(ix, message) => self.deliver(ix, message),
            SimEvent::Done(ix, gang) => self.done(ix, gang),
            SimEvent::LeaseEnd(ix, incarnation) => self.lease_end(ix, incarnation),
            SimEvent::Tick if self.next_tick_ms.is_some_and(|at_ms| at_ms <= self.now_ms) => {
                self.next_tick_ms = None;
                self.step(Event::Tick);
            }
            SimEvent::Tick => {}
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Submit(job) => {
                self.step(Event::JobSubmitted(self.scenario.jobs[job].spec.clone()));
            }
            Input::Cancel(job) => {
                let job = self.scenario.jobs[job].spec.name.clone();
                self.step(Event::JobCancelled { job });
            }
            Input::Down(ix) => self.kill(ix),
            Input::Up(ix) => self.restart(ix),
            Input::Fail(ix) => self.workers[ix].fails_everything = true,
            Input::Recover(ix) => self.workers[ix].fails_everything = false,
        }
    }

    fn kill(&mut self, ix: usize) {
        self.workers[ix].kill();
        self.recorder.set_worker_up(ix, false);
        let incarnation = self.workers[ix].announcement.incarnation;
        self.event_queue.push(self.now_ms + UPSTREAM_LEASE_MS, SimEvent::LeaseEnd(ix, incarnation));
        for gang in self.gangs.values_mut() {
            if gang.placement.iter().any(|(worker, _)| *worker == ix) {
                gang.stop_ms.get_or_insert(self.now_ms);
            }
        }
    }

    fn restart(&mut self, ix: usize) {
        self.workers[ix].link = Link::Up;
        self.workers[ix].announcement.incarnation += 1;
        self.recorder.set_worker_up(ix, true);
        self.step(Event::UpstreamAnnounced(self.workers[ix].announcement.clone()));
    }

    fn lease_end(&mut self, ix: usize, incarnation: u64) {
        let announcement = &self.workers[ix].announcement;
        if announcement.incarnation == incarnation && self.workers[ix].link != Link::Up {
            let upstream = announcement.name.clone();
            self.step(Event::UpstreamLost { upstream });
        }
    }

    fn step(&mut self, event: Event) {
        for decision in self.core.step(event, self.now_ms) {
            self.carry_out(decision);
        }
        let Some(due_ms) = self.core.next_due_ms() else { return };
        let due_ms = due_ms.max(self.now_ms + 1);
        if self.next_tick_ms.is_none_or(|at_ms| due_ms < at_ms) {
            self.next_tick_ms = Some(due_ms);
            self.event_queue.push(due_ms, SimEvent::Tick);
        }
    }

    fn carry_out(&mut self, decision: Decision) {
        match decision {
            Decision::Stage { ref upstream, .. }
            | Decision::Commit { ref upstream, .. }
            | Decision::Renew { ref upstream, .. }
            | Decision::Checkpoint { ref upstream, .. }
            | Decision::Probe { ref upstream }
            | Decision::Stop { ref upstream, .. } => {
                let ix = self.worker_indices[upstream];
                self.event_queue
                    .push(self.now_ms + MESSAGE_DELAY_MS, SimEvent::Deliver(ix, decision));
            }
            Decision::Persist(JobRecord::Placed { job, gang, members }) => {
                self.on_placed(&job, gang, &members);
            }
            Decision::Persist(JobRecord::Released { gang }) => self.on_released(gang),
            Decision::JobAccepted { job } => {
                self.recorder.record_acceptance(self.job_indices[&job], self.now_ms);
            }
            Decision::JobEnded { job, end } => {
                let outcome = match end {
                    JobEnd::Completed => Outcome::Completed,
                    JobEnd::Cancelled { .. } => Outcome::Cancelled,
                    JobEnd::Failed { .. } | JobEnd::Unrunnable { .. } => Outcome::Failed,
                };
                self.recorder.record_end(self.job_indices[&job], self.now_ms, outcome);
            }
            Decision::GuaranteeAtRisk { .. } => self.recorder.guarantees_at_risk += 1,
            Decision::JobRefused { .. }
            | Decision::DocumentRefused { .. }
            | Decision::Persist(_) => {}
        }
    }

    fn on_placed(&mut self, job: &JobName, gang: GangId, members: &[MemberRecord]) {
        let job = self.job_indices[job];
        let mask = |mask: u32| u8::try_from(mask).expect("a worker has 8 accelerators");
        let placement = members.iter().map(|m| (self.worker_indices[&m.upstream], mask(m.mask)));
        let placement: Placement = placement.collect();
        // The core reports the acceptance after the records of the same step, so it may not be
        // recorded yet.
        self.recorder.record_acceptance(job, self.now_ms);
        self.recorder.end_wait(job, self.now_ms);
        self.recorder.hold(&placement);
        let actual = ActualGang {
            job,
            placement,
            started_members: 0,
            start_ms: 0,
            checkpoint_requested_ms: None,
            stop_ms: None,
        };
        self.gangs.insert(gang, actual);
    }

    fn on_released(&mut self, id: GangId) {
        let Some(gang) = self.gangs.remove(&id) else { return };
        self.recorder.free(&gang.placement);
        for (ix, _) in &gang.placement {
            self.workers[*ix].members.remove(&id);
            self.workers[*ix].stopped.remove(&id);
        }
        if let Some(stop_ms) = gang.stop_ms
            && gang.started_members > 0
        {
            let ran_ms = stop_ms.saturating_sub(gang.start_ms);
            let arrival = &self.scenario.jobs[gang.job];
            let lost_ms = self.saved_work.record_stop(
                gang.job,
                arrival,
                ran_ms,
                gang.checkpoint_requested_ms,
            );
            self.recorder.lost_work_ms += lost_ms;
        }
        if self.recorder.jobs[gang.job].end.is_none() {
            self.recorder.begin_wait(gang.job, self.now_ms);
        }
    }

    fn answer(&mut self, event: Event) {
        self.event_queue.push(self.now_ms + MESSAGE_DELAY_MS, SimEvent::CoreEvent(event));
    }

    fn deliver(&mut self, ix: usize, message: Decision) {
        if self.workers[ix].link != Link::Up {
            return;
        }
        let now_ms = self.now_ms;
        let upstream = self.workers[ix].announcement.name.clone();
        let incarnation = self.workers[ix].announcement.incarnation;
        let worker = &mut self.workers[ix];
        let answer = match message {
            Decision::Stage { gang, mask, hold_ms, .. } => {
                let staged = worker.stage(gang, mask, hold_ms, now_ms);
                Event::StageAnswered { gang, upstream, staged }
            }
            Decision::Commit { gang, lease_ms, .. } => {
                let started = self.start(ix, gang, lease_ms);
                Event::CommitAnswered { gang, upstream, incarnation, started }
            }
            Decision::Renew { round, gangs, .. } => {
                let renew = |r: &Renewal| (r.gang, worker.renew(r.gang, r.lease_ms, now_ms));
                let members = gangs.iter().map(renew).collect();
                Event::RenewAnswered { upstream, round, members }
            }
            Decision::Stop { gang, .. } => {
                let status = worker.stop(gang, now_ms);
                self.record_stop(gang, status);
                Event::StopAnswered { gang, upstream, incarnation, status }
            }
            Decision::Checkpoint { gang, .. } => return self.record_checkpoint_request(gang),
            Decision::Probe { .. } => {
                Event::ProbeAnswered { upstream, healthy: !worker.fails_everything }
            }
            _ => return,
        };
        self.answer(answer);
    }

    /// Delivers a commit; returns whether the member has started.
    fn start(&mut self, ix: usize, id: GangId, lease_ms: u64) -> bool {
        let Some(gang) = self.gangs.get_mut(&id) else { return false };
        let arrival = &self.scenario.jobs[gang.job];
        let worker = &mut self.workers[ix];
        let fails = arrival.fails || worker.fails_everything;
        let run_ms = self.saved_work.run_ms(gang.job, arrival, fails);
        let (started, is_new) = worker.commit(id, lease_ms, run_ms, fails, self.now_ms);
        if is_new {
            gang.started_members += 1;
            gang.start_ms = self.now_ms;
            if gang.started_members == gang.placement.len() {
                self.recorder.record_start(gang.job, self.now_ms);
            }
            self.event_queue.push(self.now_ms + run_ms, SimEvent::Done(ix, id));
        }
        started
    }

    /// Records the stop of a gang, a preemption if its job is open and was not cancelled.
    fn record_stop(&mut self, id: GangId, status: StopStatus) {
        let Some(gang) = self.gangs.get_mut(&id) else { return };
        if status == StopStatus::Stopped && gang.stop_ms.is_none() {
            gang.stop_ms = Some(self.now_ms);
            let is_open = self.recorder.jobs[gang.job].end.is_none();
            let job = self.core.jobs.get(&self.scenario.jobs[gang.job].spec.name);
            let cancelled = job.is_some_and(|job| job.cancelled);
            self.recorder.preemptions += u64::from(is_open && !cancelled);
        }
    }

    fn record_checkpoint_request(&mut self, id: GangId) {
        if let Some(gang) = self.gangs.get_mut(&id) {
            gang.checkpoint_requested_ms.get_or_insert(self.now_ms - gang.start_ms);
        }
    }

    fn done(&mut self, ix: usize, id: GangId) {
        let worker = &mut self.workers[ix];
        worker.end_due_members(self.now_ms);
        let Some(member) = worker.members.get(&id) else { return };
        if worker.link != Link::Up || member.activity != Activity::Done {
            return;
        }
        let end = if member.fails { MemberEnd::Failed } else { MemberEnd::Completed };
        let upstream = worker.announcement.name.clone();
        let Some(gang) = self.gangs.get_mut(&id) else { return };
        if end == MemberEnd::Failed {
            gang.stop_ms.get_or_insert(self.now_ms);
        }
        let arrival = &self.scenario.jobs[gang.job];
        let held_ms = (self.now_ms - gang.start_ms) * u64::from(arrival.spec.accelerators);
        let used_ms = super::whole_ms(held_ms as f64 * arrival.use_ratio);
        self.answer(Event::UsageReported { gang: id, sequence: 1, used_ms });
        self.answer(Event::MemberEnded { gang: id, upstream, end });
    }
}

fn new_worker(ix: usize) -> Worker {
    let (rack, position) = (ix / RACK_WORKERS, ix % RACK_WORKERS);
    let announcement = Announcement {
        name: super::parse_name(&format!("u{rack}-{position}")),
        incarnation: 1,
        rack: super::parse_name(&format!("rack-{rack}")),
        position: u32::try_from(position).expect("a rack has few positions"),
        accelerators: WORKER_ACCELERATORS,
        leaving: false,
    };
    Worker {
        announcement,
        link: Link::Up,
        leaving_since_ms: None,
        fails_everything: false,
        clock_permille: 1_000,
        reported_lost: false,
        members: BTreeMap::new(),
        stopped: std::collections::BTreeSet::new(),
    }
}

fn guarantees(scenario: &Scenario) -> Guarantees {
    Guarantees {
        service: scenario.jobs[0].spec.service.clone(),
        version: 1,
        organisations: scenario.blocks.clone(),
    }
}
