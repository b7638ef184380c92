//! Measurements of one policy, taken in the same manner for all policies.

use std::collections::{BTreeMap, BTreeSet};

use super::scenario::{Scenario, WORKER_ACCELERATORS, WORKERS};
use super::space::{WorkerMasks, unusable_count};

/// Longest time that a guaranteed job may take from its cover by a guaranteed block to its start.
pub const GUARANTEED_START_LIMIT_MS: u64 = 1_700;

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The job completed.
    Completed,
    /// The job was cancelled.
    Cancelled,
    /// The job failed, or was found unrunnable after its acceptance.
    Failed,
}

/// Times of one job.
#[derive(Debug, Clone, Copy, Default)]
pub struct JobTimes {
    /// Whether the job was accepted.
    pub accepted: bool,
    /// Start of the current wait for a placement; `None` while the job does not wait.
    pub waiting_since_ms: Option<u64>,
    /// Longest wait for a placement among those that have ended.
    pub longest_wait_ms: u64,
    /// Time at which a guaranteed block of its organisation first had room for it; the block covers
    /// it from then on.
    pub covered_ms: Option<u64>,
    /// Time at which all its members had started for the first time.
    pub started_ms: Option<u64>,
    /// How and when it ended.
    pub end: Option<(u64, Outcome)>,
}

/// Shares of accelerators that are unusable or in use, at one time or as time averages. A free
/// accelerator is unusable if no placement of a waiting job or of a guaranteed block includes it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Fragmentation {
    /// Unusable accelerators, as a share of the free ones.
    pub unusable_of_free: f64,
    /// The same share, if only those waiting jobs count that the policy allows to start next.
    pub unusable_by_startable_of_free: f64,
    /// Unusable accelerators, as a share of all.
    pub unusable_of_pool: f64,
    /// Accelerators that gangs hold, as a share of all.
    pub used_of_pool: f64,
}

/// Recorder of the measurements of one policy in one data centre.
#[derive(Debug)]
pub struct Recorder<'a> {
    scenario: &'a Scenario,
    /// Times of each job, by its index in the scenario.
    pub jobs: Vec<JobTimes>,
    /// Accelerators that gangs hold.
    used: WorkerMasks,
    /// Whether each worker is up.
    up: [bool; WORKERS],
    /// Number of waiting jobs by size.
    waiting: BTreeMap<u32, usize>,
    /// Sizes of the waiting jobs that the policy allows to start next; `None` if it allows all.
    startable_sizes: Option<BTreeSet<u32>>,
    /// Accepted guaranteed jobs that have not ended, by index of their organisation in the
    /// scenario's blocks, each with the index of the block that covers it.
    guaranteed_jobs: BTreeMap<usize, BTreeMap<usize, Option<usize>>>,
    /// Sizes of all guaranteed blocks.
    guaranteed_sizes: BTreeSet<u32>,
    /// Time up to which `sum` is complete.
    measured_until_ms: u64,
    /// Values of the current state, unless they are stale.
    current: Fragmentation,
    /// Sum of the values so far, each multiplied by the milliseconds for which it held.
    sum: Fragmentation,
    /// Whether the state has changed since `current` was measured.
    current_is_stale: bool,
    /// Number of gangs that were stopped for other work.
    pub preemptions: u64,
    /// Work that was done and then lost, in accelerator milliseconds.
    pub lost_work_ms: u64,
    /// Number of reports of a guarantee at risk.
    pub guarantees_at_risk: u64,
}

impl<'a> Recorder<'a> {
    /// Builds a recorder without measurements.
    pub fn new(scenario: &'a Scenario) -> Self {
        let guaranteed_sizes =
            scenario.blocks.iter().flat_map(|(_, sizes)| sizes.iter().copied()).collect();
        Self {
            scenario,
            jobs: vec![JobTimes::default(); scenario.jobs.len()],
            used: [0; WORKERS],
            up: [true; WORKERS],
            waiting: BTreeMap::new(),
            startable_sizes: None,
            guaranteed_jobs: BTreeMap::new(),
            guaranteed_sizes,
            measured_until_ms: super::scenario::FIRST_ARRIVAL_MS,
            current: Fragmentation::default(),
            sum: Fragmentation::default(),
            current_is_stale: true,
            preemptions: 0,
            lost_work_ms: 0,
            guarantees_at_risk: 0,
        }
    }

