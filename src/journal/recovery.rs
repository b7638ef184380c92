//! Recovery of the journal from its folder.

use std::fs::{self, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

use tracing::warn;

use super::files::{self, Listing};
use super::format::{Scan, scan};
use super::{CutTail, Record};
use crate::StepError;

/// State of the folder after recovery.
#[derive(Debug)]
pub(super) struct Recovered {
    /// Records of the newest snapshot, then those written after it.
    pub(super) records: Vec<Record>,
    /// Index of the next record.
    pub(super) next_index: u64,
    /// Segment to which the next record is appended.
    pub(super) segment: PathBuf,
    /// Size of the segments after the newest snapshot.
    pub(super) log_bytes: u64,
    pub(super) cut: Option<CutTail>,
}

/// Reads all records and truncates a torn tail.
pub(super) fn recover(folder: &Path) -> Result<Recovered, StepError> {
    let listing = with_step("list the journal", folder, files::list(folder))?;
    let (mut records, first) = read_snapshot(&listing)?;
    remove_covered(folder, &listing, first)?;
    let segments: Vec<_> = listing.segments.iter().filter(|(at, _)| *at >= first).collect();
    let log = read_log(&segments, first, true)?;
    records.extend(log.records);
    let last = segments.last().map(|(_, path)| path.clone());
    // A snapshot is written after the next segment was created, so that segment must exist.
    if last.is_none() && !listing.snapshots.is_empty() {
        return Err(missing(folder, first, first + 1));
    }
    Ok(Recovered {
        records,
        next_index: log.next_index,
        segment: last.unwrap_or_else(|| files::segment_path(folder, log.next_index)),
        log_bytes: log.size_bytes,
        cut: log.cut,
    })
}

/// Reads all records below the first index of a segment, while the journal is in use.
pub(super) fn read_below(folder: &Path, next_index: u64) -> Result<Vec<Record>, StepError> {
    let listing = with_step("list the journal", folder, files::list(folder))?;
    let (mut records, first) = read_snapshot(&listing)?;
    let sealed = first..next_index;
    let segments = listing.segments.iter().filter(|(at, _)| sealed.contains(at));
    let log = read_log(&segments.collect::<Vec<_>>(), first, false)?;
    if log.next_index != next_index {
        return Err(missing(folder, log.next_index, next_index));
    }
    records.extend(log.records);
    Ok(records)
}

/// Content of consecutive segments.
struct Log {
    records: Vec<Record>,
    next_index: u64,
    size_bytes: u64,
    cut: Option<CutTail>,
}

/// Reads consecutive segments; only the one being written (`with_tail`) may have a torn tail.
fn read_log(segments: &[&(u64, PathBuf)], first: u64, with_tail: bool) -> Result<Log, StepError> {
    let mut log = Log { records: Vec::new(), next_index: first, size_bytes: 0, cut: None };
    for (at, (first_index, path)) in segments.iter().enumerate() {
        if *first_index != log.next_index {
            return Err(missing(path, log.next_index, *first_index));
        }
        let is_last = with_tail && at + 1 == segments.len();
        let found = read_segment(path, *first_index, is_last)?;
        log.next_index += found.records.len() as u64;
        log.size_bytes += found.valid_bytes as u64;
        log.records.extend(found.records);
        log.cut = found.cut;
    }
    Ok(log)
}

fn missing(path: &Path, from: u64, to: u64) -> StepError {
    let text = format!("records from {from} up to {to} are missing");
    StepError::new("read the journal", path.display(), text)
}

/// Reads the newest snapshot; also returns the index of the first record after it.
fn read_snapshot(listing: &Listing) -> Result<(Vec<Record>, u64), StepError> {
    let Some((next_index, path)) = listing.snapshots.last() else { return Ok((Vec::new(), 1)) };
    let bytes = with_step("read the snapshot", path, fs::read(path))?;
    let found = scan(&bytes, 0);
    if found.valid_bytes != bytes.len() || found.records.is_empty() {
        return Err(corrupt(path, found.valid_bytes));
    }
    let mut records = found.records;
    // The last record holds the count, which detects a file that ends between two records.
    let count = records.pop().and_then(|last| String::from_utf8(last.payload).ok());
    if count.and_then(|text| text.parse().ok()) != Some(records.len()) {
        return Err(corrupt(path, found.valid_bytes));
    }
    Ok((records, *next_index))
}

/// Removes the files that the newest snapshot replaces, and unfinished snapshots.
fn remove_covered(folder: &Path, listing: &Listing, first: u64) -> Result<(), StepError> {
    let old_segments = listing.segments.iter().filter(|(at, _)| *at < first);
    let old_snapshots = listing.snapshots.iter().filter(|(at, _)| *at < first);
    let old = old_segments.chain(old_snapshots).map(|(_, path)| path);
    let old: Vec<_> = old.chain(&listing.temporary).collect();
    if old.is_empty() {
        return Ok(());
    }
    for path in old {
        with_step("remove a replaced file", path, fs::remove_file(path))?;
    }
    with_step("sync the folder", folder, files::sync_folder(folder))
}

struct Segment {
    records: Vec<Record>,
    valid_bytes: usize,
    cut: Option<CutTail>,
}

fn read_segment(path: &Path, first_index: u64, is_last: bool) -> Result<Segment, StepError> {
    let bytes = with_step("read the journal", path, fs::read(path))?;
    let Scan { records, valid_bytes, synced_after } = scan(&bytes, first_index);
    if valid_bytes == bytes.len() {
        return Ok(Segment { records, valid_bytes, cut: None });
    }
    // A segment is completely synced before the next one is created.
    if synced_after.is_some() || !is_last {
        return Err(corrupt(path, valid_bytes));
    }
    let cut = cut_tail(path, valid_bytes, bytes.len())?;
    Ok(Segment { records, valid_bytes, cut: Some(cut) })
}

fn cut_tail(path: &Path, valid_bytes: usize, size_bytes: usize) -> Result<CutTail, StepError> {
    let cut = CutTail {
        file: path.to_owned(),
        offset: valid_bytes as u64,
        size_bytes: (size_bytes - valid_bytes) as u64,
    };
    let truncate = || {
        let file = OpenOptions::new().write(true).open(path)?;
        file.set_len(cut.offset)?;
        file.sync_all()
    };
    with_step("truncate the torn tail", path, truncate())?;
    warn!(
        file = %path.display(),
        offset = cut.offset,
        size_bytes = cut.size_bytes,
        "truncated a torn tail of the journal"
    );
    Ok(cut)
}

fn corrupt(path: &Path, offset: usize) -> StepError {
    let text = format!("corrupt record at offset {offset}, with synced data after it");
    StepError::new("read the journal", path.display(), text)
}

/// Adds the failed step and its path to the error of a file operation.
pub(super) fn with_step<T>(
    name: &'static str,
    path: &Path,
    result: io::Result<T>,
) -> Result<T, StepError> {
    result.map_err(|fault| StepError::new(name, path.display(), fault))
}
