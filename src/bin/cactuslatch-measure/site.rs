//! One data centre to measure: control and entry hosts as processes, stand-ins in this process.

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

/// Data centre of the site.
pub(crate) const DATA_CENTRE: &str = "north";
/// Organisation whose limits allow any load.
pub(crate) const ORGANISATION: &str = "plovdiv";

const SECRET: &str = "team-secret-for-measurements";
const CONTROL: u8 = 0;
const FIRST_ENTRY: u8 = 1;
const FIRST_STANDIN: u8 = 9;
/// Upstreams in one rack.
const RACK_SIZE: u32 = 8;
/// Time after its start at which control lends slots beyond the base shares.
const LENDING_AFTER: Duration = Duration::from_millis(3_500);
/// Time for the site to serve its first request.
const START_LIMIT: Duration = Duration::from_secs(20);

/// What to start.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    /// Folder in which the site's own folder is made; it decides which disk is measured.
    pub(crate) folder: PathBuf,
    pub(crate) entry_hosts: u8,
    pub(crate) upstreams: u8,
    /// Further keys of the entry hosts' settings.
    pub(crate) entry_keys: String,
    /// Most batch requests that wait.
    pub(crate) batch_queue_max: u32,
}

/// A running data centre.
#[derive(Debug)]
pub(crate) struct Site {
    pub(crate) folder: TempDir,
    addresses: AddressBlock,
    plan: Plan,
    control: Process,
    entries: Vec<Process>,
    standins: Vec<RunningStandin>,
}

/// A child process that ends with its owner.
#[derive(Debug)]
pub(crate) struct Process(Child);

impl Process {
    /// Starts a daemon that was built into the folder of this program.
    pub(crate) fn start(program: &str, arguments: &[&Path]) -> eyre::Result<Self> {
        let own = std::env::current_exe()?;
        let path = own.with_file_name(program);
        let logs =
            if std::env::var_os("SHOW_LOGS").is_some() { Stdio::inherit() } else { Stdio::null() };
        let child = Command::new(&path).args(arguments).stderr(logs).spawn();
        Ok(Self(child.wrap_err_with(|| format!("start {program} beside this program"))?))
    }

    pub(crate) fn id(&self) -> u32 {
        self.0.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        _ = self.0.kill();
        _ = self.0.wait();
    }
}

