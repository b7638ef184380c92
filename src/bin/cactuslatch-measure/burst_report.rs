//! Statistics of a burst and of the steady load during it.

use std::time::{Duration, Instant};

use cactuslatch::Class;
use serde::Serialize;

use crate::load::{histogram, quantile_ms};
use crate::parking::WaitPolicy;

/// Longest wait of a steady request that counts as undisturbed.
const UNDISTURBED_WAIT_MAX: Duration = Duration::from_millis(50);

/// Result of one request; status 0 means that its caller left without an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sample {
    pub(crate) intended: Instant,
    pub(crate) class: Class,
    pub(crate) in_burst: bool,
    pub(crate) status: u16,
    pub(crate) waited: Duration,
}

/// Outcomes and waits of a group of requests.
#[derive(Debug, Serialize)]
struct GroupStats {
    sent: usize,
    done: usize,
    refused: usize,
    unknown: usize,
    left: usize,
    wait_p50_ms: f64,
    wait_p99_ms: f64,
    wait_max_ms: f64,
}

impl GroupStats {
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

    fn columns(&self) -> String {
        let Self { sent, done, refused, unknown, left, .. } = self;
        let waits =
            format!("{:.0}/{:.0}/{:.0}", self.wait_p50_ms, self.wait_p99_ms, self.wait_max_ms);
        format!("{sent:>5} {done:>5} {refused:>5} {:>5} {waits:>15}", unknown + left)
    }
}

/// Figures of one burst.
#[derive(Debug, Serialize)]
pub(crate) struct Row {
    #[serde(rename = "way")]
    wait_policy: WaitPolicy,
    burst: u32,
    work_ms: u64,
    interactive: GroupStats,
    batch: GroupStats,
    steady: GroupStats,
    goodput_per_s: f64,
    wasted: usize,
    recovery_ms: f64,
}

impl Row {
    pub(crate) const HEAD: &str = "\
way        burst work | burst, interactive: sent done refused unknown wait p50/p99/max \
| burst, batch | steady | goodput/s wasted recovery ms";

    pub(crate) fn new(
        wait_policy: WaitPolicy,
        burst: u32,
        work_ms: u64,
        burst_at: Instant,
        samples: &[Sample],
        started: u32,
    ) -> Self {
        let samples_of = |in_burst, class| {
            let matching = |s: &&Sample| s.in_burst == in_burst && s.class == class;
            samples.iter().filter(matching).collect::<Vec<_>>()
        };
        let interactive = GroupStats::new(&samples_of(true, Class::Interactive));
        let batch = GroupStats::new(&samples_of(true, Class::Batch));
        let steady = GroupStats::new(&samples_of(false, Class::Interactive));
        let done = interactive.done + batch.done + steady.done;
        let wasted = usize::try_from(started).unwrap_or(usize::MAX).saturating_sub(done);
        Self {
            wait_policy,
            burst,
            work_ms,
            goodput_per_s: goodput_per_s(samples, burst_at, work_ms),
            recovery_ms: recovery_time(samples, burst_at).as_secs_f64() * 1e3,
            interactive,
            batch,
            steady,
            wasted,
        }
    }

    pub(crate) fn print(&self) {
        println!(
            "{:<10} {:>5} {:>4} | {} | {} | {} | {:>7.0} {:>5} {:>7.0}",
            self.wait_policy.to_string(),
            self.burst,
            self.work_ms,
            self.interactive.columns(),
            self.batch.columns(),
            self.steady.columns(),
            self.goodput_per_s,
            self.wasted,
            self.recovery_ms,
        );
    }
}

/// Returns the number of requests that were done in the second after the burst.
fn goodput_per_s(samples: &[Sample], burst_at: Instant, work_ms: u64) -> f64 {
    let window = burst_at..burst_at + Duration::from_secs(1);
    let end = |s: &Sample| s.intended + s.waited + Duration::from_millis(work_ms);
    samples.iter().filter(|s| s.status == 200 && window.contains(&end(s))).count() as f64
}

/// Returns the time from the burst to the last disturbed steady request.
fn recovery_time(samples: &[Sample], burst_at: Instant) -> Duration {
    let disturbed = |s: &&Sample| s.status != 200 || s.waited > UNDISTURBED_WAIT_MAX;
    let steady = samples.iter().filter(|s| !s.in_burst && s.intended >= burst_at);
    let last = steady.filter(disturbed).map(|s| s.intended).max();
    last.map_or(Duration::ZERO, |last| last.duration_since(burst_at))
}
