//! State of one upstream: its announcement, this host's share and use of it, and its failures.

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

/// Time after an announcement in which an upstream may get new work.
///
/// A leave may reach other hosts only. A leaving upstream stops its announcements, so this limit and
/// the time for dispatch bound the time in which it still gets work to 2 s.
const NEW_WORK_WINDOW: Duration = Duration::from_millis(1_900);
/// Time after the end of its lease in which the results of attempts that an upstream may still be
/// running can be queried.
const RETENTION_AFTER_LEASE: Duration = Duration::from_mins(1);

/// Contents of an upstream's announcement.
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

/// Slots and connections of an upstream that this host may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Allowance {
    pub(crate) slots: u32,
    pub(crate) connections: u32,
}

/// An upstream with its lease, and this host's share and use of it.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) info: UpstreamInfo,
    announced_at: Instant,
    lease_until: Instant,
    /// The upstream gets no new work and finishes what it runs.
    pub(crate) leaving: bool,
    /// Share from control, valid until the common lease of all shares ends.
    pub(crate) leased_share: Option<Allowance>,
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
            leased_share: None,
            slots_in_use: 0,
            pool: Pool::default(),
            failures: 0,
            failing_until: None,
        }
    }

    /// Returns the leased share while it is valid, and the base share otherwise.
    pub(crate) fn allowance(&self, hosts: u32, shares_valid: bool) -> Allowance {
        let base = Allowance {
            slots: 1.min(self.info.slots),
            connections: self.info.connections / (2 * hosts.max(1)),
        };
        self.leased_share.filter(|_| shares_valid).unwrap_or(base)
    }

    pub(crate) fn renew(&mut self, lease: Duration) {
        self.announced_at = Instant::now();
        self.lease_until = self.announced_at + lease;
    }

    /// Returns whether the upstream has not left and its lease has not ended.
    pub(crate) fn is_live(&self, now: Instant) -> bool {
        !self.leaving && now < self.lease_until
    }

    /// Returns whether the upstream may get new work.
    pub(crate) fn accepts_work(&self, now: Instant) -> bool {
        self.is_live(now) && now < self.announced_at + NEW_WORK_WINDOW
    }

    /// Returns whether the lease ended so long ago that the upstream counts as gone, with the work
    /// that it ran.
    pub(crate) fn is_gone(&self, now: Instant) -> bool {
        now >= self.lease_until + RETENTION_AFTER_LEASE
    }

    /// Returns whether the upstream is no longer needed.
    ///
    /// It is kept while slots are reserved: if the same incarnation returned to a new entry, their
    /// release would be counted there, where they were never reserved.
    pub(crate) fn is_removable(&self, now: Instant) -> bool {
        self.slots_in_use == 0 && (self.leaving || self.is_gone(now))
    }

    /// Returns whether the upstream failed recently and should be avoided if possible.
    pub(crate) fn is_failing(&self, now: Instant) -> bool {
        self.failing_until.is_some_and(|until| now < until)
    }

    pub(crate) fn record_failure(&mut self, now: Instant) {
        let pause = FAILURE_PAUSE * 2_u32.pow(self.failures.min(FAILURE_DOUBLINGS_MAX));
        self.failures = self.failures.saturating_add(1);
        self.failing_until = Some(now + pause);
    }

    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
        self.failing_until = None;
    }
}
