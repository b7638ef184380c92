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
    journal::Entry { kind: RECORD_KIND, payload: codec::encode(stored).to_vec() }
}

/// Rebuilds the state from the records of the journal.
///
/// # Errors
/// Returns an error if a record cannot be decoded.
pub(crate) fn recover(records: &[journal::Record]) -> Result<Recovered, StepError> {
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

/// Builds the smallest set of records with the same state.
///
/// # Errors
/// Returns an error if a record cannot be decoded.
pub(crate) fn compact(records: &[journal::Record]) -> Result<Vec<journal::Entry>, StepError> {
    let Recovered { identity, durable } = recover(records)?;
    let snapshot = durable.log.snapshot().clone();
    let rest = durable.log.after(snapshot.index, usize::MAX);
    let vote = DurableChange::Vote { term: durable.term, voted_for: durable.voted_for };
    let mut kept = Vec::new();
    kept.extend(identity.map(StoredRecord::Identity));
    kept.push(StoredRecord::Change(DurableChange::Snapshot(snapshot)));
    kept.push(StoredRecord::Change(vote));
    if !rest.is_empty() {
        kept.push(StoredRecord::Change(DurableChange::Entries(rest)));
    }
    Ok(kept.iter().map(entry).collect())
}
