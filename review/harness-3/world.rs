//! The system's own processes, stand-in workers, and the operator's and callers' side.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::net::{Json, Message, call, quoted, read_message, write_response};

pub const CONTROL_HOSTS: usize = 3;
/// Keys of the two tenants.
pub const KEY: &str = "key-of-north-0001";
pub const KEY_OF_SOUTH: &str = "key-of-south-0001";
pub const HOST: &str = "jobs.example";
pub const STOP_MS: u64 = 300;
pub const HOLD_MAX_MS: u64 = 10_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// What was sent, answered and run, with the time since the start of the test.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { begun: Instant::now(), lines: Arc::default() }
    }

    pub fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:>9.3} s  {}", self.now_ms() as f64 / 1_000.0, text.as_ref());
        lock(&self.lines).push(line);
    }

    pub fn write(&self, path: &str) {
        let mut text = lock(&self.lines).join("\n");
        text.push('\n');
        _ = fs::write(path, text);
    }
}

/// Three control hosts and one entry host, as separate processes on loopback addresses.
pub struct System {
    folder: PathBuf,
    network: [u8; 2],
    ports: [u16; 5],
    machine_interface: Option<SocketAddr>,
    processes: Processes,
    record: Record,
}

/// The processes that the test has started, by host.
pub type Processes = Arc<Mutex<Vec<Option<Child>>>>;

/// Ends all processes.
pub fn end_all(processes: &Processes) {
    for child in lock(processes).iter_mut() {
        if let Some(mut child) = child.take() {
            _ = child.kill();
            _ = child.wait();
        }
    }
}

fn free_port(ip: IpAddr) -> u16 {
    TcpListener::bind((ip, 0)).and_then(|listener| listener.local_addr()).map_or(0, |a| a.port())
}

impl System {
    pub fn start(
        record: &Record,
        machine_interface: Option<SocketAddr>,
        processes: &Processes,
    ) -> Self {
        let id = std::process::id();
        let network = [(id / 250 % 200 + 20) as u8, (id % 250 + 1) as u8];
        let folder = std::env::temp_dir().join(format!("cactuslatch-review-{id}-{}", unix_ms()));
        _ = fs::create_dir_all(&folder);
        *lock(processes) = (0..=CONTROL_HOSTS).map(|_| None).collect();
        let mut system = Self {
            folder,
            network,
            ports: [0; 5],
            machine_interface,
            processes: Arc::clone(processes),
            record: record.clone(),
        };
        let ip = system.ip(0);
        system.ports = std::array::from_fn(|_| free_port(ip));
        for host in 0..=CONTROL_HOSTS {
            system.start_process(host, true);
        }
        system
    }

    pub fn ip(&self, host: usize) -> IpAddr {
        let [second, third] = self.network;
        IpAddr::V4(Ipv4Addr::new(127, second, third, host as u8 + 1))
    }

    /// Returns a loopback address of this test for a stand-in.
    pub fn standin_ip(&self, number: usize) -> IpAddr {
        self.ip(20 + number)
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        (0..CONTROL_HOSTS).map(|host| SocketAddr::new(self.ip(host), self.ports[1])).collect()
    }

