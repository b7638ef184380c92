//! Torn and corrupt files, failing disks, snapshots and group commit.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use rstest::rstest;
use tempfile::TempDir;

use super::files::Sink;
use super::{Entry, Journal, OpenSink, Record};
use crate::StepError;

fn temp_folder() -> TempDir {
    tempfile::tempdir().expect("a temporary folder")
}

async fn write(folder: &Path, payloads: &[&str]) {
    let (journal, _) = Journal::open(folder).expect("the journal opens");
    for payload in payloads {
        journal.append(3, payload.as_bytes().to_vec()).await.expect("the record is synced");
    }
}

fn read(folder: &Path) -> Vec<String> {
    let (_, records) = Journal::open(folder).expect("the journal opens");
    texts(&records)
}

fn texts(records: &[Record]) -> Vec<String> {
    let indexes = records.iter().map(|record| record.index);
    assert!(indexes.eq(1..=records.len() as u64), "indexes are consecutive");
    let text = |record: &Record| String::from_utf8(record.payload.clone()).expect("text");
    records.iter().map(text).collect()
}

fn segment(folder: &Path) -> PathBuf {
    folder.join(format!("{:020}.log", 1))
}

/// Guards against a crash during a write that loses synced records or prevents the next start.
#[tokio::test]
async fn a_file_truncated_at_any_byte_keeps_every_complete_record() {
    let folder = temp_folder();
    write(folder.path(), &["first", "second", "third"]).await;
    let content = fs::read(segment(folder.path())).expect("the segment");
    let ends = [17 + 5, 2 * 17 + 11, 3 * 17 + 16];
    assert_eq!(content.len(), ends[2]);
    for size in 0..=content.len() {
        fs::write(segment(folder.path()), &content[..size]).expect("the segment is cut");
        let expected = ends.iter().filter(|end| **end <= size).count();
        let (journal, records) = Journal::open(folder.path()).expect("the journal opens");
        assert_eq!(records.len(), expected, "after {size} bytes");
        let cut = journal.cut_tail().map(|cut| (cut.offset, cut.size_bytes));
        let valid = if expected == 0 { 0 } else { ends[expected - 1] };
        let torn = (size > valid).then_some((valid as u64, (size - valid) as u64));
        assert_eq!(cut, torn, "after {size} bytes");
        journal.append(3, b"next".to_vec()).await.expect("the record is synced");
        drop(journal);
        assert_eq!(read(folder.path()).len(), expected + 1, "after {size} bytes");
    }
}

/// Guards against a start that silently drops a corrupt synced record.
#[tokio::test]
async fn a_changed_byte_before_the_last_record_is_refused() {
    let folder = temp_folder();
    write(folder.path(), &["first", "second", "third"]).await;
    let content = fs::read(segment(folder.path())).expect("the segment");
    let last = 2 * 17 + 11;
    for at in 0..content.len() {
        let mut changed = content.clone();
        changed[at] ^= 0x40;
        fs::write(segment(folder.path()), &changed).expect("the segment is changed");
        let opened = Journal::open(folder.path());
        if at >= last {
            assert_eq!(texts(&opened.expect("the tail is cut off").1), ["first", "second"]);
            continue;
        }
        let fault = opened.map(|_| ()).expect_err("the change is found").to_string();
        let offset = if at < 22 { 0 } else { 22 };
        let found = format!("{:020}.log): corrupt record at offset {offset}", 1);
        assert!(fault.contains(&found), "byte {at}: {fault}");
    }
}

/// Guards against a refused start after a power loss during a write of several records, whose
/// parts can reach the disk in any order.
#[tokio::test]
async fn a_torn_write_out_of_order_is_truncated() {
    let folder = temp_folder();
    write(folder.path(), &["first"]).await;
    let mut bytes = fs::read(segment(folder.path())).expect("the segment");
    let valid = bytes.len();
    super::format::encode(&mut bytes, 2, 3 | super::format::FIRST_OF_WRITE, b"second");
    super::format::encode(&mut bytes, 3, 3, b"third");
    bytes[valid..valid + 20].fill(0);
    fs::write(segment(folder.path()), &bytes).expect("the segment is changed");
    assert_eq!(read(folder.path()), ["first"]);
}

/// Guards against two processes that write to the same folder.
#[tokio::test]
async fn a_folder_in_use_is_refused() {
    let folder = temp_folder();
    let first = Journal::open(folder.path()).expect("the journal opens");
    let fault = Journal::open(folder.path()).map(|_| ()).expect_err("it is in use");
    assert!(fault.to_string().contains("another process uses this data folder"), "{fault}");
    drop(first);
    Journal::open(folder.path()).expect("the journal opens again");
}

/// A segment whose writes or syncs fail once `remaining` of them have succeeded.
struct FailingFile {
    file: fs::File,
    remaining: Arc<AtomicUsize>,
    fails_at_sync: bool,
}

impl FailingFile {
    fn fail_if_due(&self, is_sync: bool) -> io::Result<()> {
        let use_one = || {
            self.remaining.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1))
        };
        let fails = is_sync == self.fails_at_sync && use_one().is_err();
        if fails { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }
}

