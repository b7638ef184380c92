//! Sends messages of the replicated log to the other control hosts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;

use super::codec;
use super::leader_client::MESSAGE_LIMIT_BYTES;
use crate::entry::control_client::channel;
use crate::quorum::{Batch, MemberId, Membership, Message};
use crate::rpc;
use crate::rpc::cluster_client::ClusterClient;

/// Queue capacity per host; the replicated log resends dropped messages.
const QUEUE_CAPACITY: usize = 256;

/// Maximum number of concurrent calls to one host.
const CALLS_MAX: usize = 16;

const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Outgoing message queues to the other hosts, by address.
#[derive(Debug)]
pub(super) struct Peers {
    own_address: String,
    /// Runtime of the tasks that send.
    runtime: Handle,
    queues: HashMap<String, mpsc::Sender<Message>>,
    /// Addresses to which hosts want replies, used for hosts missing from the known membership.
    addresses: HashMap<MemberId, String>,
}

impl Peers {
    pub(super) fn new(own_address: String, runtime: Handle) -> Self {
        Self { own_address, runtime, queues: HashMap::new(), addresses: HashMap::new() }
    }

    /// Records the reply address of a host.
    pub(super) fn record_address(&mut self, id: MemberId, address: &str) {
        if self.addresses.get(&id).is_none_or(|known| known != address) {
            self.addresses.insert(id, address.to_owned());
        }
    }

    /// Queues messages; drops those to hosts whose queue is full.
    pub(super) fn send(&mut self, messages: Vec<Message>, membership: &Membership) {
        for message in messages {
            let member = membership.get(message.to).map(|member| &member.address);
            let Some(address) = member.or_else(|| self.addresses.get(&message.to)) else {
                continue;
            };
            let open = || open_queue(&self.runtime, address, self.own_address.clone());
            let queue = self.queues.entry(address.clone()).or_insert_with(open);
            // The replicated log resends lost messages.
            _ = queue.try_send(message);
        }
    }
}

fn open_queue(runtime: &Handle, address: &str, own_address: String) -> mpsc::Sender<Message> {
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    match address.parse::<SocketAddr>() {
        Ok(address) => drop(runtime.spawn(forward(address, own_address, receiver))),
        Err(fault) => {
            tracing::error!(address, error = %fault, "invalid address of a cluster member");
        }
    }
    sender
}

/// Sends queued messages in batches, one call each; up to `CALLS_MAX` calls are in flight.
async fn forward(address: SocketAddr, own_address: String, mut queue: mpsc::Receiver<Message>) {
    let permits = Arc::new(Semaphore::new(CALLS_MAX));
    let (outcome_sender, mut outcomes) = mpsc::channel::<Option<String>>(CALLS_MAX);
    let mut client = ClusterClient::new(channel(address));
    let mut reachable = true;
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, QUEUE_CAPACITY).await > 0 {
        let mut latest = None;
        while let Ok(outcome) = outcomes.try_recv() {
            latest = Some(outcome);
        }
        if let Some(fault) = latest {
            let ok = fault.is_none();
            if ok != reachable {
                reachable = ok;
                log_reachability(address, fault.as_deref());
            }
            if !ok {
                // The open connection may be dead although a new one would work.
                client = ClusterClient::new(channel(address));
            }
        }
        let messages = std::mem::take(&mut batch);
        let payload = codec::encode_message(&Batch { from_address: own_address.clone(), messages });
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let mut call = client.clone().max_decoding_message_size(MESSAGE_LIMIT_BYTES);
        let outcome_sender = outcome_sender.clone();
        tokio::spawn(async move {
            let outcome = match timeout(CALL_TIMEOUT, call.step(rpc::Frame { payload })).await {
                Ok(Ok(_)) => None,
                Ok(Err(status)) => Some(status.message().to_owned()),
                Err(_) => Some("no answer in time".to_owned()),
            };
            _ = outcome_sender.try_send(outcome);
            drop(permit);
        });
    }
}

fn log_reachability(address: SocketAddr, fault: Option<&str>) {
    match fault {
        None => tracing::info!(peer = %address, "control host is reachable again"),
        Some(fault) => tracing::warn!(peer = %address, error = fault, "control host is lost"),
    }
}
