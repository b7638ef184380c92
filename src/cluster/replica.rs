//! Drives the replicated log of one host: disk, network, timer and state machine.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::{Notify, oneshot, watch};
use tracing::{error, info, warn};

use super::clock::boot_ms;
use super::codec;
use super::metrics::ClusterMetrics;
use super::peers::Peers;
use crate::StepError;
use crate::journal::Journal;
use crate::quorum::{Batch, Core, Entry, Membership, Message, Output, Payload, Snapshot, storage};
use crate::tasks::{Change, Command, JobEvent, Outcome, State};

/// Interval of the replicated log's timer.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Number of applied entries after which a snapshot replaces them.
const COMPACT_AFTER_ENTRIES: u64 = 8_000;

/// Size of applied commands after which a snapshot replaces them, however few they are.
const COMPACT_AFTER_BYTES: usize = 16 * 1024 * 1024;

/// Number of collections at the end of the state that snapshots of an earlier build lack.
const NEWEST_COLLECTIONS: usize = 8;

/// Role of this host, as other tasks observe it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct RoleView {
    /// Term in which this host leads, once it has applied all entries of earlier terms.
    pub(super) leading_term: Option<u64>,
    /// Internal address of the leader, if known.
    pub(super) leader: Option<SocketAddr>,
}

/// A change was not confirmed and may or may not be committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("leadership was lost before the change was committed")]
pub(super) struct NotConfirmed;

/// The replicated log and state machine of this host.
#[derive(Debug)]
pub(super) struct Replica {
    inner: Mutex<Inner>,
    journal: Journal,
    /// Notified when entries of `after_sync` are added.
    sync_requested: Notify,
    role: watch::Sender<RoleView>,
    /// Index of the newest applied entry.
    applied_index: watch::Sender<u64>,
    pub(super) metrics: ClusterMetrics,
}

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) core: Core,
    pub(super) state: State,
    /// Index of the newest entry that `state` contains.
    applied: u64,
    /// Size of the commands that were applied since the newest snapshot.
    applied_bytes: usize,
    peers: Peers,
    /// Proposals that wait for their commit: term and confirmation, by index.
    waiters: BTreeMap<u64, (u64, oneshot::Sender<()>)>,
    /// Work that waits for a sync of the journal, in order.
    after_sync: VecDeque<AfterSync>,
    /// Cluster time and boot time when this host became leader.
    clock_base: (u64, u64),
}

#[derive(Debug)]
struct AfterSync {
    journal_index: u64,
    messages: Vec<Message>,
    /// Index and term of the log's last entry at that time.
    log_end: (u64, u64),
}

impl Replica {
    pub(super) fn new(
        core: Core,
        journal: Journal,
        own_address: String,
        runtime: Handle,
    ) -> Result<Arc<Self>, StepError> {
        let snapshot = core.log().snapshot().clone();
        let metrics = ClusterMetrics::new(journal.metrics());
        let inner = Inner {
            state: decode_state(&snapshot)?,
            applied: snapshot.index,
            applied_bytes: 0,
            core,
            peers: Peers::new(own_address, runtime),
            waiters: BTreeMap::new(),
            after_sync: VecDeque::new(),
            clock_base: (0, 0),
        };
        Ok(Arc::new(Self {
            inner: Mutex::new(inner),
            journal,
            sync_requested: Notify::new(),
            role: watch::channel(RoleView::default()).0,
            applied_index: watch::channel(0).0,
            metrics,
        }))
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Subscribes to this host's role.
    pub(super) fn role(&self) -> watch::Receiver<RoleView> {
        self.role.subscribe()
    }

    /// Subscribes to the index of the newest applied entry.
    pub(super) fn changed(&self) -> watch::Receiver<u64> {
        self.applied_index.subscribe()
    }

    /// Returns whether this host holds the leader's lease and may serve reads and send orders.
    pub(super) fn is_confirmed_leader(&self) -> bool {
        self.lock().core.is_confirmed_leader(boot_ms())
    }

    /// Runs the timer and sync loops until the process ends.
    pub(super) async fn run(self: Arc<Self>) {
        let syncing = Arc::clone(&self);
        tokio::join!(self.tick_forever(), syncing.sync_forever());
    }

    async fn tick_forever(&self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.run_transition(|inner, now_ms| inner.core.tick(now_ms));
            if self.journal.is_snapshot_due() {
                // The state has to include each record that is queued so far; all are queued under this lock.
                let inner = self.lock();
                let (id, durable) = (inner.core.id, inner.core.durable());
                self.journal.snapshot_of(storage::state_records(Some(id), durable));
            }
        }
    }

    async fn sync_forever(&self) {
        loop {
            let next = self.lock().after_sync.front().map(|after| after.journal_index);
            let Some(journal_index) = next else {
                self.sync_requested.notified().await;
                continue;
            };
            if let Err(fault) = self.journal.wait_synced(journal_index).await {
                stop_process(&fault);
            }
            self.run_transition(|inner, now_ms| inner.finish_synced(journal_index, now_ms));
        }
    }

