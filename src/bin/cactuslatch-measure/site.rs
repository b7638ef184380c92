//! A data centre to measure: control and entry hosts as child processes, stand-ins in this process.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use cactuslatch::local::{AddressBlock, Client};
use cactuslatch::standin::{self, RunningStandin, StandinSettings};
use eyre::{WrapErr, eyre};
use serde_json::json;
use tempfile::TempDir;

use crate::proxy::{Proxy, Traffic};

/// Data centre of the site.
pub(crate) const DATA_CENTRE: &str = "north";
/// Organisation whose limits allow any load.
pub(crate) const ORGANISATION: &str = "plovdiv";

const SECRET: &str = "team-secret-for-measurements";
const CONTROL: u8 = 0;
const FIRST_ENTRY: u8 = 1;
const FIRST_STANDIN: u8 = 9;
const UPSTREAMS_PER_RACK: u32 = 8;
/// Time after its start at which control leases slots beyond the base shares.
const LENDING_DELAY: Duration = Duration::from_millis(3_500);
/// Interval of repeated checks, which is the resolution of times measured with them.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Time limit of each step that [`wait_until`] waits for.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Size and settings of a site.
#[derive(Debug, Clone)]
pub(crate) struct SiteOptions {
    /// Folder in which the site creates its own; determines which disk is measured.
    pub(crate) folder: PathBuf,
    pub(crate) entry_hosts: u8,
    pub(crate) upstreams: u8,
    /// YAML appended to the settings of the entry hosts.
    pub(crate) extra_entry_settings: String,
    /// Most waiting batch requests.
    pub(crate) batch_queue_max: u32,
    /// Counts the traffic of announcements and between entry hosts and control, with proxies.
    pub(crate) count_traffic: bool,
    /// Services without upstreams beside the one that runs requests; each may get a document.
    pub(crate) extra_services: u16,
}

impl SiteOptions {
    /// Returns options with default settings.
    pub(crate) fn new(folder: &Path, entry_hosts: u8, upstreams: u8) -> Self {
        Self {
            folder: folder.to_owned(),
            entry_hosts,
            upstreams,
            extra_entry_settings: String::new(),
            batch_queue_max: 1_024,
            count_traffic: false,
            extra_services: 0,
        }
    }
}

/// A running data centre.
#[derive(Debug)]
pub(crate) struct Site {
    pub(crate) folder: TempDir,
    addresses: AddressBlock,
    options: SiteOptions,
    control: Process,
    entries: Vec<Process>,
    standins: Vec<RunningStandin>,
    /// Links from entry hosts to control, by host.
    control_links: Vec<Proxy>,
    /// Links from upstreams to entry hosts, by host.
    announce_links: Vec<Proxy>,
}

/// A child process that is killed when it is dropped.
#[derive(Debug)]
pub(crate) struct Process(Child);

impl Process {
    /// Starts the daemon `program` from the folder of this executable.
    pub(crate) fn start(program: &str, arguments: &[&Path]) -> eyre::Result<Self> {
        let executable = std::env::current_exe()?;
        let path = executable.with_file_name(program);
        let logs =
            if std::env::var_os("SHOW_LOGS").is_some() { Stdio::inherit() } else { Stdio::null() };
        let child = Command::new(&path).args(arguments).stderr(logs).spawn();
        Ok(Self(
            child
                .wrap_err_with(|| format!("start {program} from the folder of this executable"))?,
        ))
    }

    pub(crate) fn id(&self) -> u32 {
        self.0.id()
    }
}

