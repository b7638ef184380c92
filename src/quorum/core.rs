//! Consensus state of one host, and the transitions that all roles share.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::log::{Log, Snapshot};
use super::membership::{MemberId, Membership};
use super::message::{Body, Entry, Message, Payload};
use super::replication::Progress;

/// Time limits of a quorum, and the losses that it tolerates.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// Base election timeout; a random part of up to half of it is added.
    pub(crate) election_ms: u64,
    /// Interval between heartbeats of a leader.
    pub(crate) heartbeat_ms: u64,
    /// Time without contact after which the leader removes a voter, if enough others remain.
    pub(crate) remove_after_ms: u64,
    /// Largest number of hosts that may be lost at the same time, with their disks.
    pub(crate) losses_max: usize,
}

impl Limits {
    /// Returns the smallest number of voters of which `losses_max` may be lost.
    ///
    /// With this many, each committed entry is on more disks than may be lost.
    pub(super) const fn voters_min(&self) -> usize {
        self.losses_max.saturating_mul(2).saturating_add(1)
    }
}

/// Role of a host in its current term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Role {
    Follower { leader: Option<MemberId> },
    PreCandidate { granted: Vec<MemberId> },
    Candidate { granted: Vec<MemberId> },
    Leader(LeaderState),
}

/// State of a leader.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct LeaderState {
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    /// Number of the newest heartbeat round.
    pub(crate) round: u64,
    /// Send times of the newest rounds, from the last confirmed one on.
    pub(crate) round_sent_ms: BTreeMap<u64, u64>,
    /// Index of the leader's first entry of its term; reads wait until it is committed.
    pub(crate) term_start_index: u64,
    /// Send time of the newest round that a quorum confirmed; the lease starts then.
    pub(crate) confirmed_ms: u64,
    pub(crate) started_ms: u64,
    pub(crate) heartbeat_due_ms: u64,
    /// Start of a leadership handover; from then on the lease no longer holds.
    pub(crate) handing_over_since_ms: Option<u64>,
    /// Target of a handover that does not hold the whole log yet.
    pub(crate) successor: Option<MemberId>,
    /// Address and time of the last request of each host that asked to join.
    pub(crate) joining: BTreeMap<MemberId, (String, u64)>,
    /// Time of the request of each host that is about to stop.
    pub(crate) leaving: BTreeMap<MemberId, u64>,
}

/// A change of the state that must survive a restart.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum DurableChange {
    Vote {
        term: u64,
        voted_for: Option<MemberId>,
    },
    /// Replaces the log from the first entry's index on.
    Entries(Vec<Entry>),
    /// Replaces the log up to the snapshot's index.
    Snapshot(Snapshot),
}

/// Work that a transition leaves to the caller.
#[derive(Debug, Default)]
pub(crate) struct Output {
    /// Changes to write to disk, in order.
    pub(crate) persist: Vec<DurableChange>,
    /// Messages that may be sent at once.
    pub(crate) send: Vec<Message>,
    /// Messages to send once all changes up to this output are synced.
    pub(crate) send_after_sync: Vec<Message>,
    /// Snapshot to install before the committed entries are applied.
    pub(crate) installed: Option<Snapshot>,
    /// Committed entries to apply, in order.
    pub(crate) committed: Vec<Entry>,
}

/// State that survives a restart.
#[derive(Debug, Clone, Default)]
pub(crate) struct DurableState {
    pub(crate) term: u64,
    pub(crate) voted_for: Option<MemberId>,
    pub(crate) log: Log,
}

impl DurableState {
    /// Applies a change read back from the disk.
    pub(crate) fn apply(&mut self, change: DurableChange) {
        match change {
            DurableChange::Vote { term, voted_for } => {
                self.term = term;
                self.voted_for = voted_for;
            }
            DurableChange::Entries(entries) => self.append(entries),
            DurableChange::Snapshot(snapshot) => self.log.install(snapshot),
        }
    }

    fn append(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if entry.index < self.log.first_index() {
                continue;
            }
            if entry.index <= self.log.last_index() {
                self.log.truncate_from(entry.index);
            }
            self.log.append(entry);
        }
    }
}

