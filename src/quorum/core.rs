//! State of one host of the quorum and the transitions that all roles share.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::log::{Log, Snapshot};
use super::membership::{MemberId, Membership};
use super::message::{Body, Entry, Message, Payload};
use super::replication::Progress;

/// Time limits of a quorum.
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
#[derive(Debug, Clone, Copy)]
pub(crate) struct Timing {
    /// Time without a leader after which a host may stand for election; up to half as long again at
    /// random.
    pub(crate) election_ms: u64,
    /// Time between two heartbeats of a leader.
    pub(crate) heartbeat_ms: u64,
    /// Time after which the leader counts a silent voter as lost, once a replacement has caught up.
    pub(crate) replace_after_ms: u64,
}

/// What a host does in its term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Role {
    Follower { leader: Option<MemberId> },
    PreCandidate { granted: Vec<MemberId> },
    Candidate { granted: Vec<MemberId> },
    Leader(Leading),
}

/// State of a leader.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Leading {
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    /// Number of the newest round of heartbeats, and when the recent rounds were sent.
    pub(crate) round: u64,
    pub(crate) round_sent_ms: BTreeMap<u64, u64>,
    /// Index of the leader's own first entry; reads wait until it is committed.
    pub(crate) first_index: u64,
    /// When the newest round that a quorum confirmed was sent.
    pub(crate) confirmed_ms: u64,
    pub(crate) started_ms: u64,
    pub(crate) heartbeat_due_ms: u64,
    /// Since when leadership is being handed over; the lease no longer holds then.
    pub(crate) handing_over_since_ms: Option<u64>,
    /// Successor that still has to receive the end of the log.
    pub(crate) heir: Option<MemberId>,
    /// Hosts that asked to join: identity, address and when they asked last.
    pub(crate) joining: BTreeMap<MemberId, (String, u64)>,
}

/// A change that must be on disk, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Persist {
    /// Term and vote.
    Vote { term: u64, voted_for: Option<MemberId> },
    /// Entries from the first one's index on replace what was there.
    Entries(Vec<Entry>),
    /// Replaces the log up to its index.
    Snapshot(Snapshot),
}

/// What the caller has to do after a transition.
#[derive(Debug, Default)]
pub(crate) struct Output {
    /// To be written in order.
    pub(crate) persist: Vec<Persist>,
    /// May be sent at once.
    pub(crate) send: Vec<Message>,
    /// To be sent once everything given to persist so far is synced.
    pub(crate) send_after_sync: Vec<Message>,
    /// State to install before the committed entries.
    pub(crate) installed: Option<Snapshot>,
    /// Entries to apply, in order.
    pub(crate) committed: Vec<Entry>,
}

/// State that survives a restart.
#[derive(Debug, Clone, Default)]
pub(crate) struct Durable {
    pub(crate) term: u64,
    pub(crate) voted_for: Option<MemberId>,
    pub(crate) log: Log,
}

