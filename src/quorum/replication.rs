//! Replication from the leader, and its lease.

use super::core::{Core, Leading, Persist, Role};
use super::log::Snapshot;
use super::membership::MemberId;
use super::message::{Body, Entry};

/// Most bytes of entries in one message; a slow link carries it well within a call's time limit.
const APPEND_BUDGET_BYTES: usize = 64 * 1024;

/// Most messages with entries that one follower has not answered.
const UNANSWERED_MAX: u32 = 8;

/// Time without progress after which unanswered entries are sent again, in milliseconds.
const RESEND_AFTER_MS: u64 = 500;

/// How entries are sent to a follower.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Flow {
    /// Where its log matches is not known: only empty messages are sent, to find out.
    #[default]
    Probing,
    /// Its log matches up to `matched`, and entries are sent before earlier ones are answered.
    Streaming,
}

/// How far a follower is, as its leader knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Index up to which its log is known to match.
    pub(crate) matched: u64,
    /// Index up to which entries were sent, or the index that is probed.
    sent: u64,
    flow: Flow,
    /// Messages with entries that were sent since the last answer.
    unanswered: u32,
    /// When the oldest unanswered message was sent, or the log last grew.
    active_ms: u64,
    /// Newest round of heartbeats that it confirmed.
    round: u64,
    /// When it was last heard.
    pub(crate) last_contact_ms: u64,
}

impl Progress {
    /// Goes back to finding out where the log matches.
    fn probe(&mut self, index: u64) {
        self.flow = Flow::Probing;
        self.sent = index;
        self.unanswered = 0;
    }

