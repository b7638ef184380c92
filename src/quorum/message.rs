//! Messages between the hosts of the quorum, and the entries they replicate.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::log::Snapshot;
use super::membership::{MemberId, Membership};

/// Content of one log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Payload {
    /// First entry of a leader, which commits the entries of earlier terms.
    Empty,
    /// A command for the state machine.
    Command(Bytes),
    /// A membership, in force as soon as it is in the log.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) index: u64,
    pub(crate) term: u64,
    pub(crate) payload: Payload,
}

/// A message from one host to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Message {
    pub(crate) from: MemberId,
    pub(crate) to: MemberId,
    pub(crate) term: u64,
    pub(crate) body: Body,
}

/// Messages of one host, with the address at which it can be answered.
///
/// A host with an empty disk knows no members, so it answers where messages came from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Batch {
    pub(crate) from_address: String,
    pub(crate) messages: Vec<Message>,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Asks whether a vote would be granted, without raising any term.
    PreVote { last_index: u64, last_term: u64 },
    /// Answers a [`Body::PreVote`].
    PreVoteReply { granted: bool },
    /// Asks for a vote; after a handover the receiver votes although it hears from a leader.
    Vote { last_index: u64, last_term: u64, handover: bool },
    /// Answers a [`Body::Vote`].
    VoteReply { granted: bool },
    /// Replicates entries; without entries it is a heartbeat.
    Append { prev_index: u64, prev_term: u64, entries: Vec<Entry>, commit: u64, round: u64 },
    /// Confirms that the log matches the leader's up to `matched`.
    AppendAccepted { matched: u64, round: u64 },
    /// The log differs at `prev_index` of the leader's message; it may match up to `last_index`.
    AppendRejected { prev_index: u64, last_index: u64, round: u64 },
    /// Replaces a log that is too far behind.
    Install { snapshot: Snapshot, round: u64 },
    /// Asks the receiver to stand for election at once.
    Handover,
}
