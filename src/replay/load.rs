//! Kinds of jobs, their sizes and run times, and the configuration that they run under.

mod short_gangs;

use std::sync::Arc;

use bytes::Bytes;
use rand::RngExt;
use rand::rngs::StdRng;

use self::short_gangs::SHORT_GANGS;
use super::pressure::flood;
use super::scenario::{SUBMISSION_MS, Scenario};
use crate::placement::{critical_path_ms, objective_ms};
use crate::tasks::{
    Change, Configuration, FrontLimits, JobSpec, Organisation, Queue, Resources, StepSpec,
    WorkerService,
};

/// Number of kinds of jobs, one for each queue.
pub(super) const KINDS: usize = 3;

/// Service that all hosts belong to.
pub(super) const SERVICE: &str = "pool";

const ORGANISATIONS: [(&str, u32, u32); 4] =
    [("large-a", 4, 96), ("large-b", 3, 72), ("small-a", 1, 24), ("small-b", 1, 0)];

/// Step of the generator of submissions.
const GENERATOR_STEP_MS: u64 = 10;

/// Share of the tasks of badly estimated kinds that take far longer, and how much longer.
const LONG_CHANCE: f64 = 0.03;
const LONG_FACTOR: f64 = 7.0;

/// Smallest run time as a share of the estimate.
const SHORTEST_SHARE: f64 = 0.1;

/// A kind of job.
#[derive(Debug)]
pub(super) struct Kind {
    pub(super) queue: &'static str,
    priority: u32,
    per_s: f64,
    gang: bool,
    /// Median and largest number of tasks.
    tasks: (f64, u32),
    cpu_millicores: u32,
    accelerators: &'static [u32],
    run_ms: f64,
    slack_permille: u64,
    target_ms: u64,
    checkpoint_chance: f64,
    /// Largest error of the callers' estimates, as a share; `None` for small random errors.
    estimate_error: Option<f64>,
}

/// The kinds, by priority: short urgent gangs, large gangs, and wide jobs of single tasks.
pub(super) const MIX: [Kind; KINDS] = [
    Kind {
        queue: "urgent",
        priority: 0,
        per_s: 1.9,
        gang: true,
        tasks: (2.4, 8),
        cpu_millicores: 15_000,
        accelerators: &[1, 2, 4, 8],
        run_ms: 2_500.0,
        slack_permille: 1_500,
        target_ms: 500,
        checkpoint_chance: 0.0,
        estimate_error: None,
    },
    Kind {
        queue: "normal",
        priority: 1,
        per_s: 0.8,
        gang: true,
        tasks: (3.9, 30),
        cpu_millicores: 52_000,
        accelerators: &[1, 2, 4, 8, 8],
        run_ms: 7_000.0,
        slack_permille: 3_000,
        target_ms: 1_200,
        checkpoint_chance: 0.45,
        estimate_error: None,
    },
    Kind {
        queue: "batch",
        priority: 2,
        per_s: 0.75,
        gang: false,
        tasks: (16.0, 60),
        cpu_millicores: 11_000,
        accelerators: &[1],
        run_ms: 6_500.0,
        slack_permille: 3_000,
        target_ms: 3_000,
        checkpoint_chance: 0.45,
        estimate_error: None,
    },
];

/// A job that a caller submits, with facts that the scheduler does not know.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) at_ms: u64,
    pub(super) kind: usize,
    pub(super) organisation: &'static str,
    pub(super) spec: Arc<JobSpec>,
    /// Actual run time of each task, without interruptions.
    pub(super) run_ms: Vec<u64>,
    /// Time within which the caller wants the result.
    pub(super) objective_ms: u64,
}

impl Request {
    /// Returns the work in core-equivalent seconds.
    pub(super) fn work_core_s(&self) -> f64 {
        let step = &self.spec.steps[0];
        let weight_cores = step.need.weight_millicores() as f64 / 1_000.0;
        self.run_ms.iter().sum::<u64>() as f64 / 1_000.0 * weight_cores
    }
}

/// Returns the submissions of a scenario, multiplied by `scale`, in the order of their times.
pub(super) fn requests(scenario: Scenario, scale: f64, rng: &mut StdRng) -> Vec<Request> {
    let mix = if scenario.has_short_gangs() { &SHORT_GANGS } else { &MIX };
    let mut requests = Vec::new();
    for at_ms in (0..SUBMISSION_MS).step_by(usize::try_from(GENERATOR_STEP_MS).unwrap_or(1)) {
        let rates = scenario.rates(at_ms);
        for (kind, rate) in (0..).zip(rates) {
            if is_submitted(&mix[kind], rate * scale, rng) {
                requests.push(request(at_ms, kind, &mix[kind], rng));
            }
        }
        let Some(flood) = flood(scenario, at_ms) else { continue };
        for (kind, rate) in (0..).zip(flood.rates) {
            if is_submitted(&mix[kind], rate * scale, rng) {
                let organisation = flood.organisation;
                requests.push(Request { organisation, ..request(at_ms, kind, &mix[kind], rng) });
            }
        }
    }
    requests
}

