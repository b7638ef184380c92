//! The thread that writes and syncs records, and starts snapshots.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};

use tokio::sync::watch;
use tracing::{error, info, warn};

use super::files::{self, OpenSink, Sink};
use super::format::{FIRST_OF_WRITE, HEADER_BYTES, encode, write};
use super::recovery::{read_below, with_step};
use super::{Entry, JournalMetrics, Record};
use crate::StepError;

/// Buffered size that triggers a write, so that the duration of each sync is bounded.
const WRITE_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Builds the records that replace the given ones in a snapshot.
pub(crate) type Compact = fn(&[Record]) -> Result<Vec<Entry>, StepError>;

/// Where the records of a snapshot come from.
pub(super) enum Source {
    /// From the records on disk that it replaces.
    Files(Compact),
    /// From the state in memory, one at a time.
    State(Box<dyn Iterator<Item = Entry> + Send>),
}

pub(super) enum WriterCommand {
    Append { index: u64, entry: Entry },
    Snapshot { next_index: u64, source: Source },
}

/// Progress of the writer.
#[derive(Debug, Clone, Default)]
pub(super) struct Progress {
    /// Index of the newest synced record.
    pub(super) synced_index: u64,
    /// Error that stopped the writer.
    pub(super) error: Option<String>,
    pub(super) bytes_since_snapshot: u64,
    pub(super) snapshot_bytes: u64,
}

/// Queue between the callers and the writer thread.
#[derive(Default)]
pub(super) struct Queue {
    pub(super) pending: Mutex<Pending>,
    pub(super) wakeup: Condvar,
}

#[derive(Default)]
pub(super) struct Pending {
    pub(super) next_index: u64,
    pub(super) commands: Vec<WriterCommand>,
    /// Whether to write at once; deferred records wait for the next urgent one.
    pub(super) urgent: bool,
    pub(super) closed: bool,
}

impl Queue {
    pub(super) fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for urgent commands and takes all; returns `None` once the queue is closed and empty.
    fn take(&self) -> Option<Vec<WriterCommand>> {
        let mut pending = self.lock();
        while !pending.urgent && !pending.closed {
            pending = self.wakeup.wait(pending).unwrap_or_else(PoisonError::into_inner);
        }
        pending.urgent = false;
        let commands = std::mem::take(&mut pending.commands);
        (!commands.is_empty() || !pending.closed).then_some(commands)
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
                error!(error = %fault, "the journal has stopped; all appends fail until restart");
                self.progress.send_modify(|progress| progress.error = Some(fault.to_string()));
                break;
            }
        }
        self.join_snapshot();
    }

    /// Waits for a running snapshot, which must not write after the folder's lock is released.
    fn join_snapshot(&mut self) {
        if let Some(thread) = self.snapshot_thread.take() {
            _ = thread.join();
        }
    }

    fn write_batch(&mut self, batch: Vec<WriterCommand>) -> io::Result<()> {
        let mut buffer = Vec::new();
        let mut last_index = 0;
        for command in batch {
            match command {
                WriterCommand::Append { index, entry } => {
                    let flag = if buffer.is_empty() { FIRST_OF_WRITE } else { 0 };
                    encode(&mut buffer, index, entry.kind | flag, &entry.payload);
                    last_index = index;
                    if buffer.len() >= WRITE_LIMIT_BYTES {
                        self.flush(&mut buffer, last_index)?;
                    }
                }
                WriterCommand::Snapshot { next_index, source } => {
                    self.flush(&mut buffer, last_index)?;
                    self.start_snapshot(next_index, source)?;
                }
            }
        }
        self.flush(&mut buffer, last_index)
    }

    fn flush(&mut self, buffer: &mut Vec<u8>, last_index: u64) -> io::Result<()> {
        if buffer.is_empty() {
            return Ok(());
        }
        self.sink.write_all(buffer)?;
        let started = std::time::Instant::now();
        self.sink.sync()?;
        self.metrics.sync_seconds.observe(started.elapsed().as_secs_f64());
        let size = buffer.len() as u64;
        self.progress.send_modify(|progress| {
            progress.synced_index = last_index;
            progress.bytes_since_snapshot += size;
        });
        buffer.clear();
        Ok(())
    }

    /// Opens a new segment and writes the snapshot on another thread, so that appends continue.
    ///
    /// The state in memory is not locked meanwhile.
    fn start_snapshot(&mut self, next_index: u64, source: Source) -> io::Result<()> {
        self.join_snapshot();
        self.sink = (self.open)(&files::segment_path(&self.folder, next_index))?;
        files::sync_folder(&self.folder)?;
        self.progress.send_modify(|progress| progress.bytes_since_snapshot = 0);
        let folder = self.folder.clone();
        let progress = self.progress.clone();
        let running = Arc::clone(&self.snapshot_running);
        let work = move || {
            let written = write_snapshot(&folder, next_index, source);
            progress.send_modify(|progress| {
                progress.snapshot_bytes = *written.as_ref().unwrap_or(&progress.snapshot_bytes);
            });
            running.store(false, Ordering::Release);
            match written {
                Ok(size_bytes) => info!(next_index, size_bytes, "wrote a snapshot"),
                // The previous snapshot and segments are kept, so nothing is lost.
                Err(fault) => warn!(error = %fault, "could not write a snapshot"),
            }
        };
        let thread = thread::Builder::new().name("snapshot".into()).spawn(work)?;
        self.snapshot_thread = Some(thread);
        Ok(())
    }
}

/// Writes a snapshot and removes the files that it replaces; returns its size in bytes.
fn write_snapshot(folder: &Path, next_index: u64, source: Source) -> Result<u64, StepError> {
    let entries = match source {
        Source::Files(compact) => Box::new(compact(&read_below(folder, next_index)?)?.into_iter()),
        Source::State(entries) => entries,
    };
    let path = files::snapshot_path(folder, next_index);
    let written = files::replace_file_with(&path, |out| write_entries(out, entries));
    let size_bytes = with_step("write a snapshot", &path, written)?;
    with_step("remove replaced files", folder, remove_below(folder, next_index))?;
    Ok(size_bytes)
}

/// Writes the records of a snapshot one at a time, so that no copy of all is in memory.
fn write_entries(
    out: &mut impl io::Write,
    entries: impl Iterator<Item = Entry>,
) -> io::Result<u64> {
    let (mut index, mut size_bytes) = (0, 0);
    for entry in entries {
        write(out, index, entry.kind, &entry.payload)?;
        index += 1;
        size_bytes += (HEADER_BYTES + entry.payload.len()) as u64;
    }
    // Recovery detects a truncated snapshot by the count in its last record.
    write(out, index, 0, index.to_string().as_bytes())?;
    Ok(size_bytes)
}

fn remove_below(folder: &Path, next_index: u64) -> io::Result<()> {
    let listing = files::list(folder)?;
    let old = listing.segments.iter().chain(&listing.snapshots);
    for (_, path) in old.filter(|(first, _)| *first < next_index) {
        fs::remove_file(path)?;
    }
    files::sync_folder(folder)
}
