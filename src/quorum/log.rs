//! The log in memory: the newest snapshot and the entries after it.

use std::collections::VecDeque;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::membership::Membership;
use super::message::{Entry, Payload};

/// State of the state machine that replaces all entries up to an index.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    pub(crate) index: u64,
    pub(crate) term: u64,
    /// Membership in force at the index.
    pub(crate) membership: Membership,
    /// Encoded state machine; empty before the first entry.
    pub(crate) state: Bytes,
}

/// Entries after a snapshot.
#[derive(Debug, Clone, Default)]
pub(crate) struct Log {
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
    /// Memberships among the entries with their indexes, oldest first.
    memberships: Vec<(u64, Membership)>,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot) -> Self {
        Self { snapshot, entries: VecDeque::new(), memberships: Vec::new() }
    }

    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub(crate) fn first_index(&self) -> u64 {
        self.snapshot.index + 1
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Returns the term of an entry, or `None` if the index is outside of the log.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.first_index())?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns entries after `index` of at most `budget_bytes`, but at least one if there is any.
    pub(crate) fn after(&self, index: u64, budget_bytes: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut size_bytes = 0;
        let mut next = index + 1;
        while let Some(entry) = self.get(next) {
            size_bytes += size_of_payload(&entry.payload);
            if !entries.is_empty() && size_bytes > budget_bytes {
                break;
            }
            entries.push(entry.clone());
            next += 1;
        }
        entries
    }

    /// Returns the newest membership, committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        self.memberships.last().map_or(&self.snapshot.membership, |(_, membership)| membership)
    }

    /// Returns the index of the newest membership.
    pub(crate) fn membership_index(&self) -> u64 {
        self.memberships.last().map_or(self.snapshot.index, |(index, _)| *index)
    }

    /// Returns the membership in force at an index.
    pub(crate) fn membership_at(&self, index: u64) -> &Membership {
        let newest = self.memberships.iter().rev().find(|(at, _)| *at <= index);
        newest.map_or(&self.snapshot.membership, |(_, membership)| membership)
    }

    pub(crate) fn append(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index() + 1, "entries must be consecutive");
        assert!(entry.term >= self.last_term(), "terms never fall along the log");
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        assert!(index > self.snapshot.index, "a snapshot holds only committed entries");
        let keep = index - self.first_index();
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.memberships.retain(|(at, _)| *at < index);
    }

    /// Replaces the entries up to the snapshot's index.
    ///
    /// Drops the later entries too if the log contradicts the snapshot.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let matches = self.term_at(snapshot.index) == Some(snapshot.term);
        if matches {
            while self.entries.front().is_some_and(|entry| entry.index <= snapshot.index) {
                self.entries.pop_front();
            }
        } else {
            self.entries.clear();
        }
        let index = snapshot.index;
        self.memberships.retain(|(at, _)| matches && *at > index);
        self.snapshot = snapshot;
    }
}

/// Estimated encoded size of an entry without its payload.
const ENTRY_OVERHEAD_BYTES: usize = 32;

fn size_of_payload(payload: &Payload) -> usize {
    match payload {
        Payload::Command(bytes) => bytes.len() + ENTRY_OVERHEAD_BYTES,
        Payload::Empty | Payload::Membership(_) => ENTRY_OVERHEAD_BYTES,
    }
}