    /// Notes that the follower holds the log up to an index.
    fn accept(&mut self, matched: u64, now_ms: u64) {
        if self.flow == Flow::Probing {
            self.flow = Flow::Streaming;
            self.sent = matched;
        }
        if matched > self.matched {
            self.active_ms = now_ms;
        }
        self.matched = self.matched.max(matched);
        self.sent = self.sent.max(self.matched);
        self.unanswered = self.unanswered.saturating_sub(1);
    }
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
        let last_index = self.log.last_index();
        let silence_ms = self.timing.election_ms;
        let Role::Leader(leading) = &mut self.role else { return };
        let round = leading.round;
        let progress = leading.progress.entry(to).or_insert_with(|| Progress {
            sent: leading.first_index - 1,
            active_ms: now_ms,
            last_contact_ms: now_ms,
            ..Progress::default()
        });
        if progress.flow == Flow::Streaming {
            if now_ms > progress.last_contact_ms + silence_ms {
                // Entries for a host that is cut off would only fill the link when it is back.
                progress.probe(progress.matched);
            } else if progress.unanswered > 0 && now_ms >= progress.active_ms + RESEND_AFTER_MS {
                progress.sent = progress.matched;
                progress.unanswered = 0;
                progress.active_ms = now_ms;
            }
        }
        let streaming = progress.flow == Flow::Streaming;
        let has_more = streaming && progress.sent < last_index;
        if has_more && progress.unanswered < UNANSWERED_MAX {
            if progress.unanswered == 0 {
                progress.active_ms = now_ms;
            }
            progress.unanswered += 1;
            self.send_more(to, round);
        } else if heartbeat {
            let known = if streaming { progress.matched } else { progress.sent };
            self.send_heartbeat(to, known, round);
        }
    }

    /// Sends the entries after the last ones that were sent.
    fn send_more(&mut self, to: MemberId, round: u64) {
        let Role::Leader(leading) = &mut self.role else { return };
        let Some(progress) = leading.progress.get_mut(&to) else { return };
        let prev_index = progress.sent;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            self.send_snapshot(to);
            return;
        };
        let entries = self.log.after(prev_index, APPEND_BUDGET_BYTES);
        progress.sent = entries.last().map_or(prev_index, |entry| entry.index);
        let body = Body::Append { prev_index, prev_term, entries, commit: self.commit, round };
        let message = self.message(to, body);
        self.out.send.push(message);
    }

    /// Sends a message without entries that asks whether the log matches at an index.
    fn send_heartbeat(&mut self, to: MemberId, index: u64, round: u64) {
        // What a snapshot covers is asked for at the snapshot's index.
        let prev_index = index.max(self.log.snapshot().index);
        let prev_term = self.log.term_at(prev_index).expect("progress lies within the log");
        let entries = Vec::new();
        let body = Body::Append { prev_index, prev_term, entries, commit: self.commit, round };
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
            let body = Body::AppendRejected { prev_index, last_index, round };
            let reply = self.message(leader, body);
            self.out.send.push(reply);
            return;
        }
        let last_new = prev_index + entries.len() as u64;
        self.replace_entries(entries);
        self.raise_commit(commit.min(last_new));
        let reply = self.message(leader, Body::AppendAccepted { matched: last_new, round });
        self.out.send_after_sync.push(reply);
    }

    fn raise_commit(&mut self, commit: u64) {
        self.commit = self.commit.max(commit.min(self.log.last_index()));
    }

    /// Tells a leader of an older term that it was replaced.
    pub(super) fn reject_stale_leader(&mut self, from: MemberId, round: u64) {
        let last_index = self.log.last_index();
        let body = Body::AppendRejected { prev_index: 0, last_index, round };
        let reply = self.message(from, body);
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
        progress.accept(matched, now_ms);
        progress.round = progress.round.max(round);
        progress.last_contact_ms = now_ms;
        self.advance_commit(now_ms);
        self.send_entries(from, now_ms, false);
        self.pass_to_heir();
    }

    /// Asks the chosen successor to stand for election once it holds the whole log.
    pub(super) fn pass_to_heir(&mut self) {
        let last_index = self.log.last_index();
        let Role::Leader(leading) = &mut self.role else { return };
        let Some(heir) = leading.heir else { return };
        let matched = leading.progress.get(&heir).map_or(0, |progress| progress.matched);
        if matched == last_index {
            leading.heir = None;
            let message = self.message(heir, Body::Handover);
            self.out.send.push(message);
        }
    }

    /// Looks further back in a follower's log, unless the rejection is about an older question.
    pub(super) fn note_rejected(
        &mut self,
        from: MemberId,
        term: u64,
        (prev_index, last_index): (u64, u64),
        round: u64,
        now_ms: u64,
    ) {
        let base = self.log.snapshot().index;
        let Some(progress) = self.progress_of(from, term) else { return };
        progress.round = progress.round.max(round);
        progress.last_contact_ms = now_ms;
        // While entries stream, messages that overtook others are rejected; what is really missing
        // is sent again once the log stops growing.
        let current = progress.flow == Flow::Probing && prev_index == progress.sent.max(base);
        if current && prev_index <= base {
            // The follower lacks what only the snapshot holds.
            progress.flow = Flow::Streaming;
            progress.sent = 0;
            progress.unanswered = 1;
            progress.active_ms = now_ms;
            self.send_snapshot(from);
        } else if current {
            progress.probe(progress.matched.max(last_index));
            let (known, newest) = (progress.sent, progress.round);
            self.send_heartbeat(from, known, newest);
        }
        self.advance_commit(now_ms);
    }

    fn send_snapshot(&mut self, to: MemberId) {
        let snapshot = self.log.snapshot().clone();
        let Role::Leader(leading) = &mut self.role else { return };
        let round = leading.round;
        if let Some(progress) = leading.progress.get_mut(&to) {
            progress.sent = snapshot.index;
        }
        let message = self.message(to, Body::Install { snapshot, round });
        self.out.send.push(message);
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
    pub(crate) fn is_confirmed_leader(&self, now_ms: u64) -> bool {
        let Role::Leader(leading) = &self.role else { return false };
        self.commit >= leading.first_index && self.lease_holds(leading, now_ms)
    }

    fn lease_holds(&self, leading: &Leading, now_ms: u64) -> bool {
        // A tenth less than the followers' silence allows for clocks of different speed.
        let lease_ms = self.timing.election_ms * 9 / 10;
        let alone = self.membership().has_quorum(&[self.id]);
        leading.handing_over_since_ms.is_none()
            && (alone || now_ms < leading.confirmed_ms + lease_ms)
    }

    pub(super) fn tick_leader(&mut self, now_ms: u64) {
        let Role::Leader(leading) = &self.role else { return };
        let silent_ms = now_ms.saturating_sub(leading.confirmed_ms.max(leading.started_ms));
        let alone = self.membership().has_quorum(&[self.id]);
        let handed_over = leading.handing_over_since_ms;
        let too_long = |since_ms| now_ms > since_ms + 2 * self.timing.election_ms;
        if silent_ms > 2 * self.timing.election_ms && !alone || handed_over.is_some_and(too_long) {
            // Without a quorum nothing can be committed; whoever asks is told so.
            self.become_follower(None, now_ms);
            return;
        }
        if now_ms >= leading.heartbeat_due_ms {
            self.change_membership(now_ms);
            self.broadcast_heartbeat(now_ms);
        }
    }
}
