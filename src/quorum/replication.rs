//! Replication from the leader, its lease, and changes of membership.

use super::core::{Core, Leading, Persist, Role};
use super::log::Snapshot;
use super::membership::{Member, MemberId, Membership};
use super::message::{Body, Entry, Payload};

/// Most bytes of entries in one message.
const APPEND_BUDGET_BYTES: usize = 512 * 1024;

/// Time after which entries that were sent without an answer are sent again, in milliseconds.
const RESEND_AFTER_MS: u64 = 400;

/// Entries that a learner may lack when it becomes a voter.
const CAUGHT_UP_ENTRIES: u64 = 64;

/// Time for which a request to join holds, in milliseconds.
const JOIN_VALID_MS: u64 = 3_000;

/// Fewest voters that may remain after a lost voter is removed.
const FEWEST_VOTERS: usize = 3;

/// How far a follower is, as its leader knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Index up to which its log is known to match.
    pub(crate) matched: u64,
    /// Index up to which entries were sent.
    sent: u64,
    sent_ms: u64,
    /// Newest round of heartbeats that it confirmed.
    round: u64,
    /// When it was last heard.
    pub(crate) heard_ms: u64,
}

impl Core {
    /// Sends new entries to all followers.
    pub(super) fn replicate(&mut self, now_ms: u64) {
        for to in self.other_members() {
            self.send_entries(to, now_ms, false);
        }
        self.advance_commit(now_ms);
    }

    /// Begins a round of heartbeats, which confirms the leadership once a quorum answers.
    pub(super) fn broadcast_heartbeat(&mut self, now_ms: u64) {
        let Role::Leader(leading) = &mut self.role else { return };
        leading.round += 1;
        leading.round_sent_ms.insert(leading.round, now_ms);
        leading.heartbeat_due_ms = now_ms + self.timing.heartbeat_ms;
        for to in self.other_members() {
            self.send_entries(to, now_ms, true);
        }
        self.advance_commit(now_ms);
    }

