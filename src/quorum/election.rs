//! Elections with pre-vote, so that a host returning from a partition does not force an election.

use super::core::{Core, DurableChange, LeaderState, Role};
use super::membership::MemberId;
use super::message::{Body, Message, Payload};

impl Core {
    /// Starts a pre-vote, which shows whether an election could be won without raising the term.
    ///
    /// It is repeated sooner than an election: after a restart of all hosts it fails until the last ones
    /// of a quorum are free to vote, and each repetition that comes later prolongs the outage.
    pub(super) fn start_pre_vote(&mut self, now_ms: u64) {
        self.set_election_timer(self.limits.election_ms / 4, now_ms);
        if !self.membership().is_voter(self.id) {
            self.role = Role::Follower { leader: None };
            return;
        }
        self.role = Role::PreCandidate { granted: vec![self.id] };
        if self.membership().has_quorum(&[self.id]) {
            self.start_election(false, now_ms);
            return;
        }
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for to in self.other_members() {
            let body = Body::PreVote { last_index, last_term };
            let request = Message { from: self.id, to, term: self.term + 1, body };
            self.output.send.push(request);
        }
    }

    /// Raises the term, votes for itself and requests the votes of the other members.
    pub(super) fn start_election(&mut self, handover: bool, now_ms: u64) {
        self.term += 1;
        self.voted_for = Some(self.id);
        self.persist_vote();
        self.role = Role::Candidate { granted: vec![self.id] };
        self.reset_election_timer(now_ms);
        if self.membership().has_quorum(&[self.id]) {
            self.become_leader(now_ms);
            return;
        }
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for to in self.other_members() {
            let request = self.message(to, Body::Vote { last_index, last_term, handover });
            // This host's vote for itself must be on disk before the others grant theirs.
            self.output.send_after_sync.push(request);
        }
    }

    /// Returns whether the last contact with a leader is so recent that its lease may still hold.
    fn has_recent_leader(&self, now_ms: u64) -> bool {
        now_ms < self.leader_contact_ms + self.limits.election_ms
    }

    fn is_up_to_date(&self, last: (u64, u64)) -> bool {
        last >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn handle_pre_vote(
        &mut self,
        from: MemberId,
        term: u64,
        last: (u64, u64),
        now_ms: u64,
    ) {
        let no_leader = !self.is_leader() && !self.has_recent_leader(now_ms);
        let granted = term > self.term && no_leader && self.is_up_to_date(last);
        let own = (self.log.last_term(), self.log.last_index(), self.id);
        let asks_too = matches!(self.role, Role::PreCandidate { .. });
        if granted && asks_too && (last.0, last.1, from) > own {
            // Two candidates divide the votes, and where just a quorum is left neither can win.
            self.role = Role::Follower { leader: None };
        }
        let body = Body::PreVoteReply { granted };
        let reply_term = if granted { term } else { self.term };
        self.output.send.push(Message { from: self.id, to: from, term: reply_term, body });
    }

    pub(super) fn handle_pre_vote_reply(
        &mut self,
        from: MemberId,
        term: u64,
        granted: bool,
        now_ms: u64,
    ) {
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
            self.start_election(false, now_ms);
        }
    }

    pub(super) fn handle_vote(
        &mut self,
        from: MemberId,
        term: u64,
        last: (u64, u64),
        handover: bool,
        now_ms: u64,
    ) {
        // A leader's lease relies on its followers not voting for another host.
        if !handover && (self.has_recent_leader(now_ms) || self.is_leader()) {
            return;
        }
        self.raise_term(term, now_ms);
        let may_vote = self.voted_for.is_none_or(|voted_for| voted_for == from);
        let granted = term == self.term && may_vote && self.is_up_to_date(last);
        if granted && self.voted_for.is_none() {
            self.voted_for = Some(from);
            self.persist_vote();
            self.reset_election_timer(now_ms);
        }
        let reply = self.message(from, Body::VoteReply { granted });
        self.output.send_after_sync.push(reply);
    }

    pub(super) fn handle_vote_reply(
        &mut self,
        from: MemberId,
        term: u64,
        granted: bool,
        now_ms: u64,
    ) {
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
            self.become_leader(now_ms);
        }
    }

    fn become_leader(&mut self, now_ms: u64) {
        assert_eq!(self.voted_for, Some(self.id), "a leader has its own vote");
        let mut leader_state = LeaderState { started_ms: now_ms, ..LeaderState::default() };
        leader_state.confirmed_ms = now_ms.saturating_sub(self.limits.election_ms);
        leader_state.term_start_index = self.log.last_index() + 1;
        self.role = Role::Leader(leader_state);
        self.append_as_leader(Payload::Empty);
        self.broadcast_heartbeat(now_ms);
    }

    /// Starts a handover to the reachable voter with the longest log; returns whether there is one.
    ///
    /// From then on no entries are accepted, so that the successor can catch up with the log.
    pub(crate) fn hand_over(&mut self, now_ms: u64) -> bool {
        let recent_ms = now_ms.saturating_sub(self.limits.election_ms);
        let voters: Vec<_> = self.membership().voters().filter(|id| *id != self.id).collect();
        let Role::Leader(leader_state) = &mut self.role else { return false };
        let reachable = leader_state
            .progress
            .iter()
            .filter(|(id, progress)| voters.contains(id) && progress.last_contact_ms >= recent_ms);
        let furthest =
            reachable.max_by_key(|(_, progress)| (progress.matched, progress.last_contact_ms));
        let Some((&successor, _)) = furthest else { return false };
        leader_state.handing_over_since_ms = Some(now_ms);
        leader_state.successor = Some(successor);
        self.send_handover_if_caught_up();
        true
    }

    /// Follows the sender unless its term is old; returns whether it does.
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
        self.leader_contact_ms = now_ms;
        true
    }

    /// Appends a leader's entries and drops local entries that conflict with them.
    pub(super) fn replace_entries(&mut self, entries: Vec<super::Entry>) {
        let known = |entry: &super::Entry| self.log.term_at(entry.index) == Some(entry.term);
        let first = self.log.first_index();
        let skip = entries.iter().take_while(|entry| entry.index < first || known(entry)).count();
        let new_entries: Vec<_> = entries.into_iter().skip(skip).collect();
        let Some(start) = new_entries.first().map(|entry| entry.index) else { return };
        assert!(start > self.commit_index, "a committed entry is never replaced");
        if start <= self.log.last_index() {
            self.log.truncate_from(start);
            self.synced_index = self.synced_index.min(start - 1);
        }
        for entry in &new_entries {
            self.log.append(entry.clone());
        }
        self.output.persist.push(DurableChange::Entries(new_entries));
    }
}
