//! Control processes, entry hosts and stand-ins of an installation, started in one process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use smallvec::SmallVec;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::{AddressBlock, Client};
use crate::config::{
    ControlSettings, DataCentrePeers, EntrySettings, Limits, TeamCredential, Timeouts,
};
use crate::error::StepError;
use crate::names::{DataCentreName, HostName, ServiceName};
use crate::standin::{self, RunningStandin, StandinSettings};
use crate::{control, entry};

/// Service that the stand-ins run.
pub const SERVICE: &str = "plan";
/// Secret of the team that owns the service's document.
pub const TEAM_SECRET: &str = "local-team-secret";

/// Number of upstreams in one rack.
const RACK_SIZE: u32 = 8;
/// First host number of the stand-ins, within the host numbers of a data centre.
const FIRST_STANDIN_NUMBER: u8 = 8;
/// Size of the range of host numbers of one data centre.
const HOSTS_PER_DATA_CENTRE: u8 = 64;
/// Time from the start until control lends slots: a share lease, 2% for clock drift, and margins.
const LENDING_DELAY: Duration = Duration::from_millis(3_500);
/// Host number of the control process, within the host numbers of a data centre.
const CONTROL_NUMBER: u8 = 0;

/// Name and size of one data centre.
#[derive(Debug, Clone)]
pub struct LocalDataCentre {
    /// Name of the data centre.
    pub name: DataCentreName,
    /// Number of entry hosts, 1 to 7.
    pub entry_hosts: u8,
    /// Number of stand-ins, up to 48.
    pub upstreams: u8,
}

/// Settings of an installation.
#[derive(Debug, Clone)]
pub struct LocalSettings {
    /// Data centres, up to 3.
    pub data_centres: Vec<LocalDataCentre>,
    /// Folder in which each control process gets its data folder.
    pub folder: PathBuf,
    /// Time limits of the entry hosts.
    pub timeouts: Timeouts,
    /// Limits of the entry hosts.
    pub limits: Limits,
}

/// A running installation.
#[derive(Debug)]
pub struct LocalCluster {
    settings: LocalSettings,
    addresses: AddressBlock,
    controls: Vec<Option<Control>>,
    entries: Vec<Vec<Option<entry::RunningEntry>>>,
    standins: Vec<Vec<Option<RunningStandin>>>,
    started_at: Instant,
}

#[derive(Debug)]
struct Control {
    stop: watch::Sender<bool>,
    task: JoinHandle<Result<(), StepError>>,
}

impl LocalCluster {
    /// Starts all processes of the installation.
    ///
    /// # Errors
    /// Returns an error if a port cannot be bound.
    pub async fn start(settings: LocalSettings) -> Result<Self, StepError> {
        Self::start_adjusted(settings, |_| {}).await
    }

    /// Starts all processes, with the settings of each entry host changed by `adjust`.
    ///
    /// # Errors
    /// Returns an error if a port cannot be bound.
    pub async fn start_adjusted(
        settings: LocalSettings,
        mut adjust: impl FnMut(&mut EntrySettings),
    ) -> Result<Self, StepError> {
        let mut cluster = Self {
            addresses: AddressBlock::take()?,
            controls: Vec::new(),
            entries: Vec::new(),
            standins: Vec::new(),
            started_at: Instant::now(),
            settings,
        };
        for centre in 0..cluster.settings.data_centres.len() {
            let control = cluster.start_control(centre);
            cluster.controls.push(Some(control));
        }
        for centre in 0..cluster.settings.data_centres.len() {
            cluster.start_hosts(centre, &mut adjust).await?;
        }
        Ok(cluster)
    }

    async fn start_hosts(
        &mut self,
        centre: usize,
        adjust: &mut impl FnMut(&mut EntrySettings),
    ) -> Result<(), StepError> {
        let data_centre = self.settings.data_centres[centre].clone();
        let mut entries = Vec::new();
        for number in 0..data_centre.entry_hosts {
            let mut settings = self.entry_settings(centre, number);
            adjust(&mut settings);
            entries.push(Some(entry::start(settings).await?));
        }
        self.entries.push(entries);
        let mut standins = Vec::new();
        for number in 0..data_centre.upstreams {
            standins.push(Some(standin::start(self.standin_settings(centre, number)).await?));
        }
        self.standins.push(standins);
        Ok(())
    }

    fn start_control(&self, centre: usize) -> Control {
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(control::run(self.control_settings(centre), stopped));
        Control { stop, task }
    }

    /// Waits until control lends slots, which is after all shares of an earlier start have expired.
    pub async fn wait_for_lending(&self) {
        tokio::time::sleep_until(self.started_at + LENDING_DELAY).await;
    }

    /// Returns a client of an entry host.
    #[must_use]
    pub fn client(&self, centre: usize, number: u8) -> Client {
        Client::new(self.caller_address(centre, number))
    }

    /// Returns the address at which an entry host takes requests.
    #[must_use]
    pub fn caller_address(&self, centre: usize, number: u8) -> SocketAddr {
        self.addresses.work(entry_number(centre, number))
    }

    /// Returns the admin address of an entry host.
    #[must_use]
    pub fn admin_address(&self, centre: usize, number: u8) -> SocketAddr {
        self.addresses.admin(entry_number(centre, number))
    }

    /// Returns a stand-in, or `None` if it does not exist or has left.
    #[must_use]
    pub fn standin(&self, centre: usize, number: u8) -> Option<&RunningStandin> {
        self.standins.get(centre)?.get(usize::from(number))?.as_ref()
    }

    /// Makes a stand-in leave and waits until it has finished its work.
    pub async fn leave(&mut self, centre: usize, number: u8) {
        if let Some(standin) = self.standins[centre][usize::from(number)].take() {
            standin.leave().await;
        }
    }

