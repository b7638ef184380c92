//! What each policy did with the jobs, measured alike for all.

use std::collections::{BTreeMap, BTreeSet};

use super::scenario::{Scenario, WORKER_ACCELERATORS, WORKERS};
use super::space::{Free, unusable};

/// Time within which urgent guaranteed work starts.
pub const URGENT_START_MS: u64 = 1_700;

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It completed.
    Completed,
    /// It was cancelled.
    Cancelled,
    /// It failed or was found not to be runnable after its acceptance.
    Failed,
}

/// Times of one job.
#[derive(Debug, Clone, Copy, Default)]
pub struct JobTimes {
    /// Whether the job was accepted.
    pub accepted: bool,
    /// Time since which the job waits for a place, while it does.
    pub waiting_since_ms: Option<u64>,
    /// Longest wait for a place.
    pub longest_wait_ms: u64,
    /// Time at which its guarantee first covered it.
    pub covered_ms: Option<u64>,
    /// Time of its first start.
    pub started_ms: Option<u64>,
    /// How and when it ended.
    pub end: Option<(u64, End)>,
}

/// Time averages of free accelerators that no shape can use.
#[derive(Debug, Clone, Copy, Default)]
pub struct Fragmentation {
    /// Share of the free accelerators that no waiting or guaranteed shape can use.
    pub of_free: f64,
    /// The same, where only shapes count that the policy's own rules allow to start next.
    pub startable: f64,
    /// Accelerators that no waiting or guaranteed shape can use, as a share of all.
    pub of_pool: f64,
    /// Accelerators in use, as a share of all.
    pub used: f64,
}

/// Records of one policy in one data centre.
#[derive(Debug)]
pub struct Ledger<'a> {
    scenario: &'a Scenario,
    /// Times by job.
    pub jobs: Vec<JobTimes>,
    used: Free,
    up: [bool; WORKERS],
    waiting: BTreeMap<u32, usize>,
    startable: Option<BTreeSet<u32>>,
    /// Open guaranteed jobs by holder, with the block that covers each.
    guaranteed: BTreeMap<usize, BTreeMap<usize, Option<usize>>>,
    sizes: BTreeSet<u32>,
    since_ms: u64,
    now: Fragmentation,
    sum: Fragmentation,
    dirty: bool,
    /// Gangs that were stopped for other work.
    pub preemptions: u64,
    /// Work that was done and lost, in accelerator milliseconds.
    pub lost_work_ms: u64,
    /// Reported risks of guarantees.
    pub risks: u64,
}

impl<'a> Ledger<'a> {
    /// Builds an empty ledger.
    pub fn new(scenario: &'a Scenario) -> Self {
        let sizes = scenario.blocks.iter().flat_map(|(_, sizes)| sizes.iter().copied()).collect();
        Self {
            scenario,
            jobs: vec![JobTimes::default(); scenario.jobs.len()],
            used: [0; WORKERS],
            up: [true; WORKERS],
            waiting: BTreeMap::new(),
            startable: None,
            guaranteed: BTreeMap::new(),
            sizes,
            since_ms: super::scenario::FIRST_ARRIVAL_MS,
            now: Fragmentation::default(),
            sum: Fragmentation::default(),
            dirty: true,
            preemptions: 0,
            lost_work_ms: 0,
            risks: 0,
        }
    }

    /// Counts the time up to now under the present state; within the window of arrivals only, so
    /// that the average covers the same time for every policy.
    pub fn advance(&mut self, now_ms: u64) {
        let now_ms = now_ms.min(self.scenario.window_ms);
        if now_ms <= self.since_ms {
            return;
        }
        if std::mem::take(&mut self.dirty) {
            self.now = self.measure();
        }
        let ms = (now_ms - self.since_ms) as f64;
        self.sum.of_free += ms * self.now.of_free;
        self.sum.startable += ms * self.now.startable;
        self.sum.of_pool += ms * self.now.of_pool;
        self.sum.used += ms * self.now.used;
        self.since_ms = now_ms;
    }

    fn measure(&self) -> Fragmentation {
        let mut free = [0; WORKERS];
        for (worker, free) in free.iter_mut().enumerate() {
            *free = if self.up[worker] { !self.used[worker] } else { 0 };
        }
        let count: u32 = free.iter().map(|mask| mask.count_ones()).sum();
        let used: u32 = self.used.iter().map(|mask| mask.count_ones()).sum();
        let total = WORKERS as f64 * f64::from(WORKER_ACCELERATORS);
        let share = |lost: u32| if count == 0 { 0.0 } else { f64::from(lost) / f64::from(count) };
        let waiting = self.waiting.keys().copied();
        let lost = unusable(&free, waiting.chain(self.sizes.iter().copied()));
        let startable = match &self.startable {
            None => lost,
            Some(sizes) => unusable(&free, sizes.iter().chain(&self.sizes).copied()),
        };
        Fragmentation {
            of_free: share(lost),
            startable: share(startable),
            of_pool: f64::from(lost) / total,
            used: f64::from(used) / total,
        }
    }

