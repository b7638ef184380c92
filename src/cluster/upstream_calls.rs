//! Orders to upstreams, as functions that an adapter supplies.

use std::collections::BTreeMap;
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::tasks::{EndKind, TaskId};

/// An order in flight.
pub type CallFuture<T> = Pin<Box<dyn Future<Output = Result<T, CallFault>> + Send>>;

/// Starts one task.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartOrder {
    /// Address of the upstream.
    pub address: Arc<str>,
    /// Identity of the upstream; another one refuses the order.
    pub upstream: Arc<str>,
    /// Token of the leader; an upstream refuses lower ones than it has seen.
    pub fencing_token: u64,
    /// Task to start.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Text of the job.
    pub payload: Arc<str>,
    /// End of the lease on the upstream's clock.
    pub lease_until_ms: u64,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Approval of an advising service, if the queue needs one.
    pub ticket: Option<Arc<str>>,
}

/// Stops one task.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StopOrder {
    /// Address of the upstream.
    pub address: Arc<str>,
    /// Identity of the upstream.
    pub upstream: Arc<str>,
    /// Token of the leader.
    pub fencing_token: u64,
    /// Task to stop.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
}

/// Sets the share of its full speed at which a task works.
#[derive(Debug, Clone)]
pub struct PaceOrder {
    /// Address of the upstream.
    pub address: Arc<str>,
    /// Identity of the upstream.
    pub upstream: Arc<str>,
    /// Token of the leader.
    pub fencing_token: u64,
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Share, from 0 to 100.
    pub percent: u32,
}

/// Asks which upstreams may run a step.
#[derive(Debug, Clone)]
pub struct AdviceRequest {
    /// Step, as `JOB.OCCURRENCE.STEP`.
    pub step: String,
    /// Identities of the upstreams in question.
    pub upstreams: Vec<Arc<str>>,
    /// Time to wait for the answer.
    pub limit_ms: u64,
}

/// Answer to an [`AdviceRequest`].
#[derive(Debug, Clone, Default)]
pub struct AdviceAnswer {
    /// Tickets of the approved upstreams.
    pub approved: BTreeMap<Arc<str>, Arc<str>>,
    /// Time for which the tickets hold, if the service says so.
    pub valid_ms: Option<u64>,
}

/// Takes a physical host down for maintenance.
#[derive(Debug, Clone)]
pub struct MaintenanceOrder {
    /// Physical host.
    pub machine: Arc<str>,
    /// Number of the wave that asked for it.
    pub wave: u64,
    /// Token of the leader.
    pub fencing_token: u64,
}

/// Answer to an [`MaintenanceOrder`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MaintenanceAnswer {
    /// The maintenance has begun, now or before.
    Begun,
    /// The host is not up or is leaving; ask again later.
    Busy,
    /// There is no such host, or it does not belong to the wave.
    NotWanted,
    /// Too many calls; ask again later.
    Throttled,
}

/// Extends the lease of an upstream and reads its lists.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HoldOrder {
    /// Address of the upstream.
    pub address: Arc<str>,
    /// Identity of the upstream.
    pub upstream: Arc<str>,
    /// Token of the leader.
    pub fencing_token: u64,
    /// Number up to which ends are recorded and may be forgotten.
    pub ends_seen: u64,
    /// End of the lease on the upstream's clock; absent to look only.
    pub lease_until_ms: Option<u64>,
    /// Time to wait for an end.
    pub wait_ms: u64,
}

/// Answer to a start or stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// Carried out, now or before.
    Done {
        /// The upstream's clock.
        clock_ms: u64,
    },
    /// Refused; nothing was done.
    Refused(Refusal),
}

/// Why an upstream refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
pub enum Refusal {
    /// It has seen a higher fencing token.
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
    /// The task does not fit.
    #[display("room")]
    #[serde(rename = "Room")]
    NoCapacity,
    /// The approval is missing or no longer holds.
    #[display("ticket")]
    #[serde(rename = "Ticket")]
    NotApproved,
    /// The upstream is not healthy.
    #[display("unhealthy")]
    Unhealthy,
    /// The upstream does not accept the order as written.
    #[display("invalid")]
    Invalid,
}

/// A run in an upstream's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedRun {
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Share of the work that is done.
    pub percent: u32,
    /// Rough load figure: the tail in milliseconds for a serving task, else processors in use.
    pub load: Option<u64>,
}

/// An end in an upstream's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEnd {
    /// Number of the end, from 1 in each life.
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

/// What an upstream runs and what has ended there.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskLists {
    /// The upstream's clock.
    pub clock_ms: u64,
    /// Unix time at which this life of the upstream began, if it says so.
    pub born_unix_ms: Option<u64>,
    /// Runs.
    pub running: Vec<ListedRun>,
    /// Ends that are not recorded yet.
    pub ended: Vec<ListedEnd>,
    /// Entries that could not be read.
    pub unreadable: usize,
}

/// Why there is no answer to use.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum CallFault {
    /// The connection could not be opened, so nothing was carried out.
    #[display("not sent: {reason}")]
    NotSent {
        /// The fault.
        reason: String,
    },
    /// No answer came, or one that cannot be read; the order may be carried out at any later time.
    #[display("no answer: {reason}")]
    NoAnswer {
        /// The fault.
        reason: String,
    },
    /// Another upstream answers at the address.
    #[display("another upstream answers at the address")]
    OtherUpstream,
    /// A newer leader has ordered there.
    #[display("a newer leader has been there")]
    Fenced,
}

type Call<O, A> = Arc<dyn Fn(O) -> CallFuture<A> + Send + Sync>;

/// Functions that carry orders to upstreams.
#[derive(Clone)]
pub struct UpstreamCalls {
    /// Starts one task.
    pub start: Call<StartOrder, OrderAnswer>,
    /// Stops one task.
    pub stop: Call<StopOrder, OrderAnswer>,
    /// Extends the lease and reads the lists.
    pub hold: Call<HoldOrder, TaskLists>,
    /// Sets the pace of one task.
    pub pace: Call<PaceOrder, OrderAnswer>,
    /// Asks the advising service.
    pub advise: Call<AdviceRequest, AdviceAnswer>,
    /// Takes a physical host down for maintenance.
    pub maintain: Call<MaintenanceOrder, MaintenanceAnswer>,
}

impl fmt::Debug for UpstreamCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UpstreamCalls").finish_non_exhaustive()
    }
}
