//! Stand-ins and helpers for the scripts of the second review; uses only the standard library.
//!
//! `Site` starts the project's programs with the commands of the deploy file on loopback addresses.
//! `Worker` is a stand-in for a worker of the platform, `call` a client or an operator, and `Link` a
//! proxy in front of an address.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
pub enum J {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<J>),
    Obj(Vec<(String, J)>),
}

impl J {
    pub fn parse(text: &str) -> Option<J> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }
    pub fn get(&self, name: &str) -> &J {
        match self {
            J::Obj(fields) => fields.iter().find(|f| f.0 == name).map_or(&J::Null, |f| &f.1),
            _ => &J::Null,
        }
    }
    pub fn u64(&self) -> Option<u64> {
        match self {
            J::Num(n) if *n >= 0.0 => Some(*n as u64),
            _ => None,
        }
    }
    pub fn str(&self) -> &str {
        match self {
            J::Str(s) => s,
            _ => "",
        }
    }
    pub fn arr(&self) -> &[J] {
        match self {
            J::Arr(a) => a,
            _ => &[],
        }
    }
}

fn skip(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(b: &[u8], at: &mut usize) -> Option<J> {
    skip(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(J::Obj(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let J::Str(name) = parse_value(b, at)? else { return None };
                        skip(b, at);
                        if *b.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, parse_value(b, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(J::Arr(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(b, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                let byte = *b.get(*at)?;
                *at += 1;
                match byte {
                    b'"' => return Some(J::Str(String::from_utf8(text).ok()?)),
                    b'\\' => {
                        let escaped = *b.get(*at)?;
                        *at += 1;
                        text.push(match escaped {
                            b'n' => b'\n',
                            b't' => b'\t',
                            b'r' => b'\r',
                            b'u' => {
                                *at += 4;
                                b'?'
                            }
                            other => other,
                        });
                    }
                    other => text.push(other),
                }
            }
        }
        b't' => word(b, at, "true", J::Bool(true)),
        b'f' => word(b, at, "false", J::Bool(false)),
        b'n' => word(b, at, "null", J::Null),
        _ => {
            let from = *at;
            while *at < b.len() && (b[*at].is_ascii_digit() || b"+-.eE".contains(&b[*at])) {
                *at += 1;
            }
            std::str::from_utf8(&b[from..*at]).ok()?.parse().ok().map(J::Num)
        }
    }
}

fn word(b: &[u8], at: &mut usize, text: &str, value: J) -> Option<J> {
    b[*at..].starts_with(text.as_bytes()).then(|| {
        *at += text.len();
        value
    })
}

// ---------------------------------------------------------------- record

/// The record of a run: what was sent, answered and run, with the time since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    pub fn new(path: &str) -> Self {
        // Nothing may be left behind, whatever goes wrong.
        std::panic::set_hook(Box::new(|fault| cannot(&fault.to_string())));
        let file = File::create(path).unwrap_or_else(|e| cannot(&format!("create {path}: {e}")));
        Self { file: Arc::new(Mutex::new(file)), begun: Instant::now() }
    }
    pub fn ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }
    pub fn say(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.ms());
        _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
    pub fn tell(&self, text: &str) {
        self.say(text);
        println!("{text}");
    }
}

/// Ends the case as one that couldn't run.
pub fn cannot(why: &str) -> ! {
    println!("cannot run: {why}");
    stop_all();
    std::process::exit(2)
}

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn stop_all() {
    if let Ok(mut children) = CHILDREN.lock() {
        for child in children.iter_mut() {
            _ = child.kill();
            _ = child.wait();
        }
        children.clear();
    }
    if std::env::var("KEEP").is_err() {
        _ = fs::remove_dir_all(folder());
    }
}

/// The temporary folder of this run; `KEEP=1` keeps it with the logs.
fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-2-{}", std::process::id()))
}

/// Reports the verdict and ends the process.
pub fn finish(record: &Record, broken: Option<String>) -> ! {
    let code = match broken {
        Some(what) => {
            record.tell(&format!("BROKEN: {what}"));
            1
        }
        None => {
            record.tell("the rule held");
            0
        }
    };
    stop_all();
    std::process::exit(code)
}

/// Returns whether the disruption is to happen.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---------------------------------------------------------------- HTTP client

/// Sends one request on a connection of its own. `None` means that no complete answer came.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit_ms: u64,
) -> Option<(u16, String)> {
    let limit = Duration::from_millis(limit_ms);
    let begun = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    _ = stream.set_nodelay(true);
    let has_host = headers.iter().any(|(name, _)| *name == "Host");
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !has_host {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    let mut part = [0; 16384];
    loop {
        let left = limit.checked_sub(begun.elapsed()).filter(|l| !l.is_zero())?;
        stream.set_read_timeout(Some(left)).ok()?;
        let read = stream.read(&mut part).ok()?;
        bytes.extend_from_slice(&part[..read]);
        if let Some((status, from, length)) = head_of(&bytes) {
            if bytes.len() >= from + length {
                let text = String::from_utf8_lossy(&bytes[from..from + length]).into_owned();
                return Some((status, text));
            }
        }
        if read == 0 {
            return None;
        }
    }
}

fn head_of(bytes: &[u8]) -> Option<(u16, usize, usize)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, end + 4, content_length(&head)))
}