    /// Returns the time averages.
    pub fn fragmentation(&self) -> Fragmentation {
        let ms = (self.since_ms - super::scenario::FIRST_ARRIVAL_MS).max(1) as f64;
        Fragmentation {
            of_free: self.sum.of_free / ms,
            startable: self.sum.startable / ms,
            of_pool: self.sum.of_pool / ms,
            used: self.sum.used / ms,
        }
    }

    /// Notes that a worker can take work, or cannot.
    pub fn set_up(&mut self, worker: usize, up: bool) {
        self.up[worker] = up;
        self.dirty = true;
    }

    /// Notes that accelerators are held by a gang.
    pub fn hold(&mut self, block: &[(usize, u8)]) {
        for (worker, mask) in block {
            self.used[*worker] |= mask;
        }
        self.dirty = true;
    }

    /// Notes that accelerators are free again.
    pub fn free(&mut self, block: &[(usize, u8)]) {
        for (worker, mask) in block {
            self.used[*worker] &= !mask;
        }
        self.dirty = true;
    }

    /// States the sizes that may start next, if not every waiting one may.
    pub fn set_startable(&mut self, sizes: BTreeSet<u32>) {
        if self.startable.as_ref() != Some(&sizes) {
            self.startable = Some(sizes);
            self.dirty = true;
        }
    }

    /// Notes the acceptance of a job.
    pub fn accept(&mut self, job: usize, now_ms: u64) {
        if self.jobs[job].accepted {
            return;
        }
        self.jobs[job].accepted = true;
        self.wait(job, now_ms);
        if let Some(holder) = self.holder(job) {
            self.guaranteed.entry(holder).or_default().insert(job, None);
            self.cover(holder, now_ms);
        }
    }

    /// Returns the place of the job's organisation among the guarantees.
    fn holder(&self, job: usize) -> Option<usize> {
        let spec = &self.scenario.jobs[job].spec;
        let blocks = &self.scenario.blocks;
        spec.guaranteed.then(|| blocks.iter().position(|(name, _)| *name == spec.organisation))?
    }

    /// Covers the guaranteed jobs of a holder in the order of their acceptance, each by the
    /// smallest block that has room beside the jobs that it covers already.
    fn cover(&mut self, holder: usize, now_ms: u64) {
        let (_, sizes) = &self.scenario.blocks[holder];
        let active = self.guaranteed.entry(holder).or_default();
        for job in active.keys().copied().collect::<Vec<_>>() {
            if active[&job].is_some() {
                continue;
            }
            let wanted = self.scenario.jobs[job].spec.accelerators;
            let covered_by = |block: usize| {
                let jobs = active.iter().filter(move |(_, covered)| **covered == Some(block));
                jobs.map(|(job, _)| self.scenario.jobs[*job].spec.accelerators).sum::<u32>()
            };
            let fits = |block: &usize| covered_by(*block) + wanted <= sizes[*block];
            let block = (0..sizes.len()).filter(fits).min_by_key(|block| sizes[*block]);
            if block.is_some() {
                active.insert(job, block);
                self.jobs[job].covered_ms = Some(now_ms);
            }
        }
    }

    /// Notes that a job waits for a place.
    pub fn wait(&mut self, job: usize, now_ms: u64) {
        if self.jobs[job].waiting_since_ms.replace(now_ms).is_none() {
            *self.waiting.entry(self.scenario.jobs[job].spec.accelerators).or_default() += 1;
            self.dirty = true;
        }
    }

    /// Notes that a job no longer waits.
    pub fn placed(&mut self, job: usize, now_ms: u64) {
        let Some(since_ms) = self.jobs[job].waiting_since_ms.take() else { return };
        let wait_ms = now_ms - since_ms;
        self.jobs[job].longest_wait_ms = self.jobs[job].longest_wait_ms.max(wait_ms);
        let size = self.scenario.jobs[job].spec.accelerators;
        let count = self.waiting.get_mut(&size).expect("a waiting job is counted");
        *count -= 1;
        if *count == 0 {
            self.waiting.remove(&size);
        }
        self.dirty = true;
    }

    /// Notes that every member of a job works.
    pub fn start(&mut self, job: usize, now_ms: u64) {
        self.jobs[job].started_ms.get_or_insert(now_ms);
    }

    /// Notes the end of a job.
    pub fn end(&mut self, job: usize, now_ms: u64, end: End) {
        self.placed(job, now_ms);
        self.jobs[job].end.get_or_insert((now_ms, end));
        let Some(holder) = self.holder(job) else { return };
        self.guaranteed.entry(holder).or_default().remove(&job);
        self.cover(holder, now_ms);
    }

    /// Returns whether every accepted job has ended.
    pub fn is_done(&self) -> bool {
        self.jobs.iter().all(|job| !job.accepted || job.end.is_some())
    }
}
