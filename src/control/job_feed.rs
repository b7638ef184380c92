//! Connects the jobs task to the journal, the upstream registry and the service documents.

use std::sync::Arc;

use tonic::Status;
use tracing::warn;

use crate::StepError;
use crate::config::ServiceDocument;
use crate::names::{ServiceName, UpstreamName};
use crate::scheduler::{Announcement, Guarantees};

use super::core::Core;
use super::event::Event;
use super::jobs::{AppendFn, Jobs, JobsContext, JobsHandle, deliver_http};
use super::registry::Upstream;

/// A change of an upstream that is forwarded to the jobs task.
#[derive(Debug, Clone)]
pub(super) struct UpstreamChange {
    pub(super) kind: UpstreamChangeKind,
    /// Revision of the registry with the change. Changes are forwarded by several tasks and may
    /// overtake each other.
    pub(super) revision: u64,
}

#[derive(Debug, Clone)]
pub(super) enum UpstreamChangeKind {
    Announced(Upstream),
    Lost(UpstreamName),
    Leaving(UpstreamName, u64),
}

/// Starts the jobs task from the job records in the journal.
///
/// # Errors
/// Returns an error if a journal record cannot be decoded.
pub(super) fn start(core: &Arc<Core>) -> Result<JobsHandle, StepError> {
    let payloads: Vec<Arc<[u8]>> = core.lock().jobs.payloads().collect();
    let core_for_documents = Arc::clone(core);
    let context = JobsContext {
        epoch: core.epoch,
        now_ms: core.now_ms(),
        append: append(Arc::clone(core)),
        deliver: Arc::new(deliver_http),
        find_document: Box::new(move |service| find_document(&core_for_documents, service)),
        metrics: Arc::clone(&core.metrics.jobs),
    };
    Jobs::start(payloads, context)
}

fn append(core: Arc<Core>) -> AppendFn {
    Box::new(move |kind, payload| {
        let core = Arc::clone(&core);
        Box::pin(async move {
            let event = Event::Jobs(kind, payload.into());
            let written = core.decide(|_, _| ((), Some(event))).await;
            written.map_err(|status| StepError::new("write job records", "journal", status))?;
            Ok(core.journal.last_index())
        })
    })
}

fn find_document(core: &Core, service: &ServiceName) -> Option<ServiceDocument> {
    let body = core.lock().documents.get(service)?.0.body_yaml.clone();
    ServiceDocument::parse(&body).ok()
}

/// Forwards changes of upstreams to the jobs task.
pub(super) async fn forward(jobs: &JobsHandle, changes: Vec<UpstreamChange>) {
    for UpstreamChange { kind, revision } in changes {
        match kind {
            UpstreamChangeKind::Announced(upstream) => {
                forward_announcement(jobs, &upstream, revision).await;
            }
            UpstreamChangeKind::Lost(name) => jobs.upstream_lost(name, revision).await,
            UpstreamChangeKind::Leaving(name, incarnation) => {
                jobs.upstream_leaving(name, incarnation, revision).await;
            }
        }
    }
}

async fn forward_announcement(jobs: &JobsHandle, upstream: &Upstream, revision: u64) {
    let (Some(rack), Ok(address)) = (upstream.rack.clone(), upstream.address.parse()) else {
        warn!(upstream = %upstream.name, "ignored an announcement without rack or address");
        return;
    };
    let announcement = Announcement {
        name: upstream.name.clone(),
        incarnation: upstream.incarnation,
        rack,
        position: upstream.rack_position,
        accelerators: upstream.accelerators,
        leaving: false,
    };
    jobs.upstream_announced(announcement, address, revision).await;
}

/// Returns the guarantees in a document; `None` if it cannot be parsed.
pub(super) fn guarantees(body_yaml: &str, version: u64) -> Option<Guarantees> {
    let document = ServiceDocument::parse(body_yaml).ok()?;
    let organisations = document.organisations.into_iter();
    Some(Guarantees {
        service: document.service,
        version,
        organisations: organisations
            .map(|organisation| (organisation.name, organisation.guaranteed_blocks))
            .collect(),
    })
}

/// Applies the guarantees of a document that would be accepted, before it is written.
///
/// # Errors
/// Returns the guarantee that does not fit, or a status if the jobs task is unavailable.
pub(super) async fn apply_guarantees(
    jobs: &JobsHandle,
    body_yaml: &str,
    version: u64,
) -> Result<Result<(), String>, Status> {
    match guarantees(body_yaml, version) {
        Some(guarantees) => jobs
            .apply_guarantees(guarantees)
            .await
            .map_err(|reason| Status::unavailable(reason.to_string())),
        None => Ok(Ok(())),
    }
}

/// Applies the guarantees of documents newer than `applied_index`; returns the newest index.
pub(super) async fn apply_new_documents(core: &Core, jobs: &JobsHandle, applied_index: u64) -> u64 {
    let (newest, newer) = {
        let state = core.lock();
        let newer = state.documents.newer_than(applied_index);
        let newer: Vec<(String, u64)> = newer
            .into_iter()
            .map(|(_, document)| (document.body_yaml.clone(), document.version))
            .collect();
        (state.documents.durable_index(), newer)
    };
    for (body_yaml, version) in newer {
        if let Ok(Err(reason)) = apply_guarantees(jobs, &body_yaml, version).await {
            warn!(version, reason, "guarantees of a document do not fit this data centre");
        }
    }
    newest
}
