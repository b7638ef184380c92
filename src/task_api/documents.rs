//! Parsing of configurations from operators and jobs from callers, in YAML or JSON.

use std::sync::Arc;

use serde::Deserialize;

use crate::config::text::check_nesting;
use crate::tasks::{
    Configuration, FrontLimits, JobSpec, Organisation, Queue, Resources, WorkerService,
};

/// Defaults of a queue.
const DEFAULT_TIMEOUT_MS: u64 = 3_000;
const DEFAULT_ATTEMPTS_MAX: u32 = 3;
const DEFAULT_SLACK_PERMILLE: u64 = 2_000;

/// Limits of the callers' listener; documents cannot set them.
const LIMITS: FrontLimits = FrontLimits {
    header_bytes: 16 * 1024,
    body_bytes: 1024 * 1024,
    header_timeout_ms: 5_000,
    idle_timeout_ms: 60_000,
};

/// An invalid document.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{reason}")]
pub struct InvalidDocument {
    /// Error message for the author of the document.
    reason: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ConfigurationDocument {
    version: u64,
    queues: Vec<QueueDocument>,
    services: Vec<ServiceDocument>,
    organisations: Vec<OrganisationDocument>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct QueueDocument {
    name: Arc<str>,
    service: Arc<str>,
    priority: u32,
    #[serde(default = "timeout_ms")]
    timeout_ms: u64,
    #[serde(default)]
    target_ms: u64,
    #[serde(default = "attempts_max")]
    attempts_max: u32,
    #[serde(default = "slack_permille")]
    slack_permille: u64,
    #[serde(default)]
    public: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ServiceDocument {
    name: Arc<str>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OrganisationDocument {
    name: Arc<str>,
    keys: Vec<Arc<str>>,
    #[serde(default)]
    guaranteed_accelerators: u32,
    #[serde(default = "weight")]
    weight: u32,
}

fn timeout_ms() -> u64 {
    DEFAULT_TIMEOUT_MS
}

fn attempts_max() -> u32 {
    DEFAULT_ATTEMPTS_MAX
}

fn weight() -> u32 {
    Organisation::DEFAULT_WEIGHT
}

fn slack_permille() -> u64 {
    DEFAULT_SLACK_PERMILLE
}

/// Returns the path prefix of a queue's jobs.
pub(super) fn queue_path(queue: &str) -> String {
    format!("/v1/queues/{queue}/jobs/")
}

impl From<QueueDocument> for Queue {
    fn from(queue: QueueDocument) -> Self {
        Self {
            host: Arc::from(""),
            path_prefix: queue_path(&queue.name).into(),
            name: queue.name,
            timeout_ms: queue.timeout_ms,
            target_ms: queue.target_ms,
            priority: queue.priority,
            service: queue.service,
            attempts_max: queue.attempts_max,
            slack_permille: queue.slack_permille,
            public: queue.public,
            advice: None,
        }
    }
}

impl From<ServiceDocument> for WorkerService {
    fn from(service: ServiceDocument) -> Self {
        Self { name: service.name, guards_capacity: false, standby: false }
    }
}

impl From<OrganisationDocument> for Organisation {
    fn from(organisation: OrganisationDocument) -> Self {
        let accelerators = organisation.guaranteed_accelerators;
        Self {
            name: organisation.name,
            keys: organisation.keys,
            priority: 0,
            guaranteed: Resources { accelerators, ..Resources::default() },
            weight: organisation.weight,
        }
    }
}

impl From<ConfigurationDocument> for Configuration {
    fn from(document: ConfigurationDocument) -> Self {
        Self {
            version: document.version,
            queues: document.queues.into_iter().map(Queue::from).collect(),
            services: document.services.into_iter().map(WorkerService::from).collect(),
            organisations: document.organisations.into_iter().map(Organisation::from).collect(),
            limits: LIMITS,
        }
    }
}

/// Parses and checks a configuration.
///
/// # Errors
/// Returns an error if the text has unknown or missing keys or contradicts itself.
pub fn read_configuration(text: &str) -> Result<Configuration, InvalidDocument> {
    let configuration = Configuration::from(parse::<ConfigurationDocument>(text)?);
    configuration.check().map_err(|fault| InvalidDocument { reason: fault.to_string() })?;
    Ok(configuration)
}

/// Parses and checks a job.
///
/// # Errors
/// Returns an error if the text has unknown keys, or the job could never run.
pub fn read_job(text: &str) -> Result<JobSpec, InvalidDocument> {
    let job: JobSpec = parse(text)?;
    job.check().map_err(|fault| InvalidDocument { reason: fault.to_string() })?;
    Ok(job)
}

/// Parses JSON, whose parser bounds the nesting by itself, or YAML.
pub(super) fn parse<T: for<'a> Deserialize<'a>>(text: &str) -> Result<T, InvalidDocument> {
    if let Ok(document) = serde_json::from_str(text) {
        return Ok(document);
    }
    let invalid = |reason: String| InvalidDocument { reason };
    check_nesting(text).map_err(|faults| invalid(faults.to_string()))?;
    marked_yaml::from_yaml(0, text).map_err(|fault| invalid(fault.to_string()))
}
