//! State transitions of the control process and their journal records.

use std::sync::Arc;

use crate::StepError;
use crate::journal::{Entry, Record};

use super::documents::DocumentEvent;
use super::job_log::JobLog;
use super::records::RecordEvent;

const KIND_RECORD: u8 = 1;
const KIND_DOCUMENT: u8 = 2;

/// A journalled transition.
#[derive(Debug, Clone)]
pub(super) enum Event {
    Record(RecordEvent),
    Document(DocumentEvent),
    /// Kind and payload of job records, which only the jobs module decodes.
    Jobs(u8, Arc<[u8]>),
}

impl Event {
    /// Encodes the transition as a journal entry.
    ///
    /// # Errors
    /// Returns an error if the transition cannot be encoded as JSON.
    pub(super) fn to_entry(&self) -> Result<Entry, StepError> {
        let (kind, payload) = match self {
            Self::Record(event) => (KIND_RECORD, serde_json::to_vec(event)),
            Self::Document(event) => (KIND_DOCUMENT, serde_json::to_vec(event)),
            Self::Jobs(kind, payload) => (*kind, Ok(payload.to_vec())),
        };
        let payload = payload.map_err(|fault| StepError::new("write a record", kind, fault))?;
        Ok(Entry { kind, payload })
    }

    /// Decodes a journal record.
    ///
    /// # Errors
    /// Returns an error if the kind is unknown or the payload cannot be decoded.
    pub(super) fn from_record(record: &Record) -> Result<Self, StepError> {
        let event = match record.kind {
            KIND_RECORD => serde_json::from_slice(&record.payload).map(Self::Record),
            KIND_DOCUMENT => serde_json::from_slice(&record.payload).map(Self::Document),
            kind if JobLog::is_job_kind(kind) => {
                Ok(Self::Jobs(kind, record.payload.as_slice().into()))
            }
            kind => {
                let text =
                    format!("unknown record kind {kind}; a newer version may have written it");
                return Err(StepError::new("read a record", record.index, text));
            }
        };
        event.map_err(|fault| StepError::new("read a record", record.index, fault))
    }
}
