//! Client that finds the leader of the control cluster and sends it requests.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tonic::transport::Channel;
use tracing::{info, warn};

use super::codec;
use super::protocol::{Reply, Request};
use crate::StepError;
use crate::entry::control_client::endpoint;
use crate::rpc;
use crate::rpc::cluster_client::ClusterClient;

/// Timeout of one attempt; a commit across regions takes far less.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time without contact to a leader after which a request fails.
///
/// An election takes about as long, so a caller that retries later finds the next leader.
const NO_LEADER_TIMEOUT: Duration = Duration::from_millis(900);

/// Pause between two rounds of attempts at all known hosts.
const RETRY_PAUSE: Duration = Duration::from_millis(80);

/// Time without an answer after which the next host is tried as well. It is longer than most commits
/// across regions take, so that a leader at work is rarely asked beside others.
const NEXT_HOST_AFTER: Duration = Duration::from_millis(300);

/// Maximum number of hosts that are tried at the same time.
const ATTEMPTS_MAX: usize = 3;

/// Maximum number of redirects to a named leader in one round.
const REDIRECTS_MAX: u32 = 2;

/// Size limit of a message between the system's own processes.
pub(super) const MESSAGE_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Why a request has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum ClientFault {
    /// No leader received the request, or the request changes no state.
    #[display("no leader of control is in reach")]
    NotDelivered,
    /// A leader may have received the request and may still carry it out.
    #[display("it is not known whether control has carried the request out")]
    Unknown,
}

/// Why a host could not be connected to.
#[derive(Debug, derive_more::Display, derive_more::Error)]
enum ConnectFault {
    #[display("{_0}")]
    Own(tonic::transport::Error),
    #[display("another call could not connect either")]
    Shared,
}

/// Client of the leader; clones share connections and known hosts.
#[derive(Debug, Clone)]
pub struct LeaderClient {
    hosts: Arc<Mutex<KnownHosts>>,
}

#[derive(Debug, Default)]
struct KnownHosts {
    leader: Option<SocketAddr>,
    /// When the leader last answered.
    leader_answered: Option<Instant>,
    seeds: Vec<SocketAddr>,
    members: Vec<SocketAddr>,
    clients: HashMap<SocketAddr, HostClient>,
    /// Locks by which concurrent calls share one attempt to connect; each has the time of the latest
    /// failed one.
    connecting: HashMap<SocketAddr, Arc<ConnectLock>>,
    /// Offset of the first host after the leader; each round starts with another host.
    rotation: usize,
}

/// An open connection to a host.
#[derive(Debug, Clone)]
struct HostClient {
    client: ClusterClient<Channel>,
    opened_at: Instant,
    replied_at: Instant,
}

type ConnectLock = tokio::sync::Mutex<Option<Instant>>;

/// One call, over all its attempts.
struct Call<'a> {
    request: &'a Request,
    begun: Instant,
    deadline: Instant,
    /// Whether an attempt without a reply may have been carried out, or may be later.
    uncertain: bool,
}

impl Call<'_> {
    /// Returns the message of the next attempt.
    fn message(&self, others_sent: bool) -> Bytes {
        match self.request {
            Request::Front(call) if self.uncertain || others_sent => {
                let age = self.begun.elapsed().as_millis();
                let age_ms = u64::try_from(age).unwrap_or(u64::MAX);
                codec::encode_message(&Request::Resend { call: call.clone(), age_ms })
            }
            request => codec::encode_message(request),
        }
    }

    /// Records that an attempt may be carried out without a reply to this call.
    fn record_uncertain(&mut self, may_be_carried_out: bool) {
        self.uncertain |= may_be_carried_out && self.request.changes_state();
    }

    /// Returns the reply to the call: a rejection only if it is true of all attempts.
    ///
    /// The caller must not learn that its request has no effect while an earlier attempt is in the log,
    /// on its way, or in the socket of a host that stands still.
    fn conclude(&self, reply: Reply) -> Result<Reply, ClientFault> {
        if !self.uncertain || reply.holds_for_all_attempts(self.request) {
            return Ok(reply);
        }
        warn!(
            ?reply,
            age_ms = self.begun.elapsed().as_millis(),
            "rejection is not passed on, since an earlier attempt may be carried out"
        );
        Err(ClientFault::Unknown)
    }
}

/// An attempt that is under way.
struct PendingAttempt {
    address: SocketAddr,
    /// Set when the request is sent.
    sent: Arc<AtomicBool>,
}

impl PendingAttempt {
    fn is_sent(&self) -> bool {
        self.sent.load(Ordering::Relaxed)
    }
}

/// Why one attempt at one host has no reply.
struct FailedAttempt {
    /// Whether the host may have received the request.
    delivered: bool,
    /// Whether the host has answered other calls meanwhile, so that it is only slow.
    slow: bool,
}

