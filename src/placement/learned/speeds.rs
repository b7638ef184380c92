//! Speeds of upstreams relative to the others of their service, and slow spells.
//!
//! Load pattern: upstreams of several generations, of which some become several times slower for a
//! while. The pace of a run is compared with the expected run time of its kind, which differs from job
//! to job, so a speed is believed only as far as the number of runs allows. A slow spell shows at once in
//! runs that become slower than they were themselves, which does not depend on any estimate.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::tasks::Incarnation;

/// Variance of the logarithms of speeds within a service: a quarter faster or slower is usual.
const PRIOR_VARIANCE: f64 = 0.05;

/// Weight that older samples keep at each new one: about the last 50 runs count.
const KEEP_WEIGHT: f64 = 0.98;

/// Largest deviation of one run that is believed, as a logarithm.
const DEVIATION_MAX: f64 = 1.5;

/// Variance of the recent pace of an upstream's runs before anything is known of it.
const RECENT_PRIOR_VARIANCE: f64 = 0.1;

/// Time in which the evidence of the recent pace fades to a third.
const RECENT_MS: f64 = 1_000.0;

/// Logarithm of the pace below which a spell begins: 0.55. Two images that slow each other down
/// seldom reach this, and a spell that matters does.
const SPELL_BEGINS: f64 = -0.6;

/// Logarithm of the pace above which a spell is over: 0.75.
const SPELL_ENDS: f64 = -0.29;

/// Figures of one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Speed {
    born_unix_ms: u64,
    /// Precision of the samples, and their sum weighted by it.
    precision: f64,
    sum: f64,
    /// The same of the recent pace compared with the usual one.
    recent_precision: f64,
    recent_sum: f64,
    recent_ms: u64,
    is_slow: bool,
}

impl Speed {
    fn log(&self) -> f64 {
        self.sum / (self.precision + 1.0 / PRIOR_VARIANCE)
    }

    fn recent_log(&self, now_ms: u64) -> f64 {
        let fading = (-(now_ms.saturating_sub(self.recent_ms) as f64) / RECENT_MS).exp();
        let prior = 1.0 / RECENT_PRIOR_VARIANCE;
        self.recent_sum * fading / (self.recent_precision * fading + prior)
    }

    fn is_slow(&self, now_ms: u64) -> bool {
        self.is_slow && self.recent_log(now_ms) < SPELL_ENDS
    }
}

/// Speed of an upstream as far as it is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct KnownSpeed {
    /// Factor relative to the upstreams of its service, apart from a spell.
    pub(crate) factor: f64,
    /// Share of what could be known that is known, from 0 to 1.
    pub(crate) certainty: f64,
    /// Whether it has become slow for a while.
    pub(crate) is_slow: bool,
    /// Factor of the recent pace; 1 outside of spells.
    pub(crate) recent: f64,
}

/// Speed of an upstream of which nothing is known.
const UNKNOWN: KnownSpeed = KnownSpeed { factor: 1.0, certainty: 0.0, is_slow: false, recent: 1.0 };

/// A change of an upstream's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SpellChange {
    Began,
    Ended,
}

/// Speeds of upstreams, by name; the leader drops those that are no longer registered.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Speeds {
    upstreams: BTreeMap<Arc<str>, Speed>,
}

impl Speeds {
    pub(super) fn get(&self, upstream: &Incarnation, now_ms: u64) -> KnownSpeed {
        let known = self.upstreams.get(&upstream.id);
        let Some(speed) = known.filter(|speed| speed.born_unix_ms == upstream.born_unix_ms) else {
            return UNKNOWN;
        };
        let is_slow = speed.is_slow(now_ms);
        KnownSpeed {
            factor: speed.log().exp(),
            certainty: speed.precision / (speed.precision + 1.0 / PRIOR_VARIANCE),
            is_slow,
            recent: if is_slow { speed.recent_log(now_ms).exp() } else { 1.0 },
        }
    }

