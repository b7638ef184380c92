//! A control host: a replica of the state, and the leader while this host leads.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use sha2::{Digest, Sha256};
use tokio::runtime::Handle;
use tokio::time::{Instant, timeout_at};
use tracing::info;

use super::clock::boot_ms;
use super::holder::Holder;
use super::leader::Leader;
use super::leader_client::{ClientFault, LeaderClient};
use super::log_thread::LogThread;
use super::protocol::{Reply, Request};
use super::relays::Relays;
use super::replica::{Replica, write_founding_records};
use super::settings::ClusterSettings;
use super::upstream_calls::UpstreamCalls;
use super::{clock, server};
use crate::StepError;
use crate::journal::Journal;
use crate::quorum::storage::{Recovered, recover};
use crate::quorum::{Batch, Core, Limits, Log, MemberId, Membership, Snapshot};
use crate::tasks::Heartbeat;

/// Base election timeout, for hosts in several regions.
const ELECTION_MS: u64 = 500;

/// Interval between heartbeats of the leader.
const HEARTBEAT_MS: u64 = 100;

/// Limits of the replicated log.
///
/// A voter is removed after twice the election timeout, so that a host which is slow for a moment stays,
/// and a lost one no longer counts once its successor has caught up.
const fn quorum_limits(losses_max: usize) -> Limits {
    Limits {
        election_ms: ELECTION_MS,
        heartbeat_ms: HEARTBEAT_MS,
        remove_after_ms: 2 * ELECTION_MS,
        losses_max,
    }
}

/// Interval of join requests while a host knows no leader or is no voter.
const JOIN_INTERVAL: Duration = Duration::from_millis(400);

/// Time limit of the request to leave; the process stops after it in any case.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

const JOIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A running control host.
#[derive(Debug)]
pub struct Control {
    pub(super) replica: Arc<Replica>,
    client: LeaderClient,
    /// Present while this host leads.
    leader: Mutex<Option<Arc<Leader>>>,
    settings: ClusterSettings,
    calls: UpstreamCalls,
    /// Holds upstreams while another host leads.
    holder: Arc<Holder>,
    id: MemberId,
    /// When this process started, on its host's boot clock.
    started_ms: u64,
}

impl Control {
    /// Recovers the state from disk, opens the listener for other hosts and starts replication.
    ///
    /// # Errors
    /// Returns an error if the disk cannot be read or the address is in use.
    pub async fn start(
        settings: ClusterSettings,
        calls: UpstreamCalls,
    ) -> Result<Arc<Self>, StepError> {
        let started_ms = boot_ms();
        let (journal, records) = Journal::open(&settings.data_dir)?;
        let mut recovered = recover(records)?;
        let id = match recovered.identity {
            Some(id) => id,
            None => new_identity(&settings, &journal, &mut recovered).await?,
        };
        let Recovered { durable, .. } = recovered;
        let log = &durable.log;
        info!(
            host = settings.host,
            id,
            term = durable.term,
            first_index = log.first_index(),
            last_index = log.last_index(),
            members = log.membership().members.len(),
            founding = settings.founding,
            log_read_ms = boot_ms().saturating_sub(started_ms),
            "control host starts"
        );
        // What this host promised to a leader, it promised before it started. So the time in which it
        // reads its log counts as a part of the election timeout.
        let limits = quorum_limits(settings.losses_max);
        let core = Core::new(id, durable, limits, rand::random(), started_ms);
        let log_thread = LogThread::start()?;
        let log = log_thread.handle().clone();
        let own_address = settings.internal_address.to_string();
        let replica = Replica::new(core, journal, own_address, log.clone())?;
        let client = LeaderClient::new(settings.seeds.clone());
        let listening = log.spawn(server::listen(settings.internal_address));
        let listener = listening
            .await
            .map_err(|error| StepError::new("open the listener", "this host", error))??;
        let holder = Holder::new(calls.clone());
        let control = Arc::new(Self {
            replica,
            client,
            leader: Mutex::default(),
            settings,
            calls,
            holder,
            id,
            started_ms,
        });
        log.spawn(Arc::clone(&control.replica).run());
        log.spawn(server::serve(Arc::clone(&control), Handle::current(), listener));
        tokio::spawn(async move {
            // The thread ends with the runtime of the other tasks.
            let _log_thread = log_thread;
            std::future::pending::<()>().await;
        });
        tokio::spawn(Arc::clone(&control).run_leader_terms());
        tokio::spawn(Arc::clone(&control).request_membership());
        Ok(control)
    }

