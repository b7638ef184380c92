//! Counters and histograms of an entry host.

use std::fmt::Write as _;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::class::Class;
use crate::outcome::Outcome;

/// Labels of metrics by organisation and class.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    organisation: String,
    class: String,
}

impl RequestLabels {
    pub(crate) fn new(organisation: &str, class: Class) -> Self {
        Self { organisation: organisation.to_string(), class: class.to_string() }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    organisation: String,
    class: String,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ParkLabels {
    result: &'static str,
}

type HistogramFamily<L> = Family<L, Histogram, fn() -> Histogram>;

/// All metrics of one entry host.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    registry: Registry,
    request_seconds: HistogramFamily<RequestLabels>,
    requests: Family<OutcomeLabels, Counter>,
    park_seconds: HistogramFamily<ParkLabels>,
    retries: Counter,
    retries_refused: Counter,
    given_up: Counter,
    reports_lost: Counter,
    parked: Gauge,
    documents_age_ms: Gauge,
    stale_messages: Counter,
}

/// Buckets from 0.25 ms to about 8 s.
fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.000_25, 2.0, 16))
}

impl EntryMetrics {
    pub(crate) fn new() -> Self {
        let metrics = Self {
            registry: Registry::with_prefix("cactuslatch_entry"),
            request_seconds: Family::new_with_constructor(latency_histogram),
            requests: Family::default(),
            park_seconds: Family::new_with_constructor(latency_histogram),
            retries: Counter::default(),
            retries_refused: Counter::default(),
            given_up: Counter::default(),
            reports_lost: Counter::default(),
            parked: Gauge::default(),
            documents_age_ms: Gauge::default(),
            stale_messages: Counter::default(),
        };
        metrics.registered()
    }

    fn registered(mut self) -> Self {
        let registry = &mut self.registry;
        registry.register(
            "request_seconds",
            "Time from receiving a request to its outcome",
            self.request_seconds.clone(),
        );
        registry.register("requests", "Requests by outcome", self.requests.clone());
        registry.register(
            "park_seconds",
            "Time that requests waited for a slot",
            self.park_seconds.clone(),
        );
        registry.register("retries", "Attempts after the first", self.retries.clone());
        registry.register(
            "retries_refused",
            "Retries not made because the retry budget was spent",
            self.retries_refused.clone(),
        );
        registry.register(
            "given_up",
            "Requests given up because several attempts had no answer",
            self.given_up.clone(),
        );
        registry.register(
            "reports_lost",
            "Outcomes that could not be reported to control",
            self.reports_lost.clone(),
        );
        registry.register("parked", "Requests that wait for a slot now", self.parked.clone());
        registry.register(
            "documents_age_ms",
            "Milliseconds since control last confirmed the documents; -1 before the first time",
            self.documents_age_ms.clone(),
        );
        registry.register(
            "stale_messages",
            "Messages dropped because of an older epoch, index or incarnation",
            self.stale_messages.clone(),
        );
        self
    }

    pub(crate) fn request_ended(
        &self,
        labels: &RequestLabels,
        outcome: &Outcome,
        elapsed: Duration,
    ) {
        self.request_seconds.get_or_create(labels).observe(elapsed.as_secs_f64());
        let labels = OutcomeLabels {
            organisation: labels.organisation.clone(),
            class: labels.class.clone(),
            outcome: outcome.name(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    pub(crate) fn park_ended(&self, elapsed: Duration, served: bool) {
        let result = if served { "served" } else { "gave_up" };
        self.park_seconds.get_or_create(&ParkLabels { result }).observe(elapsed.as_secs_f64());
    }

    pub(crate) fn retried(&self) {
        self.retries.inc();
    }

    pub(crate) fn retry_refused(&self) {
        self.retries_refused.inc();
    }

    pub(crate) fn request_given_up(&self) {
        self.given_up.inc();
    }

    pub(crate) fn report_lost(&self) {
        self.reports_lost.inc();
    }

    pub(crate) fn stale_message(&self) {
        self.stale_messages.inc();
    }

    /// Writes all metrics in the text format of Prometheus.
    pub(crate) fn render(&self, parked: usize, documents_age_ms: Option<u64>) -> String {
        self.parked.set(i64::try_from(parked).unwrap_or(i64::MAX));
        let age_ms = documents_age_ms.and_then(|age_ms| i64::try_from(age_ms).ok());
        self.documents_age_ms.set(age_ms.unwrap_or(-1));
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            _ = write!(text, "# metrics are incomplete: {error}");
        }
        text
    }
}
