//! Orders to upstreams, and the functions by which an adapter sends them.

use std::collections::BTreeMap;
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::budget::ConnectionBudget;
use crate::tasks::{EndKind, TaskId};

/// Time in which an upstream does not crash, restart and answer a call.
pub(super) const RESTART_MIN_MS: u64 = 150;

/// An order in flight.
pub type CallFuture<T> = Pin<Box<dyn Future<Output = Result<T, CallFault>> + Send>>;

/// Order to start a task.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartOrder {
    /// Address of the upstream.
    pub address: Arc<str>,
    /// Identity of the upstream; any other upstream refuses the order.
    pub upstream: Arc<str>,
    /// Fencing token of the leader; an upstream refuses a lower one than it has seen.
    pub fencing_token: u64,
    /// Task to start.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Payload of the job.
    pub payload: Arc<str>,
    /// End of the lease on the upstream's clock.
    pub lease_until_ms: u64,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Approval ticket of the advising service, if the queue requires one.
    pub ticket: Option<Arc<str>>,
}

/// Order to stop a task.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StopOrder {
    /// Address of the upstream.
    pub address: Arc<str>,
    /// Identity of the upstream.
    pub upstream: Arc<str>,
    /// Fencing token of the leader.
    pub fencing_token: u64,
    /// Task to stop.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
}

/// Order to run a task at a share of its full speed.
#[derive(Debug, Clone)]
pub struct PaceOrder {
    /// Address of the upstream.
    pub address: Arc<str>,
    /// Identity of the upstream.
    pub upstream: Arc<str>,
    /// Fencing token of the leader.
    pub fencing_token: u64,
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Share of the full speed, from 0 to 100.
    pub percent: u32,
}

/// Request for the upstreams that may run a step.
#[derive(Debug, Clone)]
pub struct AdviceRequest {
    /// Step, as `JOB.OCCURRENCE.STEP`.
    pub step: String,
    /// Identities of the candidate upstreams.
    pub upstreams: Vec<Arc<str>>,
    /// Timeout of the answer.
    pub limit_ms: u64,
}

/// Answer to an [`AdviceRequest`].
#[derive(Debug, Clone, Default)]
pub struct AdviceAnswer {
    /// Tickets by approved upstream.
    pub approved: BTreeMap<Arc<str>, Arc<str>>,
    /// Time for which the tickets are valid, if the service states it.
    pub valid_ms: Option<u64>,
}

/// Order to take a physical host down for maintenance.
#[derive(Debug, Clone)]
pub struct MaintenanceOrder {
    /// Physical host.
    pub machine: Arc<str>,
    /// Number of the maintenance wave.
    pub wave: u64,
    /// Fencing token of the leader.
    pub fencing_token: u64,
}

/// Answer to a [`MaintenanceOrder`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MaintenanceAnswer {
    /// The maintenance has begun, by this order or an earlier one.
    Begun,
    /// The host is not up or is leaving; to be retried later.
    Busy,
    /// There is no such host, or it does not belong to the wave.
    NotWanted,
    /// Too many calls; to be retried later.
    Throttled,
}

/// Order to extend the lease of an upstream and return its task lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldOrder {
    /// Address of the upstream.
    pub address: Arc<str>,
    /// Identity of the upstream.
    pub upstream: Arc<str>,
    /// Fencing token of the leader.
    pub fencing_token: u64,
    /// Number of the newest recorded end; the upstream may drop ends up to it.
    pub ends_seen: u64,
    /// End of the lease on the upstream's clock; absent to only read the lists.
    pub lease_until_ms: Option<u64>,
    /// Time for which the upstream may delay its answer until a run ends.
    pub wait_ms: u64,
}

/// Answer to an order about one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// Carried out, by this order or an earlier one.
    Done {
        /// The upstream's clock.
        clock_ms: u64,
    },
    /// Refused and not carried out.
    Refused(Refusal),
}

