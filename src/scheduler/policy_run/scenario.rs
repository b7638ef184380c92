//! The seeded load and faults of one data centre, the same for every policy.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use smallvec::SmallVec;

use super::mix::{Kind, Mix, User};
use crate::names::OrganisationName;
use crate::scheduler::JobSpec;

/// Workers of a data centre.
pub const WORKERS: usize = 16;

/// Workers of a rack.
pub const RACK_WORKERS: usize = 8;

/// Accelerators of a worker.
pub const WORKER_ACCELERATORS: u32 = 8;

/// Time at which the first job may arrive; the pool is known and the document in force by then.
pub const FIRST_ARRIVAL_MS: u64 = 10_000;

/// Time within which jobs arrive.
pub const WINDOW_MS: u64 = 6 * 3_600_000;

/// Time around a fault in which a late guaranteed start is counted apart: detection takes 3 s, a
/// lease ends within 31 s, and guaranteed blocks are reviewed within 10 s.
const FAULT_MARGIN_MS: u64 = 60_000;

/// A job with the truth about it.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time of submission.
    pub at_ms: u64,
    /// Job as submitted.
    pub spec: JobSpec,
    /// Work that every member really has to do.
    pub run_ms: u64,
    /// Share of its accelerators that the job really uses.
    pub use_ratio: f64,
    /// Whether the job fails wherever it runs.
    pub fails: bool,
    /// Whether a cancellation is sent, even if it comes too late.
    pub cancelled: bool,
}

impl Arrival {
    /// Returns whether the job is expected to complete, so that its time counts.
    pub const fn counts(&self) -> bool {
        !self.fails && !self.cancelled
    }
}

/// Something that happens to every policy alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Input {
    /// A job is submitted.
    Submit(usize),
    /// A job is cancelled.
    Cancel(usize),
    /// A worker's process dies.
    Down(usize),
    /// A worker starts again.
    Up(usize),
    /// A worker begins to fail everything that it starts.
    Fail(usize),
    /// A worker works again.
    Heal(usize),
}

/// Everything that happens to one data centre.
#[derive(Debug)]
pub struct Scenario {
    /// Jobs in the order of their arrival.
    pub jobs: Vec<Arrival>,
    /// Inputs in the order of their times.
    pub inputs: Vec<(u64, Input)>,
    /// Guaranteed blocks.
    pub blocks: Vec<(OrganisationName, SmallVec<[u32; 4]>)>,
    /// Times of faults, with the time after them in which guarantees recover.
    pub faults: Vec<(u64, u64)>,
    /// End of the arrivals.
    pub window_ms: u64,
}

impl Scenario {
    /// Builds the scenario of one data centre from a seed, at a load in shares of the capacity.
    pub fn new(user: User, seed: u64, data_centre: u64, load: f64, window_ms: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed * 16 + data_centre);
        let mut draft = Draft { rng, mix: Mix::of(user), window_ms, jobs: Vec::new() };
        draft.add_jobs(load);
        draft.jobs.sort_by_key(|job| job.at_ms);
        for (i, job) in draft.jobs.iter_mut().enumerate() {
            job.spec.name = super::name(&format!("job-{i}"));
        }
        let mut inputs = draft.cancel_waves();
        let faults = draft.add_faults(&mut inputs);
        let submits = draft.jobs.iter().enumerate().map(|(i, job)| (job.at_ms, Input::Submit(i)));
        inputs.extend(submits);
        inputs.sort_by_key(|(at_ms, _)| *at_ms);
        let blocks = draft.mix.guaranteed_blocks();
        Self { jobs: draft.jobs, inputs, blocks, faults, window_ms }
    }

    /// Returns whether no fault is near any time between two times.
    pub fn is_calm(&self, from_ms: u64, to_ms: u64) -> bool {
        self.faults.iter().all(|(start, end)| to_ms < *start || from_ms > *end)
    }

    /// Returns the work that the jobs bring, in accelerator milliseconds.
    pub fn offered_ms(&self) -> u64 {
        let runnable = self.jobs.iter().filter(|job| job.spec.invalid_reason().is_none());
        runnable.map(|job| job.run_ms * u64::from(job.spec.accelerators)).sum()
    }

    /// Returns the accelerator time of the window.
    pub fn capacity_ms(&self) -> u64 {
        self.window_ms * WORKERS as u64 * u64::from(WORKER_ACCELERATORS)
    }
}

/// A scenario that is being built.
struct Draft {
    rng: StdRng,
    mix: Mix,
    window_ms: u64,
    jobs: Vec<Arrival>,
}

impl Draft {
    /// Adds jobs of each kind until they bring its share of the load.
    fn add_jobs(&mut self, load: f64) {
        let capacity = self.window_ms as f64 * WORKERS as f64 * f64::from(WORKER_ACCELERATORS);
        for kind in self.mix.kinds {
            let wanted = capacity * load * kind.share;
            let mut brought = 0.0;
            while brought < wanted {
                brought += self.add_burst(kind);
            }
        }
        for _ in 0..self.mix.never_runnable {
            self.add_never_runnable();
        }
    }