/// Consensus state machine of one host.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) id: MemberId,
    pub(super) limits: Limits,
    pub(super) term: u64,
    pub(super) voted_for: Option<MemberId>,
    pub(super) log: Log,
    pub(super) role: Role,
    pub(super) commit_index: u64,
    /// Index up to which entries were returned in [`Output::committed`].
    applied_index: u64,
    /// Index up to which this host's log is on disk.
    pub(super) synced_index: u64,
    /// Time of the last message of a leader. Initially the start time, because a restarted host
    /// does not know whether it has to withhold its vote for a leader's lease.
    pub(super) leader_contact_ms: u64,
    pub(super) election_due_ms: u64,
    random: u64,
    pub(super) output: Output,
}

impl Core {
    /// Creates a follower from the state on disk; `seed` randomises its election timeouts.
    pub(crate) fn new(
        id: MemberId,
        durable: DurableState,
        limits: Limits,
        seed: u64,
        now_ms: u64,
    ) -> Self {
        let base = durable.log.snapshot().index;
        let synced = durable.log.last_index();
        let mut core = Self {
            id,
            limits,
            term: durable.term,
            voted_for: durable.voted_for,
            log: durable.log,
            role: Role::Follower { leader: None },
            commit_index: base,
            applied_index: base,
            synced_index: synced,
            leader_contact_ms: now_ms,
            election_due_ms: 0,
            random: seed | 1,
            output: Output::default(),
        };
        core.reset_election_timer(now_ms);
        core
    }

    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    pub(crate) fn role(&self) -> &Role {
        &self.role
    }

    pub(crate) fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the state that survives a restart; the content of the log is shared.
    pub(crate) fn durable(&self) -> DurableState {
        DurableState { term: self.term, voted_for: self.voted_for, log: self.log.clone() }
    }

    pub(crate) fn commit_index(&self) -> u64 {
        self.commit_index
    }

    pub(crate) fn membership(&self) -> &Membership {
        self.log.membership()
    }

    pub(crate) fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the index of the leader's first entry of its term, or `u64::MAX` on other hosts.
    pub(crate) fn term_start_index(&self) -> u64 {
        match &self.role {
            Role::Leader(leader_state) => leader_state.term_start_index,
            _ => u64::MAX,
        }
    }

    /// Returns the leader of the current term, if known.
    pub(crate) fn leader(&self) -> Option<MemberId> {
        match &self.role {
            Role::Follower { leader } => *leader,
            Role::Leader(_) => Some(self.id),
            Role::PreCandidate { .. } | Role::Candidate { .. } => None,
        }
    }

    /// Returns whether this host follows a leader that it has heard of within an election timeout.
    pub(crate) fn follows_live_leader(&self, now_ms: u64) -> bool {
        let follows = matches!(self.role, Role::Follower { leader: Some(_) });
        follows && now_ms < self.leader_contact_ms + self.limits.election_ms
    }

    /// Takes the output of the transitions since the last call.
    pub(crate) fn take_output(&mut self) -> Output {
        self.collect_committed();
        std::mem::take(&mut self.output)
    }

    /// Marks everything up to an installed snapshot as applied.
    pub(super) fn set_applied_index(&mut self, index: u64) {
        self.applied_index = index;
    }

    fn collect_committed(&mut self) {
        assert!(
            self.commit_index <= self.log.last_index(),
            "only entries of the log are committed"
        );
        while self.applied_index < self.commit_index {
            let entry =
                self.log.get(self.applied_index + 1).expect("committed entries are in the log");
            self.output.committed.push(entry.clone());
            self.applied_index += 1;
        }
    }

    /// Appends a command and returns its index and term.
    ///
    /// Returns `None` if this host does not lead or is handing leadership over.
    pub(crate) fn propose(&mut self, command: Bytes, now_ms: u64) -> Option<(u64, u64)> {
        let Role::Leader(leader_state) = &self.role else { return None };
        if leader_state.handing_over_since_ms.is_some() {
            return None;
        }
        let index = self.append_as_leader(Payload::Command(command));
        self.replicate(now_ms);
        Some((index, self.term))
    }

    /// Appends an entry of the current term.
    pub(super) fn append_as_leader(&mut self, payload: Payload) -> u64 {
        let index = self.log.last_index() + 1;
        let entry = Entry { index, term: self.term, payload };
        self.log.append(entry.clone());
        self.output.persist.push(DurableChange::Entries(vec![entry]));
        index
    }

