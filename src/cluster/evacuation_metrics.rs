//! Metrics of evacuations of data centres.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::protocol::EvacuationStatus;
use crate::placement::Consequences;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DataCentreLabels {
    data_centre: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrganisationLabels {
    organisation: String,
}

/// Metrics of evacuations; clones share them. Only the leader sets them.
#[derive(Debug, Clone, Default)]
pub(super) struct EvacuationMetrics {
    running_tasks: Family<DataCentreLabels, Gauge>,
    accelerators_missing: Family<OrganisationLabels, Gauge>,
    services_stopped: Gauge,
    moves: Counter,
    cold_upstreams: Gauge,
}

impl EvacuationMetrics {
    pub(super) fn register(&self, to: &mut Registry) {
        let running = self.running_tasks.clone();
        to.register("evacuated_running_tasks", "Tasks left in evacuated data centres", running);
        let missing = self.accelerators_missing.clone();
        to.register(
            "guarantee_accelerators_missing",
            "Guaranteed accelerators that evacuations leave no room for",
            missing,
        );
        let stopped = self.services_stopped.clone();
        to.register("evacuated_services", "Services without upstreams elsewhere", stopped);
        let cold = self.cold_upstreams.clone();
        to.register("cold_upstreams", "Upstreams that are slow for a while", cold);
        let moves = self.moves.clone();
        to.register("evacuation_moves", "Runs moved out of evacuated data centres", moves);
    }

    /// Sets the gauges to the evacuations that last and what they cost.
    pub(super) fn set(&self, evacuations: &[EvacuationStatus], consequences: &Consequences) {
        self.clear();
        for evacuation in evacuations {
            let labels = DataCentreLabels { data_centre: evacuation.data_centre.to_string() };
            self.running_tasks.get_or_create(&labels).set(to_gauge(evacuation.running_tasks));
        }
        for guarantee in &consequences.at_risk {
            let missing = guarantee.guaranteed_accelerators - guarantee.remaining_accelerators;
            let labels = OrganisationLabels { organisation: guarantee.organisation.to_string() };
            self.accelerators_missing.get_or_create(&labels).set(i64::from(missing));
        }
        self.services_stopped.set(to_gauge(consequences.stopped_services.len() as u64));
    }

    /// Removes the gauges, when no evacuation lasts or this host no longer leads.
    pub(super) fn clear(&self) {
        self.running_tasks.clear();
        self.accelerators_missing.clear();
        self.services_stopped.set(0);
    }

    /// Sets the number of upstreams that are slow for a while.
    pub(super) fn set_cold(&self, upstreams: usize) {
        self.cold_upstreams.set(to_gauge(upstreams as u64));
    }

    pub(super) fn record_moves(&self, runs: u64) {
        self.moves.inc_by(runs);
    }
}

fn to_gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