    /// Adds one job, or a burst of jobs at nearly one time; returns the work that they bring.
    fn add_burst(&mut self, kind: &Kind) -> f64 {
        let (from, to) = kind.window;
        let at = self.rng.random_range(from..to) * self.window_ms as f64;
        let burst = self.rng.random_bool(kind.burst_chance);
        let count = if burst { self.rng.random_range(kind.burst.0..=kind.burst.1) } else { 1 };
        let organisation = kind.organisations[self.rng.random_range(0..kind.organisations.len())];
        let mut brought = 0.0;
        for _ in 0..count {
            let delay_ms = if burst { self.rng.random_range(0..2_000) } else { 0 };
            let at_ms = FIRST_ARRIVAL_MS + super::millis(at) + delay_ms;
            let job = self.job(kind, organisation, at_ms);
            brought += job.run_ms as f64 * f64::from(job.spec.accelerators);
            self.jobs.push(job);
        }
        brought
    }

    fn job(&mut self, kind: &Kind, organisation: &str, at_ms: u64) -> Arrival {
        let sizes = if kind.guaranteed { self.mix.blocks_of(organisation) } else { kind.sizes };
        let accelerators = sizes[self.rng.random_range(0..sizes.len())];
        let run_ms = super::millis(1_000.0 * self.log_uniform(kind.run_s));
        // A gang of most of a rack that cannot be stopped would not fit beside the guarantees.
        let can_checkpoint = accelerators >= 48 || self.rng.random_bool(kind.checkpoint_chance);
        let can_stop = can_checkpoint || self.rng.random_bool(kind.stop_chance);
        let spec = JobSpec {
            name: super::name("job"),
            organisation: super::name(organisation),
            service: super::name(self.mix.service),
            accelerators,
            guaranteed: kind.guaranteed,
            can_checkpoint,
            can_stop,
            kind: kind.name.to_owned(),
            declared_run_ms: self.declared_ms(kind, run_ms),
        };
        let use_ratio = self.rng.random_range(0.3..1.0);
        let fails = self.rng.random_bool(0.01);
        Arrival { at_ms, spec, run_ms, use_ratio, fails, cancelled: false }
    }

    fn log_uniform(&mut self, (from, to): (f64, f64)) -> f64 {
        self.rng.random_range(from.ln()..to.ln()).exp()
    }

    /// Declares a run time that is off by the habit of its kind, by chance, and sometimes absurd.
    fn declared_ms(&mut self, kind: &Kind, run_ms: u64) -> Option<u64> {
        let off = match self.rng.random_range(0..20) {
            0 | 1 => return None,
            2 => self.log_uniform((0.02, 50.0)),
            _ => kind.declared_ratio * self.log_uniform((0.5, 2.0)),
        };
        Some(super::millis(run_ms as f64 * off).max(1))
    }

    fn add_never_runnable(&mut self) {
        let kind = &self.mix.kinds[0];
        let at_ms = FIRST_ARRIVAL_MS + self.rng.random_range(0..self.window_ms);
        let mut job = self.job(kind, kind.organisations[0], at_ms);
        job.spec.accelerators = self.rng.random_range(65..200);
        self.jobs.push(job);
    }

    /// Cancels a share of the jobs that arrived lately, three times.
    fn cancel_waves(&mut self) -> Vec<(u64, Input)> {
        let mut inputs = Vec::new();
        for _ in 0..3 {
            let at_ms = FIRST_ARRIVAL_MS + self.rng.random_range(0..self.window_ms);
            for i in 0..self.jobs.len() {
                let recent = self.jobs[i].at_ms < at_ms && self.jobs[i].at_ms + 1_200_000 > at_ms;
                if recent && self.rng.random_bool(0.2) {
                    self.jobs[i].cancelled = true;
                    inputs.push((at_ms + self.rng.random_range(0..2_000), Input::Cancel(i)));
                }
            }
        }
        inputs
    }

    /// Lets workers be lost and return, and fail everything for a while.
    fn add_faults(&mut self, inputs: &mut Vec<(u64, Input)>) -> Vec<(u64, u64)> {
        let mut faults = Vec::new();
        // One slice of the window for each fault keeps two faults off one worker at once.
        let slices = 8;
        let slice_ms = self.window_ms / slices;
        for slice in 0..slices {
            let worker = self.rng.random_range(0..WORKERS);
            let from_ms = FIRST_ARRIVAL_MS + slice * slice_ms + slice_ms / 10;
            let fails = slice % 4 == 3;
            let longest_s = if fails { 1_200.0 } else { 600.0 };
            let away_ms = super::millis(1_000.0 * self.log_uniform((1.0, longest_s)));
            let to_ms = from_ms + away_ms.min(slice_ms * 8 / 10);
            let (start, end) = if fails {
                (Input::Fail(worker), Input::Heal(worker))
            } else {
                (Input::Down(worker), Input::Up(worker))
            };
            inputs.extend([(from_ms, start), (to_ms, end)]);
            faults.push((from_ms, to_ms + FAULT_MARGIN_MS));
        }
        faults
    }
}
