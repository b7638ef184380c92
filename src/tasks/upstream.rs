//! Upstreams that run tasks, as recorded in the replicated state.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::spec::Resources;

/// One incarnation of an upstream: a restart begins another one, in which nothing runs yet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct Incarnation {
    pub(crate) id: Arc<str>,
    /// Unix time at which the incarnation began.
    pub(crate) born_unix_ms: u64,
}

/// Periodic report of an upstream on itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Identity; a restarted upstream may keep it.
    pub id: Arc<str>,
    /// Unix time at which this incarnation of the upstream began.
    pub born_unix_ms: u64,
    /// Rises with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address at which it takes orders.
    pub address: Arc<str>,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Physical host behind it, if known.
    pub machine: Option<Arc<str>>,
    /// Whether it takes no new work and will leave.
    pub draining: bool,
    /// Minimum time until a draining upstream leaves.
    pub drain_remaining_ms: u64,
    /// Capacity for tasks.
    pub capacity: Resources,
    /// Labels that tasks may require.
    pub labels: Vec<Arc<str>>,
    /// Rack that it is in.
    pub rack: Arc<str>,
    /// Time for which it is still slow, as after its start.
    #[serde(default)]
    pub cold_remaining_ms: u64,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndKind {
    /// It finished its work.
    Done,
    /// It failed, through a fault of its own or of the upstream.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
    /// Its start was refused, so it never ran.
    NotStarted,
}

/// A registered upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Upstream {
    pub(crate) heartbeat: Heartbeat,
    /// Number of the latest end that is committed.
    pub(crate) ends_seen: u64,
}

impl Upstream {
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: Arc::clone(&self.heartbeat.id),
            born_unix_ms: self.heartbeat.born_unix_ms,
        }
    }

    /// Returns whether a heartbeat is of this incarnation and calls for no change of its record.
    pub(crate) fn is_described_by(&self, heartbeat: &Heartbeat) -> bool {
        let known = &self.heartbeat;
        let is_older = heartbeat.sequence < known.sequence;
        let is_same = known.draining == heartbeat.draining
            && known.address == heartbeat.address
            && known.capacity == heartbeat.capacity
            && known.labels == heartbeat.labels
            && known.service == heartbeat.service
            && known.data_centre == heartbeat.data_centre;
        let is_incarnation =
            known.id == heartbeat.id && known.born_unix_ms == heartbeat.born_unix_ms;
        is_incarnation && (is_older || is_same)
    }
}