    /// Adds the time since the last call to the averages, with the values of the current state.
    /// Only the window of arrivals counts, so that the averages cover the same time for every
    /// policy.
    pub fn advance(&mut self, now_ms: u64) {
        let now_ms = now_ms.min(self.scenario.window_ms);
        if now_ms <= self.measured_until_ms {
            return;
        }
        if std::mem::take(&mut self.current_is_stale) {
            self.current = self.measure();
        }
        let ms = (now_ms - self.measured_until_ms) as f64;
        self.sum.unusable_of_free += ms * self.current.unusable_of_free;
        self.sum.unusable_by_startable_of_free += ms * self.current.unusable_by_startable_of_free;
        self.sum.unusable_of_pool += ms * self.current.unusable_of_pool;
        self.sum.used_of_pool += ms * self.current.used_of_pool;
        self.measured_until_ms = now_ms;
    }

    fn measure(&self) -> Fragmentation {
        let mut free = [0; WORKERS];
        for (worker, free) in free.iter_mut().enumerate() {
            *free = if self.up[worker] { !self.used[worker] } else { 0 };
        }
        let free_count: u32 = free.iter().map(|mask| mask.count_ones()).sum();
        let used: u32 = self.used.iter().map(|mask| mask.count_ones()).sum();
        let total = WORKERS as f64 * f64::from(WORKER_ACCELERATORS);
        let share_of_free = |unusable: u32| {
            if free_count == 0 { 0.0 } else { f64::from(unusable) / f64::from(free_count) }
        };
        let waiting = self.waiting.keys().copied();
        let unusable = unusable_count(&free, waiting.chain(self.guaranteed_sizes.iter().copied()));
        let unusable_by_startable = match &self.startable_sizes {
            None => unusable,
            Some(sizes) => {
                unusable_count(&free, sizes.iter().chain(&self.guaranteed_sizes).copied())
            }
        };
        Fragmentation {
            unusable_of_free: share_of_free(unusable),
            unusable_by_startable_of_free: share_of_free(unusable_by_startable),
            unusable_of_pool: f64::from(unusable) / total,
            used_of_pool: f64::from(used) / total,
        }
    }

    /// Returns the averages over the measured time.
    pub fn mean_fragmentation(&self) -> Fragmentation {
        let ms = (self.measured_until_ms - super::scenario::FIRST_ARRIVAL_MS).max(1) as f64;
        Fragmentation {
            unusable_of_free: self.sum.unusable_of_free / ms,
            unusable_by_startable_of_free: self.sum.unusable_by_startable_of_free / ms,
            unusable_of_pool: self.sum.unusable_of_pool / ms,
            used_of_pool: self.sum.used_of_pool / ms,
        }
    }

    /// Records whether a worker is up.
    pub fn set_worker_up(&mut self, worker: usize, up: bool) {
        self.up[worker] = up;
        self.current_is_stale = true;
    }

    /// Records that a gang holds accelerators.
    pub fn hold(&mut self, placement: &[(usize, u8)]) {
        for (worker, mask) in placement {
            self.used[*worker] |= mask;
        }
        self.current_is_stale = true;
    }

    /// Records that accelerators are free again.
    pub fn free(&mut self, placement: &[(usize, u8)]) {
        for (worker, mask) in placement {
            self.used[*worker] &= !mask;
        }
        self.current_is_stale = true;
    }

    /// Sets the sizes that the policy allows to start next. A policy that always allows all waiting
    /// jobs does not call it.
    pub fn set_startable(&mut self, sizes: BTreeSet<u32>) {
        if self.startable_sizes.as_ref() != Some(&sizes) {
            self.startable_sizes = Some(sizes);
            self.current_is_stale = true;
        }
    }

