//! An installation within the test process whose upstreams are behind fault-injecting proxies.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use cactuslatch::config::{DataCentrePeers, Limits, Timeouts};
use cactuslatch::local::{
    Client, LocalCluster, LocalDataCentre, LocalSettings, Reply, TEAM_SECRET,
};
use cactuslatch::standin::{self, RunningStandin, StandinSettings};
use cactuslatch::{RequestKey, StepError};
use tempfile::TempDir;
use tokio::runtime::{Handle, Runtime};

use super::link::{Fault, Link};
use super::paced_clock::PacedRuntime;

pub const DATA_CENTRES: [&str; 2] = ["north", "south"];

const DOCUMENT: &str = "\
kind: service
service: plan
organisations:
  - name: plovdiv
    concurrency_max: 500
    requests_per_s: 5000
    guaranteed_blocks: []
  - name: small
    concurrency_max: 1
    requests_per_s: 1000
    guaranteed_blocks: []
interactive_queue_max: 1024
interactive_wait_max_ms: 2000
batch_queue_max: 100
completion_weight: 1.0
fragmentation_weight: 0.2
";

/// Size and settings of a test cluster.
pub struct ClusterOptions {
    pub data_centres: usize,
    pub entry_hosts: u8,
    pub standins: u8,
    pub timeouts: Timeouts,
    pub limits: Limits,
    pub clock: ClusterClock,
}

/// Clock of all hosts and stand-ins of a cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClusterClock {
    /// The system clock, with a thread for each processor.
    System,
    /// A clock that stands still while the machine is too busy to run the cluster, with one thread.
    Paced,
}

enum ClusterRuntime {
    System(Runtime),
    Paced(PacedRuntime),
}

impl ClusterRuntime {
    fn start(clock: ClusterClock, folder: &Path) -> Self {
        match clock {
            ClusterClock::System => Self::System(Runtime::new().expect("a runtime")),
            ClusterClock::Paced => Self::Paced(PacedRuntime::start(folder)),
        }
    }

    fn handle(&self) -> &Handle {
        match self {
            Self::System(runtime) => runtime.handle(),
            Self::Paced(runtime) => runtime.handle(),
        }
    }

    fn shut_down(self) {
        match self {
            Self::System(runtime) => runtime.shutdown_background(),
            Self::Paced(runtime) => drop(runtime),
        }
    }
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            data_centres: 1,
            entry_hosts: 2,
            standins: 2,
            timeouts: Timeouts { balancer_notice_ms: 1_000, ..Timeouts::default() },
            limits: Limits::default(),
            clock: ClusterClock::System,
        }
    }
}

/// An installation within the test process. Its upstreams are stand-ins, all in the first data
/// centre. Methods that take only the number of a host or stand-in mean the first data centre.
pub struct TestCluster {
    runtime: Option<ClusterRuntime>,
    /// Time on the cluster's clock before any process was started.
    started_at: tokio::time::Instant,
    cluster: Option<LocalCluster>,
    standins: Vec<Option<RunningStandin>>,
    /// Proxies between the entry hosts and the stand-ins, one for each stand-in.
    pub standin_links: Vec<Link>,
    /// Proxies between the entry hosts of the first data centre and control, one for each host.
    pub control_links: Vec<Link>,
    _folder: TempDir,
}

