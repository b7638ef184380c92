//! Pairs of images whose tasks slow each other down on one upstream.
//!
//! Load pattern: two services that compete for a resource that nobody declares, such as memory
//! bandwidth. The pace of runs of one image beside the other is compared with the pace of those that
//! are not beside it, so neither a wrong estimate nor a slow upstream is taken for a noisy neighbour.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::run_times::make_room;

/// Weight that older samples keep at each new one: about the last 200 count.
const KEEP_WEIGHT: f64 = 0.995;

/// Smallest number of runs of an image beside the other one before a slow-down is believed.
const SAMPLES_MIN: f64 = 8.0;

/// Smallest slow-down that is worth avoiding, as a logarithm: a sixth.
const SLOWDOWN_MIN: f64 = 0.15;

/// Number of standard errors by which a slow-down must differ from none. With a few hundred pairs, one in a
/// thousand of which looks like this by chance, a false pair is rare.
const STANDARD_ERRORS_MIN: f64 = 3.5;

/// Largest deviation of one run that is believed, as a logarithm.
const DEVIATION_MAX: f64 = 1.5;

/// Two images, in the order of their names.
type Pair = (Arc<str>, Arc<str>);

/// Mean and spread of deviations.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Deviations {
    weight: f64,
    mean: f64,
    squares: f64,
    last_ms: u64,
}

impl Deviations {
    fn add(&mut self, deviation: f64, now_ms: u64) {
        let deviation = deviation.clamp(-DEVIATION_MAX, DEVIATION_MAX);
        self.weight = self.weight * KEEP_WEIGHT + 1.0;
        let step = deviation - self.mean;
        self.mean += step / self.weight;
        self.squares = self.squares * KEEP_WEIGHT + step * (deviation - self.mean);
        self.last_ms = now_ms;
    }

    /// Returns the squared standard error of the mean.
    fn error(&self) -> f64 {
        self.squares / self.weight.max(1.0) / self.weight.max(1.0)
    }
}

/// Slow-downs by pair of images.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Interference {
    /// Paces of the runs of one image of a pair beside the other, and apart from it.
    pairs: BTreeMap<Pair, [Deviations; 2]>,
    /// Pairs that slow each other down, with the logarithm of the factor.
    known: BTreeMap<Pair, f64>,
    /// Images that were seen, and when.
    images: BTreeMap<Arc<str>, u64>,
}

/// Maximum number of images whose pairs are followed; the pairs grow with its square.
const IMAGES_MAX: usize = 40;

/// Time after which an image that was not seen is forgotten.
const IMAGE_AGE_MS: u64 = 3_600_000;

impl Interference {
    /// Adds the pace of a run compared with the expected one, as a logarithm, negative if it was slow.
    pub(super) fn add(
        &mut self,
        image: &Arc<str>,
        (always_beside, ever_beside): (&BTreeSet<Arc<str>>, &BTreeSet<Arc<str>>),
        deviation: f64,
        now_ms: u64,
    ) {
        if !self.follows(image, now_ms) {
            return;
        }
        // Part of the deviation is explained by the other pairs that are known.
        let others: Vec<Arc<str>> = self.images.keys().cloned().collect();
        for other in others {
            let is_beside = always_beside.contains(&other);
            if !is_beside && ever_beside.contains(&other) {
                continue;
            }
            let explained: f64 = always_beside
                .iter()
                .filter(|beside| **beside != other)
                .filter_map(|beside| self.known.get(&pair(image, beside)))
                .sum();
            let key = pair(image, &other);
            make_room(&mut self.pairs, &key, |[beside, apart]| beside.last_ms.max(apart.last_ms));
            let both = self.pairs.entry(key.clone()).or_default();
            both[usize::from(!is_beside)].add(deviation + explained, now_ms);
            match slowdown(both) {
                Some(log) => _ = self.known.insert(key, log),
                None => _ = self.known.remove(&key),
            }
        }
    }

    /// Returns by how much a task of an image is slowed down beside other images, as a logarithm.
    pub(super) fn slowdown_log<'a>(
        &self,
        image: Option<&Arc<str>>,
        beside: impl Iterator<Item = &'a Arc<str>>,
    ) -> f64 {
        let Some(image) = image.filter(|_| !self.known.is_empty()) else { return 0.0 };
        beside.filter_map(|other| self.known.get(&pair(image, other))).sum()
    }

    /// Returns the pairs that slow each other down, with the factor.
    pub(super) fn known(&self) -> impl Iterator<Item = (&Pair, f64)> {
        self.known.iter().map(|(pair, log)| (pair, log.exp()))
    }

    pub(super) fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Sets a known pair; replays with a scheduler that knows all use it.
    pub(super) fn assume(&mut self, one: &Arc<str>, other: &Arc<str>, factor: f64) {
        self.known.insert(pair(one, other), factor.ln());
    }

    fn follows(&mut self, image: &Arc<str>, now_ms: u64) -> bool {
        if self.images.len() >= IMAGES_MAX && !self.images.contains_key(image) {
            let is_recent = |seen_ms: u64| now_ms.saturating_sub(seen_ms) <= IMAGE_AGE_MS;
            self.images.retain(|_, seen_ms| is_recent(*seen_ms));
            let images = &self.images;
            let is_followed =
                |(one, other): &Pair| images.contains_key(one) && images.contains_key(other);
            self.pairs.retain(|pair, _| is_followed(pair));
            self.known.retain(|pair, _| is_followed(pair));
        }
        let follows = self.images.len() < IMAGES_MAX || self.images.contains_key(image);
        if follows {
            self.images.insert(Arc::clone(image), now_ms);
        }
        follows
    }
}

fn pair(one: &Arc<str>, other: &Arc<str>) -> Pair {
    let (first, second) = if one <= other { (one, other) } else { (other, one) };
    (Arc::clone(first), Arc::clone(second))
}

/// Returns the logarithm of the slow-down of a pair, if there certainly is one.
fn slowdown([beside, apart]: &[Deviations; 2]) -> Option<f64> {
    let slower = apart.mean - beside.mean;
    let error = (beside.error() + apart.error()).sqrt();
    let is_certain = beside.weight >= SAMPLES_MIN
        && apart.weight >= SAMPLES_MIN
        && slower >= SLOWDOWN_MIN
        && slower >= STANDARD_ERRORS_MIN * error;
    is_certain.then_some(slower)
}
