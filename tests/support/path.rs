//! An installation in this process whose upstreams stand behind faulty links.

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

/// Names of the data centres.
pub const CENTRES: [&str; 2] = ["north", "south"];

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

/// Size and settings of an installation.
pub struct Shape {
    pub centres: usize,
    pub entry_hosts: u8,
    pub standins: u8,
    pub timeouts: Timeouts,
    pub limits: Limits,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            centres: 1,
            entry_hosts: 2,
            standins: 2,
            timeouts: Timeouts { balancer_notice_ms: 1_000, ..Timeouts::default() },
            limits: Limits::default(),
        }
    }
}

/// The installation; stand-ins belong to the first data centre.
pub struct Path {
    runtime: Option<Runtime>,
    cluster: Option<LocalCluster>,
    standins: Vec<Option<RunningStandin>>,
    pub links: Vec<Link>,
    /// The link between each entry host of the first data centre and control.
    pub control_links: Vec<Link>,
    _folder: TempDir,
}

impl Path {
    /// Starts everything and waits until every host serves requests.
    pub fn start(shape: Shape) -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let folder = TempDir::new().expect("a work folder");
        let centre = |name: &&str| LocalDataCentre {
            name: name.parse().expect("a name"),
            entry_hosts: shape.entry_hosts,
            upstreams: 0,
        };
        let settings = LocalSettings {
            data_centres: CENTRES[..shape.centres].iter().map(centre).collect(),
            folder: folder.path().to_owned(),
            timeouts: shape.timeouts,
            limits: shape.limits,
        };
        let mut control_links = Vec::new();
        let starting = LocalCluster::start_adjusted(settings, |entry| {
            entry.data_centres.extend(unreachable_centres());
            if entry.data_centre.as_str() == CENTRES[0] {
                let link = Link::start(entry.control_address);
                entry.control_address = link.address();
                control_links.push(link);
            }
        });
        let cluster = runtime.block_on(starting).expect("free ports");
        let mut path = Self {
            runtime: Some(runtime),
            cluster: Some(cluster),
            standins: Vec::new(),
            links: Vec::new(),
            control_links,
            _folder: folder,
        };
        (0..shape.standins).for_each(|number| path.add_standin(number));
        path.put_document();
        for centre in 0..shape.centres {
            (0..shape.entry_hosts).for_each(|number| path.wait_for_host(centre, number));
        }
        path
    }

    fn cluster(&self) -> &LocalCluster {
        self.cluster.as_ref().expect("the installation runs")
    }

    pub fn block<T>(&self, work: impl Future<Output = T>) -> T {
        self.runtime.as_ref().expect("the installation runs").block_on(work)
    }

    fn add_standin(&mut self, number: u8) {
        let settings = self.cluster().standin_settings(0, number);
        let link = Link::start(settings.address);
        let settings = StandinSettings { advertised: Some(link.address()), ..settings };
        self.links.push(link);
        self.standins.push(Some(self.block(standin::start(settings)).expect("a free port")));
    }

    /// Starts a stand-in again under its address.
    pub fn restart_standin(&mut self, number: u8, incarnation: u64) {
        let settings = self.cluster().standin_settings(0, number);
        let advertised = Some(self.links[usize::from(number)].address());
        let settings = StandinSettings { advertised, incarnation, ..settings };
        let standin = self.block(standin::start(settings)).expect("a free port");
        self.standins[usize::from(number)] = Some(standin);
    }

    pub fn take_standin(&mut self, number: usize) -> RunningStandin {
        self.standins[number].take().expect("the stand-in runs")
    }

    pub fn standin(&self, number: usize) -> &RunningStandin {
        self.standins[number].as_ref().expect("the stand-in runs")
    }

    fn running(&self) -> impl Iterator<Item = &RunningStandin> {
        self.standins.iter().flatten()
    }

    /// Returns how often a key has started on the stand-ins that run.
    pub fn starts(&self, key: &str) -> u32 {
        let key: RequestKey = key.parse().expect("a key");
        self.running().map(|standin| standin.starts(&key)).sum()
    }

    pub fn started(&self) -> u32 {
        self.running().map(RunningStandin::started).sum()
    }

    pub fn refused(&self) -> u32 {
        self.running().map(RunningStandin::refused).sum()
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
        let wanted = if centre == 0 { self.standins.len() } else { 0 };
        eventually("a host is ready", Duration::from_secs(10), || {
            let upstreams = client.get("/v1/upstreams").ok();
            let heard = upstreams.and_then(|reply| reply.body.as_array().map(Vec::len));
            let document = client
                .get("/v1/documents/plan")
                .is_ok_and(|reply| reply.body["in_force_version"].is_u64());
            heard == Some(wanted) && document
        });
    }

    pub fn client(&self, number: u8) -> Client {
        self.cluster().client(0, number)
    }

    pub fn client_of(&self, centre: usize, number: u8) -> Client {
        self.cluster().client(centre, number)
    }

    pub fn caller_address(&self, number: u8) -> SocketAddr {
        self.cluster().caller_address(0, number)
    }

    pub fn admin(&self, number: u8) -> Client {
        Client::new(self.cluster().admin_address(0, number))
    }

    pub fn wait_for_lending(&self) {
        self.block(self.cluster().wait_for_lending());
    }

    pub fn stop_control(&mut self, centre: usize) {
        let mut cluster = self.cluster.take().expect("the installation runs");
        self.block(cluster.stop_control(centre)).expect("control ends cleanly");
        self.cluster = Some(cluster);
    }

    pub fn restart_control(&mut self, centre: usize) {
        let _guard = self.runtime.as_ref().expect("the installation runs").enter();
        self.cluster.as_mut().expect("the installation runs").restart_control(centre);
    }

    /// Drains a host in the background; the handle is joined once it has ended.
    pub fn drain(&mut self, number: u8) -> tokio::task::JoinHandle<()> {
        let cluster = self.cluster.as_mut().expect("the installation runs");
        let running = cluster.take_entry(0, number).expect("the host runs");
        let runtime = self.runtime.as_ref().expect("the installation runs");
        runtime.spawn(async move {
            running.drain_handle().start();
            running.ended().await;
        })
    }

    /// Reads the metrics of a host as text.
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

