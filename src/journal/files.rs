//! Files in the journal's folder: segments, snapshots and the lock file.

use std::fs::{self, File, OpenOptions};
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};

use crate::StepError;

const SEGMENT_SUFFIX: &str = ".log";
const SNAPSHOT_SUFFIX: &str = ".snapshot";
const TEMPORARY_SUFFIX: &str = ".tmp";
const LOCK_FILE: &str = "journal.lock";

/// A segment file open for appending.
pub(crate) trait Sink: Write + Send {
    /// Makes everything written so far durable.
    fn sync(&mut self) -> io::Result<()>;
}

impl Sink for File {
    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

/// Opens a segment for appending; tests replace it to inject faults.
pub(crate) type OpenSink = Box<dyn FnMut(&Path) -> io::Result<Box<dyn Sink>> + Send>;

/// Opens segments in the file system.
pub(super) fn open_files() -> OpenSink {
    Box::new(|path| {
        let file = OpenOptions::new().append(true).create(true).open(path)?;
        Ok(Box::new(file))
    })
}

/// Files of the folder, sorted by the index in their names.
#[derive(Debug, Default)]
pub(super) struct Listing {
    pub(super) segments: Vec<(u64, PathBuf)>,
    pub(super) snapshots: Vec<(u64, PathBuf)>,
    pub(super) temporary: Vec<PathBuf>,
}

pub(super) fn list(folder: &Path) -> io::Result<Listing> {
    let mut listing = Listing::default();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        let Some(name) = path.file_name().and_then(|name| name.to_str()) else { continue };
        if name.ends_with(TEMPORARY_SUFFIX) && name.contains(SNAPSHOT_SUFFIX) {
            listing.temporary.push(path);
        } else if let Some(first) = index_in_name(name, SEGMENT_SUFFIX) {
            listing.segments.push((first, path));
        } else if let Some(first) = index_in_name(name, SNAPSHOT_SUFFIX) {
            listing.snapshots.push((first, path));
        }
    }
    listing.segments.sort();
    listing.snapshots.sort();
    Ok(listing)
}

fn index_in_name(name: &str, suffix: &str) -> Option<u64> {
    name.strip_suffix(suffix)?.parse().ok()
}

/// Returns the path of the segment whose first record has this index.
pub(super) fn segment_path(folder: &Path, first_index: u64) -> PathBuf {
    folder.join(format!("{first_index:020}{SEGMENT_SUFFIX}"))
}

/// Returns the path of the snapshot that replaces all records below this index.
pub(super) fn snapshot_path(folder: &Path, next_index: u64) -> PathBuf {
    folder.join(format!("{next_index:020}{SNAPSHOT_SUFFIX}"))
}

/// Syncs a folder, so that created, renamed and removed files in it survive a crash.
pub(crate) fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Replaces a file atomically: after a crash it has either the old or the new content.
pub(crate) fn replace_file(path: &Path, content: &[u8]) -> io::Result<()> {
    replace_file_with(path, |file| file.write_all(content))
}

/// Replaces a file atomically by what `write` writes, so that its content need not be in memory at once.
pub(super) fn replace_file_with<T>(
    path: &Path,
    write: impl FnOnce(&mut BufWriter<File>) -> io::Result<T>,
) -> io::Result<T> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(TEMPORARY_SUFFIX);
    let written = match write_synced(Path::new(&temporary), write) {
        Ok(written) => written,
        Err(fault) => {
            // On a full disk a partly written file must not occupy space.
            _ = fs::remove_file(&temporary);
            return Err(fault);
        }
    };
    fs::rename(&temporary, path)?;
    sync_folder(path.parent().unwrap_or(Path::new(".")))?;
    Ok(written)
}

fn write_synced<T>(
    path: &Path,
    write: impl FnOnce(&mut BufWriter<File>) -> io::Result<T>,
) -> io::Result<T> {
    let mut file = BufWriter::new(File::create(path)?);
    let written = write(&mut file)?;
    file.into_inner()?.sync_all()?;
    Ok(written)
}

/// Locks the folder until the returned file is closed, at the latest when the process ends.
pub(super) fn lock(folder: &Path) -> Result<File, StepError> {
    let path = folder.join(LOCK_FILE);
    let failed = |fault: io::Error| StepError::new("lock the data folder", path.display(), fault);
    let file = OpenOptions::new().write(true).create(true).truncate(false).open(&path);
    let file = file.map_err(failed)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(fs::TryLockError::WouldBlock) => {
            let text = "another process uses this data folder";
            Err(StepError::new("lock the data folder", path.display(), text))
        }
        Err(fs::TryLockError::Error(fault)) => Err(failed(fault)),
    }
}
