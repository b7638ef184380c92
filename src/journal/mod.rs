//! An append-only file of checksummed records with group commit.
//!
//! Callers queue records in the order in which they apply them to their state. One thread writes
//! whatever waits and syncs it once. After a failed write or sync every further append fails until
//! restart, because the content of the file is then not known.

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
use recovery::{Recovered, recover, step};
use writer::{Compact, Progress, Queue, Queued, Writer};

pub(crate) use files::{OpenSink, replace_file};

/// Log size from which a snapshot is worth its cost, in bytes.
const SNAPSHOT_AFTER_BYTES: u64 = 32 * 1024 * 1024;

/// A record read back at start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Record {
    pub(crate) index: u64,
    pub(crate) kind: u8,
    pub(crate) payload: Vec<u8>,
}

/// A record to be written; kinds are below 128.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) kind: u8,
    pub(crate) payload: Vec<u8>,
}

/// The end of a file that was cut off at start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CutTail {
    pub(crate) file: PathBuf,
    pub(crate) offset: u64,
    pub(crate) size_bytes: u64,
}

/// Counters of the journal.
#[derive(Debug, Clone)]
pub(crate) struct JournalMetrics {
    appends: Counter,
    sync_seconds: Histogram,
}

impl JournalMetrics {
    fn new() -> Self {
        // 50 us to 1.6 s covers flash drives with and without a write cache, and slow disks.
        let buckets = exponential_buckets(0.000_05, 2.0, 16);
        Self { appends: Counter::default(), sync_seconds: Histogram::new(buckets) }
    }

    /// Adds the counters to a registry.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register("journal_appends", "Records appended", self.appends.clone());
        let help = "Duration of one sync of the journal";
        registry.register("journal_sync_seconds", help, self.sync_seconds.clone());
    }
}

/// The journal in one folder, open for appending.
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
    /// Opens the journal of a folder and returns what it holds.
    ///
    /// # Errors
    /// Returns an error if the folder is in use or unreadable, or if a synced record is corrupt.
    pub(crate) fn open(folder: &Path) -> Result<(Self, Vec<Record>), StepError> {
        Self::open_with(folder, files::plain_files())
    }

    /// Opens the journal with another way of opening files.
    ///
    /// # Errors
    /// As [`Journal::open`].
    pub(crate) fn open_with(
        folder: &Path,
        mut open: OpenSink,
    ) -> Result<(Self, Vec<Record>), StepError> {
        step("create the data folder", folder, fs::create_dir_all(folder))?;
        let lock = files::lock(folder)?;
        let found = recover(folder)?;
        let sink = step("open the journal", &found.segment, open(&found.segment))?;
        step("sync the folder", folder, files::sync_folder(folder))?;
        let (progress, seen) = watch::channel(progress_after(&found));
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
        let thread = Some(step("start the journal's thread", folder, thread)?);
        let folder = folder.to_owned();
        let journal = Self {
            queue,
            progress: seen,
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

    /// Queues a record that joins the next write instead of causing one.
    ///
    /// It is written at the latest when somebody waits for it with [`Journal::wait_synced`].
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
        pending.queued.push(Queued::Append { index, entry });
        pending.urgent |= urgent;
        drop(pending);
        self.metrics.appends.inc();
        if urgent {
            self.queue.arrived.notify_one();
        }
        Ok(index)
    }

    /// Waits until the record with this index is durable.
    ///
    /// # Errors
    /// Returns an error if the journal stopped before that.
    pub(crate) async fn wait_synced(&self, index: u64) -> Result<(), StepError> {
        self.write_now(index);
        self.wait_synced_passively(index).await
    }

    /// Makes the writer take up a deferred record.
    fn write_now(&self, index: u64) {
        if self.progress.borrow().synced >= index {
            return;
        }
        let mut pending = self.queue.lock();
        // An empty queue means that the writer holds the record already.
        pending.urgent |= !pending.queued.is_empty();
        drop(pending);
        self.queue.arrived.notify_one();
    }

    /// Waits until the record with this index is durable, without asking for a write.
    ///
    /// # Errors
    /// Returns an error if the journal stopped before that.
    pub(crate) async fn wait_synced_passively(&self, index: u64) -> Result<(), StepError> {
        let mut progress = self.progress.clone();
        let reached = progress.wait_for(|now| now.synced >= index || now.failed.is_some()).await;
        match reached {
            Ok(now) if now.synced >= index => Ok(()),
            Ok(now) => Err(self.error(now.failed.clone().unwrap_or_default())),
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
        self.progress.borrow().failed.clone().map_or(Ok(()), |text| Err(self.error(text)))
    }

    /// Tells whether the log has outgrown the newest snapshot.
    pub(crate) fn wants_snapshot(&self) -> bool {
        let progress = self.progress.borrow();
        // A log as large as the state bounds both recovery time and the cost of snapshots.
        let limit = progress.snapshot_bytes.max(SNAPSHOT_AFTER_BYTES);
        let running = self.snapshot_running.load(Ordering::Acquire);
        !running && progress.bytes_since_snapshot > limit
    }

    /// Replaces all records queued so far by those that `compact` makes of them, on another thread.
    pub(crate) fn snapshot(&self, compact: Compact) {
        self.snapshot_running.store(true, Ordering::Release);
        let mut pending = self.queue.lock();
        let next_index = pending.next_index;
        pending.queued.push(Queued::Snapshot { next_index, compact });
        pending.urgent = true;
        drop(pending);
        self.queue.arrived.notify_one();
    }

    /// Returns what was cut off at start.
    pub(crate) fn cut_tail(&self) -> Option<&CutTail> {
        self.cut.as_ref()
    }

    /// Returns the journal's counters.
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
        self.queue.arrived.notify_one();
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }
}

fn progress_after(found: &Recovered) -> Progress {
    Progress {
        synced: found.next_index - 1,
        bytes_since_snapshot: found.log_bytes,
        ..Progress::default()
    }
}

fn spawn(writer: Writer, queue: Arc<Queue>) -> std::io::Result<JoinHandle<()>> {
    let work = move || writer.run(&queue);
    std::thread::Builder::new().name("journal".into()).spawn(work)
}
