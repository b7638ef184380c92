//! Evacuation of data centres: requests of operators, and reports on what evacuations cost.

use std::collections::BTreeSet;
use std::sync::Arc;

use tracing::{info, warn};

use super::Leader;
use crate::cluster::protocol::{EvacuationStatus, OperatorReply, Reply};
use crate::placement::{Consequences, StopCause, consequences};
use crate::tasks::{Change, Job, State, UnitId, Upstream};

/// What was reported last about the evacuations.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct EvacuationReport {
    data_centres: BTreeSet<Arc<str>>,
    consequences: Consequences,
    /// Those among the data centres in which nothing runs any more.
    empty: BTreeSet<Arc<str>>,
}

impl Leader {
    /// Stores that the evacuation of a data centre begins or is finished.
    ///
    /// An entry is written in any case: an earlier one may be on its way to the log, and the reply must
    /// not come before it.
    pub(super) async fn set_evacuation(
        &self,
        data_centre: Arc<str>,
        begin: bool,
        revision: u64,
    ) -> Reply {
        if !self.is_known_data_centre(&data_centre) {
            warn!(%data_centre, begin, "evacuation of an unknown data centre is refused");
            let reason = format!("there is no data centre {data_centre}");
            return Reply::Operator(OperatorReply::Invalid { reason });
        }
        let before = self.replica.lock().state.evacuations.get(&data_centre).cloned();
        let change =
            Change::SetEvacuation { data_centre: Arc::clone(&data_centre), begin, revision };
        if self.commit(change, Reply::Done).await == Reply::Unknown {
            warn!(%data_centre, begin, stored = false, "evacuation was requested");
            return Reply::Unknown;
        }
        let inner = self.replica.lock();
        let state = &inner.state;
        if state.evacuations.is_active(&data_centre) != begin {
            let current = state.evacuations.revision(&data_centre);
            info!(%data_centre, begin, revision, current, "evacuation has changed meanwhile");
            return Reply::EvacuationRevision(current);
        }
        let is_new = state.evacuations.get(&data_centre) != before.as_ref();
        let status = status_of(state, &data_centre, inner.now_ms());
        info!(
            %data_centre, begin, is_new, since_ms = status.since_ms, upstreams = status.upstreams,
            running_tasks = status.running_tasks, stored = true, "evacuation was requested"
        );
        Reply::Operator(OperatorReply::Done)
    }

    /// Returns the data centres that are being evacuated.
    pub(super) fn evacuations(&self) -> Vec<EvacuationStatus> {
        let inner = self.replica.lock();
        let names = inner.state.evacuations.active().map(|(name, _)| name);
        names.map(|name| status_of(&inner.state, name, inner.now_ms())).collect()
    }

    /// Logs changes of what the evacuations cost, and sets the metrics.
    pub(super) fn report_evacuations(&self) {
        let (report, status) = {
            let inner = self.replica.lock();
            let names = inner.state.evacuations.active().map(|(name, _)| name);
            let status: Vec<_> =
                names.map(|name| status_of(&inner.state, name, inner.now_ms())).collect();
            let are_empty = status.iter().filter(|status| status.running_tasks == 0);
            let empty = are_empty.map(|status| Arc::clone(&status.data_centre)).collect();
            let consequences = consequences(&inner.state);
            let data_centres =
                status.iter().map(|status| Arc::clone(&status.data_centre)).collect();
            (EvacuationReport { data_centres, consequences, empty }, status)
        };
        let mut term_state = self.term_state();
        if !status.is_empty() || term_state.evacuation_report != report {
            self.replica.metrics.evacuations.set(&status, &report.consequences);
        }
        if term_state.evacuation_report != report {
            log_changes(&term_state.evacuation_report, &report);
            term_state.evacuation_report = report;
        }
    }

    /// Counts the runs that a decision moves out of data centres that are being evacuated.
    pub(super) fn count_moves(&self, stops: &[(UnitId, u32, StopCause)]) {
        let moved = stops.iter().filter(|(.., cause)| *cause == StopCause::Evacuated).count();
        if moved > 0 {
            self.replica.metrics.evacuations.record_moves(moved as u64);
            info!(moved, "runs move out of data centres that are being evacuated");
        }
    }

