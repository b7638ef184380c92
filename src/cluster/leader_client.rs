//! Carries requests to the leader of control, wherever it is.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Instant, sleep, timeout_at};
use tonic::transport::Channel;
use tracing::{info, warn};

use super::codec;
use super::protocol::{Reply, Request};
use crate::StepError;
use crate::entry::control_client::endpoint;
use crate::rpc;
use crate::rpc::cluster_client::ClusterClient;

/// Time for one attempt; a commit across regions takes far less.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time for which a request waits for a leader since the last sign of one.
///
/// An election takes about as long; a caller that is told to come back finds the next leader.
const WITHOUT_LEADER: Duration = Duration::from_millis(900);

/// Pause before the next attempt after all known hosts were asked.
const RETRY_PAUSE: Duration = Duration::from_millis(80);

/// Hosts that are asked in one round because another one named them as the leader.
const HINTS_MAX: u32 = 2;

/// Largest message between the system's own processes.
pub(super) const MESSAGE_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Why a request has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum ClientFault {
    /// No leader has received it, or it changes nothing.
    #[display("no leader of control is in reach")]
    NotDelivered,
    /// A leader may have received it and may still carry it out.
    #[display("control did not answer in time")]
    Unknown,
}

/// Client of the leader; clones share their connections.
#[derive(Debug, Clone)]
pub struct LeaderClient {
    known: Arc<Mutex<Known>>,
}

#[derive(Debug, Default)]
struct Known {
    leader: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    members: Vec<SocketAddr>,
    clients: HashMap<SocketAddr, ClusterClient<Channel>>,
    /// Rotates the host that is asked first.
    turn: usize,
}

impl Known {
    /// Hosts to ask: the presumed leader first.
    fn candidates(&mut self) -> Vec<SocketAddr> {
        let mut others: Vec<_> = self.members.iter().chain(&self.seeds).copied().collect();
        others.sort_unstable();
        others.dedup();
        self.turn = self.turn.wrapping_add(1);
        if !others.is_empty() {
            let turn = self.turn % others.len();
            others.rotate_left(turn);
        }
        let leader = self.leader;
        let others = others.into_iter().filter(|address| Some(*address) != leader);
        leader.into_iter().chain(others).collect()
    }
}

impl LeaderClient {
    /// Creates a client that knows the listeners of some control hosts.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        let known = Known { seeds, ..Known::default() };
        Self { known: Arc::new(Mutex::new(known)) }
    }

    /// Replaces the seeds; the members learned so far stay known.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.lock().seeds = seeds;
    }

    /// Replaces the members learned from the leader.
    pub fn set_members(&self, members: Vec<SocketAddr>) {
        self.lock().members = members;
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks until a leader replies or the time is over. All requests may be sent twice.
    ///
    /// # Errors
    /// Tells whether a leader may have received the request.
    pub async fn call(&self, request: &Request, limit: Duration) -> Result<Reply, ClientFault> {
        let begun = Instant::now();
        let deadline = begun + limit;
        let payload = codec::encode(request);
        let mut maybe_delivered = false;
        let mut last_sign = begun;
        loop {
            match self.ask_all(&payload, deadline).await {
                Ok(reply) => return Ok(reply),
                Err(true) => {
                    maybe_delivered = request.changes_state();
                    last_sign = Instant::now();
                }
                Err(false) => {}
            }
            let next = Instant::now() + RETRY_PAUSE;
            if next >= deadline || next >= last_sign + WITHOUT_LEADER {
                let fault =
                    if maybe_delivered { ClientFault::Unknown } else { ClientFault::NotDelivered };
                return Err(fault);
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Asks each known host once, and those that they name as the leader.
    ///
    /// Without a reply, tells whether a leader may have received the request.
    async fn ask_all(&self, payload: &Bytes, deadline: Instant) -> Result<Reply, bool> {
        let mut candidates = VecDeque::from(self.lock().candidates());
        let mut hints_left = HINTS_MAX;
        let mut maybe_delivered = false;
        while let Some(address) = candidates.pop_front() {
            let hint = match self.attempt(address, payload.clone(), deadline).await {
                Ok(Reply::NotLeader { leader }) => leader.filter(|leader| *leader != address),
                Ok(Reply::Unknown) => {
                    maybe_delivered = true;
                    None
                }
                Ok(reply) => {
                    self.found_leader(address);
                    return Ok(reply);
                }
                Err(delivered) => {
                    maybe_delivered |= delivered;
                    None
                }
            };
            self.forget_leader(address);
            if let Some(leader) = hint.filter(|_| hints_left > 0) {
                hints_left -= 1;
                candidates.push_front(leader);
            }
            if Instant::now() >= deadline {
                break;
            }
        }
        Err(maybe_delivered)
    }

    fn found_leader(&self, address: SocketAddr) {
        let before = self.lock().leader.replace(address);
        if before != Some(address) {
            info!(leader = %address, "leader of control found");
        }
    }

    fn forget_leader(&self, address: SocketAddr) {
        let mut known = self.lock();
        if known.leader == Some(address) {
            known.leader = None;
            warn!(leader = %address, "leader of control lost");
        }
    }

    /// Asks one host; a fault tells whether the host may have received the request.
    async fn attempt(
        &self,
        address: SocketAddr,
        payload: Bytes,
        deadline: Instant,
    ) -> Result<Reply, bool> {
        let until = deadline.min(Instant::now() + ATTEMPT_TIMEOUT);
        let Ok(Ok(mut client)) = timeout_at(until, self.connected(address)).await else {
            return Err(false);
        };
        if let Ok(Ok(reply)) = timeout_at(until, client.call(rpc::Frame { payload })).await {
            return codec::decode(&reply.into_inner().payload).map_err(|_| true);
        }
        // The connection may have gone silent; the next attempt opens another one.
        self.lock().clients.remove(&address);
        Err(true)
    }

    /// Returns a client whose connection is open.
    async fn connected(&self, address: SocketAddr) -> Result<ClusterClient<Channel>, StepError> {
        let known = self.lock().clients.get(&address).cloned();
        if let Some(client) = known {
            return Ok(client);
        }
        let channel = endpoint(address)
            .connect()
            .await
            .map_err(|fault| StepError::new("connect to control", address, fault))?;
        let client = ClusterClient::new(channel).max_decoding_message_size(MESSAGE_LIMIT_BYTES);
        self.lock().clients.insert(address, client.clone());
        Ok(client)
    }
}