impl KnownHosts {
    /// Closes the connection of a failed call that began at `begun`, unless it is a newer one.
    ///
    /// A call that only timed out says nothing of a connection that carries replies to others. Closing
    /// it would make all of them connect again, to a host that is slow already.
    fn close_after(&mut self, address: SocketAddr, begun: Instant, timed_out: bool) -> bool {
        let Some(known) = self.clients.get(&address) else { return false };
        let is_newer = known.opened_at > begun;
        let works = timed_out && known.replied_at > begun;
        if !is_newer && !works {
            self.clients.remove(&address);
        }
        works
    }

    /// Returns the hosts to try, with the presumed leader first.
    fn candidates(&mut self) -> Vec<SocketAddr> {
        let mut others: Vec<_> = self.members.iter().chain(&self.seeds).copied().collect();
        others.sort_unstable();
        others.dedup();
        self.rotation = self.rotation.wrapping_add(1);
        if !others.is_empty() {
            let offset = self.rotation % others.len();
            others.rotate_left(offset);
        }
        let leader = self.leader;
        let others = others.into_iter().filter(|address| Some(*address) != leader);
        leader.into_iter().chain(others).collect()
    }
}

impl LeaderClient {
    /// Creates a client from the internal addresses of some control hosts.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        let hosts = KnownHosts { seeds, ..KnownHosts::default() };
        Self { hosts: Arc::new(Mutex::new(hosts)) }
    }

    /// Replaces the seeds; known members are kept.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.lock().seeds = seeds;
    }

    /// Replaces the members, as learned from the replicated log.
    pub fn set_members(&self, members: Vec<SocketAddr>) {
        self.lock().members = members;
    }

    fn lock(&self) -> MutexGuard<'_, KnownHosts> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request until a leader replies or a timeout ends.
    ///
    /// The request may be delivered more than once.
    ///
    /// # Errors
    /// Returns an error that states whether a leader may have received the request.
    pub async fn call(&self, request: &Request, limit: Duration) -> Result<Reply, ClientFault> {
        let begun = Instant::now();
        self.run(Call { request, begun, deadline: begun + limit, uncertain: false }).await
    }

    /// Sends a request again whose first attempt, elsewhere and at `begun`, had an unknown outcome.
    ///
    /// # Errors
    /// Returns an error that states whether a leader may have received the request.
    pub(super) async fn call_again(
        &self,
        request: &Request,
        begun: Instant,
        limit: Duration,
    ) -> Result<Reply, ClientFault> {
        let mut call = Call { request, begun, deadline: Instant::now() + limit, uncertain: false };
        call.record_uncertain(true);
        self.run(call).await
    }

    async fn run(&self, mut call: Call<'_>) -> Result<Reply, ClientFault> {
        let mut last_contact = Instant::now();
        loop {
            match self.try_all_hosts(&mut call).await {
                Ok(reply) => return call.conclude(reply),
                Err(maybe_delivered) => {
                    call.record_uncertain(maybe_delivered);
                    if maybe_delivered {
                        last_contact = Instant::now();
                    }
                }
            }
            let next = Instant::now() + RETRY_PAUSE;
            if next >= call.deadline || next >= last_contact + NO_LEADER_TIMEOUT {
                let fault =
                    if call.uncertain { ClientFault::Unknown } else { ClientFault::NotDelivered };
                return Err(fault);
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Tries each known host once, and the leaders that they name.
    ///
    /// A host that does not answer soon holds no other one up: the next is tried beside it. The error is
    /// whether a leader may have received the request.
    async fn try_all_hosts(&self, call: &mut Call<'_>) -> Result<Reply, bool> {
        let deadline = call.deadline;
        let mut candidates = VecDeque::from(self.lock().candidates());
        let mut redirects_left = REDIRECTS_MAX;
        let mut maybe_delivered = false;
        let mut trying: Vec<PendingAttempt> = Vec::new();
        let mut attempts = JoinSet::new();
        loop {
            if attempts.len() < ATTEMPTS_MAX
                && let Some(address) = candidates.pop_front()
            {
                let payload = call.message(trying.iter().any(PendingAttempt::is_sent));
                let sent = Arc::new(AtomicBool::new(false));
                trying.push(PendingAttempt { address, sent: Arc::clone(&sent) });
                let client = self.clone();
                attempts.spawn(async move {
                    let begun = Instant::now();
                    (address, begun, client.try_host(address, payload, &sent, deadline).await)
                });
            }
            let may_add = !candidates.is_empty() && attempts.len() < ATTEMPTS_MAX;
            let pause = if may_add { NEXT_HOST_AFTER } else { ATTEMPT_TIMEOUT };
            let (address, begun, answer) = match timeout(pause, attempts.join_next()).await {
                Ok(Some(Ok(ended))) => ended,
                Err(_) | Ok(Some(Err(_))) => continue,
                Ok(None) => return Err(maybe_delivered),
            };
            trying.retain(|other| other.address != address);
            let redirect = match answer {
                Ok(Reply::NotLeader { leader }) => leader.filter(|leader| *leader != address),
                Ok(Reply::Unknown) => {
                    maybe_delivered = true;
                    call.record_uncertain(true);
                    None
                }
                Ok(reply) => {
                    // No other attempt is sent from now on; those that were may arrive after this reply.
                    attempts.shutdown().await;
                    call.record_uncertain(trying.iter().any(PendingAttempt::is_sent));
                    self.set_leader(address);
                    return Ok(reply);
                }
                Err(FailedAttempt { delivered, slow }) => {
                    maybe_delivered |= delivered;
                    call.record_uncertain(delivered);
                    if slow {
                        continue;
                    }
                    None
                }
            };
            self.forget_leader(address, begun);
            let is_tried = |host: &SocketAddr| trying.iter().any(|other| other.address == *host);
            let redirect = redirect.filter(|leader| !is_tried(leader));
            if let Some(leader) = redirect.filter(|_| redirects_left > 0) {
                redirects_left -= 1;
                candidates.push_front(leader);
            }
            if Instant::now() >= deadline {
                return Err(maybe_delivered | !trying.is_empty());
            }
        }
    }

    fn set_leader(&self, address: SocketAddr) {
        let mut hosts = self.lock();
        let before = hosts.leader.replace(address);
        hosts.leader_answered = Some(Instant::now());
        drop(hosts);
        if before != Some(address) {
            info!(leader = %address, "leader of control found");
        }
    }

    /// Forgets the leader after an attempt that failed, unless it has answered since the attempt began.
    ///
    /// After an outage, attempts on old connections fail while those on new ones succeed.
    fn forget_leader(&self, address: SocketAddr, begun: Instant) {
        let mut hosts = self.lock();
        let has_answered = hosts.leader_answered.is_some_and(|answered| answered > begun);
        if hosts.leader == Some(address) && !has_answered {
            hosts.leader = None;
            warn!(leader = %address, "leader of control lost");
        }
    }

    /// Tries one host.
    async fn try_host(
        &self,
        address: SocketAddr,
        payload: Bytes,
        sent: &AtomicBool,
        deadline: Instant,
    ) -> Result<Reply, FailedAttempt> {
        let until = deadline.min(Instant::now() + ATTEMPT_TIMEOUT);
        let Ok(Ok(mut client)) = timeout_at(until, self.connect(address)).await else {
            return Err(FailedAttempt { delivered: false, slow: false });
        };
        let begun = Instant::now();
        sent.store(true, Ordering::Relaxed);
        let answer = timeout_at(until, client.call(rpc::Frame { payload })).await;
        let delivered = true;
        if let Ok(Ok(reply)) = answer {
            if let Some(known) = self.lock().clients.get_mut(&address) {
                known.replied_at = Instant::now();
            }
            let reply = codec::decode_message(&reply.into_inner().payload);
            return reply.map_err(|_| FailedAttempt { delivered, slow: false });
        }
        // The connection may be dead; the next attempt opens a new one.
        let slow = self.lock().close_after(address, begun, answer.is_err());
        Err(FailedAttempt { delivered, slow })
    }

    /// Returns a connected client for the address.
    async fn connect(&self, address: SocketAddr) -> Result<ClusterClient<Channel>, StepError> {
        let begun = Instant::now();
        if let Some(client) = self.open_client(address) {
            return Ok(client);
        }
        let connecting = Arc::clone(self.lock().connecting.entry(address).or_default());
        let mut failed_at = connecting.lock().await;
        if let Some(client) = self.open_client(address) {
            return Ok(client);
        }
        let failed = |fault| StepError::new("connect to control", address, fault);
        if failed_at.is_some_and(|at| at >= begun) {
            return Err(failed(ConnectFault::Shared));
        }
        let channel = match endpoint(address).connect().await {
            Ok(channel) => channel,
            Err(fault) => {
                *failed_at = Some(Instant::now());
                return Err(failed(ConnectFault::Own(fault)));
            }
        };
        let client = ClusterClient::new(channel).max_decoding_message_size(MESSAGE_LIMIT_BYTES);
        let now = Instant::now();
        let known = HostClient { client: client.clone(), opened_at: now, replied_at: now };
        self.lock().clients.insert(address, known);
        Ok(client)
    }

    fn open_client(&self, address: SocketAddr) -> Option<ClusterClient<Channel>> {
        self.lock().clients.get(&address).map(|known| known.client.clone())
    }
}
