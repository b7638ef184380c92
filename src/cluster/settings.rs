//! Settings of a control host.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use crate::placement::Feeds;

/// Limits and factors of jobs and of their tasks on upstreams.
#[derive(Debug, Clone, Copy)]
pub struct TaskBounds {
    /// Longest lease that upstreams grant.
    pub lease_max_ms: u64,
    /// Longest time that an upstream takes to stop a task.
    pub stop_timeout_ms: u64,
    /// Slowdown factor of work that is far from its data or spans racks.
    pub remote_factor: u64,
    /// Time for which an order of a former leader blocks maintenance orders of a new one.
    pub order_lease_ms: u64,
    /// Time that the maintenance of a physical host takes.
    pub maintenance_ms: u64,
    /// Time for which the state of an ended job is kept.
    pub keep_state_ms: u64,
    /// Memory that the process may take.
    pub memory_mb: u64,
}

/// One part in this many of the process's memory is for jobs. A host that installs a snapshot holds
/// its former state, the encoded and the new one at the same time.
const JOBS_MEMORY_PARTS: u64 = 4;

impl TaskBounds {
    /// Returns the memory that all jobs together may take.
    pub(crate) const fn jobs_max_bytes(&self) -> u64 {
        self.memory_mb * 1024 * 1024 / JOBS_MEMORY_PARTS
    }
}

/// Settings of a control host.
#[expect(clippy::struct_excessive_bools, reason = "independent settings")]
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// Name of the host, for logs.
    pub host: String,
    /// Address of this host's listener for other hosts of the system.
    pub internal_address: SocketAddr,
    /// Internal addresses of some control hosts; only hints once the host knows the members.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of a new installation.
    pub founding: bool,
    /// Folder of the journal.
    pub data_dir: PathBuf,
    /// Largest number of control hosts that may be lost at the same time, with their disks.
    pub losses_max: usize,
    /// Limits and factors of jobs and of their tasks on upstreams.
    pub bounds: TaskBounds,
    /// Data centres of the installation, as far as its settings name them.
    pub data_centres: BTreeSet<Arc<str>>,
    /// Whether learned run times replace callers' estimates in decisions.
    pub learned_run_times: bool,
    /// Whether learned speeds, slow spells and noisy neighbours decide where work runs.
    pub learned_places: bool,
    /// Whether stops for urgent work without a guarantee are weighed against what they cost.
    pub weighs_stops: bool,
}

impl ClusterSettings {
    /// Returns the decisions that use learned figures.
    pub(crate) const fn learned_feeds(&self) -> Feeds {
        Feeds {
            run_times: self.learned_run_times,
            time_left: self.learned_run_times,
            spells: self.learned_places,
            speeds: self.learned_places,
            interference: self.learned_places,
        }
    }
}
