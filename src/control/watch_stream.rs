//! Watch stream of an entry host: it sends demand and acknowledgements, and receives changes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval, timeout};
use tonic::{Status, Streaming};
use tracing::info;

use crate::http::wait_for_stop;
use crate::names::HostName;
use crate::rpc::{WatchReply, WatchRequest};

use super::core::{Core, State};
use super::shares::Demand;

/// Maximum time between two replies.
const REPLY_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit for the first message of a stream.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for a host to take a reply, after which it must open a new stream.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// The newest stream of each host, so that messages from before its restart are recognised.
#[derive(Debug, Default)]
pub(super) struct Streams {
    newest: BTreeMap<HostName, u64>,
    opened: u64,
    stale_dropped: u64,
}

impl Streams {
    fn open(&mut self, host: &HostName) -> u64 {
        self.opened += 1;
        self.newest.insert(host.clone(), self.opened);
        self.opened
    }

    fn is_newest(&self, host: &HostName, stream_id: u64) -> bool {
        self.newest.get(host) == Some(&stream_id)
    }

    pub(super) const fn stale_dropped(&self) -> u64 {
        self.stale_dropped
    }
}

type ReplySender = mpsc::Sender<Result<WatchReply, Status>>;

/// Serves one stream; a refusal is the stream's only reply.
///
/// The response headers are sent before the first message arrives, because a client may wait for
/// them before it sends anything.
pub(super) async fn serve(
    core: Arc<Core>,
    mut requests: Streaming<WatchRequest>,
    replies: ReplySender,
    stop: watch::Receiver<bool>,
) {
    let opened = match timeout(FIRST_MESSAGE_TIMEOUT, requests.message()).await {
        Ok(Ok(Some(first))) => WatchStream::open(core, &first).map(|stream| (stream, first)),
        Ok(Ok(None)) => return,
        Ok(Err(status)) => Err(status),
        Err(_) => {
            Err(Status::deadline_exceeded("the first message of the stream did not arrive in time"))
        }
    };
    match opened {
        Ok((stream, first)) => stream.run(first, requests, replies, stop).await,
        Err(status) => _ = replies.send(Err(status)).await,
    }
}

/// State of one stream.
struct WatchStream {
    core: Arc<Core>,
    host: HostName,
    stream_id: u64,
    sequence: u64,
    sent_share_revision: u64,
    sent_registry_revision: u64,
    sent_document_index: u64,
}

impl WatchStream {
    /// Opens a stream with the host's first message.
    ///
    /// # Errors
    /// Returns a status if the host is not one of those configured, or knows a later epoch.
    fn open(core: Arc<Core>, first: &WatchRequest) -> Result<Self, Status> {
        let host: HostName =
            first.host.parse().map_err(|fault| Status::invalid_argument(format!("{fault}")))?;
        if first.epoch > core.epoch {
            let text = format!("epoch {} is later than {}", first.epoch, core.epoch);
            return Err(Status::failed_precondition(text));
        }
        let mut state = core.lock();
        if !state.shares.is_configured(&host) {
            let text = format!("{host} is not a configured entry host");
            return Err(Status::permission_denied(text));
        }
        let stream_id = state.streams.open(&host);
        drop(state);
        info!(host = %host, "an entry host opened its watch stream");
        Ok(Self {
            core,
            host,
            stream_id,
            sequence: 0,
            sent_share_revision: 0,
            sent_registry_revision: 0,
            sent_document_index: 0,
        })
    }

    /// Serves the stream until it ends, a newer one replaces it or `stop` becomes true.
    async fn run(
        mut self,
        first: WatchRequest,
        mut requests: Streaming<WatchRequest>,
        replies: ReplySender,
        mut stop: watch::Receiver<bool>,
    ) {
        let mut changed = self.core.changed.subscribe();
        let mut due = interval(REPLY_INTERVAL);
        due.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut message = Some(first);
        loop {
            if let Some(request) = message.take()
                && !self.receive(&request)
            {
                break;
            }
            let reply = self.reply();
            if timeout(SEND_TIMEOUT, replies.send(Ok(reply))).await.is_err() || replies.is_closed()
            {
                break;
            }
            due.reset();
            tokio::select! {
                () = wait_for_stop(&mut stop) => break,
                _ = due.tick() => {}
                () = self.wait_for_change(&mut changed) => {}
                next = requests.message() => match next {
                    Ok(Some(request)) => message = Some(request),
                    Ok(None) | Err(_) => break,
                },
            }
        }
        info!(host = %self.host, "a watch stream of an entry host ended");
    }