    fn entry_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip(CONTROL_HOSTS), self.ports[2])
    }

    pub fn node_name(host: usize) -> String {
        if host < CONTROL_HOSTS { format!("core-{host}") } else { "frontend-0".to_owned() }
    }

    /// Starts the process of a host with settings like those of the site `bfs-latch`.
    pub fn start_process(&mut self, host: usize, bootstrap: bool) {
        let ip = self.ip(host);
        let [internal, control, frontend, readiness, _] = self.ports;
        let is_control = host < CONTROL_HOSTS;
        let seeds: Vec<_> =
            self.control_addresses().iter().map(|seed| format!("\"{seed}\"")).collect();
        let listen = if is_control {
            format!("control = \"{ip}:{control}\"")
        } else {
            format!("frontend = \"{ip}:{frontend}\"\nreadiness = \"{ip}:{readiness}\"")
        };
        let (class, serves) =
            if is_control { ("core", "control_plane") } else { ("frontend", "frontend") };
        let data = self.folder.join(format!("data-{host}"));
        let cloud = self.machine_interface.map_or(String::new(), |address| {
            format!("[cloud]\naddress = \"{address}\"\nrate-per-s = 60.0\nduties = []\nduty-per-s = 60.0\n")
        });
        let settings = format!(
            "node-name = \"{}\"\nrole = \"{class}\"\nmachine-class = \"{class}\"\nserves = [\"{serves}\"]\n\
             ip = \"{ip}\"\nzone = \"seq-bris\"\nregion = \"seq\"\ninternal-ports = [{internal}, {internal}]\n\
             seeds = [{}]\nbootstrap = {bootstrap}\nfault-counted = {is_control}\ndata-dir = \"{}\"\n\
             discovery = \"registration\"\nentry = \"vip\"\nheartbeat-ms = 1500\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"tenants\",\"advice\",\"upkeep\",\"sharing\"]\n\
             config_mode = \"highest\"\norders = \"push\"\n\
             [zones]\nseq-bris = \"seq\"\n[listen]\n{listen}\n\
             [limits]\ncpu-share = 0.5\ncores = 1\nmemory-mb = 256\nmax-fds = 4096\nlink-mbps = 1000.0\ndisk-mb = 128\n\
             [fault-tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\ncontact-ms = 4000\nack-timeout-ms = 5000\ncatch-up-s = 4\ndrain-ms = 2500\ngrace-s = 6\n\
             config-apply-ms = 2500\nrecover-s = 12\nhold-max-ms = {HOLD_MAX_MS}\nstop-timeout-ms = 900\n\
             gang-timeout-ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\n\
             status_s = 120\nremote-factor = 3\ncheckpoint-s = 2\nrestore-ms = 250\nnotice-ms = 5500\n\
             migrate-s = 1.5\nmaintenance-s = 2\nfencing-required = true\nlease-ms = 3000\nthaw-ms = 300\n\
             pace-ms = 100\nimpact-ms = 4000\nreclaim-ms = 3400\n{cloud}",
            Self::node_name(host),
            seeds.join(", "),
            data.display(),
        );
        let path = self.folder.join(format!("settings-{host}.toml"));
        _ = fs::write(&path, settings);
        let log = File::options().append(true).create(true).open(self.log_path(host));
        let child = Command::new("target/release/cactuslatch-platform")
            .arg(if is_control { "control" } else { "entry" })
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", std::env::var("HOME").unwrap_or_default())
            .env("CACTUSLATCH_BOOT", path)
            .stdin(Stdio::null())
            .stdout(log.map_or(Stdio::null(), Stdio::from))
            .stderr(Stdio::null())
            .spawn();
        match child {
            Ok(child) => lock(&self.processes)[host] = Some(child),
            Err(error) => self.record.note(format!("cannot start a process: {error}")),
        }
    }

    fn log_path(&self, host: usize) -> PathBuf {
        self.folder.join(format!("log-{host}"))
    }

    /// Kills the process of a host.
    pub fn kill(&mut self, host: usize) {
        let child = lock(&self.processes)[host].take();
        if let Some(mut child) = child {
            _ = child.kill();
            _ = child.wait();
        }
    }

    /// Returns the lines of the control hosts' logs that contain one of some words.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let mut lines = Vec::new();
        for host in 0..CONTROL_HOSTS {
            let text = fs::read_to_string(self.log_path(host)).unwrap_or_default();
            for line in text.lines().filter(|line| words.iter().any(|word| line.contains(word))) {
                lines.push(format!("{} {line}", Self::node_name(host)));
            }
        }
        lines
    }

    /// Sends an operator's call to the control hosts in turn until one answers with a 2xx.
    pub fn operate(&self, method: &str, path: &str, body: &str) -> Option<Message> {
        let limit = Duration::from_secs(1);
        for attempt in 0..60 {
            let address = self.control_addresses()[attempt % CONTROL_HOSTS];
            let reply = call(address, method, path, &[], body, limit);
            if let Some(reply) = reply.filter(|reply| reply.status / 100 == 2) {
                self.record
                    .note(format!("operator: {method} {path} -> {} {}", reply.status, reply.body));
                return Some(reply);
            }
            sleep_ms(150);
        }
        self.record.note(format!("operator: {method} {path} has no acknowledgement"));
        None
    }

    /// Sets the configuration. The tenant `north` has a guarantee, `south` has none.
    pub fn configure(&self, version: u64, queues: &[Queue], guaranteed_gpu: u32) -> bool {
        let routes: Vec<_> = queues.iter().map(Queue::json).collect();
        let body = format!(
            "{{\"version\":{version},\"routes\":[{}],\
             \"services\":[{{\"name\":\"pool\",\"health-path\":\"/healthz\",\"max-conns\":64,\"protocol\":\"h1\",\
             \"tls\":false,\"rejects-overload\":true,\"standby\":false}}],\
             \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\
             \"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"north\",\"api-keys\":[{}],\"priority\":1,\
             \"guaranteed\":{{\"gpu\":{guaranteed_gpu}}}}},{{\"name\":\"south\",\"api-keys\":[{}],\"priority\":1}}]}}",
            routes.join(","),
            quoted(KEY),
            quoted(KEY_OF_SOUTH)
        );
        self.operate("POST", "/cactuslatch/Config.Replace", &body).is_some()
    }

    fn caller_call(&self, key: &str, method: &str, path: &str, body: &str) -> Option<Message> {
        let headers = [("Host", HOST), ("Api-Key", key), ("Deadline-Ms", "3000")];
        call(self.entry_address(), method, path, &headers, body, Duration::from_secs(3))
    }

    /// Submits a job of the tenant `north`.
    pub fn submit(&self, prefix: &str, id: &str, spec: &str, steps: &str) -> bool {
        self.submit_as(KEY, prefix, id, spec, steps)
    }

    /// Submits a job as a client does, until it is accepted.
    pub fn submit_as(&self, key: &str, prefix: &str, id: &str, spec: &str, steps: &str) -> bool {
        let body = format!("{{\"spec\":{},\"steps\":[{steps}]}}", quoted(spec));
        for _ in 0..40 {
            let reply = self.caller_call(key, "POST", &format!("{prefix}{id}"), &body);
            let status = reply.as_ref().map_or(0, |reply| reply.status);
            self.record.note(format!("client: POST {prefix}{id} -> {status}"));
            if status / 100 == 2 {
                return true;
            }
            sleep_ms(250);
        }
        false
    }

    /// Submits a job of the tenant `north` once; returns whether it was accepted.
    pub fn submit_once(&self, prefix: &str, id: &str, spec: &str, steps: &str) -> bool {
        let body = format!("{{\"spec\":{},\"steps\":[{steps}]}}", quoted(spec));
        let reply = self.caller_call(KEY, "POST", &format!("{prefix}{id}"), &body);
        let status = reply.as_ref().map_or(0, |reply| reply.status);
        self.record.note(format!("client: POST {prefix}{id} -> {status}"));
        status / 100 == 2
    }

    pub fn state(&self, prefix: &str, id: &str) -> String {
        let reply = self.caller_call(KEY, "GET", &format!("{prefix}{id}"), "");
        let state = reply.map_or("no answer".to_owned(), |reply| {
            reply.json().get("state").text().map_or(reply.status.to_string(), str::to_owned)
        });
        self.record.note(format!("client: GET {prefix}{id} -> {state}"));
        state
    }

    /// Ends all processes and removes their folder.
    pub fn end(&mut self) {
        end_all(&self.processes);
        if std::env::var("KEEP_LOGS").is_err() {
            _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }
}

