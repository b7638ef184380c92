//! Control hosts, and stand-ins that run tasks, on loopback in one process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use super::addresses::AddressBlock;
use super::client::Client;
use crate::error::StepError;
use crate::standin::tasks::{self, RunningTaskStandin, TaskStandinSettings};
use crate::task_api::{RunningControl, TaskControlSettings};
use crate::tasks::TaskId;

/// API key of the organisation in `examples/steps/queues.yaml`.
pub const EXAMPLE_API_KEY: &str = "example-key-of-plovdiv";

/// Host number of the first stand-in within the block of addresses.
const FIRST_STANDIN_HOST: u8 = 100;

/// Number of accelerators of a stand-in.
const ACCELERATORS: u32 = 8;

/// Number of data centres over which the stand-ins are spread.
const DATA_CENTRES: u8 = 2;

/// Longest lease of a stand-in; tasks of a lost stand-in start elsewhere after this time.
const LEASE_MAX_MS: u64 = 2_000;

/// A running installation of control hosts and of stand-ins that run tasks.
#[derive(Debug)]
pub struct LocalTasks {
    addresses: AddressBlock,
    folder: PathBuf,
    controls: Vec<Option<RunningControl>>,
    standins: Vec<Option<RunningTaskStandin>>,
}

impl LocalTasks {
    /// Starts control hosts, and stand-ins in a single rack and, in turn, in data centres `dc-0` and `dc-1`.
    ///
    /// # Errors
    /// Returns an error if an address or the folder cannot be used.
    pub async fn start(folder: &Path, controls: u8, standins: u8) -> Result<Self, StepError> {
        let mut local = Self {
            addresses: AddressBlock::take()?,
            folder: folder.to_owned(),
            controls: (0..controls).map(|_| None).collect(),
            standins: Vec::new(),
        };
        for host in 0..controls {
            local.start_control(host, true).await?;
        }
        for number in 0..standins {
            let standin = tasks::start(local.standin_settings(number)).await?;
            local.standins.push(Some(standin));
        }
        Ok(local)
    }

    /// Starts a control host that is not running.
    ///
    /// `founding` is true only at the very first start of the installation.
    ///
    /// # Errors
    /// Returns an error if an address or the folder cannot be used.
    pub async fn start_control(&mut self, host: u8, founding: bool) -> Result<(), StepError> {
        let settings = self.control_settings(host, founding)?;
        let running = RunningControl::start(settings).await?;
        self.controls[usize::from(host)] = Some(running);
        Ok(())
    }

    fn control_settings(&self, host: u8, founding: bool) -> Result<TaskControlSettings, StepError> {
        let name = format!("control-{host}");
        let invalid_name = |error| StepError::new("name a control host", &name, error);
        let hosts = 0_u8..;
        Ok(TaskControlSettings {
            host: name.parse().map_err(invalid_name)?,
            address: self.addresses.work(host),
            internal_address: self.addresses.peer(host),
            seeds: hosts.take(self.controls.len()).map(|host| self.addresses.peer(host)).collect(),
            founding,
            data_folder: self.folder.join(&name),
            losses_max: 1,
            lease_max_ms: LEASE_MAX_MS,
            stop_timeout_ms: 500,
            keep_state_ms: 60_000,
            memory_mb: 256,
            data_centres: Vec::new(),
            learned_run_times: false,
            learned_places: false,
            weighs_stops: false,
        })
    }

    fn standin_settings(&self, number: u8) -> TaskStandinSettings {
        TaskStandinSettings {
            name: format!("standin-{number}").parse().expect("a valid name"),
            address: self.addresses.work(FIRST_STANDIN_HOST + number),
            service: "plan".parse().expect("a valid name"),
            rack: "rack-1".parse().expect("a valid name"),
            data_centre: format!("dc-{}", number % DATA_CENTRES),
            accelerators: ACCELERATORS,
            control_hosts: self.control_addresses(),
            heartbeat_delay: Duration::ZERO,
        }
    }

    /// Returns the addresses at which the control hosts serve callers.
    #[must_use]
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let hosts = 0_u8..;
        hosts.take(self.controls.len()).map(|host| self.addresses.work(host)).collect()
    }

    /// Returns a client of the first control host that runs.
    ///
    /// # Panics
    /// Panics if no control host runs.
    #[must_use]
    pub fn client(&self) -> Client {
        let mut running = self.controls.iter().flatten();
        Client::new(running.next().expect("a control host runs").address())
    }

    /// Returns the number of the leading control host, if there is one.
    #[must_use]
    pub fn leader(&self) -> Option<u8> {
        let leads = |control: &Option<RunningControl>| {
            control.as_ref().is_some_and(RunningControl::is_leading)
        };
        let index = self.controls.iter().position(leads)?;
        u8::try_from(index).ok()
    }

    /// Kills a control host.
    pub async fn kill_control(&mut self, host: u8) {
        if let Some(control) = self.controls[usize::from(host)].take() {
            control.kill().await;
        }
    }

    /// Kills a stand-in and the tasks it runs.
    pub fn kill_standin(&mut self, number: u8) {
        if let Some(standin) = self.standins[usize::from(number)].take() {
            standin.kill();
        }
    }

    /// Starts a killed stand-in again under its name and address. Its first heartbeat is delayed, so
    /// that control does not know of the restart at once.
    ///
    /// # Errors
    /// Returns an error if its address cannot be listened on.
    pub async fn restart_standin(
        &mut self,
        number: u8,
        heartbeat_delay: Duration,
    ) -> Result<(), StepError> {
        let settings = TaskStandinSettings { heartbeat_delay, ..self.standin_settings(number) };
        self.standins[usize::from(number)] = Some(tasks::start(settings).await?);
        Ok(())
    }

    /// Returns the tasks that run on each stand-in; a task that runs twice is listed twice.
    #[must_use]
    pub fn running(&self) -> Vec<TaskId> {
        self.standins.iter().flatten().flat_map(RunningTaskStandin::running).collect()
    }

    /// Returns how many tasks have started on one stand-in since its start.
    #[must_use]
    pub fn started_on(&self, number: u8) -> u32 {
        let standin = self.standins.get(usize::from(number)).and_then(Option::as_ref);
        standin.map_or(0, RunningTaskStandin::started)
    }

    /// Returns how many tasks have started on the stand-ins that run.
    #[must_use]
    pub fn started(&self) -> u32 {
        self.standins.iter().flatten().map(RunningTaskStandin::started).sum()
    }

    /// Returns the largest number of tasks that ran on a running stand-in at the same time.
    #[must_use]
    pub fn running_peak(&self, number: u8) -> usize {
        let standin = self.standins.get(usize::from(number)).and_then(Option::as_ref);
        standin.map_or(0, RunningTaskStandin::running_peak)
    }

    /// Stops everything: first the stand-ins, then the control hosts.
    pub async fn stop(self) {
        for standin in self.standins.into_iter().flatten() {
            standin.leave().await;
        }
        for control in self.controls.into_iter().flatten() {
            control.stop().await;
        }
    }
}
