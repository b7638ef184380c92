//! An append-only log of checksummed records with group commit.
//!
//! Callers queue records in the order in which they apply them to their state. A writer thread
//! writes all queued records and syncs them at once. After a failed write or sync the content of
//! the file is unknown, so every further append fails until restart.

mod files;
mod format;
mod recovery;
#[cfg(test)]
pub(crate) mod tests;
mod writer;

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use tokio::sync::watch;

use crate::StepError;
use recovery::{Recovered, recover, with_step};
use writer::{Compact, Progress, Queue, Source, Writer, WriterCommand};

pub(crate) use files::{OpenSink, replace_file};

/// Log size below which a snapshot is not worth its cost.
const SNAPSHOT_AFTER_BYTES: u64 = 32 * 1024 * 1024;

/// A record recovered at start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Record {
    pub(crate) index: u64,
    pub(crate) kind: u8,
    pub(crate) payload: Vec<u8>,
}

/// A record to append; kinds are below 128.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) kind: u8,
    pub(crate) payload: Vec<u8>,
}

/// The torn end of a file that was truncated at start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CutTail {
    pub(crate) file: PathBuf,
    pub(crate) offset: u64,
    pub(crate) size_bytes: u64,
}

/// Metrics of the journal.
#[derive(Debug, Clone)]
pub(crate) struct JournalMetrics {
    appends: Counter,
    sync_seconds: Histogram,
}

impl JournalMetrics {
    fn new() -> Self {
        // Buckets from 50 us to 1.6 s cover SSDs with and without a write cache, and slow disks.
        let buckets = exponential_buckets(0.000_05, 2.0, 16);
        Self { appends: Counter::default(), sync_seconds: Histogram::new(buckets) }
    }

    /// Registers the metrics.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register("journal_appends", "Records appended", self.appends.clone());
        let help = "Duration of one sync of the journal";
        registry.register("journal_sync_seconds", help, self.sync_seconds.clone());
    }
}

/// A journal in a folder, open for appending.
pub(crate) struct Journal {
    queue: Arc<Queue>,
    progress: watch::Receiver<Progress>,
    metrics: JournalMetrics,
    cut: Option<CutTail>,
    folder: PathBuf,
    thread: Option<JoinHandle<()>>,
    snapshot_running: Arc<AtomicBool>,
    _lock: File,
}

impl std::fmt::Debug for Journal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Journal").field("folder", &self.folder).finish_non_exhaustive()
    }
}

impl Journal {
    /// Opens the journal of a folder and returns it with its records.
    ///
    /// # Errors
    /// Returns an error if the folder is in use or unreadable, or if a synced record is corrupt.
    pub(crate) fn open(folder: &Path) -> Result<(Self, Vec<Record>), StepError> {
        Self::open_with(folder, files::open_files())
    }

    /// Opens the journal with a custom function that opens segments.
    ///
    /// # Errors
    /// As [`Journal::open`].
    pub(crate) fn open_with(
        folder: &Path,
        mut open: OpenSink,
    ) -> Result<(Self, Vec<Record>), StepError> {
        with_step("create the data folder", folder, fs::create_dir_all(folder))?;
        let lock = files::lock(folder)?;
        let found = recover(folder)?;
        let sink = with_step("open the journal", &found.segment, open(&found.segment))?;
        with_step("sync the folder", folder, files::sync_folder(folder))?;
        let (progress, progress_receiver) = watch::channel(progress_after(&found));
        let metrics = JournalMetrics::new();
        let queue = Arc::new(Queue::default());
        queue.lock().next_index = found.next_index;
        let snapshot_running = Arc::new(AtomicBool::new(false));
        let writer = Writer {
            folder: folder.to_owned(),
            open,
            sink,
            progress,
            metrics: metrics.clone(),
            snapshot_running: Arc::clone(&snapshot_running),
            snapshot_thread: None,
        };
        let thread = spawn(writer, Arc::clone(&queue));
        let thread = Some(with_step("start the journal's thread", folder, thread)?);
        let folder = folder.to_owned();
        let journal = Self {
            queue,
            progress: progress_receiver,
            metrics,
            cut: found.cut,
            folder,
            thread,
            snapshot_running,
            _lock: lock,
        };
        Ok((journal, found.records))
    }

    /// Queues a record and returns its index; later calls get higher indexes.
    ///
    /// The record is durable once [`Journal::wait_synced`] returns for its index.
    ///
    /// # Errors
    /// Returns an error if the payload is too large or the journal has stopped.
    pub(crate) fn enqueue(&self, entry: Entry) -> Result<u64, StepError> {
        self.queue(entry, true)
    }

    /// Queues a record that is written with the next urgent record instead of causing a write.
    ///
    /// It is written at the latest when a caller waits for it with [`Journal::wait_synced`].
    ///
    /// # Errors
    /// As [`Journal::enqueue`].
    pub(crate) fn enqueue_deferred(&self, entry: Entry) -> Result<u64, StepError> {
        self.queue(entry, false)
    }