fn content_length(head: &str) -> usize {
    head.lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.trim().parse().ok())
        .unwrap_or(0)
}

// ---------------------------------------------------------------- HTTP server

pub struct Received {
    pub method: String,
    pub path: String,
    pub head: String,
    pub body: String,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        lines.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }
}

/// Serves requests until `stop`; an answer of `None` closes the connection without one.
pub fn serve(
    listener: TcpListener,
    stop: Arc<AtomicBool>,
    handler: impl Fn(Received) -> Option<(u16, String)> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let Ok(stream) = stream else { continue };
            let (handler, stop) = (Arc::clone(&handler), Arc::clone(&stop));
            thread::spawn(move || serve_one(stream, &stop, &*handler));
        }
    });
}

fn serve_one(
    mut stream: TcpStream,
    stop: &AtomicBool,
    handler: &(dyn Fn(Received) -> Option<(u16, String)> + Send + Sync),
) {
    _ = stream.set_nodelay(true);
    let mut bytes: Vec<u8> = Vec::new();
    let mut part = [0; 16384];
    loop {
        while let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let size = end + 4 + content_length(&head);
            if bytes.len() < size {
                break;
            }
            let body = String::from_utf8_lossy(&bytes[end + 4..size]).into_owned();
            bytes.drain(..size);
            let mut words = head.split(' ');
            let method = words.next().unwrap_or_default().to_owned();
            let path = words.next().unwrap_or_default().to_owned();
            let received = Received { method, path, head, body };
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let Some((status, text)) = handler(received) else { return };
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return,
            Ok(read) => bytes.extend_from_slice(&part[..read]),
        }
    }
}

// ---------------------------------------------------------------- installation

pub const KEY: &str = "key-of-north";
pub const HOST: &str = "jobs.example";

/// Three control hosts (0 to 2) and some entry hosts (from 3 on), each a process of its own.
pub struct Site {
    folder: PathBuf,
    network: [u8; 2],
    /// For other hosts, operators and workers, callers, readiness checks.
    ports: [u16; 4],
    pids: Mutex<HashMap<usize, u32>>,
    /// Seeds of entry hosts if they differ from those of the control hosts.
    pub entry_seeds: Option<Vec<SocketAddr>>,
    /// The platform's interface for orders about machines, if there is one.
    pub cloud: Option<SocketAddr>,
    pub record: Record,
}

pub const CONTROL: usize = 3;

impl Site {
    pub fn new(record: &Record) -> Self {
        let pid = std::process::id();
        let folder = folder();
        fs::create_dir_all(&folder).unwrap_or_else(|e| cannot(&format!("create a folder: {e}")));
        let network = [(pid % 200 + 20) as u8, (pid / 200 % 250 + 1) as u8];
        let ports = std::array::from_fn(|_| free_port());
        Self {
            folder,
            network,
            ports,
            pids: Mutex::default(),
            entry_seeds: None,
            cloud: None,
            record: record.clone(),
        }
    }