impl Site {
    /// Starts all processes and waits until requests are served and slots are lent.
    pub(crate) async fn start(plan: Plan) -> eyre::Result<Self> {
        let started = Instant::now();
        let folder = tempfile::Builder::new().prefix("measure-").tempdir_in(&plan.folder)?;
        let addresses = AddressBlock::take()?;
        let control = start_control(folder.path(), &addresses, &plan)?;
        let entries = (0..plan.entry_hosts)
            .map(|number| start_entry(folder.path(), &addresses, &plan, number))
            .collect::<eyre::Result<_>>()?;
        let mut site = Self { folder, addresses, control, entries, standins: Vec::new(), plan };
        for number in 0..site.plan.upstreams {
            let settings = site.standin_settings(number)?;
            site.standins.push(standin::start(settings).await?);
        }
        let (client, queue) = (site.client(0), site.plan.batch_queue_max);
        tokio::task::spawn_blocking(move || put_document(&client, queue)).await??;
        for number in 0..site.plan.entry_hosts {
            let client = site.client(number);
            tokio::task::spawn_blocking(move || wait_until_serving(&client)).await??;
        }
        tokio::time::sleep(LENDING_AFTER.saturating_sub(started.elapsed())).await;
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

    pub(crate) fn control(&self) -> &Process {
        &self.control
    }

    pub(crate) fn entries(&self) -> &[Process] {
        &self.entries
    }

    fn standin_settings(&self, number: u8) -> eyre::Result<StandinSettings> {
        let place = u32::from(number);
        Ok(StandinSettings {
            name: format!("worker-{number}").parse()?,
            incarnation: 1,
            address: self.addresses.work(FIRST_STANDIN + number),
            advertised: None,
            services: vec!["plan".parse()?],
            rack: format!("rack-{}", place / RACK_SIZE).parse()?,
            rack_position: place % RACK_SIZE,
            accelerators: 8,
            slots: 8,
            connections: 64,
            entry_hosts: (0..self.plan.entry_hosts).map(|n| self.caller_address(n)).collect(),
        })
    }
}

fn start_control(folder: &Path, addresses: &AddressBlock, plan: &Plan) -> eyre::Result<Process> {
    let hosts: Vec<String> = (0..plan.entry_hosts).map(|n| format!("entry-{n}")).collect();
    let settings = format!(
        "kind: control\nhost: control-0\ndata_centre: {DATA_CENTRE}\nrpc_address: {}\n\
         admin_address: {}\ndata_folder: {}\nentry_hosts: [{}]\n\
         credentials:\n  - service: plan\n    secret: {SECRET}\n",
        addresses.peer(CONTROL),
        addresses.admin(CONTROL),
        folder.join("data").display(),
        hosts.join(", "),
    );
    let path = folder.join("control.yaml");
    fs::write(&path, settings)?;
    Process::start("cactuslatch-control", &[&path])
}

fn start_entry(
    folder: &Path,
    addresses: &AddressBlock,
    plan: &Plan,
    number: u8,
) -> eyre::Result<Process> {
    let host = FIRST_ENTRY + number;
    let peers: Vec<String> =
        (0..plan.entry_hosts).map(|n| format!("\"{}\"", addresses.peer(FIRST_ENTRY + n))).collect();
    let settings = format!(
        "kind: entry\nhost: entry-{number}\ndata_centre: {DATA_CENTRE}\n\
         caller_address: {}\npeer_address: {}\nadmin_address: {}\ncontrol_address: {}\n\
         local_entry_hosts: {}\ndata_centres:\n  - name: {DATA_CENTRE}\n    \
         entry_addresses: [{}]\n{}",
        addresses.work(host),
        addresses.peer(host),
        addresses.admin(host),
        addresses.peer(CONTROL),
        plan.entry_hosts,
        peers.join(", "),
        plan.entry_keys,
    );
    let path = folder.join(format!("entry-{number}.yaml"));
    fs::write(&path, settings)?;
    Process::start("cactuslatch-entry", &[&path])
}

/// Returns a document whose limits allow any load.
pub(crate) fn document(batch_queue_max: u32, requests_per_s: u32) -> String {
    format!(
        "kind: service\nservice: plan\norganisations:\n  - name: {ORGANISATION}\n    \
         concurrency_max: 65536\n    requests_per_s: {requests_per_s}\n    \
         guaranteed_blocks: []\nbatch_queue_max: {batch_queue_max}\ncompletion_weight: 1.0\n\
         fragmentation_weight: 0.2\n"
    )
}

/// Changes the service document; returns the status of the answer.
pub(crate) fn change_document(client: &Client, base: u64, text: &str) -> eyre::Result<u16> {
    let authorization = format!("Bearer {SECRET}");
    let headers = [("Authorization", authorization.as_str())];
    let body =
        json!({ "base_version": base, "operation": format!("change-{base}"), "body_yaml": text });
    let reply = client.send("PUT", "/v1/documents/plan", &headers, &body.to_string())?;
    Ok(reply.status)
}

fn put_document(client: &Client, batch_queue_max: u32) -> eyre::Result<()> {
    let text = document(batch_queue_max, 1_000_000);
    wait_until("accept the document", || {
        change_document(client, 0, &text).is_ok_and(|status| status == 200)
    })
}

fn wait_until_serving(client: &Client) -> eyre::Result<()> {
    let headers = [("Cactuslatch-Organisation", ORGANISATION), ("Cactuslatch-Idempotent", "true")];
    wait_until("serve a request", || {
        let reply = client.send("POST", "/v1/services/plan/requests", &headers, "{}");
        reply.is_ok_and(|reply| reply.status == 200)
    })
}

/// Repeats a check until it holds.
pub(crate) fn wait_until(step: &str, mut check: impl FnMut() -> bool) -> eyre::Result<()> {
    let started = Instant::now();
    while !check() {
        if started.elapsed() > START_LIMIT {
            return Err(eyre!("{step}: not seen within {} s", START_LIMIT.as_secs()));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
