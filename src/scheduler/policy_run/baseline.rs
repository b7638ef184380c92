//! The baselines: first come first served, and strict quotas, both with first fit.
//!
//! They follow the rules of the core that are not part of its policy: adjacency, message delays,
//! restarts only after the old lease has certainly ended, avoided workers and quarantine. They
//! detect a lost worker at once, which favours them.

use std::collections::{BTreeMap, BTreeSet};

use super::agenda::EventQueue;
use super::ledger::{Outcome, Recorder};
use super::progress::{MESSAGE_DELAY_MS, SavedWork};
use super::scenario::{Input, Scenario, WORKER_ACCELERATORS, WORKERS};
use super::space::{Placement, WorkerMasks, placements};
use crate::scheduler::limits::{
    GANG_LEASE_MS, JOB_FAILURE_LIMIT, PROBE_INTERVAL_MAX_MS, PROBE_INTERVAL_MS,
    QUARANTINE_FAILED_JOBS, REFUSAL_PAUSE_MS, RENEW_INTERVAL_MS, certain_end_ms,
};

/// Number of messages from a placement to the start: stage, its answer and commit.
const START_MESSAGES: u64 = 3;

/// How a baseline orders and admits jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueOrder {
    /// One queue by arrival; a first job that does not fit blocks the rest.
    FirstComeFirstServed,
    /// One queue for each organisation, guaranteed work first; no organisation uses more
    /// accelerators than its quota.
    StrictQuotas,
}

#[derive(Debug, Clone, Copy)]
enum SimEvent {
    Input(Input),
    /// A placed gang starts.
    Start(u64),
    /// The run time of a gang has passed.
    Done(u64),
    /// The accelerators of a stopped gang are free.
    Release(u64),
    /// The pause of a worker ends, or it is probed if it is in quarantine.
    Resume(usize),
}

#[derive(Debug)]
struct Gang {
    job: usize,
    placement: Placement,
    start_ms: Option<u64>,
    stop_ms: Option<u64>,
    fails: bool,
    /// Lost worker with a member of the gang, whose lease may not have ended yet.
    lost_worker: Option<usize>,
}

#[derive(Debug, Default, Clone)]
struct WorkerState {
    down: bool,
    fails: bool,
    /// Whether the worker gets no new gangs, after a failure or in quarantine.
    suspended: bool,
    failed_jobs: BTreeSet<usize>,
    /// Time until the next probe, while the worker is in quarantine.
    probe_interval_ms: Option<u64>,
}

#[derive(Debug)]
struct BaselineRun<'a> {
    scenario: &'a Scenario,
    order: QueueOrder,
    now_ms: u64,
    event_queue: EventQueue<SimEvent>,
    workers: Vec<WorkerState>,
    used: WorkerMasks,
    /// Waiting jobs by queue: guaranteed work first under quotas, then by arrival.
    queues: BTreeMap<usize, BTreeSet<(bool, usize)>>,
    /// Accelerators in use by the jobs of each queue.
    used_by_queue: BTreeMap<usize, u32>,
    gangs: BTreeMap<u64, Gang>,
    next_gang: u64,
    /// Workers on which each job failed.
    failed_on: BTreeMap<usize, BTreeSet<usize>>,
    cancelled: BTreeSet<usize>,
    saved_work: SavedWork,
    recorder: Recorder<'a>,
}

/// Runs a baseline until the work is done or `limit_ms` is reached; returns the time of the end.
pub fn run(scenario: &Scenario, order: QueueOrder, limit_ms: u64) -> (Recorder<'_>, u64) {
    let mut run = BaselineRun {
        scenario,
        order,
        now_ms: 0,
        event_queue: EventQueue::new(),
        workers: vec![WorkerState::default(); WORKERS],
        used: [0; WORKERS],
        queues: BTreeMap::new(),
        used_by_queue: BTreeMap::new(),
        gangs: BTreeMap::new(),
        next_gang: 0,
        failed_on: BTreeMap::new(),
        cancelled: BTreeSet::new(),
        saved_work: SavedWork::new(scenario),
        recorder: Recorder::new(scenario),
    };
    for (at_ms, input) in &scenario.inputs {
        run.event_queue.push(*at_ms, SimEvent::Input(*input));
    }
    while let Some((at_ms, event)) = run.event_queue.pop() {
        if at_ms > limit_ms {
            break;
        }
        run.recorder.advance(at_ms);
        run.now_ms = at_ms;
        run.handle(event);
        run.place_waiting();
    }
    run.recorder.advance(scenario.window_ms);
    let end_ms = run.now_ms;
    (run.recorder, end_ms)
}

