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
    /// Weight of its share of what guarantees and priorities leave.
    pub weight: u32,
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

/// A configuration is invalid.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{reason}")]
pub struct ConfigurationFault {
    /// Description for the operator.
    reason: String,
}

impl Configuration {
    /// Checks references, and that names, routes and keys are unique.
    ///
    /// # Errors
    /// Returns the first fault found.
    pub fn check(&self) -> Result<(), ConfigurationFault> {
        let fault = |reason: String| Err(ConfigurationFault { reason });
        let services: BTreeSet<_> = self.services.iter().map(|service| &service.name).collect();
        let mut routes = BTreeSet::new();
        let mut names = BTreeSet::new();
        for queue in &self.queues {
            let name = &queue.name;
            if !services.contains(&queue.service) {
                return fault(format!("queue {name} names unknown service {}", queue.service));
            }
            if !routes.insert((queue.host.to_ascii_lowercase(), &queue.path_prefix)) {
                return fault(format!(
                    "queue {name} has the host and path prefix of another queue"
                ));
            }
            if queue.timeout_ms == 0 {
                return fault(format!("queue {name} has a timeout of 0 ms"));
            }
            if !names.insert(name) {
                return fault(format!("two queues are named {name}"));
            }
        }
        let mut keys = BTreeSet::new();
        for organisation in &self.organisations {
            if !(1..=WEIGHT_MAX).contains(&organisation.weight) {
                return fault(format!(
                    "organisation {} has a weight of {}, which is not from 1 to {WEIGHT_MAX}",
                    organisation.name, organisation.weight
                ));
            }
            let own: BTreeSet<_> = organisation.keys.iter().collect();
            if own.into_iter().any(|key| !keys.insert(key)) {
                return fault(format!(
                    "organisation {} shares a key with another",
                    organisation.name
                ));
            }
        }
        Ok(())
    }

    /// Returns the queue of a host with the longest prefix that matches the path.
    pub(crate) fn queue_for(&self, host: &str, path: &str) -> Option<&Queue> {
        let host = host.split(':').next().unwrap_or(host);
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&*queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
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
