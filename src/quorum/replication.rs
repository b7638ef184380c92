//! Replication of the log from the leader, and the leader's lease.

use super::core::{Core, DurableChange, LeaderState, Role};
use super::log::Snapshot;
use super::membership::MemberId;
use super::message::{Body, Entry};

/// Size limit of the entries in one message, which a slow link carries within a call's timeout.
const APPEND_BUDGET_BYTES: usize = 64 * 1024;

/// Limit of unacknowledged messages with entries for one follower.
const IN_FLIGHT_APPENDS_MAX: u32 = 8;

/// Time without progress after which unacknowledged entries are sent again.
const RESEND_AFTER_MS: u64 = 500;

/// How the leader replicates to one follower.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum ReplicationMode {
    /// The last matching index is unknown; only empty messages are sent, to find it.
    #[default]
    Probing,
    /// The log matches up to `matched`; entries are pipelined.
    Streaming,
}

/// Replication progress of one follower, as its leader knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Index up to which the follower's log is known to match.
    pub(crate) matched: u64,
    /// Index up to which entries were sent, or the index that is probed.
    sent: u64,
    mode: ReplicationMode,
    /// Messages with entries that are not acknowledged yet. An acknowledgement of a heartbeat counts
    /// as one of a message with entries, so that this can be too low.
    in_flight: u32,
    /// Time when `matched` last grew, or when entries were sent with none unacknowledged.
    last_progress_ms: u64,
    /// Newest heartbeat round that the follower confirmed.
    round: u64,
    /// Time of the follower's last message.
    pub(crate) last_contact_ms: u64,
}

impl Progress {
    /// Starts to search for the last matching index at `index`.
    fn probe(&mut self, index: u64) {
        self.mode = ReplicationMode::Probing;
        self.sent = index;
        self.in_flight = 0;
    }

    /// Returns whether entries were sent of which it is not known that the follower holds them.
    const fn has_unacknowledged(&self) -> bool {
        self.sent > self.matched
    }

    /// Records that the follower's log matches up to an index.
    fn record_match(&mut self, matched: u64, now_ms: u64) {
        if self.mode == ReplicationMode::Probing {
            self.mode = ReplicationMode::Streaming;
            self.sent = matched;
        }
        if matched > self.matched {
            self.last_progress_ms = now_ms;
        }
        self.matched = self.matched.max(matched);
        self.sent = self.sent.max(self.matched);
        self.in_flight = self.in_flight.saturating_sub(1);
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

    /// Starts a heartbeat round, which extends the lease once a quorum confirms it.
    pub(super) fn broadcast_heartbeat(&mut self, now_ms: u64) {
        let Role::Leader(leader_state) = &mut self.role else { return };
        leader_state.round += 1;
        leader_state.round_sent_ms.insert(leader_state.round, now_ms);
        leader_state.heartbeat_due_ms = now_ms + self.limits.heartbeat_ms;
        for to in self.other_members() {
            self.send_entries(to, now_ms, true);
        }
        self.advance_commit(now_ms);
    }

    fn send_entries(&mut self, to: MemberId, now_ms: u64, heartbeat: bool) {
        let last_index = self.log.last_index();
        let contact_timeout_ms = self.limits.election_ms;
        let Role::Leader(leader_state) = &mut self.role else { return };
        let round = leader_state.round;
        let progress = leader_state.progress.entry(to).or_insert_with(|| Progress {
            sent: leader_state.term_start_index - 1,
            last_progress_ms: now_ms,
            last_contact_ms: now_ms,
            ..Progress::default()
        });
        if progress.mode == ReplicationMode::Streaming {
            if now_ms > progress.last_contact_ms + contact_timeout_ms {
                // Entries queued for an unreachable host would fill the link once it is back.
                progress.probe(progress.matched);
            } else if progress.has_unacknowledged()
                && now_ms >= progress.last_progress_ms + RESEND_AFTER_MS
            {
                progress.sent = progress.matched;
                progress.in_flight = 0;
                progress.last_progress_ms = now_ms;
            }
        }
        let streaming = progress.mode == ReplicationMode::Streaming;
        let has_more = streaming && progress.sent < last_index;
        if has_more && progress.in_flight < IN_FLIGHT_APPENDS_MAX {
            if !progress.has_unacknowledged() {
                progress.last_progress_ms = now_ms;
            }
            progress.in_flight += 1;
            self.send_next_entries(to, round);
        } else if heartbeat {
            let index = if streaming { progress.matched } else { progress.sent };
            self.send_heartbeat(to, index, round);
        }
    }

    /// Sends the next entries, or the snapshot if they have been compacted.
    fn send_next_entries(&mut self, to: MemberId, round: u64) {
        let Role::Leader(leader_state) = &mut self.role else { return };
        let Some(progress) = leader_state.progress.get_mut(&to) else { return };
        let prev_index = progress.sent;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            self.send_snapshot(to);
            return;
        };
        let entries = self.log.after(prev_index, APPEND_BUDGET_BYTES);
        progress.sent = entries.last().map_or(prev_index, |entry| entry.index);
        let body =
            Body::Append { prev_index, prev_term, entries, commit: self.commit_index, round };
        let message = self.message(to, body);
        self.output.send.push(message);
    }

