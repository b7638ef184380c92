//! Grants and renewals of gang leases, and deadlines of unanswered messages.

use std::collections::BTreeMap;

use super::event::{GangId, MemberStatus};
use super::gang::{Gang, GangPhase, StopReason};
use super::limits::{CONFIRM_REPEAT_MS, GANG_LEASE_MS, RENEW_INTERVAL_MS};
use super::pool::{RackIx, UpstreamIx};
use super::timers::Timer;
use super::{Decision, Renewal, Scheduler};
use crate::names::UpstreamName;

/// Renewals of one round by upstream, so that each upstream gets one message.
type RenewalBatch = BTreeMap<UpstreamIx, Vec<Renewal>>;

impl Scheduler {
    pub(super) fn fire_timers(&mut self, now_ms: u64) {
        while let Some(timer) = self.timers.take_due(now_ms) {
            match timer {
                Timer::Gang(id) => self.on_gang_deadline(id, now_ms),
                Timer::Rack(rack) => self.renew_rack(rack, now_ms),
                Timer::Resume(ix) => self.on_resume_due(ix, now_ms),
                Timer::Starvation => self.review_starvation(now_ms),
                Timer::RemoveFromLayout(ix) => self.remove_from_layout(ix, now_ms),
                Timer::Reclaim(id) => self.on_reclaim_due(id, now_ms),
                Timer::Crashes => self.review_crashes(now_ms),
                Timer::Guarantees => self.review_risks(now_ms),
                Timer::DiscoveryEnded => self.on_discovery_ended(now_ms),
            }
        }
    }

    fn on_gang_deadline(&mut self, id: GangId, now_ms: u64) {
        let Some(gang) = self.gangs.get(&id) else { return };
        match gang.phase {
            GangPhase::Staging => self.stop_gang(id, StopReason::StageTimeout, now_ms),
            GangPhase::Committing => self.stop_gang(id, StopReason::CommitTimeout, now_ms),
            GangPhase::Confirming if now_ms < gang.lease_until_ms => {
                self.query_unanswered_members(id, now_ms);
            }
            GangPhase::Running | GangPhase::Confirming => {
                self.stop_gang(id, StopReason::LeaseEnded, now_ms);
            }
            GangPhase::Stopping if now_ms >= gang.certain_end_ms => self.finish_gang(id, now_ms),
            GangPhase::Stopping => self.send_stops(id, now_ms),
        }
    }

    /// Queries the members of a recovered gang that have not answered yet.
    fn query_unanswered_members(&mut self, id: GangId, now_ms: u64) {
        let Some(gang) = self.gangs.get_mut(&id) else { return };
        gang.deadline_ms = (now_ms + CONFIRM_REPEAT_MS).min(gang.lease_until_ms);
        self.timers.set(Timer::Gang(id), gang.deadline_ms);
        let mut messages = RenewalBatch::new();
        let unanswered = gang.members.iter().filter(|m| !m.answered && !m.ended);
        for member in unanswered.filter(|m| self.pool.upstream(m.upstream).live) {
            messages.entry(member.upstream).or_default().push(Renewal { gang: id, lease_ms: 0 });
        }
        let round = gang.round;
        self.send_round(round, messages);
    }

    /// Grants the full lease to a gang whose members have all answered.
    pub(super) fn grant_lease(&mut self, id: GangId, now_ms: u64) {
        let Some(gang) = self.gangs.get_mut(&id) else { return };
        let round = self.next_round;
        self.next_round += 1;
        let mut messages = RenewalBatch::new();
        gang.grant(round, now_ms);
        add_renewals(gang, GANG_LEASE_MS, &mut messages);
        self.timers.set(Timer::Gang(id), gang.deadline_ms);
        let rack = self.pool.rack_of(gang.members[0].upstream);
        self.send_round(round, messages);
        // One timer for a whole rack lets one message renew all gangs of an upstream.
        if !self.timers.is_set(Timer::Rack(rack)) {
            self.timers.set(Timer::Rack(rack), now_ms + RENEW_INTERVAL_MS);
        }
    }

    /// Renews the gangs of a rack whose members all answered. For the other gangs, repeats the last
    /// round to the members that have not answered, with the rest of their lease.
    fn renew_rack(&mut self, rack: RackIx, now_ms: u64) {
        let round = self.next_round;
        self.next_round += 1;
        let mut fresh = RenewalBatch::new();
        let mut repeated: BTreeMap<u64, RenewalBatch> = BTreeMap::new();
        let gangs = self.running_in(rack);
        for id in &gangs {
            let Some(gang) = self.gangs.get_mut(id) else { continue };
            if gang.all_answered() {
                gang.grant(round, now_ms);
                add_renewals(gang, GANG_LEASE_MS, &mut fresh);
                self.timers.set(Timer::Gang(*id), gang.deadline_ms);
            } else {
                let remaining_ms = gang.lease_until_ms.saturating_sub(now_ms);
                add_renewals(gang, remaining_ms, repeated.entry(gang.round).or_default());
            }
        }
        self.send_round(round, fresh);
        for (round, messages) in repeated {
            self.send_round(round, messages);
        }
        if !gangs.is_empty() {
            self.timers.set(Timer::Rack(rack), now_ms + RENEW_INTERVAL_MS);
        }
    }

    fn running_in(&self, rack: RackIx) -> Vec<GangId> {
        let upstreams = self.pool.racks[rack.get()].positions.iter().flatten();
        let gangs =
            upstreams.flat_map(|ix| self.pool.upstream(*ix).gangs.iter().map(|(id, _)| *id));
        let mut gangs: Vec<GangId> = gangs
            .filter(|id| self.gangs.get(id).is_some_and(|g| g.phase == GangPhase::Running))
            .collect();
        gangs.sort_unstable();
        gangs.dedup();
        gangs
    }

    fn send_round(&mut self, round: u64, messages: RenewalBatch) {
        for (ix, gangs) in messages {
            let upstream = self.pool.upstream(ix).name.clone();
            self.emit(Decision::Renew { upstream, round, gangs });
        }
    }

    pub(super) fn on_renew_answered(
        &mut self,
        upstream: &UpstreamName,
        round: u64,
        members: &[(GangId, MemberStatus)],
        now_ms: u64,
    ) {
        for &(id, status) in members {
            let Some(gang) = self.gangs.get(&id) else { continue };
            let current = gang.round == round;
            let asked = matches!(gang.phase, GangPhase::Running | GangPhase::Confirming);
            if current && asked {
                self.on_member_status(id, upstream, status, now_ms);
            }
        }
    }
}

/// Adds a renewal for each member that has neither answered nor ended.
fn add_renewals(gang: &Gang, lease_ms: u64, messages: &mut RenewalBatch) {
    if lease_ms == 0 {
        return;
    }
    for member in gang.members.iter().filter(|m| !m.answered && !m.ended) {
        messages.entry(member.upstream).or_default().push(Renewal { gang: gang.id, lease_ms });
    }
}