    /// Records the acceptance of a job; has no effect if it is already recorded.
    pub fn record_acceptance(&mut self, job: usize, now_ms: u64) {
        if self.jobs[job].accepted {
            return;
        }
        self.jobs[job].accepted = true;
        self.begin_wait(job, now_ms);
        if let Some(organisation) = self.guaranteed_organisation(job) {
            self.guaranteed_jobs.entry(organisation).or_default().insert(job, None);
            self.cover_jobs(organisation, now_ms);
        }
    }

    /// Returns the index of a guaranteed job's organisation in the scenario's blocks; `None` if the
    /// job is not guaranteed or its organisation has no blocks.
    fn guaranteed_organisation(&self, job: usize) -> Option<usize> {
        let spec = &self.scenario.jobs[job].spec;
        let blocks = &self.scenario.blocks;
        spec.guaranteed.then(|| blocks.iter().position(|(name, _)| *name == spec.organisation))?
    }

    /// Assigns the uncovered guaranteed jobs of an organisation to its blocks, in order of arrival:
    /// each to the smallest block that has room beside the jobs that it already covers.
    fn cover_jobs(&mut self, organisation: usize, now_ms: u64) {
        let (_, sizes) = &self.scenario.blocks[organisation];
        let active = self.guaranteed_jobs.entry(organisation).or_default();
        for job in active.keys().copied().collect::<Vec<_>>() {
            if active[&job].is_some() {
                continue;
            }
            let wanted = self.scenario.jobs[job].spec.accelerators;
            let covered_accelerators = |block: usize| {
                let jobs = active.iter().filter(move |(_, covered)| **covered == Some(block));
                jobs.map(|(job, _)| self.scenario.jobs[*job].spec.accelerators).sum::<u32>()
            };
            let fits = |block: &usize| covered_accelerators(*block) + wanted <= sizes[*block];
            let block = (0..sizes.len()).filter(fits).min_by_key(|block| sizes[*block]);
            if block.is_some() {
                active.insert(job, block);
                self.jobs[job].covered_ms = Some(now_ms);
            }
        }
    }

    /// Records that a job waits for a placement.
    pub fn begin_wait(&mut self, job: usize, now_ms: u64) {
        if self.jobs[job].waiting_since_ms.replace(now_ms).is_none() {
            *self.waiting.entry(self.scenario.jobs[job].spec.accelerators).or_default() += 1;
            self.current_is_stale = true;
        }
    }

    /// Records that a job no longer waits for a placement.
    pub fn end_wait(&mut self, job: usize, now_ms: u64) {
        let Some(since_ms) = self.jobs[job].waiting_since_ms.take() else { return };
        let wait_ms = now_ms - since_ms;
        self.jobs[job].longest_wait_ms = self.jobs[job].longest_wait_ms.max(wait_ms);
        let size = self.scenario.jobs[job].spec.accelerators;
        let count = self.waiting.get_mut(&size).expect("a waiting job is counted");
        *count -= 1;
        if *count == 0 {
            self.waiting.remove(&size);
        }
        self.current_is_stale = true;
    }

    /// Records that every member of a job has started; only the first start counts.
    pub fn record_start(&mut self, job: usize, now_ms: u64) {
        self.jobs[job].started_ms.get_or_insert(now_ms);
    }

    /// Records the end of a job.
    pub fn record_end(&mut self, job: usize, now_ms: u64, outcome: Outcome) {
        self.end_wait(job, now_ms);
        self.jobs[job].end.get_or_insert((now_ms, outcome));
        let Some(organisation) = self.guaranteed_organisation(job) else { return };
        self.guaranteed_jobs.entry(organisation).or_default().remove(&job);
        self.cover_jobs(organisation, now_ms);
    }

    /// Returns whether every accepted job has ended.
    pub fn all_jobs_ended(&self) -> bool {
        self.jobs.iter().all(|job| !job.accepted || job.end.is_some())
    }
}
