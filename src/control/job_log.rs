//! Job records as the journal holds them, since the last checkpoint.

use std::sync::Arc;

use super::event::Event;
use super::jobs::{JOBS_CHECKPOINT_KIND, JOBS_RECORD_KIND};

/// One payload with its kind.
type Payload = (u8, Arc<[u8]>);

/// Payloads from which the jobs are rebuilt.
#[derive(Debug, Clone, Default)]
pub(super) struct JobLog {
    payloads: Vec<Payload>,
}

impl JobLog {
    /// Adds a payload; a checkpoint replaces everything before it.
    pub(super) fn apply(&mut self, kind: u8, payload: Arc<[u8]>) {
        if kind == JOBS_CHECKPOINT_KIND {
            self.payloads.clear();
        }
        self.payloads.push((kind, payload));
    }

    /// Tells whether records of this kind belong here.
    pub(super) const fn holds(kind: u8) -> bool {
        matches!(kind, JOBS_RECORD_KIND | JOBS_CHECKPOINT_KIND)
    }

    pub(super) fn payloads(&self) -> impl Iterator<Item = Arc<[u8]>> {
        self.payloads.iter().map(|(_, payload)| Arc::clone(payload))
    }

    /// Returns the transitions for a snapshot of the whole journal.
    pub(super) fn events(&self) -> impl Iterator<Item = Event> {
        self.payloads.iter().map(|(kind, payload)| Event::Jobs(*kind, Arc::clone(payload)))
    }
}