/// A queue of the configuration.
pub struct Queue {
    pub prefix: &'static str,
    pub priority: u32,
    pub attempts: u32,
}

impl Queue {
    fn json(&self) -> String {
        format!(
            "{{\"name\":{},\"host\":\"{HOST}\",\"path-prefix\":{},\"kind\":\"unsafe\",\"timeout-ms\":3000,\
             \"target-latency-ms\":3000,\"priority\":{},\"service\":\"pool\",\"max-attempts\":{},\
             \"slack-factor\":3.0,\"public\":false}}",
            quoted(&format!("r-{}", self.prefix.trim_matches('/'))),
            quoted(self.prefix),
            self.priority,
            self.attempts
        )
    }
}

/// One run on a worker, as the worker saw it; times are on the record's clock.
#[derive(Debug, Clone)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub worker: String,
    /// Labels of the worker.
    pub labels: Vec<String>,
    pub begun_ms: u64,
    /// When and how it ended.
    pub ended: Option<(u64, String)>,
}

/// All runs on all workers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

struct RunningTask {
    run: u64,
    begun: Instant,
    /// Time in which it stood still.
    idle: Duration,
    number: usize,
    /// Work in milliseconds, `None` for a task that lasts.
    work_ms: Option<u64>,
    /// How it ends.
    end: &'static str,
    /// Crashes the worker when its work is done.
    is_deadly: bool,
    stop_at: Option<Instant>,
}