    fn queue(&self, entry: Entry, urgent: bool) -> Result<u64, StepError> {
        if entry.payload.len() > format::PAYLOAD_LIMIT_BYTES {
            let text = format!("a record of {} bytes is too large", entry.payload.len());
            return Err(self.error(text));
        }
        self.check()?;
        let mut pending = self.queue.lock();
        let index = pending.next_index;
        pending.next_index += 1;
        pending.commands.push(WriterCommand::Append { index, entry });
        pending.urgent |= urgent;
        drop(pending);
        self.metrics.appends.inc();
        if urgent {
            self.queue.wakeup.notify_one();
        }
        Ok(index)
    }

    /// Waits until the record with this index is durable.
    ///
    /// # Errors
    /// Returns an error if the journal stopped before that.
    pub(crate) async fn wait_synced(&self, index: u64) -> Result<(), StepError> {
        self.request_write(index);
        self.wait_synced_passively(index).await
    }

    /// Wakes the writer for a record that may be deferred.
    fn request_write(&self, index: u64) {
        if self.progress.borrow().synced_index >= index {
            return;
        }
        let mut pending = self.queue.lock();
        // If the queue is empty, the writer has already taken the record.
        pending.urgent |= !pending.commands.is_empty();
        drop(pending);
        self.queue.wakeup.notify_one();
    }

    /// Waits until the record with this index is durable, without causing a write.
    ///
    /// # Errors
    /// Returns an error if the journal stopped before that.
    pub(crate) async fn wait_synced_passively(&self, index: u64) -> Result<(), StepError> {
        let mut progress = self.progress.clone();
        let reached =
            progress.wait_for(|now| now.synced_index >= index || now.error.is_some()).await;
        match reached {
            Ok(now) if now.synced_index >= index => Ok(()),
            Ok(now) => Err(self.error(now.error.clone().unwrap_or_default())),
            Err(_) => Err(self.error("the journal's thread has ended")),
        }
    }

    /// Appends a record and returns its index once it is durable.
    ///
    /// # Errors
    /// Returns an error if the journal has stopped, in which case the record may or may not be
    /// found after restart.
    #[cfg_attr(
        not(test),
        expect(dead_code, reason = "the control process queues under its lock and waits later")
    )]
    pub(crate) async fn append(&self, kind: u8, payload: Vec<u8>) -> Result<u64, StepError> {
        let index = self.enqueue(Entry { kind, payload })?;
        self.wait_synced(index).await?;
        Ok(index)
    }

    /// Returns the index of the newest queued record.
    pub(crate) fn last_index(&self) -> u64 {
        self.queue.lock().next_index - 1
    }

    /// Returns an error once the journal has stopped.
    ///
    /// # Errors
    /// Returns the fault that stopped the journal.
    pub(crate) fn check(&self) -> Result<(), StepError> {
        self.progress.borrow().error.clone().map_or(Ok(()), |text| Err(self.error(text)))
    }

    /// Returns whether the log has outgrown the newest snapshot.
    pub(crate) fn is_snapshot_due(&self) -> bool {
        let progress = self.progress.borrow();
        // A log limited to the snapshot's size bounds the recovery time and the cost of snapshots.
        let limit = progress.snapshot_bytes.max(SNAPSHOT_AFTER_BYTES);
        let running = self.snapshot_running.load(Ordering::Acquire);
        !running && progress.bytes_since_snapshot > limit
    }

    /// Replaces all records queued so far by the output of `compact`, on another thread.
    pub(crate) fn snapshot(&self, compact: Compact) {
        self.request_snapshot(Source::Files(compact));
    }

    /// Replaces all records queued so far by those of the state that they have led to, on another thread.
    ///
    /// No record may be queued between the time at which the state is taken and this call.
    pub(crate) fn snapshot_of(&self, state: impl Iterator<Item = Entry> + Send + 'static) {
        self.request_snapshot(Source::State(Box::new(state)));
    }

    fn request_snapshot(&self, source: Source) {
        self.snapshot_running.store(true, Ordering::Release);
        let mut pending = self.queue.lock();
        let next_index = pending.next_index;
        pending.commands.push(WriterCommand::Snapshot { next_index, source });
        pending.urgent = true;
        drop(pending);
        self.queue.wakeup.notify_one();
    }

    /// Returns the torn tail that was truncated at start, if any.
    pub(crate) fn cut_tail(&self) -> Option<&CutTail> {
        self.cut.as_ref()
    }

    pub(crate) fn metrics(&self) -> &JournalMetrics {
        &self.metrics
    }

    fn error(&self, text: impl Into<String>) -> StepError {
        StepError::new("append to the journal", self.folder.display(), text.into())
    }
}

impl Drop for Journal {
    fn drop(&mut self) {
        self.queue.lock().closed = true;
        self.queue.wakeup.notify_one();
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }
}

fn progress_after(found: &Recovered) -> Progress {
    Progress {
        synced_index: found.next_index - 1,
        bytes_since_snapshot: found.log_bytes,
        ..Progress::default()
    }
}

fn spawn(writer: Writer, queue: Arc<Queue>) -> std::io::Result<JoinHandle<()>> {
    let work = move || writer.run(&queue);
    std::thread::Builder::new().name("journal".into()).spawn(work)
}
