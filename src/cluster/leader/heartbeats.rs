//! Heartbeats and leaves of upstreams.

use std::sync::Arc;

use tracing::info;

use super::Leader;
use super::hold::LastRuns;
use crate::cluster::clock::boot_ms;
use crate::cluster::protocol::Reply;
use crate::tasks::{Change, Heartbeat, Incarnation, Upstream};

impl Leader {
    /// Registers the upstream of a heartbeat if it is new or has changed, once the runs of an upstream
    /// that it replaces, by identity or by address, are over.
    pub(super) async fn heartbeat(self: &Arc<Self>, heartbeat: Heartbeat) -> Reply {
        let incarnation =
            Incarnation { id: Arc::clone(&heartbeat.id), born_unix_ms: heartbeat.born_unix_ms };
        self.record_cold(&incarnation, heartbeat.cold_remaining_ms);
        if heartbeat.draining {
            self.record_notice(&incarnation, heartbeat.drain_remaining_ms);
        }
        let known = self.replica.lock().state.upstreams.get(&heartbeat.id).cloned();
        if known.as_ref().is_some_and(|known| known.is_described_by(&heartbeat)) {
            self.record_heartbeat(&heartbeat.id);
            return Reply::Done;
        }
        let at_address = {
            let inner = self.replica.lock();
            let is_other_at_address = |other: &&Upstream| {
                other.heartbeat.address == heartbeat.address && other.heartbeat.id != heartbeat.id
            };
            inner.state.upstreams.values().find(is_other_at_address).cloned()
        };
        // What a registered upstream says of itself counts as long as it is registered.
        let is_registered = known.as_ref().is_some_and(|known| known.incarnation() == incarnation);
        if !is_registered && !self.replica.lock().state.needs_service(&heartbeat.service) {
            info!(
                upstream = %heartbeat.id, service = %heartbeat.service,
                "heartbeat of an unknown service"
            );
            return Reply::Done;
        }
        if known.as_ref().is_some_and(|known| known.heartbeat.born_unix_ms > heartbeat.born_unix_ms)
        {
            info!(upstream = %heartbeat.id, "heartbeat of an earlier incarnation is ignored");
            return Reply::Done;
        }
        if let Some(other) = at_address {
            if other.heartbeat.born_unix_ms > heartbeat.born_unix_ms {
                info!(upstream = %heartbeat.id, "heartbeat of a former upstream is ignored");
                return Reply::Done;
            }
            if self.replace_upstream(&other.incarnation(), &heartbeat).await.is_err() {
                return Reply::Unknown;
            }
        }
        if let Some(former) = known.map(|known| known.incarnation()) {
            if former == incarnation {
                self.record_heartbeat(&heartbeat.id);
            } else if self.replace_upstream(&former, &heartbeat).await.is_err() {
                return Reply::Unknown;
            }
        }
        info!(
            upstream = %heartbeat.id, address = %heartbeat.address,
            born_unix_ms = heartbeat.born_unix_ms, draining = heartbeat.draining,
            rack = %heartbeat.rack, "upstream is registered"
        );
        self.commit(Change::RegisterUpstream { heartbeat }, Reply::Done).await
    }

    /// Records for how long a draining upstream stays at least.
    fn record_notice(&self, incarnation: &Incarnation, remaining_ms: u64) {
        let mut term_state = self.term_state();
        let session = term_state.sessions.get_mut(&incarnation.id);
        if let Some(session) = session.filter(|session| session.incarnation == *incarnation) {
            session.record_notice(remaining_ms, boot_ms());
        }
    }

    /// Records that an upstream is alive.
    fn record_heartbeat(&self, id: &Arc<str>) {
        if let Some(session) = self.term_state().sessions.get_mut(id) {
            session.last_heartbeat_ms = boot_ms();
        }
    }

    /// Removes a leaving upstream, or marks its session as leaving. Without `born_unix_ms` this
    /// applies to any incarnation.
    pub(super) async fn deregister(&self, id: &Arc<str>, born_unix_ms: Option<u64>) -> Reply {
        let known = self.replica.lock().state.upstreams.get(id).map(Upstream::incarnation);
        let Some(incarnation) = known else { return Reply::Done };
        if born_unix_ms.is_some_and(|born| born != incarnation.born_unix_ms) {
            return Reply::Done;
        }
        info!(upstream = %id, "upstream leaves");
        // Ends of runs that are not reported yet must not get lost. So an upstream with a session
        // is removed once it no longer answers the loop that extends its lease and reads its lists.
        let leaving_since_ms = match self.term_state().sessions.get_mut(id) {
            Some(session) if session.incarnation == incarnation => {
                Some(session.record_leave(boot_ms()))
            }
            _ => None,
        };
        let Some(leaving_since_ms) = leaving_since_ms else {
            return self.remove_idle_upstream(incarnation).await;
        };
        // The next leader must know of it if it is the one that notices the end.
        if !self.store_leave(&incarnation).await {
            return Reply::Unknown;
        }
        match self.end_last_runs(&incarnation, leaving_since_ms).await {
            LastRuns::Ended | LastRuns::Remaining => Reply::Done,
            LastRuns::Ending => Reply::RunsRemain,
        }
    }

    /// Records in the log that an upstream leaves, unless that is known; returns whether it is stored.
    async fn store_leave(&self, incarnation: &Incarnation) -> bool {
        if self.replica.lock().state.departure_of(incarnation).leaves {
            return true;
        }
        let change = Change::RecordLeave { incarnation: incarnation.clone() };
        self.replica.propose(change).await.is_ok()
    }

    /// Removes a leaving upstream without a session, unless it has runs: these go on until they are
    /// stopped, which takes the session that begins soon.
    async fn remove_idle_upstream(&self, incarnation: Incarnation) -> Reply {
        if self.replica.lock().state.has_runs(&incarnation) {
            return Reply::RunsRemain;
        }
        self.commit(Change::RemoveUpstream { incarnation }, Reply::Done).await
    }
}
