//! Types of settings and service documents.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::names::{DataCentreName, HostName, OrganisationName, ServiceName, ShapeName};

/// Time limits of an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timeouts {
    /// Longest timeout that a caller may request; also the default.
    pub request_timeout_ms: u64,
    /// Time for one attempt at one upstream.
    pub attempt_timeout_ms: u64,
    /// Time for opening a connection to an upstream or peer.
    pub connect_timeout_ms: u64,
    /// Time for a caller to send the request head.
    pub head_timeout_ms: u64,
    /// Time for a caller to send the request body.
    pub body_timeout_ms: u64,
    /// Longest time a request waits for a free slot.
    pub park_budget_ms: u64,
    /// Age at which a connection to an upstream is replaced.
    pub connection_age_ms: u64,
    /// Idle time after which a connection is probed before use.
    pub idle_probe_ms: u64,
    /// Time between failing the health check and closing the listener.
    pub balancer_notice_ms: u64,
    /// Time for requests in flight to finish at shutdown.
    pub drain_timeout_ms: u64,
    /// Time without an announcement after which an upstream gets no new work.
    pub upstream_lease_ms: u64,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            request_timeout_ms: 10_000,
            attempt_timeout_ms: 3_000,
            connect_timeout_ms: 500,
            head_timeout_ms: 5_000,
            body_timeout_ms: 10_000,
            park_budget_ms: 2_000,
            connection_age_ms: 60_000,
            idle_probe_ms: 5_000,
            balancer_notice_ms: 3_000,
            drain_timeout_ms: 15_000,
            upstream_lease_ms: 3_000,
        }
    }
}

/// Resource limits of an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Largest accepted request body.
    pub body_limit_bytes: usize,
    /// Maximum number of open caller connections.
    pub max_connections: usize,
    /// Maximum number of requests that wait for a slot.
    pub park_max: usize,
    /// Allowed retries, in percent of requests.
    pub retry_budget_percent: u32,
    /// Retries allowed per second regardless of the number of requests.
    pub retry_floor_per_s: u32,
    /// While batch requests wait, one in this many dispatches is a batch request.
    pub batch_share_one_in: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_limit_bytes: 1024 * 1024,
            max_connections: 2_048,
            park_max: 1_024,
            retry_budget_percent: 10,
            retry_floor_per_s: 3,
            batch_share_one_in: 8,
        }
    }
}

/// A data centre and the peer addresses of its entry hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DataCentrePeers {
    /// Name of the data centre.
    pub name: DataCentreName,
    /// Peer addresses of its entry hosts.
    pub entry_addresses: SmallVec<[SocketAddr; 4]>,
}

/// Settings of an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// Name of this host.
    pub host: HostName,
    /// Data centre of this host.
    pub data_centre: DataCentreName,
    /// Address for callers, upstreams and operators.
    pub caller_address: SocketAddr,
    /// Address for other entry hosts.
    pub peer_address: SocketAddr,
    /// Address for health and metrics.
    pub admin_address: SocketAddr,
    /// Control process of this data centre.
    pub control_address: SocketAddr,
    /// Number of entry hosts configured in this data centre, this one included.
    pub local_entry_hosts: u32,
    /// All data centres and their entry hosts.
    pub data_centres: Vec<DataCentrePeers>,
    /// Time limits.
    pub timeouts: Timeouts,
    /// Resource limits.
    pub limits: Limits,
}

/// Settings of a control process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlSettings {
    /// Name of this host.
    pub host: HostName,
    /// Data centre that this process controls.
    pub data_centre: DataCentreName,
    /// Address for entry hosts and other control processes.
    pub rpc_address: SocketAddr,
    /// Address for health and metrics.
    pub admin_address: SocketAddr,
    /// Folder for all durable state.
    pub data_folder: PathBuf,
    /// Entry hosts configured in this data centre.
    pub entry_hosts: Vec<HostName>,
    /// Control process that writes documents; this one if absent.
    pub document_writer: Option<SocketAddr>,
    /// Time without an announcement after which an upstream counts as lost.
    pub upstream_lease_ms: u64,
    /// Time for which a lent share of an upstream's limits is valid.
    pub share_lease_ms: u64,
    /// Credentials of the teams, each for one service.
    pub credentials: Vec<TeamCredential>,
}

/// The secret with which a team changes its own document.
#[derive(Clone, PartialEq, Eq)]
pub struct TeamCredential {
    /// Service whose document the team owns.
    pub service: ServiceName,
    /// Secret that the team sends as a bearer token.
    pub secret: String,
}

/// Leaves the secret out, because settings are written to logs.
impl fmt::Debug for TeamCredential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TeamCredential").field("service", &self.service).finish_non_exhaustive()
    }
}

/// Configuration of a service, written by the team that owns it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceDocument {
    /// Service to which the document belongs.
    pub service: ServiceName,
    /// Organisations that may use the service.
    pub organisations: Vec<Organisation>,
    /// Maximum number of interactive requests that wait at one entry host; 0 if they may not wait.
    #[serde(default = "default_queue_max")]
    pub interactive_queue_max: u32,
    /// Longest time an interactive request waits; a host's park budget may be shorter.
    #[serde(default = "default_interactive_wait_max_ms")]
    pub interactive_wait_max_ms: u64,
    /// Maximum number of batch requests that wait at one entry host; 0 if they may not wait.
    pub batch_queue_max: u32,
    /// Longest time a batch request waits; a host's park budget may be shorter.
    #[serde(default = "default_batch_wait_max_ms")]
    pub batch_wait_max_ms: u64,
    /// Weight of completion time in placement decisions.
    pub completion_weight: f64,
    /// Weight of fragmentation in placement decisions.
    pub fragmentation_weight: f64,
    /// Job shapes of the service; a job of another shape is refused.
    #[serde(default)]
    pub job_shapes: Vec<JobShape>,
}

/// Default of `interactive_queue_max`.
pub(crate) const fn default_queue_max() -> u32 {
    256
}

/// Default of `interactive_wait_max_ms`.
pub(crate) const fn default_interactive_wait_max_ms() -> u64 {
    500
}

/// Default of `batch_wait_max_ms`.
pub(crate) const fn default_batch_wait_max_ms() -> u64 {
    2_000
}

/// Size and interruptibility of a kind of job that the service runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobShape {
    /// Name by which jobs refer to the shape.
    pub name: ShapeName,
    /// Adjacent accelerators: 1 to 8, or a multiple of 8 up to 64.
    pub accelerators: u32,
    /// Whether a job may wait for capacity; otherwise it is refused if it cannot start at once.
    pub may_wait: bool,
    /// Whether a running job can write a checkpoint and resume from it later.
    pub can_checkpoint: bool,
    /// Whether a running job may be stopped and restarted from the beginning.
    pub can_stop: bool,
}

impl JobShape {
    /// Returns whether jobs of this shape may run on borrowed capacity, which can be reclaimed.
    #[must_use]
    pub const fn may_borrow(&self) -> bool {
        self.can_checkpoint || self.can_stop
    }
}

/// Limits and guarantees of one organisation within a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Maximum number of requests in flight at one entry host.
    pub concurrency_max: u32,
    /// Requests accepted per second at one entry host.
    pub requests_per_s: u32,
    /// Sizes of the blocks of adjacent accelerators that can always be reclaimed.
    pub guaranteed_blocks: SmallVec<[u32; 4]>,
}
