//! Changes of membership, one at a time: lost disks, new hosts, lost hosts.

use super::core::{Core, Leading, Role};
use super::membership::{Member, MemberId, Membership};
use super::message::Payload;

/// Entries that a learner may lack when it becomes a voter.
const CAUGHT_UP_ENTRIES: u64 = 64;

/// Time for which a request to join holds, in milliseconds.
const JOIN_VALID_MS: u64 = 3_000;

/// Fewest voters that may remain after a lost voter is removed.
const FEWEST_VOTERS: usize = 3;

impl Core {
    /// Notes that a host wants to belong to the quorum.
    pub(crate) fn join(&mut self, id: MemberId, address: String, now_ms: u64) {
        if let Role::Leader(leading) = &mut self.role {
            leading.joining.insert(id, (address, now_ms));
        }
    }

    /// Takes the next step towards the membership that is wanted, one at a time.
    pub(super) fn change_membership(&mut self, now_ms: u64) {
        let Role::Leader(leading) = &mut self.role else { return };
        leading.joining.retain(|_, (_, asked_ms)| now_ms < *asked_ms + JOIN_VALID_MS);
        let settled =
            self.log.membership_index() <= self.commit && self.commit >= leading.first_index;
        if !settled {
            return;
        }
        let leading = leading.clone();
        let membership = self.membership().clone();
        if let Some(next) = self.next_membership(&leading, &membership, now_ms) {
            self.append_own(Payload::Membership(next));
            self.replicate(now_ms);
        }
    }

    fn next_membership(
        &self,
        leading: &Leading,
        membership: &Membership,
        now_ms: u64,
    ) -> Option<Membership> {
        for (&id, (address, _)) in &leading.joining {
            if membership.get(id).is_some() {
                continue;
            }
            let same_place = |member: &&Member| member.address == *address && member.id != self.id;
            if let Some(former) = membership.members.iter().find(same_place) {
                // The disk behind this identity is gone, so it never votes again.
                return Some(membership.without(former.id));
            }
            let learner = Member { id, address: address.clone(), voter: false };
            return Some(membership.with(learner));
        }
        let learners = membership.members.iter().filter(|member| !member.voter);
        for learner in learners {
            let progress = leading.progress.get(&learner.id).copied().unwrap_or_default();
            let caught_up = progress.matched + CAUGHT_UP_ENTRIES >= self.log.last_index();
            if caught_up && now_ms < progress.last_contact_ms + self.timing.election_ms {
                return Some(membership.with(Member { voter: true, ..learner.clone() }));
            }
        }
        self.without_lost_voter(leading, membership, now_ms)
    }

    /// Removes a voter that has been silent for long, if enough others are in reach.
    fn without_lost_voter(
        &self,
        leading: &Leading,
        membership: &Membership,
        now_ms: u64,
    ) -> Option<Membership> {
        let silent_for = |id: MemberId| {
            let heard_ms =
                leading.progress.get(&id).map_or(leading.started_ms, |p| p.last_contact_ms);
            if id == self.id { 0 } else { now_ms.saturating_sub(heard_ms) }
        };
        let voters: Vec<_> = membership.voters().collect();
        let lost = |id: &&MemberId| silent_for(**id) > self.timing.replace_after_ms;
        let mut silent = voters.iter().filter(lost);
        let (first, more) = (silent.next()?, silent.next());
        let remaining = voters.len() - 1;
        (more.is_none() && remaining >= FEWEST_VOTERS).then(|| membership.without(*first))
    }
}
