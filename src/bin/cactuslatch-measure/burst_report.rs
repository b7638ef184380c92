//! What a burst did to its own requests and to the steady load.

use std::time::{Duration, Instant};

use cactuslatch::Class;
use serde::Serialize;

use crate::load::{histogram, quantile_ms};
use crate::parking::Way;

/// Waiting above which the steady load has not recovered.
const DISTURBED_ABOVE: Duration = Duration::from_millis(50);

/// The end of one request; status 0 stands for a caller that has left.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sample {
    pub(crate) intended: Instant,
    pub(crate) class: Class,
    pub(crate) in_burst: bool,
    pub(crate) status: u16,
    pub(crate) waited: Duration,
}

/// Outcomes and waiting of one part of the requests.
#[derive(Debug, Serialize)]
struct Part {
    sent: usize,
    done: usize,
    refused: usize,
    unknown: usize,
    left: usize,
    wait_p50_ms: f64,
    wait_p99_ms: f64,
    wait_max_ms: f64,
}

impl Part {
    fn new(samples: &[&Sample]) -> Self {
        let count = |status: &[u16]| {
            samples.iter().filter(|sample| status.contains(&sample.status)).count()
        };
        let mut waits = histogram();
        for sample in samples.iter().filter(|sample| sample.status == 200) {
            waits.saturating_record(u64::try_from(sample.waited.as_nanos()).unwrap_or(u64::MAX));
        }
        Self {
            sent: samples.len(),
            done: count(&[200]),
            refused: count(&[503, 429]),
            unknown: count(&[504]),
            left: count(&[0]),
            wait_p50_ms: quantile_ms(&waits, 0.5),
            wait_p99_ms: quantile_ms(&waits, 0.99),
            wait_max_ms: quantile_ms(&waits, 1.0),
        }
    }

    fn text(&self) -> String {
        let Self { sent, done, refused, unknown, left, .. } = self;
        let waits =
            format!("{:.0}/{:.0}/{:.0}", self.wait_p50_ms, self.wait_p99_ms, self.wait_max_ms);
        format!("{sent:>5} {done:>5} {refused:>5} {:>5} {waits:>15}", unknown + left)
    }
}

/// Figures of one burst.
#[derive(Debug, Serialize)]
pub(crate) struct Row {
    way: Way,
    burst: u32,
    work_ms: u64,
    interactive: Part,
    batch: Part,
    steady: Part,
    goodput_per_s: f64,
    wasted: usize,
    recovery_ms: f64,
}

impl Row {
    pub(crate) const HEAD: &str = "\
way        burst work | burst, interactive: sent done refused unknown wait p50/p99/max \
| burst, batch | steady | goodput/s wasted recovery ms";

    pub(crate) fn new(
        way: Way,
        burst: u32,
        work_ms: u64,
        burst_at: Instant,
        samples: &[Sample],
        started: u32,
    ) -> Self {
        let of = |in_burst, class| {
            let matching = |s: &&Sample| s.in_burst == in_burst && s.class == class;
            samples.iter().filter(matching).collect::<Vec<_>>()
        };
        let interactive = Part::new(&of(true, Class::Interactive));
        let batch = Part::new(&of(true, Class::Batch));
        let steady = Part::new(&of(false, Class::Interactive));
        let done = interactive.done + batch.done + steady.done;
        let wasted = usize::try_from(started).unwrap_or(usize::MAX).saturating_sub(done);
        Self {
            way,
            burst,
            work_ms,
            goodput_per_s: goodput(samples, burst_at, work_ms),
            recovery_ms: recovery(samples, burst_at).as_secs_f64() * 1e3,
            interactive,
            batch,
            steady,
            wasted,
        }
    }

    pub(crate) fn print(&self) {
        println!(
            "{:<10} {:>5} {:>4} | {} | {} | {} | {:>7.0} {:>5} {:>7.0}",
            self.way.to_string(),
            self.burst,
            self.work_ms,
            self.interactive.text(),
            self.batch.text(),
            self.steady.text(),
            self.goodput_per_s,
            self.wasted,
            self.recovery_ms,
        );
    }
}

/// Returns the requests done in the second after the burst.
fn goodput(samples: &[Sample], burst_at: Instant, work_ms: u64) -> f64 {
    let window = burst_at..burst_at + Duration::from_secs(1);
    let end = |s: &Sample| s.intended + s.waited + Duration::from_millis(work_ms);
    samples.iter().filter(|s| s.status == 200 && window.contains(&end(s))).count() as f64
}

/// Returns the time from the burst to the last steady request that it disturbed.
fn recovery(samples: &[Sample], burst_at: Instant) -> Duration {
    let disturbed = |s: &&Sample| s.status != 200 || s.waited > DISTURBED_ABOVE;
    let steady = samples.iter().filter(|s| !s.in_burst && s.intended >= burst_at);
    let last = steady.filter(disturbed).map(|s| s.intended).max();
    last.map_or(Duration::ZERO, |last| last.duration_since(burst_at))
}