impl TestCluster {
    /// Starts all hosts and waits until each serves requests.
    pub fn start(options: ClusterOptions) -> Self {
        let folder = TempDir::new().expect("a work folder");
        let runtime = ClusterRuntime::start(options.clock, folder.path());
        let started_at = now(runtime.handle());
        let data_centre = |name: &&str| LocalDataCentre {
            name: name.parse().expect("a name"),
            entry_hosts: options.entry_hosts,
            upstreams: 0,
        };
        let settings = LocalSettings {
            data_centres: DATA_CENTRES[..options.data_centres].iter().map(data_centre).collect(),
            folder: folder.path().to_owned(),
            timeouts: options.timeouts,
            limits: options.limits,
        };
        let mut control_links = Vec::new();
        let starting = LocalCluster::start_adjusted(settings, |entry| {
            entry.data_centres.extend(unreachable_data_centres());
            if entry.data_centre.as_str() == DATA_CENTRES[0] {
                let link = Link::start(entry.control_address);
                entry.control_address = link.address();
                control_links.push(link);
            }
        });
        let cluster = runtime.handle().block_on(starting).expect("free ports");
        let mut cluster = Self {
            runtime: Some(runtime),
            started_at,
            cluster: Some(cluster),
            standins: Vec::new(),
            standin_links: Vec::new(),
            control_links,
            _folder: folder,
        };
        (0..options.standins).for_each(|number| cluster.add_standin(number));
        cluster.put_document();
        for data_centre in 0..options.data_centres {
            (0..options.entry_hosts).for_each(|number| cluster.wait_for_host(data_centre, number));
        }
        cluster
    }

    fn cluster(&self) -> &LocalCluster {
        self.cluster.as_ref().expect("the cluster runs")
    }

    fn handle(&self) -> &Handle {
        self.runtime.as_ref().expect("the cluster runs").handle()
    }

    pub fn block_on<T>(&self, future: impl Future<Output = T>) -> T {
        self.handle().block_on(future)
    }

    /// Returns the time on the cluster's clock.
    pub fn now(&self) -> tokio::time::Instant {
        now(self.handle())
    }

    /// Returns the time on the cluster's clock before any process was started.
    pub fn started_at(&self) -> tokio::time::Instant {
        self.started_at
    }

    /// Sleeps for a time on the cluster's clock.
    pub fn sleep(&self, duration: Duration) {
        self.block_on(async { tokio::time::sleep(duration).await });
    }

    /// Polls until `check` returns true.
    ///
    /// # Panics
    /// Panics if `check` has not returned true within `limit` on the cluster's clock.
    pub fn eventually(&self, what: &str, limit: Duration, mut check: impl FnMut() -> bool) {
        let started = self.now();
        while !check() {
            let elapsed = self.now().duration_since(started);
            assert!(elapsed < limit, "not seen within {limit:?}: {what}");
            self.sleep(Duration::from_millis(50));
        }
    }

    /// Starts a stand-in, which announces itself to the hosts.
    pub fn add_standin(&mut self, number: u8) {
        let settings = self.cluster().standin_settings(0, number);
        let link = Link::start(settings.address);
        let settings = StandinSettings { advertised: Some(link.address()), ..settings };
        self.standin_links.push(link);
        self.standins.push(Some(self.block_on(standin::start(settings)).expect("a free port")));
    }

    /// Restarts a stand-in under its previous address.
    pub fn restart_standin(&mut self, number: u8, incarnation: u64) {
        let settings = self.cluster().standin_settings(0, number);
        let advertised = Some(self.standin_links[usize::from(number)].address());
        let settings = StandinSettings { advertised, incarnation, ..settings };
        let standin = self.block_on(standin::start(settings)).expect("a free port");
        self.standins[usize::from(number)] = Some(standin);
    }

    /// Restarts a stand-in under its previous address, while its announcements do not arrive.
    pub fn restart_standin_unannounced(&mut self, number: u8, incarnation: u64) {
        let settings = self.cluster().standin_settings(0, number);
        let settings = StandinSettings { entry_hosts: Vec::new(), incarnation, ..settings };
        let standin = self.block_on(standin::start(settings)).expect("a free port");
        self.standins[usize::from(number)] = Some(standin);
    }

    /// Removes a running stand-in from the cluster, so that the caller can stop or crash it.
    pub fn take_standin(&mut self, number: usize) -> RunningStandin {
        self.standins[number].take().expect("the stand-in runs")
    }

    pub fn standin(&self, number: usize) -> &RunningStandin {
        self.standins[number].as_ref().expect("the stand-in runs")
    }

    fn running_standins(&self) -> impl Iterator<Item = &RunningStandin> {
        self.standins.iter().flatten()
    }

