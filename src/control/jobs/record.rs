//! Journal payloads of jobs.

use serde::{Deserialize, Serialize};

use super::submission::Submission;
use crate::error::StepError;
use crate::scheduler::JobRecord;

/// Kind of the journal records that this module writes.
pub(crate) const JOBS_RECORD_KIND: u8 = 16;

/// Kind of a checkpoint, which replaces all records before it.
pub(crate) const JOBS_CHECKPOINT_KIND: u8 = 17;

/// A record of the core, with the submission if it is the record of an acceptance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct StoredRecord {
    pub(super) record: JobRecord,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) submission: Option<Submission>,
    /// Whether the accepted job was refused at once, because it may not wait.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(super) refused: bool,
}

impl StoredRecord {
    /// Returns a record without a submission.
    pub(super) const fn without_submission(record: JobRecord) -> Self {
        Self { record, submission: None, refused: false }
    }
}

/// Encodes records as one payload, so that they become durable together and keep their order.
pub(super) fn encode(records: &[StoredRecord]) -> Result<Vec<u8>, StepError> {
    serde_json::to_vec(records).map_err(|error| StepError::new("write job records", "jobs", error))
}

/// Decodes the records of all payloads in order.
pub(super) fn decode_all(
    payloads: impl IntoIterator<Item = impl AsRef<[u8]>>,
) -> Result<Vec<StoredRecord>, StepError> {
    let mut records = Vec::new();
    for (index, payload) in payloads.into_iter().enumerate() {
        let batch: Vec<StoredRecord> =
            serde_json::from_slice(payload.as_ref()).map_err(|error| {
                StepError::new("read job records", format!("payload {index}"), error)
            })?;
        records.extend(batch);
    }
    Ok(records)
}