    /// Adds the pace of a whole run compared with the expected one, as a logarithm with its variance.
    ///
    /// A gang advances at the pace of its slowest member, so the sample counts for the upstreams that
    /// are taken for the slowest.
    pub(super) fn add_run(
        &mut self,
        upstreams: &[Incarnation],
        (deviation, variance): (f64, f64),
        now_ms: u64,
    ) {
        let log = |upstream: &Incarnation| self.get(upstream, now_ms).factor.ln();
        let slowest = upstreams.iter().map(log).fold(f64::INFINITY, f64::min);
        // Speeds that differ by less than this can't be told apart after some runs.
        let is_slowest = |upstream: &&Incarnation| log(upstream) <= slowest + 0.05;
        let slow: Vec<Incarnation> = upstreams.iter().filter(is_slowest).cloned().collect();
        let precision = 1.0 / variance / slow.len().max(1) as f64;
        for upstream in slow {
            let speed = self.entry(&upstream);
            let deviation = deviation.clamp(-DEVIATION_MAX, DEVIATION_MAX);
            speed.precision = speed.precision * KEEP_WEIGHT + precision;
            speed.sum = speed.sum * KEEP_WEIGHT + deviation * precision;
        }
    }

    /// Adds the recent pace of a run compared with the usual one, as a logarithm with its variance.
    pub(super) fn add_recent(
        &mut self,
        upstream: &Incarnation,
        (deviation, variance): (f64, f64),
        now_ms: u64,
    ) -> Option<SpellChange> {
        let speed = self.entry(upstream);
        let before = speed.is_slow(now_ms);
        let passed_ms = now_ms.saturating_sub(speed.recent_ms) as f64;
        let fading = (-passed_ms / RECENT_MS).exp();
        let deviation = deviation.clamp(-DEVIATION_MAX, DEVIATION_MAX);
        speed.recent_precision = speed.recent_precision * fading + 1.0 / variance;
        speed.recent_sum = speed.recent_sum * fading + deviation / variance;
        speed.recent_ms = now_ms;
        let pace = speed.recent_log(now_ms);
        speed.is_slow = if before { pace < SPELL_ENDS } else { pace < SPELL_BEGINS };
        match (before, speed.is_slow) {
            (false, true) => Some(SpellChange::Began),
            (true, false) => Some(SpellChange::Ended),
            _ => None,
        }
    }

    /// Forgets upstreams that are gone.
    pub(super) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.upstreams.retain(|id, _| is_known(id));
    }

    /// Returns the number of upstreams that are in a slow spell.
    pub(super) fn slow(&self, now_ms: u64) -> usize {
        self.upstreams.values().filter(|speed| speed.is_slow(now_ms)).count()
    }

    /// Returns whether any upstream is in a slow spell.
    pub(super) fn any_slow(&self, now_ms: u64) -> bool {
        self.upstreams.values().any(|speed| speed.is_slow(now_ms))
    }

    /// Sets what is known of an upstream; replays with a scheduler that knows all use it.
    pub(super) fn assume(&mut self, upstream: &Incarnation, factor: f64, recent: f64, now_ms: u64) {
        const CERTAIN: f64 = 1e6;
        let speed = self.entry(upstream);
        (speed.precision, speed.sum) = (CERTAIN, factor.ln() * CERTAIN);
        (speed.recent_precision, speed.recent_sum) = (CERTAIN, recent.ln() * CERTAIN);
        (speed.recent_ms, speed.is_slow) = (now_ms, recent.ln() < SPELL_BEGINS);
    }

    /// A new incarnation starts without figures, for it may be of another kind.
    fn entry(&mut self, upstream: &Incarnation) -> &mut Speed {
        let speed = self.upstreams.entry(Arc::clone(&upstream.id)).or_default();
        if speed.born_unix_ms != upstream.born_unix_ms {
            *speed = Speed { born_unix_ms: upstream.born_unix_ms, ..Speed::default() };
        }
        speed
    }
}
