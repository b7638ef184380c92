//! The configuration of the whole installation: queues, services, organisations and limits.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::spec::Resources;

/// A service that decides which upstreams may run a step of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Time of one decision.
    pub decision_ms: u64,
    /// Further time for each upstream in the question.
    pub each_upstream_ms: u64,
    /// Time for which an approval holds.
    pub valid_ms: u64,
}

/// A queue of jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Host name that callers address.
    pub host: Arc<str>,
    /// Beginning of the path that callers address.
    pub path_prefix: Arc<str>,
    /// Longest time that a call may take.
    pub timeout_ms: u64,
    /// Time that a job may take on top of its work.
    pub target_ms: u64,
    /// 0 comes first and may displace others.
    pub priority: u32,
    /// Service whose upstreams run the tasks.
    pub service: Arc<str>,
    /// Failed runs after which a task is given up.
    pub attempts_max: u32,
    /// Factor of the work's duration that a job may take, in thousandths.
    pub slack_permille: u64,
    /// Callers need no key.
    pub public: bool,
    /// Present if a service must approve upstreams.
    pub advice: Option<Advice>,
}

/// A service that upstreams belong to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerService {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Upstreams refuse what does not fit instead of starting it.
    pub guards_capacity: bool,
    /// Its hosts are kept off until they are needed.
    pub standby: bool,
}

/// An organisation and its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// 0 comes first among organisations.
    pub priority: u32,
    /// Capacity that its jobs of priority 0 can have at any time.
    pub guaranteed: Resources,
}

/// Limits of the callers' listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrontLimits {
    /// Largest request head.
    pub header_bytes: u64,
    /// Largest request body.
    pub body_bytes: u64,
    /// Time to send a request head.
    pub header_timeout_ms: u64,
    /// Time without a request after which a connection is closed.
    pub idle_timeout_ms: u64,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Goes up; the highest version is in force.
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

/// Why a configuration is refused.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{reason}")]
pub struct ConfigurationFault {
    /// The fault, for the operator.
    reason: String,
}

impl Configuration {
    /// Checks the references and the uniqueness of names, places and keys.
    ///
    /// # Errors
    /// Returns the first fault found.
    pub fn check(&self) -> Result<(), ConfigurationFault> {
        let fault = |reason: String| Err(ConfigurationFault { reason });
        let services: BTreeSet<_> = self.services.iter().map(|service| &service.name).collect();
        let mut places = BTreeSet::new();
        let mut names = BTreeSet::new();
        for queue in &self.queues {
            let name = &queue.name;
            if !services.contains(&queue.service) {
                return fault(format!("queue {name} names unknown service {}", queue.service));
            }
            if !places.insert((queue.host.to_ascii_lowercase(), &queue.path_prefix)) {
                return fault(format!("queue {name} has the place of another queue"));
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
            let own: BTreeSet<_> = organisation.keys.iter().collect();
            if own.into_iter().any(|key| !keys.insert(key)) {
                return fault(format!("organisation {} has a key of another", organisation.name));
            }
        }
        Ok(())
    }

    /// Finds the queue with the longest prefix of a path.
    pub(crate) fn queue_at(&self, host: &str, path: &str) -> Option<&Queue> {
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

    /// Finds the organisation that holds a key.
    pub(crate) fn holder_of(&self, key: &str) -> Option<&Organisation> {
        let holds = |organisation: &&Organisation| organisation.keys.iter().any(|k| &**k == key);
        self.organisations.iter().find(holds)
    }
}
