//! How far the leader's tasks run behind, and what is shed because of it.
//!
//! Thousands of upstreams may make more tasks ready than the processor's share allows. What is shed first
//! has the least value: paces, approvals and polls of upstreams that run nothing. New submissions come
//! second; they are refused with a time. Leases, stops, operators' requests and the log are never shed.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::{Instant, sleep};
use tracing::{info, warn};

use crate::cluster::metrics::ClusterMetrics;

/// Interval of the measurements.
const INTERVAL: Duration = Duration::from_millis(100);

/// Delay of the leader's tasks from which optional work is shed. Callers of heartbeats and requests wait
/// for one second, in which a request passes through several tasks.
const OPTIONAL_MS: u64 = 150;

/// Delay from which submissions are refused: their callers would give up before they are stored.
const SUBMISSIONS_MS: u64 = 900;

/// One part in this many of the difference to a new measurement is taken over, so that a single
/// late one changes little.
const SMOOTHING_PARTS: u64 = 4;

/// What the leader sheds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Shedding {
    Nothing,
    Optional,
    Submissions,
}

/// Smoothed delay of the leader's tasks.
#[derive(Debug, Default)]
pub(super) struct Lag {
    smoothed_ms: AtomicU64,
}

impl Lag {
    /// Measures for as long as the leader works.
    pub(super) async fn measure_forever(&self, metrics: &ClusterMetrics) {
        let mut shed = Shedding::Nothing;
        loop {
            let due = Instant::now() + INTERVAL;
            sleep(INTERVAL).await;
            let late = due.elapsed();
            self.record(u64::try_from(late.as_millis()).unwrap_or(u64::MAX));
            metrics.set_lag(self.smoothed_ms());
            let now = self.shedding();
            if now != shed {
                let (before, lag_ms) = (std::mem::replace(&mut shed, now), self.smoothed_ms());
                if now > before {
                    warn!(lag_ms, shedding = ?now, "the leader falls behind");
                } else {
                    info!(lag_ms, shedding = ?now, "the leader catches up");
                }
            }
        }
    }

    pub(super) fn record(&self, late_ms: u64) {
        let before = self.smoothed_ms();
        let change = before.abs_diff(late_ms).div_ceil(SMOOTHING_PARTS);
        let smoothed = if late_ms > before { before + change } else { before - change };
        self.smoothed_ms.store(smoothed, Ordering::Relaxed);
    }

    pub(super) fn smoothed_ms(&self) -> u64 {
        self.smoothed_ms.load(Ordering::Relaxed)
    }

    pub(super) fn shedding(&self) -> Shedding {
        match self.smoothed_ms() {
            SUBMISSIONS_MS.. => Shedding::Submissions,
            OPTIONAL_MS.. => Shedding::Optional,
            _ => Shedding::Nothing,
        }
    }
}
