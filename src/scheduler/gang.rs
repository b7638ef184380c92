//! One placement of a job: staging, commit, leases and the end of its members.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::Mask;
use super::event::{GangId, MemberEnd};
use super::job::Ran;
use super::limits::{
    CONFIRM_REPEAT_MS, GANG_LEASE_MS, STAGE_HOLD_MS, STAGE_TIMEOUT_MS, START_LEASE_MS,
    STOP_REPEAT_MS, certain_end_ms,
};
use super::organisation::GuaranteeId;
use super::pool::UpstreamIx;
use crate::names::{JobName, OrganisationName, UpstreamName};

/// Why a gang was stopped.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
pub enum StopReason {
    /// The caller cancelled the job.
    #[display("the job was cancelled")]
    Cancelled,
    /// An upstream refused to stage a member.
    #[display("upstream {_0} refused to stage a member")]
    StageRefused(UpstreamName),
    /// An upstream refused to start a staged member.
    #[display("upstream {_0} refused to start a staged member")]
    CommitRefused(UpstreamName),
    /// Members did not answer the stage message in time.
    #[display("not every member was staged in time")]
    StageTimeout,
    /// Members did not acknowledge the commit in time.
    #[display("not every member acknowledged the commit in time")]
    CommitTimeout,
    /// An upstream with a member was lost or started again.
    #[display("upstream {_0} was lost")]
    MemberLost(UpstreamName),
    /// A member failed.
    #[display("a member failed on upstream {_0}")]
    MemberFailed(UpstreamName),
    /// A member did not answer renewals until the lease ended.
    #[display("the lease ended because not every member answered its renewal")]
    LeaseEnded,
    /// The capacity was lent, and guaranteed work of its holder reclaimed it.
    #[display("guaranteed work of {_0} reclaimed the capacity")]
    Reclaimed(OrganisationName),
    /// The capacity was freed for a larger job that had waited too long.
    #[display("the capacity was drained for job {_0}")]
    Drained(JobName),
}

/// Stage in the life cycle of a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GangPhase {
    /// Stage messages were sent; no member works.
    Staging,
    /// Commit messages were sent; members work under the start lease.
    Committing,
    /// Every member acknowledged the commit; the full lease is renewed.
    Running,
    /// The scheduler restarted and queries the members for their state.
    Confirming,
    /// Stop messages were sent; the gang ends once every member has certainly ended.
    Stopping,
}

/// Part of a gang on one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Upstream of the member.
    pub upstream: UpstreamIx,
    /// Incarnation of the upstream at the time of placement.
    pub incarnation: u64,
    /// Accelerators of the member.
    pub mask: Mask,
    /// Whether the member answered the current round of messages.
    pub answered: bool,
    /// Whether the member has certainly ended.
    pub ended: bool,
    /// Whether the member completed its work.
    pub completed: bool,
    /// Whether the member has worked.
    pub ran: Ran,
}

/// A gang with its members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gang {
    /// Identity of the gang.
    pub id: GangId,
    /// Job that the gang runs.
    pub job: JobName,
    /// Stage in the life cycle of the gang.
    pub phase: GangPhase,
    /// Members of the gang, in rack order.
    pub members: SmallVec<[Member; 1]>,
    /// Time at which unanswered messages time out or are repeated.
    pub deadline_ms: u64,
    /// Time from which no member can be staged or working any more.
    pub certain_end_ms: u64,
    /// Time at which the current lease ends.
    pub lease_until_ms: u64,
    /// Round of the last renewal.
    pub round: u64,
    /// Why the gang is stopped, once it is.
    pub stop_reason: Option<StopReason>,
    /// Time at which the gang was placed.
    pub placed_ms: u64,
    /// Time at which every member had started, once known.
    pub started_ms: Option<u64>,
    /// Time at which the commit was sent, once it was.
    pub committed_ms: Option<u64>,
    /// Whether the gang may be stopped for other work.
    pub reclaimable: bool,
    /// Guaranteed block of its own organisation in which the gang runs.
    pub own_guarantee: Option<GuaranteeId>,
    /// Stop that follows the checkpoint request to a reclaimed gang.
    pub reclaim: Option<PendingReclaim>,
    /// Number of the last usage report acted on.
    pub usage_sequence: u64,
    /// Accelerator time used, as last reported.
    pub used_ms: u64,
}

/// Pending stop of a gang that was asked for a checkpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingReclaim {
    /// Time at which the members are stopped.
    pub stop_at_ms: u64,
    /// Why the gang is stopped.
    pub reason: StopReason,
}

