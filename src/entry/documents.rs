//! Service documents in force at this host; the index of each never decreases.

use std::collections::BTreeMap;
use std::sync::{Arc, RwLock};

use tokio::time::Instant;

use crate::config::ServiceDocument;
use crate::names::ServiceName;

/// A document in force at this host.
#[derive(Debug)]
pub(crate) struct InForceDocument {
    pub(crate) document: ServiceDocument,
    /// The document as the team wrote it.
    pub(crate) body_yaml: String,
    pub(crate) version: u64,
    pub(crate) index: u64,
}

/// All documents in force at this host.
#[derive(Debug, Default)]
pub(crate) struct Documents {
    state: RwLock<State>,
}

#[derive(Debug, Default)]
struct State {
    by_service: BTreeMap<ServiceName, Arc<InForceDocument>>,
    index: u64,
    confirmed_at: Option<Instant>,
}

impl Documents {
    /// Returns the document in force for a service.
    pub(crate) fn get(&self, service: &ServiceName) -> Option<Arc<InForceDocument>> {
        let state = self.state.read().expect("no panic while documents are locked");
        state.by_service.get(service).cloned()
    }

    /// Returns the highest index seen.
    pub(crate) fn index(&self) -> u64 {
        self.state.read().expect("no panic while documents are locked").index
    }

    /// Returns the time since control last confirmed the documents, in milliseconds.
    pub(crate) fn age_ms(&self) -> Option<u64> {
        let state = self.state.read().expect("no panic while documents are locked");
        let age = state.confirmed_at?.elapsed();
        Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }

    /// Puts a document in force; returns false if one with the same or a higher index already is.
    pub(crate) fn apply(&self, in_force: InForceDocument) -> bool {
        let mut state = self.state.write().expect("no panic while documents are locked");
        let (service, index) = (in_force.document.service.clone(), in_force.index);
        if state.by_service.get(&service).is_some_and(|old| old.index >= index) {
            return false;
        }
        state.by_service.insert(service, Arc::new(in_force));
        state.index = state.index.max(index);
        true
    }

    /// Records that control has confirmed the documents up to `index`.
    pub(crate) fn mark_confirmed(&self, index: u64) {
        let mut state = self.state.write().expect("no panic while documents are locked");
        state.index = state.index.max(index);
        state.confirmed_at = Some(Instant::now());
    }
}
