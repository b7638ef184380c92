//! The seeded load and faults of one data centre, the same for every policy.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use smallvec::SmallVec;

use super::mix::{JobKind, JobMix, User};
use crate::names::OrganisationName;
use crate::scheduler::JobSpec;

/// Number of workers in a data centre.
pub const WORKERS: usize = 16;

/// Number of workers in a rack.
pub const RACK_WORKERS: usize = 8;

/// Number of accelerators of a worker.
pub const WORKER_ACCELERATORS: u32 = 8;

/// Earliest time of an arrival; the upstreams are known and the document is in force by then.
pub const FIRST_ARRIVAL_MS: u64 = 10_000;

/// Length of the window in which jobs arrive.
pub const WINDOW_MS: u64 = 6 * 3_600_000;

/// Time after a fault in which late starts of guaranteed work are counted separately. Detection
/// takes 3 s, a lease ends within 31 s, and guaranteed blocks are reviewed within 10 s.
const FAULT_MARGIN_MS: u64 = 60_000;

/// A job with its actual behaviour, which the scheduler does not know.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time of submission.
    pub at_ms: u64,
    /// Job as submitted.
    pub spec: JobSpec,
    /// Actual run time of every member without interruption.
    pub run_ms: u64,
    /// Share of its accelerator time that the job actually uses.
    pub use_ratio: f64,
    /// Whether the job fails wherever it runs.
    pub fails: bool,
    /// Whether a cancellation is sent, even if it arrives after the end.
    pub cancelled: bool,
}

impl Arrival {
    /// Returns whether the job is expected to complete and counts for the completion times.
    pub const fn should_complete(&self) -> bool {
        !self.fails && !self.cancelled
    }
}

/// An external event, the same for every policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Input {
    /// A job is submitted.
    Submit(usize),
    /// A job is cancelled.
    Cancel(usize),
    /// The process of a worker ends.
    Down(usize),
    /// A worker starts again.
    Up(usize),
    /// A worker begins to fail all members that it starts.
    Fail(usize),
    /// A worker no longer fails its members.
    Recover(usize),
}

/// Load and faults of one data centre.
#[derive(Debug)]
pub struct Scenario {
    /// Jobs in the order of their arrival.
    pub jobs: Vec<Arrival>,
    /// Inputs in the order of their times.
    pub inputs: Vec<(u64, Input)>,
    /// Sizes of the guaranteed blocks of each organisation.
    pub blocks: Vec<(OrganisationName, SmallVec<[u32; 4]>)>,
    /// Start and end of each fault, including the time after it in which guarantees recover.
    pub faults: Vec<(u64, u64)>,
    /// Length of the window in which jobs arrive.
    pub window_ms: u64,
}

impl Scenario {
    /// Builds the scenario of one data centre from a seed; `load` is a share of the capacity.
    pub fn new(user: User, seed: u64, data_centre: u64, load: f64, window_ms: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed * 16 + data_centre);
        let mut builder =
            ScenarioBuilder { rng, mix: JobMix::of(user), window_ms, jobs: Vec::new() };
        builder.add_jobs(load);
        builder.jobs.sort_by_key(|job| job.at_ms);
        for (i, job) in builder.jobs.iter_mut().enumerate() {
            job.spec.name = super::parse_name(&format!("job-{i}"));
        }
        let mut inputs = builder.add_cancellations();
        let faults = builder.add_faults(&mut inputs);
        let submits = builder.jobs.iter().enumerate().map(|(i, job)| (job.at_ms, Input::Submit(i)));
        inputs.extend(submits);
        inputs.sort_by_key(|(at_ms, _)| *at_ms);
        let blocks = builder.mix.guaranteed_blocks();
        Self { jobs: builder.jobs, inputs, blocks, faults, window_ms }
    }

    /// Returns whether no fault, including the recovery after it, overlaps a period.
    pub fn is_fault_free(&self, from_ms: u64, to_ms: u64) -> bool {
        self.faults.iter().all(|(start, end)| to_ms < *start || from_ms > *end)
    }

    /// Returns the work of the valid jobs, in accelerator milliseconds.
    pub fn offered_ms(&self) -> u64 {
        let valid = self.jobs.iter().filter(|job| job.spec.invalid_reason().is_none());
        valid.map(|job| job.run_ms * u64::from(job.spec.accelerators)).sum()
    }

    /// Returns the capacity within the window, in accelerator milliseconds.
    pub fn capacity_ms(&self) -> u64 {
        self.window_ms * WORKERS as u64 * u64::from(WORKER_ACCELERATORS)
    }
}

/// State of a scenario under construction.
struct ScenarioBuilder {
    rng: StdRng,
    mix: JobMix,
    window_ms: u64,
    jobs: Vec<Arrival>,
}