    pub(super) fn receive(&self, batch: Batch) {
        self.replica.receive(batch);
    }

    /// Handles a request if this host is the confirmed leader.
    pub(super) async fn handle(&self, request: Request) -> Reply {
        let request = match request {
            Request::Relay(orders) => return Reply::Relayed(self.holder.exchange(orders).await),
            request => request,
        };
        let leader = self.current_leader();
        match leader {
            Some(leader) if self.replica.is_confirmed_leader() => leader.handle(request).await,
            _ => Reply::NotLeader { leader: self.leader_address() },
        }
    }

    /// Handles a request here or forwards it to the leader.
    ///
    /// # Errors
    /// Returns an error that states whether a leader may have received the request.
    pub async fn call(&self, request: Request, limit: Duration) -> Result<Reply, ClientFault> {
        if let Request::Heartbeat(heartbeat) = &request
            && self.knows_as_is(heartbeat)
        {
            return Ok(Reply::Done);
        }
        let begun = Instant::now();
        match self.handle(request.clone()).await {
            Reply::NotLeader { .. } => self.client.call(&request, limit).await,
            Reply::Unknown => self.client.call_again(&request, begun, limit).await,
            reply => Ok(reply),
        }
    }

    /// Begins or finishes the evacuation of a data centre.
    ///
    /// The request names the revision that this host knows. If another one is current, the request is
    /// repeated with that: only one whose sender still waits may undo a later one.
    ///
    /// # Errors
    /// Returns an error that states whether a leader may have received the request.
    pub async fn evacuate(
        &self,
        data_centre: Arc<str>,
        begin: bool,
        limit: Duration,
    ) -> Result<Reply, ClientFault> {
        let deadline = Instant::now() + limit;
        let mut revision = self.replica.lock().state.evacuations.revision(&data_centre);
        loop {
            let request =
                Request::Evacuate { data_centre: Arc::clone(&data_centre), begin, revision };
            let left = deadline.saturating_duration_since(Instant::now());
            match timeout_at(deadline, self.call(request, left)).await {
                Ok(Ok(Reply::EvacuationRevision(current))) => revision = current,
                Ok(reply) => return reply,
                Err(_) => return Err(ClientFault::Unknown),
            }
        }
    }

    /// Returns whether this host follows a leader and its replica holds the upstream as its heartbeat
    /// describes it, so that the leader need not hear of it. With many upstreams the leader could not
    /// answer all heartbeats in time; upstreams would repeat them at other hosts and add to the load.
    fn knows_as_is(&self, heartbeat: &Heartbeat) -> bool {
        let inner = self.replica.lock();
        let known = inner.state.upstreams.get(&heartbeat.id);
        inner.core.follows_live_leader(boot_ms())
            // Only the leader keeps for how long an upstream is slow, or stays.
            && heartbeat.cold_remaining_ms == 0
            && !heartbeat.draining
            && known.is_some_and(|known| known.is_described_by(heartbeat))
    }