    pub fn ip(&self, host: usize) -> IpAddr {
        let [a, b] = self.network;
        IpAddr::V4(Ipv4Addr::new(127, a, b, host as u8 + 1))
    }
    pub fn internal(&self, host: usize) -> SocketAddr {
        SocketAddr::new(self.ip(host), self.ports[0])
    }
    pub fn control(&self, host: usize) -> SocketAddr {
        SocketAddr::new(self.ip(host), self.ports[1])
    }
    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..CONTROL).map(|host| self.control(host)).collect()
    }
    pub fn entry(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.ip(CONTROL + number), self.ports[2])
    }

    /// Starts the process of a host, with the settings of a small deployment.
    pub fn start(&self, host: usize, bootstrap: bool) {
        let ip = self.ip(host);
        let [internal, control, frontend, readiness] = self.ports;
        let is_control = host < CONTROL;
        let seeds = match &self.entry_seeds {
            Some(seeds) if !is_control => seeds.clone(),
            _ => self.controls(),
        };
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let (role, class, listen) = if is_control {
            ("control", "core", format!("control = \"{ip}:{control}\""))
        } else {
            let listen =
                format!("frontend = \"{ip}:{frontend}\"\nreadiness = \"{ip}:{readiness}\"");
            ("entry", "frontend", listen)
        };
        let data = self.folder.join(format!("data-{host}"));
        let data = if is_control { format!("data-dir = \"{}\"\n", data.display()) } else { String::new() };
        let cloud = self.cloud.map_or_else(String::new, |address| {
            format!("[cloud]\naddress = \"{address}\"\nrate-per-s = 60.0\nduties = []\nduty-per-s = 60.0\n")
        });
        let settings = format!(
            "node-name = \"{class}-{host}\"\nrole = \"{role}\"\nmachine-class = \"{class}\"\n\
             serves = [\"{}\"]\nip = \"{ip}\"\nzone = \"z\"\nregion = \"r\"\n\
             internal-ports = [{internal}, {}]\nseeds = [{}]\nbootstrap = {bootstrap}\n\
             fault-counted = {is_control}\ndiscovery = \"registration\"\nentry = \"vip\"\n\
             heartbeat-ms = 1500\nconfig_mode = \"highest\"\norders = \"push\"\n{data}\
             [listen]\n{listen}\n[limits]\ncpu-share = 0.5\ncores = 1\nmemory-mb = 256\n\
             max-fds = 4096\nlink-mbps = 1000.0\ndisk-mb = 128\n\
             [fault-tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 4000\n\
             ack-timeout-ms = 5000\ncatch-up-s = 4\ndrain-ms = 2500\ngrace-s = 6\n\
             config-apply-ms = 2500\nrecover-s = 12\nhold-max-ms = 10000\nstop-timeout-ms = 900\n\
             gang-timeout-ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n\
             finish_s = 14\nstatus_s = 120\nremote-factor = 3\ncheckpoint-s = 2\n\
             notice-ms = 5500\nmaintenance-s = 2\nfencing-required = true\nlease-ms = 3000\n{cloud}",
            if is_control { "control_plane" } else { "frontend" },
            internal + 15,
            seeds.join(","),
        );
        let path = self.folder.join(format!("settings-{host}.toml"));
        fs::write(&path, settings).unwrap_or_else(|e| cannot(&format!("write settings: {e}")));
        let log = File::options()
            .append(true)
            .create(true)
            .open(self.folder.join(format!("log-{host}")))
            .unwrap_or_else(|e| cannot(&format!("open a log: {e}")));
        let errors = log.try_clone().unwrap_or_else(|e| cannot(&format!("open a log: {e}")));
        let child = Command::new("target/release/cactuslatch-platform")
            .arg(role)
            .env_clear()
            .env("CACTUSLATCH_BOOT", path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|e| cannot(&format!("start target/release/cactuslatch-platform: {e}")));
        self.pids.lock().unwrap().insert(host, child.id());
        CHILDREN.lock().unwrap().push(child);
    }

    /// Starts all control hosts and some entry hosts for the first time.
    pub fn start_all(&self, entries: usize) {
        for host in 0..CONTROL + entries {
            self.start(host, true);
        }
    }

    /// Sends a signal (STOP, CONT, KILL) to the process of a host.
    pub fn signal(&self, host: usize, signal: &str) {
        let pid = self.pids.lock().unwrap()[&host];
        self.record.say(&format!("SIG{signal} to the process of host {host}"));
        let sent = Command::new("kill").arg(format!("-{signal}")).arg(pid.to_string()).status();
        if !sent.is_ok_and(|status| status.success()) {
            cannot("send a signal");
        }
    }

    /// Returns the process of a host.
    pub fn pid(&self, host: usize) -> u32 {
        self.pids.lock().unwrap()[&host]
    }

    /// Deletes the data of a control host that does not run.
    pub fn wipe(&self, host: usize) {
        self.record.say(&format!("host {host} loses its disk"));
        sleep_ms(50);
        _ = fs::remove_dir_all(self.folder.join(format!("data-{host}")));
    }

    pub fn log(&self, host: usize) -> String {
        fs::read_to_string(self.folder.join(format!("log-{host}"))).unwrap_or_default()
    }

    /// Returns the control host that says last that it leads, once there is one.
    pub fn leader(&self) -> usize {
        for _ in 0..200 {
            let mut newest = None;
            for host in 0..CONTROL {
                let log = self.log(host);
                let leads: Vec<u64> = log
                    .lines()
                    .filter(|line| line.contains("this host leads"))
                    .filter_map(|line| J::parse(line)?.get("term").u64())
                    .collect();
                let lost = log.lines().filter(|line| line.contains("no longer leads")).count();
                if leads.len() > lost {
                    newest = newest.max(leads.last().map(|term| (*term, host)));
                }
            }
            if let Some((_, host)) = newest {
                return host;
            }
            sleep_ms(50);
        }
        cannot("no control host leads")
    }

    /// Sends a configuration to the control hosts in turn until one acknowledges it.
    pub fn configure(&self, body: &str) {
        for turn in 0..60 {
            let address = self.control(turn % CONTROL);
            let answer = call(address, "POST", "/cactuslatch/Config.Replace", &[], body, 1000);
            self.record.say(&format!("operator: configuration -> {:?}", answer.as_ref().map(|a| a.0)));
            if answer.is_some_and(|a| a.0 == 200) {
                return;
            }
            sleep_ms(200);
        }
        cannot("no configuration was acknowledged")
    }

    /// Sends a client's call to an entry host.
    pub fn client(&self, entry: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let headers = [("Host", HOST), ("Api-Key", KEY), ("Deadline-Ms", "3000")];
        call(self.entry(entry), method, path, &headers, body, 3000)
    }

    /// Submits a job until it is accepted.
    pub fn submit(&self, path: &str, body: &str) {
        for turn in 0..40 {
            let answer = self.client(0, "POST", path, body);
            self.record.say(&format!("client: POST {path} -> {:?}", answer.as_ref().map(|a| a.0)));
            match answer {
                Some((200, _)) => return,
                _ => sleep_ms(250 + turn),
            }
        }
        cannot("the first job was not accepted")
    }

    /// Returns the state of a job, or the status of the answer.
    pub fn state(&self, path: &str) -> String {
        match self.client(0, "GET", path, "") {
            Some((200, body)) => J::parse(&body).map_or_else(String::new, |b| b.get("state").str().to_owned()),
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        }
    }
}

