//! Joins the jobs with the rest of the control process: journal, registry and documents.

use std::sync::Arc;

use tonic::Status;
use tracing::warn;

use crate::StepError;
use crate::config::ServiceDocument;
use crate::names::{ServiceName, UpstreamName};
use crate::scheduler::{Announcement, Guarantees};

use super::core::Core;
use super::event::Event;
use super::jobs::{Append, Jobs, JobsHandle, JobsParts, deliver_http};
use super::registry::Upstream;

/// What happened to an upstream, for the jobs.
#[derive(Debug, Clone)]
pub(super) enum Notice {
    Announced(Upstream),
    Lost(UpstreamName),
    Leaving(UpstreamName, u64),
}

/// Starts the jobs on what the journal holds of them.
///
/// # Errors
/// Returns an error if a record of the journal cannot be read.
pub(super) fn start(core: &Arc<Core>) -> Result<JobsHandle, StepError> {
    let payloads: Vec<Arc<[u8]>> = core.lock().jobs.payloads().collect();
    let documents = Arc::clone(core);
    let parts = JobsParts {
        epoch: core.epoch,
        now_ms: core.now_ms(),
        append: append(Arc::clone(core)),
        deliver: Arc::new(deliver_http),
        find_document: Box::new(move |service| find_document(&documents, service)),
        metrics: Arc::clone(&core.metrics.jobs),
    };
    Jobs::start(payloads, parts)
}

fn append(core: Arc<Core>) -> Append {
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

/// Tells the jobs what happened to upstreams, in order.
pub(super) async fn tell(jobs: &JobsHandle, notices: Vec<Notice>) {
    for notice in notices {
        match notice {
            Notice::Announced(upstream) => tell_announced(jobs, &upstream).await,
            Notice::Lost(name) => jobs.lost(name).await,
            Notice::Leaving(name, incarnation) => jobs.leaving(name, incarnation).await,
        }
    }
}

async fn tell_announced(jobs: &JobsHandle, upstream: &Upstream) {
    let (Some(rack), Ok(address)) = (upstream.rack.clone(), upstream.address.parse()) else {
        warn!(upstream = %upstream.name, "an announcement without rack or address");
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
    jobs.announced(announcement, address).await;
}

/// Reads the guarantees of a document.
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

/// Judges the guarantees of a change that would be accepted, before it is written.
///
/// # Errors
/// Returns the guarantee that does not fit, or a status if the jobs are unavailable.
pub(super) async fn judge(
    jobs: &JobsHandle,
    body_yaml: &str,
    version: u64,
) -> Result<Result<(), String>, Status> {
    match guarantees(body_yaml, version) {
        Some(guarantees) => jobs
            .document(guarantees)
            .await
            .map_err(|reason| Status::unavailable(reason.to_string())),
        None => Ok(Ok(())),
    }
}

/// Tells the jobs of documents that are newer than `told_index`; returns the newest index.
pub(super) async fn tell_documents(core: &Core, jobs: &JobsHandle, told_index: u64) -> u64 {
    let (newest, newer) = {
        let state = core.lock();
        let newer = state.documents.newer_than(told_index);
        let newer: Vec<(String, u64)> = newer
            .into_iter()
            .map(|(_, document)| (document.body_yaml.clone(), document.version))
            .collect();
        (state.documents.durable_index(), newer)
    };
    for (body_yaml, version) in newer {
        if let Ok(Err(reason)) = judge(jobs, &body_yaml, version).await {
            warn!(version, reason, "guarantees of a document do not fit this data centre");
        }
    }
    newest
}
