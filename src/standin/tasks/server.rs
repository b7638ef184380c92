//! HTTP server and heartbeats of a stand-in that runs tasks.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};
use tracing::warn;

use super::board::{Fenced, TaskTable};
use crate::cluster::{HoldOrder, HttpClient, StartOrder, StopOrder, TaskLists, unix_ms};
use crate::error::StepError;
use crate::http::{FullRequest, FullResponse, ServerLimits, error, json, serve};
use crate::names::{RackName, ServiceName, UpstreamName};
use crate::task_api::{HOLD_PATH, LeaveRequest, START_PATH, STOP_PATH, UPSTREAM_HEADER};
use crate::tasks::{Heartbeat, Resources, TaskId};

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a report to one control host.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which a waiting hold order checks for new ends.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time that a hold order waits for a new end.
const WAIT_MAX_MS: u64 = 2_000;

const LIMITS: ServerLimits = ServerLimits {
    head_timeout: Duration::from_mins(1),
    body_timeout: Duration::from_secs(5),
    body_limit_bytes: 1024 * 1024,
    all_bodies_limit_bytes: 16 * 1024 * 1024,
    max_connections: 256,
};

/// Settings of a stand-in.
#[derive(Debug, Clone)]
pub struct TaskStandinSettings {
    /// Name under which it reports itself.
    pub name: UpstreamName,
    /// Address at which it takes orders; port 0 picks a free one.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Rack that it is in.
    pub rack: RackName,
    /// Data centre that it is in; empty if it names none.
    pub data_centre: String,
    /// Number of its accelerators.
    pub accelerators: u32,
    /// Control hosts to which it reports itself.
    pub control_hosts: Vec<SocketAddr>,
    /// Time from the start to the first heartbeat.
    pub heartbeat_delay: Duration,
}

/// Processors that a stand-in has for each accelerator.
const CPU_MILLICORES: u32 = 8_000;
/// Memory that a stand-in has for each accelerator.
const MEMORY_MB: u32 = 16_000;

/// A running stand-in.
#[derive(Debug)]
pub struct RunningTaskStandin {
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    reporting: JoinHandle<()>,
    serving: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    settings: TaskStandinSettings,
    address: SocketAddr,
    started: Instant,
    born_unix_ms: u64,
    task_table: Mutex<TaskTable>,
    client: HttpClient,
}

/// Starts a stand-in.
///
/// # Errors
/// Returns an error if its address cannot be listened on.
pub async fn start(settings: TaskStandinSettings) -> Result<RunningTaskStandin, StepError> {
    let failed = |error| StepError::new("open the stand-in's listener", settings.address, error);
    let listener = TcpListener::bind(settings.address).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let shared = Arc::new(Shared {
        address,
        settings,
        started: Instant::now(),
        born_unix_ms: unix_ms(),
        task_table: Mutex::default(),
        client: HttpClient::default(),
    });
    let (stop, stopped) = watch::channel(false);
    let serving_shared = Arc::clone(&shared);
    let handler = move |received| handle(Arc::clone(&serving_shared), received);
    let serving = tokio::spawn(serve(listener, LIMITS, stopped, handler));
    let reporting = tokio::spawn(Arc::clone(&shared).send_heartbeats());
    Ok(RunningTaskStandin { shared, stop, reporting, serving })
}

impl RunningTaskStandin {
    /// Returns how many tasks have started here.
    #[must_use]
    pub fn started(&self) -> u32 {
        self.shared.task_table().started()
    }

    /// Returns the tasks that run here, including those that are being stopped.
    #[must_use]
    pub fn running(&self) -> Vec<TaskId> {
        let mut task_table = self.shared.task_table();
        task_table.advance(self.shared.clock_ms());
        task_table.running().cloned().collect()
    }

    /// Returns the largest number of tasks that ran here at the same time.
    #[must_use]
    pub fn running_peak(&self) -> usize {
        self.shared.task_table().running_peak()
    }

    /// Reports that it leaves, and then stops together with all tasks that it runs.
    pub async fn leave(self) {
        self.reporting.abort();
        let leave = LeaveRequest { born_unix_ms: self.shared.born_unix_ms };
        self.shared.report_to_control("leave", &leave).await;
        self.stop.send_replace(true);
        self.serving.abort();
    }

    /// Stops at once, like a process that crashes.
    pub fn kill(self) {
        self.reporting.abort();
        self.serving.abort();
    }
}

