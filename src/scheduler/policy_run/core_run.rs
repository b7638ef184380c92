//! The production core on a scenario, with workers that keep the promises of the design page.

use std::collections::BTreeMap;

use super::agenda::Agenda;
use super::ledger::{End, Ledger};
use super::progress::{DELAY_MS, Progress};
use super::scenario::{Input, RACK_WORKERS, Scenario, WORKER_ACCELERATORS, WORKERS};
use super::space::Place;
use crate::names::{JobName, UpstreamName};
use crate::scheduler::event::{Event, GangId, MemberEnd};
use crate::scheduler::soak::worker::{Activity, Link, Worker};
use crate::scheduler::{
    Announcement, Decision, Guarantees, JobEnd, JobRecord, MemberRecord, Renewal, Scheduler,
    StopStatus,
};

/// Time without an announcement after which an upstream is lost.
pub const UPSTREAM_LEASE_MS: u64 = 3_000;

enum Item {
    Input(Input),
    Event(Event),
    Deliver(usize, Decision),
    Done(usize, GangId),
    LeaseEnd(usize, u64),
    Tick,
}

/// A gang as it really runs.
struct GangTruth {
    job: usize,
    place: Place,
    started: usize,
    start_ms: u64,
    asked_ms: Option<u64>,
    stop_ms: Option<u64>,
}

/// The core with its workers.
struct Run<'a> {
    scenario: &'a Scenario,
    core: Scheduler,
    now_ms: u64,
    agenda: Agenda<Item>,
    tick_ms: Option<u64>,
    workers: Vec<Worker>,
    indices: BTreeMap<UpstreamName, usize>,
    job_indices: BTreeMap<JobName, usize>,
    gangs: BTreeMap<GangId, GangTruth>,
    progress: Progress,
    ledger: Ledger<'a>,
}

