//! The HTTP protocol between entry hosts or control and upstreams: paths, headers and bodies.

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
/// Path that returns the state of an attempt and prevents it from starting later.
pub(crate) const FENCE_PATH: &str = "/v1/attempts/fence";
/// Path that answers at once, to check that a connection works.
pub(crate) const PROBE_PATH: &str = "/v1/probe";

/// Header with the request's key, which the answer repeats.
pub(crate) const KEY_HEADER: &str = "cactuslatch-key";
/// Header with the attempt's number, which the answer repeats.
pub(crate) const ATTEMPT_HEADER: &str = "cactuslatch-attempt";
/// Header with the incarnation to which an attempt is sent; another one refuses it before start.
pub(crate) const INCARNATION_HEADER: &str = "cactuslatch-incarnation";
/// Header with the time remaining for the request, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "cactuslatch-deadline-ms";
/// Header of a refusal, which promises that the request was not started and never will be.
pub(crate) const NOT_STARTED_HEADER: &str = "cactuslatch-not-started";

/// Body of an upstream's announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Number of this run of the upstream's process; each start has a higher one.
    pub incarnation: u64,
    /// Address at which it accepts work.
    pub address: std::net::SocketAddr,
    /// Services it runs.
    pub services: Vec<ServiceName>,
    /// Rack that it is in.
    pub rack: RackName,
    /// Its position in the rack, from 0.
    pub rack_position: u32,
    /// Number of its accelerators.
    pub accelerators: u32,
    /// Most requests or gang members that it runs at once.
    pub slots: u32,
    /// Most connections that it accepts at once.
    pub connections: u32,
}

/// Body of a leave, after which the incarnation accepts no more work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leave {
    /// Incarnation that leaves; older ones leave with it.
    pub incarnation: u64,
}

/// Answer to an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementReply {
    /// Time after which the upstream counts as lost unless it announces itself again.
    pub lease_ms: u64,
}

/// Requests the state of one attempt and prevents it from starting later.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FenceRequest {
    pub(crate) key: RequestKey,
    pub(crate) attempt: u32,
    /// Incarnation to which the attempt was sent; another one refuses, since it has no record of it.
    pub(crate) incarnation: u64,
}

/// State of an attempt at the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum AttemptState {
    /// The attempt was not started and never will be.
    NotStarted,
    /// The attempt is running.
    Running,
    /// The attempt has ended, and the answer is included.
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
