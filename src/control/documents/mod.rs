//! Service documents with compare-and-set on the version.

mod diff;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::config::{ServiceDocument, TeamCredential};
use crate::names::ServiceName;
use crate::rpc;

pub(crate) use diff::line_diff;

/// Largest document body, in bytes.
const BODY_LIMIT_BYTES: usize = 256 * 1024;

/// Longest operation identifier, in bytes.
const OPERATION_LIMIT_BYTES: usize = 128;

/// Refused operations remembered for each service; resends come soon after the first answer.
const MAX_REFUSED_OPERATIONS: usize = 64;

/// Parses and validates the body of a document.
pub(crate) type Validate = dyn Fn(&str) -> Result<ServiceDocument, String> + Send + Sync;

/// A requested change of a document.
#[derive(Debug, Clone)]
pub(crate) struct PutRequest {
    pub(crate) service: ServiceName,
    pub(crate) base_version: u64,
    pub(crate) operation: String,
    pub(crate) body_yaml: String,
}

/// The current version of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Document {
    pub(crate) version: u64,
    pub(crate) index: u64,
    pub(crate) body_yaml: String,
}

impl Document {
    pub(crate) fn to_wire(&self, service: &ServiceName) -> rpc::Document {
        rpc::Document {
            service: service.to_string(),
            version: self.version,
            index: self.index,
            body_yaml: self.body_yaml.clone(),
        }
    }
}

/// One accepted change, as kept in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Change {
    pub(crate) version: u64,
    pub(crate) index: u64,
    pub(crate) operation: String,
    pub(crate) diff: String,
    pub(crate) accepted_at_ms: u64,
}

impl Change {
    pub(crate) fn to_wire(&self) -> rpc::DocumentChange {
        rpc::DocumentChange {
            version: self.version,
            index: self.index,
            operation: self.operation.clone(),
            diff: self.diff.clone(),
            accepted_at_ms: self.accepted_at_ms,
        }
    }

    pub(crate) fn from_wire(wire: rpc::DocumentChange) -> Self {
        Self {
            version: wire.version,
            index: wire.index,
            operation: wire.operation,
            diff: wire.diff,
            accepted_at_ms: wire.accepted_at_ms,
        }
    }
}

/// Fingerprint of an operation, to detect another change under the same identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Fingerprint {
    base_version: u64,
    body_crc32: u32,
    body_bytes: usize,
}

impl Fingerprint {
    fn of(put: &PutRequest) -> Self {
        Self {
            base_version: put.base_version,
            body_crc32: crc32fast::hash(put.body_yaml.as_bytes()),
            body_bytes: put.body_yaml.len(),
        }
    }
}

/// Answer to a change, kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PutAnswer {
    Accepted { document: Document, diff: String },
    Conflict { current: Option<Document>, diff: String },
}

/// Why a change is refused without being journalled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PutRefusal {
    Invalid(String),
    /// The operation identifier was used for another change.
    Reused,
}

/// Journalled transitions of documents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum DocumentEvent {
    /// An operation was answered; an accepted one changes the document.
    Answered {
        service: ServiceName,
        operation: String,
        fingerprint: Fingerprint,
        answer: PutAnswer,
        at_ms: u64,
    },
    /// A document came from the writer, or from a snapshot.
    Copied { service: ServiceName, document: Document, changes: Vec<Change> },
}

#[derive(Debug, Clone)]
struct Entry {
    document: Document,
    history: Vec<Change>,
}

/// All service documents.
#[derive(Debug, Clone, Default)]
pub(crate) struct Documents {
    entries: BTreeMap<ServiceName, Entry>,
    operations: HashMap<(ServiceName, String), (Fingerprint, PutAnswer)>,
    refused: HashMap<ServiceName, VecDeque<String>>,
    index: u64,
    /// Newest durable index; later changes are not yet sent to entry hosts.
    durable_index: u64,
    stale_dropped: u64,
}