/// Runs the core until the work is done, but not beyond a time; returns the time of the end.
pub fn run(scenario: &Scenario, limit_ms: u64) -> (Ledger<'_>, u64) {
    let mut run = Run::new(scenario);
    let mut left = scenario.inputs.len();
    while let Some((at_ms, item)) = run.agenda.pop() {
        run.ledger.advance(at_ms);
        run.now_ms = at_ms;
        left -= usize::from(matches!(item, Item::Input(_)));
        let ends = matches!(item, Item::Event(_) | Item::Input(_));
        run.take(item);
        if (left == 0 && ends && run.ledger.is_done()) || at_ms > limit_ms {
            break;
        }
    }
    run.ledger.advance(scenario.window_ms);
    (run.ledger, run.now_ms)
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let jobs = scenario.jobs.iter().enumerate();
        let mut run = Self {
            scenario,
            core: Scheduler::new(0),
            now_ms: 0,
            agenda: Agenda::new(),
            tick_ms: None,
            workers: (0..WORKERS).map(worker).collect(),
            indices: BTreeMap::new(),
            job_indices: jobs.map(|(i, job)| (job.spec.name.clone(), i)).collect(),
            gangs: BTreeMap::new(),
            progress: Progress::new(scenario),
            ledger: Ledger::new(scenario),
        };
        for ix in 0..WORKERS {
            let announcement = run.workers[ix].announcement.clone();
            run.indices.insert(announcement.name.clone(), ix);
            run.agenda.add(1, Item::Event(Event::UpstreamAnnounced(announcement)));
        }
        run.agenda.add(2, Item::Event(Event::DocumentApplied(guarantees(scenario))));
        for (at_ms, input) in &scenario.inputs {
            run.agenda.add(*at_ms, Item::Input(*input));
        }
        run
    }

    fn take(&mut self, item: Item) {
        match item {
            Item::Input(input) => self.input(input),
            Item::Event(event) => self.step(event),
            Item::Deliver(ix, message) => self.deliver(ix, message),
            Item::Done(ix, gang) => self.done(ix, gang),
            Item::LeaseEnd(ix, incarnation) => self.lease_end(ix, incarnation),
            Item::Tick if self.tick_ms.is_some_and(|at_ms| at_ms <= self.now_ms) => {
                self.tick_ms = None;
                self.step(Event::Tick);
            }
            Item::Tick => {}
        }
    }

    fn input(&mut self, input: Input) {
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
            Input::Heal(ix) => self.workers[ix].fails_everything = false,
        }
    }

    fn kill(&mut self, ix: usize) {
        self.workers[ix].kill();
        self.ledger.set_up(ix, false);
        let incarnation = self.workers[ix].announcement.incarnation;
        self.agenda.add(self.now_ms + UPSTREAM_LEASE_MS, Item::LeaseEnd(ix, incarnation));
        for gang in self.gangs.values_mut() {
            if gang.place.iter().any(|(worker, _)| *worker == ix) {
                gang.stop_ms.get_or_insert(self.now_ms);
            }
        }
    }

    fn restart(&mut self, ix: usize) {
        self.workers[ix].link = Link::Up;
        self.workers[ix].announcement.incarnation += 1;
        self.ledger.set_up(ix, true);
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
        if self.tick_ms.is_none_or(|at_ms| due_ms < at_ms) {
            self.tick_ms = Some(due_ms);
            self.agenda.add(due_ms, Item::Tick);
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
                let ix = self.indices[upstream];
                self.agenda.add(self.now_ms + DELAY_MS, Item::Deliver(ix, decision));
            }
            Decision::Persist(JobRecord::Placed { job, gang, members }) => {
                self.placed(&job, gang, &members);
            }
            Decision::Persist(JobRecord::Released { gang }) => self.released(gang),
            Decision::JobAccepted { job } => {
                self.ledger.accept(self.job_indices[&job], self.now_ms);
            }
            Decision::JobEnded { job, end } => {
                let end = match end {
                    JobEnd::Completed => End::Completed,
                    JobEnd::Cancelled { .. } => End::Cancelled,
                    JobEnd::Failed { .. } | JobEnd::Unrunnable { .. } => End::Failed,
                };
                self.ledger.end(self.job_indices[&job], self.now_ms, end);
            }
            Decision::GuaranteeAtRisk { .. } => self.ledger.risks += 1,
            Decision::JobRefused { .. }
            | Decision::DocumentRefused { .. }
            | Decision::Persist(_) => {}
        }
    }

    fn placed(&mut self, job: &JobName, gang: GangId, members: &[MemberRecord]) {
        let job = self.job_indices[job];
        let mask = |mask: u32| u8::try_from(mask).expect("a worker has 8 accelerators");
        let place = members.iter().map(|m| (self.indices[&m.upstream], mask(m.mask)));
        let place: Place = place.collect();
        // An acceptance is reported after the records of the same step.
        self.ledger.accept(job, self.now_ms);
        self.ledger.placed(job, self.now_ms);
        self.ledger.hold(&place);
        let truth =
            GangTruth { job, place, started: 0, start_ms: 0, asked_ms: None, stop_ms: None };
        self.gangs.insert(gang, truth);
    }

    fn released(&mut self, id: GangId) {
        let Some(gang) = self.gangs.remove(&id) else { return };
        self.ledger.free(&gang.place);
        for (ix, _) in &gang.place {
            self.workers[*ix].members.remove(&id);
            self.workers[*ix].stopped.remove(&id);
        }
        if let Some(stop_ms) = gang.stop_ms
            && gang.started > 0
        {
            let ran_ms = stop_ms.saturating_sub(gang.start_ms);
            let arrival = &self.scenario.jobs[gang.job];
            let lost_ms = self.progress.stop(gang.job, arrival, ran_ms, gang.asked_ms);
            self.ledger.lost_work_ms += lost_ms;
        }
        if self.ledger.jobs[gang.job].end.is_none() {
            self.ledger.wait(gang.job, self.now_ms);
        }
    }

    fn answer(&mut self, event: Event) {
        self.agenda.add(self.now_ms + DELAY_MS, Item::Event(event));
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
                self.note_stop(gang, status);
                Event::StopAnswered { gang, upstream, incarnation, status }
            }
            Decision::Checkpoint { gang, .. } => return self.note_checkpoint(gang),
            Decision::Probe { .. } => {
                Event::ProbeAnswered { upstream, healthy: !worker.fails_everything }
            }
            _ => return,
        };
        self.answer(answer);
    }

    fn start(&mut self, ix: usize, id: GangId, lease_ms: u64) -> bool {
        let Some(gang) = self.gangs.get_mut(&id) else { return false };
        let arrival = &self.scenario.jobs[gang.job];
        let worker = &mut self.workers[ix];
        let fails = arrival.fails || worker.fails_everything;
        let run_ms = self.progress.run_ms(gang.job, arrival, fails);
        let (works, fresh) = worker.commit(id, lease_ms, run_ms, fails, self.now_ms);
        if fresh {
            gang.started += 1;
            gang.start_ms = self.now_ms;
            if gang.started == gang.place.len() {
                self.ledger.start(gang.job, self.now_ms);
            }
            self.agenda.add(self.now_ms + run_ms, Item::Done(ix, id));
        }
        works
    }

    fn note_stop(&mut self, id: GangId, status: StopStatus) {
        let Some(gang) = self.gangs.get_mut(&id) else { return };
        if status == StopStatus::Stopped && gang.stop_ms.is_none() {
            gang.stop_ms = Some(self.now_ms);
            let open = self.ledger.jobs[gang.job].end.is_none();
            let cancelled = self.core.jobs.get(&self.scenario.jobs[gang.job].spec.name);
            let cancelled = cancelled.is_some_and(|job| job.cancelled);
            self.ledger.preemptions += u64::from(open && !cancelled);
        }
    }

    fn note_checkpoint(&mut self, id: GangId) {
        if let Some(gang) = self.gangs.get_mut(&id) {
            gang.asked_ms.get_or_insert(self.now_ms - gang.start_ms);
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
        let used_ms = super::millis(held_ms as f64 * arrival.use_ratio);
        self.answer(Event::UsageReported { gang: id, sequence: 1, used_ms });
        self.answer(Event::MemberEnded { gang: id, upstream, end });
    }
}

fn worker(ix: usize) -> Worker {
    let (rack, position) = (ix / RACK_WORKERS, ix % RACK_WORKERS);
    let announcement = Announcement {
        name: super::name(&format!("u{rack}-{position}")),
        incarnation: 1,
        rack: super::name(&format!("rack-{rack}")),
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
