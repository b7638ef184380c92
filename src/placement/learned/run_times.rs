//! Run times of kinds of work, compared with what callers declare.
//!
//! Load pattern: callers of some kinds declare run times that are far off, and those of others know
//! them well. For each queue, a regression of the logarithm of the observed run time on that of the
//! declared one gives the caller's word the weight that it has earned: a slope of 1 follows it, one
//! of 0 ignores it. `scheduler::learning` averages the ratio of the two instead, which corrects a
//! common bias but not errors that differ from job to job.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::tasks::{Queue, StepSpec};

/// Longest run time that is believed: thirty days.
pub(super) const RUN_MAX_MS: u64 = 30 * 24 * 3_600 * 1_000;

/// Weight that older samples keep at each new one: about the last 200 count.
const KEEP_WEIGHT: f64 = 0.995;

/// Number of samples that the assumption of right estimates counts for, on average.
const PRIOR_SAMPLES: f64 = 4.0;

/// Spread of declared run times, as a sum of squares of logarithms, that the assumption counts for.
const PRIOR_SPREAD: f64 = 0.5;

/// Variance of the logarithm of a run time of which little is known; run times within a factor of
/// two of the expected one are usual.
const PRIOR_VARIANCE: f64 = 0.25;

/// Number of samples that the figures of the queue count for in those of an image and shape.
const SHAPE_PRIOR_SAMPLES: f64 = 8.0;

/// Largest deviation of a sample from the expected logarithm that counts in full, in standard
/// deviations, so that single very long runs do not shift the figures of their kind.
const DEVIATION_MAX: f64 = 3.0;

/// Maximum number of kinds with figures of their own; callers choose the images.
const KINDS_MAX: usize = 2_000;

/// Time after which figures without new samples are dropped.
const AGE_MAX_MS: u64 = 24 * 3_600 * 1_000;

/// Work whose tasks are expected to behave alike.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Kind {
    pub(crate) queue: Arc<str>,
    pub(crate) gang: bool,
    pub(crate) image: Option<Arc<str>>,
    /// Accelerators of each task.
    pub(crate) accelerators: u32,
}

impl Kind {
    pub(crate) fn of(queue: &Queue, step: &StepSpec) -> Self {
        Self {
            queue: Arc::clone(&queue.name),
            gang: step.gang,
            image: step.image.clone(),
            accelerators: step.need.accelerators,
        }
    }
}

/// A run time that is expected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ExpectedTime {
    pub(crate) run_ms: u64,
    /// Variance of its logarithm.
    pub(crate) variance: f64,
    /// Weight of the samples behind it.
    pub(crate) samples: f64,
}

/// Weighted moments of the logarithm of declared times and of the deviation of observed ones.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Regression {
    weight: f64,
    declared_mean: f64,
    deviation_mean: f64,
    declared_squares: f64,
    products: f64,
    residual_squares: f64,
    last_ms: u64,
}

impl Regression {
    /// Returns the change of the deviation with the declared time; the slope of the observed time
    /// itself is this plus 1.
    fn tilt(&self) -> f64 {
        (self.products / (self.declared_squares + PRIOR_SPREAD)).clamp(-1.0, 0.0)
    }

    /// Returns the expected logarithm of the run time; without a usable declared time, that of the
    /// usual one.
    fn expected_log(&self, declared_log: Option<f64>) -> f64 {
        let declared_log = declared_log.unwrap_or(self.declared_mean);
        let shrunk = self.deviation_mean * self.weight / (self.weight + PRIOR_SAMPLES);
        declared_log + shrunk + self.tilt() * (declared_log - self.declared_mean)
    }

    fn variance(&self) -> f64 {
        let prior = PRIOR_VARIANCE * PRIOR_SAMPLES;
        (self.residual_squares + prior) / (self.weight + PRIOR_SAMPLES)
    }

    fn add(&mut self, declared_log: f64, observed_log: f64, now_ms: u64) {
        if self.weight == 0.0 {
            self.declared_mean = declared_log;
        }
        let deviation_max = DEVIATION_MAX * self.variance().sqrt();
        let residual = observed_log - self.expected_log(Some(declared_log));
        let residual = residual.clamp(-deviation_max, deviation_max);
        let deviation = self.expected_log(Some(declared_log)) + residual - declared_log;
        self.declared_squares *= KEEP_WEIGHT;
        self.products *= KEEP_WEIGHT;
        self.residual_squares = self.residual_squares * KEEP_WEIGHT + residual * residual;
        self.weight = self.weight * KEEP_WEIGHT + 1.0;
        let declared_step = declared_log - self.declared_mean;
        self.declared_mean += declared_step / self.weight;
        self.deviation_mean += (deviation - self.deviation_mean) / self.weight;
        self.declared_squares += declared_step * (declared_log - self.declared_mean);
        self.products += declared_step * (deviation - self.deviation_mean);
        self.last_ms = now_ms;
    }
}