    /// Returns the metrics in the Prometheus text format.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        self.replica.metrics.set_connections(self.calls.budget.in_use());
        self.replica.metrics.text()
    }

    /// Returns the address at which other hosts reach this one.
    #[cfg(test)]
    pub(super) fn address(&self) -> SocketAddr {
        self.settings.internal_address
    }

    /// Returns whether this host leads.
    #[must_use]
    pub fn is_leading(&self) -> bool {
        self.current_leader().is_some()
    }

    /// Hands leadership over and leaves the quorum before the process ends.
    ///
    /// A host that stops for good must not count until the others notice its silence.
    pub async fn leave(&self) {
        self.hand_over().await;
        let request = Request::Leave { id: self.id };
        let outcome = self.client.call(&request, LEAVE_TIMEOUT).await;
        info!(answered = outcome.is_ok(), "asked to leave the quorum");
    }

    async fn hand_over(&self) {
        let mut role = self.replica.role();
        if !self.is_leading() || !self.replica.hand_over() {
            return;
        }
        let limit = Duration::from_millis(2 * ELECTION_MS);
        let stepped_down = role.wait_for(|role| role.leading_term.is_none());
        let done = matches!(tokio::time::timeout(limit, stepped_down).await, Ok(Ok(_)));
        info!(done, "handed leadership over");
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        info!(?seeds, "seeds changed");
        self.client.set_seeds(seeds);
    }

    fn current_leader(&self) -> Option<Arc<Leader>> {
        self.leader.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn leader_address(&self) -> Option<SocketAddr> {
        self.replica
            .role()
            .borrow()
            .leader
            .filter(|leader| *leader != self.settings.internal_address)
    }

    /// Returns a leader that does not work yet.
    pub(super) fn new_leader(&self, term: u64) -> Arc<Leader> {
        let replica = Arc::clone(&self.replica);
        let calls = Relays::share(&self.calls, term, &replica, self.settings.internal_address);
        Leader::new(term, replica, calls, self.settings.bounds, &self.settings)
    }

    /// Runs a leader for each term in which this host leads.
    async fn run_leader_terms(self: Arc<Self>) {
        let mut role = self.replica.role();
        loop {
            let term = match role.wait_for(|role| role.leading_term.is_some()).await {
                Ok(role) => role.leading_term.unwrap_or_default(),
                Err(_) => return,
            };
            let leader = self.new_leader(term);
            let since_start_ms = boot_ms().saturating_sub(self.started_ms);
            info!(term, since_start_ms, "leadership is won");
            *self.leader.lock().unwrap_or_else(PoisonError::into_inner) = Some(Arc::clone(&leader));
            let work = tokio::spawn(Arc::clone(&leader).run());
            let ended = role.wait_for(|role| role.leading_term != Some(term)).await.is_err();
            work.abort();
            leader.stop();
            *self.leader.lock().unwrap_or_else(PoisonError::into_inner) = None;
            if ended {
                return;
            }
        }
    }

    /// Asks to join the quorum while this host is no voter or knows no leader.
    async fn request_membership(self: Arc<Self>) {
        loop {
            tokio::time::sleep(JOIN_INTERVAL).await;
            let members: Vec<SocketAddr> = {
                let inner = self.replica.lock();
                let members = &inner.core.membership().members;
                members.iter().filter_map(|member| member.address.parse().ok()).collect()
            };
            self.client.set_members(members);
            let is_voter = self.replica.lock().core.membership().is_voter(self.id);
            let knows_leader = self.replica.role().borrow().leader.is_some();
            if is_voter && knows_leader {
                continue;
            }
            let address = self.settings.internal_address.to_string();
            let request = Request::Join { id: self.id, address };
            if let Err(fault) = self.client.call(&request, JOIN_TIMEOUT).await {
                tracing::debug!(error = %fault, "could not ask to join");
            }
        }
    }
}

/// Gives an empty disk an identity and, if the installation is founded, the founding members.
async fn new_identity(
    settings: &ClusterSettings,
    journal: &Journal,
    recovered: &mut Recovered,
) -> Result<MemberId, StepError> {
    let founder = settings.founding && settings.seeds.contains(&settings.internal_address);
    let mut snapshot = Snapshot::default();
    let id = if founder {
        let founders = settings.seeds.iter().map(|seed| (founder_id(*seed), seed.to_string()));
        snapshot.membership = Membership::of_voters(founders);
        founder_id(settings.internal_address)
    } else {
        rand::random()
    };
    let index = write_founding_records(journal, id, &snapshot)?;
    journal.wait_synced(index).await?;
    recovered.durable.log = Log::new(snapshot);
    info!(id, founder, unix_ms = clock::unix_ms(), "gave an empty disk its identity");
    Ok(id)
}

/// Derives a founding member's identity from its address, so that all hosts derive the same one.
fn founder_id(address: SocketAddr) -> MemberId {
    let digest = Sha256::digest(address.to_string().as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(first)
}