impl Documents {
    /// Decides on a change whose content has been validated by [`check`].
    ///
    /// # Errors
    /// Returns why the change is refused without being journalled.
    pub(crate) fn put(
        &self,
        put: &PutRequest,
        checked: Result<(), String>,
        now_ms: u64,
    ) -> Result<(PutAnswer, Option<DocumentEvent>), PutRefusal> {
        let fingerprint = Fingerprint::of(put);
        let operation = (put.service.clone(), put.operation.clone());
        if let Some((first, answer)) = self.operations.get(&operation) {
            let same = *first == fingerprint;
            return if same {
                Ok((self.complete_answer(put, answer), None))
            } else {
                Err(PutRefusal::Reused)
            };
        }
        checked.map_err(PutRefusal::Invalid)?;
        let answer = self.answer(put);
        let event = DocumentEvent::Answered {
            service: put.service.clone(),
            operation: put.operation.clone(),
            fingerprint,
            answer: answer.clone(),
            at_ms: now_ms,
        };
        Ok((answer, Some(event)))
    }

    /// Restores the body and the diff that a remembered answer leaves out.
    fn complete_answer(&self, put: &PutRequest, answer: &PutAnswer) -> PutAnswer {
        let PutAnswer::Accepted { document, .. } = answer else { return answer.clone() };
        let history = self.entries.get(&put.service).map_or(&[][..], |entry| &entry.history);
        let change = history.iter().find(|change| change.version == document.version);
        let diff = change.map_or_else(String::new, |change| change.diff.clone());
        let body_yaml = put.body_yaml.clone();
        PutAnswer::Accepted { document: Document { body_yaml, ..document.clone() }, diff }
    }

    fn answer(&self, put: &PutRequest) -> PutAnswer {
        let current = self.entries.get(&put.service).map(|entry| &entry.document);
        let version = current.map_or(0, |document| document.version);
        let body = current.map_or("", |document| document.body_yaml.as_str());
        let diff = line_diff(body, &put.body_yaml);
        if put.base_version != version {
            return PutAnswer::Conflict { current: current.cloned(), diff };
        }
        let document = Document {
            version: version + 1,
            index: self.index + 1,
            body_yaml: put.body_yaml.clone(),
        };
        PutAnswer::Accepted { document, diff }
    }

    /// Returns the transition for a document from the writer, if it is newer than the local copy.
    pub(crate) fn replicate(
        &mut self,
        service: ServiceName,
        document: Document,
        changes: Vec<Change>,
    ) -> Option<DocumentEvent> {
        let local_index = self.entries.get(&service).map_or(0, |entry| entry.document.index);
        if document.index <= local_index {
            self.stale_dropped += 1;
            return None;
        }
        Some(DocumentEvent::Copied { service, document, changes })
    }

    /// Counts a stale reply of the writer.
    pub(crate) const fn count_stale(&mut self) {
        self.stale_dropped += 1;
    }

    /// Applies a transition; at start, the records of the journal are replayed through it.
    pub(crate) fn apply(&mut self, event: DocumentEvent) {
        match event {
            DocumentEvent::Answered { service, operation, fingerprint, answer, at_ms } => {
                self.apply_answer(&service, &operation, &answer, at_ms);
                let kept = without_content(answer);
                self.operations.insert((service, operation), (fingerprint, kept));
            }
            DocumentEvent::Copied { service, document, changes } => {
                let history = self.entries.remove(&service).map_or_else(Vec::new, |e| e.history);
                let known = history.last().map_or(0, |change| change.index);
                let newer = changes.into_iter().filter(|change| change.index > known);
                let history = history.into_iter().chain(newer).collect();
                self.raise_index(document.index);
                self.entries.insert(service, Entry { document, history });
            }
        }
    }

    fn apply_answer(
        &mut self,
        service: &ServiceName,
        operation: &str,
        answer: &PutAnswer,
        at_ms: u64,
    ) {
        let PutAnswer::Accepted { document, diff } = answer else {
            return self.remember_refused(service, operation);
        };
        let current_version = self.entries.get(service).map_or(0, |entry| entry.document.version);
        // A snapshot has both the newest document and the answers that led to it.
        if document.version <= current_version {
            return;
        }
        self.raise_index(document.index);
        let change = Change {
            version: document.version,
            index: document.index,
            operation: operation.to_owned(),
            diff: diff.clone(),
            accepted_at_ms: at_ms,
        };
        let mut history = self.entries.remove(service).map_or_else(Vec::new, |e| e.history);
        history.push(change);
        self.entries.insert(service.clone(), Entry { document: document.clone(), history });
    }

    fn remember_refused(&mut self, service: &ServiceName, operation: &str) {
        let refused = self.refused.entry(service.clone()).or_default();
        refused.push_back(operation.to_owned());
        if refused.len() > MAX_REFUSED_OPERATIONS
            && let Some(oldest) = refused.pop_front()
        {
            self.operations.remove(&(service.clone(), oldest));
        }
    }