impl Process {
    fn kill(&mut self) {
        _ = self.0.kill();
        _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Site {
    /// Starts all processes and waits until requests are served and slots are leased.
    pub(crate) async fn start(options: SiteOptions) -> eyre::Result<Self> {
        let started = Instant::now();
        let folder = tempfile::Builder::new().prefix("measure-").tempdir_in(&options.folder)?;
        let addresses = AddressBlock::take()?;
        let (control_links, announce_links) = start_proxies(&addresses, &options).await?;
        let control = start_control(folder.path(), &addresses, &options)?;
        let entries = (0..options.entry_hosts)
            .map(|number| start_entry(folder.path(), &addresses, &options, number))
            .collect::<eyre::Result<_>>()?;
        let mut site = Self {
            folder,
            addresses,
            control,
            entries,
            standins: Vec::new(),
            control_links,
            announce_links,
            options,
        };
        for number in 0..site.options.upstreams {
            let settings = site.standin_settings(number)?;
            site.standins.push(standin::start(settings).await?);
        }
        let (client, batch_queue_max) = (site.client(0), site.options.batch_queue_max);
        tokio::task::spawn_blocking(move || put_document(&client, batch_queue_max)).await??;
        for number in 0..site.options.entry_hosts {
            let client = site.client(number);
            tokio::task::spawn_blocking(move || wait_until_serving(&client)).await??;
        }
        tokio::time::sleep(LENDING_DELAY.saturating_sub(started.elapsed())).await;
        Ok(site)
    }

    pub(crate) fn client(&self, entry: u8) -> Client {
        Client::new(self.caller_address(entry))
    }

    pub(crate) fn caller_address(&self, entry: u8) -> SocketAddr {
        self.addresses.work(FIRST_ENTRY + entry)
    }

    pub(crate) fn standins(&self) -> &[RunningStandin] {
        &self.standins
    }

    /// Makes the stand-in that was started last leave.
    pub(crate) async fn remove_standin(&mut self) {
        if let Some(standin) = self.standins.pop() {
            standin.leave().await;
        }
    }

    /// Starts one more stand-in.
    pub(crate) async fn add_standin(&mut self) -> eyre::Result<()> {
        let number = u8::try_from(self.standins.len())?;
        self.standins.push(standin::start(self.standin_settings(number)?).await?);
        Ok(())
    }

    pub(crate) fn control(&self) -> &Process {
        &self.control
    }

    /// Returns the traffic of all links between entry hosts and control.
    pub(crate) fn control_traffic(&self) -> Traffic {
        self.control_links.iter().map(Proxy::traffic).fold(Traffic::default(), Traffic::plus)
    }

    /// Returns the traffic of all links between upstreams and entry hosts.
    pub(crate) fn announce_traffic(&self) -> Traffic {
        self.announce_links.iter().map(Proxy::traffic).fold(Traffic::default(), Traffic::plus)
    }

    /// Kills control, starts it again and returns the time until it is healthy.
    pub(crate) fn restart_control(&mut self) -> eyre::Result<Duration> {
        self.control.kill();
        let started = Instant::now();
        self.control = start_control(self.folder.path(), &self.addresses, &self.options)?;
        let client = Client::new(self.addresses.admin(CONTROL));
        wait_until("start control again", || {
            client.get("/health").is_ok_and(|reply| reply.status == 200)
        })?;
        Ok(started.elapsed())
    }

    pub(crate) fn entries(&self) -> &[Process] {
        &self.entries
    }

    fn announce_address(&self, entry: u8) -> SocketAddr {
        if self.options.count_traffic {
            announce_proxy(&self.addresses, entry)
        } else {
            self.caller_address(entry)
        }
    }

    fn standin_settings(&self, number: u8) -> eyre::Result<StandinSettings> {
        let position = u32::from(number);
        Ok(StandinSettings {
            name: format!("worker-{number}").parse()?,
            incarnation: 1,
            address: self.addresses.work(FIRST_STANDIN + number),
            advertised: None,
            services: vec!["plan".parse()?],
            rack: format!("rack-{}", position / UPSTREAMS_PER_RACK).parse()?,
            rack_position: position % UPSTREAMS_PER_RACK,
            accelerators: 8,
            slots: 8,
            connections: 64,
            entry_hosts: (0..self.options.entry_hosts).map(|n| self.announce_address(n)).collect(),
        })
    }
}

/// Returns the address of the proxy between an entry host and control.
fn control_proxy(addresses: &AddressBlock, entry: u8) -> SocketAddr {
    // Stand-ins use no peer port.
    addresses.peer(FIRST_STANDIN + entry)
}

/// Returns the address of the proxy between the upstreams and an entry host.
fn announce_proxy(addresses: &AddressBlock, entry: u8) -> SocketAddr {
    // Stand-ins use no admin port.
    addresses.admin(FIRST_STANDIN + entry)
}

async fn start_proxies(
    addresses: &AddressBlock,
    options: &SiteOptions,
) -> eyre::Result<(Vec<Proxy>, Vec<Proxy>)> {
    let (mut control, mut announce) = (Vec::new(), Vec::new());
    for entry in 0..if options.count_traffic { options.entry_hosts } else { 0 } {
        let to_control = control_proxy(addresses, entry);
        control.push(Proxy::start(to_control, addresses.peer(CONTROL)).await?);
        let to_entry = announce_proxy(addresses, entry);
        announce.push(Proxy::start(to_entry, addresses.work(FIRST_ENTRY + entry)).await?);
    }
    Ok((control, announce))
}

fn start_control(
    folder: &Path,
    addresses: &AddressBlock,
    options: &SiteOptions,
) -> eyre::Result<Process> {
    let hosts: Vec<String> = (0..options.entry_hosts).map(|n| format!("entry-{n}")).collect();
    let credentials: Vec<String> = (0..options.extra_services)
        .map(|n| format!("  - service: service-{n}\n    secret: {SECRET}\n"))
        .collect();
    let settings = format!(
        "kind: control\nhost: control-0\ndata_centre: {DATA_CENTRE}\nrpc_address: {}\n\
         admin_address: {}\ndata_folder: {}\nentry_hosts: [{}]\n\
         credentials:\n  - service: plan\n    secret: {SECRET}\n{}",
        addresses.peer(CONTROL),
        addresses.admin(CONTROL),
        folder.join("data").display(),
        hosts.join(", "),
        credentials.concat(),
    );
    let path = folder.join("control.yaml");
    fs::write(&path, settings)?;
    Process::start("cactuslatch-control", &[&path])
}

fn start_entry(
    folder: &Path,
    addresses: &AddressBlock,
    options: &SiteOptions,
    number: u8,
) -> eyre::Result<Process> {
    let host = FIRST_ENTRY + number;
    let peers: Vec<String> = (0..options.entry_hosts)
        .map(|n| format!("\"{}\"", addresses.peer(FIRST_ENTRY + n)))
        .collect();
    let settings = format!(
        "kind: entry\nhost: entry-{number}\ndata_centre: {DATA_CENTRE}\n\
         caller_address: {}\npeer_address: {}\nadmin_address: {}\ncontrol_address: {}\n\
         local_entry_hosts: {}\ndata_centres:\n  - name: {DATA_CENTRE}\n    \
         entry_addresses: [{}]\n{}",
        addresses.work(host),
        addresses.peer(host),
        addresses.admin(host),
        if options.count_traffic {
            control_proxy(addresses, number)
        } else {
            addresses.peer(CONTROL)
        },
        options.entry_hosts,
        peers.join(", "),
        options.extra_entry_settings,
    );
    let path = folder.join(format!("entry-{number}.yaml"));
    fs::write(&path, settings)?;
    Process::start("cactuslatch-entry", &[&path])
}

/// Returns a document of a service with one organisation whose limits allow any load.
pub(crate) fn document(service: &str, organisation: &str, batch_queue_max: u32) -> String {
    format!(
        "kind: service\nservice: {service}\norganisations:\n  - name: {organisation}\n    \
         concurrency_max: 65536\n    requests_per_s: 1000000\n    \
         guaranteed_blocks: []\ninteractive_queue_max: 65536\n\
         interactive_wait_max_ms: 60000\nbatch_wait_max_ms: 60000\n\
         batch_queue_max: {batch_queue_max}\ncompletion_weight: 1.0\n\
         fragmentation_weight: 0.2\n"
    )
}

/// Changes a service document and returns the HTTP status of the answer.
pub(crate) fn change_document(
    client: &Client,
    service: &str,
    base_version: u64,
    text: &str,
) -> eyre::Result<u16> {
    let authorization = format!("Bearer {SECRET}");
    let headers = [("Authorization", authorization.as_str())];
    let body = json!({ "base_version": base_version, "operation": format!("change-{base_version}"), "body_yaml": text });
    let path = format!("/v1/documents/{service}");
    let reply = client.send("PUT", &path, &headers, &body.to_string())?;
    Ok(reply.status)
}

fn put_document(client: &Client, batch_queue_max: u32) -> eyre::Result<()> {
    let text = document("plan", ORGANISATION, batch_queue_max);
    wait_until("accept the document", || {
        change_document(client, "plan", 0, &text).is_ok_and(|status| status == 200)
    })
}

fn wait_until_serving(client: &Client) -> eyre::Result<()> {
    let headers = [("Cactuslatch-Organisation", ORGANISATION), ("Cactuslatch-Idempotent", "true")];
    wait_until("serve a request", || {
        let reply = client.send("POST", "/v1/services/plan/requests", &headers, "{}");
        reply.is_ok_and(|reply| reply.status == 200)
    })
}

/// Repeats `check` until it returns true.
///
/// # Errors
/// Returns an error that names `step` after [`STEP_TIMEOUT`].
pub(crate) fn wait_until(step: &str, mut check: impl FnMut() -> bool) -> eyre::Result<()> {
    let started = Instant::now();
    while !check() {
        if started.elapsed() > STEP_TIMEOUT {
            return Err(eyre!("{step}: timed out after {} s", STEP_TIMEOUT.as_secs()));
        }
        std::thread::sleep(CHECK_INTERVAL);
    }
    Ok(())
}