/// Returns a configuration; each route is a name, a path prefix and a priority.
pub fn configuration(version: u64, routes: &[(String, String, u32)]) -> String {
    let route = |(name, prefix, priority): &(String, String, u32)| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path-prefix\":\"{prefix}\",\"kind\":\"unsafe\",\
             \"timeout-ms\":3000,\"target-latency-ms\":3000,\"priority\":{priority},\"service\":\"pool\",\
             \"max-attempts\":4,\"slack-factor\":3.0,\"public\":false}}"
        )
    };
    let routes: Vec<_> = routes.iter().map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"pool\",\
         \"health-path\":\"/healthz\",\"max-conns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"rejects-overload\":true,\"standby\":false}}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"north\",\"api-keys\":[\"{KEY}\"],\"priority\":1,\
         \"guaranteed\":{{\"gpu\":8}}}}]}}",
        routes.join(",")
    )
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot(&format!("bind: {e}")));
    listener.local_addr().unwrap().port()
}

// ---------------------------------------------------------------- worker

/// Longest lease, and how many ends a list shows at a time, as PROTOCOL.md says.
const HOLD_MAX_MS: u64 = 10_000;
const ENDS_AT_A_TIME: usize = 500;

#[derive(Clone)]
struct Run {
    run: u64,
    since: Instant,
    work_ms: u64,
    need: [u64; 3],
    /// When it ends after a stop order.
    stops: Option<Instant>,
}

#[derive(Default)]
struct WorkerState {
    token: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    /// Highest run that was stopped or has ended here, by task.
    over: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    latest_end: u64,
    last_seen: u64,
}

