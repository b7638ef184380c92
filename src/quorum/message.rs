//! Messages between the hosts of the quorum, and the entries they replicate.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::log::Snapshot;
use super::membership::{MemberId, Membership};

/// Content of one log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Payload {
    /// First entry of a leader's term; its commit also commits the entries of earlier terms.
    Empty,
    /// A command for the state machine.
    Command(Bytes),
    /// A membership, in force as soon as it is appended.
    Membership(Membership),
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) index: u64,
    pub(crate) term: u64,
    pub(crate) payload: Payload,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Message {
    pub(crate) from: MemberId,
    pub(crate) to: MemberId,
    pub(crate) term: u64,
    pub(crate) body: Body,
}

/// Messages of one host, with the address for replies.
///
/// A host with an empty disk knows no members, so it sends its replies to this address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Batch {
    pub(crate) from_address: String,
    pub(crate) messages: Vec<Message>,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Asks whether a vote would be granted; raises no term.
    PreVote { last_index: u64, last_term: u64 },
    /// Answers a [`Body::PreVote`].
    PreVoteReply { granted: bool },
    /// Requests a vote; with `handover`, also from a host that is in contact with a leader.
    Vote { last_index: u64, last_term: u64, handover: bool },
    /// Answers a [`Body::Vote`].
    VoteReply { granted: bool },
    /// Replicates entries; a heartbeat has none.
    Append { prev_index: u64, prev_term: u64, entries: Vec<Entry>, commit: u64, round: u64 },
    /// Confirms that the log matches the leader's up to `matched`.
    AppendAccepted { matched: u64, round: u64 },
    /// Reports that the log differs at `prev_index`; it may match up to `last_index`.
    AppendRejected { prev_index: u64, last_index: u64, round: u64 },
    /// Sends a snapshot to a host that lacks entries which the leader has compacted.
    Install { snapshot: Snapshot, round: u64 },
    /// Tells the receiver to start an election at once.
    Handover,
}