    /// Drains an entry host and waits until it has ended.
    pub async fn drain(&mut self, centre: usize, number: u8) {
        if let Some(running) = self.entries[centre][usize::from(number)].take() {
            running.drain_handle().start();
            running.ended().await;
        }
    }

    /// Takes an entry host out of the installation; the caller must drain it.
    #[must_use]
    pub fn take_entry(&mut self, centre: usize, number: u8) -> Option<entry::RunningEntry> {
        self.entries.get_mut(centre)?.get_mut(usize::from(number))?.take()
    }

    /// Stops the control process of a data centre.
    ///
    /// # Errors
    /// Returns the error with which it ended.
    pub async fn stop_control(&mut self, centre: usize) -> Result<(), StepError> {
        let Some(control) = self.controls[centre].take() else { return Ok(()) };
        control.stop.send_replace(true);
        control.task.await.map_err(|error| StepError::new("stop control", "control", error))?
    }

    /// Restarts the control process of a data centre on its data folder.
    pub fn restart_control(&mut self, centre: usize) {
        let control = self.start_control(centre);
        self.controls[centre] = Some(control);
    }

    /// Stops everything: first the entry hosts, then the rest.
    pub async fn stop(mut self) {
        for centre in 0..self.entries.len() {
            for running in self.entries[centre].iter_mut().filter_map(Option::take) {
                running.drain_handle().start();
                running.ended().await;
            }
        }
        for standin in self.standins.into_iter().flatten().flatten() {
            standin.leave().await;
        }
        for control in self.controls.into_iter().flatten() {
            control.stop.send_replace(true);
            _ = tokio::time::timeout(Duration::from_secs(5), control.task).await;
        }
    }

    fn control_settings(&self, centre: usize) -> ControlSettings {
        let data_centre = &self.settings.data_centres[centre];
        let number = host_number(centre, CONTROL_NUMBER);
        ControlSettings {
            host: host_name(&data_centre.name, "control", 0),
            data_centre: data_centre.name.clone(),
            rpc_address: self.addresses.peer(number),
            admin_address: self.addresses.admin(number),
            data_folder: self.data_folder(centre),
            entry_hosts: (0..data_centre.entry_hosts)
                .map(|number| host_name(&data_centre.name, "entry", number))
                .collect(),
            document_writer: (centre > 0)
                .then(|| self.addresses.peer(host_number(0, CONTROL_NUMBER))),
            upstream_lease_ms: self.settings.timeouts.upstream_lease_ms,
            share_lease_ms: 3_000,
            credentials: vec![TeamCredential { service: service(), secret: TEAM_SECRET.into() }],
        }
    }

    fn data_folder(&self, centre: usize) -> PathBuf {
        let name = &self.settings.data_centres[centre].name;
        Path::new(&self.settings.folder).join(name.as_str())
    }

    fn entry_settings(&self, centre: usize, number: u8) -> EntrySettings {
        let data_centre = &self.settings.data_centres[centre];
        let host = entry_number(centre, number);
        EntrySettings {
            host: host_name(&data_centre.name, "entry", number),
            data_centre: data_centre.name.clone(),
            caller_address: self.addresses.work(host),
            peer_address: self.addresses.peer(host),
            admin_address: self.addresses.admin(host),
            control_address: self.addresses.peer(host_number(centre, CONTROL_NUMBER)),
            local_entry_hosts: data_centre.entry_hosts.into(),
            data_centres: self.peers(),
            timeouts: self.settings.timeouts.clone(),
            limits: self.settings.limits.clone(),
        }
    }

    fn peers(&self) -> Vec<DataCentrePeers> {
        let peers = |(centre, data_centre): (usize, &LocalDataCentre)| {
            let addresses: SmallVec<[SocketAddr; 4]> = (0..data_centre.entry_hosts)
                .map(|number| self.addresses.peer(entry_number(centre, number)))
                .collect();
            DataCentrePeers { name: data_centre.name.clone(), entry_addresses: addresses }
        };
        self.settings.data_centres.iter().enumerate().map(peers).collect()
    }

    /// Returns the settings with which a stand-in of this installation is started.
    ///
    /// # Panics
    /// Never: the names are valid.
    #[must_use]
    pub fn standin_settings(&self, centre: usize, number: u8) -> StandinSettings {
        let data_centre = &self.settings.data_centres[centre];
        let index = u32::from(number);
        let entry_hosts = (0..data_centre.entry_hosts)
            .map(|number| self.caller_address(centre, number))
            .collect();
        StandinSettings {
            name: format!("{}-worker-{number}", data_centre.name).parse().expect("a valid name"),
            incarnation: 1,
            address: self.addresses.work(host_number(centre, FIRST_STANDIN_NUMBER + number)),
            advertised: None,
            services: vec![service()],
            rack: format!("{}-rack-{}", data_centre.name, index / RACK_SIZE)
                .parse()
                .expect("valid"),
            rack_position: index % RACK_SIZE,
            accelerators: 8,
            slots: 8,
            connections: 64,
            entry_hosts,
        }
    }
}

fn service() -> ServiceName {
    SERVICE.parse().expect("a valid name")
}

fn host_name(centre: &DataCentreName, role: &str, number: u8) -> HostName {
    format!("{centre}-{role}-{number}").parse().expect("a valid name")
}

fn host_number(centre: usize, number: u8) -> u8 {
    u8::try_from(centre).expect("at most 3 data centres") * HOSTS_PER_DATA_CENTRE + number
}

fn entry_number(centre: usize, number: u8) -> u8 {
    host_number(centre, CONTROL_NUMBER + 1 + number)
}
