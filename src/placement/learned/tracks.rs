//! Tracks of runs: turns the percentages that lists show into paces and run times.
//!
//! Times are those of the upstream's clock, so lists that arrive late do not look like slow runs.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use smallvec::SmallVec;

use super::run_times::Kind;
use crate::tasks::{Incarnation, UnitId};

/// Progress after which the run time of a run is derived from its pace, in percent. Waiting for the
/// ends would count short runs first, and stopped ones never.
const SAMPLE_PERCENT: u32 = 30;

/// Smallest progress and longest time over which a pace is measured; percentages are whole numbers.
const PACE_PERCENT: u32 = 6;
const PACE_MS: u64 = 800;

/// Shortest time over which a pace is measured, for lists that are read one after the other.
const PACE_MIN_MS: u64 = 250;

/// Progress after which a run's own pace is known, in percent.
const OWN_PACE_PERCENT: u32 = 8;

/// A run that becomes slower than its usual pace by this factor is not at its usual pace.
const USUAL_PACE_MAX: f64 = 1.6;

/// Variance of the logarithm of a pace beside that of the whole percentages.
const PACE_VARIANCE: f64 = 0.02;

/// A run as an upstream's list shows it.
#[derive(Debug, Clone)]
pub(crate) struct ListedProgress {
    pub(crate) unit: UnitId,
    pub(crate) run: u32,
    pub(crate) percent: u32,
    pub(crate) kind: Kind,
    pub(crate) declared_ms: u64,
    /// Upstreams of all its members; the first one reports for all.
    pub(crate) upstreams: SmallVec<[Incarnation; 2]>,
    /// Whether it runs away from its data or in several racks, which takes longer.
    pub(crate) is_remote: bool,
    /// Whether the run is listed as done.
    pub(crate) is_done: bool,
}

/// A percentage and when it was read, on the upstream's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Point {
    clock_ms: u64,
    percent: u32,
}

/// What is known of a run.
#[derive(Debug)]
struct Track {
    /// Percentage at its first listing, before it may have begun.
    listed_percent: u32,
    /// First point at which it had progressed.
    first: Option<Point>,
    last: Point,
    /// Time that it took at its usual pace, and the progress meanwhile in percent.
    own: (u64, u32),
    /// Images that ran beside it at all reads, and at some.
    always_beside: Option<BTreeSet<Arc<str>>>,
    ever_beside: BTreeSet<Arc<str>>,
    /// Whether its upstream was in a slow spell, which its run time must not show.
    was_slowed: bool,
    sampled: bool,
}

/// A pace of a run over a short time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Pace {
    /// Time in which the run would do all of its work at this pace.
    pub(super) run_ms: f64,
    /// The same for its pace before; `None` if that is not known yet.
    pub(super) own_run_ms: Option<f64>,
    /// Variance of the logarithm.
    pub(super) variance: f64,
}

/// The run time of a whole run.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Sample {
    pub(super) run_ms: f64,
    pub(super) always_beside: BTreeSet<Arc<str>>,
    pub(super) ever_beside: BTreeSet<Arc<str>>,
}

/// What a read of a run shows.
#[derive(Debug, Clone, PartialEq, Default)]
pub(super) struct Findings {
    pub(super) pace: Option<Pace>,
    pub(super) sample: Option<Sample>,
}

/// Tracks of the runs of one upstream.
#[derive(Debug, Default)]
pub(super) struct Tracks {
    runs: HashMap<(UnitId, u32), Track>,
}

impl Tracks {
    /// Records a read of a run beside others.
    ///
    /// A percentage above 100 or one that falls is not believed, and the run is followed anew.
    pub(super) fn record(
        &mut self,
        listed: &ListedProgress,
        beside: &BTreeSet<Arc<str>>,
        clock_ms: u64,
        is_slow: bool,
    ) -> Findings {
        let percent = if listed.is_done { 100 } else { listed.percent };
        let point = Point { clock_ms, percent };
        let key = (listed.unit.clone(), listed.run);
        if percent > 100 {
            self.runs.remove(&key);
            return Findings::default();
        }
        let Some(track) = self.runs.get_mut(&key) else {
            if !listed.is_done {
                self.runs.insert(key, Track::new(point));
            }
            return Findings::default();
        };
        if clock_ms < track.last.clock_ms {
            // An older answer has been overtaken by a newer one.
            return Findings::default();
        }
        if percent < track.last.percent {
            *track = Track::new(point);
            return Findings::default();
        }
        track.see_beside(beside);
        track.was_slowed |= is_slow;
        let findings = track.advance(point);
        if listed.is_done {
            self.runs.remove(&key);
        }
        findings
    }

    /// Forgets the runs that are not listed any more.
    pub(super) fn retain(&mut self, listed: &[ListedProgress]) {
        let listed: std::collections::HashSet<(&UnitId, u32)> =
            listed.iter().map(|listed| (&listed.unit, listed.run)).collect();
        self.runs.retain(|(unit, run), _| listed.contains(&(unit, *run)));
    }
}

impl Track {
    const fn new(point: Point) -> Self {
        Self {
            listed_percent: point.percent,
            first: None,
            last: point,
            own: (0, 0),
            always_beside: None,
            ever_beside: BTreeSet::new(),
            was_slowed: false,
            sampled: false,
        }
    }

    fn see_beside(&mut self, beside: &BTreeSet<Arc<str>>) {
        self.ever_beside.extend(beside.iter().cloned());
        match &mut self.always_beside {
            None => self.always_beside = Some(beside.clone()),
            Some(always) => always.retain(|image| beside.contains(image)),
        }
    }

    fn advance(&mut self, point: Point) -> Findings {
        let Some(first) = self.first else {
            // A gang works only once all of its members are present.
            if point.percent > self.listed_percent {
                self.first = Some(point);
                self.last = point;
            }
            return Findings::default();
        };
        let mut findings = Findings::default();
        let (before, passed_ms) = (self.last, point.clock_ms - self.last.clock_ms);
        let progressed = point.percent - before.percent;
        let measurable = progressed >= PACE_PERCENT || passed_ms >= PACE_MS;
        if passed_ms >= PACE_MIN_MS && measurable && point.percent < 100 {
            // Without any progress, the pace is below half a percent.
            let progressed = f64::from(progressed).max(0.5);
            let (own_ms, own_percent) = self.own;
            let own_run_ms = own_ms as f64 * 100.0 / f64::from(own_percent.max(1));
            let run_ms = passed_ms as f64 * 100.0 / progressed;
            let knows_own_pace = own_percent >= OWN_PACE_PERCENT;
            if !knows_own_pace || run_ms < own_run_ms * USUAL_PACE_MAX {
                self.own = (own_ms + passed_ms, own_percent + point.percent - before.percent);
            }
            let rounding = 0.5 / progressed;
            findings.pace = Some(Pace {
                run_ms,
                own_run_ms: knows_own_pace.then_some(own_run_ms),
                variance: PACE_VARIANCE + rounding * rounding,
            });
            self.last = point;
        }
        let whole = point.percent - first.percent;
        let is_enough = whole >= SAMPLE_PERCENT;
        if is_enough && !self.sampled && point.clock_ms > first.clock_ms {
            self.sampled = true;
            if !self.was_slowed {
                findings.sample = Some(Sample {
                    run_ms: (point.clock_ms - first.clock_ms) as f64 * 100.0 / f64::from(whole),
                    always_beside: self.always_beside.clone().unwrap_or_default(),
                    ever_beside: self.ever_beside.clone(),
                });
            }
        }
        findings
    }
}
