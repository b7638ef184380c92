//! Timeouts, intervals and limits of the scheduling core.

/// Largest job, in accelerators: one whole rack of eight upstreams with eight accelerators.
pub const ACCELERATORS_LIMIT: u32 = 64;

/// Largest block that is placed inside one upstream; larger ones take whole upstreams.
pub const UPSTREAM_BLOCK_LIMIT: u32 = 8;

/// Largest number of accelerators of one upstream, the width of [`super::Mask`].
pub const UPSTREAM_ACCELERATORS_LIMIT: u32 = 32;

/// Largest number of positions in a rack.
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
/// member is not dropped while its commit is in transit.
pub const STAGE_HOLD_MS: u64 = 2_000;

/// Interval between repeated stop messages to members that have not answered.
pub const STOP_REPEAT_MS: u64 = 500;

/// Interval between repeated queries to members of a recovered gang that have not answered.
pub const CONFIRM_REPEAT_MS: u64 = 1_000;

/// Longest delivery time of a message, included in the certain end of every lease.
pub const DELIVERY_ALLOWANCE_MS: u64 = 100;

/// Time after a start in which no job is refused for lack of matching racks and no document is
/// applied. Upstreams announce themselves every second under a lease of 3 s, so that all have done
/// so by then; documents must be in force within 5 s.
pub const POOL_DISCOVERY_MS: u64 = 4_000;

/// Lease of an upstream's announcements. An upstream that is lost or comes back may have crashed this
/// long ago.
pub const ANNOUNCEMENT_LEASE_MS: u64 = 3_000;

/// Time for which a lost upstream still counts as part of its rack's layout. Most of the 400 daily
/// restarts take less, and they must not end the jobs that wait for the upstream.
pub const LOST_UPSTREAM_RETENTION_MS: u64 = 600_000;

/// Failures on different upstreams after which a job is considered faulty itself.
pub const JOB_FAILURE_LIMIT: usize = 3;

/// Time between a checkpoint request and the stop of a borrower. Guaranteed work must start within
/// 1.7 s; the answers to stop, stage and commit share the remaining 0.7 s.
pub const CHECKPOINT_WAIT_MS: u64 = 1_000;

/// Interval between attempts to find other accelerators for guaranteed blocks at risk.
pub const GUARANTEE_REVIEW_INTERVAL_MS: u64 = 1_000;

/// Shortest time between attempts to move all guaranteed blocks because one has no accelerators.
pub const REPACK_INTERVAL_MS: u64 = 10_000;

/// Interval between searches for jobs that have waited too long.
pub const STARVATION_REVIEW_INTERVAL_MS: u64 = 1_000;

/// Wait after which a block is drained for a job.
pub const DRAIN_AFTER_MS: u64 = 60_000;

/// Run time after which a gang may be stopped by a drain. With a checkpoint and a new start within
/// about 2 s, a drain costs the gang at most a few percent of its run.
pub const DRAIN_MIN_RUN_MS: u64 = 60_000;

/// Largest number of blocks drained at once; bounds the capacity that drains hold back.
pub const DRAIN_LIMIT: usize = 2;

/// Number of racks or upstreams searched for a block to drain. Searching a whole pool of 4,300
/// upstreams would take several milliseconds.
pub const DRAIN_SCAN_LIMIT: usize = 32;

/// Largest number of waiting jobs for which one review searches a block to drain.
pub const DRAIN_CANDIDATES: usize = 4;

/// Time for which an upstream that refused a stage message gets no new work, so that a full or
/// misconfigured one is not asked in a tight loop.
pub const REFUSAL_PAUSE_MS: u64 = 1_000;

/// Number of different jobs that fail on an upstream in a row before it is put in quarantine.
pub const QUARANTINE_FAILED_JOBS: usize = 3;

/// At most one in this many upstreams is in quarantine, which is 10% of the pool.
pub const QUARANTINE_SHARE_DIVISOR: usize = 10;

/// Time until the first probe of an upstream in quarantine; doubled after each.
pub const PROBE_INTERVAL_MS: u64 = 10_000;

/// Longest time between probes.
pub const PROBE_INTERVAL_MAX_MS: u64 = 600_000;

/// Largest number of gangs placed in one step, so that a burst does not delay the messages of
/// running gangs.
pub const PLACEMENTS_PER_STEP: usize = 8;

/// Largest number of ended jobs kept for status queries.
pub const ENDED_JOBS_LIMIT: usize = 4_096;

/// Returns when a lease granted at `sent_ms` has certainly ended: the lease, 2% for clock drift
/// and the delivery allowance.
#[must_use]
pub const fn certain_end_ms(sent_ms: u64, lease_ms: u64) -> u64 {
    sent_ms + lease_ms + lease_ms / 50 + DELIVERY_ALLOWANCE_MS
}
