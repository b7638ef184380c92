//! Encoding of a host's consensus state as records of the journal.

use serde::{Deserialize, Serialize};

use super::core::{DurableChange, DurableState};
use super::log::Snapshot;
use super::membership::MemberId;
use crate::StepError;
use crate::cluster::codec;
use crate::journal;

/// Kind of all records; [`StoredRecord`] tells them apart.
const RECORD_KIND: u8 = 1;

/// Maximum size of the entries in one record of a snapshot; a larger entry has a record of its own.
const RECORD_BUDGET_BYTES: usize = 1024 * 1024;

/// Content of one record of the journal.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum StoredRecord {
    /// Identity of this disk.
    Identity(MemberId),
    Change(DurableChange),
}

/// State recovered from the journal.
#[derive(Debug, Default)]
pub(crate) struct Recovered {
    /// Absent on an empty disk.
    pub(crate) identity: Option<MemberId>,
    pub(crate) durable: DurableState,
}

/// Encodes a change for the journal.
pub(crate) fn record(change: &DurableChange) -> journal::Entry {
    entry(&StoredRecord::Change(change.clone()))
}

/// Encodes the identity of a new disk and its initial log.
pub(crate) fn founding_records(identity: MemberId, snapshot: &Snapshot) -> Vec<journal::Entry> {
    let log = StoredRecord::Change(DurableChange::Snapshot(snapshot.clone()));
    vec![entry(&StoredRecord::Identity(identity)), entry(&log)]
}

fn entry(stored: &StoredRecord) -> journal::Entry {
    journal::Entry { kind: RECORD_KIND, payload: codec::encode_vec(stored) }
}

/// Rebuilds the state from the records of the journal, each of which is dropped once it is decoded.
///
/// # Errors
/// Returns an error if a record cannot be decoded.
pub(crate) fn recover(
    records: impl IntoIterator<Item = journal::Record>,
) -> Result<Recovered, StepError> {
    let mut recovered = Recovered::default();
    for record in records {
        let stored = codec::decode(&record.payload)
            .map_err(|fault| StepError::new("decode a record of the log", record.index, fault))?;
        match stored {
            StoredRecord::Identity(identity) => recovered.identity = Some(identity),
            StoredRecord::Change(change) => recovered.durable.apply(change),
        }
    }
    Ok(recovered)
}

/// Returns the records of a state, which replace all that have led to it.
///
/// They are encoded one at a time, and the content of the log is shared with the caller's. A control host
/// has no memory for several copies of it.
pub(crate) fn state_records(
    identity: Option<MemberId>,
    durable: DurableState,
) -> impl Iterator<Item = journal::Entry> + Send {
    let DurableState { term, voted_for, log } = durable;
    let snapshot = DurableChange::Snapshot(log.snapshot().clone());
    let mut next = log.snapshot().index;
    let entries = std::iter::from_fn(move || {
        let entries = log.after(next, RECORD_BUDGET_BYTES);
        next = entries.last()?.index;
        Some(DurableChange::Entries(entries))
    });
    let changes = [snapshot, DurableChange::Vote { term, voted_for }].into_iter().chain(entries);
    let identity = identity.map(StoredRecord::Identity).into_iter();
    identity.chain(changes.map(StoredRecord::Change)).map(|stored| entry(&stored))
}
