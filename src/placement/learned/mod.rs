//! What runs have shown of upstreams and of work, as far as decisions use it.
//!
//! [`Learned`] holds the figures and is what decisions read; [`Observer`] turns the lists of upstreams
//! into samples for it. Both are pure. Where little is known, the caller's estimate counts.

mod interference;
mod run_times;
mod speeds;
#[cfg(test)]
mod tests;
mod tracks;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use interference::Interference;
pub(crate) use run_times::{ExpectedTime, Kind};
use run_times::{RunTimes, whole_ms};
use speeds::Speeds;
pub(crate) use speeds::{KnownSpeed, SpellChange};
pub(crate) use tracks::ListedProgress;
use tracks::{Sample, Tracks};

use crate::tasks::{Incarnation, Queue, StepSpec};

/// Number of samples of a queue from which the spread of its run times is known.
const CERTAIN_SAMPLES: f64 = 20.0;

/// Deviation of the logarithm of a run time that is still usual, in standard deviations.
const USUAL_DEVIATIONS: f64 = 2.0;

/// Which decisions use learned figures; the replays switch them one by one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "each feed is switched on its own")]
pub struct Feeds {
    /// Run times in the order of work, forecasts and admission.
    pub run_times: bool,
    /// Slow spells in the choice of upstreams.
    pub spells: bool,
    /// Speeds in the choice of upstreams.
    pub speeds: bool,
    /// Pairs of images in the choice of upstreams.
    pub interference: bool,
    /// Learned figures in the time that runs have left.
    pub time_left: bool,
}

impl Feeds {
    /// Decisions use all learned figures.
    pub const ALL: Self =
        Self { run_times: true, spells: true, speeds: true, interference: true, time_left: true };

    /// No decision uses learned figures.
    pub const NONE: Self = Self {
        run_times: false,
        spells: false,
        speeds: false,
        interference: false,
        time_left: false,
    };
}

impl std::str::FromStr for Feeds {
    type Err = String;

    /// Reads names of feeds, separated by commas; `none` and `all` stand for themselves.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut feeds = if text == "all" { Self::ALL } else { Self::NONE };
        for name in text.split(',').filter(|name| !matches!(*name, "all" | "none" | "")) {
            let feed = match name {
                "run-times" => &mut feeds.run_times,
                "spells" => &mut feeds.spells,
                "speeds" => &mut feeds.speeds,
                "interference" => &mut feeds.interference,
                "time-left" => &mut feeds.time_left,
                _ => return Err(format!("{name} is no feed of learned figures")),
            };
            *feed = true;
        }
        Ok(feeds)
    }
}

impl Default for Feeds {
    /// Learned run times are used only where the settings ask for it: on a small pool, whose samples are
    /// few, forecasts by them were worse than those by callers' estimates.
    fn default() -> Self {
        Self { run_times: false, time_left: false, ..Self::ALL }
    }
}

/// Figures learned from runs. The default knows nothing, and then callers' estimates count.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Learned {
    pub(crate) feeds: Feeds,
    run_times: RunTimes,
    speeds: Speeds,
    interference: Interference,
}

impl Learned {
    /// Returns figures that know nothing and feed some decisions only.
    pub(crate) fn with_feeds(feeds: Feeds) -> Self {
        Self { feeds, ..Self::default() }
    }

    /// Returns the expected run time of a step's tasks without interruptions.
    pub(crate) fn expected_run_ms(&self, queue: &Queue, step: &StepSpec) -> u64 {
        if !self.feeds.run_times || step.lasting {
            return step.estimate_ms;
        }
        self.expected(&Kind::of(queue, step), step.estimate_ms).run_ms
    }

    /// Returns the expected run time of work of a kind, with its certainty.
    pub(crate) fn expected(&self, kind: &Kind, declared_ms: u64) -> ExpectedTime {
        self.run_times.expected(kind, declared_ms)
    }

