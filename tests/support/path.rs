//! An installation within the test process whose upstreams are behind fault-injecting proxies.

use std::net::{Ipv4Addr, SocketAddr};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use cactuslatch::RequestKey;
use cactuslatch::config::{DataCentrePeers, Limits, Timeouts};
use cactuslatch::local::{
    Client, LocalCluster, LocalDataCentre, LocalSettings, Reply, TEAM_SECRET,
};
use cactuslatch::standin::{self, RunningStandin, StandinSettings};
use tempfile::TempDir;
use tokio::runtime::Runtime;

use super::eventually;
use super::link::{Fault, Link};

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
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            data_centres: 1,
            entry_hosts: 2,
            standins: 2,
            timeouts: Timeouts { balancer_notice_ms: 1_000, ..Timeouts::default() },
            limits: Limits::default(),
        }
    }
}

/// An installation within the test process; stand-ins belong to the first data centre.
pub struct TestCluster {
    runtime: Option<Runtime>,
    cluster: Option<LocalCluster>,
    standins: Vec<Option<RunningStandin>>,
    pub links: Vec<Link>,
    /// Proxies between the entry hosts of the first data centre and control.
    pub control_links: Vec<Link>,
    _folder: TempDir,
}

impl TestCluster {
    /// Starts all hosts and waits until each serves requests.
    pub fn start(options: ClusterOptions) -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let folder = TempDir::new().expect("a work folder");
        let centre = |name: &&str| LocalDataCentre {
            name: name.parse().expect("a name"),
            entry_hosts: options.entry_hosts,
            upstreams: 0,
        };
        let settings = LocalSettings {
            data_centres: DATA_CENTRES[..options.data_centres].iter().map(centre).collect(),
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
        let cluster = runtime.block_on(starting).expect("free ports");
        let mut cluster = Self {
            runtime: Some(runtime),
            cluster: Some(cluster),
            standins: Vec::new(),
            links: Vec::new(),
            control_links,
            _folder: folder,
        };
        (0..options.standins).for_each(|number| cluster.add_standin(number));
        cluster.put_document();
        for centre in 0..options.data_centres {
            (0..options.entry_hosts).for_each(|number| cluster.wait_for_host(centre, number));
        }
        cluster
    }

    fn cluster(&self) -> &LocalCluster {
        self.cluster.as_ref().expect("the cluster runs")
    }

    pub fn block_on<T>(&self, work: impl Future<Output = T>) -> T {
        self.runtime.as_ref().expect("the cluster runs").block_on(work)
    }

    fn add_standin(&mut self, number: u8) {
        let settings = self.cluster().standin_settings(0, number);
        let link = Link::start(settings.address);
        let settings = StandinSettings { advertised: Some(link.address()), ..settings };
        self.links.push(link);
        self.standins.push(Some(self.block_on(standin::start(settings)).expect("a free port")));
    }

    /// Restarts a stand-in under its previous address.
    pub fn restart_standin(&mut self, number: u8, incarnation: u64) {
        let settings = self.cluster().standin_settings(0, number);
        let advertised = Some(self.links[usize::from(number)].address());
        let settings = StandinSettings { advertised, incarnation, ..settings };
        let standin = self.block_on(standin::start(settings)).expect("a free port");
        self.standins[usize::from(number)] = Some(standin);
    }

    pub fn take_standin(&mut self, number: usize) -> RunningStandin {
        self.standins[number].take().expect("the stand-in runs")
    }

    pub fn standin(&self, number: usize) -> &RunningStandin {
        self.standins[number].as_ref().expect("the stand-in runs")
    }

    fn running_standins(&self) -> impl Iterator<Item = &RunningStandin> {
        self.standins.iter().flatten()
    }

    /// Returns the number of attempts of a key that started on the running stand-ins.
    pub fn starts(&self, key: &str) -> u32 {
        let key: RequestKey = key.parse().expect("a key");
        self.running_standins().map(|standin| standin.starts(&key)).sum()
    }

    pub fn started(&self) -> u32 {
        self.running_standins().map(RunningStandin::started).sum()
    }

    pub fn refused(&self) -> u32 {
        self.running_standins().map(RunningStandin::refused).sum()
    }

    fn put_document(&self) {
        let authorization = format!("Bearer {TEAM_SECRET}");
        let headers = [("Authorization", authorization.as_str())];
        let body = serde_json::json!({
            "base_version": 0, "operation": "first", "body_yaml": DOCUMENT,
        });
        eventually("the document is accepted", Duration::from_secs(10), || {
            let reply =
                self.client(0).send("PUT", "/v1/documents/plan", &headers, &body.to_string());
            reply.is_ok_and(|reply| reply.status == 200)
        });
    }

    /// Waits until a host has the document and hears every stand-in of its data centre.
    fn wait_for_host(&self, centre: usize, number: u8) {
        let client = self.cluster().client(centre, number);
        let expected = if centre == 0 { self.standins.len() } else { 0 };
        eventually("a host is ready", Duration::from_secs(10), || {
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

    pub fn stop_control(&mut self, centre: usize) {
        let mut cluster = self.cluster.take().expect("the cluster runs");
        self.block_on(cluster.stop_control(centre)).expect("control ends cleanly");
        self.cluster = Some(cluster);
    }

    pub fn restart_control(&mut self, centre: usize) {
        let _guard = self.runtime.as_ref().expect("the cluster runs").enter();
        self.cluster.as_mut().expect("the cluster runs").restart_control(centre);
    }

    /// Drains a host in the background; the returned task ends with the host.
    pub fn drain(&mut self, number: u8) -> tokio::task::JoinHandle<()> {
        let cluster = self.cluster.as_mut().expect("the cluster runs");
        let running = cluster.take_entry(0, number).expect("the host runs");
        let runtime = self.runtime.as_ref().expect("the cluster runs");
        runtime.spawn(async move {
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

    /// Returns the sum of the counters or gauges whose lines start with `name`.
    pub fn metric(&self, number: u8, name: &str) -> f64 {
        let text = self.metrics(number);
        let lines = text.lines().filter(|line| line.starts_with(name));
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }
}

/// Returns a data centre that refuses connections, and one that accepts but never answers.
fn unreachable_data_centres() -> [DataCentrePeers; 2] {
    let unanswered = Link::start((Ipv4Addr::LOCALHOST, 1).into());
    unanswered.fault_all(Fault::AcceptOnly);
    let centre = |name: &str, address: SocketAddr| DataCentrePeers {
        name: name.parse().expect("a name"),
        entry_addresses: [address].into_iter().collect(),
    };
    let unanswered_address = unanswered.address();
    // No test owns this proxy, so it runs until the process ends.
    std::mem::forget(unanswered);
    [centre("lost", (Ipv4Addr::LOCALHOST, 1).into()), centre("mute", unanswered_address)]
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A request to the test service: headers and body.
#[derive(Clone)]
pub struct Request {
    headers: Vec<(&'static str, String)>,
    body: String,
}

/// A reply and the time until it was received.
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

    /// Builds a request that may run at most once, which its key ensures.
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
