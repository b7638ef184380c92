//! Settings of a control host and of what it promises.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Bounds of the upstreams' task interface.
#[derive(Debug, Clone, Copy)]
pub struct TaskBounds {
    /// Longest lease that upstreams grant.
    pub lease_max_ms: u64,
    /// Longest time that a stop takes.
    pub stop_timeout_ms: u64,
    /// Factor by which work takes longer far from its data or across racks.
    pub remote_factor: u64,
    /// Time for which no other leader orders the maintenance of a physical host after this one.
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
    /// Own listener for other hosts of the system.
    pub internal: SocketAddr,
    /// Listeners of some control hosts; hints only, once the host knows the members.
    pub seeds: Vec<SocketAddr>,
    /// True at the very first start of the whole installation.
    pub founding: bool,
    /// Folder of the journal.
    pub data_dir: PathBuf,
    /// Bounds of the upstreams' task interface.
    pub bounds: TaskBounds,
}