    /// Sends a message without entries, which also checks whether the log matches at `index`.
    fn send_heartbeat(&mut self, to: MemberId, index: u64, round: u64) {
        // Terms of compacted entries are unknown, so the snapshot's index is the lowest to check.
        let prev_index = index.max(self.log.snapshot().index);
        let prev_term = self.log.term_at(prev_index).expect("progress lies within the log");
        let entries = Vec::new();
        let body =
            Body::Append { prev_index, prev_term, entries, commit: self.commit_index, round };
        let message = self.message(to, body);
        self.output.send.push(message);
    }

    /// Handles entries or a heartbeat of the leader on a follower.
    pub(super) fn handle_append(
        &mut self,
        leader: MemberId,
        (prev_index, prev_term): (u64, u64),
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        let snapshot_index = self.log.snapshot().index;
        // Entries covered by a snapshot are committed, so they match the leader's.
        let matches =
            prev_index < snapshot_index || self.log.term_at(prev_index) == Some(prev_term);
        if !matches {
            let last_index = self.log.last_index().min(prev_index.saturating_sub(1));
            let body = Body::AppendRejected { prev_index, last_index, round };
            let reply = self.message(leader, body);
            self.output.send.push(reply);
            return;
        }
        let last_new = prev_index + entries.len() as u64;
        self.replace_entries(entries);
        self.raise_commit(commit.min(last_new));
        let reply = self.message(leader, Body::AppendAccepted { matched: last_new, round });
        self.output.send_after_sync.push(reply);
    }

    fn raise_commit(&mut self, commit: u64) {
        self.commit_index = self.commit_index.max(commit.min(self.log.last_index()));
    }

    /// Sends the current term to a leader of an older term, which then steps down.
    pub(super) fn reject_stale_leader(&mut self, from: MemberId, round: u64) {
        let last_index = self.log.last_index();
        let body = Body::AppendRejected { prev_index: 0, last_index, round };
        let reply = self.message(from, body);
        self.output.send_after_sync.push(reply);
    }

    /// Handles a snapshot of the leader on a follower.
    pub(super) fn handle_install(&mut self, leader: MemberId, snapshot: Snapshot, round: u64) {
        let matched = snapshot.index;
        if matched > self.commit_index {
            self.log.install(snapshot.clone());
            self.synced_index = self.synced_index.max(matched).min(self.log.last_index());
            self.commit_index = matched;
            self.set_applied_index(matched);
            self.output.committed.clear();
            self.output.installed = Some(snapshot.clone());
            self.output.persist.push(DurableChange::Snapshot(snapshot));
        }
        let reply = self.message(leader, Body::AppendAccepted { matched, round });
        self.output.send_after_sync.push(reply);
    }

    pub(super) fn handle_append_accepted(
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
        progress.record_match(matched, now_ms);
        progress.round = progress.round.max(round);
        progress.last_contact_ms = now_ms;
        self.advance_commit(now_ms);
        self.send_entries(from, now_ms, false);
        self.send_handover_if_caught_up();
    }

    /// Tells the successor to start an election once it holds the whole log.
    pub(super) fn send_handover_if_caught_up(&mut self) {
        let last_index = self.log.last_index();
        let Role::Leader(leader_state) = &mut self.role else { return };
        let Some(successor) = leader_state.successor else { return };
        let matched = leader_state.progress.get(&successor).map_or(0, |progress| progress.matched);
        if matched == last_index {
            leader_state.successor = None;
            let message = self.message(successor, Body::Handover);
            self.output.send.push(message);
        }
    }

