//! Conditions of a scenario that the scheduler is not told: speeds of hosts, slow spells, errors of
//! estimates, and images that slow each other down.

use std::collections::BTreeSet;
use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::load::{KINDS, Request, revise};
use super::scenario::Scenario;

/// Work done in a unit of time on a host of speed 1, in thousandths.
pub(super) const FULL_RATE: u64 = 1_000;

/// Speeds of the hosts, one third each, in thousandths.
const SPEEDS: [u64; 3] = [800, 1_000, 1_250];

/// Every fifth host becomes slow once.
const SPELL_EVERY: usize = 5;

/// Factor by which a host becomes slow, and for how long.
const SPELL_FACTOR: u64 = 3;
const SPELL_MS: u64 = 10_000;

/// The spells of the hosts begin one after the other within this time.
const SPELLS_WITHIN_MS: u64 = 30_000;

/// Factor by which two images slow each other down, in thousandths.
const NOISE_PERMILLE: u64 = 1_600;

/// Number of images among which one pair slows each other down.
const MANY_IMAGES: u32 = 12;

/// The two images that slow each other down.
const NOISY: [u32; 2] = [0, 1];

/// Share of the units that take much longer than others of their kind, and by what factor.
const LONG_CHANCE: f64 = 0.03;
const LONG_FACTOR: u64 = 7;

/// Added to the seed, so that the conditions do not change the submissions.
const SEED_OFFSET: u64 = 7_919;

/// Conditions of a scenario.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Conditions {
    /// Whether hosts differ in speed and some become slow for a while.
    speeds: bool,
    /// Largest error of the estimates of each kind, as a share of the actual run time.
    estimate_errors: Option<[f64; KINDS]>,
    /// Number of images, of which two slow each other down.
    images: u32,
    /// Whether some units take much longer than others of their kind.
    long_units: bool,
}

impl Conditions {
    pub(super) fn of(scenario: Scenario) -> Self {
        let none = Self::default();
        match scenario {
            Scenario::Speeds => Self { speeds: true, estimate_errors: Some([0.2; KINDS]), ..none },
            Scenario::WrongEstimates => {
                Self { estimate_errors: Some([0.9, 0.9, 0.2]), long_units: true, ..none }
            }
            Scenario::NoisyPair => Self { images: 2, estimate_errors: Some([0.2; KINDS]), ..none },
            Scenario::NoisyMany => {
                Self { images: MANY_IMAGES, estimate_errors: Some([0.2; KINDS]), ..none }
            }
            Scenario::HardLoad => Self {
                speeds: true,
                estimate_errors: Some([0.9, 0.9, 0.2]),
                images: MANY_IMAGES,
                long_units: true,
            },
            _ => none,
        }
    }

    /// Returns whether anything holds that the scheduler is not told.
    pub(super) const fn are_hidden(&self) -> bool {
        self.estimate_errors.is_some()
    }

    /// Applies the conditions to the submissions; `truthful` callers declare the actual run times.
    pub(super) fn revise_all(&self, requests: &mut [Request], seed: u64, truthful: bool) {
        let Some(errors) = self.estimate_errors else { return };
        let mut rng = StdRng::seed_from_u64(seed.wrapping_add(SEED_OFFSET));
        for request in requests {
            let error = errors[request.kind];
            let factor = rng.random_range(1.0 - error..1.0 + error);
            let image = (self.images > 0).then(|| image_name(rng.random_range(0..self.images)));
            for run_ms in &mut request.run_ms {
                if self.long_units && rng.random_bool(LONG_CHANCE) {
                    *run_ms *= LONG_FACTOR;
                }
            }
            if request.spec.steps[0].gang {
                // The members of a gang end together.
                let first_ms = request.run_ms[0];
                request.run_ms.fill(first_ms);
            }
            revise(request, if truthful { 1.0 } else { factor }, image);
        }
    }

    /// Returns the usual speed of a host and the one at a time, in thousandths.
    pub(super) const fn speeds(&self, host: usize, hosts: usize, at_ms: u64) -> (u64, u64) {
        if !self.speeds {
            return (FULL_RATE, FULL_RATE);
        }
        // The offset by rack keeps the hosts of a rack from having only some of the speeds.
        let speed = SPEEDS[(host + host / 8) % SPEEDS.len()];
        if host % SPELL_EVERY != SPELL_EVERY - 1 {
            return (speed, speed);
        }
        let from_ms = SPELLS_WITHIN_MS * host as u64 / hosts as u64;
        let is_slow = at_ms >= from_ms && at_ms < from_ms + SPELL_MS;
        (speed, if is_slow { speed / SPELL_FACTOR } else { speed })
    }

    /// Returns the two images that slow each other down, and the factor.
    pub(super) fn noisy_pair(&self) -> Option<(Arc<str>, Arc<str>, f64)> {
        let factor = NOISE_PERMILLE as f64 / 1_000.0;
        (self.images > 0).then(|| (image_name(NOISY[0]), image_name(NOISY[1]), factor))
    }

    /// Returns the rate of a task beside tasks of other images on a host, in thousandths.
    pub(super) fn rate_beside(
        image: Option<&Arc<str>>,
        others: Option<&BTreeSet<Arc<str>>>,
    ) -> u64 {
        let (Some(image), Some(others)) = (image, others) else { return FULL_RATE };
        let partner = match **image {
            ref name if *name == *image_name(NOISY[0]) => image_name(NOISY[1]),
            ref name if *name == *image_name(NOISY[1]) => image_name(NOISY[0]),
            _ => return FULL_RATE,
        };
        if others.contains(&partner) { FULL_RATE * 1_000 / NOISE_PERMILLE } else { FULL_RATE }
    }
}

fn image_name(number: u32) -> Arc<str> {
    format!("image-{number}").into()
}
