//! State of the control process; journals each state transition before its result is returned.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;
use tonic::Status;
use tracing::info;

use crate::StepError;
use crate::config::ControlSettings;
use crate::journal::{Entry, Journal, Record};

use super::clock::{Clock, remote_lease_expiry_ms};
use super::documents::{Documents, Validate};
use super::event::Event;
use super::fence::FenceFn;
use super::job_log::JobLog;
use super::metrics::ControlMetrics;
use super::records::Records;
use super::registry::Registry;
use super::shares::Shares;
use super::{epoch, watch_stream};

/// Left shift of the epoch in the first share revision, so that revisions increase with each epoch.
const EPOCH_SHIFT_BITS: u32 = 32;

/// Longest time for which a deferred record waits to share another record's sync.
///
/// If control crashes within this time, it loses the record and asks the upstream for the outcome
/// again.
const MAX_SYNC_DELAY: Duration = Duration::from_millis(20);

/// State that the lock of [`Core`] protects.
#[derive(Debug)]
pub(super) struct State {
    pub(super) records: Records,
    pub(super) documents: Documents,
    pub(super) jobs: JobLog,
    pub(super) registry: Registry,
    pub(super) shares: Shares,
    pub(super) streams: watch_stream::Streams,
}

impl State {
    /// Applies a state transition, both during replay and afterwards.
    pub(super) fn apply(&mut self, event: Event) {
        match event {
            Event::Record(event) => self.records.apply(event),
            Event::Document(event) => self.documents.apply(event),
            Event::Jobs(kind, payload) => self.jobs.apply(kind, payload),
        }
    }
}

/// The control process of one data centre.
pub(super) struct Core {
    pub(super) settings: ControlSettings,
    pub(super) epoch: u64,
    pub(super) started_ms: u64,
    pub(super) clock: Clock,
    pub(super) journal: Journal,
    pub(super) validate: Arc<Validate>,
    /// Held while a document change is checked and written, so that changes are checked in order.
    pub(super) document_lock: tokio::sync::Mutex<()>,
    pub(super) fence: FenceFn,
    pub(super) metrics: ControlMetrics,
    /// Incremented with every change that must be sent to entry hosts.
    pub(super) changed: watch::Sender<u64>,
    state: Mutex<State>,
}

impl Core {
    /// Opens the data folder and rebuilds the state from it.
    ///
    /// # Errors
    /// Returns an error if the folder cannot be read or the new epoch cannot be synced.
    pub(super) fn open(
        settings: ControlSettings,
        validate: Arc<Validate>,
        fence: FenceFn,
    ) -> Result<Self, StepError> {
        let (journal, records) = Journal::open(&settings.data_folder)?;
        Self::with_journal(settings, journal, &records, validate, fence)
    }

    pub(super) fn with_journal(
        settings: ControlSettings,
        journal: Journal,
        records: &[Record],
        validate: Arc<Validate>,
        fence: FenceFn,
    ) -> Result<Self, StepError> {
        let epoch = epoch::next(&settings.data_folder, !records.is_empty())?;
        let clock = Clock::start();
        let started_ms = clock.now_ms();
        let lease_expiry_ms = remote_lease_expiry_ms(settings.share_lease_ms);
        let first_revision = (epoch << EPOCH_SHIFT_BITS) + 1;
        let shares =
            Shares::new(&settings.entry_hosts, first_revision, lease_expiry_ms, started_ms);
        let mut state = State {
            records: Records::default(),
            documents: Documents::default(),
            jobs: JobLog::default(),
            registry: Registry::new(settings.upstream_lease_ms),
            shares,
            streams: watch_stream::Streams::default(),
        };
        for record in records {
            state.apply(Event::from_record(record)?);
        }
        state.documents.mark_durable(state.documents.index());
        info!(epoch, records = records.len(), cut = ?journal.cut_tail(), "opened the data folder");
        let metrics = ControlMetrics::new(journal.metrics());
        let (changed, _) = watch::channel(0);
        let state = Mutex::new(state);
        Ok(Self {
            settings,
            epoch,
            started_ms,
            clock,
            journal,
            validate,
            document_lock: tokio::sync::Mutex::new(()),
            fence,
            metrics,
            changed,
            state,
        })
    }