    /// Handles messages of another host.
    pub(super) fn receive(&self, batch: Batch) {
        self.run_transition(|inner, now_ms| {
            for message in batch.messages {
                inner.peers.record_address(message.from, &batch.from_address);
                inner.core.receive(message, now_ms);
            }
        });
    }

    /// Records a host's request to join the quorum.
    pub(super) fn join(&self, id: u64, address: String) {
        self.run_transition(|inner, now_ms| inner.core.join(id, address, now_ms));
    }

    /// Removes a host that is about to stop from the quorum, if enough other voters remain, and waits
    /// until that is committed. The wait has no limit; it ends with the call of the host that leaves.
    pub(super) async fn remove_member(&self, id: u64) {
        let mut applied = self.applied_index.subscribe();
        if !self.run_transition(|inner, now_ms| inner.core.leave(id, now_ms)) {
            info!(id, "a host that leaves stays a voter, since there are too few others");
            return;
        }
        let is_removed = || {
            let inner = self.lock();
            let committed = inner.core.log().membership_index() <= inner.core.commit_index();
            committed && !inner.core.membership().is_voter(id)
        };
        // The sender lives as long as this replica.
        while !is_removed() && applied.changed().await.is_ok() {}
    }

    /// Starts a handover of leadership; returns whether there is a successor.
    pub(super) fn hand_over(&self) -> bool {
        self.run_transition(|inner, now_ms| inner.core.hand_over(now_ms))
    }

    /// Commits a change and waits until it is applied.
    ///
    /// # Errors
    /// Returns an error if this host does not lead or lost its leadership meanwhile.
    pub(super) async fn propose(&self, change: Change) -> Result<(), NotConfirmed> {
        let begun_ms = boot_ms();
        let (confirm, confirmed) = oneshot::channel();
        self.run_transition(|inner, boot_now_ms| {
            let command = Command { at_ms: inner.now_ms(), change };
            let proposed = inner.core.propose(codec::encode(&command), boot_now_ms);
            if let Some((index, term)) = proposed {
                inner.waiters.insert(index, (term, confirm));
            }
        });
        // The sender is dropped if the change was not proposed or leadership was lost.
        confirmed.await.map_err(|_| NotConfirmed)?;
        self.metrics.committed(boot_ms().saturating_sub(begun_ms));
        Ok(())
    }

    /// Runs a transition, processes its output and publishes changes of role and state.
    fn run_transition<T>(&self, transition: impl FnOnce(&mut Inner, u64) -> T) -> T {
        let mut inner = self.lock();
        let result = transition(&mut inner, boot_ms());
        let before = inner.applied;
        let output = inner.core.take_output();
        self.process_output(&mut inner, output);
        let after = inner.applied;
        let role = inner.role_view();
        let previous_term = self.role.borrow().leading_term;
        if role.leading_term != previous_term {
            inner.change_role(role.leading_term);
        }
        let leads = role.leading_term.is_some();
        let (log_term, commit_index) = (inner.core.term(), inner.core.commit_index());
        let events = inner.state.take_events();
        drop(inner);
        if after != before || role.leading_term != previous_term {
            self.metrics.set_log_state(leads, log_term, commit_index);
        }
        // Events of entries that are applied again after a restart or an election were reported by
        // an earlier leader.
        if leads && previous_term.is_some() {
            for event in &events {
                self.report_job_event(event);
            }
        }
        self.role.send_if_modified(|current| std::mem::replace(current, role) != role);
        if after != before {
            self.applied_index.send_replace(after);
        }
        result
    }

    /// Logs a job event and counts it in the metrics, on the leader only.
    fn report_job_event(&self, event: &JobEvent) {
        let organisation = event.organisation.as_deref().unwrap_or_default();
        let (queue, after_ms) = (&*event.queue, event.after_ms);
        let Some(outcome) = event.outcome else {
            self.metrics.job_started(organisation, queue, after_ms);
            return;
        };
        let outcome = match outcome {
            Outcome::Completed => "completed",
            Outcome::Failed => "failed",
            Outcome::Cancelled => "cancelled",
        };
        self.metrics.job_ended(organisation, queue, outcome, after_ms);
        info!(request = %event.id, queue, organisation, outcome, after_ms, "job ended");
    }

    fn process_output(&self, inner: &mut Inner, output: Output) {
        let Output { persist, send, send_after_sync, installed, committed } = output;
        let wrote = !persist.is_empty();
        for change in &persist {
            if let Err(fault) = self.journal.enqueue(storage::record(change)) {
                stop_process(&fault);
            }
        }
        let membership = inner.core.membership().clone();
        inner.peers.send(send, &membership);
        if wrote || !send_after_sync.is_empty() {
            let log = inner.core.log();
            inner.after_sync.push_back(AfterSync {
                journal_index: self.journal.last_index(),
                messages: send_after_sync,
                log_end: (log.last_index(), log.last_term()),
            });
            self.sync_requested.notify_one();
        }
        if let Some(snapshot) = installed {
            inner.install(&snapshot);
        }
        for entry in committed {
            inner.apply(&entry);
        }
        if inner.is_compaction_due() {
            inner.applied_bytes = 0;
            let state = codec::encode(&inner.state);
            let applied = inner.applied;
            inner.core.compact(applied, state);
            let more = inner.core.take_output();
            self.process_output(inner, more);
        }
    }
}

