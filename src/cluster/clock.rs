//! Boot time and wall-clock time.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since boot, including time in which the host was suspended.
///
/// Leases use this clock, because the monotonic clock stops while a host is suspended.
pub(crate) fn boot_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanos / 1_000_000
}

/// Returns the wall-clock time in Unix milliseconds, which may jump.
#[must_use]
pub fn unix_ms() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(unix.as_millis()).unwrap_or(u64::MAX)
}
