//! What a host of the quorum keeps in its journal.

use serde::{Deserialize, Serialize};

use super::core::{Durable, Persist};
use super::log::Snapshot;
use super::membership::MemberId;
use crate::StepError;
use crate::cluster::codec;
use crate::journal;

/// Kind of all records; their content says more.
const RECORD_KIND: u8 = 1;

/// One record of the journal.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum Stored {
    /// Identity of this disk.
    Identity(MemberId),
    Change(Persist),
}

/// Everything that the journal holds.
#[derive(Debug, Default)]
pub(crate) struct Recovered {
    /// Absent on an empty disk.
    pub(crate) identity: Option<MemberId>,
    pub(crate) durable: Durable,
}

/// Encodes a change for the journal.
pub(crate) fn record(persist: &Persist) -> journal::Entry {
    entry(&Stored::Change(persist.clone()))
}

/// Encodes the identity of a new disk and the log it begins with.
pub(crate) fn founding_records(identity: MemberId, snapshot: &Snapshot) -> Vec<journal::Entry> {
    let log = Stored::Change(Persist::Snapshot(snapshot.clone()));
    vec![entry(&Stored::Identity(identity)), entry(&log)]
}

fn entry(stored: &Stored) -> journal::Entry {
    journal::Entry { kind: RECORD_KIND, payload: codec::encode(stored).to_vec() }
}

/// Rebuilds the state from the records of the journal.
///
/// # Errors
/// Returns an error if a record cannot be decoded.
pub(crate) fn recover(records: &[journal::Record]) -> Result<Recovered, StepError> {
    let mut found = Recovered::default();
    for record in records {
        let stored = codec::decode(&record.payload)
            .map_err(|fault| StepError::new("decode a record of the log", record.index, fault))?;
        match stored {
            Stored::Identity(identity) => found.identity = Some(identity),
            Stored::Change(persist) => found.durable.apply(persist),
        }
    }
    Ok(found)
}

/// Builds the fewest records that hold the same state.
///
/// # Errors
/// Returns an error if a record cannot be decoded.
pub(crate) fn compact(records: &[journal::Record]) -> Result<Vec<journal::Entry>, StepError> {
    let Recovered { identity, durable } = recover(records)?;
    let snapshot = durable.log.snapshot().clone();
    let rest = durable.log.after(snapshot.index, usize::MAX);
    let vote = Persist::Vote { term: durable.term, voted_for: durable.voted_for };
    let mut kept = Vec::new();
    kept.extend(identity.map(Stored::Identity));
    kept.push(Stored::Change(Persist::Snapshot(snapshot)));
    kept.push(Stored::Change(vote));
    if !rest.is_empty() {
        kept.push(Stored::Change(Persist::Entries(rest)));
    }
    Ok(kept.iter().map(entry).collect())
}
