//! Requests to the leader of the control cluster, and its replies.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::upstream_calls::{CallFault, HoldOrder, TaskLists};
use crate::tasks::{Configuration, FrontLimits, Heartbeat, JobId, JobSpec, JobState};

/// Operation of a caller on a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Submits a job.
    Submit {
        /// The job.
        spec: Arc<JobSpec>,
    },
    /// A submission with an invalid body, answered after authentication.
    SubmitUnreadable {
        /// Error message for the caller.
        reason: String,
    },
    /// Asks for a job's state.
    Status,
    /// Cancels a job.
    Cancel,
}

/// A request of a caller to the front end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrontCall {
    /// Host name in the request.
    pub host: String,
    /// Path in the request.
    pub path: String,
    /// The caller's API key.
    pub key: Option<String>,
    /// Requested operation.
    pub action: Action,
}

/// Reply to a [`FrontCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrontReply {
    /// The job is stored.
    Accepted,
    /// The job was not accepted and will not run.
    NotAccepted {
        /// Time to wait before a retry.
        retry_after_ms: u64,
        /// Reason for the caller.
        reason: String,
    },
    /// State of a job.
    State(JobState),
    /// The cancellation is stored, or the job had already ended.
    Cancelled,
    /// Number of jobs of a queue of which no step has started.
    Pending(u64),
    /// No such job.
    NoJob,
    /// No such queue.
    NoQueue,
    /// The key is unknown.
    BadKey,
    /// The request is invalid.
    Invalid {
        /// Error message for the caller.
        reason: String,
    },
    /// No configuration has been set yet.
    NotConfigured,
    /// The job was cancelled before its submission arrived; it is not stored and will not run.
    CancelledBefore,
}

/// Reply to an operator's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// The change is in force or superseded by a newer one.
    Done,
    /// The change is invalid.
    Invalid {
        /// Error message for the operator.
        reason: String,
    },
    /// The configuration in force, as it was sent; empty before the first.
    Configuration(Bytes),
}

/// A request to the leader of the control cluster.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// A caller's request.
    Front(FrontCall),
    /// Heartbeat of an upstream.
    Heartbeat(Heartbeat),
    /// Deregisters an upstream.
    Deregister {
        /// Identity of the upstream.
        id: Arc<str>,
        /// Start time of the incarnation that leaves, if the upstream reports it.
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
    /// Starts the maintenance of physical hosts, in one wave.
    StartWave {
        /// Number of the wave.
        number: u64,
        /// The physical hosts.
        machines: Vec<Arc<str>>,
        /// Maximum number of hosts that are down at once.
        cap: u32,
        /// Target duration of the whole wave.
        duration_ms: u64,
    },
    /// Asks whether a maintenance wave is completed.
    WaveStatus {
        /// Number of the wave.
        number: u64,
    },
    /// Asks to join the quorum.
    Join {
        /// Identity of the host's disk.
        id: u64,
        /// Address of its listener for other hosts of the system.
        address: String,
    },
    /// Asks for the members of the cluster and the limits in force.
    Status,
    /// Asks for the reasons of a job's current state.
    Explain {
        /// The job.
        job: JobId,
    },
    /// Asks to be removed from the quorum before the host stops.
    Leave {
        /// Identity of the host's disk.
        id: u64,
    },
    /// Begins or finishes the evacuation of a data centre.
    Evacuate {
        /// The data centre.
        data_centre: Arc<str>,
        /// Whether it begins.
        begin: bool,
        /// Revision of the evacuation that the sender knows.
        revision: u64,
    },
    /// Asks for the data centres that are being evacuated.
    Evacuations,
    /// Passes hold orders of the leader to the receiver, whichever host leads.
    Relay(RelayRequest),
    /// A caller's request that is sent again, since an earlier attempt may have been carried out.
    Resend {
        /// The request.
        call: FrontCall,
        /// Time since the first attempt.
        age_ms: u64,
    },
}

/// Hold orders that a control host sends for the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// Term of the leader; orders of an older one than known are refused.
    pub term: u64,
    /// New orders, by number.
    pub orders: Vec<(u64, HoldOrder)>,
    /// Numbers of earlier orders whose answer is no longer wanted.
    pub dropped: Vec<u64>,
}

