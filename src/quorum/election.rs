//! Elections with a preceding poll, so that a host that was cut off disturbs nobody on its return.

use super::core::{Core, Leading, Persist, Role};
use super::membership::MemberId;
use super::message::{Body, Message, Payload};

impl Core {
    /// Asks whether an election could be won, without raising the term.
    pub(super) fn start_pre_vote(&mut self, now_ms: u64) {
        self.reset_election_timer(now_ms);
        if !self.membership().is_voter(self.id) {
            self.role = Role::Follower { leader: None };
            return;
        }
        self.role = Role::PreCandidate { granted: vec![self.id] };
        if self.membership().has_quorum(&[self.id]) {
            self.stand_for_election(false, now_ms);
            return;
        }
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for to in self.other_members() {
            let body = Body::PreVote { last_index, last_term };
            let poll = Message { from: self.id, to, term: self.term + 1, body };
            self.out.send.push(poll);
        }
    }

    /// Raises the term, votes for itself and asks the others.
    pub(super) fn stand_for_election(&mut self, handover: bool, now_ms: u64) {
        self.term += 1;
        self.voted_for = Some(self.id);
        self.persist_vote();
        self.role = Role::Candidate { granted: vec![self.id] };
        self.reset_election_timer(now_ms);
        if self.membership().has_quorum(&[self.id]) {
            self.lead(now_ms);
            return;
        }
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for to in self.other_members() {
            let request = self.message(to, Body::Vote { last_index, last_term, handover });
            // The own vote must be on disk before anybody counts on it.
            self.out.send_after_sync.push(request);
        }
    }

    /// Tells whether a leader was heard so recently that its lease may still hold.
    fn hears_leader(&self, now_ms: u64) -> bool {
        now_ms < self.heard_ms + self.timing.election_ms
    }

    fn is_up_to_date(&self, last: (u64, u64)) -> bool {
        last >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn answer_pre_vote(
        &mut self,
        from: MemberId,
        term: u64,
        last: (u64, u64),
        now_ms: u64,
    ) {
        let quiet = !self.is_leader() && !self.hears_leader(now_ms);
        let granted = term > self.term && quiet && self.is_up_to_date(last);
        let body = Body::PreVoteReply { granted };
        let reply_term = if granted { term } else { self.term };
        self.out.send.push(Message { from: self.id, to: from, term: reply_term, body });
    }

    pub(super) fn count_pre_vote(&mut self, from: MemberId, term: u64, granted: bool, now_ms: u64) {
        if !granted {
            self.raise_term(term, now_ms);
            return;
        }
        let Role::PreCandidate { granted } = &mut self.role else { return };
        if term != self.term + 1 {
            return;
        }
        if !granted.contains(&from) {
            granted.push(from);
        }
        let granted = granted.clone();
        if self.membership().has_quorum(&granted) {
            self.stand_for_election(false, now_ms);
        }
    }

    pub(super) fn answer_vote(
        &mut self,
        from: MemberId,
        term: u64,
        last: (u64, u64),
        handover: bool,
        now_ms: u64,
    ) {
        // A leader's lease relies on this silence of its followers.
        if !handover && (self.hears_leader(now_ms) || self.is_leader()) {
            return;
        }
        self.raise_term(term, now_ms);
        let free = self.voted_for.is_none_or(|voted_for| voted_for == from);
        let granted = term == self.term && free && self.is_up_to_date(last);
        if granted && self.voted_for.is_none() {
            self.voted_for = Some(from);
            self.persist_vote();
            self.reset_election_timer(now_ms);
        }
        let reply = self.message(from, Body::VoteReply { granted });
        self.out.send_after_sync.push(reply);
    }

    pub(super) fn count_vote(&mut self, from: MemberId, term: u64, granted: bool, now_ms: u64) {
        self.raise_term(term, now_ms);
        let Role::Candidate { granted: votes } = &mut self.role else { return };
        if term != self.term || !granted {
            return;
        }
        if !votes.contains(&from) {
            votes.push(from);
        }
        let votes = votes.clone();
        if self.membership().has_quorum(&votes) {
            self.lead(now_ms);
        }
    }

    fn lead(&mut self, now_ms: u64) {
        assert_eq!(self.voted_for, Some(self.id), "a leader has its own vote");
        let mut leading = Leading { started_ms: now_ms, ..Leading::default() };
        leading.confirmed_ms = now_ms.saturating_sub(self.timing.election_ms);
        leading.first_index = self.log.last_index() + 1;
        self.role = Role::Leader(leading);
        self.append_own(Payload::Empty);
        self.broadcast_heartbeat(now_ms);
    }

    /// Passes leadership to the reachable voter that is furthest along; tells whether there is one.
    ///
    /// From now on no further entries are taken, so that the successor can hold them all.
    pub(crate) fn hand_over(&mut self, now_ms: u64) -> bool {
        let recent_ms = now_ms.saturating_sub(self.timing.election_ms);
        let voters: Vec<_> = self.membership().voters().filter(|id| *id != self.id).collect();
        let Role::Leader(leading) = &mut self.role else { return false };
        let reachable = leading
            .progress
            .iter()
            .filter(|(id, progress)| voters.contains(id) && progress.last_contact_ms >= recent_ms);
        let furthest =
            reachable.max_by_key(|(_, progress)| (progress.matched, progress.last_contact_ms));
        let Some((&heir, _)) = furthest else { return false };
        leading.handing_over_since_ms = Some(now_ms);
        leading.heir = Some(heir);
        self.pass_to_heir();
        true
    }

    /// Follows the sender if its term is current; tells whether it does.
    pub(super) fn follow(&mut self, leader: MemberId, term: u64, now_ms: u64) -> bool {
        if term < self.term {
            return false;
        }
        assert!(
            term > self.term || !self.is_leader(),
            "two leaders in term {term}: {leader} and {}",
            self.id
        );
        self.raise_term(term, now_ms);
        self.become_follower(Some(leader), now_ms);
        self.heard_ms = now_ms;
        true
    }

    /// Drops entries that a leader's log contradicts and appends its own.
    pub(super) fn replace_entries(&mut self, entries: Vec<super::Entry>) {
        let known = |entry: &super::Entry| self.log.term_at(entry.index) == Some(entry.term);
        let first = self.log.first_index();
        let skip = entries.iter().take_while(|entry| entry.index < first || known(entry)).count();
        let new: Vec<_> = entries.into_iter().skip(skip).collect();
        let Some(start) = new.first().map(|entry| entry.index) else { return };
        assert!(start > self.commit, "a committed entry is never replaced");
        if start <= self.log.last_index() {
            self.log.truncate_from(start);
            self.synced = self.synced.min(start - 1);
        }
        for entry in &new {
            self.log.append(entry.clone());
        }
        self.out.persist.push(Persist::Entries(new));
    }
}