impl RunningTask {
    fn worked(&self) -> Duration {
        self.begun.elapsed().saturating_sub(self.idle)
    }
}

#[derive(Default)]
struct Life {
    token: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, RunningTask>,
    closed: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, String)>,
    ends: u64,
}

/// What the link to a worker does to start orders.
#[derive(Default)]
pub struct Link {
    /// Start orders get no answer and arrive this much later, if greater than 0.
    pub starts_late_ms: AtomicU64,
}

/// A machine with at most one worker at a time.
pub struct Worker {
    pub machine: String,
    pub labels: Mutex<Vec<String>>,
    /// Time from the beginning of a life until its first heartbeat.
    pub first_beat_ms: AtomicU64,
    pub gpu: u32,
    pub link: Link,
    ip: IpAddr,
    control: Vec<SocketAddr>,
    record: Record,
    runs: Runs,
    identity: Mutex<Identity>,
    life: Mutex<Life>,
    /// Number of the current life; a thread of an earlier one does nothing more.
    lives: AtomicU64,
    is_up: AtomicBool,
    pub crashes: AtomicU64,
    pub holds: AtomicU64,
    /// Whether the tasks on it stand still.
    pub stands_still: AtomicBool,
    crash_wanted: AtomicBool,
}

struct Identity {
    id: String,
    address: Option<SocketAddr>,
    born_unix_ms: u64,
    started: Instant,
}

impl Worker {
    pub fn new(
        (machine, labels, gpu): (&str, &[&str], u32),
        ip: IpAddr,
        system: &System,
        record: &Record,
        runs: &Runs,
    ) -> Arc<Self> {
        Arc::new(Self {
            machine: machine.to_owned(),
            labels: Mutex::new(labels.iter().map(|label| (*label).to_owned()).collect()),
            first_beat_ms: AtomicU64::new(0),
            gpu,
            link: Link::default(),
            ip,
            control: system.control_addresses(),
            record: record.clone(),
            runs: Arc::clone(runs),
            identity: Mutex::new(Identity {
                id: String::new(),
                address: None,
                born_unix_ms: 0,
                started: Instant::now(),
            }),
            life: Mutex::default(),
            lives: AtomicU64::new(0),
            is_up: AtomicBool::new(false),
            crashes: AtomicU64::new(0),
            holds: AtomicU64::new(0),
            stands_still: AtomicBool::new(false),
            crash_wanted: AtomicBool::new(false),
        })
    }

