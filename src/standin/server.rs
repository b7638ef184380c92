//! The stand-in's HTTP server.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderValue;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::announcer::{ANNOUNCE_INTERVAL, Announcer};
use super::attempts::{Attempts, Refusal, StartCounts};
use super::gangs::{self, FreeCapacity, Gangs, MemberRun};
use crate::error::StepError;
use crate::http::{self, FullRequest, FullResponse, ServerLimits, error, json};
use crate::names::{RackName, RequestKey, ServiceName, UpstreamName};
use crate::upstream_http::{
    ATTEMPT_HEADER, Announcement, FENCE_PATH, FenceReply, FenceRequest, GANG_PATH_PREFIX,
    INCARNATION_HEADER, KEY_HEADER, NOT_STARTED_HEADER, PROBE_PATH, RUN_PATH,
};

/// Timeout of receiving a request head or body.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest request body that is accepted.
const BODY_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Longest wait of a query for ended gang members (`GangMessage::Ends`).
const ENDS_WAIT_MAX: Duration = Duration::from_secs(30);
/// Interval at which such a query checks the members while it waits.
const ENDS_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Settings of a stand-in.
#[derive(Debug, Clone)]
pub struct StandinSettings {
    /// Name under which it announces itself.
    pub name: UpstreamName,
    /// Number of this start of the process; each start has a higher one.
    pub incarnation: u64,
    /// Address to listen on for work; port 0 picks a free one.
    pub address: SocketAddr,
    /// Address to announce if it differs from `address`, for example behind a proxy.
    pub advertised: Option<SocketAddr>,
    /// Services it runs.
    pub services: Vec<ServiceName>,
    /// Rack of the stand-in.
    pub rack: RackName,
    /// Position in the rack, counted from 0.
    pub rack_position: u32,
    /// Number of its accelerators.
    pub accelerators: u32,
    /// Maximum number of running attempts and active gang members together.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Entry hosts to which it announces itself.
    pub entry_hosts: Vec<SocketAddr>,
}

/// A running stand-in.
#[derive(Debug)]
pub struct RunningStandin {
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    settings: StandinSettings,
    attempts: Mutex<Attempts>,
    gangs: Mutex<Gangs>,
    leaving: AtomicBool,
    announcements_stopped: AtomicBool,
    connections_peak: AtomicUsize,
}

/// Work that a request asks for; other fields of the body are ignored.
#[derive(Debug, Default, Deserialize)]
struct Work {
    #[serde(default)]
    work_ms: u64,
}

#[derive(Debug, Serialize)]
struct WorkAnswer<'a> {
    upstream: &'a UpstreamName,
    key: &'a RequestKey,
    /// Number of attempts with this key that have started here.
    starts: u32,
    /// Place of the attempt in the order in which all attempts have started here, from 1.
    start_order: u32,
}

#[derive(Debug, Serialize)]
struct StatsBody {
    running: u32,
    running_peak: u32,
    started: u32,
    refused: u32,
    connections_peak: usize,
}

impl RunningStandin {
    /// Returns the address on which it listens for work.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.settings.address
    }

    /// Returns how many attempts with this key have started.
    #[must_use]
    pub fn starts(&self, key: &RequestKey) -> u32 {
        self.shared.attempts().starts(key)
    }

    /// Returns how many attempts have started in all.
    #[must_use]
    pub fn started(&self) -> u32 {
        self.shared.attempts().started()
    }

    /// Returns the largest number of attempts that ran at the same time.
    #[must_use]
    pub fn running_peak(&self) -> u32 {
        self.shared.attempts().running_peak()
    }

    /// Returns how many attempts it has refused because all slots were taken.
    #[must_use]
    pub fn refused(&self) -> u32 {
        self.shared.attempts().refused()
    }

    /// Returns the largest number of connections that were open at the same time.
    #[must_use]
    pub fn connections_peak(&self) -> usize {
        self.shared.connections_peak.load(Ordering::Acquire)
    }

    /// Returns the keys of the attempts that have started, with the number of starts.
    #[must_use]
    pub fn starts_by_key(&self) -> Vec<(RequestKey, u32)> {
        self.shared.attempts().starts_by_key()
    }

    /// Stops announcing but continues to accept work, as if all further announcements were lost.
    pub fn stop_announcing(&self) {
        self.shared.announcements_stopped.store(true, Ordering::Release);
    }

    /// Stops without notifying the entry hosts and closes every connection, like a crash.
    pub async fn crash(self) {
        self.shared.leaving.store(true, Ordering::Release);
        self.stop.send_replace(true);
        self.task.abort();
        _ = self.task.await;
    }

    /// Returns the gang members that have started, with their start and end times.
    #[must_use]
    pub fn gang_runs(&self) -> Vec<MemberRun> {
        self.shared.gangs().runs()
    }

    /// Refuses new work, notifies the entry hosts, waits for the running attempts and stops.
    ///
    /// It does not wait for gang members.
    pub async fn leave(self) {
        self.shared.leaving.store(true, Ordering::Release);
        let announcer = self.shared.announcer();
        let incarnation = self.shared.settings.incarnation;
        _ = tokio::task::spawn_blocking(move || announcer.leave(incarnation)).await;
        while self.shared.attempts().running() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
        self.stop.send_replace(true);
        _ = self.task.await;
    }
}

