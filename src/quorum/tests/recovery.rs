//! Recovery of the consensus state from the journal, with and without compaction.

use bytes::Bytes;

use crate::journal::Record;
use crate::quorum::core::DurableChange;
use crate::quorum::storage::{founding_records, record, recover, state_records};
use crate::quorum::{Entry, Membership, Payload, Snapshot};

fn command(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Command(Bytes::from(vec![index.to_le_bytes()[0]])) }
}

fn records(entries: Vec<crate::journal::Entry>) -> Vec<Record> {
    let with_index = |(index, entry): (u64, crate::journal::Entry)| Record {
        index,
        kind: entry.kind,
        payload: entry.payload,
    };
    (1..).zip(entries).map(with_index).collect()
}

fn journal_with_replaced_entries() -> Vec<crate::journal::Entry> {
    let membership = Membership::of_voters([(1, "a".to_owned()), (2, "b".to_owned())]);
    let snapshot = Snapshot { membership, ..Snapshot::default() };
    let mut all = founding_records(9, &snapshot);
    all.push(record(&DurableChange::Vote { term: 1, voted_for: Some(1) }));
    all.push(record(&DurableChange::Entries(vec![command(1, 1), command(2, 1), command(3, 1)])));
    all.push(record(&DurableChange::Vote { term: 2, voted_for: None }));
    // A newer leader replaces the last two.
    all.push(record(&DurableChange::Entries(vec![command(2, 2)])));
    all
}

/// Guards against entries that a newer leader has replaced and that return after a restart.
#[test]
fn replaced_entries_stay_replaced() {
    let found = recover(records(journal_with_replaced_entries())).unwrap();
    assert_eq!(found.identity, Some(9));
    assert_eq!(found.durable.term, 2);
    let terms: Vec<_> = found.durable.log.after(0, usize::MAX).iter().map(|e| e.term).collect();
    assert_eq!(terms, [1, 2]);
}

/// Guards against compaction that loses the identity, vote, membership or entries.
#[test]
fn compaction_keeps_the_state() {
    let before = recover(records(journal_with_replaced_entries())).unwrap();
    let kept = state_records(before.identity, before.durable.clone());
    let after = recover(records(kept.collect())).unwrap();
    assert_eq!(before.identity, after.identity);
    assert_eq!(before.durable.term, after.durable.term);
    assert_eq!(before.durable.voted_for, after.durable.voted_for);
    assert_eq!(before.durable.log.snapshot(), after.durable.log.snapshot());
    let entries =
        |found: &crate::quorum::storage::Recovered| found.durable.log.after(0, usize::MAX);
    assert_eq!(entries(&before), entries(&after));
}

/// Guards against a control host that runs out of memory when it replaces its log: the entries were in one
/// record, with several copies of it in memory at once.
#[test]
fn a_large_log_is_replaced_by_small_records() {
    const ENTRY_BYTES: usize = 600_000;
    let large = |index| {
        let payload = Payload::Command(Bytes::from(vec![7; ENTRY_BYTES]));
        Entry { index, term: 1, payload }
    };
    let mut all = founding_records(9, &Snapshot::default());
    all.push(record(&DurableChange::Entries((1..=5).map(large).collect())));
    let before = recover(records(all)).unwrap();
    let kept: Vec<_> = state_records(before.identity, before.durable.clone()).collect();
    assert!(kept.iter().all(|entry| entry.payload.len() < 3 * ENTRY_BYTES));
    let after = recover(records(kept)).unwrap();
    assert_eq!(before.durable.log.after(0, usize::MAX), after.durable.log.after(0, usize::MAX));
}
