//! Requests of callers, operators, upstreams and control hosts to the leader.

use std::sync::Arc;

use bytes::Bytes;
use tracing::{info, warn};

use super::Leader;
use crate::cluster::protocol::{OperatorReply, Reply, Request};
use crate::tasks::{Change, Configuration, Wave};

/// Number of warnings about a configuration beyond which no more are logged.
const CONFIGURATION_WARNINGS_MAX: usize = 20;

impl Leader {
    /// Handles one request.
    pub(in crate::cluster) async fn handle(self: &Arc<Self>, request: Request) -> Reply {
        match request {
            Request::Front(call) => self.handle_call(call, None).await,
            Request::Resend { call, age_ms } => self.handle_call(call, Some(age_ms)).await,
            Request::Heartbeat(heartbeat) => self.heartbeat(heartbeat).await,
            Request::Deregister { id, born_unix_ms } => self.deregister(&id, born_unix_ms).await,
            Request::SetConfiguration { configuration, raw } => {
                self.set_configuration(configuration, raw).await
            }
            Request::ReadConfiguration => {
                let raw = self.replica.lock().state.raw_configuration.clone();
                Reply::Operator(OperatorReply::Configuration(raw))
            }
            Request::StartWave { number, machines, cap, duration_ms } => {
                info!(wave = number, hosts = machines.len(), cap, duration_ms, "wave begins");
                let change = Change::StartWave { number, machines, cap, duration_ms };
                self.commit(change, Reply::Done).await
            }
            Request::WaveStatus { number } => {
                let inner = self.replica.lock();
                Reply::Wave(inner.state.waves.get(&number).map(Wave::is_completed))
            }
            Request::Join { id, address } => {
                self.replica.join(id, address);
                Reply::Done
            }
            Request::Leave { id } => {
                self.replica.remove_member(id).await;
                Reply::Done
            }
            Request::Status => Reply::Status(self.status()),
            Request::Explain { job } => Reply::Explanation(self.explain(&job)),
            Request::Evacuate { data_centre, begin, revision } => {
                self.set_evacuation(data_centre, begin, revision).await
            }
            // The host answers these itself, whether it leads or not.
            Request::Relay(_) => Reply::Unknown,
            Request::Evacuations => Reply::Evacuations(self.evacuations()),
        }
    }

    pub(super) async fn commit(&self, change: Change, reply: Reply) -> Reply {
        match self.replica.propose(change).await {
            Ok(()) => {
                self.wake.notify_one();
                reply
            }
            Err(_) => Reply::Unknown,
        }
    }

    async fn set_configuration(&self, configuration: Arc<Configuration>, raw: Bytes) -> Reply {
        if let Err(fault) = configuration.check() {
            warn!(version = configuration.version, error = %fault, "configuration is invalid");
            return Reply::Operator(OperatorReply::Invalid { reason: fault.to_string() });
        }
        let version = configuration.version;
        let current = self.replica.lock().state.configuration_version();
        if version <= current {
            info!(version, held = current, "configuration is not newer and changes nothing");
            return Reply::Operator(OperatorReply::Done);
        }
        for warning in configuration.warnings().iter().take(CONFIGURATION_WARNINGS_MAX) {
            warn!(version, %warning, "configuration has an entry without effect, or limits that contradict");
        }
        let change = Change::SetConfiguration { configuration, raw };
        let reply = self.commit(change, Reply::Operator(OperatorReply::Done)).await;
        let stored = reply != Reply::Unknown;
        info!(version, replaced = current, stored, "configuration was set");
        reply
    }
}