impl Write for FailingFile {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if let Err(fault) = self.fail_if_due(false) {
            // A full disk stores a part of the write.
            self.file.write_all(&buf[..buf.len() / 2])?;
            return Err(fault);
        }
        self.file.write_all(buf)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Sink for FailingFile {
    fn sync(&mut self) -> io::Result<()> {
        self.fail_if_due(true)?;
        self.file.sync_data()
    }
}

/// Opens files that fail after a number of writes or syncs.
pub(crate) fn failing_after(remaining: usize, fails_at_sync: bool) -> OpenSink {
    let remaining = Arc::new(AtomicUsize::new(remaining));
    Box::new(move |path| {
        let file = fs::OpenOptions::new().append(true).create(true).open(path)?;
        Ok(Box::new(FailingFile { file, remaining: Arc::clone(&remaining), fails_at_sync }))
    })
}

/// Guards against acknowledging records after a failed write or sync, whose effect on the file is
/// unknown.
#[rstest]
#[case::full_disk(false, 2)]
#[case::failed_sync(true, 3)]
#[tokio::test]
async fn a_failed_write_stops_appends_until_restart(
    #[case] fails_at_sync: bool,
    #[case] found_after: usize,
) {
    let folder = temp_folder();
    let opened = Journal::open_with(folder.path(), failing_after(2, fails_at_sync));
    let (journal, _) = opened.expect("the journal opens");
    for payload in ["first", "second"] {
        journal.append(3, payload.into()).await.expect("the record is synced");
    }
    for payload in ["third", "fourth"] {
        let fault = journal.append(3, payload.into()).await.expect_err("the disk is full");
        assert_eq!(fault.step(), "append to the journal");
    }
    assert!(journal.check().is_err());
    drop(journal);
    // The third record was never acknowledged, so it may or may not be found.
    assert_eq!(read(folder.path()).len(), found_after);
}

/// Guards against one sync per record, which would limit the request rate.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_appends_share_syncs() {
    let folder = temp_folder();
    let (journal, _) = Journal::open(folder.path()).expect("the journal opens");
    let journal = Arc::new(journal);
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..500_u32 {
        let journal = Arc::clone(&journal);
        tasks.spawn(async move { journal.append(3, number.to_string().into()).await });
    }
    let mut indexes: Vec<u64> = tasks.join_all().await.into_iter().map(Result::unwrap).collect();
    indexes.sort_unstable();
    assert!(indexes.into_iter().eq(1..=500));
    let mut registry = prometheus_client::registry::Registry::default();
    journal.metrics().register(&mut registry);
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &registry).expect("the text");
    let line = text.lines().find(|line| line.starts_with("journal_sync_seconds_count"));
    let syncs: u64 = line.and_then(|l| l.rsplit(' ').next()?.parse().ok()).expect("a count");
    assert!(syncs < 250, "{syncs} syncs for 500 records");
}

/// Concatenates all payloads to one record; fails if one of them is `bad`.
fn concatenate(records: &[Record]) -> Result<Vec<Entry>, StepError> {
    if records.iter().any(|record| record.payload == b"bad") {
        return Err(StepError::new("make a snapshot", "state", "a fault"));
    }
    let payload = records.iter().flat_map(|record| record.payload.clone()).collect();
    Ok(vec![Entry { kind: 5, payload }])
}

/// Guards against files that are never removed, with which the recovery time would grow.
#[tokio::test]
async fn a_snapshot_replaces_older_records_and_files() {
    let folder = temp_folder();
    let (journal, _) = Journal::open(folder.path()).expect("the journal opens");
    for payload in ["first", "second"] {
        journal.append(3, payload.into()).await.expect("the record is synced");
    }
    journal.snapshot(concatenate);
    journal.append(3, b"third".to_vec()).await.expect("the record is synced");
    drop(journal);
    assert!(!segment(folder.path()).exists());
    let (journal, records) = Journal::open(folder.path()).expect("the journal opens");
    let found: Vec<_> = records.iter().map(|r| (r.index, r.kind, &r.payload[..])).collect();
    assert_eq!(found, [(0, 5, &b"firstsecond"[..]), (3, 3, b"third")]);
    assert_eq!(journal.append(3, b"fourth".to_vec()).await.expect("the record is synced"), 4);
    journal.snapshot(concatenate);
    drop(journal);
    let (_, records) = Journal::open(folder.path()).expect("the journal opens");
    let found: Vec<_> = records.iter().map(|r| (r.index, &r.payload[..])).collect();
    assert_eq!(found, [(0, &b"firstsecondthirdfourth"[..])]);
}

/// Guards against a snapshot of the state in memory that loses records queued before or after it.
#[tokio::test]
async fn a_snapshot_of_the_state_replaces_what_was_queued_before() {
    let folder = temp_folder();
    let (journal, _) = Journal::open(folder.path()).expect("the journal opens");
    for payload in ["first", "second"] {
        journal.append(3, payload.into()).await.expect("the record is synced");
    }
    let state = ["one", "two"].map(|text| Entry { kind: 5, payload: text.into() });
    journal.snapshot_of(state.into_iter());
    journal.append(3, b"third".to_vec()).await.expect("the record is synced");
    drop(journal);
    assert!(!segment(folder.path()).exists());
    let (_, records) = Journal::open(folder.path()).expect("the journal opens");
    let found: Vec<_> = records.iter().map(|r| (r.index, r.kind, &r.payload[..])).collect();
    assert_eq!(found, [(0, 5, &b"one"[..]), (1, 5, b"two"), (3, 3, b"third")]);
}