impl Shared {
    fn attempts(&self) -> std::sync::MutexGuard<'_, Attempts> {
        self.attempts.lock().expect("no panic while attempts are locked")
    }

    /// Locks the gang members; a caller that needs both locks takes the attempts first.
    fn gangs(&self) -> std::sync::MutexGuard<'_, Gangs> {
        self.gangs.lock().expect("no panic while gangs are locked")
    }

    fn announcer(&self) -> Announcer {
        Announcer::new(self.settings.name.clone(), self.settings.entry_hosts.clone())
    }

    fn announcement(&self) -> Announcement {
        let settings = &self.settings;
        Announcement {
            incarnation: settings.incarnation,
            address: settings.advertised.unwrap_or(settings.address),
            services: settings.services.clone(),
            rack: settings.rack.clone(),
            rack_position: settings.rack_position,
            accelerators: settings.accelerators,
            slots: settings.slots,
            connections: settings.connections,
        }
    }
}

/// Binds the stand-in's port, serves it and announces it.
///
/// # Errors
/// Returns an error if the port cannot be bound.
pub async fn start(mut settings: StandinSettings) -> Result<RunningStandin, StepError> {
    let failed = |error| StepError::new("listen for work", settings.address, error);
    let listener = TcpListener::bind(settings.address).await.map_err(failed)?;
    settings.address = listener.local_addr().map_err(failed)?;
    let limits = ServerLimits {
        head_timeout: RECEIVE_TIMEOUT,
        body_timeout: RECEIVE_TIMEOUT,
        body_limit_bytes: BODY_LIMIT_BYTES,
        all_bodies_limit_bytes: settings.connections as usize * BODY_LIMIT_BYTES,
        max_connections: settings.connections as usize,
    };
    let gangs = Gangs::new(settings.incarnation, settings.accelerators);
    let shared = Arc::new(Shared {
        settings,
        attempts: Mutex::new(Attempts::default()),
        gangs: Mutex::new(gangs),
        leaving: AtomicBool::new(false),
        announcements_stopped: AtomicBool::new(false),
        connections_peak: AtomicUsize::new(0),
    });
    let (stop, stopped) = watch::channel(false);
    let server = Arc::clone(&shared);
    let stop_server = stopped.clone();
    let task = tokio::spawn(async move {
        let peak = &Arc::clone(&server).connections_peak;
        let handler = move |received| handle(Arc::clone(&server), received);
        http::serve_recording_peak(listener, limits, peak, stop_server, handler).await;
    });
    tokio::spawn(announce(Arc::clone(&shared), stopped));
    Ok(RunningStandin { shared, stop, task })
}

async fn announce(shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    let announcer = shared.announcer();
    let announcement = shared.announcement();
    let is_leaving = || shared.leaving.load(Ordering::Acquire);
    while !is_leaving() && !shared.announcements_stopped.load(Ordering::Acquire) {
        let (announcer, announcement) = (announcer.clone(), announcement.clone());
        _ = tokio::task::spawn_blocking(move || announcer.announce(&announcement)).await;
        tokio::select! {
            () = sleep(ANNOUNCE_INTERVAL) => {}
            () = http::wait_for_stop(&mut stop) => return,
        }
    }
}

async fn handle(shared: Arc<Shared>, received: FullRequest) -> FullResponse {
    match (received.method.as_str(), received.uri.path()) {
        ("POST", RUN_PATH) => run(shared, received).await,
        ("POST", FENCE_PATH) => fence(&shared, &received),
        ("POST", path) if path.starts_with(GANG_PATH_PREFIX) => gang(&shared, &received).await,
        ("GET", PROBE_PATH) => http::text(200, "ok\n"),
        ("GET", "/standin/stats") => stats(&shared),
        ("GET", "/standin/gangs") => gangs::run_log(&mut shared.gangs()),
        _ => error(404, "no such path"),
    }
}