/// Returns a data centre at which nobody listens, and one whose hosts say nothing.
fn unreachable_centres() -> [DataCentrePeers; 2] {
    let mute = Link::start((Ipv4Addr::LOCALHOST, 1).into());
    mute.fault_all(Fault::Mute);
    let centre = |name: &str, address: SocketAddr| DataCentrePeers {
        name: name.parse().expect("a name"),
        entry_addresses: [address].into_iter().collect(),
    };
    let mute_address = mute.address();
    // It has to stay until the process ends, since nobody holds it.
    std::mem::forget(mute);
    [centre("lost", (Ipv4Addr::LOCALHOST, 1).into()), centre("mute", mute_address)]
}

impl Drop for Path {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A request with its headers.
#[derive(Clone)]
pub struct Ask {
    headers: Vec<(&'static str, String)>,
    body: String,
}

/// An answer and the time it took.
#[derive(Debug)]
pub struct Told {
    pub reply: Reply,
    pub took: Duration,
    pub at: Instant,
}

impl Told {
    pub fn outcome(&self) -> &str {
        self.reply.outcome()
    }
}

impl Ask {
    pub fn idempotent() -> Self {
        Self::of("plovdiv").with("Cactuslatch-Idempotent", "true")
    }

    pub fn once(key: &str) -> Self {
        Self::of("plovdiv").with("Idempotency-Key", key)
    }

    pub fn of(organisation: &str) -> Self {
        let headers = vec![("Cactuslatch-Organisation", organisation.to_owned())];
        Self { headers, body: "{}".into() }
    }

    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    pub fn first(self) -> Self {
        self.with("Cactuslatch-First-Submission", "true")
    }

    pub fn batch(self) -> Self {
        self.with("Cactuslatch-Class", "batch")
    }

    pub fn timeout_ms(self, millis: u64) -> Self {
        self.with("Cactuslatch-Timeout-Ms", &millis.to_string())
    }

    pub fn work_ms(mut self, millis: u64) -> Self {
        self.body = format!("{{\"work_ms\":{millis}}}");
        self
    }

    pub fn body(mut self, body: String) -> Self {
        self.body = body;
        self
    }

    /// Sends the request; `None` if no answer arrives.
    pub fn try_send(&self, client: &Client) -> Option<Told> {
        let headers: Vec<_> = self.headers.iter().map(|(name, value)| (*name, &**value)).collect();
        let started = Instant::now();
        let reply = client.send("POST", "/v1/services/plan/requests", &headers, &self.body).ok()?;
        Some(Told { reply, took: started.elapsed(), at: Instant::now() })
    }

    pub fn send(&self, client: &Client) -> Told {
        self.try_send(client).expect("an answer")
    }

    /// Sends the request from a thread of its own.
    pub fn spawn(&self, client: &Client) -> JoinHandle<Option<Told>> {
        let (ask, client) = (self.clone(), client.clone());
        std::thread::spawn(move || ask.try_send(&client))
    }
}
