//! Counters and histograms of a control host.

use std::sync::Arc;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use super::budget::BudgetUse;
use super::evacuation_metrics::EvacuationMetrics;
use crate::placement::ShareFigures;

/// Label of metrics that are counted by kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct KindLabels {
    kind: &'static str,
}

/// Labels of metrics about jobs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct JobLabels {
    organisation: String,
    queue: String,
    outcome: &'static str,
}

/// Labels of what an organisation has of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ShareLabels {
    organisation: String,
    service: String,
}

/// Metrics of a control host; clones share them.
#[derive(Debug, Clone)]
pub(super) struct ClusterMetrics {
    registry: Arc<std::sync::Mutex<Registry>>,
    jobs_ended: Family<JobLabels, Counter>,
    job_seconds: Family<JobLabels, Histogram>,
    start_seconds: Family<JobLabels, Histogram>,
    requests: Family<KindLabels, Counter>,
    runs_ended: Family<KindLabels, Counter>,
    orders: Family<KindLabels, Counter>,
    commit_seconds: Histogram,
    leads: Gauge,
    term: Gauge,
    committed: Gauge,
    set_aside: Counter,
    units_given_up: Counter,
    tasks_stopped: Family<KindLabels, Counter>,
    work_discarded_core_ms: Family<KindLabels, Counter>,
    recovery_ms: Family<KindLabels, Gauge>,
    connections: Family<KindLabels, Gauge>,
    holds: Family<KindLabels, Counter>,
    lag_ms: Gauge,
    jobs_refused: Family<JobLabels, Counter>,
    shares: Family<ShareLabels, Gauge>,
    fair_shares: Family<ShareLabels, Gauge>,
    learned: Family<KindLabels, Gauge>,
    pub(super) evacuations: EvacuationMetrics,
}

fn duration_histogram() -> Histogram {
    // Buckets from 10 ms to 160 s cover commits across regions and the longest jobs.
    Histogram::new(exponential_buckets(0.01, 2.0, 15))
}