impl BaselineRun<'_> {
    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Input(Input::Submit(job)) => self.submit(job),
            SimEvent::Input(Input::Cancel(job)) => self.cancel(job),
            SimEvent::Input(Input::Down(worker)) => self.on_worker_lost(worker),
            SimEvent::Input(Input::Up(worker)) => self.restart(worker),
            SimEvent::Input(Input::Fail(worker)) => self.workers[worker].fails = true,
            SimEvent::Input(Input::Recover(worker)) => self.workers[worker].fails = false,
            SimEvent::Start(gang) => self.start(gang),
            SimEvent::Done(gang) => self.done(gang),
            SimEvent::Release(gang) => self.release(gang),
            SimEvent::Resume(worker) => self.resume(worker),
        }
    }

    fn submit(&mut self, job: usize) {
        if self.scenario.jobs[job].spec.invalid_reason().is_none() {
            self.recorder.record_acceptance(job, self.now_ms);
            self.enqueue(job);
        }
    }

    fn queue_of(&self, job: usize) -> usize {
        let organisation = &self.scenario.jobs[job].spec.organisation;
        match self.order {
            QueueOrder::FirstComeFirstServed => 0,
            QueueOrder::StrictQuotas => {
                let blocks = &self.scenario.blocks;
                blocks.iter().position(|(name, _)| name == organisation).unwrap_or(blocks.len())
            }
        }
    }

    /// Returns the position of a job in its queue.
    fn queue_key(&self, job: usize) -> (bool, usize) {
        let guaranteed = self.scenario.jobs[job].spec.guaranteed;
        (self.order == QueueOrder::StrictQuotas && !guaranteed, job)
    }

    fn enqueue(&mut self, job: usize) {
        let (queue, key) = (self.queue_of(job), self.queue_key(job));
        self.queues.entry(queue).or_default().insert(key);
    }

    fn dequeue(&mut self, job: usize) -> bool {
        let (queue, key) = (self.queue_of(job), self.queue_key(job));
        self.queues.get_mut(&queue).is_some_and(|jobs| jobs.remove(&key))
    }

    fn cancel(&mut self, job: usize) {
        if !self.recorder.jobs[job].accepted || self.recorder.jobs[job].end.is_some() {
            return;
        }
        self.cancelled.insert(job);
        if self.dequeue(job) {
            return self.recorder.record_end(job, self.now_ms, Outcome::Cancelled);
        }
        let found = self.gangs.iter().find(|(_, gang)| gang.job == job).map(|(id, _)| *id);
        let Some(id) = found else { return };
        self.stop(id, MESSAGE_DELAY_MS);
        self.event_queue.push(self.now_ms + 2 * MESSAGE_DELAY_MS, SimEvent::Release(id));
    }

    /// Records that the members of a gang stop after a delay.
    fn stop(&mut self, id: u64, delay_ms: u64) {
        if let Some(gang) = self.gangs.get_mut(&id) {
            gang.stop_ms.get_or_insert(self.now_ms + delay_ms);
        }
    }

    /// Returns the quota of one organisation in accelerators: its guaranteed blocks and an equal
    /// part of the accelerators outside all guaranteed blocks.
    fn quota(&self, queue: usize) -> u32 {
        let blocks = &self.scenario.blocks;
        let sum = |sizes: &[u32]| sizes.iter().sum::<u32>();
        let guaranteed: u32 = blocks.iter().map(|(_, sizes)| sum(sizes)).sum();
        let total = u32::try_from(WORKERS).unwrap_or(0) * WORKER_ACCELERATORS;
        let organisations = u32::try_from(blocks.len()).unwrap_or(1);
        let own = blocks.get(queue).map_or(0, |(_, sizes)| sum(sizes));
        own + (total - guaranteed) / organisations
    }

    /// Returns whether the quota lets a job start. A job larger than its quota may run alone,
    /// because otherwise it could never run.
    fn is_within_quota(&self, queue: usize, job: usize) -> bool {
        let used = self.used_by_queue.get(&queue).copied().unwrap_or(0);
        let wanted = self.scenario.jobs[job].spec.accelerators;
        self.order == QueueOrder::FirstComeFirstServed
            || used == 0
            || used + wanted <= self.quota(queue)
    }

    fn place_waiting(&mut self) {
        for queue in self.queues.keys().copied().collect::<Vec<_>>() {
            while self.place_head(queue) {}
        }
        let heads = self.queues.iter().filter_map(|(queue, jobs)| Some((*queue, jobs.first()?.1)));
        let allowed = heads.filter(|(queue, job)| self.is_within_quota(*queue, *job));
        let sizes = allowed.map(|(_, job)| self.scenario.jobs[job].spec.accelerators).collect();
        self.recorder.set_startable(sizes);
    }

    fn place_head(&mut self, queue: usize) -> bool {
        let Some((_, job)) = self.queues[&queue].first().copied() else { return false };
        if !self.is_within_quota(queue, job) {
            return false;
        }
        let size = self.scenario.jobs[job].spec.accelerators;
        let Some(placement) = placements(&self.free_for(job), size).into_iter().next() else {
            return false;
        };
        self.dequeue(job);
        self.recorder.end_wait(job, self.now_ms);
        self.recorder.hold(&placement);
        for (worker, mask) in &placement {
            self.used[*worker] |= mask;
        }
        *self.used_by_queue.entry(queue).or_default() += size;
        let id = self.next_gang;
        self.next_gang += 1;
        let gang =
            Gang { job, placement, start_ms: None, stop_ms: None, fails: false, lost_worker: None };
        self.gangs.insert(id, gang);
        self.event_queue.push(self.now_ms + START_MESSAGES * MESSAGE_DELAY_MS, SimEvent::Start(id));
        true
    }

    fn free_for(&self, job: usize) -> WorkerMasks {
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
        let on_failing_worker =
            gang.placement.iter().any(|(worker, _)| self.workers[*worker].fails);
        gang.fails = arrival.fails || on_failing_worker;
        gang.start_ms = Some(self.now_ms);
        let run_ms = self.saved_work.run_ms(gang.job, arrival, gang.fails);
        self.recorder.record_start(gang.job, self.now_ms);
        self.event_queue.push(self.now_ms + run_ms + MESSAGE_DELAY_MS, SimEvent::Done(id));
    }

    fn done(&mut self, id: u64) {
        let Some(gang) = self.gangs.get(&id) else { return };
        if gang.stop_ms.is_some() {
            return;
        }
        if !gang.fails {
            let (job, workers) = (gang.job, gang.placement.clone());
            for (worker, _) in workers {
                self.workers[worker].failed_jobs.clear();
            }
            self.remove_gang(id);
            return self.recorder.record_end(job, self.now_ms, Outcome::Completed);
        }
        let (job, placement) = (gang.job, gang.placement.clone());
        let failing = placement.iter().find(|(worker, _)| self.workers[*worker].fails);
        let (worker, _) = *failing.unwrap_or(&placement[0]);
        self.stop(id, 0);
        self.record_failure(job, worker);
        // The other members are stopped by a message, which each answers.
        let messages = if placement.len() > 1 { 2 } else { 0 };
        self.event_queue.push(self.now_ms + messages * MESSAGE_DELAY_MS, SimEvent::Release(id));
    }

    fn record_failure(&mut self, job: usize, worker: usize) {
        self.failed_on.entry(job).or_default().insert(worker);
        let state = &mut self.workers[worker];
        state.failed_jobs.insert(job);
        let mut pause_ms = REFUSAL_PAUSE_MS;
        if state.failed_jobs.len() >= QUARANTINE_FAILED_JOBS && state.probe_interval_ms.is_none() {
            state.probe_interval_ms = Some(PROBE_INTERVAL_MS);
            pause_ms = PROBE_INTERVAL_MS;
            for job in std::mem::take(&mut state.failed_jobs) {
                self.failed_on.entry(job).or_default().remove(&worker);
            }
        }
        if !self.workers[worker].suspended {
            self.workers[worker].suspended = true;
            self.event_queue.push(self.now_ms + pause_ms, SimEvent::Resume(worker));
        }
    }

    fn resume(&mut self, worker: usize) {
        let state = &mut self.workers[worker];
        match state.probe_interval_ms {
            Some(interval_ms) if state.fails || state.down => {
                let next_ms = (interval_ms * 2).min(PROBE_INTERVAL_MAX_MS);
                state.probe_interval_ms = Some(next_ms);
                self.event_queue.push(self.now_ms + next_ms, SimEvent::Resume(worker));
            }
            _ => {
                state.probe_interval_ms = None;
                state.suspended = false;
            }
        }
    }

    /// Stops the gangs of a lost worker. Their accelerators are free once the lease of the lost
    /// member has certainly ended.
    fn on_worker_lost(&mut self, worker: usize) {
        self.workers[worker].down = true;
        self.recorder.set_worker_up(worker, false);
        let uses_worker = |gang: &Gang| gang.placement.iter().any(|(member, _)| *member == worker);
        let gangs = self.gangs.iter().filter(|(_, gang)| uses_worker(gang)).map(|(id, _)| *id);
        for id in gangs.collect::<Vec<_>>() {
            self.stop(id, 0);
            let gang = self.gangs.get_mut(&id).expect("the gang was just found");
            gang.lost_worker = Some(worker);
            let since_ms = gang.start_ms.unwrap_or(self.now_ms);
            let renewed_ms = self.now_ms - (self.now_ms - since_ms) % RENEW_INTERVAL_MS;
            self.event_queue.push(certain_end_ms(renewed_ms, GANG_LEASE_MS), SimEvent::Release(id));
        }
    }

    fn restart(&mut self, worker: usize) {
        self.workers[worker] =
            WorkerState { fails: self.workers[worker].fails, ..WorkerState::default() };
        self.recorder.set_worker_up(worker, true);
        let gangs = self.gangs.iter().filter(|(_, gang)| gang.lost_worker == Some(worker));
        for id in gangs.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.release(id);
        }
    }

    /// Removes a gang and frees its accelerators.
    fn remove_gang(&mut self, id: u64) -> Option<Gang> {
        let gang = self.gangs.remove(&id)?;
        self.recorder.free(&gang.placement);
        for (worker, mask) in &gang.placement {
            self.used[*worker] &= !mask;
        }
        let queue = self.queue_of(gang.job);
        let size = self.scenario.jobs[gang.job].spec.accelerators;
        self.used_by_queue.entry(queue).and_modify(|used| *used -= size);
        Some(gang)
    }

    /// Returns whether every block that is large enough has a worker on which the job failed.
    fn has_failed_everywhere(&self, job: usize) -> bool {
        let Some(failed) = self.failed_on.get(&job) else { return false };
        let mut free = [u8::MAX; WORKERS];
        for worker in failed {
            free[*worker] = 0;
        }
        placements(&free, self.scenario.jobs[job].spec.accelerators).is_empty()
    }

    /// Frees the accelerators of a stopped gang, and ends its job or queues it again.
    fn release(&mut self, id: u64) {
        let Some(gang) = self.remove_gang(id) else { return };
        let arrival = &self.scenario.jobs[gang.job];
        if let (Some(start_ms), Some(stop_ms)) = (gang.start_ms, gang.stop_ms) {
            let ran_ms = stop_ms.saturating_sub(start_ms);
            self.recorder.lost_work_ms +=
                self.saved_work.record_stop(gang.job, arrival, ran_ms, None);
        }
        let failures = self.failed_on.get(&gang.job).map_or(0, BTreeSet::len);
        if self.cancelled.contains(&gang.job) {
            self.recorder.record_end(gang.job, self.now_ms, Outcome::Cancelled);
        } else if failures >= JOB_FAILURE_LIMIT || self.has_failed_everywhere(gang.job) {
            self.recorder.record_end(gang.job, self.now_ms, Outcome::Failed);
        } else {
            self.recorder.begin_wait(gang.job, self.now_ms);
            self.enqueue(gang.job);
        }
    }
}