/// Why an upstream refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
pub enum Refusal {
    /// The upstream has seen a higher fencing token.
    #[display("fence")]
    #[serde(rename = "Fence")]
    StaleToken,
    /// The run is not higher than one that was stopped or has ended there.
    #[display("old")]
    #[serde(rename = "Old")]
    StaleRun,
    /// The lease in the order has ended.
    #[display("late")]
    #[serde(rename = "Late")]
    LeaseEnded,
    /// The upstream lacks the capacity for the task.
    #[display("room")]
    #[serde(rename = "Room")]
    NoCapacity,
    /// The approval ticket is missing or no longer valid.
    #[display("ticket")]
    #[serde(rename = "Ticket")]
    NotApproved,
    /// The upstream is not healthy.
    #[display("unhealthy")]
    Unhealthy,
    /// The upstream does not accept the order as written.
    #[display("invalid")]
    Invalid,
    /// The order was not sent, since the data centre of the upstream is being evacuated.
    #[display("evacuated")]
    #[serde(skip)]
    Evacuated,
}

/// A run in an upstream's task lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedRun {
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Share of the work that is done, in percent.
    pub percent: u32,
    /// Load estimate: tail latency in milliseconds for a serving task, else processors in use.
    pub load: Option<u64>,
}

/// An ended run in an upstream's task lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEnd {
    /// Sequence number of the end, from 1 in each incarnation of the upstream.
    pub number: u64,
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub how: EndKind,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
}

/// Running and ended tasks of an upstream.
///
/// Only lists that are complete prove that a task which they do not name has not run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskLists {
    /// The upstream's clock.
    pub clock_ms: u64,
    /// Start time of this incarnation of the upstream, if it reports it.
    pub born_unix_ms: Option<u64>,
    /// Runs.
    pub running: Vec<ListedRun>,
    /// Ends that are not recorded yet, in the order of their numbers.
    pub ended: Vec<ListedEnd>,
    /// Whether more ends may follow those in `ended`, which come with the next answer.
    #[serde(default)]
    pub more_ended: bool,
    /// Number of list entries that could not be decoded.
    pub unreadable: usize,
}

/// Why an order has no usable answer.
#[derive(
    Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display, derive_more::Error,
)]
pub enum CallFault {
    /// The connection could not be opened, so nothing was carried out.
    #[display("not sent: {reason}")]
    NotSent {
        /// Error message.
        reason: String,
    },
    /// The connection was refused, so nothing was carried out. A link on the way may refuse as well, so
    /// the upstream may be up.
    #[display("connection refused")]
    Refused,
    /// This process has no connection to spare, so nothing was sent. It says nothing about the
    /// upstream.
    #[display("no connection to spare")]
    NoConnection,
    /// No answer arrived, or it could not be decoded; the order may still be carried out later.
    #[display("no answer: {reason}")]
    NoAnswer {
        /// Error message.
        reason: String,
    },
    /// An upstream with another identity answers at the address.
    #[display("another upstream answers at the address")]
    OtherUpstream,
    /// The upstream has accepted orders of a newer leader.
    #[display("the upstream has accepted orders of a newer leader")]
    Fenced,
}

type Call<O, A> = Arc<dyn Fn(O) -> CallFuture<A> + Send + Sync>;

/// Functions that send orders to upstreams.
#[derive(Clone)]
pub struct UpstreamCalls {
    /// Starts a task.
    pub start: Call<StartOrder, OrderAnswer>,
    /// Stops a task.
    pub stop: Call<StopOrder, OrderAnswer>,
    /// Extends the lease and reads the task lists.
    pub hold: Call<HoldOrder, TaskLists>,
    /// Sets the pace of a task.
    pub pace: Call<PaceOrder, OrderAnswer>,
    /// Asks the advising service.
    pub advise: Call<AdviceRequest, AdviceAnswer>,
    /// Takes a physical host down for maintenance.
    pub maintain: Call<MaintenanceOrder, MaintenanceAnswer>,
    /// Closes the idle connections to upstreams, at the end of a leader's term.
    pub close_idle: Arc<dyn Fn() + Send + Sync>,
    /// Connections that the functions may open to upstreams.
    pub budget: ConnectionBudget,
}

impl fmt::Debug for UpstreamCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UpstreamCalls").finish_non_exhaustive()
    }
}