/// Guards against data loss by a crash at any step of a snapshot.
#[tokio::test]
async fn a_snapshot_interrupted_anywhere_loses_nothing() {
    let folder = temp_folder();
    write(folder.path(), &["first", "second"]).await;
    let old = fs::read(segment(folder.path())).expect("the segment");
    let path = |name: &str| folder.path().join(format!("{:020}.{name}", 3));
    fs::write(path("snapshot.tmp"), b"half").expect("an unfinished snapshot");
    assert_eq!(read(folder.path()), ["first", "second"]);
    assert!(!path("snapshot.tmp").exists());
    fs::write(path("log"), b"").expect("a new segment without a snapshot");
    assert_eq!(read(folder.path()), ["first", "second"]);
    let (journal, _) = Journal::open(folder.path()).expect("the journal opens");
    journal.snapshot(concatenate);
    drop(journal);
    fs::write(segment(folder.path()), old).expect("a replaced segment that was not yet removed");
    let (_, records) = Journal::open(folder.path()).expect("the journal opens");
    assert_eq!(records.iter().map(|r| &r.payload[..]).collect::<Vec<_>>(), [b"firstsecond"]);
    assert!(!segment(folder.path()).exists());
}

/// Guards against losing records when a snapshot fails.
#[tokio::test]
async fn a_failed_snapshot_keeps_the_records() {
    let folder = temp_folder();
    let (journal, _) = Journal::open(folder.path()).expect("the journal opens");
    for payload in ["bad", "second"] {
        journal.append(3, payload.into()).await.expect("the record is synced");
        journal.snapshot(concatenate);
    }
    drop(journal);
    assert_eq!(read(folder.path()), ["bad", "second"]);
    fs::remove_file(segment(folder.path())).expect("a segment is removed");
    let fault = Journal::open(folder.path()).map(|_| ()).expect_err("the loss is found");
    assert!(fault.to_string().contains("records from 1 up to 2 are missing"), "{fault}");
}

/// Guards against starting from a truncated snapshot, or without the segment after it.
#[tokio::test]
async fn a_damaged_snapshot_is_refused() {
    let folder = temp_folder();
    let (journal, _) = Journal::open(folder.path()).expect("the journal opens");
    journal.append(3, b"first".to_vec()).await.expect("the record is synced");
    journal.snapshot(concatenate);
    drop(journal);
    let path = folder.path().join(format!("{:020}.snapshot", 2));
    let content = fs::read(&path).expect("the snapshot");
    for size in 0..content.len() {
        fs::write(&path, &content[..size]).expect("the snapshot is cut");
        let fault = Journal::open(folder.path()).map(|_| ()).expect_err("the damage is found");
        assert!(fault.to_string().contains(".snapshot"), "{fault}");
    }
    fs::write(&path, &content).expect("the snapshot is restored");
    Journal::open(folder.path()).expect("the journal opens");
    let next = folder.path().join(format!("{:020}.log", 2));
    fs::remove_file(next).expect("the segment after it is removed");
    let fault = Journal::open(folder.path()).map(|_| ()).expect_err("the loss is found");
    assert!(fault.to_string().contains("records from 2 up to 3 are missing"), "{fault}");
}

/// Guards against a deferred record that causes a sync of its own or is never written.
#[tokio::test]
async fn a_deferred_record_shares_the_next_sync() {
    const SYNCS_MAX: usize = 100;
    let folder = temp_folder();
    let remaining = Arc::new(AtomicUsize::new(SYNCS_MAX));
    let counted = Arc::clone(&remaining);
    let open: OpenSink = Box::new(move |path| {
        let file = fs::OpenOptions::new().append(true).create(true).open(path)?;
        Ok(Box::new(FailingFile { file, remaining: Arc::clone(&counted), fails_at_sync: true }))
    });
    let syncs = || SYNCS_MAX - remaining.load(Ordering::SeqCst);
    let entry = |text: &str| Entry { kind: 3, payload: text.as_bytes().to_vec() };
    let (journal, _) = Journal::open_with(folder.path(), open).expect("the journal opens");
    journal.enqueue_deferred(entry("first")).expect("the record is queued");
    let second = journal.enqueue(entry("second")).expect("the record is queued");
    journal.wait_synced(second).await.expect("the record is synced");
    assert_eq!(syncs(), 1, "both records share one sync");
    let third = journal.enqueue_deferred(entry("third")).expect("the record is queued");
    journal.wait_synced(third).await.expect("a waiting caller causes the write");
    assert_eq!(syncs(), 2);
    journal.enqueue_deferred(entry("fourth")).expect("the record is queued");
    drop(journal);
    assert_eq!(read(folder.path()), ["first", "second", "third", "fourth"]);
}
