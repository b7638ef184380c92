//! Membership changes, one member at a time: lost disks, new hosts, lost hosts.

use super::core::{Core, LeaderState, Role};
use super::membership::{Member, MemberId, Membership};
use super::message::Payload;

/// Largest lag at which a learner is promoted to voter.
const LEARNER_LAG_MAX_ENTRIES: u64 = 64;

/// Time for which a request to join or to leave is valid.
const REQUEST_TTL_MS: u64 = 3_000;

impl Core {
    /// Records a host's request to join the quorum.
    pub(crate) fn join(&mut self, id: MemberId, address: String, now_ms: u64) {
        if let Role::Leader(leader_state) = &mut self.role {
            leader_state.joining.insert(id, (address, now_ms));
        }
    }

    /// Records a host's request to leave, since it is about to stop.
    ///
    /// Returns whether it will be removed, which takes enough other voters.
    pub(crate) fn leave(&mut self, id: MemberId, now_ms: u64) -> bool {
        let is_other_voter = id != self.id && self.membership().is_voter(id);
        let may_remove = is_other_voter && self.has_surplus_voter();
        let Role::Leader(leader_state) = &mut self.role else { return false };
        if may_remove {
            leader_state.leaving.insert(id, now_ms);
        }
        may_remove
    }

    /// Returns whether a voter may be removed without a successor.
    fn has_surplus_voter(&self) -> bool {
        self.membership().voters().count() > self.limits.voters_min()
    }

    /// Proposes the next membership change once the previous one is committed.
    pub(super) fn change_membership(&mut self, now_ms: u64) {
        let Role::Leader(leader_state) = &mut self.role else { return };
        leader_state.joining.retain(|_, (_, requested_ms)| now_ms < *requested_ms + REQUEST_TTL_MS);
        leader_state.leaving.retain(|_, requested_ms| now_ms < *requested_ms + REQUEST_TTL_MS);
        let settled = self.log.membership_index() <= self.commit_index
            && self.commit_index >= leader_state.term_start_index;
        if !settled {
            return;
        }
        let membership = self.log.membership().clone();
        // A host that has left and comes back is not removed again.
        leader_state.leaving.retain(|id, _| membership.is_voter(*id));
        let leader_state = leader_state.clone();
        if let Some(next) = self.next_membership(&leader_state, &membership, now_ms) {
            self.append_as_leader(Payload::Membership(next));
            self.replicate(now_ms);
        }
    }

    fn next_membership(
        &self,
        leader_state: &LeaderState,
        membership: &Membership,
        now_ms: u64,
    ) -> Option<Membership> {
        for (&id, (address, _)) in &leader_state.joining {
            if membership.get(id).is_some() {
                continue;
            }
            let same_address =
                |member: &&Member| member.address == *address && member.id != self.id;
            if let Some(former) = membership.members.iter().find(same_address) {
                // The disk with this identity is lost, so this member can never vote again.
                return Some(membership.without(former.id));
            }
            let learner = Member { id, address: address.clone(), voter: false };
            return Some(membership.with(learner));
        }
        let learners = membership.members.iter().filter(|member| !member.voter);
        for learner in learners {
            let progress = leader_state.progress.get(&learner.id).copied().unwrap_or_default();
            let caught_up = progress.matched + LEARNER_LAG_MAX_ENTRIES >= self.log.last_index();
            if caught_up && now_ms < progress.last_contact_ms + self.limits.election_ms {
                return Some(membership.with(Member { voter: true, ..learner.clone() }));
            }
        }
        self.without_lost_voter(leader_state, membership, now_ms)
    }

    /// Removes a voter that leaves or is lost if enough voters remain.
    ///
    /// A lost voter beside its successor raises the number of votes that a quorum needs. If another
    /// host then lost its disk, too few voters could be left for good.
    fn without_lost_voter(
        &self,
        leader_state: &LeaderState,
        membership: &Membership,
        now_ms: u64,
    ) -> Option<Membership> {
        if !self.has_surplus_voter() {
            return None;
        }
        if let Some(&leaving) = leader_state.leaving.keys().next() {
            return Some(membership.without(leaving));
        }
        let silent_ms = |id: MemberId| {
            let progress = leader_state.progress.get(&id);
            let heard_ms = progress.map_or(leader_state.started_ms, |p| p.last_contact_ms);
            now_ms.saturating_sub(heard_ms)
        };
        let others = membership.voters().filter(|id| *id != self.id);
        let longest_silent = others.max_by_key(|id| silent_ms(*id))?;
        let is_lost = silent_ms(longest_silent) > self.limits.remove_after_ms;
        is_lost.then(|| membership.without(longest_silent))
    }
}