    fn raise_index(&mut self, index: u64) {
        self.index = self.index.max(index);
    }

    /// Marks all changes up to an index as durable.
    pub(crate) fn mark_durable(&mut self, index: u64) {
        self.durable_index = self.durable_index.max(index);
    }

    pub(crate) const fn index(&self) -> u64 {
        self.index
    }

    pub(crate) const fn durable_index(&self) -> u64 {
        self.durable_index
    }

    pub(crate) const fn stale_dropped(&self) -> u64 {
        self.stale_dropped
    }

    /// Returns durable documents newer than an index, oldest first.
    pub(crate) fn newer_than(&self, index: u64) -> Vec<(&ServiceName, &Document)> {
        let documents = self.entries.iter().map(|(service, entry)| (service, &entry.document));
        let wanted = index + 1..=self.durable_index;
        let mut newer: Vec<_> = documents.filter(|(_, doc)| wanted.contains(&doc.index)).collect();
        newer.sort_by_key(|(_, document)| document.index);
        newer
    }

    /// Returns a document and its accepted changes.
    pub(crate) fn get(&self, service: &ServiceName) -> Option<(&Document, &[Change])> {
        self.entries.get(service).map(|entry| (&entry.document, entry.history.as_slice()))
    }

    /// Returns transitions that build this state from an empty one.
    pub(crate) fn restore_events(&self) -> impl Iterator<Item = DocumentEvent> {
        let copies = self.entries.iter().map(|(service, entry)| DocumentEvent::Copied {
            service: service.clone(),
            document: entry.document.clone(),
            changes: entry.history.clone(),
        });
        let accepted = self
            .operations
            .iter()
            .filter(|(_, (_, answer))| matches!(answer, PutAnswer::Accepted { .. }));
        let accepted =
            accepted.map(|((service, operation), kept)| answered_event(service, operation, kept));
        let refused = self.refused.iter().flat_map(|(service, operations)| {
            operations.iter().filter_map(|operation| {
                let kept = self.operations.get(&(service.clone(), operation.clone()))?;
                Some(answered_event(service, operation, kept))
            })
        });
        copies.chain(accepted).chain(refused)
    }
}

/// Drops the body and the diff, which a resend and the history contain.
fn without_content(answer: PutAnswer) -> PutAnswer {
    match answer {
        PutAnswer::Accepted { document, .. } => {
            let document = Document { body_yaml: String::new(), ..document };
            PutAnswer::Accepted { document, diff: String::new() }
        }
        conflict @ PutAnswer::Conflict { .. } => conflict,
    }
}

fn answered_event(
    service: &ServiceName,
    operation: &str,
    kept: &(Fingerprint, PutAnswer),
) -> DocumentEvent {
    DocumentEvent::Answered {
        service: service.clone(),
        operation: operation.to_owned(),
        fingerprint: kept.0,
        answer: kept.1.clone(),
        at_ms: 0,
    }
}

/// Returns whether a credential belongs to the team that owns the service.
pub(crate) fn is_owner(
    credentials: &[TeamCredential],
    service: &ServiceName,
    secret: &str,
) -> bool {
    let own = credentials.iter().filter(|credential| credential.service == *service);
    own.fold(false, |found, credential| found | same_secret(&credential.secret, secret))
}

/// Compares without stopping at the first difference, so that timing does not reveal the secret.
fn same_secret(expected: &str, given: &str) -> bool {
    let differing = expected.bytes().zip(given.bytes()).fold(0, |all, (a, b)| all | (a ^ b));
    !expected.is_empty() && expected.len() == given.len() && differing == 0
}

/// Validates the content of a change, which takes too long to do under a lock.
///
/// # Errors
/// Returns the message for the team if the content is refused.
pub(crate) fn check(put: &PutRequest, validate: &Validate) -> Result<(), String> {
    if put.operation.is_empty() || put.operation.len() > OPERATION_LIMIT_BYTES {
        return Err(format!("the operation needs 1 to {OPERATION_LIMIT_BYTES} bytes"));
    }
    if put.body_yaml.len() > BODY_LIMIT_BYTES {
        return Err(format!("the document is larger than {BODY_LIMIT_BYTES} bytes"));
    }
    let document = validate(&put.body_yaml)?;
    if document.service != put.service {
        return Err(format!("the document belongs to service {}", document.service));
    }
    Ok(())
}
