//! Journalled transitions of at-most-once records.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::names::{HostName, OrganisationName, RequestKey, ServiceName, UpstreamName};
use crate::outcome::{NotRun, Outcome};

/// Bytes that are stored as text if they are valid UTF-8, otherwise as hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredBytes", into = "StoredBytes")]
pub(crate) struct Blob(pub(crate) Bytes);

#[derive(Serialize, Deserialize)]
enum StoredBytes {
    #[serde(rename = "text")]
    Text(String),
    #[serde(rename = "hex")]
    Hex(String),
}

impl From<Blob> for StoredBytes {
    fn from(blob: Blob) -> Self {
        match std::str::from_utf8(&blob.0) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_) => Self::Hex(hex(&blob.0)),
        }
    }
}

impl From<StoredBytes> for Blob {
    fn from(stored: StoredBytes) -> Self {
        match stored {
            StoredBytes::Text(text) => Self(text.into()),
            StoredBytes::Hex(digits) => Self(unhex(&digits).into()),
        }
    }
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
        _ = write!(text, "{byte:02x}");
        text
    })
}

fn unhex(digits: &str) -> Vec<u8> {
    let pairs = digits.as_bytes().chunks_exact(2);
    let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap_or("0"), 16);
    pairs.map(|pair| byte(pair).unwrap_or(0)).collect()
}

/// Stored form of an outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum StoredOutcome {
    Done { answer: Blob, attempt: u32, upstream_status: u16 },
    NotRun { reason: String },
    Unknown { detail: String },
}

impl From<Outcome> for StoredOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Done { answer, attempt, upstream_status } => {
                Self::Done { answer: Blob(answer), attempt, upstream_status }
            }
            Outcome::NotRun(reason) => Self::NotRun { reason: reason.to_string() },
            Outcome::Unknown { detail } => Self::Unknown { detail },
        }
    }
}

impl From<StoredOutcome> for Outcome {
    fn from(stored: StoredOutcome) -> Self {
        match stored {
            StoredOutcome::Done { answer, attempt, upstream_status } => {
                Self::Done { answer: answer.0, attempt, upstream_status }
            }
            StoredOutcome::NotRun { reason } => Self::NotRun(NotRun::from_wire(&reason)),
            StoredOutcome::Unknown { detail } => Self::Unknown { detail },
        }
    }
}

/// Identity of the request of a key; a resend must have the same one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Identity {
    pub(crate) organisation: OrganisationName,
    pub(crate) service: ServiceName,
    pub(crate) body_digest: Blob,
}

/// The host and the upstream of an attempt, recorded before it is dispatched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Intent {
    pub(crate) host: HostName,
    pub(crate) upstream: UpstreamName,
    pub(crate) upstream_address: String,
    pub(crate) incarnation: u64,
    pub(crate) begun_at_ms: u64,
    /// Epoch of the control process that allowed the attempt.
    pub(crate) epoch: u64,
    /// Identifier of the call, so that a repeated call gets the first verdict.
    pub(crate) submission: String,
}

/// An operator's permission for one re-run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SignOff {
    pub(crate) name: String,
    pub(crate) reason: String,
    pub(crate) at_ms: u64,
}

/// One transition, as written to the journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RecordEvent {
    /// An attempt may be dispatched.
    Begun { key: RequestKey, identity: Identity, attempt: u32, intent: Intent },
    /// The outcome of an attempt is known.
    Ended { key: RequestKey, attempt: u32, outcome: StoredOutcome, at_ms: u64 },
    /// A record of unknown outcome may run once more.
    SignedOff { key: RequestKey, sign_off: SignOff },
    /// Finished records that are old enough were removed.
    Pruned { at_ms: u64 },
    /// A whole record, as found in snapshots.
    Restored { key: RequestKey, record: Box<super::Record> },
}
