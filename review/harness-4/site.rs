//! The project's own programs as separate processes on loopback addresses.

use std::fs::File;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::Json;
use crate::record::Record;

pub const CONTROL: usize = 3;
/// Memory of a `core` machine of the small sites.
pub const CORE_MEMORY_MB: u64 = 256;
pub const STOP: i32 = 19;
pub const CONT: i32 = 18;

unsafe extern "C" {
    #[link_name = "kill"]
    fn send_signal(pid: i32, signal: i32) -> i32;
}

/// Bounds of the small sites: contact-ms 4,000, ack-timeout-ms 5,000, hold-max-ms 10,000 and so on.
const BOUNDS: &str = "[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 4000\n\
ack-timeout-ms = 5000\ncatch-up-s = 4\ndrain-ms = 2500\ngrace-s = 6\nloss-slack-ms = 200\n\
config-apply-ms = 2500\ndowngrade-slack-ms = 250\nouter-ms = 6000\nrevoke-strict = false\n\
revoke-ms = 5000\nrecover-s = 12\nhold-max-ms = 10000\nstop-timeout-ms = 900\n\
gang-timeout-ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\n\
status_s = 120\nremote-factor = 3\ncheckpoint-s = 2\nrestore-ms = 250\nnotice-ms = 5500\n\
migrate-s = 1.5\nmaintenance-s = 2\nfencing-required = true\nlease-ms = 3000\nthaw-ms = 300\n\
pace-ms = 100\nimpact-ms = 4000\nreclaim-ms = 3400\n";

pub struct Site {
    folder: PathBuf,
    network: [u8; 2],
    ports: [u16; 4],
    entries: usize,
    processes: Vec<Option<Child>>,
    pub record: Record,
}

