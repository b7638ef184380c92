//! Handling of upstreams that announce themselves, leave or are lost.

use super::event::{Announcement, GangId};
use super::gang::{GangPhase, StopReason};
use super::limits::LOST_UPSTREAM_RETENTION_MS;
use super::pool::{AnnounceOutcome, UpstreamIx};
use super::timers::Timer;
use super::{Decision, Renewal, Scheduler};
use crate::names::UpstreamName;

impl Scheduler {
    pub(super) fn on_announced(&mut self, announcement: &Announcement, now_ms: u64) {
        let known = self.pool.find(&announcement.name);
        let former = known.map(|ix| self.pool.upstream(ix).incarnation);
        match self.pool.apply_announcement(announcement) {
            AnnounceOutcome::Unchanged | AnnounceOutcome::Invalid => {}
            AnnounceOutcome::Changed(ix) => self.on_upstream_available(ix, now_ms),
            AnnounceOutcome::Restarted(ix) => {
                if let Some(former) = former {
                    self.record_crash(ix, former, now_ms);
                }
                self.end_old_members(ix, now_ms);
                self.clear_failures(ix);
                self.on_upstream_available(ix, now_ms);
            }
            AnnounceOutcome::RestartedInvalid(ix) => {
                if let Some(former) = former {
                    self.record_crash(ix, former, now_ms);
                }
                self.end_old_members(ix, now_ms);
                self.on_unavailable(ix, now_ms);
            }
        }
    }

    fn on_upstream_available(&mut self, ix: UpstreamIx, now_ms: u64) {
        self.timers.clear(Timer::RemoveFromLayout(ix));
        for gang in self.gangs_on(ix) {
            self.resend_to(gang, ix, now_ms);
        }
        self.review_upstream(ix, now_ms);
        self.timers.set_earlier(Timer::Guarantees, now_ms);
        self.queue.retry_all();
    }

    /// Reviews the guaranteed blocks on upstreams whose position or size changed.
    pub(super) fn review_moved(&mut self, now_ms: u64) {
        for ix in std::mem::take(&mut self.pool.moved) {
            self.review_upstream(ix, now_ms);
        }
    }

    /// Repeats the current message of a gang to a member that can be reached again.
    fn resend_to(&mut self, id: GangId, ix: UpstreamIx, now_ms: u64) {
        let Some(gang) = self.gangs.get_mut(&id) else { return };
        let upstream = self.pool.upstream(ix).name.clone();
        match gang.phase {
            GangPhase::Stopping => self.send_stops(id, now_ms),
            GangPhase::Confirming => {
                let round = gang.round;
                let gangs = vec![Renewal { gang: id, lease_ms: 0 }];
                self.emit(Decision::Renew { upstream, round, gangs });
            }
            GangPhase::Staging | GangPhase::Committing | GangPhase::Running => {}
        }
    }

    /// Ends the members that an earlier incarnation of the upstream ran.
    fn end_old_members(&mut self, ix: UpstreamIx, now_ms: u64) {
        let upstream = self.pool.upstream(ix);
        let (name, incarnation) = (upstream.name.clone(), upstream.incarnation);
        for id in self.gangs_on(ix) {
            let Some(gang) = self.gangs.get_mut(&id) else { continue };
            let Some(member) = gang.member_mut(ix) else { continue };
            if member.incarnation < incarnation && !member.ended {
                member.ended = true;
                self.stop_gang(id, StopReason::MemberLost(name.clone()), now_ms);
            }
        }
    }

    pub(super) fn on_lost(&mut self, upstream: &UpstreamName, now_ms: u64) {
        let Some(ix) = self.pool.find(upstream) else { return };
        if !self.pool.upstream(ix).live {
            return;
        }
        self.record_crash(ix, self.pool.upstream(ix).incarnation, now_ms);
        self.pool.mark_lost(ix);
        for id in self.gangs_on(ix) {
            let ended =
                self.gangs.get_mut(&id).and_then(|g| g.member_mut(ix)).is_none_or(|m| m.ended);
            if !ended {
                self.stop_gang(id, StopReason::MemberLost(upstream.clone()), now_ms);
            }
        }
        self.on_unavailable(ix, now_ms);
    }

    /// Handles that an upstream takes no work until it announces itself again.
    fn on_unavailable(&mut self, ix: UpstreamIx, now_ms: u64) {
        self.timers.set(Timer::RemoveFromLayout(ix), now_ms + LOST_UPSTREAM_RETENTION_MS);
        self.review_upstream(ix, now_ms);
        // Another upstream may have taken over the position.
        self.queue.retry_all();
    }

    pub(super) fn on_leaving(&mut self, upstream: &UpstreamName, incarnation: u64, now_ms: u64) {
        let Some(ix) = self.pool.find(upstream) else { return };
        self.pool.update(ix, |u| u.leaving = u.leaving.max(Some(incarnation)));
        self.review_upstream(ix, now_ms);
    }

    /// Removes an upstream from the layout that was lost for longer than the retention time.
    pub(super) fn remove_from_layout(&mut self, ix: UpstreamIx, now_ms: u64) {
        if self.pool.upstream(ix).live {
            return;
        }
        self.pool.unmount(ix);
        self.clear_failures(ix);
        self.review_upstream(ix, now_ms);
        self.refuse_unrunnable(now_ms);
    }

    fn gangs_on(&self, ix: UpstreamIx) -> Vec<GangId> {
        self.pool.upstream(ix).gangs.iter().map(|(id, _)| *id).collect()
    }
}
