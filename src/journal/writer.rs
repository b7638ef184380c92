//! The thread that writes and syncs records.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};

use tokio::sync::watch;
use tracing::{error, info, warn};

use super::files::{self, OpenSink, Sink};
use super::format::{FIRST_OF_WRITE, encode};
use super::recovery::{read_below, step};
use super::{Entry, JournalMetrics, Record};
use crate::StepError;

/// Most bytes in one write, so that one sync does not grow without bound.
const WRITE_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Builds the records that replace those given.
pub(crate) type Compact = fn(&[Record]) -> Result<Vec<Entry>, StepError>;

/// What waits for the writer, in order.
pub(super) enum Queued {
    Append { index: u64, entry: Entry },
    Snapshot { next_index: u64, compact: Compact },
}

/// Progress of the writer.
#[derive(Debug, Clone, Default)]
pub(super) struct Progress {
    /// Index of the newest synced record.
    pub(super) synced: u64,
    /// Why no further record is taken.
    pub(super) failed: Option<String>,
    pub(super) bytes_since_snapshot: u64,
    pub(super) snapshot_bytes: u64,
}

/// Queue between the callers and the writer thread.
#[derive(Default)]
pub(super) struct Queue {
    pub(super) entries: Mutex<Pending>,
    pub(super) arrived: Condvar,
}

#[derive(Default)]
pub(super) struct Pending {
    pub(super) next_index: u64,
    pub(super) queued: Vec<Queued>,
    /// Somebody waits for a queued record; otherwise records wait for company.
    pub(super) urgent: bool,
    pub(super) closed: bool,
}

impl Queue {
    pub(super) fn lock(&self) -> MutexGuard<'_, Pending> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for urgent work; `None` once the queue is closed and empty.
    fn take(&self) -> Option<Vec<Queued>> {
        let mut pending = self.lock();
        while !pending.urgent && !pending.closed {
            pending = self.arrived.wait(pending).unwrap_or_else(PoisonError::into_inner);
        }
        pending.urgent = false;
        let queued = std::mem::take(&mut pending.queued);
        (!queued.is_empty() || !pending.closed).then_some(queued)
    }
}

/// State owned by the writer thread.
pub(super) struct Writer {
    pub(super) folder: PathBuf,
    pub(super) open: OpenSink,
    pub(super) sink: Box<dyn Sink>,
    pub(super) progress: watch::Sender<Progress>,
    pub(super) metrics: JournalMetrics,
    pub(super) snapshot_running: Arc<AtomicBool>,
    pub(super) snapshot_thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Writes until the queue is closed or a write or sync fails.
    pub(super) fn run(mut self, queue: &Queue) {
        while let Some(batch) = queue.take() {
            if let Err(fault) = self.write_batch(batch) {
                error!(error = %fault, "the journal stopped; no record is taken until restart");
                self.progress.send_modify(|progress| progress.failed = Some(fault.to_string()));
                break;
            }
        }
        self.join_snapshot();
    }

    /// Waits for the snapshot in progress, so that the folder's lock outlives its last write.
    fn join_snapshot(&mut self) {
        if let Some(thread) = self.snapshot_thread.take() {
            _ = thread.join();
        }
    }

    fn write_batch(&mut self, batch: Vec<Queued>) -> io::Result<()> {
        let mut buffer = Vec::new();
        let mut last = 0;
        for queued in batch {
            match queued {
                Queued::Append { index, entry } => {
                    let mark = if buffer.is_empty() { FIRST_OF_WRITE } else { 0 };
                    encode(&mut buffer, index, entry.kind | mark, &entry.payload);
                    last = index;
                    if buffer.len() >= WRITE_LIMIT_BYTES {
                        self.flush(&mut buffer, last)?;
                    }
                }
                Queued::Snapshot { next_index, compact } => {
                    self.flush(&mut buffer, last)?;
                    self.start_snapshot(next_index, compact)?;
                }
            }
        }
        self.flush(&mut buffer, last)
    }

    fn flush(&mut self, buffer: &mut Vec<u8>, last: u64) -> io::Result<()> {
        if buffer.is_empty() {
            return Ok(());
        }
        self.sink.write_all(buffer)?;
        let started = std::time::Instant::now();
        self.sink.sync()?;
        self.metrics.sync_seconds.observe(started.elapsed().as_secs_f64());
        let size = buffer.len() as u64;
        self.progress.send_modify(|progress| {
            progress.synced = last;
            progress.bytes_since_snapshot += size;
        });
        buffer.clear();
        Ok(())
    }

    /// Begins a new segment and writes the snapshot beside it, so that appends go on.
    ///
    /// The snapshot is made from the files, so the state in memory need not be held or copied.
    fn start_snapshot(&mut self, next_index: u64, compact: Compact) -> io::Result<()> {
        self.join_snapshot();
        self.sink = (self.open)(&files::segment_path(&self.folder, next_index))?;
        files::sync_folder(&self.folder)?;
        self.progress.send_modify(|progress| progress.bytes_since_snapshot = 0);
        let folder = self.folder.clone();
        let progress = self.progress.clone();
        let running = Arc::clone(&self.snapshot_running);
        let work = move || {
            let written = write_snapshot(&folder, next_index, compact);
            progress.send_modify(|progress| {
                progress.snapshot_bytes = *written.as_ref().unwrap_or(&progress.snapshot_bytes);
            });
            running.store(false, Ordering::Release);
            match written {
                Ok(size_bytes) => info!(next_index, size_bytes, "wrote a snapshot"),
                // The older snapshot and segments stay, so nothing is lost.
                Err(fault) => warn!(error = %fault, "could not write a snapshot"),
            }
        };
        let thread = thread::Builder::new().name("snapshot".into()).spawn(work)?;
        self.snapshot_thread = Some(thread);
        Ok(())
    }
}

/// Writes the snapshot and removes what it replaces; returns its size.
fn write_snapshot(folder: &Path, next_index: u64, compact: Compact) -> Result<u64, StepError> {
    let entries = compact(&read_below(folder, next_index)?)?;
    let mut content = Vec::new();
    let mut index = 0;
    for entry in &entries {
        encode(&mut content, index, entry.kind, &entry.payload);
        index += 1;
    }
    encode(&mut content, index, 0, entries.len().to_string().as_bytes());
    let path = files::snapshot_path(folder, next_index);
    step("write a snapshot", &path, files::replace_file(&path, &content))?;
    step("remove replaced files", folder, remove_below(folder, next_index))?;
    Ok(content.len() as u64)
}

fn remove_below(folder: &Path, next_index: u64) -> io::Result<()> {
    let listing = files::list(folder)?;
    let old = listing.segments.iter().chain(&listing.snapshots);
    for (_, path) in old.filter(|(first, _)| *first < next_index) {
        fs::remove_file(path)?;
    }
    files::sync_folder(folder)
}