impl Site {
    pub fn start(record: &Record, entries: usize) -> Site {
        let folder = std::env::temp_dir().join(format!("review-4-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let id = std::process::id();
        let network = [(20 + id / 250 % 200) as u8, (1 + id % 250) as u8];
        let processes = (0..CONTROL + entries).map(|_| None).collect();
        let mut site =
            Site { folder, network, ports: [0; 4], entries, processes, record: record.clone() };
        let bind = |_| TcpListener::bind((site.ip(0), 0)).expect("a free port");
        let free: Vec<TcpListener> = (0..4).map(bind).collect();
        for (port, listener) in site.ports.iter_mut().zip(&free) {
            *port = listener.local_addr().expect("an address").port();
        }
        drop(free);
        for host in 0..CONTROL + entries {
            site.start_process(host, true);
        }
        site
    }

    pub fn ip(&self, host: usize) -> IpAddr {
        IpAddr::from([127, self.network[0], self.network[1], host as u8 + 1])
    }

    pub fn control_address(&self, host: usize) -> SocketAddr {
        SocketAddr::new(self.ip(host), self.ports[1])
    }

    pub fn control(&self) -> Vec<SocketAddr> {
        (0..CONTROL).map(|host| self.control_address(host)).collect()
    }

    pub fn frontend(&self, entry: usize) -> SocketAddr {
        SocketAddr::new(self.ip(CONTROL + entry % self.entries), self.ports[2])
    }

    pub fn start_process(&mut self, host: usize, bootstrap: bool) {
        let ip = self.ip(host);
        let [internal, control, frontend, readiness] = self.ports;
        let seeds: Vec<String> = self.control().iter().map(|seed| format!("\"{seed}\"")).collect();
        let is_control = host < CONTROL;
        let memory_mb = if is_control { CORE_MEMORY_MB } else { 260 };
        let (class, listen) = if is_control {
            ("core", format!("control = \"{ip}:{control}\""))
        } else {
            (
                "frontend",
                format!("frontend = \"{ip}:{frontend}\"\nreadiness = \"{ip}:{readiness}\""),
            )
        };
        let data = if is_control {
            format!("data-dir = \"{}\"\n", self.folder.join(format!("data-{host}")).display())
        } else {
            String::new()
        };
        let settings = format!(
            "node-name = \"host-{host}\"\nmachine-class = \"{class}\"\nip = \"{ip}\"\n\
             zone = \"dc\"\nregion = \"r\"\ninternal-ports = [{internal}, {internal}]\n\
             seeds = [{}]\nbootstrap = {bootstrap}\n{data}heartbeat-ms = 1500\n\
             orders = \"push\"\n[zones]\ndc = \"r\"\n[listen]\n{listen}\n\
             [limits]\ncpu-share = 0.5\ncores = 1\nmemory-mb = {memory_mb}\nmax-fds = 4096\n\
             [fault-tolerance]\nmachines = 1\nzones = 0\nregions = 0\n{BOUNDS}",
            seeds.join(", ")
        );
        let path = self.folder.join(format!("settings-{host}.toml"));
        std::fs::write(&path, settings).expect("settings can be written");
        let log = self.folder.join(format!("log-{host}"));
        let log = File::options().append(true).create(true).open(log).expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new("target/release/cactuslatch-platform")
            .arg(if is_control { "control" } else { "entry" })
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("HOME", std::env::var_os("HOME").unwrap_or_default())
            .env("CACTUSLATCH_BOOT", path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program of the deploy file was built");
        self.record.line(&format!("host {host} starts as {class}, process {}", child.id()));
        self.processes[host] = Some(child);
    }

    pub fn signal(&self, host: usize, signal: i32) {
        if let Some(child) = &self.processes[host] {
            self.record.line(&format!("host {host} gets signal {signal}"));
            // SAFETY: a plain system call on a process that this one started.
            unsafe { send_signal(child.id() as i32, signal) };
        }
    }

    pub fn kill(&mut self, host: usize) {
        if let Some(mut child) = self.processes[host].take() {
            self.record.line(&format!("host {host} is killed"));
            _ = child.kill();
            _ = child.wait();
        }
    }

    /// Returns whether each process that should run does.
    pub fn all_run(&mut self) -> bool {
        let runs = |child: &mut Option<Child>| match child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => true,
        };
        self.processes.iter_mut().all(runs)
    }

    /// Memory that the process of a host takes by itself now, in bytes, without the pages of its files.
    pub fn memory_bytes(&self, host: usize) -> Option<u64> {
        let child = self.processes[host].as_ref()?;
        let text = std::fs::read_to_string(format!("/proc/{}/statm", child.id())).ok()?;
        let pages: Vec<u64> = text.split(' ').filter_map(|word| word.trim().parse().ok()).collect();
        Some((pages.get(1)? - pages.get(2)?) * 4_096)
    }

    pub fn log(&self, host: usize) -> String {
        std::fs::read_to_string(self.folder.join(format!("log-{host}"))).unwrap_or_default()
    }

    /// The host that leads according to the logs: the newest term that was not given up.
    pub fn leader(&self) -> Option<usize> {
        let mut newest = None;
        for host in (0..CONTROL).filter(|host| self.processes[*host].is_some()) {
            let log = self.log(host);
            let mut leads = None;
            for line in log.lines() {
                if line.contains("this host leads") {
                    let term = Json::parse(line).and_then(|line| line.get("term").u64());
                    leads = term.or(Some(0));
                } else if line.contains("no longer leads") || line.contains("control host starts") {
                    leads = None;
                }
            }
            newest = newest.max(leads.map(|term| (term, host)));
        }
        newest.map(|(_, host)| host)
    }

    /// Waits for something; the case can't run if it does not come.
    pub fn wait<T>(&self, what: &str, limit: Duration, mut check: impl FnMut() -> Option<T>) -> T {
        let until = Instant::now() + limit;
        loop {
            if let Some(found) = check() {
                return found;
            }
            if Instant::now() > until {
                self.record.line(&format!("no {what} within {limit:?}: the case can't run"));
                panic!("no {what}");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Sends an operator's order as the pages say: another node after a failure, a 5xx, a 408, a 429 or a
    /// second without a response, with increasing backoff. Returns the status of a clear answer.
    pub fn order(
        &self,
        method: &str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> Option<(u16, String)> {
        order(&self.control(), &self.record, method, path, body, limit)
    }

    pub fn configure(&self, body: &str) {
        let answer =
            self.order("POST", "/cactuslatch/Config.Replace", body, Duration::from_secs(20));
        if answer.as_ref().is_none_or(|(status, _)| *status != 200) {
            self.record.line("the configuration was not acknowledged: the case can't run");
            panic!("no configuration");
        }
    }
}

pub fn order(
    control: &[SocketAddr],
    record: &Record,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let until = Instant::now() + limit;
    let mut backoff = Duration::from_millis(50);
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let address = control[number % control.len()];
        let answer = http::call(address, method, path, &[], body, Duration::from_secs(1));
        let status = answer.as_ref().map_or(0, |(status, _)| *status);
        record.line(&format!("operator: {method} {path} at {address}: {status}"));
        match status {
            0 | 408 | 429 | 500.. => {}
            _ => return answer,
        }
        std::thread::sleep(backoff);
        backoff = (backoff * 2).min(Duration::from_secs(1));
    }
    None
}

impl Drop for Site {
    fn drop(&mut self) {
        for host in 0..self.processes.len() {
            if let Some(mut child) = self.processes[host].take() {
                _ = child.kill();
                _ = child.wait();
            }
        }
        if let Some(keep) = std::env::var_os("KEEP_LOGS") {
            _ = std::fs::create_dir_all(&keep);
            for host in 0..CONTROL + self.entries {
                let name = format!("log-{host}");
                _ = std::fs::copy(self.folder.join(&name), PathBuf::from(&keep).join(&name));
            }
        }
        _ = std::fs::remove_dir_all(&self.folder);
    }
}
