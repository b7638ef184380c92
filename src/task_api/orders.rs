//! Orders to upstreams over HTTP, with the types of `upstream_calls` as JSON.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::cluster::{
    AdviceAnswer, CallFault, ConnectionBudget, ConnectionUse, HoldOrder, HttpClient, HttpFault,
    HttpReply, MaintenanceAnswer, OrderAnswer, Refusal, TaskLists, UpstreamCalls,
};

/// Path of a start order.
pub const START_PATH: &str = "/v1/tasks/start";
/// Path of a stop order.
pub const STOP_PATH: &str = "/v1/tasks/stop";
/// Path of an order that extends the lease and reads the task lists.
pub const HOLD_PATH: &str = "/v1/tasks/hold";

/// Header with the identity of the intended upstream; any other one responds with 421.
pub const UPSTREAM_HEADER: &str = "Cactuslatch-Upstream";

/// Timeout of an order to start or stop a task.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of an order to extend the lease, in addition to the wait that it requests.
const HOLD_MARGIN: Duration = Duration::from_millis(900);

/// Maximum number of connections to upstreams.
const CONNECTIONS_MAX: usize = 1_024;

/// Request of an upstream to be deregistered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaveRequest {
    /// Start time of the incarnation that leaves.
    pub born_unix_ms: u64,
}

/// Builds the functions that send orders to upstreams.
pub(super) fn upstream_calls() -> UpstreamCalls {
    let budget = ConnectionBudget::new(CONNECTIONS_MAX);
    let orders = HttpClient::new(budget.clone(), ConnectionUse::Start);
    let holds = orders.for_use(ConnectionUse::Lease);
    let stops = orders.for_use(ConnectionUse::Stop);
    let all = orders.clone();
    UpstreamCalls {
        start: Arc::new(move |order| {
            let client = orders.clone();
            Box::pin(async move {
                let target = Target::of(&order.address, &order.upstream);
                post(&client, target, START_PATH, &order, ORDER_TIMEOUT).await
            })
        }),
        stop: Arc::new(move |order| {
            let client = stops.clone();
            Box::pin(async move {
                let target = Target::of(&order.address, &order.upstream);
                post(&client, target, STOP_PATH, &order, ORDER_TIMEOUT).await
            })
        }),
        hold: Arc::new(move |order| Box::pin(hold(holds.clone(), order))),
        // Upstreams of this interface run tasks at full speed, without approvals or maintenance.
        pace: Arc::new(|_| Box::pin(async { Ok(OrderAnswer::Refused(Refusal::Invalid)) })),
        advise: Arc::new(|_| Box::pin(async { Ok(AdviceAnswer::default()) })),
        maintain: Arc::new(|_| Box::pin(async { Ok(MaintenanceAnswer::NotWanted) })),
        close_idle: Arc::new(move || all.forget_all()),
        budget,
    }
}

async fn hold(client: HttpClient, order: HoldOrder) -> Result<TaskLists, CallFault> {
    let limit = Duration::from_millis(order.wait_ms) + HOLD_MARGIN;
    let target = Target::of(&order.address, &order.upstream);
    let lists: WireLists = post(&client, target, HOLD_PATH, &order, limit).await?;
    Ok(lists.decode())
}

/// Task lists whose entries are decoded one by one, so that an odd one hides no other.
#[derive(Debug, Deserialize)]
struct WireLists {
    clock_ms: u64,
    born_unix_ms: Option<u64>,
    running: Vec<Box<RawValue>>,
    ended: Vec<Box<RawValue>>,
    #[serde(default)]
    more_ended: bool,
}

impl WireLists {
    /// Decodes the entries; unreadable ones are skipped and counted.
    fn decode(&self) -> TaskLists {
        let running = decode_entries(&self.running);
        let ended = decode_entries(&self.ended);
        let unreadable = self.running.len() + self.ended.len() - running.len() - ended.len();
        let Self { clock_ms, born_unix_ms, more_ended, .. } = *self;
        TaskLists { clock_ms, born_unix_ms, running, ended, more_ended, unreadable }
    }
}

fn decode_entries<T: DeserializeOwned>(entries: &[Box<RawValue>]) -> Vec<T> {
    entries.iter().filter_map(|entry| serde_json::from_str(entry.get()).ok()).collect()
}

/// Decodes task lists.
///
/// # Errors
/// Returns an error if the body has no lists.
#[cfg(test)]
pub(super) fn decode_lists(body: &str) -> Result<TaskLists, serde_json::Error> {
    serde_json::from_str::<WireLists>(body).map(|lists| lists.decode())
}

/// Address and identity of the upstream of an order.
struct Target {
    address: Arc<str>,
    upstream: Arc<str>,
}

impl Target {
    fn of(address: &Arc<str>, upstream: &Arc<str>) -> Self {
        Self { address: Arc::clone(address), upstream: Arc::clone(upstream) }
    }
}

async fn post<T: DeserializeOwned>(
    client: &HttpClient,
    target: Target,
    path: &'static str,
    order: &impl Serialize,
    limit: Duration,
) -> Result<T, CallFault> {
    let not_sent = |reason: String| CallFault::NotSent { reason };
    let address: SocketAddr = target
        .address
        .parse()
        .map_err(|_| not_sent(format!("{} is no address", target.address)))?;
    let body = serde_json::to_vec(order).map_err(|fault| not_sent(fault.to_string()))?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(HOST, &*target.address)
        .header(CONTENT_TYPE, "application/json")
        .header(UPSTREAM_HEADER, &*target.upstream)
        .body(Full::new(Bytes::from(body)))
        .map_err(|fault| not_sent(fault.to_string()))?;
    let reply = client.call(address, request, limit).await.map_err(|fault| match fault {
        HttpFault::NotSent { reason } => CallFault::NotSent { reason },
        HttpFault::Refused => CallFault::Refused,
        HttpFault::NoConnection => CallFault::NoConnection,
        HttpFault::NoAnswer { reason } => CallFault::NoAnswer { reason },
    })?;
    decode_reply(&reply)
}

fn decode_reply<T: DeserializeOwned>(reply: &HttpReply) -> Result<T, CallFault> {
    match reply.status {
        200 => serde_json::from_slice(&reply.body)
            .map_err(|fault| CallFault::NoAnswer { reason: fault.to_string() }),
        409 => Err(CallFault::Fenced),
        421 => Err(CallFault::OtherUpstream),
        status => Err(CallFault::NoAnswer { reason: format!("status {status}") }),
    }
}
