//! The configuration of the whole installation: queues, services, organisations and limits.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::spec::Resources;

/// Timing of the service that approves upstreams for the steps of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Base time of one decision.
    pub decision_ms: u64,
    /// Additional time per upstream in a request for approval.
    pub each_upstream_ms: u64,
    /// Time for which an approval holds.
    pub valid_ms: u64,
}

/// A queue of jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Host name in callers' requests.
    pub host: Arc<str>,
    /// Beginning of the path in callers' requests.
    pub path_prefix: Arc<str>,
    /// Maximum duration of a call.
    pub timeout_ms: u64,
    /// Time that a job may take in addition to its work.
    pub target_ms: u64,
    /// Priority of the jobs; 0 is the highest and may preempt others.
    pub priority: u32,
    /// Service whose upstreams run the tasks.
    pub service: Arc<str>,
    /// Number of failed runs after which a task is given up.
    pub attempts_max: u32,
    /// Time that a job may take as a multiple of its critical path, in thousandths.
    pub slack_permille: u64,
    /// Whether callers need no key.
    pub public: bool,
    /// Present if a service must approve upstreams.
    pub advice: Option<Advice>,
}

impl Queue {
    /// Returns whether a caller's request to a host and path is for this queue, unless it is for one with
    /// a longer prefix.
    pub(crate) fn serves(&self, host: &str, path: &str) -> bool {
        let host = host.split(':').next().unwrap_or(host);
        self.host.eq_ignore_ascii_case(host) && path.starts_with(&*self.path_prefix)
    }
}

/// A service that upstreams belong to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerService {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Whether upstreams refuse tasks that do not fit instead of starting them.
    pub guards_capacity: bool,
    /// Whether its hosts stay switched off until they are needed.
    pub standby: bool,
}

/// An organisation and its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Priority among organisations; 0 is the highest.
    pub priority: u32,
    /// Capacity guaranteed to its jobs of priority 0.
    pub guaranteed: Resources,
    /// Weight of its share of what guarantees and priorities leave. Organisations share by weight if any
    /// of them states one.
    pub weight: Option<u32>,
}

impl Organisation {
    /// Weight of an organisation whose configuration states none.
    pub const DEFAULT_WEIGHT: u32 = 1;
}

/// Largest weight of an organisation.
const WEIGHT_MAX: u32 = 1_000;

/// Limits of the callers' listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrontLimits {
    /// Largest request head.
    pub header_bytes: u64,
    /// Largest request body.
    pub body_bytes: u64,
    /// Time limit for receiving a request head.
    pub header_timeout_ms: u64,
    /// Time without a request after which a connection is closed.
    pub idle_timeout_ms: u64,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version number; the highest one applies.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Services.
    pub services: Vec<WorkerService>,
    /// Organisations.
    pub organisations: Vec<Organisation>,
    /// Limits of the callers' listener.
    pub limits: FrontLimits,
}

/// Entry of a configuration, by its index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationEntry {
    /// The configuration as a whole.
    Whole,
    /// A queue.
    Queue(usize),
    /// A service.
    Service(usize),
    /// An organisation.
    Organisation(usize),
}

/// Something wrong or odd in a configuration.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{reason}")]
pub struct ConfigurationFault {
    /// The entry that it concerns.
    #[error(not(source))]
    pub entry: ConfigurationEntry,
    /// Description for the operator.
    pub reason: String,
}

impl ConfigurationFault {
    pub(super) fn new(entry: ConfigurationEntry, reason: String) -> Self {
        Self { entry, reason }
    }
}

impl Configuration {
    /// Checks references, and that names, routes and keys are unique.
    ///
    /// # Errors
    /// Returns the first fault found.
    pub fn check(&self) -> Result<(), ConfigurationFault> {
        self.faults().into_iter().next().map_or(Ok(()), Err)
    }

    /// Returns everything for which the configuration is refused.
    #[must_use]
    pub fn faults(&self) -> Vec<ConfigurationFault> {
        let mut faults = Vec::new();
        let services: BTreeSet<_> = self.services.iter().map(|service| &service.name).collect();
        let mut routes = BTreeSet::new();
        let mut names = BTreeSet::new();
        for (number, queue) in self.queues.iter().enumerate() {
            let name = &queue.name;
            let mut fault = |reason: String| {
                let entry = ConfigurationEntry::Queue(number);
                faults.push(ConfigurationFault::new(entry, reason));
            };
            if !services.contains(&queue.service) {
                fault(format!("queue {name} names unknown service {}", queue.service));
            }
            if !routes.insert((queue.host.to_ascii_lowercase(), &queue.path_prefix)) {
                fault(format!("queue {name} has the host and path prefix of another queue"));
            }
            if queue.timeout_ms == 0 {
                fault(format!("queue {name} has a timeout of 0 ms"));
            }
            if !names.insert(name) {
                fault(format!("two queues are named {name}"));
            }
        }
        let mut keys = BTreeSet::new();
        for (number, organisation) in self.organisations.iter().enumerate() {
            let mut fault = |reason: String| {
                let entry = ConfigurationEntry::Organisation(number);
                faults.push(ConfigurationFault::new(entry, reason));
            };
            if let Some(weight) = organisation.weight
                && !(1..=WEIGHT_MAX).contains(&weight)
            {
                fault(format!(
                    "organisation {} has a weight of {weight}, which is not from 1 to {WEIGHT_MAX}",
                    organisation.name
                ));
            }
            let own: BTreeSet<_> = organisation.keys.iter().collect();
            if own.into_iter().filter(|key| !keys.insert(*key)).count() > 0 {
                fault(format!("organisation {} shares a key with another", organisation.name));
            }
        }
        faults
    }

    /// Returns whether organisations share scarce capacity by weight.
    pub(crate) fn shares_by_weight(&self) -> bool {
        self.organisations.iter().any(|organisation| organisation.weight.is_some())
    }

    /// Returns the queue of a host with the longest prefix that matches the path.
    pub(crate) fn queue_for(&self, host: &str, path: &str) -> Option<&Queue> {
        let serving = self.queues.iter().filter(|queue| queue.serves(host, path));
        serving.max_by_key(|queue| queue.path_prefix.len())
    }

    pub(crate) fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }

    /// Returns the organisation that a key belongs to.
    pub(crate) fn organisation_with_key(&self, key: &str) -> Option<&Organisation> {
        let holds = |organisation: &&Organisation| organisation.keys.iter().any(|k| &**k == key);
        self.organisations.iter().find(holds)
    }
}