    pub fn id(&self) -> String {
        lock(&self.identity).id.clone()
    }

    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }

    fn clock_ms(&self) -> u64 {
        lock(&self.identity).started.elapsed().as_millis() as u64
    }

    /// Begins a life under an identity, at the address of the former life if `same_address`.
    pub fn begin(self: &Arc<Self>, id: &str, same_address: bool) {
        let former = lock(&self.identity).address.filter(|_| same_address);
        let mut listener = None;
        for _ in 0..200 {
            let bound = match former {
                Some(address) => TcpListener::bind(address),
                None => TcpListener::bind((self.ip, 0)),
            };
            if let Ok(bound) = bound {
                listener = Some(bound);
                break;
            }
            sleep_ms(10);
        }
        let Some(listener) = listener else {
            self.record.note(format!("{}: cannot listen", self.machine));
            return;
        };
        let address = listener.local_addr().ok();
        *lock(&self.identity) = Identity {
            id: id.to_owned(),
            address,
            born_unix_ms: unix_ms(),
            started: Instant::now(),
        };
        *lock(&self.life) = Life::default();
        self.crash_wanted.store(false, Ordering::SeqCst);
        let life = self.lives.fetch_add(1, Ordering::SeqCst) + 1;
        self.is_up.store(true, Ordering::SeqCst);
        self.record.note(format!("{}: worker {id} begins", self.machine));
        _ = listener.set_nonblocking(true);
        let worker = Arc::clone(self);
        thread::spawn(move || {
            while worker.lives_on(life) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let worker = Arc::clone(&worker);
                        thread::spawn(move || worker.serve(stream, life));
                    }
                    Err(_) => sleep_ms(2),
                }
            }
        });
        let worker = Arc::clone(self);
        thread::spawn(move || worker.send_heartbeats(life));
        let worker = Arc::clone(self);
        thread::spawn(move || {
            let mut before = Instant::now();
            while worker.lives_on(life) {
                let passed = before.elapsed();
                before += passed;
                if worker.stands_still.load(Ordering::SeqCst) {
                    // Time that doesn't count as work.
                    for task in lock(&worker.life).running.values_mut() {
                        task.idle += passed;
                    }
                }
                worker.advance();
                if worker.crash_wanted.load(Ordering::SeqCst) {
                    worker.end_life("crashes");
                    worker.crashes.fetch_add(1, Ordering::SeqCst);
                }
                sleep_ms(5);
            }
        });
    }

    fn lives_on(&self, life: u64) -> bool {
        self.is_up() && self.lives.load(Ordering::SeqCst) == life
    }

    /// Ends the life at once: it says nothing, and all that runs there is gone.
    pub fn end_life(&self, cause: &str) {
        if !self.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        self.record.note(format!("{}: worker {} {cause}", self.machine, self.id()));
        let mut life = lock(&self.life);
        let now_ms = self.record.now_ms();
        for (_, task) in std::mem::take(&mut life.running) {
            lock(&self.runs)[task.number].ended = Some((now_ms, "gone".to_owned()));
        }
    }

    fn send_heartbeats(self: Arc<Self>, life: u64) {
        let mut sequence = 0;
        sleep_ms(self.first_beat_ms.load(Ordering::SeqCst));
        while self.lives_on(life) {
            sequence += 1;
            let (id, address, born) = {
                let identity = lock(&self.identity);
                (identity.id.clone(), identity.address, identity.born_unix_ms)
            };
            let Some(address) = address else { return };
            let labels: Vec<_> = lock(&self.labels).iter().map(|label| quoted(label)).collect();
            let body = format!(
                "{{\"service\":\"pool\",\"address\":\"{address}\",\"zone\":\"seq-bris\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"ready\",\"cold-remaining-ms\":0,\"capacity\":{{\"cpu\":128000,\
                 \"mem-mb\":524288,\"gpu\":{}}},\"labels\":[{}],\"machine\":{},\"clock-ms\":{},\
                 \"sequence\":{sequence},\"born\":{born}}}",
                self.gpu,
                labels.join(","),
                quoted(&self.machine),
                self.clock_ms()
            );
            let path = format!("/cactuslatch/Instances.Heartbeat/{id}");
            for control in &self.control {
                let reply = call(*control, "POST", &path, &[], &body, Duration::from_secs(1));
                if reply.is_some_and(|reply| reply.status / 100 == 2) {
                    break;
                }
            }
            let due = Instant::now() + HEARTBEAT;
            while self.lives_on(life) && Instant::now() < due {
                sleep_ms(20);
            }
        }
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream, life: u64) {
        _ = stream.set_nodelay(true);
        _ = stream.set_nonblocking(false);
        _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
        // A crash closes the connections.
        if let Ok(closing) = stream.try_clone() {
            let worker = Arc::clone(&self);
            thread::spawn(move || {
                while worker.lives_on(life) {
                    sleep_ms(10);
                }
                _ = closing.shutdown(std::net::Shutdown::Both);
            });
        }
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer) {
            if !self.lives_on(life) {
                return;
            }
            let late_ms = self.link.starts_late_ms.load(Ordering::SeqCst);
            if late_ms > 0 && request.path == "/cactuslatch/run-start" {
                self.record.note(format!(
                    "link to {}: order held up for {late_ms} ms, no answer: {}",
                    self.machine, request.body
                ));
                // The order arrives later, at whatever answers at the address then.
                let worker = Arc::clone(&self);
                thread::spawn(move || {
                    sleep_ms(late_ms);
                    if worker.is_up() {
                        let (status, body) = worker.handle(&request);
                        worker.record.note(format!(
                            "link to {}: late order arrives at {}: {status} {body}",
                            worker.machine,
                            worker.id()
                        ));
                    }
                });
                continue;
            }
            let (status, body) = self.handle(&request);
            if !self.lives_on(life) || !write_response(&mut stream, status, &body) {
                return;
            }
        }
    }

    fn refusal(&self, reason: &str) -> (u16, String) {
        (409, format!("{{\"clock-ms\":{},\"reason\":\"{reason}\"}}", self.clock_ms()))
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        if request.path == "/healthz" {
            return (200, "{}".to_owned());
        }
        if request.headers.get("expect-instance").is_some_and(|wanted| *wanted != self.id()) {
            return (421, "{}".to_owned());
        }
        let body = request.json();
        {
            let mut life = lock(&self.life);
            let token = body.get("fencing-token").u64().unwrap_or(0);
            if token < life.token {
                drop(life);
                return self.refusal("fence");
            }
            life.token = token;
        }
        self.advance();
        match request.path.as_str() {
            "/cactuslatch/run-start" => self.run_start(&body),
            "/cactuslatch/run-stop" => self.run_stop(&body),
            "/cactuslatch/hold" => self.hold(&body),
            "/cactuslatch/pace" => (200, format!("{{\"clock-ms\":{}}}", self.clock_ms())),
            _ => (404, "{}".to_owned()),
        }
    }

    fn extend(&self, life: &mut Life, body: &Json) {
        if let Some(until_ms) = body.get("until-ms").u64() {
            let until_ms = until_ms.min(self.clock_ms() + HOLD_MAX_MS);
            life.lease_until_ms = life.lease_until_ms.max(until_ms);
        }
    }

    fn run_start(&self, body: &Json) -> (u16, String) {
        let task = body.get("task").text().unwrap_or_default().to_owned();
        let run = body.get("run-id").u64().unwrap_or(0);
        let clock_ms = self.clock_ms();
        let done = (200, format!("{{\"clock-ms\":{clock_ms}}}"));
        let mut life = lock(&self.life);
        if body.get("until-ms").u64().unwrap_or(0) <= clock_ms {
            return self.refusal("late");
        }
        self.extend(&mut life, body);
        if life.running.get(&task).is_some_and(|known| known.run == run) {
            return done;
        }
        let is_old = life.closed.get(&task).is_some_and(|closed| run <= *closed);
        if is_old || life.running.contains_key(&task) {
            return self.refusal("old");
        }
        let spec = Json::parse(body.get("spec").text().unwrap_or("{}")).unwrap_or(Json::Null);
        let mut runs = lock(&self.runs);
        let number = runs.len();
        runs.push(Run {
            task: task.clone(),
            run,
            worker: self.id(),
            labels: lock(&self.labels).clone(),
            begun_ms: self.record.now_ms(),
            ended: None,
        });
        drop(runs);
        let is_deadly = spec.get("deadly") == &Json::Bool(true);
        let end = if spec.get("fails") == &Json::Bool(true) { "failed" } else { "done" };
        let work_ms = spec.get("work").u64();
        self.record.note(format!("{}: {} starts {task} run {run}", self.machine, self.id()));
        let running = RunningTask {
            run,
            begun: Instant::now(),
            idle: Duration::ZERO,
            number,
            work_ms,
            end,
            is_deadly,
            stop_at: None,
        };
        life.running.insert(task, running);
        done
    }

    fn run_stop(&self, body: &Json) -> (u16, String) {
        let task = body.get("task").text().unwrap_or_default().to_owned();
        let run = body.get("run-id").u64().unwrap_or(0);
        let mut life = lock(&self.life);
        self.record.note(format!(
            "{}: {} is told to stop {task} run {run}",
            self.machine,
            self.id()
        ));
        if let Some(known) = life.running.get_mut(&task).filter(|known| known.run <= run) {
            known.stop_at.get_or_insert(Instant::now() + Duration::from_millis(STOP_MS));
        }
        let closed = life.closed.entry(task).or_default();
        *closed = (*closed).max(run);
        (200, format!("{{\"clock-ms\":{}}}", self.clock_ms()))
    }

    fn hold(&self, body: &Json) -> (u16, String) {
        self.holds.fetch_add(1, Ordering::SeqCst);
        let seen = body.get("last-seen").u64().unwrap_or(0);
        let wait_ms = body.get("wait-ms").u64().unwrap_or(0).min(2_000);
        let due = Instant::now() + Duration::from_millis(wait_ms);
        let lives = self.lives.load(Ordering::SeqCst);
        self.extend(&mut lock(&self.life), body);
        loop {
            if !self.lives_on(lives) {
                return (503, "{}".to_owned());
            }
            self.advance();
            let mut life = lock(&self.life);
            life.ended.retain(|(number, ..)| *number > seen);
            if !life.ended.is_empty() || Instant::now() >= due {
                let running: Vec<_> = life
                    .running
                    .iter()
                    .map(|(task, known)| {
                        let worked_ms = known.worked().as_millis() as u64;
                        let whole_ms = known.work_ms.unwrap_or(500).max(1);
                        let cap = if known.work_ms.is_some() { 99 } else { 100 };
                        let percent = (worked_ms * 100 / whole_ms).min(cap);
                        format!("[{},{},\"\",{percent},1000]", quoted(task), known.run)
                    })
                    .collect();
                let ended: Vec<_> = life
                    .ended
                    .iter()
                    .take(500)
                    .map(|(number, task, run, how)| {
                        format!("[{number},{},{run},\"{how}\",\"\"]", quoted(task))
                    })
                    .collect();
                let identity = lock(&self.identity);
                return (
                    200,
                    format!(
                        "{{\"clock-ms\":{},\"born\":{},\"running\":[{}],\"ended-runs\":[{}]}}",
                        identity.started.elapsed().as_millis(),
                        identity.born_unix_ms,
                        running.join(","),
                        ended.join(",")
                    ),
                );
            }
            drop(life);
            sleep_ms(10);
        }
    }

    /// Ends a running task at once, as by its own fault.
    pub fn fail(&self, task: &str) {
        let mut life = lock(&self.life);
        self.end_run(&mut life, task, "failed");
    }

    fn end_run(&self, life: &mut Life, task: &str, how: &str) {
        let Some(known) = life.running.remove(task) else {
            return;
        };
        life.ends += 1;
        let number = life.ends;
        life.ended.push((number, task.to_owned(), known.run, how.to_owned()));
        let closed = life.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(known.run);
        lock(&self.runs)[known.number].ended = Some((self.record.now_ms(), how.to_owned()));
        self.record.note(format!("{}: {task} run {} ends: {how}", self.machine, known.run));
    }

    fn advance(&self) {
        let clock_ms = self.clock_ms();
        let mut life = lock(&self.life);
        let lapsed = clock_ms >= life.lease_until_ms;
        let now = Instant::now();
        let due: Vec<(String, &'static str, bool)> = life
            .running
            .iter()
            .filter_map(|(task, known)| {
                let is_done = known
                    .work_ms
                    .is_some_and(|work_ms| known.worked() >= Duration::from_millis(work_ms));
                let how = if known.stop_at.is_some_and(|at| now >= at) {
                    "stopped"
                } else if is_done {
                    known.end
                } else if lapsed {
                    "lapsed"
                } else {
                    return None;
                };
                Some((task.clone(), how, known.is_deadly && is_done))
            })
            .collect();
        for (task, how, crashes) in due {
            if crashes {
                self.crash_wanted.store(true, Ordering::SeqCst);
            } else {
                self.end_run(&mut life, &task, how);
            }
        }
    }
}

/// Waits until a condition holds; false after the time limit.
pub fn wait_until(limit_ms: u64, mut holds: impl FnMut() -> bool) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(limit_ms) {
        if holds() {
            return true;
        }
        sleep_ms(20);
    }
    holds()
}