impl Default for ClusterMetrics {
    fn default() -> Self {
        Self {
            registry: Arc::default(),
            jobs_ended: Family::default(),
            job_seconds: Family::new_with_constructor(duration_histogram),
            start_seconds: Family::new_with_constructor(duration_histogram),
            requests: Family::default(),
            runs_ended: Family::default(),
            orders: Family::default(),
            commit_seconds: duration_histogram(),
            leads: Gauge::default(),
            term: Gauge::default(),
            committed: Gauge::default(),
            set_aside: Counter::default(),
            units_given_up: Counter::default(),
            tasks_stopped: Family::default(),
            work_discarded_core_ms: Family::default(),
            recovery_ms: Family::default(),
            connections: Family::default(),
            holds: Family::default(),
            lag_ms: Gauge::default(),
            jobs_refused: Family::default(),
            shares: Family::default(),
            fair_shares: Family::default(),
            learned: Family::default(),
            evacuations: EvacuationMetrics::default(),
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
        let given_up = self.units_given_up.clone();
        to.register("units_given_up", "Units given up since upstreams crash under them", given_up);
        to.register("tasks_stopped", "Tasks ordered to stop, by cause", self.tasks_stopped.clone());
        let discarded = self.work_discarded_core_ms.clone();
        to.register("work_discarded_core_ms", "Unsaved work of stopped tasks, by cause", discarded);
        let recovery = self.recovery_ms.clone();
        to.register("recovery_ms", "Time to each step of this host's latest term", recovery);
        let learned = self.learned.clone();
        to.register("learned", "Kinds of work, slow upstreams and noisy pairs learned", learned);
        self.evacuations.register(to);
        let connections = self.connections.clone();
        to.register("upstream_connections", "Connections to upstreams, by state", connections);
        to.register("holds", "Hold orders of this leader, by who sent them", self.holds.clone());
        to.register("leader_lag_ms", "Smoothed delay of the leader's tasks", self.lag_ms.clone());
        to.register("jobs_refused", "Submissions refused for now", self.jobs_refused.clone());
        let help = "Share of a service in use beyond the guarantee, in thousandths";
        to.register("organisation_share_permille", help, self.shares.clone());
        let help = "Fair part of a service while work exceeds it, in thousandths";
        to.register("organisation_fair_share_permille", help, self.fair_shares.clone());
    }

    pub(super) fn job_started(&self, organisation: &str, queue: &str, after_ms: u64) {
        let labels = job_labels(organisation, queue, "started");
        self.start_seconds.get_or_create(&labels).observe(ms_to_seconds(after_ms));
    }

    pub(super) fn job_ended(
        &self,
        organisation: &str,
        queue: &str,
        outcome: &'static str,
        took_ms: u64,
    ) {
        let labels = job_labels(organisation, queue, outcome);
        self.jobs_ended.get_or_create(&labels).inc();
        self.job_seconds.get_or_create(&labels).observe(ms_to_seconds(took_ms));
    }

    pub(super) fn request(&self, result: &'static str) {
        self.requests.get_or_create(&KindLabels { kind: result }).inc();
    }

    pub(super) fn run_ended(&self, how: &'static str) {
        self.runs_ended.get_or_create(&KindLabels { kind: how }).inc();
    }

    pub(super) fn hold(&self, by: &'static str) {
        self.holds.get_or_create(&KindLabels { kind: by }).inc();
    }

    pub(super) fn set_lag(&self, lag_ms: u64) {
        self.lag_ms.set(i64::try_from(lag_ms).unwrap_or(i64::MAX));
    }

    pub(super) fn order(&self, result: &'static str) {
        self.orders.get_or_create(&KindLabels { kind: result }).inc();
    }

    pub(super) fn committed(&self, took_ms: u64) {
        self.commit_seconds.observe(ms_to_seconds(took_ms));
    }

    pub(super) fn upstream_set_aside(&self) {
        self.set_aside.inc();
    }

    /// Counts tasks that are ordered to stop and the work that they have not saved.
    pub(super) fn tasks_stopped(&self, cause: &'static str, tasks: u64, discarded_core_ms: u64) {
        let labels = KindLabels { kind: cause };
        self.tasks_stopped.get_or_create(&labels).inc_by(tasks);
        self.work_discarded_core_ms.get_or_create(&labels).inc_by(discarded_core_ms);
    }

    /// Records the time from the start of the term to a step of the recovery.
    pub(super) fn recovery_step(&self, step: &'static str, after_ms: u64) {
        let gauge = self.recovery_ms.get_or_create(&KindLabels { kind: step });
        gauge.set(i64::try_from(after_ms).unwrap_or(i64::MAX));
    }

    pub(super) fn unit_given_up(&self) {
        self.units_given_up.inc();
    }

    pub(super) fn job_refused(&self, organisation: &str, queue: &str) {
        self.jobs_refused.get_or_create(&job_labels(organisation, queue, "refused")).inc();
    }

    /// Sets the gauges of the organisations' shares.
    pub(super) fn set_shares(&self, shares: &[ShareFigures]) {
        self.shares.clear();
        self.fair_shares.clear();
        let permille = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        for share in shares {
            let labels = ShareLabels {
                organisation: share.organisation.to_string(),
                service: share.service.to_string(),
            };
            self.shares.get_or_create(&labels).set(permille(share.used_permille));
            if let Some(fair_permille) = share.fair_permille {
                self.fair_shares.get_or_create(&labels).set(permille(fair_permille));
            }
        }
    }

    /// Sets the numbers of kinds of work with figures, slow upstreams and pairs of noisy images.
    pub(super) fn set_learned(&self, kinds: usize, slow: usize, pairs: usize) {
        for (kind, count) in [("kinds", kinds), ("slow_upstreams", slow), ("noisy_pairs", pairs)] {
            let gauge = self.learned.get_or_create(&KindLabels { kind });
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Sets the gauges of the replicated log.
    pub(super) fn set_log_state(&self, leads: bool, term: u64, committed: u64) {
        self.leads.set(i64::from(leads));
        self.term.set(i64::try_from(term).unwrap_or(i64::MAX));
        self.committed.set(i64::try_from(committed).unwrap_or(i64::MAX));
    }

    /// Sets the gauges of the connections to upstreams.
    pub(super) fn set_connections(&self, in_use: BudgetUse) {
        for (kind, count) in
            [("open", in_use.open), ("waiting", in_use.waiting), ("incoming", in_use.incoming)]
        {
            let gauge = self.connections.get_or_create(&KindLabels { kind });
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub(super) fn text(&self) -> String {
        let mut out = String::new();
        if let Ok(registry) = self.registry.lock()
            && let Err(fault) = text::encode(&mut out, &registry)
        {
            tracing::error!(error = %fault, "could not encode the metrics");
        }
        out
    }
}

fn job_labels(organisation: &str, queue: &str, outcome: &'static str) -> JobLabels {
    JobLabels { organisation: organisation.to_owned(), queue: queue.to_owned(), outcome }
}

fn ms_to_seconds(ms: u64) -> f64 {
    std::time::Duration::from_millis(ms).as_secs_f64()
}