    fn send_entries(&mut self, to: MemberId, now_ms: u64, heartbeat: bool) {
        let (last_index, commit) = (self.log.last_index(), self.commit);
        let Role::Leader(leading) = &mut self.role else { return };
        let round = leading.round;
        let progress = leading.progress.entry(to).or_insert_with(|| Progress {
            sent: last_index.min(leading.first_index - 1),
            sent_ms: now_ms,
            heard_ms: now_ms,
            ..Progress::default()
        });
        if progress.sent > progress.matched && now_ms >= progress.sent_ms + RESEND_AFTER_MS {
            progress.sent = progress.matched;
        }
        if !heartbeat && progress.sent >= last_index {
            return;
        }
        let prev_index = progress.sent;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            progress.sent = self.log.snapshot().index;
            progress.sent_ms = now_ms;
            let body = Body::Install { snapshot: self.log.snapshot().clone(), round };
            let message = self.message(to, body);
            self.out.send.push(message);
            return;
        };
        let entries = self.log.after(prev_index, APPEND_BUDGET_BYTES);
        if let Some(last) = entries.last() {
            progress.sent = last.index;
            progress.sent_ms = now_ms;
        }
        let body = Body::Append { prev_index, prev_term, entries, commit, round };
        let message = self.message(to, body);
        self.out.send.push(message);
    }

    /// Handles entries of the leader on a follower.
    pub(super) fn accept_entries(
        &mut self,
        leader: MemberId,
        (prev_index, prev_term): (u64, u64),
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        let base = self.log.snapshot().index;
        // Entries covered by a snapshot are committed and therefore match.
        let matches = prev_index < base || self.log.term_at(prev_index) == Some(prev_term);
        if !matches {
            let last_index = self.log.last_index().min(prev_index.saturating_sub(1));
            let reply = self.message(leader, Body::AppendRejected { last_index, round });
            self.out.send.push(reply);
            return;
        }
        let matched = prev_index + entries.len() as u64;
        self.replace_entries(entries);
        self.raise_commit(commit.min(matched));
        let reply = self.message(leader, Body::AppendAccepted { matched, round });
        self.out.send_after_sync.push(reply);
    }

    fn raise_commit(&mut self, commit: u64) {
        self.commit = self.commit.max(commit.min(self.log.last_index()));
    }

    /// Tells a leader of an older term that it was replaced.
    pub(super) fn reject_stale_leader(&mut self, from: MemberId, round: u64) {
        let last_index = self.log.last_index();
        let reply = self.message(from, Body::AppendRejected { last_index, round });
        self.out.send_after_sync.push(reply);
    }

    /// Handles a snapshot of the leader on a follower.
    pub(super) fn install(&mut self, leader: MemberId, snapshot: Snapshot, round: u64) {
        let matched = snapshot.index;
        if matched > self.commit {
            self.log.install(snapshot.clone());
            self.synced = self.synced.max(matched).min(self.log.last_index());
            self.commit = matched;
            self.skip_to(matched);
            self.out.committed.clear();
            self.out.installed = Some(snapshot.clone());
            self.out.persist.push(Persist::Snapshot(snapshot));
        }
        let reply = self.message(leader, Body::AppendAccepted { matched, round });
        self.out.send_after_sync.push(reply);
    }

    pub(super) fn note_accepted(
        &mut self,
        from: MemberId,
        term: u64,
        matched: u64,
        round: u64,
        now_ms: u64,
    ) {
        let last_index = self.log.last_index();
        let Some(progress) = self.progress_of(from, term) else { return };
        assert!(matched <= last_index, "a follower of this term holds only the leader's entries");
        progress.matched = progress.matched.max(matched);
        progress.sent = progress.sent.max(progress.matched);
        progress.round = progress.round.max(round);
        progress.heard_ms = now_ms;
        self.advance_commit(now_ms);
        self.send_entries(from, now_ms, false);
    }

    pub(super) fn note_rejected(
        &mut self,
        from: MemberId,
        term: u64,
        last_index: u64,
        round: u64,
        now_ms: u64,
    ) {
        let Some(progress) = self.progress_of(from, term) else { return };
        progress.round = progress.round.max(round);
        progress.heard_ms = now_ms;
        progress.sent = progress.matched.max(last_index.min(progress.sent));
        self.advance_commit(now_ms);
        self.send_entries(from, now_ms, true);
    }

    fn progress_of(&mut self, from: MemberId, term: u64) -> Option<&mut Progress> {
        if term != self.term {
            return None;
        }
        let Role::Leader(leading) = &mut self.role else { return None };
        leading.progress.get_mut(&from)
    }

    /// Commits what a quorum holds, and extends the lease by what a quorum confirmed.
    pub(super) fn advance_commit(&mut self, now_ms: u64) {
        let Role::Leader(leading) = &mut self.role else { return };
        let (own, synced) = (self.id, self.synced);
        let membership = self.log.membership();
        let matched_by = |id| {
            if id == own { synced } else { leading.progress.get(&id).map_or(0, |p| p.matched) }
        };
        let reached = membership.reached_by_quorum(matched_by);
        let newest = leading.round;
        let confirmed_by = |id| {
            if id == own { newest } else { leading.progress.get(&id).map_or(0, |p| p.round) }
        };
        let round = membership.reached_by_quorum(confirmed_by);
        if let Some(sent_ms) = leading.round_sent_ms.get(&round) {
            leading.confirmed_ms = leading.confirmed_ms.max(*sent_ms);
        }
        leading.round_sent_ms = leading.round_sent_ms.split_off(&round);
        // Entries of earlier terms are committed only together with one of this term.
        if reached > self.commit && self.log.term_at(reached) == Some(self.term) {
            self.commit = reached;
            self.step_down_if_removed(now_ms);
        }
    }

    fn step_down_if_removed(&mut self, now_ms: u64) {
        let committed = self.log.membership_index() <= self.commit;
        if committed && !self.membership().is_voter(self.id) {
            self.become_follower(None, now_ms);
        }
    }

    /// Tells whether this host certainly leads and has applied everything that was acknowledged.
    pub(crate) fn may_read(&self, now_ms: u64) -> bool {
        let Role::Leader(leading) = &self.role else { return false };
        self.commit >= leading.first_index && self.lease_holds(leading, now_ms)
    }

    fn lease_holds(&self, leading: &Leading, now_ms: u64) -> bool {
        // A tenth less than the followers' silence allows for clocks of different speed.
        let lease_ms = self.timing.election_ms * 9 / 10;
        let alone = self.membership().has_quorum(&[self.id]);
        !leading.handing_over && (alone || now_ms < leading.confirmed_ms + lease_ms)
    }

    pub(super) fn tick_leader(&mut self, now_ms: u64) {
        let Role::Leader(leading) = &self.role else { return };
        let silent_ms = now_ms.saturating_sub(leading.confirmed_ms.max(leading.started_ms));
        let alone = self.membership().has_quorum(&[self.id]);
        if silent_ms > 2 * self.timing.election_ms && !alone {
            // Without a quorum nothing can be committed; whoever asks is told so.
            self.become_follower(None, now_ms);
            return;
        }
        if now_ms >= leading.heartbeat_due_ms {
            self.change_membership(now_ms);
            self.broadcast_heartbeat(now_ms);
        }
    }

    /// Notes that a host wants to belong to the quorum.
    pub(crate) fn join(&mut self, id: MemberId, address: String, now_ms: u64) {
        if let Role::Leader(leading) = &mut self.role {
            leading.joining.insert(id, (address, now_ms));
        }
    }

    /// Takes the next step towards the membership that is wanted, one at a time.
    fn change_membership(&mut self, now_ms: u64) {
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
            if caught_up && now_ms < progress.heard_ms + self.timing.election_ms {
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
            let heard_ms = leading.progress.get(&id).map_or(leading.started_ms, |p| p.heard_ms);
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
