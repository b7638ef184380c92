//! Runs in execution on the simulated hosts.

use smallvec::SmallVec;

use super::conditions::FULL_RATE;
use super::lists::Reported;
use crate::placement::{Kind, ListedProgress, StopCause};
use crate::tasks::{EndKind, Incarnation, UnitId};

/// Work between two checkpoints.
const CHECKPOINT_MS: u64 = 1_000;

/// A unit and the number of its run.
pub(super) type RunKey = (UnitId, u32);

/// A run in execution.
#[derive(Debug)]
pub(super) struct Run {
    /// Tasks that have not ended, by their index in the unit, and the host of each.
    pub(super) members: Vec<(u32, Incarnation)>,
    /// When it begins to work.
    pub(super) working_ms: u64,
    /// Work that it has to do, in milliseconds on a host of speed 1.
    pub(super) work_ms: u64,
    /// Work after which it ends if nothing stops it, and how.
    pub(super) ends: (u64, EndKind),
    /// Work done so far, multiplied by [`FULL_RATE`].
    pub(super) done: u64,
    /// Rate at which it works, in thousandths.
    pub(super) rate: u64,
    /// Work that earlier runs have saved.
    pub(super) resumed_ms: u64,
    pub(super) kind: Kind,
    pub(super) declared_ms: u64,
    pub(super) reported: Reported,
    /// When it ends on an order to stop, and the cause of the order.
    pub(super) stops: Option<(u64, StopCause)>,
    pub(super) checkpoints: bool,
    /// Weight of one task in thousandths of a core.
    pub(super) weight_millicores: u64,
}

impl Run {
    pub(super) fn is_on(&self, host: &Incarnation) -> bool {
        self.members.iter().any(|(_, member)| member == host)
    }

    pub(super) const fn worked_ms(&self) -> u64 {
        self.done / FULL_RATE
    }

    /// Returns the share of the unit's work that is done, in percent.
    pub(super) fn percent(&self) -> u32 {
        let all_ms = self.resumed_ms + self.work_ms;
        let percent = (self.resumed_ms + self.worked_ms()) * 100 / all_ms.max(1);
        u32::try_from(percent.min(100)).unwrap_or(100)
    }

    /// Returns the run as a list of one of its hosts shows it.
    pub(super) fn listed(&self, (unit, run): &RunKey, is_done: bool) -> ListedProgress {
        let mut upstreams: SmallVec<[Incarnation; 2]> = SmallVec::new();
        for (_, host) in &self.members {
            if !upstreams.contains(host) {
                upstreams.push(host.clone());
            }
        }
        ListedProgress {
            unit: unit.clone(),
            run: *run,
            percent: self.percent(),
            kind: self.kind.clone(),
            declared_ms: self.declared_ms,
            upstreams,
            is_remote: false,
            is_done,
        }
    }

    /// Returns the work that a stop keeps.
    pub(super) const fn saved_ms(&self) -> u64 {
        let worked_ms = self.worked_ms();
        if self.checkpoints { worked_ms - worked_ms % CHECKPOINT_MS } else { 0 }
    }
}