/// One start or end of a run, as the worker sees it.
#[derive(Debug, Clone)]
pub struct Event {
    pub at: Instant,
    pub worker: String,
    pub task: String,
    pub run: u64,
    /// `start`, or how it ended.
    pub what: &'static str,
}

pub type Events = Arc<Mutex<Vec<Event>>>;

/// A stand-in for a worker that guards its capacity. A task's work is the number in its `spec`, in ms.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    /// Address that it gives in its heartbeats.
    public: SocketAddr,
    /// When this life began, and the same in Unix milliseconds.
    life: Arc<Mutex<(Instant, u64)>>,
    /// Share of the start and stop orders that get no answer and are carried out 2 to 12 s later.
    pub late_permille: Arc<AtomicU64>,
    state: Arc<(Mutex<WorkerState>, Condvar)>,
    stop: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
    /// While it is cut off, its heartbeats do not leave it.
    pub cut_off: Arc<AtomicBool>,
    /// Time that a stop takes.
    pub stop_ms: Arc<AtomicU64>,
    sequence: Arc<AtomicU64>,
    draws: Arc<AtomicU64>,
    capacity: [u64; 3],
    /// Needs of a task on this worker: all jobs of a case have the same.
    need: [u64; 3],
    pub events: Events,
    record: Record,
}