impl ScenarioBuilder {
    /// Adds jobs of each kind until their work reaches its share of the load.
    fn add_jobs(&mut self, load: f64) {
        let capacity_ms = self.window_ms as f64 * WORKERS as f64 * f64::from(WORKER_ACCELERATORS);
        for kind in self.mix.kinds {
            let target_ms = capacity_ms * load * kind.share;
            let mut added_ms = 0.0;
            while added_ms < target_ms {
                added_ms += self.add_arrival(kind);
            }
        }
        for _ in 0..self.mix.never_runnable {
            self.add_never_runnable();
        }
    }

    /// Adds one job, or a burst of jobs within 2 s. Returns their work in accelerator milliseconds.
    fn add_arrival(&mut self, kind: &JobKind) -> f64 {
        let (from, to) = kind.arrival_window;
        let arrival_at_ms = self.rng.random_range(from..to) * self.window_ms as f64;
        let is_burst = self.rng.random_bool(kind.burst_chance);
        let count =
            if is_burst { self.rng.random_range(kind.burst_jobs.0..=kind.burst_jobs.1) } else { 1 };
        let organisation = kind.organisations[self.rng.random_range(0..kind.organisations.len())];
        let mut added_ms = 0.0;
        for _ in 0..count {
            let delay_ms = if is_burst { self.rng.random_range(0..2_000) } else { 0 };
            let at_ms = FIRST_ARRIVAL_MS + super::whole_ms(arrival_at_ms) + delay_ms;
            let job = self.random_job(kind, organisation, at_ms);
            added_ms += job.run_ms as f64 * f64::from(job.spec.accelerators);
            self.jobs.push(job);
        }
        added_ms
    }

    fn random_job(&mut self, kind: &JobKind, organisation: &str, at_ms: u64) -> Arrival {
        let sizes = if kind.guaranteed { self.mix.blocks_of(organisation) } else { kind.sizes };
        let accelerators = sizes[self.rng.random_range(0..sizes.len())];
        let run_ms = super::whole_ms(1_000.0 * self.log_uniform(kind.run_s));
        // A gang that takes most of a rack and cannot be stopped would not fit beside the
        // guaranteed blocks, so such jobs can always write checkpoints.
        let can_checkpoint = accelerators >= 48 || self.rng.random_bool(kind.checkpoint_chance);
        let can_stop = can_checkpoint || self.rng.random_bool(kind.stop_chance);
        let spec = JobSpec {
            name: super::parse_name("job"),
            organisation: super::parse_name(organisation),
            service: super::parse_name(self.mix.service),
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

    /// Returns the declared run time: none for 10% of the jobs, `run_ms` times 0.02 to 50 for 5%,
    /// and otherwise `run_ms` times the ratio of the kind and a random factor.
    fn declared_ms(&mut self, kind: &JobKind, run_ms: u64) -> Option<u64> {
        let factor = match self.rng.random_range(0..20) {
            0 | 1 => return None,
            2 => self.log_uniform((0.02, 50.0)),
            _ => kind.declared_ratio * self.log_uniform((0.5, 2.0)),
        };
        Some(super::whole_ms(run_ms as f64 * factor).max(1))
    }

    fn add_never_runnable(&mut self) {
        let kind = &self.mix.kinds[0];
        let at_ms = FIRST_ARRIVAL_MS + self.rng.random_range(0..self.window_ms);
        let mut job = self.random_job(kind, kind.organisations[0], at_ms);
        job.spec.accelerators = self.rng.random_range(65..200);
        self.jobs.push(job);
    }

    /// Cancels 20% of the jobs that arrived within the last 20 minutes, at three random times.
    fn add_cancellations(&mut self) -> Vec<(u64, Input)> {
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

    /// Adds losses of workers and periods in which a worker fails all members; returns the times.
    fn add_faults(&mut self, inputs: &mut Vec<(u64, Input)>) -> Vec<(u64, u64)> {
        let mut faults = Vec::new();
        // Each fault ends within its own slice of the window, so that no two hit a worker at once.
        let slices = 8;
        let slice_ms = self.window_ms / slices;
        for slice in 0..slices {
            let worker = self.rng.random_range(0..WORKERS);
            let from_ms = FIRST_ARRIVAL_MS + slice * slice_ms + slice_ms / 10;
            let fails = slice % 4 == 3;
            let longest_s = if fails { 1_200.0 } else { 600.0 };
            let fault_ms = super::whole_ms(1_000.0 * self.log_uniform((1.0, longest_s)));
            let to_ms = from_ms + fault_ms.min(slice_ms * 8 / 10);
            let (start, end) = if fails {
                (Input::Fail(worker), Input::Recover(worker))
            } else {
                (Input::Down(worker), Input::Up(worker))
            };
            inputs.extend([(from_ms, start), (to_ms, end)]);
            faults.push((from_ms, to_ms + FAULT_MARGIN_MS));
        }
        faults
    }
}