async fn gang(shared: &Shared, received: &FullRequest) -> FullResponse {
    // Long poll: waits until more members have completed or failed than the sender knows of.
    if let Some((after, wait)) = gangs::ends_long_poll(received) {
        let until = Instant::now() + wait.min(ENDS_WAIT_MAX);
        while Instant::now() < until && !shared.gangs().has_ends_after(after) {
            sleep(ENDS_POLL_INTERVAL).await;
        }
    }
    let attempts = shared.attempts();
    let free_capacity = FreeCapacity {
        slots: shared.settings.slots.saturating_sub(attempts.running()),
        accepts_members: !shared.leaving.load(Ordering::Acquire),
    };
    gangs::handle(&mut shared.gangs(), received, free_capacity)
}

fn stats(shared: &Shared) -> FullResponse {
    let attempts = shared.attempts();
    let body = StatsBody {
        running: attempts.running(),
        running_peak: attempts.running_peak(),
        started: attempts.started(),
        refused: attempts.refused(),
        connections_peak: shared.connections_peak.load(Ordering::Acquire),
    };
    json(200, &body)
}

async fn run(shared: Arc<Shared>, received: FullRequest) -> FullResponse {
    let key = received.header(KEY_HEADER).and_then(|key| key.parse::<RequestKey>().ok());
    let attempt = received.header(ATTEMPT_HEADER).and_then(|attempt| attempt.parse::<u32>().ok());
    let (Some(key), Some(attempt)) = (key, attempt) else {
        let message = format!("{KEY_HEADER} or {ATTEMPT_HEADER} is missing or malformed");
        return error(400, &message);
    };
    let id = (key, attempt);
    let own_incarnation = shared.settings.incarnation.to_string();
    let for_another = |incarnation: &str| incarnation != own_incarnation;
    let started = if received.header(INCARNATION_HEADER).is_some_and(for_another) {
        Err(Refusal::OtherIncarnation)
    } else if shared.leaving.load(Ordering::Acquire) {
        Err(Refusal::Leaving)
    } else {
        let mut attempts = shared.attempts();
        let slots = shared.settings.slots.saturating_sub(shared.gangs().slots_taken());
        attempts.start(&id, slots)
    };
    let response = match started {
        Err(refusal) => refusal_response(refusal),
        Ok(counts) => {
            // A separate task, so that the work continues if the connection is lost.
            let task = tokio::spawn(work(Arc::clone(&shared), id.clone(), counts, received.body));
            let answer = task.await.unwrap_or_default();
            http::text(200, answer)
        }
    };
    with_attempt_headers(response, &id)
}

async fn work(
    shared: Arc<Shared>,
    id: (RequestKey, u32),
    counts: StartCounts,
    body: Bytes,
) -> Bytes {
    let work: Work = serde_json::from_slice(&body).unwrap_or_default();
    if work.work_ms > 0 {
        sleep(Duration::from_millis(work.work_ms)).await;
    }
    let answer = WorkAnswer {
        upstream: &shared.settings.name,
        key: &id.0,
        starts: counts.of_key,
        start_order: counts.all,
    };
    let answer = Bytes::from(serde_json::to_vec(&answer).unwrap_or_default());
    shared.attempts().end(&id, answer.clone());
    answer
}

/// Builds the response to a refused attempt.
///
/// A repeated attempt has been started before, so its response lacks the not-started header.
fn refusal_response(refusal: Refusal) -> FullResponse {
    let mut response = error(503, &refusal.to_string());
    if refusal != Refusal::Repeated {
        response.headers_mut().insert(NOT_STARTED_HEADER, HeaderValue::from_static("true"));
    }
    response
}

fn with_attempt_headers(
    mut response: FullResponse,
    (key, attempt): &(RequestKey, u32),
) -> FullResponse {
    let headers = response.headers_mut();
    if let Ok(key) = HeaderValue::from_str(&key.to_string()) {
        headers.insert(KEY_HEADER, key);
    }
    headers.insert(ATTEMPT_HEADER, HeaderValue::from(*attempt));
    response
}

fn fence(shared: &Shared, received: &FullRequest) -> FullResponse {
    let request: FenceRequest = match serde_json::from_slice(&received.body) {
        Ok(request) => request,
        Err(fault) => return error(400, &fault.to_string()),
    };
    if request.incarnation != shared.settings.incarnation {
        return error(409, "the attempt was sent to another incarnation");
    }
    let (state, answer) = shared.attempts().fence(&(request.key, request.attempt));
    let answer = answer.and_then(|answer| {
        RawValue::from_string(String::from_utf8_lossy(&answer).into_owned()).ok()
    });
    json(200, &FenceReply { state, status: answer.as_ref().map(|_| 200), answer })
}
