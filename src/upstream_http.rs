//! The HTTP interface of upstreams: paths, headers and bodies that both sides use.

mod gangs;

pub(crate) use gangs::{
    CheckpointRequest, CommitRequest, EndsRequest, GANG_PATH_PREFIX, GangAnswer, GangMessage,
    GangReply, GangRequest, GangWork, MemberState, RefusalCode, RenewRequest, Sender, StageRequest,
    StopRequest,
};

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::names::{RackName, RequestKey, ServiceName};

/// Path that runs one request.
pub(crate) const RUN_PATH: &str = "/v1/run";
/// Path that asks for the state of an attempt and prevents it from starting later.
pub(crate) const FENCE_PATH: &str = "/v1/attempts/fence";
/// Path that answers at once if the connection works.
pub(crate) const PROBE_PATH: &str = "/v1/probe";

/// Header with the request's key; an answer repeats it.
pub(crate) const KEY_HEADER: &str = "cactuslatch-key";
/// Header with the attempt's number; an answer repeats it.
pub(crate) const ATTEMPT_HEADER: &str = "cactuslatch-attempt";
/// Header with the time that is left for the request, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "cactuslatch-deadline-ms";
/// Header of a refusal that promises that the request was not started and never will be.
pub(crate) const NOT_STARTED_HEADER: &str = "cactuslatch-not-started";

/// What an upstream says of itself when it announces itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Goes up each time the upstream's process starts.
    pub incarnation: u64,
    /// Address at which it takes work.
    pub address: std::net::SocketAddr,
    /// Services it runs.
    pub services: Vec<ServiceName>,
    /// Rack in which it stands.
    pub rack: RackName,
    /// Its place in the rack, from 0.
    pub rack_position: u32,
    /// Number of its accelerators.
    pub accelerators: u32,
    /// Most pieces of work it runs at once.
    pub slots: u32,
    /// Most connections it accepts at once.
    pub connections: u32,
}

/// Body of a leave: the incarnation that takes no more work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leave {
    /// Incarnation that leaves; older ones leave with it.
    pub incarnation: u64,
}

/// Answer to an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementReply {
    /// Time after which the upstream counts as lost without a further announcement.
    pub lease_ms: u64,
}

/// Asks for the state of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FenceRequest {
    pub(crate) key: RequestKey,
    pub(crate) attempt: u32,
    /// Incarnation that got the attempt; another one refuses, since it cannot know.
    pub(crate) incarnation: u64,
}

/// State of an attempt at the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum AttemptState {
    /// It was not started and never will be.
    NotStarted,
    /// It is running.
    Running,
    /// It has ended; the answer is at hand.
    Done,
}

/// Answer to a [`FenceRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct FenceReply {
    pub(crate) state: AttemptState,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) status: Option<u16>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) answer: Option<Box<RawValue>>,
}