impl Worker {
    /// Starts a worker; `link` is put in front of its address if there is one.
    pub fn start(
        id: &str,
        capacity: [u64; 3],
        need: [u64; 3],
        controls: Vec<SocketAddr>,
        events: &Events,
        record: &Record,
        link: Option<&dyn Fn(SocketAddr) -> SocketAddr>,
    ) -> Self {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot(&format!("bind: {e}")));
        let address = listener.local_addr().unwrap();
        let worker = Self {
            id: id.to_owned(),
            address,
            public: link.map_or(address, |link| link(address)),
            life: Arc::new(Mutex::new((Instant::now(), unix_ms()))),
            late_permille: Arc::default(),
            state: Arc::default(),
            stop: Arc::default(),
            draining: Arc::default(),
            cut_off: Arc::default(),
            stop_ms: Arc::default(),
            sequence: Arc::default(),
            draws: Arc::new(AtomicU64::new(unix_ms())),
            capacity,
            need,
            events: Arc::clone(events),
            record: record.clone(),
        };
        let handler = worker.clone();
        serve(listener, Arc::clone(&worker.stop), move |received| handler.handle(&received));
        let beating = worker.clone();
        thread::spawn(move || beating.beat_forever(&controls));
        let ticking = worker.clone();
        thread::spawn(move || {
            while !ticking.stop.load(Ordering::Relaxed) {
                ticking.finish_due(&mut ticking.state.0.lock().unwrap());
                sleep_ms(5);
            }
        });
        worker
    }

    fn clock_ms(&self) -> u64 {
        self.life.lock().unwrap().0.elapsed().as_millis() as u64 + 1_000
    }
    fn born(&self) -> u64 {
        self.life.lock().unwrap().1
    }

    /// Is gone for good, without a word: what runs on it ends, and nothing is sent or answered any more.
    pub fn vanish(&self, link: &Link) {
        let mut state = self.state.0.lock().unwrap();
        link.set_cut(true);
        self.stop.store(true, Ordering::Relaxed);
        let all: Vec<_> = state.running.keys().cloned().collect();
        for task in all {
            self.end(&mut state, &task, "gone");
        }
        self.record.say(&format!("worker {}: is gone", self.id));
    }

    /// Crashes and starts again under the same identity: it runs and knows nothing then.
    pub fn crash(&self) {
        let mut state = self.state.0.lock().unwrap();
        self.finish_due(&mut state);
        let all: Vec<_> = state.running.keys().cloned().collect();
        for task in all {
            self.end(&mut state, &task, "gone");
        }
        let first_lost = state.last_seen + 1;
        self.event("-", first_lost, "crash");
        *state = WorkerState::default();
        *self.life.lock().unwrap() = (Instant::now(), unix_ms());
        self.sequence.store(0, Ordering::Relaxed);
        self.record.say(&format!("worker {}: has crashed and starts again", self.id));
    }

    pub fn running(&self) -> usize {
        self.state.0.lock().unwrap().running.len()
    }
    pub fn last_seen(&self) -> u64 {
        self.state.0.lock().unwrap().last_seen
    }
    pub fn ends(&self) -> u64 {
        self.state.0.lock().unwrap().latest_end
    }

    fn event(&self, task: &str, run: u64, what: &'static str) {
        let event = Event {
            at: Instant::now(),
            worker: self.id.clone(),
            task: task.to_owned(),
            run,
            what,
        };
        self.record.say(&format!("worker {}: {what} {task} run {run}", self.id));
        self.events.lock().unwrap().push(event);
    }

    fn beat_forever(&self, controls: &[SocketAddr]) {
        let mut first = 0;
        while !self.stop.load(Ordering::Relaxed) {
            if self.cut_off.load(Ordering::Relaxed) {
                sleep_ms(100);
                continue;
            }
            let body = self.beat();
            for turn in 0..controls.len() {
                let address = controls[(first + turn) % controls.len()];
                let path = format!("/cactuslatch/Instances.Heartbeat/{}", self.id);
                if call(address, "POST", &path, &[], &body, 1000).is_some_and(|a| a.0 == 200) {
                    first += turn;
                    break;
                }
            }
            sleep_ms(1500);
        }
    }

    /// Says that it drains, until that is acknowledged.
    pub fn drain(&self, controls: &[SocketAddr]) {
        self.draining.store(true, Ordering::Relaxed);
        let path = format!("/cactuslatch/Instances.Heartbeat/{}", self.id);
        for turn in 0..20 {
            let address = controls[turn % controls.len()];
            let answer = call(address, "POST", &path, &[], &self.beat(), 1000);
            self.record.say(&format!("worker {}: draining -> {:?}", self.id, answer.as_ref().map(|a| a.0)));
            if answer.is_some_and(|a| a.0 == 200) {
                return;
            }
            sleep_ms(200);
        }
        cannot("draining was not acknowledged")
    }

    /// Says that it leaves, and ends once that is acknowledged; if it is not, it ends 3 s later.
    pub fn leave(&self, control: SocketAddr, link: &Link) {
        let path = format!("/cactuslatch/Instances.Deregister/{}", self.id);
        let body = format!("{{\"born\":{}}}", self.born());
        self.record.say(&format!("worker {}: says that it leaves", self.id));
        let answer = call(control, "POST", &path, &[], &body, 1000).filter(|_| !link.refuses());
        self.record.say(&format!("worker {}: leave -> {:?}", self.id, answer.as_ref().map(|a| a.0)));
        if answer.is_none_or(|a| a.0 != 200) {
            sleep_ms(3_000);
        }
        let mut state = self.state.0.lock().unwrap();
        self.finish_due(&mut state);
        link.set_refuses(true);
        self.stop.store(true, Ordering::Relaxed);
        let all: Vec<_> = state.running.keys().cloned().collect();
        for task in all {
            self.end(&mut state, &task, "gone");
        }
        self.record.say(&format!("worker {}: has ended", self.id));
    }

    fn beat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let [cpu, mem, gpu] = self.capacity;
        let state = if self.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        format!(
            "{{\"service\":\"pool\",\"address\":\"{}\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{state}\",\"cold-remaining-ms\":0,\"capacity\":{{\"cpu\":{cpu},\"mem-mb\":{mem},\
             \"gpu\":{gpu}}},\"labels\":[\"a\",\"r1-{}\"],\"clock-ms\":{},\"sequence\":{sequence},\
             \"born\":{},\"machine\":\"m-{}\"}}",
            self.public, self.id, self.clock_ms(), self.born(), self.id
        )
    }

    fn handle(&self, received: &Received) -> Option<(u16, String)> {
        if received.header("Expect-Instance").is_some_and(|id| id != self.id) {
            return Some((421, "{}".to_owned()));
        }
        let body = J::parse(&received.body)?;
        let is_order = received.path.ends_with("/run-start") || received.path.ends_with("/run-stop");
        let share = self.late_permille.load(Ordering::Relaxed);
        if is_order && share > 0 {
            let draw = self.draws.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
            if draw % 1_000 < share {
                let (worker, path, born) = (self.clone(), received.path.clone(), self.born());
                self.record.say(&format!("worker {}: leaves an order unanswered: {}", self.id, received.body));
                thread::spawn(move || {
                    sleep_ms(2_000 + draw / 1_000 % 10_000);
                    // A worker that has started again knows nothing of before.
                    if worker.born() == born {
                        _ = worker.carry_out(&path, &body);
                    }
                });
                sleep_ms(1_000);
                return None;
            }
        }
        self.carry_out(&received.path, &body)
    }

    fn carry_out(&self, path: &str, body: &J) -> Option<(u16, String)> {
        let token = body.get("fencing-token").u64().unwrap_or(0);
        {
            let mut state = self.state.0.lock().unwrap();
            if token < state.token {
                return Some(self.refuse("fence"));
            }
            state.token = token;
        }
        match path {
            "/cactuslatch/run-start" => Some(self.run_start(body)),
            "/cactuslatch/run-stop" => Some(self.run_stop(body)),
            "/cactuslatch/hold" => Some(self.hold(body)),
            "/cactuslatch/pace" => Some(self.done()),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn done(&self) -> (u16, String) {
        (200, format!("{{\"clock-ms\":{},\"born\":{}}}", self.clock_ms(), self.born()))
    }
    fn refuse(&self, reason: &str) -> (u16, String) {
        (409, format!("{{\"clock-ms\":{},\"reason\":\"{reason}\"}}", self.clock_ms()))
    }

    fn extend(&self, state: &mut WorkerState, until_ms: Option<u64>) {
        let longest = self.clock_ms() + HOLD_MAX_MS;
        if let Some(until_ms) = until_ms {
            state.lease_until_ms = state.lease_until_ms.max(until_ms.min(longest));
        }
    }

    fn run_start(&self, body: &J) -> (u16, String) {
        let task = body.get("task").str().to_owned();
        let run = body.get("run-id").u64().unwrap_or(0);
        let until_ms = body.get("until-ms").u64();
        let work_ms = body.get("spec").str().parse().unwrap_or(1000);
        let mut state = self.state.0.lock().unwrap();
        self.finish_due(&mut state);
        if state.running.get(&task).is_some_and(|known| known.run == run) {
            self.extend(&mut state, until_ms);
            return self.done();
        }
        if until_ms.is_none_or(|until| until <= self.clock_ms()) {
            return self.refuse("late");
        }
        self.extend(&mut state, until_ms);
        let known = state.running.get(&task).map_or(0, |known| known.run);
        if run <= known || state.over.get(&task).is_some_and(|over| run <= *over) {
            return self.refuse("old");
        }
        for kind in 0..3 {
            let used: u64 = state.running.values().map(|r| r.need[kind]).sum();
            if used + self.need[kind] > self.capacity[kind] {
                return self.refuse("room");
            }
        }
        let new = Run { run, since: Instant::now(), work_ms, need: self.need, stops: None };
        state.running.insert(task.clone(), new);
        self.event(&task, run, "start");
        self.done()
    }

    fn run_stop(&self, body: &J) -> (u16, String) {
        let task = body.get("task").str().to_owned();
        let run = body.get("run-id").u64().unwrap_or(0);
        let mut state = self.state.0.lock().unwrap();
        self.finish_due(&mut state);
        let due = Instant::now() + Duration::from_millis(self.stop_ms.load(Ordering::Relaxed));
        if let Some(known) = state.running.get_mut(&task).filter(|known| known.run <= run) {
            known.stops.get_or_insert(due);
        }
        self.finish_due(&mut state);
        let over = state.over.entry(task).or_default();
        *over = (*over).max(run);
        self.done()
    }

    fn hold(&self, body: &J) -> (u16, String) {
        let seen = body.get("last-seen").u64().unwrap_or(0);
        let wait = Duration::from_millis(body.get("wait-ms").u64().unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        self.finish_due(&mut state);
        self.extend(&mut state, body.get("until-ms").u64());
        state.last_seen = state.last_seen.max(seen);
        state.ended.retain(|(number, ..)| *number > seen);
        while state.ended.is_empty() && Instant::now() < until {
            let left = until - Instant::now();
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
        let running: Vec<_> = state
            .running
            .iter()
            .map(|(task, run)| {
                let percent = run.since.elapsed().as_millis() as u64 * 100 / run.work_ms.max(1);
                format!("[\"{task}\",{},\"\",{},1]", run.run, percent.min(99))
            })
            .collect();
        let ended: Vec<_> = state
            .ended
            .iter()
            .take(ENDS_AT_A_TIME)
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        let text = format!(
            "{{\"clock-ms\":{},\"born\":{},\"running\":[{}],\"ended-runs\":[{}]}}",
            self.clock_ms(),
            self.born(),
            running.join(","),
            ended.join(",")
        );
        (200, text)
    }

    /// Ends the runs whose work is done, and all of them once the lease has ended.
    fn finish_due(&self, state: &mut WorkerState) {
        if self.clock_ms() > state.lease_until_ms {
            let all: Vec<_> = state.running.keys().cloned().collect();
            for task in all {
                self.end(state, &task, "lapsed");
            }
        }
        let stopped = |run: &Run| run.stops.is_some_and(|due| Instant::now() >= due);
        let due: Vec<_> =
            state.running.iter().filter(|(_, r)| stopped(r)).map(|(t, _)| t.clone()).collect();
        for task in due {
            self.end(state, &task, "stopped");
        }
        let is_due = |run: &Run| run.since.elapsed().as_millis() as u64 >= run.work_ms;
        let due: Vec<_> =
            state.running.iter().filter(|(_, r)| is_due(r)).map(|(t, _)| t.clone()).collect();
        for task in due {
            self.end(state, &task, "done");
        }
    }

    fn end(&self, state: &mut WorkerState, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else { return };
        state.latest_end += 1;
        let number = state.latest_end;
        state.ended.push((number, task.to_owned(), run.run, how));
        let over = state.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run.run);
        self.event(task, run.run, how);
        self.state.1.notify_all();
    }
}

// ---------------------------------------------------------------- link

/// A proxy in front of an address, with a delay in each direction. While it is cut, no byte passes
/// and new connections hang; bytes that were sent meanwhile arrive once it is whole again.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    refuses: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    pub fn new(listen: SocketAddr, target: SocketAddr, delay_ms: u64) -> Self {
        let listener =
            TcpListener::bind(listen).unwrap_or_else(|e| cannot(&format!("bind {listen}: {e}")));
        let address = listener.local_addr().unwrap();
        let link = Self { address, cut: Arc::default(), refuses: Arc::default(), open: Arc::default() };
        let own = link.clone();
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                if own.refuses.load(Ordering::Relaxed) {
                    listener = None;
                    for stream in own.open.lock().unwrap().drain(..) {
                        _ = stream.shutdown(std::net::Shutdown::Both);
                    }
                } else if listener.is_none() {
                    listener = TcpListener::bind(own.address).ok();
                }
                let Some(listening) = &listener else {
                    sleep_ms(5);
                    continue;
                };
                _ = listening.set_nonblocking(true);
                match listening.accept() {
                    Ok((stream, _)) => own.clone().connect(stream, target, delay_ms),
                    Err(_) => sleep_ms(1),
                }
            }
        });
        link
    }

    fn connect(self, stream: TcpStream, target: SocketAddr, delay_ms: u64) {
        _ = stream.set_nonblocking(false);
        _ = stream.set_nodelay(true);
        thread::spawn(move || {
            while self.cut.load(Ordering::Relaxed) {
                sleep_ms(5);
            }
            let Ok(other) = TcpStream::connect(target) else { return };
            _ = other.set_nodelay(true);
            let (Ok(a), Ok(b), Ok(c)) = (stream.try_clone(), other.try_clone(), stream.try_clone())
            else {
                return;
            };
            self.open.lock().unwrap().push(c);
            pass(b, a, Arc::clone(&self.cut), delay_ms);
            pass(stream, other, self.cut, delay_ms);
        });
    }

    /// Cuts the link silently, or joins it again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    /// Cuts the link so that connections are refused and open ones end, or joins it again.
    pub fn set_refuses(&self, refuses: bool) {
        self.refuses.store(refuses, Ordering::Relaxed);
    }
    pub fn refuses(&self) -> bool {
        self.refuses.load(Ordering::Relaxed)
    }
}

/// Passes bytes on, each after the delay, until one end is closed.
fn pass(mut from: TcpStream, mut to: TcpStream, cut: Arc<AtomicBool>, delay_ms: u64) {
    let (sender, receiver) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut part = [0; 65536];
        loop {
            let read = from.read(&mut part).unwrap_or(0);
            let due = Instant::now() + Duration::from_millis(delay_ms);
            if sender.send((due, part[..read].to_vec())).is_err() || read == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            while cut.load(Ordering::Relaxed) {
                sleep_ms(5);
            }
            if bytes.is_empty() {
                _ = to.shutdown(std::net::Shutdown::Write);
                return;
            }
            if to.write_all(&bytes).is_err() {
                return;
            }
        }
    });
}