    /// Returns the number of attempts of a key that started on the running stand-ins. Attempts on a
    /// stand-in before its restart are not counted.
    pub fn starts(&self, key: &str) -> u32 {
        let key: RequestKey = key.parse().expect("a key");
        self.running_standins().map(|standin| standin.starts(&key)).sum()
    }

    /// Returns the number of attempts that started on the running stand-ins.
    pub fn started(&self) -> u32 {
        self.running_standins().map(RunningStandin::started).sum()
    }

    /// Returns the number of attempts that the running stand-ins refused because all slots were taken.
    pub fn refused(&self) -> u32 {
        self.running_standins().map(RunningStandin::refused).sum()
    }

    fn put_document(&self) {
        self.eventually("the document is accepted", Duration::from_secs(10), || {
            self.send_document(0, DOCUMENT).is_ok_and(|reply| reply.status == 200)
        });
    }

    /// Replaces the first document of the service and waits until it is in force at the first host.
    pub fn replace_document(&self, document: &str) {
        let reply = self.send_document(1, document).expect("an answer");
        assert_eq!(reply.status, 200, "{reply:?}");
        self.eventually("the document is in force", Duration::from_secs(5), || {
            let reply = self.client(0).get("/v1/documents/plan");
            reply.is_ok_and(|reply| reply.body["in_force_version"] == 2)
        });
    }

    fn send_document(&self, base_version: u64, document: &str) -> Result<Reply, StepError> {
        let authorization = format!("Bearer {TEAM_SECRET}");
        let headers = [("Authorization", authorization.as_str())];
        let operation = format!("after-{base_version}");
        let body = serde_json::json!({
            "base_version": base_version, "operation": operation, "body_yaml": document,
        });
        self.client(0).send("PUT", "/v1/documents/plan", &headers, &body.to_string())
    }

    /// Waits until the document is in force at a host and the host knows every stand-in of its data
    /// centre.
    fn wait_for_host(&self, data_centre: usize, number: u8) {
        let client = self.cluster().client(data_centre, number);
        let expected = if data_centre == 0 { self.standins.len() } else { 0 };
        self.eventually("a host is ready", Duration::from_secs(10), || {
            let upstreams = client.get("/v1/upstreams").ok();
            let known = upstreams.and_then(|reply| reply.body.as_array().map(Vec::len));
            let document_in_force = client
                .get("/v1/documents/plan")
                .is_ok_and(|reply| reply.body["in_force_version"].is_u64());
            known == Some(expected) && document_in_force
        });
    }

    pub fn client(&self, number: u8) -> Client {
        self.cluster().client(0, number)
    }

    pub fn client_in(&self, data_centre: usize, number: u8) -> Client {
        self.cluster().client(data_centre, number)
    }

    pub fn caller_address(&self, number: u8) -> SocketAddr {
        self.cluster().caller_address(0, number)
    }

    pub fn admin_client(&self, number: u8) -> Client {
        Client::new(self.cluster().admin_address(0, number))
    }

    pub fn wait_for_lending(&self) {
        self.block_on(self.cluster().wait_for_lending());
    }

    pub fn stop_control(&mut self, data_centre: usize) {
        let mut cluster = self.cluster.take().expect("the cluster runs");
        self.block_on(cluster.stop_control(data_centre)).expect("control ends cleanly");
        self.cluster = Some(cluster);
    }

    pub fn restart_control(&mut self, data_centre: usize) {
        let handle = self.handle().clone();
        let _guard = handle.enter();
        self.cluster.as_mut().expect("the cluster runs").restart_control(data_centre);
    }

    /// Drains an entry host in the background; the returned task completes when the host has ended.
    pub fn drain(&mut self, number: u8) -> tokio::task::JoinHandle<()> {
        let cluster = self.cluster.as_mut().expect("the cluster runs");
        let running = cluster.take_entry(0, number).expect("the host runs");
        self.handle().spawn(async move {
            running.drain_handle().start();
            running.ended().await;
        })
    }