    /// Returns the longest usual run time of work of a kind.
    ///
    /// Until it is known, this is the longer one of the declared and the expected run time.
    pub(crate) fn usual_max_ms(&self, kind: &Kind, declared_ms: u64) -> u64 {
        let expected = self.expected(kind, declared_ms);
        if expected.samples < CERTAIN_SAMPLES {
            return expected.run_ms.max(declared_ms);
        }
        let factor = (USUAL_DEVIATIONS * expected.variance.sqrt()).exp();
        whole_ms(expected.run_ms as f64 * factor)
    }

    /// Returns what is known of the speed of an upstream.
    pub(crate) fn speed(&self, upstream: &Incarnation, now_ms: u64) -> KnownSpeed {
        self.speeds.get(upstream, now_ms)
    }

    /// Returns whether any upstream is in a slow spell.
    pub(crate) fn any_slow(&self, now_ms: u64) -> bool {
        self.speeds.any_slow(now_ms)
    }

    /// Returns whether any pair of images is known to slow each other down.
    pub(crate) fn knows_interference(&self) -> bool {
        !self.interference.is_empty()
    }

    /// Returns the factor by which a task of an image is slower beside other images.
    pub(crate) fn slowdown<'a>(
        &self,
        image: Option<&Arc<str>>,
        beside: impl Iterator<Item = &'a Arc<str>>,
    ) -> f64 {
        self.interference.slowdown_log(image, beside).exp()
    }

    /// Returns the number of pairs of images that slow each other down.
    pub(crate) fn noisy_pair_count(&self) -> usize {
        self.interference.known().count()
    }

    /// Returns the pairs of images that slow each other down, with the factor.
    pub(crate) fn noisy_pairs(&self) -> Vec<(Arc<str>, Arc<str>, f64)> {
        let known = self.interference.known();
        known.map(|((one, other), factor)| (Arc::clone(one), Arc::clone(other), factor)).collect()
    }

    /// Records the end of a run by itself.
    pub(crate) fn record_end(&mut self, kind: &Kind, failed: bool, now_ms: u64) {
        self.run_times.add_end(kind, failed, now_ms);
    }

    /// Describes what is known of the run time of a step, for operators.
    pub(crate) fn explain(&self, queue: &Queue, step: &StepSpec) -> String {
        let kind = Kind::of(queue, step);
        let ExpectedTime { run_ms, variance, samples } = self.expected(&kind, step.estimate_ms);
        let factor = variance.sqrt().exp();
        let failed_percent = self.run_times.failed_share(&kind) * 100.0;
        format!(
            "runs of {run_ms} ms are expected, within a factor of {factor:.1}, from {samples:.0} runs \
             of its queue and the {} ms declared; {failed_percent:.0}% of such runs fail",
            step.estimate_ms
        )
    }

    /// Returns the numbers of kinds with figures, slow upstreams and noisy pairs.
    pub(crate) fn counts(&self, now_ms: u64) -> [usize; 3] {
        [self.run_times.len(), self.speeds.slow(now_ms), self.noisy_pair_count()]
    }

    /// Sets the speed of an upstream; replays with a scheduler that knows all use it.
    pub(crate) fn assume_speed(
        &mut self,
        upstream: &Incarnation,
        (factor, recent): (f64, f64),
        now_ms: u64,
    ) {
        self.speeds.assume(upstream, factor, recent, now_ms);
    }

    /// Sets a pair of images; replays with a scheduler that knows all use it.
    pub(crate) fn assume_noisy(&mut self, one: &Arc<str>, other: &Arc<str>, factor: f64) {
        self.interference.assume(one, other, factor);
    }

    /// Adds the run time of a whole run, and what it shows of its upstreams and neighbours.
    fn add_sample(&mut self, listed: &ListedProgress, sample: &Sample, now_ms: u64) {
        let expected = self.expected(&listed.kind, listed.declared_ms);
        let speed = listed.upstreams.iter().map(|upstream| self.speed(upstream, now_ms).factor);
        let speed_log = speed.fold(f64::INFINITY, f64::min).ln();
        let image = listed.kind.image.as_ref();
        let slowed_log = self.interference.slowdown_log(image, sample.always_beside.iter());
        // Above 0 if the run was faster than expected.
        let deviation = (expected.run_ms as f64 / sample.run_ms).ln();
        let error = (deviation + slowed_log, expected.variance);
        self.speeds.add_run(&listed.upstreams, error, now_ms);
        if let Some(image) = image {
            let beside = (&sample.always_beside, &sample.ever_beside);
            self.interference.add(image, beside, deviation - speed_log, now_ms);
        }
        let reference_ms = whole_ms(sample.run_ms * (speed_log - slowed_log).exp());
        self.run_times.add(&listed.kind, listed.declared_ms, reference_ms, now_ms);
    }
}

