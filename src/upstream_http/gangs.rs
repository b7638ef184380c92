//! Gang messages from control to upstreams, and the answers.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::names::JobName;
use crate::scheduler::{GangId, Mask, MemberStatus, Renewal, StopStatus};

/// Path prefix of gang messages, before the name of the message.
pub(crate) const GANG_PATH_PREFIX: &str = "/v1/gangs/";

/// Fields about sender and receiver that every gang message contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Sender {
    /// Epoch of the control process; an upstream refuses epochs older than the newest it has seen.
    pub(crate) epoch: u64,
    /// Incarnation of the receiving upstream; another one refuses the message, because clock values
    /// of different incarnations cannot be compared.
    pub(crate) incarnation: u64,
    /// Time of the upstream's last answer on its own clock, from which leases count.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) clock_ms: Option<u64>,
}

/// Simulated work of a member, which the stand-in runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct GangWork {
    /// Run time.
    #[serde(default)]
    pub(crate) run_ms: u64,
    /// Whether the member fails at the end of its run time.
    #[serde(default)]
    pub(crate) fails: bool,
}

/// Reserves accelerators for a member that does no work yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StageRequest {
    pub(crate) gang: GangId,
    pub(crate) job: JobName,
    pub(crate) mask: Mask,
    /// Time after receipt at which the reservation expires unless the member was committed.
    pub(crate) hold_ms: u64,
    pub(crate) work: GangWork,
}

/// Starts a staged member under a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CommitRequest {
    pub(crate) gang: GangId,
    pub(crate) lease_ms: u64,
}

/// Renews the leases of the listed gangs on the upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RenewRequest {
    pub(crate) round: u64,
    pub(crate) gangs: Vec<Renewal>,
}

/// Requests a checkpoint of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CheckpointRequest {
    pub(crate) gang: GangId,
}

/// Stops a member and prevents its gang from being staged or started on the upstream later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StopRequest {
    pub(crate) gang: GangId,
}

/// Long poll for members that have ended by themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EndsRequest {
    /// Number of ends that the sender knows of; if absent, the latest ones are returned at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) after: Option<u64>,
    /// Time after which an answer without new ends is sent.
    pub(crate) wait_ms: u64,
}

/// One gang message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum GangMessage {
    Stage(StageRequest),
    Commit(CommitRequest),
    Renew(RenewRequest),
    Checkpoint(CheckpointRequest),
    Stop(StopRequest),
    Ends(EndsRequest),
}

/// A gang message with its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct GangRequest {
    pub(crate) sender: Sender,
    pub(crate) message: GangMessage,
}

/// State of the member of one gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberState {
    pub(crate) gang: GangId,
    pub(crate) status: MemberStatus,
}

/// Why an upstream refuses a gang message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RefusalCode {
    /// The upstream has received a message with a newer epoch.
    #[display("the epoch is older than the newest one seen")]
    OlderEpoch,
    /// The message is for another incarnation of the upstream.
    #[display("the message is for another incarnation")]
    OtherIncarnation,
    /// All slots or some of the accelerators are taken.
    #[display("slots or accelerators are taken")]
    NoCapacity,
    /// The upstream is leaving.
    #[display("the upstream is leaving")]
    Leaving,
    /// The gang was stopped before the message arrived.
    #[display("the gang was stopped before")]
    Stopped,
    /// The member is not staged or no longer staged.
    #[display("the member is not staged")]
    NotStaged,
    /// The lease has ended on the upstream's clock, or its start is missing or in the future.
    #[display("the lease has ended or cannot be counted")]
    NoLease,
}

impl RefusalCode {
    /// Returns whether a refused stage or commit promises that the member never starts.
    ///
    /// An older epoch is no such promise: the member may run for the newer control process.
    pub(crate) const fn is_not_started(self) -> bool {
        !matches!(self, Self::OlderEpoch)
    }
}

/// Result of a gang message at the upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub(crate) enum GangAnswer {
    Staged,
    Started,
    Renewed {
        round: u64,
        members: Vec<MemberState>,
    },
    /// A checkpoint was requested of the member if it is running.
    CheckpointRequested,
    Stopped {
        status: StopStatus,
    },
    Ends {
        /// Members of this incarnation that have ended by themselves.
        count: u64,
        /// Members that are staged or running.
        active: u32,
        /// Members that ended after the number in the request.
        members: Vec<MemberState>,
    },
    Refused {
        code: RefusalCode,
        /// Newest epoch that the upstream has seen.
        epoch: u64,
    },
}

/// Answer to a gang message, with the upstream's incarnation and clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GangReply {
    /// Incarnation that answers.
    pub(crate) incarnation: u64,
    /// Monotonic clock of the upstream when it answered.
    pub(crate) clock_ms: u64,
    #[serde(flatten)]
    pub(crate) answer: GangAnswer,
}

/// Body of a gang message.
#[derive(Serialize, Deserialize)]
struct Body<T> {
    #[serde(flatten)]
    sender: Sender,
    #[serde(flatten)]
    content: T,
}

impl GangRequest {
    /// Returns the path of the message.
    pub(crate) const fn path(&self) -> &'static str {
        match self.message {
            GangMessage::Stage(_) => "/v1/gangs/stage",
            GangMessage::Commit(_) => "/v1/gangs/commit",
            GangMessage::Renew(_) => "/v1/gangs/renew",
            GangMessage::Checkpoint(_) => "/v1/gangs/checkpoint",
            GangMessage::Stop(_) => "/v1/gangs/stop",
            GangMessage::Ends(_) => "/v1/gangs/ends",
        }
    }

    /// Serialises the body of the message.
    ///
    /// # Errors
    /// Returns an error if the message cannot be serialised as JSON.
    pub(crate) fn to_body(&self) -> serde_json::Result<Vec<u8>> {
        let sender = self.sender;
        match &self.message {
            GangMessage::Stage(content) => write(sender, content),
            GangMessage::Commit(content) => write(sender, content),
            GangMessage::Renew(content) => write(sender, content),
            GangMessage::Checkpoint(content) => write(sender, content),
            GangMessage::Stop(content) => write(sender, content),
            GangMessage::Ends(content) => write(sender, content),
        }
    }

    /// Parses a message; returns `None` if no message has this path.
    pub(crate) fn read(path: &str, body: &[u8]) -> Option<serde_json::Result<Self>> {
        let name = path.strip_prefix(GANG_PATH_PREFIX)?;
        Some(match name {
            "stage" => parse(body, GangMessage::Stage),
            "commit" => parse(body, GangMessage::Commit),
            "renew" => parse(body, GangMessage::Renew),
            "checkpoint" => parse(body, GangMessage::Checkpoint),
            "stop" => parse(body, GangMessage::Stop),
            "ends" => parse(body, GangMessage::Ends),
            _ => return None,
        })
    }
}

fn write(sender: Sender, content: &impl Serialize) -> serde_json::Result<Vec<u8>> {
    serde_json::to_vec(&Body { sender, content })
}

fn parse<T: DeserializeOwned>(
    body: &[u8],
    message: fn(T) -> GangMessage,
) -> serde_json::Result<GangRequest> {
    let body: Body<T> = serde_json::from_slice(body)?;
    Ok(GangRequest { sender: body.sender, message: message(body.content) })
}
