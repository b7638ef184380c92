//! The control cluster: state that is replicated to all control hosts, and the elected leader.
//!
//! `replica` drives the replicated log, `leader` schedules and sends orders to upstreams while its
//! host leads, and [`LeaderClient`] sends requests to the leader from entry hosts and from the other
//! control hosts.

mod budget;
mod clock;
pub(crate) mod codec;
mod control;
mod evacuation_metrics;
mod holder;
mod http_client;
mod leader;
mod leader_client;
mod log_thread;
mod metrics;
mod peers;
mod protocol;
mod relays;
mod replica;
mod server;
mod settings;
#[cfg(test)]
mod tests;
mod upstream_calls;

pub use budget::{BudgetReserves, ConnectionBudget, ConnectionUse};
pub use clock::unix_ms;
pub use control::Control;
pub use http_client::{HttpClient, HttpFault, HttpReply};
pub use leader_client::{ClientFault, LeaderClient};
pub use protocol::{
    Action, ClusterStatus, EvacuationStatus, FrontCall, FrontReply, MemberStatus, OperatorReply,
    Reply, Request,
};
pub use settings::{ClusterSettings, TaskBounds};
pub use upstream_calls::{
    AdviceAnswer, AdviceRequest, CallFault, CallFuture, HoldOrder, ListedEnd, ListedRun,
    MaintenanceAnswer, MaintenanceOrder, OrderAnswer, PaceOrder, Refusal, StartOrder, StopOrder,
    TaskLists, UpstreamCalls,
};
