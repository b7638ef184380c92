//! Times and bounds of the scheduling core.

/// Largest job, in accelerators: one whole rack of eight upstreams with eight accelerators.
pub const ACCELERATORS_LIMIT: u32 = 64;

/// Largest shape that is placed inside one upstream; larger ones take whole upstreams.
pub const UPSTREAM_SHAPE_LIMIT: u32 = 8;

/// Most accelerators of one upstream, the width of [`super::Mask`].
pub const UPSTREAM_ACCELERATORS_LIMIT: u32 = 32;

/// Most positions of a rack.
pub const RACK_POSITIONS_LIMIT: u32 = 64;

/// Lease that a commit carries; bounds how long a partly committed gang can work.
pub const START_LEASE_MS: u64 = 2_000;

/// Lease of a gang whose members have all acknowledged the commit.
pub const GANG_LEASE_MS: u64 = 30_000;

/// Interval between renewals of the gangs of a rack.
pub const RENEW_INTERVAL_MS: u64 = 5_000;

/// Time within which every member must have answered its stage message.
pub const STAGE_TIMEOUT_MS: u64 = 1_000;

/// Time for which a member stays staged without a commit. It exceeds the stage timeout, so that a
/// member does not drop out while the commit is on its way.
pub const STAGE_HOLD_MS: u64 = 2_000;

/// Interval between repeated stop messages to members that have not answered.
pub const STOP_REPEAT_MS: u64 = 500;

/// Interval between questions to members of a gang from the journal that have not answered.
pub const CONFIRM_REPEAT_MS: u64 = 1_000;

/// Allowance for the delivery of a message, part of every certain end of a lease.
pub const DELIVERY_ALLOWANCE_MS: u64 = 100;

/// Time after a start in which no job is refused for lack of matching racks: upstreams announce
/// themselves every second, and a lease is 3 s, so the pool is known by then.
pub const POOL_DISCOVERY_MS: u64 = 10_000;

/// Time for which a lost upstream still counts as part of its rack's layout. Most of the 400 daily
/// restarts end sooner, and a waiting job should survive them.
pub const LAYOUT_MEMORY_MS: u64 = 600_000;

/// Failures on different upstreams after which a job is considered faulty itself.
pub const JOB_FAILURE_LIMIT: usize = 3;

/// Time between a checkpoint request and the stop of a borrower. The page allows 1.7 s until the
/// guaranteed work starts; stop, stage and commit answers share the remaining 0.7 s.
pub const CHECKPOINT_WAIT_MS: u64 = 1_000;

/// Interval between attempts to find a place for guaranteed blocks at risk.
pub const CELL_REVIEW_INTERVAL_MS: u64 = 1_000;

/// Most gangs placed in one step, so that a burst does not delay the messages of running gangs.
pub const PLACEMENTS_PER_STEP: usize = 8;

/// Most ended jobs that are kept for status queries.
pub const ENDED_JOBS_LIMIT: usize = 4_096;

/// Returns when a lease granted at `sent_ms` has certainly ended: the lease, 2% for clock drift
/// and the delivery allowance.
#[must_use]
pub const fn certain_end_ms(sent_ms: u64, lease_ms: u64) -> u64 {
    sent_ms + lease_ms + lease_ms / 50 + DELIVERY_ALLOWANCE_MS
}
