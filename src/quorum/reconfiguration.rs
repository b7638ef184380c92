//! Membership changes, one member at a time: lost disks, new hosts, lost hosts.

use super::core::{Core, LeaderState, Role};
use super::membership::{Member, MemberId, Membership};
use super::message::Payload;

/// Largest lag at which a learner is promoted to voter.
const LEARNER_LAG_MAX_ENTRIES: u64 = 64;

/// Time for which a request to join is valid.
const JOIN_REQUEST_TTL_MS: u64 = 3_000;

impl Core {
    /// Records a host's request to join the quorum.
    pub(crate) fn join(&mut self, id: MemberId, address: String, now_ms: u64) {
        if let Role::Leader(leader_state) = &mut self.role {
            leader_state.joining.insert(id, (address, now_ms));
        }
    }

    /// Proposes the next membership change once the previous one is committed.
    pub(super) fn change_membership(&mut self, now_ms: u64) {
        let Role::Leader(leader_state) = &mut self.role else { return };
        leader_state
            .joining
            .retain(|_, (_, requested_ms)| now_ms < *requested_ms + JOIN_REQUEST_TTL_MS);
        let settled = self.log.membership_index() <= self.commit_index
            && self.commit_index >= leader_state.term_start_index;
        if !settled {
            return;
        }
        let leader_state = leader_state.clone();
        let membership = self.membership().clone();
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

    /// Removes a lost voter if enough voters remain.
    ///
    /// A lost host that has a successor must not count any more: with the votes of both missing, the
    /// loss of another host could leave no quorum for good.
    fn without_lost_voter(
        &self,
        leader_state: &LeaderState,
        membership: &Membership,
        now_ms: u64,
    ) -> Option<Membership> {
        if membership.voters().count() <= self.limits.voters_min() {
            return None;
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