/// Answers to relayed hold orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayReply {
    /// Whether a newer leader is known, so that the orders were not taken.
    pub refused: bool,
    /// Answers to orders of this and earlier requests.
    pub answers: Vec<RelayedAnswer>,
}

/// Answer to one relayed hold order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedAnswer {
    /// Number of the order.
    pub number: u64,
    /// The upstream's answer.
    pub answer: Result<TaskLists, CallFault>,
}

impl Request {
    /// Returns whether the request may have an effect even if its reply is lost.
    pub(super) fn changes_state(&self) -> bool {
        match self {
            Self::Front(call) => matches!(call.action, Action::Submit { .. } | Action::Cancel),
            Self::ReadConfiguration
            | Self::WaveStatus { .. }
            | Self::Status
            | Self::Evacuations
            | Self::Explain { .. } => false,
            Self::Resend { .. }
            | Self::Heartbeat(_)
            | Self::Deregister { .. }
            | Self::SetConfiguration { .. }
            | Self::StartWave { .. }
            | Self::Join { .. }
            | Self::Evacuate { .. }
            | Self::Relay(_)
            | Self::Leave { .. } => true,
        }
    }
}

impl Reply {
    /// Returns whether a reply to one attempt of a request is true of all of its attempts: of one that
    /// was carried out before, and of one that is carried out later.
    ///
    /// A rejection is not, as it depends on a state that other attempts may not have met.
    pub(super) fn holds_for_all_attempts(&self, request: &Request) -> bool {
        let Request::Front(call) = request else {
            // Configurations are checked by their content only; a data centre may become known.
            let evacuates = matches!(request, Request::Evacuate { .. });
            return !(evacuates && matches!(self, Self::Operator(OperatorReply::Invalid { .. })));
        };
        let Self::Front(reply) = self else { return true };
        match (&call.action, reply) {
            // No attempt stores a job that is invalid by itself.
            (Action::Submit { spec }, FrontReply::Invalid { .. }) => spec.check().is_err(),
            (
                _,
                FrontReply::NoQueue
                | FrontReply::BadKey
                | FrontReply::NotConfigured
                | FrontReply::NotAccepted { .. }
                | FrontReply::Invalid { .. },
            ) => false,
            // These follow from the log, or change nothing.
            _ => true,
        }
    }
}

/// Replication state of a member of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Identity of the host's disk.
    pub id: u64,
    /// Address of its listener for other hosts of the system.
    pub address: String,
    /// Whether the member counts towards the quorum.
    pub voter: bool,
    /// Index up to which its log is known to match.
    pub matched: u64,
    /// Time since its last message.
    pub silent_ms: u64,
}

/// A data centre that is being evacuated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationStatus {
    /// The data centre.
    pub data_centre: Arc<str>,
    /// Time since the request was stored.
    pub since_ms: u64,
    /// Registered upstreams in it.
    pub upstreams: u64,
    /// Tasks that may still be running on them.
    pub running_tasks: u64,
}

/// State of the cluster as its leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// Internal address of the leader.
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
    /// Data centres that are being evacuated.
    pub evacuations: Vec<EvacuationStatus>,
}

/// Reply to a [`Request`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// This host does not lead or may have lost its lease; the request was not carried out.
    NotLeader {
        /// The leader's internal address, if known.
        leader: Option<SocketAddr>,
    },
    /// Leadership was lost meanwhile, so the outcome is unknown; the request may be retried.
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
    /// Reply to [`Request::Explain`]: lines for a human reader.
    Explanation(Vec<String>),
    /// Reply to [`Request::Deregister`]: runs of the upstream have not ended yet; it may ask again.
    RunsRemain,
    /// Reply to [`Request::Evacuate`], which had no effect: this revision of the evacuation is current.
    EvacuationRevision(u64),
    /// Reply to [`Request::Evacuations`].
    Evacuations(Vec<EvacuationStatus>),
    /// Reply to [`Request::Relay`].
    Relayed(RelayReply),
}