/// Returns whether a job of a kind is submitted within a step of the generator.
fn is_submitted(kind: &Kind, rate: f64, rng: &mut StdRng) -> bool {
    let chance = kind.per_s * rate * GENERATOR_STEP_MS as f64 / 1_000.0;
    rng.random_bool(chance.min(1.0))
}

fn request(at_ms: u64, number: usize, kind: &Kind, rng: &mut StdRng) -> Request {
    let estimate_ms = whole(kind.run_ms * spread(0.3, rng));
    let tasks = u32::try_from(whole(kind.tasks.0 * spread(0.7, rng))).unwrap_or(1);
    let tasks = tasks.clamp(1, kind.tasks.1);
    let step = StepSpec {
        tasks,
        need: Resources {
            cpu_millicores: kind.cpu_millicores,
            memory_mb: 20_000,
            accelerators: kind.accelerators[rng.random_range(0..kind.accelerators.len())],
        },
        estimate_ms,
        checkpoints: rng.random_bool(kind.checkpoint_chance),
        gang: kind.gang,
        same_rack: kind.gang,
        ..StepSpec::default()
    };
    let spec = JobSpec { payload: "work".into(), steps: vec![step], repeat: None };
    let actual_ms = match kind.estimate_error {
        None => estimate_ms as f64 * spread(0.2, rng),
        Some(error) => badly_estimated_ms(estimate_ms as f64, error, rng),
    };
    let mut run_ms: Vec<u64> =
        (0..tasks).map(|_| whole(actual_ms * rng.random_range(0.8..1.2))).collect();
    if kind.gang {
        // The members of a gang end together.
        run_ms.fill(whole(actual_ms));
    }
    let path_ms = critical_path_ms(&spec, |step| match kind.estimate_error {
        None => step.estimate_ms,
        Some(_) => whole(actual_ms),
    });
    let objective_ms = objective_ms(&queue(kind), path_ms);
    let total: u32 = ORGANISATIONS.iter().map(|(_, share, _)| share).sum();
    let mut drawn = rng.random_range(0..total);
    let organisation = ORGANISATIONS.iter().find(|(_, share, _)| {
        let found = drawn < *share;
        drawn = drawn.saturating_sub(*share);
        found
    });
    let organisation = organisation.map_or(ORGANISATIONS[0].0, |(name, ..)| *name);
    Request { at_ms, kind: number, organisation, spec: Arc::new(spec), run_ms, objective_ms }
}

/// Returns the run time of work whose estimate is off by up to a share.
fn badly_estimated_ms(estimate_ms: f64, error: f64, rng: &mut StdRng) -> f64 {
    let share = rng.random_range(1.0 - error..1.0 + error).max(SHORTEST_SHARE);
    let long = if rng.random_bool(LONG_CHANCE) { LONG_FACTOR } else { 1.0 };
    estimate_ms * share * long
}

/// Returns a log-normal factor with median 1.
fn spread(sigma: f64, rng: &mut StdRng) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    (normal * sigma).exp()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "sizes and times of a load are small and not negative"
)]
fn whole(value: f64) -> u64 {
    value.round().max(1.0) as u64
}

fn queue(kind: &Kind) -> Queue {
    Queue {
        name: kind.queue.into(),
        host: "jobs.example".into(),
        path_prefix: format!("/{}/", kind.queue).into(),
        timeout_ms: 3_000,
        target_ms: kind.target_ms,
        priority: kind.priority,
        service: SERVICE.into(),
        attempts_max: 4,
        slack_permille: kind.slack_permille,
        public: false,
        advice: None,
    }
}

/// Returns the command that sets the configuration of the replays.
pub(super) fn configuration() -> Change {
    let organisation = |(name, _, accelerators): &(&str, u32, u32)| Organisation {
        name: (*name).into(),
        keys: vec![format!("key-of-{name}").into()],
        priority: 0,
        guaranteed: Resources { accelerators: *accelerators, ..Resources::default() },
        weight: Organisation::DEFAULT_WEIGHT,
    };
    let service = WorkerService { name: SERVICE.into(), guards_capacity: true, standby: false };
    let configuration = Configuration {
        version: 1,
        queues: MIX.iter().map(queue).collect(),
        services: vec![service],
        organisations: ORGANISATIONS.iter().map(organisation).collect(),
        limits: FrontLimits {
            header_bytes: 16_384,
            body_bytes: 262_144,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
    };
    Change::SetConfiguration { configuration: Arc::new(configuration), raw: Bytes::new() }
}