/// A read of the lists of an upstream.
#[derive(Debug)]
pub(crate) struct ListRead<'a> {
    pub(crate) upstream: &'a Incarnation,
    /// The upstream's clock in its answer.
    pub(crate) clock_ms: u64,
    pub(crate) runs: &'a [ListedProgress],
}

/// Follows the runs of all upstreams and adds what they show to the figures.
#[derive(Debug, Default)]
pub(crate) struct Observer {
    upstreams: BTreeMap<Arc<str>, (u64, Tracks)>,
    /// When old figures were last dropped.
    cleaned_ms: u64,
}

/// Time between two removals of old figures.
const CLEAN_EVERY_MS: u64 = 60_000;

impl Observer {
    /// Records a read of the lists of an upstream; returns whether a slow spell began or ended.
    pub(crate) fn record(
        &mut self,
        learned: &mut Learned,
        read: &ListRead<'_>,
        now_ms: u64,
    ) -> Option<SpellChange> {
        if now_ms.saturating_sub(self.cleaned_ms) >= CLEAN_EVERY_MS {
            learned.run_times.drop_old(now_ms);
            self.cleaned_ms = now_ms;
        }
        let born_unix_ms = read.upstream.born_unix_ms;
        let entry = self.upstreams.entry(Arc::clone(&read.upstream.id)).or_default();
        if entry.0 != born_unix_ms {
            *entry = (born_unix_ms, Tracks::default());
        }
        let tracks = &mut entry.1;
        let before = learned.speed(read.upstream, now_ms);
        let mut change = None;
        for listed in read.runs {
            let beside = images_beside(read.runs, listed);
            let findings = tracks.record(listed, &beside, read.clock_ms, before.is_slow);
            if listed.is_remote {
                continue;
            }
            let reports_for_unit = listed.upstreams.first() == Some(read.upstream);
            if let Some(sample) = findings.sample.filter(|_| reports_for_unit) {
                learned.add_sample(listed, &sample, now_ms);
            }
            let Some(pace) = findings.pace else { continue };
            let expected = learned.expected(&listed.kind, listed.declared_ms);
            let image = listed.kind.image.as_ref();
            let slowed_log = learned.interference.slowdown_log(image, beside.iter());
            let (usual_ms, variance) = pace.own_run_ms.map_or_else(
                || {
                    let usual_ms = expected.run_ms as f64 / before.factor;
                    (usual_ms * slowed_log.exp(), expected.variance + pace.variance)
                },
                |own_ms| (own_ms, pace.variance),
            );
            // The pace of a gang over several upstreams says less about each of them.
            let variance = variance * listed.upstreams.len().max(1) as f64;
            let evidence = ((usual_ms / pace.run_ms).ln(), variance);
            change = learned.speeds.add_recent(read.upstream, evidence, now_ms).or(change);
        }
        tracks.retain(read.runs);
        change
    }

    /// Forgets upstreams that are gone.
    pub(crate) fn retain(&mut self, learned: &mut Arc<Learned>, is_known: impl Fn(&str) -> bool) {
        if self.upstreams.keys().all(|id| is_known(id)) {
            return;
        }
        self.upstreams.retain(|id, _| is_known(id));
        Arc::make_mut(learned).speeds.retain(is_known);
    }
}

/// Returns the images of the other units on an upstream.
fn images_beside(runs: &[ListedProgress], listed: &ListedProgress) -> BTreeSet<Arc<str>> {
    if listed.kind.image.is_none() {
        return BTreeSet::new();
    }
    let others = runs.iter().filter(|other| other.unit != listed.unit && !other.is_done);
    others.filter_map(|other| other.kind.image.clone()).collect()
}
