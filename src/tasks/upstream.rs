//! Upstreams that run tasks, as the replicated state knows them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::spec::Resources;

/// One life of an upstream: a restarted upstream begins another one, with empty hands.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct Life {
    pub(crate) id: Arc<str>,
    /// Unix time at which the life began.
    pub(crate) born_unix_ms: u64,
}

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Identity; a restarted upstream may keep it.
    pub id: Arc<str>,
    /// Unix time at which this life of the upstream began.
    pub born_unix_ms: u64,
    /// Goes up with each heartbeat of a life.
    pub sequence: u64,
    /// Service it belongs to.
    pub service: Arc<str>,
    /// Address at which it takes orders.
    pub address: Arc<str>,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Physical host behind it, if known.
    pub machine: Option<Arc<str>>,
    /// Takes no new work and will leave.
    pub draining: bool,
    /// Least time until a draining upstream leaves.
    pub drain_remaining_ms: u64,
    /// Capacity for tasks.
    pub capacity: Resources,
    /// Labels that tasks may require.
    pub labels: Vec<Arc<str>>,
    /// Rack it stands in.
    pub rack: Arc<str>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndKind {
    /// It finished its work.
    Done,
    /// It failed by its own fault or the upstream's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
    /// It was refused and never ran.
    NotStarted,
}

/// A registered upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Upstream {
    pub(crate) beat: Heartbeat,
    /// Number of the newest end that is committed.
    pub(crate) ends_seen: u64,
}

impl Upstream {
    pub(crate) fn life(&self) -> Life {
        Life { id: Arc::clone(&self.beat.id), born_unix_ms: self.beat.born_unix_ms }
    }
}
