//! Evacuation of data centres: requests of operators.

use std::sync::Arc;

use tracing::{info, warn};

use super::Leader;
use crate::cluster::protocol::{EvacuationStatus, OperatorReply, Reply};
use crate::tasks::{Change, State};

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

    /// Returns whether the settings, an upstream or an evacuation that is remembered names a data centre.
    fn is_known_data_centre(&self, data_centre: &str) -> bool {
        let inner = self.replica.lock();
        let state = &inner.state;
        let mut upstreams = state.upstreams.values();
        self.data_centres.contains(data_centre)
            || state.evacuations.get(data_centre).is_some()
            || upstreams.any(|upstream| *upstream.heartbeat.data_centre == *data_centre)
    }
}

fn status_of(state: &State, data_centre: &Arc<str>, now_ms: u64) -> EvacuationStatus {
    let in_it = |upstream: &&crate::tasks::Upstream| upstream.heartbeat.data_centre == *data_centre;
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
