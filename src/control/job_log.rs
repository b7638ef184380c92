//! Journalled job records since the last checkpoint.

use std::sync::Arc;

use super::event::Event;
use super::jobs::{JOBS_CHECKPOINT_KIND, JOBS_RECORD_KIND};

/// Kind and payload of a record.
type RawRecord = (u8, Arc<[u8]>);

/// Records from which the jobs task recovers its state.
#[derive(Debug, Clone, Default)]
pub(super) struct JobLog {
    records: Vec<RawRecord>,
}

impl JobLog {
    /// Adds a record; a checkpoint replaces all earlier ones.
    pub(super) fn apply(&mut self, kind: u8, payload: Arc<[u8]>) {
        if kind == JOBS_CHECKPOINT_KIND {
            self.records.clear();
        }
        self.records.push((kind, payload));
    }

    /// Returns whether job records have this kind.
    pub(super) const fn is_job_kind(kind: u8) -> bool {
        matches!(kind, JOBS_RECORD_KIND | JOBS_CHECKPOINT_KIND)
    }

    pub(super) fn payloads(&self) -> impl Iterator<Item = Arc<[u8]>> {
        self.records.iter().map(|(_, payload)| Arc::clone(payload))
    }

    /// Returns the transitions to store in a snapshot of the journal.
    pub(super) fn events(&self) -> impl Iterator<Item = Event> {
        self.records.iter().map(|(kind, payload)| Event::Jobs(*kind, Arc::clone(payload)))
    }
}