    /// Continues the search for the last matching index at an earlier one.
    ///
    /// Rejections of older probes are ignored.
    pub(super) fn handle_append_rejected(
        &mut self,
        from: MemberId,
        term: u64,
        (prev_index, last_index): (u64, u64),
        round: u64,
        now_ms: u64,
    ) {
        let snapshot_index = self.log.snapshot().index;
        let Some(progress) = self.progress_of(from, term) else { return };
        progress.round = progress.round.max(round);
        progress.last_contact_ms = now_ms;
        // While streaming, a message that overtakes an earlier one is rejected. Entries that are
        // really missing are sent again after `RESEND_AFTER_MS` without progress.
        let current = progress.mode == ReplicationMode::Probing
            && prev_index == progress.sent.max(snapshot_index);
        if current && prev_index <= snapshot_index {
            // The follower lacks entries that have been compacted.
            progress.mode = ReplicationMode::Streaming;
            progress.sent = 0;
            progress.in_flight = 1;
            progress.last_progress_ms = now_ms;
            self.send_snapshot(from);
        } else if current {
            progress.probe(progress.matched.max(last_index));
            let (index, newest_round) = (progress.sent, progress.round);
            self.send_heartbeat(from, index, newest_round);
        }
        self.advance_commit(now_ms);
    }

    fn send_snapshot(&mut self, to: MemberId) {
        let snapshot = self.log.snapshot().clone();
        let Role::Leader(leader_state) = &mut self.role else { return };
        let round = leader_state.round;
        if let Some(progress) = leader_state.progress.get_mut(&to) {
            progress.sent = snapshot.index;
        }
        let message = self.message(to, Body::Install { snapshot, round });
        self.output.send.push(message);
    }

    fn progress_of(&mut self, from: MemberId, term: u64) -> Option<&mut Progress> {
        if term != self.term {
            return None;
        }
        let Role::Leader(leader_state) = &mut self.role else { return None };
        leader_state.progress.get_mut(&from)
    }

    /// Commits the entries that a quorum holds, and extends the lease by the rounds it confirmed.
    pub(super) fn advance_commit(&mut self, now_ms: u64) {
        let Role::Leader(leader_state) = &mut self.role else { return };
        let (own, synced) = (self.id, self.synced_index);
        let membership = self.log.membership();
        let matched_by = |id| {
            if id == own { synced } else { leader_state.progress.get(&id).map_or(0, |p| p.matched) }
        };
        let quorum_index = membership.reached_by_quorum(matched_by);
        let newest_round = leader_state.round;
        let confirmed_by = |id| {
            if id == own {
                newest_round
            } else {
                leader_state.progress.get(&id).map_or(0, |p| p.round)
            }
        };
        let round = membership.reached_by_quorum(confirmed_by);
        if let Some(sent_ms) = leader_state.round_sent_ms.get(&round) {
            leader_state.confirmed_ms = leader_state.confirmed_ms.max(*sent_ms);
        }
        leader_state.round_sent_ms = leader_state.round_sent_ms.split_off(&round);
        // Entries of earlier terms are only committed together with an entry of this term.
        if quorum_index > self.commit_index && self.log.term_at(quorum_index) == Some(self.term) {
            self.commit_index = quorum_index;
            self.step_down_if_removed(now_ms);
        }
    }

    fn step_down_if_removed(&mut self, now_ms: u64) {
        let committed = self.log.membership_index() <= self.commit_index;
        if committed && !self.membership().is_voter(self.id) {
            self.become_follower(None, now_ms);
        }
    }

    /// Returns whether this host holds the leader's lease and has committed an entry of its term.
    ///
    /// It may then serve linearizable reads and send orders.
    pub(crate) fn is_confirmed_leader(&self, now_ms: u64) -> bool {
        let Role::Leader(leader_state) = &self.role else { return false };
        self.commit_index >= leader_state.term_start_index && self.lease_holds(leader_state, now_ms)
    }

    fn lease_holds(&self, leader_state: &LeaderState, now_ms: u64) -> bool {
        // The lease is a tenth shorter than the time in which followers withhold votes, so that
        // it ends first even if clocks drift.
        let lease_ms = self.limits.election_ms * 9 / 10;
        let single_voter = self.membership().has_quorum(&[self.id]);
        leader_state.handing_over_since_ms.is_none()
            && (single_voter || now_ms < leader_state.confirmed_ms + lease_ms)
    }

    pub(super) fn tick_leader(&mut self, now_ms: u64) {
        let Role::Leader(leader_state) = &self.role else { return };
        let unconfirmed_ms =
            now_ms.saturating_sub(leader_state.confirmed_ms.max(leader_state.started_ms));
        let single_voter = self.membership().has_quorum(&[self.id]);
        let handing_over_since_ms = leader_state.handing_over_since_ms;
        let timed_out = |since_ms| now_ms > since_ms + 2 * self.limits.election_ms;
        if unconfirmed_ms > 2 * self.limits.election_ms && !single_voter
            || handing_over_since_ms.is_some_and(timed_out)
        {
            // Without a quorum nothing can be committed, so callers should get an error, not wait.
            self.become_follower(None, now_ms);
            return;
        }
        if now_ms >= leader_state.heartbeat_due_ms {
            self.change_membership(now_ms);
            self.broadcast_heartbeat(now_ms);
        }
    }
}