    /// Waits for a change that has not been sent to this host.
    async fn wait_for_change(&self, changed: &mut watch::Receiver<u64>) {
        while changed.changed().await.is_ok() {
            let state = self.core.lock();
            let has_change = state.shares.revision(&self.host) > self.sent_share_revision
                || state.registry.revision() > self.sent_registry_revision
                || state.documents.durable_index() > self.sent_document_index
                || !state.streams.is_newest(&self.host, self.stream_id);
            if has_change {
                return;
            }
        }
    }

    /// Handles a message; returns `false` if a newer stream has replaced this one.
    fn receive(&mut self, request: &WatchRequest) -> bool {
        let now_ms = self.core.now_ms();
        let mut state = self.core.lock();
        if !state.streams.is_newest(&self.host, self.stream_id) {
            state.streams.stale_dropped += 1;
            return false;
        }
        let is_current = request.epoch == self.core.epoch;
        // A host that has not received a reply yet sends 0.
        if !is_current && request.epoch != 0 {
            state.streams.stale_dropped += 1;
        }
        // A revision of another epoch does not acknowledge any shares of this one.
        let acknowledged = if is_current { request.share_revision } else { 0 };
        let before = state.shares.total_revision();
        // An empty report is valid whatever epoch the host knows.
        if is_current || request.held.is_empty() {
            state.shares.handle_report(&self.host, &request.held, now_ms);
        }
        let demands = demands(request);
        state.shares.handle_demand(&self.host, acknowledged, &demands, now_ms);
        let changed = state.shares.total_revision() != before;
        drop(state);
        if changed {
            self.core.notify_streams();
        }
        self.sequence = self.sequence.max(request.sequence);
        self.sent_document_index = request.document_index;
        true
    }

    fn reply(&mut self) -> WatchReply {
        let now_ms = self.core.now_ms();
        let state = self.core.lock();
        let awaits_report = state.shares.awaits_report(&self.host, now_ms);
        let share_revision = if awaits_report { 0 } else { state.shares.revision(&self.host) };
        let has_new_shares = share_revision > self.sent_share_revision;
        let shares = if has_new_shares { state.shares.list(&self.host) } else { Vec::new() };
        let upstreams = state.registry.changed_since(self.sent_registry_revision);
        let documents = documents_after(&state, self.sent_document_index);
        self.sent_share_revision = share_revision;
        self.sent_registry_revision = state.registry.revision();
        self.sent_document_index = self.sent_document_index.max(state.documents.durable_index());
        WatchReply {
            epoch: self.core.epoch,
            share_revision,
            share_lease_ms: u32::try_from(self.core.settings.share_lease_ms).unwrap_or(u32::MAX),
            shares,
            upstreams,
            documents,
            document_index: state.documents.durable_index(),
            sequence: self.sequence,
        }
    }
}

fn documents_after(state: &State, index: u64) -> Vec<crate::rpc::Document> {
    let newer = state.documents.newer_than(index);
    newer.into_iter().map(|(service, document)| document.to_wire(service)).collect()
}

/// Returns the demand in a request; entries with a malformed upstream name are skipped.
fn demands(request: &WatchRequest) -> Vec<Demand> {
    let demand = |share: &crate::rpc::ShareUse| {
        Some(Demand {
            upstream: share.upstream.parse().ok()?,
            slots_in_use: share.slots_in_use,
            slots_wanted: share.slots_wanted,
        })
    };
    request.r#use.iter().filter_map(demand).collect()
}