impl Gang {
    /// Builds a gang whose stage messages are sent now.
    pub fn stage(id: GangId, job: JobName, members: SmallVec<[Member; 1]>, now_ms: u64) -> Self {
        Self {
            id,
            job,
            phase: GangPhase::Staging,
            members,
            deadline_ms: now_ms + STAGE_TIMEOUT_MS,
            certain_end_ms: certain_end_ms(now_ms, STAGE_HOLD_MS),
            lease_until_ms: now_ms,
            round: 0,
            stop_reason: None,
            placed_ms: now_ms,
            started_ms: None,
            committed_ms: None,
            reclaimable: true,
            own_guarantee: None,
            reclaim: None,
            usage_sequence: 0,
            used_ms: 0,
        }
    }

    /// Starts to query the members of a recovered gang for their state in a renewal round. The
    /// last renewal was sent before now, so the gang's work ends within a full lease from now.
    pub fn confirm(&mut self, round: u64, now_ms: u64) {
        self.phase = GangPhase::Confirming;
        self.round = round;
        self.committed_ms = Some(now_ms);
        self.deadline_ms = now_ms + CONFIRM_REPEAT_MS;
        self.lease_until_ms = now_ms + GANG_LEASE_MS;
        self.certain_end_ms = certain_end_ms(now_ms, GANG_LEASE_MS);
    }

    /// Returns the member on `upstream`.
    pub fn member_mut(&mut self, upstream: UpstreamIx) -> Option<&mut Member> {
        self.members.iter_mut().find(|m| m.upstream == upstream)
    }

    /// Returns whether every member that has not ended answered the current round.
    pub fn all_answered(&self) -> bool {
        self.members.iter().all(|m| m.answered || m.ended)
    }

    /// Returns whether every member has certainly ended.
    pub fn all_ended(&self) -> bool {
        self.members.iter().all(|m| m.ended)
    }

    /// Returns whether every member completed.
    pub fn all_completed(&self) -> bool {
        self.members.iter().all(|m| m.completed)
    }

    /// Returns whether the gang has worked, as far as known.
    pub fn ran(&self) -> Ran {
        if self.committed_ms.is_none() {
            return Ran::No;
        }
        self.members.iter().map(|m| m.ran).max().unwrap_or(Ran::No)
    }

    /// Starts the commit, which requires that every member is staged.
    ///
    /// # Panics
    /// Panics if a member has not been staged, because the gang would run without it.
    pub fn begin_commit(&mut self, now_ms: u64) {
        assert!(
            self.phase == GangPhase::Staging
                && self.all_answered()
                && !self.members.iter().any(|m| m.ended),
            "gang {} would be committed without all members staged",
            self.id
        );
        self.phase = GangPhase::Committing;
        self.committed_ms = Some(now_ms);
        self.deadline_ms = now_ms + START_LEASE_MS;
        self.lease_until_ms = now_ms + START_LEASE_MS;
        self.certain_end_ms = self.certain_end_ms.max(certain_end_ms(now_ms, START_LEASE_MS));
        for member in &mut self.members {
            member.answered = false;
            member.ran = Ran::Unknown;
        }
    }

    /// Grants a new full lease with renewal `round`.
    ///
    /// # Panics
    /// Panics if a member has not answered the last round, because its lease would end before the
    /// others' leases do.
    pub fn grant(&mut self, round: u64, now_ms: u64) {
        assert!(
            self.phase != GangPhase::Staging
                && self.phase != GangPhase::Stopping
                && self.all_answered(),
            "gang {} would be renewed although a member has not answered",
            self.id
        );
        self.phase = GangPhase::Running;
        self.started_ms.get_or_insert(now_ms);
        self.round = round;
        self.lease_until_ms = now_ms + GANG_LEASE_MS;
        self.deadline_ms = self.lease_until_ms;
        self.certain_end_ms = self.certain_end_ms.max(certain_end_ms(now_ms, GANG_LEASE_MS));
        for member in &mut self.members {
            member.answered = false;
        }
    }

    /// Starts to stop the gang; the first reason is kept.
    pub fn begin_stop(&mut self, reason: StopReason, now_ms: u64) {
        self.phase = GangPhase::Stopping;
        self.stop_reason.get_or_insert(reason);
        self.reclaim = None;
        self.schedule_stop_repeat(now_ms);
    }

    /// Sets the time of the next stop message, at the latest the certain end of the gang.
    pub fn schedule_stop_repeat(&mut self, now_ms: u64) {
        self.deadline_ms = (now_ms + STOP_REPEAT_MS).min(self.certain_end_ms).max(now_ms);
    }

    /// Marks the member on `upstream` as ended; returns false if there is none or it had ended.
    pub fn end_member(&mut self, upstream: UpstreamIx, end: MemberEnd) -> bool {
        let Some(member) = self.member_mut(upstream) else { return false };
        if member.ended {
            return false;
        }
        member.ended = true;
        member.ran = Ran::Yes;
        member.completed = end == MemberEnd::Completed;
        true
    }
}
