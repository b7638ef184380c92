//! The baselines: first come first served, and strict quotas, both with first fit.
//!
//! They keep the rules of the production core that do not belong to its policy: adjacency, the
//! delay of messages, restarts only after the old lease has certainly ended, avoided workers and
//! quarantine. They learn of a lost worker at once, which favours them.

use std::collections::{BTreeMap, BTreeSet};

use super::agenda::Agenda;
use super::ledger::{End, Ledger};
use super::progress::{DELAY_MS, Progress};
use super::scenario::{Input, Scenario, WORKER_ACCELERATORS, WORKERS};
use super::space::{Free, Place, places};
use crate::scheduler::limits::{
    GANG_LEASE_MS, JOB_FAILURE_LIMIT, PROBE_INTERVAL_MAX_MS, PROBE_INTERVAL_MS,
    QUARANTINE_FAILED_JOBS, REFUSAL_PAUSE_MS, RENEW_INTERVAL_MS, certain_end_ms,
};

/// Message deliveries between a placement and the start: stage, its answer, commit.
const START_DELAYS: u64 = 3;

/// How a baseline orders and admits jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// One queue by arrival, which its first job blocks.
    FirstComeFirstServed,
    /// One queue for each organisation, guaranteed work first; no organisation uses more
    /// accelerators than its quota.
    StrictQuotas,
}

#[derive(Debug, Clone, Copy)]
enum Item {
    Input(Input),
    Start(u64),
    Done(u64),
    Release(u64),
    Resume(usize),
}

#[derive(Debug)]
struct Gang {
    job: usize,
    place: Place,
    start_ms: Option<u64>,
    stop_ms: Option<u64>,
    fails: bool,
    /// Worker whose process ended, until it is certain that its members do not work.
    lost: Option<usize>,
}

#[derive(Debug, Default, Clone)]
struct WorkerState {
    down: bool,
    fails: bool,
    suspended: bool,
    failed_jobs: BTreeSet<usize>,
    probe_ms: Option<u64>,
}

#[derive(Debug)]
struct Run<'a> {
    scenario: &'a Scenario,
    order: Order,
    now_ms: u64,
    agenda: Agenda<Item>,
    workers: Vec<WorkerState>,
    used: Free,
    /// Waiting jobs by queue: guaranteed work first under quotas, then by arrival.
    queues: BTreeMap<usize, BTreeSet<(bool, usize)>>,
    use_of: BTreeMap<usize, u32>,
    gangs: BTreeMap<u64, Gang>,
    next_gang: u64,
    failed_on: BTreeMap<usize, BTreeSet<usize>>,
    cancelled: BTreeSet<usize>,
    progress: Progress,
    ledger: Ledger<'a>,
}

/// Runs a baseline until the work is done, but not beyond a time; returns the time of the end.
pub fn run(scenario: &Scenario, order: Order, limit_ms: u64) -> (Ledger<'_>, u64) {
    let mut run = Run {
        scenario,
        order,
        now_ms: 0,
        agenda: Agenda::new(),
        workers: vec![WorkerState::default(); WORKERS],
        used: [0; WORKERS],
        queues: BTreeMap::new(),
        use_of: BTreeMap::new(),
        gangs: BTreeMap::new(),
        next_gang: 0,
        failed_on: BTreeMap::new(),
        cancelled: BTreeSet::new(),
        progress: Progress::new(scenario),
        ledger: Ledger::new(scenario),
    };
    for (at_ms, input) in &scenario.inputs {
        run.agenda.add(*at_ms, Item::Input(*input));
    }
    while let Some((at_ms, item)) = run.agenda.pop() {
        if at_ms > limit_ms {
            break;
        }
        run.ledger.advance(at_ms);
        run.now_ms = at_ms;
        run.take(item);
        run.place_waiting();
    }
    run.ledger.advance(scenario.window_ms);
    let end_ms = run.now_ms;
    (run.ledger, end_ms)
}