    /// Locks the state.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock, for example because an invariant was
    /// violated; the process then exits and recovers from its journal.
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the state lock is not poisoned")
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Wakes the watch streams of entry hosts after a change.
    pub(super) fn notify_streams(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Runs `decision` under the lock, journals and applies its event, and waits for the sync.
    ///
    /// The result is returned once all records that the decision could have read are durable too.
    ///
    /// # Errors
    /// Returns status `unavailable` if the journal has stopped.
    pub(super) async fn decide<T>(
        &self,
        decision: impl FnOnce(&mut State, u64) -> (T, Option<Event>),
    ) -> Result<T, Status> {
        let decided = self.decide_and_enqueue(decision, Journal::enqueue);
        let (answer, last_index) = decided.map_err(|fault| unavailable(&fault))?;
        self.journal.wait_synced(last_index).await.map_err(|fault| unavailable(&fault))?;
        Ok(answer)
    }

    /// Like [`Core::decide`], but first waits for another record whose sync it can share.
    ///
    /// # Errors
    /// As [`Core::decide`].
    pub(super) async fn decide_deferred<T>(
        &self,
        decision: impl FnOnce(&mut State, u64) -> (T, Option<Event>),
    ) -> Result<T, Status> {
        let decided = self.decide_and_enqueue(decision, Journal::enqueue_deferred);
        let (answer, last_index) = decided.map_err(|fault| unavailable(&fault))?;
        let shared_sync =
            timeout(MAX_SYNC_DELAY, self.journal.wait_synced_passively(last_index)).await;
        match shared_sync {
            Ok(synced) => synced,
            Err(_) => self.journal.wait_synced(last_index).await,
        }
        .map_err(|fault| unavailable(&fault))?;
        Ok(answer)
    }

    /// Returns the result and the index of the last journal record, which may belong to another
    /// decision.
    fn decide_and_enqueue<T>(
        &self,
        decision: impl FnOnce(&mut State, u64) -> (T, Option<Event>),
        enqueue: impl FnOnce(&Journal, Entry) -> Result<u64, StepError>,
    ) -> Result<(T, u64), StepError> {
        self.journal.check()?;
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let (answer, event) = decision(&mut state, now_ms);
        if let Some(event) = event {
            // Enqueued under the lock, so that replay applies events in the same order.
            enqueue(&self.journal, event.to_entry()?)?;
            state.apply(event);
        }
        Ok((answer, self.journal.last_index()))
    }

    /// Writes a snapshot if the journal has grown enough.
    pub(super) fn snapshot_if_due(&self) {
        if !self.journal.is_snapshot_due() {
            return;
        }
        self.journal.snapshot(compact);
    }
}

/// Compacts records to the entries that rebuild the same state.
pub(super) fn compact(stored: &[Record]) -> Result<Vec<Entry>, StepError> {
    let (mut records, mut documents) = (Records::default(), Documents::default());
    let mut jobs = JobLog::default();
    for record in stored {
        match Event::from_record(record)? {
            Event::Record(event) => records.apply(event),
            Event::Document(event) => documents.apply(event),
            Event::Jobs(kind, payload) => jobs.apply(kind, payload),
        }
    }
    let record_events = records.restore_events().map(Event::Record);
    let document_events = documents.restore_events().map(Event::Document);
    let events = record_events.chain(document_events).chain(jobs.events());
    events.map(|event| event.to_entry()).collect()
}

/// Returns the status for a request that could not be made durable.
pub(super) fn unavailable(fault: &StepError) -> Status {
    Status::unavailable(fault.to_string())
}
