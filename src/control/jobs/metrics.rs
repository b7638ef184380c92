//! Counters and histograms of jobs.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::scheduler::{JobEnd, JobSpec};

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    organisation: String,
    end: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WaitLabels {
    organisation: String,
    class: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MessageLabels {
    result: &'static str,
}

/// Metrics of the jobs of one data centre.
#[derive(Debug)]
pub(crate) struct JobsMetrics {
    ended: Family<EndLabels, Counter>,
    wait_seconds: Family<WaitLabels, Histogram, fn() -> Histogram>,
    messages: Family<MessageLabels, Counter>,
}

/// Buckets from 0.1 s to about 14 h; urgent work must start within 1.7 s.
fn wait_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.1, 2.0, 20))
}

impl JobsMetrics {
    pub(crate) fn new() -> Self {
        Self {
            ended: Family::default(),
            wait_seconds: Family::new_with_constructor(wait_histogram),
            messages: Family::default(),
        }
    }

    /// Adds the metrics to a registry.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register("jobs_ended", "Jobs that ended, by how they ended", self.ended.clone());
        registry.register(
            "job_wait_seconds",
            "Time from acceptance, or from the end of the last gang, to the commit of a gang",
            self.wait_seconds.clone(),
        );
        registry.register("gang_messages", "Gang messages, by result", self.messages.clone());
    }

    pub(super) fn job_ended(&self, spec: &JobSpec, end: &JobEnd) {
        let organisation = spec.organisation.to_string();
        self.ended.get_or_create(&EndLabels { organisation, end: end_name(end) }).inc();
    }

    pub(super) fn job_started(&self, spec: &JobSpec, waited_ms: u64) {
        let organisation = spec.organisation.to_string();
        let class = if spec.guaranteed { "guaranteed" } else { "ordinary" };
        let waited = Duration::from_millis(waited_ms).as_secs_f64();
        self.wait_seconds.get_or_create(&WaitLabels { organisation, class }).observe(waited);
    }

    pub(super) fn message_ended(&self, result: &'static str) {
        self.messages.get_or_create(&MessageLabels { result }).inc();
    }
}

/// Returns the name of an end, as used in metrics and job status.
pub(super) const fn end_name(end: &JobEnd) -> &'static str {
    match end {
        JobEnd::Completed => "completed",
        JobEnd::Cancelled { .. } => "cancelled",
        JobEnd::Failed { .. } => "failed",
        JobEnd::Unrunnable { .. } => "unrunnable",
    }
}
