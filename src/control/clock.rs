//! Wall-clock time that follows tokio's clock, so that tests can pause and advance it.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

pub(crate) const DAY_MS: u64 = 24 * 60 * 60 * 1000;

/// Maximum clock drift between hosts, in percent.
const DRIFT_PERCENT: u64 = 2;

/// Fixed margin of a lease on another host, in addition to the clock drift.
const LEASE_MARGIN_MS: u64 = 100;

/// Returns the time after which a lease has expired on another host too, despite clock drift.
pub(crate) const fn remote_lease_expiry_ms(lease_ms: u64) -> u64 {
    lease_ms + lease_ms * DRIFT_PERCENT / 100 + LEASE_MARGIN_MS
}

/// Source of Unix time in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    started: Instant,
    started_unix_ms: u64,
}

impl Clock {
    /// Reads the system time once; later times follow the monotonic clock.
    pub(crate) fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started_unix_ms = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
        Self { started: Instant::now(), started_unix_ms }
    }

    /// Returns the Unix time in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        let passed = self.started.elapsed().as_millis();
        self.started_unix_ms + u64::try_from(passed).unwrap_or(u64::MAX)
    }
}
