//! Counters and histograms of a control host.

use std::sync::Arc;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Label with one cause or kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Kind {
    kind: &'static str,
}

/// Labels of a job: its organisation and its queue.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct JobKind {
    organisation: String,
    queue: String,
    outcome: &'static str,
}

/// Metrics of a control host; clones share them.
#[derive(Debug, Clone)]
pub(super) struct ClusterMetrics {
    registry: Arc<std::sync::Mutex<Registry>>,
    jobs_ended: Family<JobKind, Counter>,
    job_seconds: Family<JobKind, Histogram>,
    start_seconds: Family<JobKind, Histogram>,
    requests: Family<Kind, Counter>,
    runs_ended: Family<Kind, Counter>,
    orders: Family<Kind, Counter>,
    commit_seconds: Histogram,
    leads: Gauge,
    term: Gauge,
    committed: Gauge,
    set_aside: Counter,
}

fn seconds() -> Histogram {
    // 10 ms to 160 s covers a commit across regions as well as the longest jobs.
    Histogram::new(exponential_buckets(0.01, 2.0, 15))
}

impl Default for ClusterMetrics {
    fn default() -> Self {
        Self {
            registry: Arc::default(),
            jobs_ended: Family::default(),
            job_seconds: Family::new_with_constructor(seconds),
            start_seconds: Family::new_with_constructor(seconds),
            requests: Family::default(),
            runs_ended: Family::default(),
            orders: Family::default(),
            commit_seconds: seconds(),
            leads: Gauge::default(),
            term: Gauge::default(),
            committed: Gauge::default(),
            set_aside: Counter::default(),
        }
    }
}

impl ClusterMetrics {
    /// Creates the metrics and registers them.
    pub(super) fn new(journal: &crate::journal::JournalMetrics) -> Self {
        let metrics = Self::default();
        if let Ok(mut registry) = metrics.registry.lock() {
            journal.register(&mut registry);
            metrics.register(&mut registry);
        }
        metrics
    }

    fn register(&self, to: &mut Registry) {
        to.register("jobs_ended", "Jobs by outcome", self.jobs_ended.clone());
        to.register("job_seconds", "Time from acceptance to outcome", self.job_seconds.clone());
        to.register("start_seconds", "Time to a job's first start", self.start_seconds.clone());
        to.register("requests", "Requests to the leader, by result", self.requests.clone());
        to.register("runs_ended", "Ends of runs, by kind", self.runs_ended.clone());
        to.register("orders", "Orders to upstreams, by result", self.orders.clone());
        to.register("commit_seconds", "Time to commit a change", self.commit_seconds.clone());
        to.register("leads", "1 while this host leads", self.leads.clone());
        to.register("term", "Term of the log", self.term.clone());
        to.register("committed_index", "Newest committed entry", self.committed.clone());
        to.register("set_aside", "Upstreams set aside", self.set_aside.clone());
    }

    pub(super) fn job_started(&self, organisation: &str, queue: &str, after_ms: u64) {
        let kind = job_kind(organisation, queue, "started");
        self.start_seconds.get_or_create(&kind).observe(in_seconds(after_ms));
    }

    pub(super) fn job_ended(
        &self,
        organisation: &str,
        queue: &str,
        outcome: &'static str,
        took_ms: u64,
    ) {
        let kind = job_kind(organisation, queue, outcome);
        self.jobs_ended.get_or_create(&kind).inc();
        self.job_seconds.get_or_create(&kind).observe(in_seconds(took_ms));
    }

    pub(super) fn request(&self, result: &'static str) {
        self.requests.get_or_create(&Kind { kind: result }).inc();
    }

    pub(super) fn run_ended(&self, how: &'static str) {
        self.runs_ended.get_or_create(&Kind { kind: how }).inc();
    }

    pub(super) fn order(&self, result: &'static str) {
        self.orders.get_or_create(&Kind { kind: result }).inc();
    }

    pub(super) fn committed(&self, took_ms: u64) {
        self.commit_seconds.observe(in_seconds(took_ms));
    }

    pub(super) fn upstream_set_aside(&self) {
        self.set_aside.inc();
    }

    /// Notes the state of the log.
    pub(super) fn log_state(&self, leads: bool, term: u64, committed: u64) {
        self.leads.set(i64::from(leads));
        self.term.set(i64::try_from(term).unwrap_or(i64::MAX));
        self.committed.set(i64::try_from(committed).unwrap_or(i64::MAX));
    }

    /// Writes all metrics as text.
    pub(super) fn text(&self) -> String {
        let mut out = String::new();
        if let Ok(registry) = self.registry.lock()
            && let Err(fault) = text::encode(&mut out, &registry)
        {
            tracing::error!(error = %fault, "metrics cannot be written");
        }
        out
    }
}

fn job_kind(organisation: &str, queue: &str, outcome: &'static str) -> JobKind {
    JobKind { organisation: organisation.to_owned(), queue: queue.to_owned(), outcome }
}

fn in_seconds(ms: u64) -> f64 {
    std::time::Duration::from_millis(ms).as_secs_f64()
}
