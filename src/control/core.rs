//! State of the control process and the order in which it is journalled, changed and answered.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;
use tonic::Status;
use tracing::info;

use crate::StepError;
use crate::config::ControlSettings;
use crate::journal::{Entry, Journal, Record};

use super::clock::{Clock, certainly_ended_ms};
use super::documents::{Documents, Validate};
use super::event::Event;
use super::fence::Fence;
use super::job_log::JobLog;
use super::metrics::ControlMetrics;
use super::records::Records;
use super::registry::Registry;
use super::shares::Shares;
use super::{epoch, watch_stream};

/// Bits by which the epoch is shifted to form the first revision of the shares.
const REVISION_BITS: u32 = 32;

/// Longest time for which a deferred record waits for another one's sync.
///
/// It bounds the time in which a crash makes control ask the upstream for an outcome again.
const DEFERRED_MAX: Duration = Duration::from_millis(20);

/// Everything that one lock protects.
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
    /// Carries out a transition, during replay as well as later.
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
    /// Held while a change of a document is judged and written, so that changes are judged in order.
    pub(super) putting: tokio::sync::Mutex<()>,
    pub(super) fence: Fence,
    pub(super) metrics: ControlMetrics,
    /// Goes up when something changed that entry hosts have to hear of.
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
        fence: Fence,
    ) -> Result<Self, StepError> {
        let (journal, records) = Journal::open(&settings.data_folder)?;
        Self::with_journal(settings, journal, &records, validate, fence)
    }

    pub(super) fn with_journal(
        settings: ControlSettings,
        journal: Journal,
        records: &[Record],
        validate: Arc<Validate>,
        fence: Fence,
    ) -> Result<Self, StepError> {
        let epoch = epoch::next(&settings.data_folder, !records.is_empty())?;
        let clock = Clock::start();
        let started_ms = clock.now_ms();
        let silence_ms = certainly_ended_ms(settings.share_lease_ms);
        let first_revision = (epoch << REVISION_BITS) + 1;
        let shares = Shares::new(&settings.entry_hosts, first_revision, silence_ms, started_ms);
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
            putting: tokio::sync::Mutex::new(()),
            fence,
            metrics,
            changed,
            state,
        })
    }

    /// Locks the state.
    ///
    /// # Panics
    /// Panics if an invariant was found broken under the lock before; the process then ends and
    /// starts again from its journal.
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no invariant was broken under the lock")
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Tells entry hosts' streams that something changed.
    pub(super) fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Decides under the lock, journals and applies the transitions, and answers once they are
    /// durable, together with everything that the decision could have seen.
    ///
    /// # Errors
    /// Returns status `unavailable` if the journal has stopped.
    pub(super) async fn decide<T>(
        &self,
        decision: impl FnOnce(&mut State, u64) -> (T, Option<Event>),
    ) -> Result<T, Status> {
        let decided = self.decide_now(decision, Journal::enqueue);
        let (answer, newest) = decided.map_err(|fault| unavailable(&fault))?;
        self.journal.wait_synced(newest).await.map_err(|fault| unavailable(&fault))?;
        Ok(answer)
    }

    /// As [`Core::decide`], but the record joins another one's sync if one comes soon.
    ///
    /// # Errors
    /// As [`Core::decide`].
    pub(super) async fn decide_deferred<T>(
        &self,
        decision: impl FnOnce(&mut State, u64) -> (T, Option<Event>),
    ) -> Result<T, Status> {
        let decided = self.decide_now(decision, Journal::enqueue_deferred);
        let (answer, newest) = decided.map_err(|fault| unavailable(&fault))?;
        let joined = timeout(DEFERRED_MAX, self.journal.wait_synced_passively(newest)).await;
        match joined {
            Ok(synced) => synced,
            Err(_) => self.journal.wait_synced(newest).await,
        }
        .map_err(|fault| unavailable(&fault))?;
        Ok(answer)
    }

    fn decide_now<T>(
        &self,
        decision: impl FnOnce(&mut State, u64) -> (T, Option<Event>),
        enqueue: impl FnOnce(&Journal, Entry) -> Result<u64, StepError>,
    ) -> Result<(T, u64), StepError> {
        self.journal.check()?;
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let (answer, event) = decision(&mut state, now_ms);
        if let Some(event) = event {
            // The order in the journal is the order of the lock, so replay gives the same state.
            enqueue(&self.journal, event.to_entry()?)?;
            state.apply(event);
        }
        Ok((answer, self.journal.last_index()))
    }

    /// Writes a snapshot if the log has grown enough.
    pub(super) fn snapshot_if_due(&self) {
        if !self.journal.is_snapshot_due() {
            return;
        }
        self.journal.snapshot(compact);
    }
}

/// Makes the fewest transitions that lead to the same state.
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
    let records = records.restore_events().map(Event::Record);
    let documents = documents.restore_events().map(Event::Document);
    let events = records.chain(documents).chain(jobs.events());
    events.map(|event| event.to_entry()).collect()
}

/// Status for a caller whose request could not be made durable.
pub(super) fn unavailable(fault: &StepError) -> Status {
    Status::unavailable(fault.to_string())
}
