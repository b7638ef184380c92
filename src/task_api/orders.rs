//! Orders to upstreams over HTTP, with the library's own types as JSON.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::cluster::{
    AdviceAnswer, CallFault, HoldOrder, HttpClient, HttpFault, HttpReply, MaintenanceAnswer,
    OrderAnswer, Refusal, TaskLists, UpstreamCalls,
};

/// Path of a start order.
pub const START_PATH: &str = "/v1/tasks/start";
/// Path of a stop order.
pub const STOP_PATH: &str = "/v1/tasks/stop";
/// Path of an order that extends the lease and reads the lists.
pub const HOLD_PATH: &str = "/v1/tasks/hold";

/// Names the upstream that is meant; another one at the address refuses with 421.
pub const UPSTREAM_HEADER: &str = "Cactuslatch-Upstream";

/// Time for an upstream to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for an upstream to answer a hold, on top of the time it was asked to wait.
const HOLD_MARGIN: Duration = Duration::from_millis(900);

/// An upstream says that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaveRequest {
    /// Unix time at which the life that leaves began.
    pub born_unix_ms: u64,
}

/// Builds the functions that carry orders to upstreams.
pub(super) fn calls() -> UpstreamCalls {
    let orders = HttpClient::default();
    // Holds wait for long, so they have connections of their own.
    let holds = HttpClient::default();
    let stops = orders.clone();
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
        // The own upstreams run every task at full speed and need no approvals or maintenance.
        pace: Arc::new(|_| Box::pin(async { Ok(OrderAnswer::Refused(Refusal::Invalid)) })),
        advise: Arc::new(|_| Box::pin(async { Ok(AdviceAnswer::default()) })),
        maintain: Arc::new(|_| Box::pin(async { Ok(MaintenanceAnswer::NotWanted) })),
    }
}

async fn hold(client: HttpClient, order: HoldOrder) -> Result<TaskLists, CallFault> {
    let limit = Duration::from_millis(order.wait_ms) + HOLD_MARGIN;
    let target = Target::of(&order.address, &order.upstream);
    post(&client, target, HOLD_PATH, &order, limit).await
}

/// Whom an order is for.
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
        HttpFault::NoAnswer { reason } => CallFault::NoAnswer { reason },
    })?;
    read(&reply)
}

fn read<T: DeserializeOwned>(reply: &HttpReply) -> Result<T, CallFault> {
    match reply.status {
        200 => serde_json::from_slice(&reply.body)
            .map_err(|fault| CallFault::NoAnswer { reason: fault.to_string() }),
        409 => Err(CallFault::Fenced),
        421 => Err(CallFault::OtherUpstream),
        status => Err(CallFault::NoAnswer { reason: format!("status {status}") }),
    }
}