impl Run<'_> {
    fn take(&mut self, item: Item) {
        match item {
            Item::Input(Input::Submit(job)) => self.submit(job),
            Item::Input(Input::Cancel(job)) => self.cancel(job),
            Item::Input(Input::Down(worker)) => self.lose(worker),
            Item::Input(Input::Up(worker)) => self.restart(worker),
            Item::Input(Input::Fail(worker)) => self.workers[worker].fails = true,
            Item::Input(Input::Heal(worker)) => self.workers[worker].fails = false,
            Item::Start(gang) => self.start(gang),
            Item::Done(gang) => self.done(gang),
            Item::Release(gang) => self.release(gang),
            Item::Resume(worker) => self.resume(worker),
        }
    }

    fn submit(&mut self, job: usize) {
        if self.scenario.jobs[job].spec.invalid_reason().is_none() {
            self.ledger.accept(job, self.now_ms);
            self.enqueue(job);
        }
    }

    fn queue_of(&self, job: usize) -> usize {
        let organisation = &self.scenario.jobs[job].spec.organisation;
        match self.order {
            Order::FirstComeFirstServed => 0,
            Order::StrictQuotas => {
                let blocks = &self.scenario.blocks;
                blocks.iter().position(|(name, _)| name == organisation).unwrap_or(blocks.len())
            }
        }
    }

    fn turn(&self, job: usize) -> (bool, usize) {
        let guaranteed = self.scenario.jobs[job].spec.guaranteed;
        (self.order == Order::StrictQuotas && !guaranteed, job)
    }

    fn enqueue(&mut self, job: usize) {
        let (queue, turn) = (self.queue_of(job), self.turn(job));
        self.queues.entry(queue).or_default().insert(turn);
    }

    fn dequeue(&mut self, job: usize) -> bool {
        let (queue, turn) = (self.queue_of(job), self.turn(job));
        self.queues.get_mut(&queue).is_some_and(|jobs| jobs.remove(&turn))
    }

    fn cancel(&mut self, job: usize) {
        if !self.ledger.jobs[job].accepted || self.ledger.jobs[job].end.is_some() {
            return;
        }
        self.cancelled.insert(job);
        if self.dequeue(job) {
            return self.ledger.end(job, self.now_ms, End::Cancelled);
        }
        let found = self.gangs.iter().find(|(_, gang)| gang.job == job).map(|(id, _)| *id);
        let Some(id) = found else { return };
        self.stop(id, DELAY_MS);
        self.agenda.add(self.now_ms + 2 * DELAY_MS, Item::Release(id));
    }

    /// Notes that the members of a gang end after a time.
    fn stop(&mut self, id: u64, delay_ms: u64) {
        if let Some(gang) = self.gangs.get_mut(&id) {
            gang.stop_ms.get_or_insert(self.now_ms + delay_ms);
        }
    }

    /// Returns the accelerators of one organisation's share: its guaranteed blocks, and an equal
    /// part of what is not guaranteed to anyone.
    fn quota(&self, queue: usize) -> u32 {
        let blocks = &self.scenario.blocks;
        let sum = |sizes: &[u32]| sizes.iter().sum::<u32>();
        let guaranteed: u32 = blocks.iter().map(|(_, sizes)| sum(sizes)).sum();
        let total = u32::try_from(WORKERS).unwrap_or(0) * WORKER_ACCELERATORS;
        let count = u32::try_from(blocks.len()).unwrap_or(1);
        let own = blocks.get(queue).map_or(0, |(_, sizes)| sum(sizes));
        own + (total - guaranteed) / count
    }

    /// A job larger than its quota may run alone, because otherwise it could never run.
    fn is_within_quota(&self, queue: usize, job: usize) -> bool {
        let used = self.use_of.get(&queue).copied().unwrap_or(0);
        let wanted = self.scenario.jobs[job].spec.accelerators;
        self.order == Order::FirstComeFirstServed || used == 0 || used + wanted <= self.quota(queue)
    }

    fn place_waiting(&mut self) {
        for queue in self.queues.keys().copied().collect::<Vec<_>>() {
            while self.place_head(queue) {}
        }
        let heads = self.queues.iter().filter_map(|(queue, jobs)| Some((*queue, jobs.first()?.1)));
        let allowed = heads.filter(|(queue, job)| self.is_within_quota(*queue, *job));
        let sizes = allowed.map(|(_, job)| self.scenario.jobs[job].spec.accelerators).collect();
        self.ledger.set_startable(sizes);
    }

    fn place_head(&mut self, queue: usize) -> bool {
        let Some((_, job)) = self.queues[&queue].first().copied() else { return false };
        if !self.is_within_quota(queue, job) {
            return false;
        }
        let size = self.scenario.jobs[job].spec.accelerators;
        let Some(place) = places(&self.free_for(job), size).into_iter().next() else {
            return false;
        };
        self.dequeue(job);
        self.ledger.placed(job, self.now_ms);
        self.ledger.hold(&place);
        for (worker, mask) in &place {
            self.used[*worker] |= mask;
        }
        *self.use_of.entry(queue).or_default() += size;
        let id = self.next_gang;
        self.next_gang += 1;
        let gang = Gang { job, place, start_ms: None, stop_ms: None, fails: false, lost: None };
        self.gangs.insert(id, gang);
        self.agenda.add(self.now_ms + START_DELAYS * DELAY_MS, Item::Start(id));
        true
    }

    fn free_for(&self, job: usize) -> Free {
        let avoid = self.failed_on.get(&job);
        let mut free = [0; WORKERS];
        for (worker, free) in free.iter_mut().enumerate() {
            let state = &self.workers[worker];
            let avoided = avoid.is_some_and(|workers| workers.contains(&worker));
            if !state.down && !state.suspended && !avoided {
                *free = !self.used[worker];
            }
        }
        free
    }

    fn start(&mut self, id: u64) {
        let Some(gang) = self.gangs.get_mut(&id) else { return };
        if gang.stop_ms.is_some() {
            return;
        }
        let arrival = &self.scenario.jobs[gang.job];
        let failing = gang.place.iter().any(|(worker, _)| self.workers[*worker].fails);
        gang.fails = arrival.fails || failing;
        gang.start_ms = Some(self.now_ms);
        let run_ms = self.progress.run_ms(gang.job, arrival, gang.fails);
        self.ledger.start(gang.job, self.now_ms);
        self.agenda.add(self.now_ms + run_ms + DELAY_MS, Item::Done(id));
    }

    fn done(&mut self, id: u64) {
        let Some(gang) = self.gangs.get(&id) else { return };
        if gang.stop_ms.is_some() {
            return;
        }
        if !gang.fails {
            let (job, workers) = (gang.job, gang.place.clone());
            for (worker, _) in workers {
                self.workers[worker].failed_jobs.clear();
            }
            self.free(id);
            return self.ledger.end(job, self.now_ms, End::Completed);
        }
        let (job, place) = (gang.job, gang.place.clone());
        let at_fault = place.iter().find(|(worker, _)| self.workers[*worker].fails);
        let (worker, _) = *at_fault.unwrap_or(&place[0]);
        self.stop(id, 0);
        self.note_failure(job, worker);
        // The other members are stopped by message.
        let delays = if place.len() > 1 { 2 } else { 0 };
        self.agenda.add(self.now_ms + delays * DELAY_MS, Item::Release(id));
    }

    fn note_failure(&mut self, job: usize, worker: usize) {
        self.failed_on.entry(job).or_default().insert(worker);
        let state = &mut self.workers[worker];
        state.failed_jobs.insert(job);
        let mut pause_ms = REFUSAL_PAUSE_MS;
        if state.failed_jobs.len() >= QUARANTINE_FAILED_JOBS && state.probe_ms.is_none() {
            state.probe_ms = Some(PROBE_INTERVAL_MS);
            pause_ms = PROBE_INTERVAL_MS;
            for job in std::mem::take(&mut state.failed_jobs) {
                self.failed_on.entry(job).or_default().remove(&worker);
            }
        }
        if !self.workers[worker].suspended {
            self.workers[worker].suspended = true;
            self.agenda.add(self.now_ms + pause_ms, Item::Resume(worker));
        }
    }

    fn resume(&mut self, worker: usize) {
        let state = &mut self.workers[worker];
        match state.probe_ms {
            Some(interval_ms) if state.fails || state.down => {
                let next_ms = (interval_ms * 2).min(PROBE_INTERVAL_MAX_MS);
                state.probe_ms = Some(next_ms);
                self.agenda.add(self.now_ms + next_ms, Item::Resume(worker));
            }
            _ => {
                state.probe_ms = None;
                state.suspended = false;
            }
        }
    }

    /// Ends the gangs of a lost worker: what ran elsewhere is stopped by message, and the
    /// accelerators are free once the lost member's lease has certainly ended.
    fn lose(&mut self, worker: usize) {
        self.workers[worker].down = true;
        self.ledger.set_up(worker, false);
        let on = |gang: &Gang| gang.place.iter().any(|(member, _)| *member == worker);
        let gangs = self.gangs.iter().filter(|(_, gang)| on(gang)).map(|(id, _)| *id);
        for id in gangs.collect::<Vec<_>>() {
            self.stop(id, 0);
            let gang = self.gangs.get_mut(&id).expect("the gang was just found");
            gang.lost = Some(worker);
            let since_ms = gang.start_ms.unwrap_or(self.now_ms);
            let renewed_ms = self.now_ms - (self.now_ms - since_ms) % RENEW_INTERVAL_MS;
            self.agenda.add(certain_end_ms(renewed_ms, GANG_LEASE_MS), Item::Release(id));
        }
    }

    fn restart(&mut self, worker: usize) {
        self.workers[worker] =
            WorkerState { fails: self.workers[worker].fails, ..WorkerState::default() };
        self.ledger.set_up(worker, true);
        let gangs = self.gangs.iter().filter(|(_, gang)| gang.lost == Some(worker));
        for id in gangs.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.release(id);
        }
    }

    fn free(&mut self, id: u64) -> Option<Gang> {
        let gang = self.gangs.remove(&id)?;
        self.ledger.free(&gang.place);
        for (worker, mask) in &gang.place {
            self.used[*worker] &= !mask;
        }
        let queue = self.queue_of(gang.job);
        let size = self.scenario.jobs[gang.job].spec.accelerators;
        self.use_of.entry(queue).and_modify(|used| *used -= size);
        Some(gang)
    }

    /// Returns whether a job failed on a worker of every block that is large enough.
    fn is_exhausted(&self, job: usize) -> bool {
        let Some(failed) = self.failed_on.get(&job) else { return false };
        let mut free = [u8::MAX; WORKERS];
        for worker in failed {
            free[*worker] = 0;
        }
        places(&free, self.scenario.jobs[job].spec.accelerators).is_empty()
    }

    /// Frees the accelerators of a stopped gang and decides on its job.
    fn release(&mut self, id: u64) {
        let Some(gang) = self.free(id) else { return };
        let arrival = &self.scenario.jobs[gang.job];
        if let (Some(start_ms), Some(stop_ms)) = (gang.start_ms, gang.stop_ms) {
            let ran_ms = stop_ms.saturating_sub(start_ms);
            self.ledger.lost_work_ms += self.progress.stop(gang.job, arrival, ran_ms, None);
        }
        let failures = self.failed_on.get(&gang.job).map_or(0, BTreeSet::len);
        if self.cancelled.contains(&gang.job) {
            self.ledger.end(gang.job, self.now_ms, End::Cancelled);
        } else if failures >= JOB_FAILURE_LIMIT || self.is_exhausted(gang.job) {
            self.ledger.end(gang.job, self.now_ms, End::Failed);
        } else {
            self.ledger.wait(gang.job, self.now_ms);
            self.enqueue(gang.job);
        }
    }
}