    /// Records that the log is on disk up to the entry with this index and term.
    pub(crate) fn mark_synced(&mut self, index: u64, term: u64, now_ms: u64) {
        // A newer leader may have replaced the entries during the sync.
        if self.log.term_at(index) == Some(term) {
            self.synced_index = self.synced_index.max(index);
        }
        if self.is_leader() {
            self.advance_commit(now_ms);
        }
    }

    /// Replaces the entries up to `index` by a snapshot of the state machine at that index.
    pub(crate) fn compact(&mut self, index: u64, state: Bytes) {
        assert!(index <= self.applied_index, "only applied entries are compacted");
        if index <= self.log.snapshot().index {
            return;
        }
        let term = self.log.term_at(index).expect("applied entries are in the log");
        let membership = self.log.membership_at(index).clone();
        let snapshot = Snapshot { index, term, membership, state };
        self.log.install(snapshot.clone());
        self.output.persist.push(DurableChange::Snapshot(snapshot));
    }

    /// Runs what is due at `now_ms`: heartbeats on a leader, elections on other hosts.
    pub(crate) fn tick(&mut self, now_ms: u64) {
        if self.is_leader() {
            self.tick_leader(now_ms);
        } else if now_ms >= self.election_due_ms {
            self.start_pre_vote(now_ms);
        }
    }

    /// Handles a message of another host.
    pub(crate) fn receive(&mut self, message: Message, now_ms: u64) {
        if message.to != self.id {
            // Addressed to the identity of a disk that this host has lost.
            return;
        }
        let (from, term) = (message.from, message.term);
        match message.body {
            Body::PreVote { last_index, last_term } => {
                self.handle_pre_vote(from, term, (last_term, last_index), now_ms);
            }
            Body::PreVoteReply { granted } => {
                self.handle_pre_vote_reply(from, term, granted, now_ms);
            }
            Body::Vote { last_index, last_term, handover } => {
                self.handle_vote(from, term, (last_term, last_index), handover, now_ms);
            }
            Body::VoteReply { granted } => self.handle_vote_reply(from, term, granted, now_ms),
            Body::Append { prev_index, prev_term, entries, commit, round } => {
                if self.follow(from, term, now_ms) {
                    self.handle_append(from, (prev_index, prev_term), entries, commit, round);
                } else {
                    self.reject_stale_leader(from, round);
                }
            }
            Body::Install { snapshot, round } => {
                if self.follow(from, term, now_ms) {
                    self.handle_install(from, snapshot, round);
                }
            }
            Body::AppendAccepted { matched, round } => {
                self.raise_term(term, now_ms);
                self.handle_append_accepted(from, term, matched, round, now_ms);
            }
            Body::AppendRejected { prev_index, last_index, round } => {
                self.raise_term(term, now_ms);
                self.handle_append_rejected(from, term, (prev_index, last_index), round, now_ms);
            }
            Body::Handover => {
                if self.term == term && self.membership().is_voter(self.id) {
                    self.start_election(true, now_ms);
                }
            }
        }
    }

    /// Becomes a follower if `term` is newer; does nothing otherwise.
    pub(super) fn raise_term(&mut self, term: u64, now_ms: u64) {
        if term > self.term {
            self.term = term;
            self.voted_for = None;
            self.persist_vote();
            self.become_follower(None, now_ms);
        }
    }

    pub(super) fn become_follower(&mut self, leader: Option<MemberId>, now_ms: u64) {
        self.role = Role::Follower { leader };
        self.reset_election_timer(now_ms);
    }

    pub(super) fn persist_vote(&mut self) {
        let vote = DurableChange::Vote { term: self.term, voted_for: self.voted_for };
        self.output.persist.push(vote);
    }

    pub(super) fn message(&self, to: MemberId, body: Body) -> Message {
        Message { from: self.id, to, term: self.term, body }
    }

    pub(super) fn other_members(&self) -> Vec<MemberId> {
        let members = &self.membership().members;
        members.iter().map(|member| member.id).filter(|id| *id != self.id).collect()
    }

    pub(super) fn reset_election_timer(&mut self, now_ms: u64) {
        self.set_election_timer(self.limits.election_ms, now_ms);
    }

    /// Sets the time of the next pre-vote, at least `after_ms` from now and up to half as much later.
    pub(super) fn set_election_timer(&mut self, after_ms: u64, now_ms: u64) {
        // Random timeouts (xorshift) keep hosts from starting elections at the same time.
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        let spread = self.random % (after_ms / 2).max(1);
        self.election_due_ms = now_ms + after_ms + spread;
    }
}
