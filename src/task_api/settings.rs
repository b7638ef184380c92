//! Settings of a control host, in YAML.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use super::documents;
use crate::cluster::{ClusterSettings, TaskBounds};
use crate::names::HostName;

/// Defaults of optional settings.
const DEFAULT_LOSSES_MAX: usize = 1;
const DEFAULT_LEASE_MAX_MS: u64 = 10_000;
const DEFAULT_STOP_TIMEOUT_MS: u64 = 1_000;
const DEFAULT_KEEP_STATE_MS: u64 = 3_600_000;
const DEFAULT_MEMORY_MB: u64 = 256;

/// Least memory with which a control host can work.
const MEMORY_MIN_MB: u64 = 64;

/// Slowdown factor of work that is far from its data, which placement uses to rank hosts.
const REMOTE_FACTOR: u64 = 3;

/// Settings of a control host.
#[expect(clippy::struct_excessive_bools, reason = "independent settings")]
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskControlSettings {
    /// Name of the host, for logs.
    pub host: HostName,
    /// Listener for callers, operators and upstreams.
    pub address: SocketAddr,
    /// Listener for the other control hosts.
    pub internal_address: SocketAddr,
    /// Internal addresses of the founding control hosts; later only hints.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of a new installation.
    #[serde(default)]
    pub founding: bool,
    /// Folder of the journal.
    pub data_folder: PathBuf,
    /// Largest number of control hosts that may be lost at the same time, with their disks.
    #[serde(default = "losses_max")]
    pub losses_max: usize,
    /// Longest lease that the upstreams grant.
    #[serde(default = "lease_max_ms")]
    pub lease_max_ms: u64,
    /// Longest time that an upstream takes to stop a task.
    #[serde(default = "stop_timeout_ms")]
    pub stop_timeout_ms: u64,
    /// Time for which the state of an ended job is kept.
    #[serde(default = "keep_state_ms")]
    pub keep_state_ms: u64,
    /// Memory that the process may take; jobs get a part of it.
    #[serde(default = "memory_mb")]
    pub memory_mb: u64,
    /// Data centres of the installation, which may be evacuated also while no upstream there is registered.
    #[serde(default)]
    pub data_centres: Vec<String>,
    /// Whether learned run times replace callers' estimates in decisions.
    #[serde(default)]
    pub learned_run_times: bool,
    /// Whether learned speeds, slow spells and noisy neighbours decide where work runs.
    #[serde(default)]
    pub learned_places: bool,
    /// Whether stops for urgent work without a guarantee are weighed against what they cost.
    #[serde(default)]
    pub weighs_stops: bool,
}

fn losses_max() -> usize {
    DEFAULT_LOSSES_MAX
}

fn lease_max_ms() -> u64 {
    DEFAULT_LEASE_MAX_MS
}

fn stop_timeout_ms() -> u64 {
    DEFAULT_STOP_TIMEOUT_MS
}

fn keep_state_ms() -> u64 {
    DEFAULT_KEEP_STATE_MS
}

fn memory_mb() -> u64 {
    DEFAULT_MEMORY_MB
}

/// Reason why a settings file is invalid.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum InvalidSettings {
    /// The file cannot be read.
    #[display("cannot read {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// The file is no YAML, has unknown or missing keys, or contradicts itself.
    #[display("{}: {reason}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Error message.
        reason: String,
    },
}

impl TaskControlSettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, has unknown keys, or contradicts itself.
    pub fn read(path: &Path) -> Result<Self, InvalidSettings> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| InvalidSettings::Unreadable { path: path.to_owned(), source })?;
        let malformed =
            |reason: String| InvalidSettings::Malformed { path: path.to_owned(), reason };
        let settings: Self =
            documents::parse(&text).map_err(|fault| malformed(fault.to_string()))?;
        settings.check().map_err(|reason| malformed(reason.to_owned()))?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), &'static str> {
        if self.address == self.internal_address {
            return Err("address and internal_address must differ");
        }
        if self.seeds.is_empty() {
            return Err("seeds must name at least one control host");
        }
        if self.losses_max == 0 {
            return Err("losses_max must be greater than 0");
        }
        if self.lease_max_ms == 0 || self.stop_timeout_ms == 0 {
            return Err("lease_max_ms and stop_timeout_ms must be greater than 0");
        }
        if self.memory_mb < MEMORY_MIN_MB {
            return Err("memory_mb must be 64 or more");
        }
        Ok(())
    }

    pub(super) fn cluster_settings(&self) -> ClusterSettings {
        ClusterSettings {
            host: self.host.to_string(),
            internal_address: self.internal_address,
            seeds: self.seeds.clone(),
            founding: self.founding,
            data_dir: self.data_folder.clone(),
            losses_max: self.losses_max,
            bounds: TaskBounds {
                lease_max_ms: self.lease_max_ms,
                stop_timeout_ms: self.stop_timeout_ms,
                remote_factor: REMOTE_FACTOR,
                order_lease_ms: self.lease_max_ms,
                maintenance_ms: 0,
                keep_state_ms: self.keep_state_ms,
                memory_mb: self.memory_mb,
            },
            data_centres: self.data_centres.iter().map(|name| name.as_str().into()).collect(),
            learned_run_times: self.learned_run_times,
            learned_places: self.learned_places,
            weighs_stops: self.weighs_stops,
        }
    }
}
