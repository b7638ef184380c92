//! Gang messages from control to upstreams, and the answers.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::names::JobName;
use crate::scheduler::{GangId, Mask, MemberStatus, Renewal, StopStatus};

/// Path of all gang messages; the name of the message follows.
pub(crate) const GANG_PATH_PREFIX: &str = "/v1/gangs/";

/// What every gang message says of its sender and its addressee.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Sender {
    /// Epoch of the control process; an upstream refuses epochs older than the newest it has seen.
    pub(crate) epoch: u64,
    /// Incarnation of the upstream that is addressed; another one refuses the message, because
    /// clock values of different incarnations cannot be compared.
    pub(crate) incarnation: u64,
    /// Time of the upstream's last answer on the upstream's own clock; leases count from it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) clock_ms: Option<u64>,
}

/// Work of a member, as the stand-in understands it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct GangWork {
    /// Time from start to end.
    #[serde(default)]
    pub(crate) run_ms: u64,
    /// Whether the member fails at its end.
    #[serde(default)]
    pub(crate) fails: bool,
}

/// Reserves accelerators for a member that does no work yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StageRequest {
    pub(crate) gang: GangId,
    pub(crate) job: JobName,
    pub(crate) mask: Mask,
    /// Time from receipt after which the member drops out unless it was committed.
    pub(crate) hold_ms: u64,
    pub(crate) work: GangWork,
}

/// Starts a staged member under a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CommitRequest {
    pub(crate) gang: GangId,
    pub(crate) lease_ms: u64,
}

/// Renews the leases of all listed gangs on the upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RenewRequest {
    pub(crate) round: u64,
    pub(crate) gangs: Vec<Renewal>,
}

/// Asks a member for a checkpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CheckpointRequest {
    pub(crate) gang: GangId,
}

/// Stops a member and prevents its gang from being staged or started on the upstream later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StopRequest {
    pub(crate) gang: GangId,
}

/// Asks which members have ended by themselves, and waits for the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EndsRequest {
    /// Ends that the sender knows of; without it, the latest ones are answered at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) after: Option<u64>,
    /// Time after which an answer without ends is sent.
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
    /// A control process with a newer epoch has sent a message.
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
    /// The member is not staged, or no longer.
    #[display("the member is not staged")]
    NotStaged,
    /// The lease of the message has ended on the upstream's clock, or has no usable start.
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

/// What an upstream answers to a gang message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub(crate) enum GangAnswer {
    Staged,
    Started,
    Renewed {
        round: u64,
        members: Vec<MemberState>,
    },
    /// The member was asked for a checkpoint, if it runs.
    CheckpointRequested,
    Stopped {
        status: StopStatus,
    },
    Ends {
        /// Members of this incarnation that have ended by themselves.
        count: u64,
        /// Members that are staged or run.
        active: u32,
        /// Members that ended after those that the question names.
        members: Vec<MemberState>,
    },
    Refused {
        code: RefusalCode,
        /// Newest epoch that the upstream has seen.
        epoch: u64,
    },
}

/// Answer to a gang message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GangReply {
    /// Incarnation that answers.
    pub(crate) incarnation: u64,
    /// Monotonic time of the upstream when it answered.
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

    /// Writes the body of the message.
    ///
    /// # Errors
    /// Returns an error if the message cannot be written as JSON.
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

    /// Reads a message; `None` if no message has this path.
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
