//! One upstream: who it is, what this host may use of it, and what it uses.

use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::entry::pool::Pool;
use crate::names::{RackName, ServiceName, UpstreamName};

/// Pause after the first failure; doubles with each further one in a row.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// Most doublings of [`FAILURE_PAUSE`], so that an upstream is tried at least every 6.4 s.
const FAILURE_DOUBLINGS_MAX: u32 = 5;

/// Time after an announcement in which an upstream gets new work.
///
/// A leave may reach other hosts only. An upstream that leaves stops announcing itself, so this
/// bounds the time for which it still gets work, less a margin for dispatch, to 2 s.
const WORK_AFTER_ANNOUNCEMENT: Duration = Duration::from_millis(1_900);
/// Time after the end of its lease for which an upstream is kept, so that the end of attempts
/// that it may still be running can be found out.
const KEEP_AFTER_LEASE: Duration = Duration::from_mins(1);

/// What an upstream has announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct UpstreamInfo {
    pub(crate) name: UpstreamName,
    pub(crate) incarnation: u64,
    pub(crate) address: SocketAddr,
    pub(crate) services: SmallVec<[ServiceName; 4]>,
    pub(crate) rack: RackName,
    pub(crate) rack_position: u32,
    pub(crate) accelerators: u32,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
}

/// Part of an upstream's limits that this host may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Allowance {
    pub(crate) slots: u32,
    pub(crate) connections: u32,
}

/// An upstream with its lease, its share and its use.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) info: UpstreamInfo,
    announced_at: Instant,
    lease_until: Instant,
    /// It gets nothing new, and finishes what it runs.
    pub(crate) leaving: bool,
    /// Share that control has lent for as long as the lease of all shares lasts.
    pub(crate) lent: Option<Allowance>,
    pub(crate) slots_in_use: u32,
    pub(crate) pool: Pool,
    failures: u32,
    failing_until: Option<Instant>,
}

impl UpstreamState {
    pub(crate) fn new(info: UpstreamInfo, lease: Duration) -> Self {
        let now = Instant::now();
        Self {
            info,
            announced_at: now,
            lease_until: now + lease,
            leaving: false,
            lent: None,
            slots_in_use: 0,
            pool: Pool::default(),
            failures: 0,
            failing_until: None,
        }
    }

    /// Returns what this host may use now.
    pub(crate) fn allowance(&self, hosts: u32, shares_valid: bool) -> Allowance {
        let base = Allowance {
            slots: 1.min(self.info.slots),
            connections: self.info.connections / (2 * hosts.max(1)),
        };
        self.lent.filter(|_| shares_valid).unwrap_or(base)
    }

    pub(crate) fn renew(&mut self, lease: Duration) {
        self.announced_at = Instant::now();
        self.lease_until = self.announced_at + lease;
    }

    /// Tells whether the upstream is present: it has not left and its lease has not ended.
    pub(crate) fn is_live(&self, now: Instant) -> bool {
        !self.leaving && now < self.lease_until
    }

    /// Tells whether the upstream may be given new work.
    pub(crate) fn takes_work(&self, now: Instant) -> bool {
        self.is_live(now) && now < self.announced_at + WORK_AFTER_ANNOUNCEMENT
    }

    /// Tells whether nothing needs this upstream any more.
    pub(crate) fn is_forgotten(&self, now: Instant) -> bool {
        let has_left = self.leaving && self.slots_in_use == 0;
        has_left || now >= self.lease_until + KEEP_AFTER_LEASE
    }

    /// Tells whether the upstream failed recently and should be avoided if there is another.
    pub(crate) fn is_failing(&self, now: Instant) -> bool {
        self.failing_until.is_some_and(|until| now < until)
    }

    pub(crate) fn note_failure(&mut self, now: Instant) {
        let pause = FAILURE_PAUSE * 2_u32.pow(self.failures.min(FAILURE_DOUBLINGS_MAX));
        self.failures = self.failures.saturating_add(1);
        self.failing_until = Some(now + pause);
    }

    pub(crate) fn note_success(&mut self) {
        self.failures = 0;
        self.failing_until = None;
    }
}