impl Shared {
    fn task_table(&self) -> MutexGuard<'_, TaskTable> {
        self.task_table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    async fn send_heartbeats(self: Arc<Self>) {
        let mut sequence = 0;
        sleep(self.settings.heartbeat_delay).await;
        loop {
            sequence += 1;
            self.report_to_control("heartbeat", &self.heartbeat(sequence)).await;
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    fn heartbeat(&self, sequence: u64) -> Heartbeat {
        let settings = &self.settings;
        let rack: Arc<str> = settings.rack.to_string().into();
        Heartbeat {
            id: settings.name.to_string().into(),
            born_unix_ms: self.born_unix_ms,
            sequence,
            service: settings.service.to_string().into(),
            address: self.address.to_string().into(),
            data_centre: settings.data_centre.as_str().into(),
            machine: None,
            draining: false,
            drain_remaining_ms: 0,
            cold_remaining_ms: 0,
            capacity: Resources {
                cpu_millicores: settings.accelerators * CPU_MILLICORES,
                memory_mb: settings.accelerators * MEMORY_MB,
                accelerators: settings.accelerators,
            },
            labels: vec![Arc::clone(&rack)],
            rack,
        }
    }

    /// Sends a report to the first control host that accepts it.
    async fn report_to_control(&self, report_kind: &str, report: &impl Serialize) {
        let path = format!("/v1/upstreams/{}/{report_kind}", self.settings.name);
        let body = match serde_json::to_vec(report) {
            Ok(body) => Bytes::from(body),
            Err(fault) => return warn!(error = %fault, "could not encode a report"),
        };
        for host in &self.settings.control_hosts {
            let request = Request::builder()
                .method(Method::POST)
                .uri(&path)
                .header(hyper::header::HOST, host.to_string())
                .header(CONTENT_TYPE, "application/json")
                .body(Full::new(body.clone()));
            let Ok(request) = request else { return };
            let reply = self.client.call(*host, request, REPORT_TIMEOUT).await;
            if reply.is_ok_and(|reply| reply.status == 200) {
                return;
            }
        }
        warn!(
            upstream = %self.settings.name,
            what = report_kind,
            "no control host accepted the report"
        );
    }
}

async fn handle(shared: Arc<Shared>, received: FullRequest) -> FullResponse {
    if received.method != Method::POST {
        return error(405, "only POST is supported");
    }
    if received.header(UPSTREAM_HEADER) != Some(&*shared.settings.name.to_string()) {
        return error(421, "the request is addressed to another upstream");
    }
    match received.uri.path() {
        START_PATH => with_order::<StartOrder, _>(&received, |order| {
            json(200, &shared.task_table().start(&order, shared.clock_ms()))
        }),
        STOP_PATH => with_order::<StopOrder, _>(&received, |order| {
            json(200, &shared.task_table().stop(&order, shared.clock_ms()))
        }),
        HOLD_PATH => match serde_json::from_slice(&received.body) {
            Ok(order) => hold(&shared, order).await,
            Err(fault) => error(400, &fault.to_string()),
        },
        _ => error(404, "unknown path"),
    }
}

/// Decodes an order and passes it to `execute`.
fn with_order<T: DeserializeOwned, F: FnOnce(T) -> FullResponse>(
    received: &FullRequest,
    execute: F,
) -> FullResponse {
    match serde_json::from_slice(&received.body) {
        Ok(order) => execute(order),
        Err(fault) => error(400, &fault.to_string()),
    }
}

/// Answers with the running and ended tasks, as soon as there is a new end or the wait is over.
async fn hold(shared: &Shared, order: HoldOrder) -> FullResponse {
    let wait = Duration::from_millis(order.wait_ms.min(WAIT_MAX_MS));
    let started = Instant::now();
    loop {
        let (lists, last_end_number) = {
            let mut task_table = shared.task_table();
            (task_table.hold(&order, shared.clock_ms()), task_table.last_end_number())
        };
        match lists {
            Err(Fenced) => {
                return error(409, "the fencing token is outdated: a newer leader has sent orders");
            }
            Ok(lists) if last_end_number > order.ends_seen || started.elapsed() >= wait => {
                let born_unix_ms = Some(shared.born_unix_ms);
                return json(200, &TaskLists { born_unix_ms, ..lists });
            }
            Ok(_) => sleep(POLL_INTERVAL).await,
        }
    }
}
