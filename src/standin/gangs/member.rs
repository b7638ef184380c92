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

/// The run of one member.
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
    /// Number of checkpoints requested while the member ran.
    pub checkpoints: u32,
}

/// State of a member; times are on the stand-in's own clock.
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
    NeverStarted,
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

    /// Builds a member that never starts, for a gang whose stage is refused or that another message
    /// names before it is staged.
    pub(super) fn never_started() -> Self {
        Self {
            job: None,
            mask: 0,
            work: GangWork::default(),
            state: State::NeverStarted,
            checkpoints: 0,
        }
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
            State::Ended { .. } | State::Staged { .. } | State::NeverStarted => {
                MemberStatus::Absent
            }
        }
    }

    pub(super) const fn start(&mut self, now_ms: u64, lease_until_ms: u64) {
        self.state = State::Running { from_ms: now_ms, lease_until_ms };
    }

    /// Extends the lease; an earlier end is ignored, because messages may arrive out of order.
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
            State::Staged { .. } => State::NeverStarted,
            State::Running { from_ms, .. } => {
                State::Ended { from_ms, to_ms: now_ms, end: RunEnd::Stopped }
            }
            ended => ended,
        };
    }

    /// Ends the member if its hold, its work or its lease has ended by `now_ms`.
    pub(super) fn end_if_due(&mut self, now_ms: u64) {
        match self.state {
            State::Staged { until_ms } if until_ms <= now_ms => self.state = State::NeverStarted,
            State::Running { from_ms, lease_until_ms } => {
                let work_ends_ms = from_ms.saturating_add(self.work.run_ms);
                let to_ms = work_ends_ms.min(lease_until_ms);
                if to_ms <= now_ms {
                    let end = self.run_end(work_ends_ms <= lease_until_ms);
                    self.state = State::Ended { from_ms, to_ms, end };
                }
            }
            _ => {}
        }
    }

    const fn run_end(&self, within_lease: bool) -> RunEnd {
        match (within_lease, self.work.fails) {
            (false, _) => RunEnd::LeaseEnded,
            (true, true) => RunEnd::Failed,
            (true, false) => RunEnd::Completed,
        }
    }

    /// Returns the run of the member, if it has started.
    pub(super) fn run(&self, gang: GangId, started: Instant) -> Option<MemberRun> {
        let at = |ms| started + Duration::from_millis(ms);
        let (from_ms, to, end) = match self.state {
            State::Running { from_ms, .. } => (from_ms, None, None),
            State::Ended { from_ms, to_ms, end } => (from_ms, Some(at(to_ms)), Some(end)),
            State::Staged { .. } | State::NeverStarted => return None,
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