/// Deviation of an image and shape from the figures of its queue.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Offset {
    weight: f64,
    mean: f64,
    /// Share of the runs that failed by themselves.
    failed_share: f64,
    last_ms: u64,
}

/// Run times of kinds of work.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct RunTimes {
    queues: BTreeMap<(Arc<str>, bool), Regression>,
    kinds: BTreeMap<Kind, Offset>,
}

impl RunTimes {
    /// Returns the expected run time on an upstream of average speed.
    pub(super) fn expected(&self, kind: &Kind, declared_ms: u64) -> ExpectedTime {
        let unknown = ExpectedTime { run_ms: declared_ms, variance: PRIOR_VARIANCE, samples: 0.0 };
        let Some(regression) = self.queues.get(&(Arc::clone(&kind.queue), kind.gang)) else {
            return unknown;
        };
        let offset = self.kinds.get(kind).copied().unwrap_or_default();
        let shrunk = offset.mean * offset.weight / (offset.weight + SHAPE_PRIOR_SAMPLES);
        let expected_log = regression.expected_log(log_ms(declared_ms)) + shrunk;
        ExpectedTime {
            run_ms: whole_ms(expected_log.exp()),
            variance: regression.variance(),
            samples: regression.weight,
        }
    }

    /// Adds the observed run time of a unit on an upstream of average speed.
    ///
    /// Returns false if the declared or the observed time is not plausible; nothing is learned then.
    pub(super) fn add(
        &mut self,
        kind: &Kind,
        declared_ms: u64,
        observed_ms: u64,
        now_ms: u64,
    ) -> bool {
        let (Some(declared_log), Some(observed_log)) = (log_ms(declared_ms), log_ms(observed_ms))
        else {
            return false;
        };
        let key = (Arc::clone(&kind.queue), kind.gang);
        make_room(&mut self.queues, &key, |regression| regression.last_ms);
        let regression = self.queues.entry(key).or_default();
        regression.add(declared_log, observed_log, now_ms);
        let residual = observed_log - regression.expected_log(Some(declared_log));
        let deviation_max = DEVIATION_MAX * regression.variance().sqrt();
        let offset = self.offset(kind, now_ms);
        offset.weight = offset.weight * KEEP_WEIGHT + 1.0;
        let residual = residual.clamp(-deviation_max, deviation_max);
        offset.mean += (residual - offset.mean) / offset.weight;
        true
    }

    /// Records whether a run failed by itself.
    pub(super) fn add_end(&mut self, kind: &Kind, failed: bool, now_ms: u64) {
        let offset = self.offset(kind, now_ms);
        let weight = 1.0 - KEEP_WEIGHT;
        offset.failed_share += (f64::from(u8::from(failed)) - offset.failed_share) * weight;
    }

    /// Returns the share of the recent runs of a kind that failed by themselves.
    pub(super) fn failed_share(&self, kind: &Kind) -> f64 {
        self.kinds.get(kind).map_or(0.0, |offset| offset.failed_share)
    }

    /// Drops figures that are too old.
    pub(super) fn drop_old(&mut self, now_ms: u64) {
        let is_recent = |last_ms: u64| now_ms.saturating_sub(last_ms) <= AGE_MAX_MS;
        self.queues.retain(|_, regression| is_recent(regression.last_ms));
        self.kinds.retain(|_, offset| is_recent(offset.last_ms));
    }

    /// Returns the number of kinds with figures.
    pub(super) fn len(&self) -> usize {
        self.kinds.len()
    }

    fn offset(&mut self, kind: &Kind, now_ms: u64) -> &mut Offset {
        make_room(&mut self.kinds, kind, |offset| offset.last_ms);
        let offset = self.kinds.entry(kind.clone()).or_default();
        offset.last_ms = now_ms;
        offset
    }
}

/// Drops the entry that was unused for longest if there is no room for a new one.
pub(super) fn make_room<K: Ord + Clone, V>(
    entries: &mut BTreeMap<K, V>,
    key: &K,
    last_ms: impl Fn(&V) -> u64,
) {
    if entries.len() < KINDS_MAX || entries.contains_key(key) {
        return;
    }
    let oldest = entries.iter().min_by_key(|(_, entry)| last_ms(entry));
    if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
        entries.remove(&oldest);
    }
}

/// Returns the logarithm of a run time, or `None` if it is not plausible.
fn log_ms(run_ms: u64) -> Option<f64> {
    (1..=RUN_MAX_MS).contains(&run_ms).then(|| (run_ms as f64).ln())
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "bounded, and not negative"
)]
pub(super) fn whole_ms(value: f64) -> u64 {
    value.round().clamp(1.0, RUN_MAX_MS as f64) as u64
}
