//! Ratios of actual to declared run times and sizes, learned per organisation and kind of work.

use std::collections::BTreeMap;

use super::Scheduler;
use super::gang::Gang;
use super::job::JobSpec;
use crate::names::OrganisationName;

/// Weight of a new sample. Sixteen samples outweigh all earlier ones, and one outlier does not.
const SAMPLE_WEIGHT: f64 = 0.125;

/// Bounds of a sample, so that one wildly wrong declaration does not distort the ratio.
const SAMPLE_RANGE: (f64, f64) = (0.01, 100.0);

/// Largest number of kinds with ratios; callers choose the kinds and must not exhaust memory.
const KINDS_LIMIT: usize = 10_000;

/// Learned ratios of one kind of work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ratios {
    /// Logarithm of the ratio of actual to declared run time.
    run_log: f64,
    /// Share of its accelerators that the work uses.
    size: f64,
    samples: u32,
}

/// Ratios by organisation and kind of work.
#[derive(Debug, Default)]
pub struct LearnedRatios {
    kinds: BTreeMap<(OrganisationName, String), Ratios>,
}

impl LearnedRatios {
    fn add_sample(&mut self, spec: &JobSpec, run_ratio: f64, size: f64) {
        let key = (spec.organisation.clone(), spec.kind.clone());
        if !self.kinds.contains_key(&key) && self.kinds.len() >= KINDS_LIMIT {
            return;
        }
        let run_log = run_ratio.clamp(SAMPLE_RANGE.0, SAMPLE_RANGE.1).ln();
        let first = Ratios { run_log, size, samples: 0 };
        let ratios = self.kinds.entry(key).or_insert(first);
        ratios.run_log += SAMPLE_WEIGHT * (run_log - ratios.run_log);
        ratios.size += SAMPLE_WEIGHT * (size - ratios.size);
        ratios.samples = ratios.samples.saturating_add(1);
    }

    /// Returns the learned ratio of actual to declared run time, 1 if nothing is known.
    pub fn run_ratio(&self, spec: &JobSpec) -> f64 {
        self.ratios(spec).map_or(1.0, |ratios| ratios.run_log.exp())
    }

    /// Returns the share of its accelerators that work of this kind uses, if it is known.
    pub fn size_ratio(&self, spec: &JobSpec) -> Option<f64> {
        self.ratios(spec).map(|ratios| ratios.size)
    }

    fn ratios(&self, spec: &JobSpec) -> Option<&Ratios> {
        self.kinds.get(&(spec.organisation.clone(), spec.kind.clone()))
    }
}

impl Scheduler {
    /// Adds a sample from a gang that completed.
    pub(super) fn learn_from_gang(&mut self, gang: &Gang, now_ms: u64) {
        let Some(job) = self.jobs.get(&gang.job) else { return };
        let (Some(declared_ms), Some(started_ms)) = (job.spec.declared_run_ms, gang.started_ms)
        else {
            return;
        };
        let ran_ms = now_ms.saturating_sub(started_ms).max(1);
        let held_ms = ran_ms * u64::from(job.spec.accelerators);
        // Without a usage report, all declared accelerators count as used.
        let size = if gang.used_ms == 0 { 1.0 } else { gang.used_ms as f64 / held_ms as f64 };
        self.learned.add_sample(
            &job.spec,
            ran_ms as f64 / declared_ms.max(1) as f64,
            size.min(1.0),
        );
    }

    /// Returns the expected run time of a job, from its declaration and the learned ratio.
    pub(super) fn expected_run_ms(&self, spec: &JobSpec) -> Option<u64> {
        let declared_ms = spec.declared_run_ms?;
        let expected_ms = declared_ms as f64 * self.learned.run_ratio(spec);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the product of positive numbers saturates"
        )]
        Some(expected_ms as u64)
    }
}
