//! One gang member at the stand-in.

use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use crate::names::JobName;
use crate::scheduler::{GangId, Mask, MemberStatus};
use crate::upstream_http::{GangWork, StageRequest};

/// How the work of a member ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The work was finished.
    Completed,
    /// The work failed.
    Failed,
    /// A stop message arrived.
    Stopped,
    /// The lease ended.
    LeaseEnded,
}

/// Work done by one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRun {
    /// Gang of the member.
    pub gang: GangId,
    /// Job of the gang.
    pub job: JobName,
    /// Accelerators of the member, one bit each.
    pub mask: Mask,
    /// Time of the start.
    pub from: Instant,
    /// Time of the end, once the work has ended.
    pub to: Option<Instant>,
    /// How the work ended, once it has.
    pub end: Option<RunEnd>,
    /// Checkpoints that were asked for while the member ran.
    pub checkpoints: u32,
}

/// Where a member stands; times are on the stand-in's own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    Staged {
        until_ms: u64,
    },
    Running {
        from_ms: u64,
        lease_until_ms: u64,
    },
    Ended {
        from_ms: u64,
        to_ms: u64,
        end: RunEnd,
    },
    /// The member did not start and never will.
    Never,
}

/// A member of a gang.
#[derive(Debug, Clone)]
pub(super) struct Member {
    job: Option<JobName>,
    mask: Mask,
    work: GangWork,
    state: State,
    checkpoints: u32,
}

impl Member {
    /// Builds a staged member.
    pub(super) fn stage(stage: &StageRequest, now_ms: u64) -> Self {
        Self {
            job: Some(stage.job.clone()),
            mask: stage.mask,
            work: stage.work,
            state: State::Staged { until_ms: now_ms.saturating_add(stage.hold_ms) },
            checkpoints: 0,
        }
    }

    /// Builds a member that never starts, for a gang that is stopped or asked for before it is
    /// staged.
    pub(super) fn never() -> Self {
        Self { job: None, mask: 0, work: GangWork::default(), state: State::Never, checkpoints: 0 }
    }

    pub(super) const fn state(&self) -> State {
        self.state
    }

    pub(super) const fn mask(&self) -> Mask {
        self.mask
    }

    /// Returns whether the member holds a slot and its accelerators.
    pub(super) const fn is_active(&self) -> bool {
        matches!(self.state, State::Staged { .. } | State::Running { .. })
    }

    pub(super) const fn status(&self) -> MemberStatus {
        match self.state {
            State::Running { .. } => MemberStatus::Running,
            State::Ended { end: RunEnd::Completed, .. } => MemberStatus::Completed,
            State::Ended { end: RunEnd::Failed, .. } => MemberStatus::Failed,
            State::Ended { .. } | State::Staged { .. } | State::Never => MemberStatus::Absent,
        }
    }

    pub(super) const fn start(&mut self, now_ms: u64, lease_until_ms: u64) {
        self.state = State::Running { from_ms: now_ms, lease_until_ms };
    }

    /// Takes a lease if it ends later than the present one; messages may arrive out of order.
    pub(super) fn extend(&mut self, until_ms: u64) {
        if let State::Running { lease_until_ms, .. } = &mut self.state {
            *lease_until_ms = until_ms.max(*lease_until_ms);
        }
    }

    pub(super) const fn checkpoint(&mut self) {
        if matches!(self.state, State::Running { .. }) {
            self.checkpoints += 1;
        }
    }

    /// Stops the member, whether staged or running.
    pub(super) const fn stop(&mut self, now_ms: u64) {
        self.state = match self.state {
            State::Staged { .. } => State::Never,
            State::Running { from_ms, .. } => {
                State::Ended { from_ms, to_ms: now_ms, end: RunEnd::Stopped }
            }
            ended => ended,
        };
    }

    /// Ends the member if its hold, its work or its lease was over by `now_ms`.
    pub(super) fn settle(&mut self, now_ms: u64) {
        match self.state {
            State::Staged { until_ms } if until_ms <= now_ms => self.state = State::Never,
            State::Running { from_ms, lease_until_ms } => {
                let work_ends_ms = from_ms.saturating_add(self.work.run_ms);
                let to_ms = work_ends_ms.min(lease_until_ms);
                if to_ms <= now_ms {
                    let end = self.end_at(work_ends_ms <= lease_until_ms);
                    self.state = State::Ended { from_ms, to_ms, end };
                }
            }
            _ => {}
        }
    }

    const fn end_at(&self, within_lease: bool) -> RunEnd {
        match (within_lease, self.work.fails) {
            (false, _) => RunEnd::LeaseEnded,
            (true, true) => RunEnd::Failed,
            (true, false) => RunEnd::Completed,
        }
    }

    /// Returns the work of the member, if it has started.
    pub(super) fn run(&self, gang: GangId, started: Instant) -> Option<MemberRun> {
        let at = |ms| started + Duration::from_millis(ms);
        let (from_ms, to, end) = match self.state {
            State::Running { from_ms, .. } => (from_ms, None, None),
            State::Ended { from_ms, to_ms, end } => (from_ms, Some(at(to_ms)), Some(end)),
            State::Staged { .. } | State::Never => return None,
        };
        Some(MemberRun {
            gang,
            job: self.job.clone()?,
            mask: self.mask,
            from: at(from_ms),
            to,
            end,
            checkpoints: self.checkpoints,
        })
    }
}
