//! A small installation: three control hosts and some entry hosts as separate processes.

use std::fs::{self, File};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{Json, object};
use crate::record::Record;

pub const CONTROL_HOSTS: usize = 3;
pub const HOST: &str = "jobs.example";
pub const KEY: &str = "key-of-north";
pub const SERVICE: &str = "pool";

/// Program of the build of the deploy file.
const PROGRAM: &str = "target/release/cactuslatch-platform";

pub struct Site {
    folder: PathBuf,
    network: [u8; 2],
    /// Ports for other hosts, operators and workers, callers, and readiness checks.
    ports: [u16; 4],
    hosts: usize,
    entry_hosts: usize,
    processes: Vec<Option<Child>>,
    /// Address of the platform's interface for machines.
    cloud: Option<SocketAddr>,
    pub record: Record,
}

impl Site {
    /// Starts all processes.
    pub fn start(record: &Record, entry_hosts: usize, cloud: Option<SocketAddr>) -> Site {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("cactuslatch-review-{id}"));
        fs::create_dir_all(&folder).expect("create a temporary folder");
        let network = [u8::try_from(id % 200 + 20).unwrap(), u8::try_from(id / 200 % 250).unwrap()];
        // One more control host may be added later, as the successor of another one.
        let hosts = CONTROL_HOSTS + entry_hosts + 1;
        let mut site = Site {
            folder,
            network,
            ports: std::array::from_fn(|_| free_port()),
            hosts,
            entry_hosts,
            processes: (0..hosts).map(|_| None).collect(),
            cloud,
            record: record.clone(),
        };
        for host in 0..hosts - 1 {
            site.start_host(host, true);
        }
        site
    }

    /// Returns a loopback address of this installation.
    pub fn ip(&self, number: usize) -> IpAddr {
        let [second, third] = self.network;
        IpAddr::from([127, second, third, u8::try_from(number + 1).unwrap()])
    }

    pub fn control(&self, host: usize) -> SocketAddr {
        SocketAddr::new(self.ip(host), self.ports[1])
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..CONTROL_HOSTS).map(|host| self.control(host)).collect()
    }

    /// Returns the number of the control host that is not started at first.
    pub fn successor(&self) -> usize {
        CONTROL_HOSTS + self.entry_hosts
    }

    /// Deletes the disk of a host that does not run.
    pub fn wipe(&self, host: usize) {
        _ = fs::remove_dir_all(self.folder.join(format!("data-{host}")));
        self.record.note(format!("host {host} loses its disk"));
    }

    pub fn entry(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.ip(CONTROL_HOSTS + number), self.ports[2])
    }

    /// Starts the process of a host with the command of the deploy file.
    pub fn start_host(&mut self, host: usize, bootstrap: bool) {
        let ip = self.ip(host);
        let [internal, control, frontend, readiness] = self.ports;
        let is_control = host < CONTROL_HOSTS || host == self.successor();
        let seeds: Vec<_> =
            self.controls().iter().map(|seed| format!("\"{seed}\"")).collect();
        let (role, class, listen) = if is_control {
            ("control", "core", format!("control = \"{ip}:{control}\""))
        } else {
            let listen =
                format!("frontend = \"{ip}:{frontend}\"\nreadiness = \"{ip}:{readiness}\"");
            ("entry", "frontend", listen)
        };
        let data = if is_control {
            format!("data-dir = \"{}\"\n", self.folder.join(format!("data-{host}")).display())
        } else {
            String::new()
        };
        let cloud = self.cloud.map_or(String::new(), |cloud| {
            format!("[cloud]\naddress = \"{cloud}\"\nrate-per-s = 60.0\nduty-per-s = 60.0\n")
        });
        let settings = format!(
            "node-name = \"{role}-{host}\"\nrole = \"{role}\"\nmachine-class = \"{class}\"\n\
             ip = \"{ip}\"\nzone = \"z1\"\nregion = \"r1\"\n\
             internal-ports = [{internal}, {internal}]\nseeds = [{}]\nbootstrap = {bootstrap}\n\
             discovery = \"registration\"\nentry = \"vip\"\nheartbeat-ms = 1500\n\
             config_mode = \"highest\"\norders = \"push\"\n{data}\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\
             \"tenants\",\"advice\",\"upkeep\",\"sharing\"]\n\
             [listen]\n{listen}\n\
             [limits]\ncpu-share = 0.5\ncores = 1\nmemory-mb = 256\nmax-fds = 4096\n\
             link-mbps = 1000.0\ndisk-mb = 128\n\
             [bounds]\ncontact-ms = 4000\nack-timeout-ms = 5000\ncatch-up-s = 4\n\
             drain-ms = 2500\ngrace-s = 6\nloss-slack-ms = 200\nconfig-apply-ms = 2500\n\
             recover-s = 12\nhold-max-ms = 10000\nstop-timeout-ms = 900\n\
             gang-timeout-ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nfinish_s = 14\n\
             status_s = 120\nremote-factor = 3\nmaintenance-s = 2\nlease-ms = 3000\n\
             reclaim-ms = 3400\n{cloud}",
            seeds.join(", "),
        );
        let path = self.folder.join(format!("settings-{host}.toml"));
        fs::write(&path, settings).expect("write settings");
        let log = File::options()
            .append(true)
            .create(true)
            .open(self.folder.join(format!("log-{host}")))
            .expect("open a log");
        let child = Command::new(PROGRAM)
            .arg(role)
            .env("CACTUSLATCH_BOOT", path)
            .stdout(log.try_clone().expect("share a log"))
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()
            .expect("start a process of the project");
        STARTED.lock().unwrap().push(child.id());
        self.record.note(format!("start {role}-{host} at {ip}"));
        self.processes[host] = Some(child);
    }

    /// Kills the process of a host.
    pub fn kill(&mut self, host: usize) {
        if let Some(mut child) = self.processes[host].take() {
            _ = child.kill();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
            _ = child.wait();
            self.record.note(format!("SIGKILL host {host}"));
        }
    }

    /// Stops the process of a host as the platform does: SIGTERM, then SIGKILL after `grace-s`.
    pub fn stop(&mut self, host: usize) {
        self.signal(host, "TERM");
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(6) {
            let ended = self.processes[host].as_mut().map(|child| child.try_wait());
            if matches!(ended, Some(Ok(Some(_)))) {
                let child = self.processes[host].take().expect("a process that has ended");
                STARTED.lock().unwrap().retain(|id| *id != child.id());
                self.record.note(format!("host {host} has stopped"));
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.kill(host);
    }

    /// Sends a signal to the process of a host.
    pub fn signal(&self, host: usize, name: &str) {
        if let Some(child) = &self.processes[host] {
            let id = child.id().to_string();
            _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
            self.record.note(format!("SIG{name} host {host}"));
        }
    }

    /// Returns the log of a host.
    pub fn log(&self, host: usize) -> String {
        fs::read_to_string(self.folder.join(format!("log-{host}"))).unwrap_or_default()
    }

    /// Returns the control host that leads, by the logs.
    pub fn leader(&self) -> Option<usize> {
        let mut newest = None;
        let is_control = |host: &usize| *host < CONTROL_HOSTS || *host == self.successor();
        for host in (0..self.hosts).filter(is_control).filter(|host| self.processes[*host].is_some())
        {
            let log = self.log(host);
            let line = |text: &str| log.lines().rev().position(|line| line.contains(text));
            let Some(leads) = line("this host leads") else { continue };
            if line("no longer leads").is_some_and(|lost| lost < leads)
                || line("control host starts").is_some_and(|start| start < leads)
            {
                continue;
            }
            let led = log.lines().rev().nth(leads).unwrap_or_default();
            let term = Json::parse(led.as_bytes()).and_then(|line| line.get("term").number());
            newest = newest.max(term.map(|term| (term, host)));
        }
        newest.map(|(_, host)| host)
    }

    /// Sends a configuration to the control hosts until one acknowledges it.
    pub fn configure(&self, configuration: &Json) -> bool {
        let version = configuration.get("version").number().unwrap_or(0);
        self.record.note(format!("send configuration {version}"));
        let body = configuration.to_string();
        let answered = poll(Duration::from_secs(20), || {
            self.controls().into_iter().find(|address| {
                let limit = Duration::from_secs(1);
                let sent =
                    http::call(*address, "POST", "/cactuslatch/Config.Replace", &[], &body, limit);
                matches!(sent, Ok((200, _)))
            })
        });
        self.record.note(format!("configuration {version}: acknowledged {}", answered.is_some()));
        answered.is_some()
    }

    /// Sends a caller's request to an entry host; returns the status, or `None` without an answer.
    pub fn ask(&self, entry: usize, method: &str, path: &str, body: &str) -> Option<(u16, Json)> {
        let headers = [("host", HOST), ("api-key", KEY), ("deadline-ms", "3000")];
        let limit = Duration::from_secs(3);
        let answer = http::call(self.entry(entry), method, path, &headers, body, limit);
        let told = match &answer {
            Ok((status, body)) => format!("{status} {}", String::from_utf8_lossy(body)),
            Err(fault) => format!("no answer: {fault}"),
        };
        self.record.note(format!("{method} {path} -> {told}"));
        let (status, body) = answer.ok()?;
        Some((status, Json::parse(&body).unwrap_or(Json::Null)))
    }

    /// Submits a job until it is accepted.
    pub fn submit(&self, path: &str, body: &Json) -> bool {
        self.submit_at(0, path, body)
    }

    /// Submits a job at an entry host until it is accepted.
    pub fn submit_at(&self, entry: usize, path: &str, body: &Json) -> bool {
        let body = body.to_string();
        let accepted = poll(Duration::from_secs(15), || {
            let answer = self.ask(entry, "POST", path, &body)?;
            (answer.0 == 200).then_some(())
        });
        accepted.is_some()
    }

    /// Returns the state of a job as its client sees it.
    pub fn state(&self, path: &str) -> Option<String> {
        let (status, body) = self.ask(self.entry_hosts - 1, "GET", path, "")?;
        Some(body.get("state").text().map_or(status.to_string(), str::to_owned))
    }

    /// Copies the logs of all hosts to the record.
    pub fn keep_logs(&self) {
        for host in 0..self.hosts {
            for line in self.log(host).lines() {
                self.record.note(format!("log of host {host}: {line}"));
            }
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for host in 0..self.hosts {
            self.kill(host);
        }
        _ = fs::remove_dir_all(&self.folder);
    }
}

/// Calls `check` every 50 ms until it returns a value or the time is over.
pub fn poll<T>(limit: Duration, mut check: impl FnMut() -> Option<T>) -> Option<T> {
    let begun = Instant::now();
    loop {
        if let Some(value) = check() {
            return Some(value);
        }
        if begun.elapsed() > limit {
            return None;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("find a free port");
    listener.local_addr().expect("read the port").port()
}

/// A queue of the service at a path prefix.
pub fn queue(name: &str, prefix: &str, priority: u64, attempts: u64) -> Json {
    object([
        ("name", name.into()),
        ("host", HOST.into()),
        ("path-prefix", prefix.into()),
        ("kind", "unsafe".into()),
        ("timeout-ms", 3000_u64.into()),
        ("target-latency-ms", 3000_u64.into()),
        ("priority", priority.into()),
        ("service", SERVICE.into()),
        ("max-attempts", attempts.into()),
        ("slack-factor", Json::Number(3.0)),
        ("public", false.into()),
    ])
}

/// A complete configuration with one service and one tenant.
pub fn configuration(version: u64, queues: Vec<Json>) -> Json {
    let service = object([
        ("name", SERVICE.into()),
        ("health-path", "/healthz".into()),
        ("max-conns", 64_u64.into()),
        ("protocol", "h1".into()),
        ("tls", false.into()),
        ("rejects-overload", true.into()),
        ("standby", false.into()),
    ]);
    let limits = object([
        ("max-header-bytes", 16384_u64.into()),
        ("max-body-bytes", 262_144_u64.into()),
        ("header-timeout-ms", 3000_u64.into()),
        ("idle-timeout-ms", 15000_u64.into()),
    ]);
    let tenant = object([
        ("name", "north".into()),
        ("api-keys", vec![Json::from(KEY)].into()),
        ("priority", 1_u64.into()),
        ("guaranteed", object([("gpu", 8_u64.into())])),
    ]);
    object([
        ("version", version.into()),
        ("routes", queues.into()),
        ("services", vec![service].into()),
        ("limits", limits),
        ("tenants", vec![tenant].into()),
    ])
}

/// Process ids of the hosts that were started, for the end of a case that fails.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the processes that are left when a case fails or takes too long. They are children of this
/// process that were not waited for, so that their ids are still theirs.
pub fn kill_left(record: &Record) {
    for id in STARTED.lock().unwrap().drain(..) {
        _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        record.note(format!("SIGKILL process {id}"));
    }
}
