//! What a host of the quorum keeps in its journal.

use serde::{Deserialize, Serialize};

use super::core::{Durable, Persist};
use super::log::{Log, Snapshot};
use super::membership::MemberId;
use super::message::Entry;
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
    Vote {
        term: u64,
        voted_for: Option<MemberId>,
    },
    Entries(Vec<Entry>),
    Snapshot(Snapshot),
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
    let stored = match persist {
        Persist::Vote { term, voted_for } => Stored::Vote { term: *term, voted_for: *voted_for },
        Persist::Entries(entries) => Stored::Entries(entries.clone()),
        Persist::Snapshot(snapshot) => Stored::Snapshot(snapshot.clone()),
    };
    entry(&stored)
}

/// Encodes the identity of a new disk and the log it begins with.
pub(crate) fn founding_records(identity: MemberId, snapshot: &Snapshot) -> Vec<journal::Entry> {
    vec![entry(&Stored::Identity(identity)), entry(&Stored::Snapshot(snapshot.clone()))]
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
        apply(&mut found, stored);
    }
    Ok(found)
}

fn apply(found: &mut Recovered, stored: Stored) {
    let durable = &mut found.durable;
    match stored {
        Stored::Identity(identity) => found.identity = Some(identity),
        Stored::Vote { term, voted_for } => {
            durable.term = term;
            durable.voted_for = voted_for;
        }
        Stored::Entries(entries) => append(&mut durable.log, entries),
        Stored::Snapshot(snapshot) => durable.log.install(snapshot),
    }
}

fn append(log: &mut Log, entries: Vec<Entry>) {
    for entry in entries {
        if entry.index < log.first_index() {
            continue;
        }
        if entry.index <= log.last_index() {
            log.truncate_from(entry.index);
        }
        log.append(entry);
    }
}

/// Builds the fewest records that hold the same state.
///
/// # Errors
/// Returns an error if a record cannot be decoded.
pub(crate) fn compact(records: &[journal::Record]) -> Result<Vec<journal::Entry>, StepError> {
    let Recovered { identity, durable } = recover(records)?;
    let mut kept = Vec::new();
    kept.extend(identity.map(|identity| entry(&Stored::Identity(identity))));
    kept.push(entry(&Stored::Snapshot(durable.log.snapshot().clone())));
    kept.push(entry(&Stored::Vote { term: durable.term, voted_for: durable.voted_for }));
    let rest = durable.log.after(durable.log.snapshot().index, usize::MAX);
    if !rest.is_empty() {
        kept.push(entry(&Stored::Entries(rest)));
    }
    Ok(kept)
}
