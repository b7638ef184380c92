//! Handling of answers to stage and commit messages, and of members that end without a stop.

use super::event::{GangId, MemberEnd, MemberStatus};
use super::gang::{Gang, GangPhase, StopReason};
use super::job::Ran;
use super::limits::START_LEASE_MS;
use super::pool::UpstreamIx;
use super::timers::Timer;
use super::{Decision, JobRecord, Scheduler};
use crate::names::UpstreamName;

impl Scheduler {
    /// Returns the gang and the member's upstream, if the answer belongs to a known gang.
    pub(super) fn member_gang(
        &mut self,
        id: GangId,
        upstream: &UpstreamName,
    ) -> Option<(&mut Gang, UpstreamIx)> {
        let ix = self.pool.find(upstream)?;
        let gang = self.gangs.get_mut(&id)?;
        gang.member_mut(ix)?;
        Some((gang, ix))
    }

    /// Returns whether an answer comes from a later incarnation of the upstream than the member's.
    pub(super) fn is_from_later_incarnation(
        &mut self,
        id: GangId,
        upstream: &UpstreamName,
        incarnation: u64,
    ) -> bool {
        let Some((gang, ix)) = self.member_gang(id, upstream) else { return false };
        gang.member_mut(ix).is_some_and(|member| member.incarnation < incarnation)
    }

    /// Ends a member whose upstream has restarted; what is known about its work stays unchanged.
    pub(super) fn end_lost_member(&mut self, id: GangId, upstream: &UpstreamName, now_ms: u64) {
        let Some((gang, ix)) = self.member_gang(id, upstream) else { return };
        let Some(incarnation) = gang.member_mut(ix).map(|member| member.incarnation) else {
            return;
        };
        self.record_crash(ix, incarnation, now_ms);
        let member = self.gangs.get_mut(&id).and_then(|gang| gang.member_mut(ix));
        if let Some(member) = member {
            member.ended = true;
        }
        self.stop_gang(id, StopReason::MemberLost(upstream.clone()), now_ms);
    }

    pub(super) fn on_stage_answered(
        &mut self,
        id: GangId,
        upstream: &UpstreamName,
        staged: bool,
        now_ms: u64,
    ) {
        let Some((gang, ix)) = self.member_gang(id, upstream) else { return };
        if gang.phase != GangPhase::Staging {
            return;
        }
        let Some(member) = gang.member_mut(ix) else { return };
        if member.answered {
            return;
        }
        member.answered = staged;
        member.ended |= !staged;
        if !staged {
            self.pause_upstream(ix, now_ms);
            self.stop_gang(id, StopReason::StageRefused(upstream.clone()), now_ms);
        } else if gang.all_answered() {
            self.commit(id, now_ms);
        }
    }

    fn commit(&mut self, id: GangId, now_ms: u64) {
        let Some(gang) = self.gangs.get_mut(&id) else { return };
        gang.begin_commit(now_ms);
        self.timers.set(Timer::Gang(id), gang.deadline_ms);
        let members: Vec<_> = gang.members.iter().map(|m| m.upstream).collect();
        self.persist(JobRecord::Committed { gang: id });
        for ix in members {
            let upstream = self.pool.upstream(ix).name.clone();
            self.emit(Decision::Commit { gang: id, upstream, lease_ms: START_LEASE_MS });
        }
    }

    pub(super) fn on_commit_answered(
        &mut self,
        id: GangId,
        upstream: &UpstreamName,
        started: bool,
        now_ms: u64,
    ) {
        let Some((gang, ix)) = self.member_gang(id, upstream) else { return };
        let phase = gang.phase;
        let Some(member) = gang.member_mut(ix) else { return };
        if phase == GangPhase::Staging
            || phase == GangPhase::Confirming
            || member.ran != Ran::Unknown
        {
            return;
        }
        member.ran = if started { Ran::Yes } else { Ran::No };
        member.ended |= !started;
        if phase != GangPhase::Committing {
            return self.finish_if_ended(id, now_ms);
        }
        member.answered = started;
        if !started {
            self.stop_gang(id, StopReason::CommitRefused(upstream.clone()), now_ms);
        } else if gang.all_answered() {
            self.grant_lease(id, now_ms);
        }
    }

    pub(super) fn on_member_ended(
        &mut self,
        id: GangId,
        upstream: &UpstreamName,
        end: MemberEnd,
        now_ms: u64,
    ) {
        let Some((gang, ix)) = self.member_gang(id, upstream) else { return };
        if gang.phase == GangPhase::Staging || !gang.end_member(ix, end) {
            return;
        }
        if end == MemberEnd::Completed {
            self.record_member_success(ix);
        }
        let Some(gang) = self.gangs.get(&id) else { return };
        let (phase, ended, answered) = (gang.phase, gang.all_ended(), gang.all_answered());
        // A member of a gang that is being stopped may fail because of the stop.
        if end == MemberEnd::Failed && phase != GangPhase::Stopping {
            self.record_member_failure(id, ix, now_ms);
            self.stop_gang(id, StopReason::MemberFailed(upstream.clone()), now_ms);
        } else if ended {
            self.finish_gang(id, now_ms);
        } else if answered && matches!(phase, GangPhase::Committing | GangPhase::Confirming) {
            self.grant_lease(id, now_ms);
        }
    }

    /// Applies the state of a member as reported in a renewal answer.
    pub(super) fn on_member_status(
        &mut self,
        id: GangId,
        upstream: &UpstreamName,
        status: MemberStatus,
        now_ms: u64,
    ) {
        let Some((gang, ix)) = self.member_gang(id, upstream) else { return };
        let confirming = gang.phase == GangPhase::Confirming;
        match status {
            MemberStatus::Completed => {
                self.on_member_ended(id, upstream, MemberEnd::Completed, now_ms);
            }
            MemberStatus::Failed => self.on_member_ended(id, upstream, MemberEnd::Failed, now_ms),
            // The member may still start: a commit sent before a restart of this process may
            // arrive later. Only the answer to a stop or the end of the lease is certain.
            MemberStatus::Absent => {
                self.stop_gang(id, StopReason::MemberLost(upstream.clone()), now_ms);
            }
            MemberStatus::Running => {
                let Some(member) = gang.member_mut(ix) else { return };
                member.answered = true;
                member.ran = Ran::Yes;
                if confirming && gang.all_answered() {
                    self.grant_lease(id, now_ms);
                }
            }
        }
    }

    pub(super) fn on_usage(&mut self, id: GangId, sequence: u64, used_ms: u64) {
        let Some(gang) = self.gangs.get_mut(&id) else { return };
        // Repeated and reordered reports must not count again.
        if sequence <= gang.usage_sequence {
            return;
        }
        gang.usage_sequence = sequence;
        gang.used_ms = gang.used_ms.max(used_ms);
    }
}
