//! Requests to the leader of control and its replies.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::tasks::{Configuration, FrontLimits, Heartbeat, JobId, JobSpec, JobState};

/// What a caller wants of a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Submits a job.
    Submit {
        /// The job.
        spec: Arc<JobSpec>,
    },
    /// A submission whose body cannot be used, with the reason.
    SubmitUnreadable {
        /// The fault, for the caller.
        reason: String,
    },
    /// Asks for a job's state.
    Status,
    /// Cancels a job.
    Cancel,
}

/// A call of a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrontCall {
    /// Host name that the caller addressed.
    pub host: String,
    /// Path that the caller addressed.
    pub path: String,
    /// The caller's key.
    pub key: Option<String>,
    /// What the caller wants.
    pub action: Action,
}

/// Reply to a [`FrontCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrontReply {
    /// The job is stored.
    Accepted,
    /// The job was not accepted and will not run.
    NotAccepted {
        /// Time after which a further attempt makes sense.
        retry_after_ms: u64,
        /// The cause, for the caller.
        reason: String,
    },
    /// State of a job.
    State(JobState),
    /// The cancellation is stored, or the job had ended.
    Cancelled,
    /// Number of jobs of a queue of which nothing has started.
    Pending(u64),
    /// No such job.
    NoJob,
    /// No such queue.
    NoQueue,
    /// The key is unknown.
    BadKey,
    /// The request cannot be used.
    Invalid {
        /// The fault, for the caller.
        reason: String,
    },
    /// There is no configuration yet.
    NotConfigured,
}

/// Reply to an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// The change is in force or was overtaken by a newer one.
    Done,
    /// The change is invalid.
    Invalid {
        /// The fault, for the operator.
        reason: String,
    },
    /// The configuration in force, as it was sent; empty before the first.
    Configuration(Bytes),
}

/// A request to the leader of control.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// A caller's call.
    Front(FrontCall),
    /// An upstream reports itself.
    Heartbeat(Heartbeat),
    /// An upstream leaves.
    Deregister {
        /// Identity of the upstream.
        id: Arc<str>,
        /// Unix time at which the life that leaves began, if the upstream says so.
        born_unix_ms: Option<u64>,
    },
    /// Puts a configuration in force.
    SetConfiguration {
        /// The configuration.
        configuration: Arc<Configuration>,
        /// The configuration as the operator sent it.
        raw: Bytes,
    },
    /// Reads the configuration in force.
    ReadConfiguration,
    /// Asks for the maintenance of physical hosts.
    StartWave {
        /// Number of the wave.
        number: u64,
        /// The hosts.
        machines: Vec<Arc<str>>,
        /// Most hosts that may be down at once.
        cap: u32,
        /// Time within which all should have been maintained.
        duration_ms: u64,
    },
    /// Asks whether a wave is completed.
    WaveStatus {
        /// Number of the wave.
        number: u64,
    },
    /// Asks to belong to the quorum.
    Join {
        /// Identity of the host's disk.
        id: u64,
        /// Listener for other hosts of the system.
        address: String,
    },
    /// Asks who belongs to the cluster and which limits are in force.
    Status,
    /// Asks why a job is where it is.
    Explain {
        /// The job.
        job: JobId,
    },
}

impl Request {
    /// Tells whether a request whose reply was lost may have had an effect.
    pub(super) fn changes_state(&self) -> bool {
        match self {
            Self::Front(call) => matches!(call.action, Action::Submit { .. } | Action::Cancel),
            Self::ReadConfiguration
            | Self::WaveStatus { .. }
            | Self::Status
            | Self::Explain { .. } => false,
            Self::Heartbeat(_)
            | Self::Deregister { .. }
            | Self::SetConfiguration { .. }
            | Self::StartWave { .. }
            | Self::Join { .. } => true,
        }
    }
}

/// How far a member of the cluster is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Identity of the host's disk.
    pub id: u64,
    /// Listener for other hosts of the system.
    pub address: String,
    /// It counts towards the quorum.
    pub voter: bool,
    /// Index up to which its log is known to match.
    pub matched: u64,
    /// Time since it was last heard.
    pub silent_ms: u64,
}

/// State of the cluster as its leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// Listener of the leader.
    pub leader: String,
    /// The leader's term.
    pub term: u64,
    /// Index of the newest committed entry.
    pub committed: u64,
    /// Members.
    pub members: Vec<MemberStatus>,
    /// Version of the configuration in force; 0 before the first.
    pub configuration_version: u64,
    /// Limits of the callers' listener, once there is a configuration.
    pub limits: Option<FrontLimits>,
}

/// Reply to a [`Request`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// This host does not lead, or cannot be sure that it does; nothing was done.
    NotLeader {
        /// The leader's listener, if known.
        leader: Option<SocketAddr>,
    },
    /// The outcome is not known, because leadership was lost meanwhile; ask again.
    Unknown,
    /// Reply to [`Request::Front`].
    Front(FrontReply),
    /// Reply to an operator's request.
    Operator(OperatorReply),
    /// Whether a wave is completed; `None` if there is no such wave.
    Wave(Option<bool>),
    /// Recorded.
    Done,
    /// Reply to [`Request::Status`].
    Status(ClusterStatus),
    /// Reply to [`Request::Explain`]: lines for a person.
    Explanation(Vec<String>),
}