impl Durable {
    /// Applies a change that was written to the disk.
    pub(crate) fn apply(&mut self, persist: Persist) {
        match persist {
            Persist::Vote { term, voted_for } => {
                self.term = term;
                self.voted_for = voted_for;
            }
            Persist::Entries(entries) => self.append(entries),
            Persist::Snapshot(snapshot) => self.log.install(snapshot),
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

/// One host of the quorum.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) id: MemberId,
    pub(super) timing: Timing,
    pub(super) term: u64,
    pub(super) voted_for: Option<MemberId>,
    pub(super) log: Log,
    pub(super) role: Role,
    pub(super) commit: u64,
    /// Index up to which entries were handed out.
    applied: u64,
    /// Index up to which the own log is synced.
    pub(super) synced: u64,
    /// When a leader was last heard; also the start, because a restart forgets promises of silence.
    pub(super) heard_ms: u64,
    pub(super) election_due_ms: u64,
    random: u64,
    pub(super) out: Output,
}

impl Core {
    /// Starts a host from what its disk holds.
    pub(crate) fn new(
        id: MemberId,
        durable: Durable,
        timing: Timing,
        seed: u64,
        now_ms: u64,
    ) -> Self {
        let base = durable.log.snapshot().index;
        let synced = durable.log.last_index();
        let mut core = Self {
            id,
            timing,
            term: durable.term,
            voted_for: durable.voted_for,
            log: durable.log,
            role: Role::Follower { leader: None },
            commit: base,
            applied: base,
            synced,
            heard_ms: now_ms,
            election_due_ms: 0,
            random: seed | 1,
            out: Output::default(),
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

    pub(crate) fn commit_index(&self) -> u64 {
        self.commit
    }

    pub(crate) fn membership(&self) -> &Membership {
        self.log.membership()
    }

    pub(crate) fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the index of the leader's own first entry.
    pub(crate) fn lead_index(&self) -> u64 {
        match &self.role {
            Role::Leader(leading) => leading.first_index,
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

    /// Takes what the caller has to do.
    pub(crate) fn take_output(&mut self) -> Output {
        self.hand_out_committed();
        std::mem::take(&mut self.out)
    }

    /// Counts everything up to an installed snapshot as handed out.
    pub(super) fn skip_to(&mut self, index: u64) {
        self.applied = index;
    }

    fn hand_out_committed(&mut self) {
        assert!(self.commit <= self.log.last_index(), "only entries of the log are committed");
        while self.applied < self.commit {
            let entry = self.log.get(self.applied + 1).expect("committed entries are in the log");
            self.out.committed.push(entry.clone());
            self.applied += 1;
        }
    }

    /// Appends a command if this host leads; returns the index and term it will be committed under.
    pub(crate) fn propose(&mut self, command: Bytes, now_ms: u64) -> Option<(u64, u64)> {
        let Role::Leader(leading) = &self.role else { return None };
        if leading.handing_over_since_ms.is_some() {
            return None;
        }
        let index = self.append_own(Payload::Command(command));
        self.replicate(now_ms);
        Some((index, self.term))
    }

    /// Appends an entry of the current term.
    pub(super) fn append_own(&mut self, payload: Payload) -> u64 {
        let index = self.log.last_index() + 1;
        let entry = Entry { index, term: self.term, payload };
        self.log.append(entry.clone());
        self.out.persist.push(Persist::Entries(vec![entry]));
        index
    }

    /// Notes that the disk holds the log up to an index of a term.
    pub(crate) fn synced(&mut self, index: u64, term: u64, now_ms: u64) {
        // The entries may have been replaced while the sync was under way.
        if self.log.term_at(index) == Some(term) {
            self.synced = self.synced.max(index);
        }
        if self.is_leader() {
            self.advance_commit(now_ms);
        }
    }

    /// Replaces applied entries by the encoded state at `index`.
    pub(crate) fn compact(&mut self, index: u64, state: Bytes) {
        assert!(index <= self.applied, "only applied entries are compacted");
        if index <= self.log.snapshot().index {
            return;
        }
        let term = self.log.term_at(index).expect("applied entries are in the log");
        let membership = self.log.membership_at(index).clone();
        let snapshot = Snapshot { index, term, membership, state };
        self.log.install(snapshot.clone());
        self.out.persist.push(Persist::Snapshot(snapshot));
    }

    /// Handles the passing of time.
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
            // Meant for a disk that this host has lost.
            return;
        }
        let (from, term) = (message.from, message.term);
        match message.body {
            Body::PreVote { last_index, last_term } => {
                self.answer_pre_vote(from, term, (last_term, last_index), now_ms);
            }
            Body::PreVoteReply { granted } => self.count_pre_vote(from, term, granted, now_ms),
            Body::Vote { last_index, last_term, handover } => {
                self.answer_vote(from, term, (last_term, last_index), handover, now_ms);
            }
            Body::VoteReply { granted } => self.count_vote(from, term, granted, now_ms),
            Body::Append { prev_index, prev_term, entries, commit, round } => {
                if self.follow(from, term, now_ms) {
                    self.accept_entries(from, (prev_index, prev_term), entries, commit, round);
                } else {
                    self.reject_stale_leader(from, round);
                }
            }
            Body::Install { snapshot, round } => {
                if self.follow(from, term, now_ms) {
                    self.install(from, snapshot, round);
                }
            }
            Body::AppendAccepted { matched, round } => {
                self.raise_term(term, now_ms);
                self.note_accepted(from, term, matched, round, now_ms);
            }
            Body::AppendRejected { prev_index, last_index, round } => {
                self.raise_term(term, now_ms);
                self.note_rejected(from, term, (prev_index, last_index), round, now_ms);
            }
            Body::Handover => {
                if self.term == term && self.membership().is_voter(self.id) {
                    self.stand_for_election(true, now_ms);
                }
            }
        }
    }

    /// Becomes a follower of a newer term; older or equal terms change nothing.
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
        let vote = Persist::Vote { term: self.term, voted_for: self.voted_for };
        self.out.persist.push(vote);
    }

    pub(super) fn message(&self, to: MemberId, body: Body) -> Message {
        Message { from: self.id, to, term: self.term, body }
    }

    pub(super) fn other_members(&self) -> Vec<MemberId> {
        let members = &self.membership().members;
        members.iter().map(|member| member.id).filter(|id| *id != self.id).collect()
    }

    pub(super) fn reset_election_timer(&mut self, now_ms: u64) {
        // Xorshift: spreads elections so that hosts rarely stand at the same time.
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        let spread = self.random % (self.timing.election_ms / 2).max(1);
        self.election_due_ms = now_ms + self.timing.election_ms + spread;
    }
}
