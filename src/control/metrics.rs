//! Metrics of the control process.

use std::sync::Arc;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::journal::JournalMetrics;

use super::core::Core;
use super::jobs::JobsMetrics;

type Labels = [(&'static str, &'static str); 1];

/// Counters, and gauges that are set from the state when metrics are requested.
#[derive(Debug)]
pub(super) struct ControlMetrics {
    registry: Registry,
    pub(super) jobs: Arc<JobsMetrics>,
    pub(super) late_finishes: Counter,
    pub(super) refused_announcements: Counter,
    records: Family<Labels, Gauge>,
    stale: Family<Labels, Gauge>,
    lent_slots: Gauge,
    upstreams: Gauge,
    epoch: Gauge,
    document_index: Gauge,
}

impl ControlMetrics {
    pub(super) fn new(journal: &JournalMetrics) -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("cactuslatch_control"),
            jobs: Arc::new(JobsMetrics::new()),
            late_finishes: Counter::default(),
            refused_announcements: Counter::default(),
            records: Family::default(),
            stale: Family::default(),
            lent_slots: Gauge::default(),
            upstreams: Gauge::default(),
            epoch: Gauge::default(),
            document_index: Gauge::default(),
        };
        journal.register(&mut metrics.registry);
        metrics.jobs.register(&mut metrics.registry);
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        let help = "Outcomes that came too late to change a record";
        registry.register("late_finishes", help, self.late_finishes.clone());
        let help = "Announcements refused for their content";
        registry.register("refused_announcements", help, self.refused_announcements.clone());
        registry.register("records", "At-most-once records by state", self.records.clone());
        let help = "Messages dropped for an old index, incarnation or epoch since the start";
        registry.register("stale_dropped", help, self.stale.clone());
        let help = "Slots lent beyond the base shares";
        registry.register("lent_slots", help, self.lent_slots.clone());
        registry.register("upstreams", "Upstreams that may get work", self.upstreams.clone());
        registry.register("epoch", "Epoch of this process", self.epoch.clone());
        let help = "Index of the newest document change";
        registry.register("document_index", help, self.document_index.clone());
    }

    /// Returns all metrics in the Prometheus text format.
    pub(super) fn text(&self, core: &Core) -> String {
        self.update_gauges(core);
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(fault) => format!("# {fault}\n"),
        }
    }

    fn update_gauges(&self, core: &Core) {
        let state = core.lock();
        let counts = state.records.counts();
        let by_state = [
            ("open", counts.open),
            ("done", counts.done),
            ("not_run", counts.not_run),
            ("unknown", counts.unknown),
        ];
        for (name, count) in by_state {
            set(&self.records.get_or_create(&[("state", name)]), count);
        }
        let dropped = [
            ("registry", state.registry.stale_dropped()),
            ("documents", state.documents.stale_dropped()),
            ("watch", state.streams.stale_dropped()),
        ];
        for (part, count) in dropped {
            set(&self.stale.get_or_create(&[("part", part)]), count);
        }
        set(&self.lent_slots, state.shares.lent_slots().into());
        set(&self.upstreams, state.registry.alive_count() as u64);
        set(&self.epoch, core.epoch);
        set(&self.document_index, state.documents.index());
    }
}

fn set(gauge: &Gauge, value: u64) {
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
}
