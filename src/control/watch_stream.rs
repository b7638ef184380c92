//! One entry host's watch stream: its demand and acknowledgements in, changes out.

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

/// Longest time between two replies.
const REPLY_INTERVAL: Duration = Duration::from_secs(1);

/// Time for the first message of a stream.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for a host to take a reply; afterwards it has to open a new stream.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// The newest stream of each host; a restarted host must not be mixed up with its earlier life.
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

    fn is_newest(&self, host: &HostName, number: u64) -> bool {
        self.newest.get(host) == Some(&number)
    }

    pub(super) const fn stale_dropped(&self) -> u64 {
        self.stale_dropped
    }
}

type Out = mpsc::Sender<Result<WatchReply, Status>>;

/// Serves one stream; a refusal is the stream's only reply.
///
/// The caller's headers are answered before its first message arrives, so that a client that waits
/// for them before it sends anything is served too.
pub(super) async fn serve(
    core: Arc<Core>,
    mut requests: Streaming<WatchRequest>,
    out: Out,
    stop: watch::Receiver<bool>,
) {
    let opened = match timeout(FIRST_MESSAGE_TIMEOUT, requests.message()).await {
        Ok(Ok(Some(first))) => WatchStream::open(core, &first).map(|stream| (stream, first)),
        Ok(Ok(None)) => return,
        Ok(Err(status)) => Err(status),
        Err(_) => Err(Status::deadline_exceeded("the stream brought no first message")),
    };
    match opened {
        Ok((stream, first)) => stream.run(first, requests, out, stop).await,
        Err(status) => _ = out.send(Err(status)).await,
    }
}

/// State of one stream.
struct WatchStream {
    core: Arc<Core>,
    host: HostName,
    number: u64,
    sequence: u64,
    sent_revision: u64,
    sent_registry: u64,
    sent_document: u64,
}

impl WatchStream {
    /// Begins a stream with the host's first message.
    ///
    /// # Errors
    /// Returns a status if the host is not one of those configured, or has heard a later epoch.
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
        let number = state.streams.open(&host);
        drop(state);
        info!(host = %host, "an entry host opened its watch stream");
        Ok(Self {
            core,
            host,
            number,
            sequence: 0,
            sent_revision: 0,
            sent_registry: 0,
            sent_document: 0,
        })
    }

    /// Serves the stream until it ends, a newer one replaces it or `stop` becomes true.
    async fn run(
        mut self,
        first: WatchRequest,
        mut requests: Streaming<WatchRequest>,
        out: Out,
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
            if timeout(SEND_TIMEOUT, out.send(Ok(reply))).await.is_err() || out.is_closed() {
                break;
            }
            due.reset();
            tokio::select! {
                () = wait_for_stop(&mut stop) => break,
                _ = due.tick() => {}
                () = self.news(&mut changed) => {}
                next = requests.message() => match next {
                    Ok(Some(request)) => message = Some(request),
                    Ok(None) | Err(_) => break,
                },
            }
        }
        info!(host = %self.host, "a watch stream of an entry host ended");
    }

    /// Waits until something changed that this host has not been told.
    async fn news(&self, changed: &mut watch::Receiver<u64>) {
        while changed.changed().await.is_ok() {
            let state = self.core.lock();
            let news = state.shares.revision(&self.host) > self.sent_revision
                || state.registry.revision() > self.sent_registry
                || state.documents.durable_index() > self.sent_document
                || !state.streams.is_newest(&self.host, self.number);
            if news {
                return;
            }
        }
    }

    /// Takes in a message; returns false if a newer stream has replaced this one.
    fn receive(&mut self, request: &WatchRequest) -> bool {
        let now_ms = self.core.now_ms();
        let mut state = self.core.lock();
        if !state.streams.is_newest(&self.host, self.number) {
            state.streams.stale_dropped += 1;
            return false;
        }
        let is_current = request.epoch == self.core.epoch;
        // A host that has heard no reply yet sends 0.
        if !is_current && request.epoch != 0 {
            state.streams.stale_dropped += 1;
        }
        // A revision of another epoch says nothing about the shares of this one.
        let acknowledged = if is_current { request.share_revision } else { 0 };
        let before = state.shares.total_revision();
        // A host that holds nothing has nothing to report, whatever epoch it knows.
        if is_current || request.held.is_empty() {
            state.shares.reported(&self.host, &request.held, now_ms);
        }
        let demands = demands(request);
        state.shares.heard(&self.host, acknowledged, &demands, now_ms);
        let changed = state.shares.total_revision() != before;
        drop(state);
        if changed {
            self.core.notify();
        }
        self.sequence = self.sequence.max(request.sequence);
        self.sent_document = request.document_index;
        true
    }

    fn reply(&mut self) -> WatchReply {
        let now_ms = self.core.now_ms();
        let state = self.core.lock();
        let awaits_report = state.shares.awaits_report(&self.host, now_ms);
        let share_revision = if awaits_report { 0 } else { state.shares.revision(&self.host) };
        let went_up = share_revision > self.sent_revision;
        let shares = if went_up { state.shares.list(&self.host) } else { Vec::new() };
        let upstreams = state.registry.changed_since(self.sent_registry);
        let documents = documents_after(&state, self.sent_document);
        self.sent_revision = share_revision;
        self.sent_registry = state.registry.revision();
        self.sent_document = self.sent_document.max(state.documents.durable_index());
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

/// Reads the demand; a name that cannot be an upstream's is passed over.
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