impl Inner {
    /// Returns the cluster time, which continues from the newest command's and never goes back.
    pub(super) fn now_ms(&self) -> u64 {
        let (cluster_ms, boot_base_ms) = self.clock_base;
        let passed_ms = boot_ms().saturating_sub(boot_base_ms);
        self.state.now_ms.max(cluster_ms + passed_ms)
    }

    fn role_view(&self) -> RoleView {
        let ready = self.core.is_leader() && self.applied >= self.core.term_start_index();
        let leader = self.core.leader().and_then(|id| self.core.membership().get(id));
        RoleView {
            leading_term: ready.then(|| self.core.term()),
            leader: leader.and_then(|member| member.address.parse().ok()),
        }
    }

    fn change_role(&mut self, leading_term: Option<u64>) {
        if let Some(term) = leading_term {
            self.clock_base = (self.state.now_ms, boot_ms());
            info!(term, applied = self.applied, "this host leads");
        } else {
            let unconfirmed = self.waiters.len();
            warn!(term = self.core.term(), unconfirmed, "this host no longer leads");
            self.waiters.clear();
        }
    }

    fn finish_synced(&mut self, journal_index: u64, now_ms: u64) {
        while let Some(after) = self.after_sync.front() {
            if after.journal_index > journal_index {
                break;
            }
            let Some(after) = self.after_sync.pop_front() else { break };
            let membership = self.core.membership().clone();
            self.peers.send(after.messages, &membership);
            self.core.mark_synced(after.log_end.0, after.log_end.1, now_ms);
        }
    }

    /// Returns whether the applied entries in memory are many or large.
    fn is_compaction_due(&self) -> bool {
        let first_index = self.core.log().first_index();
        self.applied >= first_index + COMPACT_AFTER_ENTRIES
            || self.applied_bytes > COMPACT_AFTER_BYTES
    }

    fn install(&mut self, snapshot: &Snapshot) {
        match decode_state(snapshot) {
            Ok(state) => {
                self.state = state;
                self.applied = snapshot.index;
                self.applied_bytes = 0;
                info!(index = snapshot.index, "installed a snapshot of the leader");
            }
            Err(fault) => stop_process(&fault),
        }
    }

    fn apply(&mut self, entry: &Entry) {
        assert_eq!(entry.index, self.applied + 1, "entries are applied in order");
        self.applied = entry.index;
        match &entry.payload {
            Payload::Empty => {}
            Payload::Command(bytes) => match codec::decode::<Command>(bytes) {
                Ok(command) => {
                    self.applied_bytes += bytes.len();
                    self.state.apply(command);
                }
                Err(fault) => {
                    stop_process(&StepError::new("decode a command", entry.index, fault));
                }
            },
            Payload::Membership(membership) => log_membership(entry.index, membership),
        }
        if let Some((term, waiter)) = self.waiters.remove(&entry.index)
            && term == entry.term
        {
            // The caller may have stopped waiting.
            _ = waiter.send(());
        }
    }
}

fn log_membership(index: u64, membership: &Membership) {
    let addresses = |voter| {
        let members = membership.members.iter().filter(move |member| member.voter == voter);
        members.map(|member| &*member.address).collect::<Vec<_>>().join(" ")
    };
    info!(index, voters = addresses(true), learners = addresses(false), "membership changed");
}

fn decode_state(snapshot: &Snapshot) -> Result<State, StepError> {
    if snapshot.state.is_empty() {
        return Ok(State::default());
    }
    let decoded = codec::decode(&snapshot.state).or_else(|_| {
        // A snapshot of an earlier build ends before the newest collections; zeros decode as empty ones.
        codec::decode(&[&*snapshot.state, &[0; NEWEST_COLLECTIONS]].concat())
    });
    let mut state: State =
        decoded.map_err(|fault| StepError::new("decode a snapshot", snapshot.index, fault))?;
    state.rebuild();
    Ok(state)
}

/// Ends the process after a disk or decoding error; a restart recovers the state from disk.
fn stop_process(fault: &StepError) -> ! {
    error!(error = %fault, "the host cannot go on and stops");
    crate::logging::flush();
    std::process::exit(1)
}

/// Queues the first records of a new disk; returns the index of the last one.
pub(super) fn write_founding_records(
    journal: &Journal,
    identity: u64,
    snapshot: &Snapshot,
) -> Result<u64, StepError> {
    let mut index = 0;
    for record in storage::founding_records(identity, snapshot) {
        index = journal.enqueue(record)?;
    }
    Ok(index)
}