    /// Returns the metrics of a host as text.
    pub fn metrics(&self, number: u8) -> String {
        ureq::get(format!("http://{}/metrics", self.cluster().admin_address(0, number)))
            .call()
            .expect("metrics")
            .body_mut()
            .read_to_string()
            .expect("text")
    }

    /// Returns the sum of the counters or gauges whose lines start with `prefix`.
    pub fn sum_metrics(&self, number: u8, prefix: &str) -> f64 {
        let text = self.metrics(number);
        let lines = text.lines().filter(|line| line.starts_with(prefix));
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }
}

/// Returns the time on the clock of a runtime.
fn now(handle: &Handle) -> tokio::time::Instant {
    let _guard = handle.enter();
    tokio::time::Instant::now()
}

/// Returns a data centre that refuses connections, and one that accepts them but never answers.
fn unreachable_data_centres() -> [DataCentrePeers; 2] {
    // Nothing listens on port 1, so connections are refused.
    let refusing_address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let unanswered = Link::start(refusing_address);
    unanswered.fault_all(Fault::AcceptOnly);
    let data_centre = |name: &str, address: SocketAddr| DataCentrePeers {
        name: name.parse().expect("a name"),
        entry_addresses: [address].into_iter().collect(),
    };
    let unanswered_address = unanswered.address();
    // No test owns this proxy, so it runs until the process ends.
    std::mem::forget(unanswered);
    [data_centre("lost", refusing_address), data_centre("mute", unanswered_address)]
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shut_down();
        }
    }
}

/// A request to the test service: headers and body.
#[derive(Clone)]
pub struct Request {
    headers: Vec<(&'static str, String)>,
    body: String,
}

/// A reply, the time from sending the request to its receipt, and the time of receipt.
#[derive(Debug)]
pub struct Response {
    pub reply: Reply,
    pub elapsed: Duration,
    pub received_at: Instant,
}

impl Response {
    pub fn outcome(&self) -> &str {
        self.reply.outcome()
    }
}

impl Request {
    pub fn idempotent() -> Self {
        Self::from_organisation("plovdiv").header("Cactuslatch-Idempotent", "true")
    }

    /// Builds a request that is not idempotent; its key ensures that it runs at most once.
    pub fn at_most_once(key: &str) -> Self {
        Self::from_organisation("plovdiv").header("Idempotency-Key", key)
    }

    pub fn from_organisation(organisation: &str) -> Self {
        let headers = vec![("Cactuslatch-Organisation", organisation.to_owned())];
        Self { headers, body: "{}".into() }
    }

    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Declares that no submission with this key came before.
    pub fn first_submission(self) -> Self {
        self.header("Cactuslatch-First-Submission", "true")
    }

    pub fn batch(self) -> Self {
        self.header("Cactuslatch-Class", "batch")
    }

    pub fn timeout_ms(self, millis: u64) -> Self {
        self.header("Cactuslatch-Timeout-Ms", &millis.to_string())
    }

    pub fn work_ms(mut self, millis: u64) -> Self {
        self.body = format!("{{\"work_ms\":{millis}}}");
        self
    }

    pub fn body(mut self, body: String) -> Self {
        self.body = body;
        self
    }

    /// Sends the request; returns `None` if no answer arrives.
    pub fn try_send(&self, client: &Client) -> Option<Response> {
        let headers: Vec<_> = self.headers.iter().map(|(name, value)| (*name, &**value)).collect();
        let started = Instant::now();
        let reply = client.send("POST", "/v1/services/plan/requests", &headers, &self.body).ok()?;
        Some(Response { reply, elapsed: started.elapsed(), received_at: Instant::now() })
    }

    pub fn send(&self, client: &Client) -> Response {
        self.try_send(client).expect("an answer")
    }

    /// Sends the request from a new thread.
    pub fn spawn(&self, client: &Client) -> JoinHandle<Option<Response>> {
        let (request, client) = (self.clone(), client.clone());
        std::thread::spawn(move || request.try_send(&client))
    }
}
