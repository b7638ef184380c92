//! Settings of a control host.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Time limits and factors of running tasks on upstreams.
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
}

/// Settings of a control host.
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
    /// Time limits and factors of running tasks on upstreams.
    pub bounds: TaskBounds,
}