    /// Returns whether the settings, an upstream or an evacuation that is remembered names a data centre.
    fn is_known_data_centre(&self, data_centre: &str) -> bool {
        let inner = self.replica.lock();
        let state = &inner.state;
        let mut upstreams = state.upstreams.values();
        // Upstreams that name no data centre are in none.
        !data_centre.is_empty()
            && (self.data_centres.contains(data_centre)
                || state.evacuations.get(data_centre).is_some()
                || upstreams.any(|upstream| *upstream.heartbeat.data_centre == *data_centre))
    }
}

fn status_of(state: &State, data_centre: &Arc<str>, now_ms: u64) -> EvacuationStatus {
    let in_it = |upstream: &&Upstream| upstream.heartbeat.data_centre == *data_centre;
    let upstreams: Vec<_> = state.upstreams.values().filter(in_it).collect();
    let running = upstreams.iter().map(|upstream| state.runs_of(&upstream.incarnation()).len());
    let since_ms = state.evacuations.get(data_centre).map_or(now_ms, |found| found.began_ms);
    EvacuationStatus {
        data_centre: Arc::clone(data_centre),
        since_ms: now_ms.saturating_sub(since_ms),
        upstreams: upstreams.len() as u64,
        running_tasks: running.sum::<usize>() as u64,
    }
}

fn log_changes(before: &EvacuationReport, now: &EvacuationReport) {
    for data_centre in now.data_centres.difference(&before.data_centres) {
        info!(%data_centre, "nothing more starts in the data centre, which is being evacuated");
    }
    for data_centre in before.data_centres.difference(&now.data_centres) {
        info!(%data_centre, "work may start in the data centre again");
    }
    for data_centre in now.empty.difference(&before.empty) {
        info!(%data_centre, "nothing runs in the data centre that is being evacuated");
    }
    let (before, now) = (&before.consequences, &now.consequences);
    for service in now.stopped_services.difference(&before.stopped_services) {
        warn!(%service, "all upstreams of the service are evacuated; its jobs wait or are refused");
    }
    for service in before.stopped_services.difference(&now.stopped_services) {
        info!(%service, "the service has upstreams again that are not evacuated");
    }
    for guarantee in now.at_risk.iter().filter(|guarantee| !before.at_risk.contains(guarantee)) {
        warn!(
            organisation = %guarantee.organisation,
            guaranteed_accelerators = guarantee.guaranteed_accelerators,
            remaining_accelerators = guarantee.remaining_accelerators,
            "guarantee is at risk, since its capacity is being evacuated"
        );
    }
    let is_named = |name: &Arc<str>| now.at_risk.iter().any(|other| other.organisation == *name);
    for guarantee in before.at_risk.iter().filter(|before| !is_named(&before.organisation)) {
        info!(organisation = %guarantee.organisation, "guarantee is no longer at risk");
    }
}

/// Returns what an operator has to know of the evacuations that concern a job.
pub(super) fn explain_evacuations(state: &State, job: &Job, now_ms: u64) -> Vec<String> {
    let Some(queue) = state.queue_of(job).filter(|_| job.outcome.is_none()) else {
        return Vec::new();
    };
    let (id, service) = (&job.id, &queue.service);
    let mut lines = Vec::new();
    for (name, evacuation) in state.evacuations.active() {
        let is_there = |upstream: &&Upstream| {
            upstream.heartbeat.data_centre == *name && upstream.heartbeat.service == *service
        };
        let upstreams = state.upstreams.values().filter(is_there).count();
        let since_ms = now_ms.saturating_sub(evacuation.began_ms);
        lines.push(format!(
            "{id}: nothing starts on {upstreams} upstreams of {service} in data centre {name}, which is \
             being evacuated since {since_ms} ms"
        ));
    }
    let Consequences { at_risk, stopped_services } = consequences(state);
    if stopped_services.contains(service) {
        lines.push(format!("{id}: no upstream of {service} is outside these data centres"));
    }
    let own = |name: &Arc<str>| job.organisation.as_ref() == Some(name);
    for guarantee in at_risk.iter().filter(|guarantee| own(&guarantee.organisation)) {
        lines.push(format!(
            "{id}: the guarantee of {} is at risk: {} of {} accelerators remain for it",
            guarantee.organisation,
            guarantee.remaining_accelerators,
            guarantee.guaranteed_accelerators
        ));
    }
    lines
}
