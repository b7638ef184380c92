//! Judging upstreams that fail, hang or refuse, by what comes of their runs.

/// Different jobs that must fail in a row on an upstream before it is set aside.
pub(super) const JOBS_TO_SUSPECT: usize = 2;

/// First time for which an upstream is set aside, in milliseconds.
const FIRST_PAUSE_MS: u64 = 3_000;

/// Longest time for which an upstream is set aside, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 12_000;

/// Time without progress after which a run counts as hanging, in milliseconds.
const HANG_AFTER_MS: u64 = 2_500;

/// Share of its estimate that a run may spend without progress, in percent.
const HANG_SHARE_PERCENT: u64 = 30;

/// Time for which an upstream is set aside after it was set aside before.
pub(super) fn pause_ms(times_before: u32) -> u64 {
    (FIRST_PAUSE_MS << times_before.min(4)).min(LONGEST_PAUSE_MS)
}

/// Time without progress after which a run of a step hangs.
pub(super) fn hang_after_ms(estimate_ms: u64) -> u64 {
    HANG_AFTER_MS.max(estimate_ms * HANG_SHARE_PERCENT / 100)
}
