//! RPCs on service documents, at the writer and at the replicas of other data centres.

use std::time::Duration;

use tokio::time::timeout;
use tonic::Status;
use tracing::info;

use crate::names::ServiceName;
use crate::rpc;
use crate::rpc::control_client::ControlClient;

use super::core::Core;
use super::documents::{self, PutAnswer, PutRefusal, PutRequest, is_owner};
use super::event::Event;
use super::job_feed;
use super::jobs::JobsHandle;

/// Time limit for the writer to answer a forwarded change.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(3);

pub(super) async fn put(
    core: &Core,
    jobs: &JobsHandle,
    request: rpc::PutDocumentRequest,
) -> Result<rpc::PutDocumentReply, Status> {
    let jobs = jobs.clone();
    let apply_guarantees = |body: String, version| async move {
        job_feed::apply_guarantees(&jobs, &body, version).await
    };
    put_with_guarantees(core, request, apply_guarantees).await
}

/// Changes a document if `apply_guarantees` accepts the guarantees of its next version.
pub(super) async fn put_with_guarantees<F>(
    core: &Core,
    request: rpc::PutDocumentRequest,
    apply_guarantees: impl FnOnce(String, u64) -> F,
) -> Result<rpc::PutDocumentReply, Status>
where
    F: Future<Output = Result<Result<(), String>, Status>>,
{
    if let Some(writer) = core.settings.document_writer {
        return Ok(forward(&format!("http://{writer}"), request).await);
    }
    let Ok(service) = request.service.parse::<ServiceName>() else {
        return Ok(refusal("invalid", "the service name is malformed"));
    };
    if !is_owner(&core.settings.credentials, &service, &request.credential) {
        return Ok(refusal("forbidden", "the credential does not belong to this service's team"));
    }
    let put = PutRequest {
        service,
        base_version: request.base_version,
        operation: request.operation,
        body_yaml: request.body_yaml,
    };
    let _guard = core.document_lock.lock().await;
    let mut checked = documents::check(&put, &*core.validate);
    if let Some(version) = next_version(core, &put, &checked) {
        checked = apply_guarantees(put.body_yaml.clone(), version).await?;
    }
    let decided = core.decide(|state, now_ms| match state.documents.put(&put, checked, now_ms) {
        Ok((answer, event)) => (Ok(answer), event.map(Event::Document)),
        Err(refused) => (Err(refused), None),
    });
    let answer = decided.await?;
    if let Ok(PutAnswer::Accepted { document, .. }) = &answer {
        core.lock().documents.mark_durable(document.index);
        core.notify_streams();
        info!(service = %put.service, version = document.version, "accepted a document");
    }
    Ok(put_reply(&put.service, answer))
}

/// Returns the version that a change would get; `None` if it would not be accepted now.
fn next_version(core: &Core, put: &PutRequest, checked: &Result<(), String>) -> Option<u64> {
    let decided = core.lock().documents.put(put, checked.clone(), core.now_ms());
    match decided {
        Ok((PutAnswer::Accepted { document, .. }, Some(_))) => Some(document.version),
        _ => None,
    }
}

fn put_reply(
    service: &ServiceName,
    answer: Result<PutAnswer, PutRefusal>,
) -> rpc::PutDocumentReply {
    match answer {
        Ok(PutAnswer::Accepted { document, diff }) => rpc::PutDocumentReply {
            accepted: true,
            current: Some(document.to_wire(service)),
            diff,
            ..rpc::PutDocumentReply::default()
        },
        Ok(PutAnswer::Conflict { current, diff }) => {
            let version = current.as_ref().map_or(0, |document| document.version);
            let text = format!("the document is at version {version}");
            let current = current.map(|document| document.to_wire(service));
            rpc::PutDocumentReply { current, diff, ..refusal("conflict", &text) }
        }
        Err(PutRefusal::Invalid(text)) => refusal("invalid", &text),
        Err(PutRefusal::Reused) => {
            refusal("invalid", "the operation's identifier was used for another change")
        }
    }
}

fn refusal(code: &str, reason: &str) -> rpc::PutDocumentReply {
    rpc::PutDocumentReply {
        code: code.into(),
        reason: reason.into(),
        ..rpc::PutDocumentReply::default()
    }
}

async fn forward(writer: &str, request: rpc::PutDocumentRequest) -> rpc::PutDocumentReply {
    let answer = timeout(FORWARD_TIMEOUT, async {
        let client = ControlClient::connect(writer.to_owned()).await;
        let mut client = client.map_err(|fault| Status::unavailable(fault.to_string()))?;
        client.put_document(request).await
    });
    let text = match answer.await {
        Ok(Ok(reply)) => return reply.into_inner(),
        Ok(Err(status)) => status.message().to_owned(),
        Err(elapsed) => elapsed.to_string(),
    };
    let text = format!("the writer of documents did not answer ({text}); resend the operation");
    refusal("unavailable", &text)
}

pub(super) async fn get(
    core: &Core,
    request: &rpc::GetDocumentRequest,
) -> Result<rpc::GetDocumentReply, Status> {
    let service: ServiceName =
        request.service.parse().map_err(|fault| Status::invalid_argument(format!("{fault}")))?;
    core.decide(|state, _| {
        let found = state.documents.get(&service);
        let reply = found.map(|(document, history)| rpc::GetDocumentReply {
            document: Some(document.to_wire(&service)),
            history: history.iter().map(documents::Change::to_wire).collect(),
        });
        (reply.unwrap_or_default(), None)
    })
    .await
}

/// Returns the documents and changes that a replica lacks.
pub(super) fn pull(
    core: &Core,
    request: rpc::PullDocumentsRequest,
) -> Result<rpc::PullDocumentsReply, Status> {
    if core.settings.document_writer.is_some() {
        return Err(Status::failed_precondition("this process does not write documents"));
    }
    let state = core.lock();
    let newer = state.documents.newer_than(request.index);
    let documents = newer.into_iter().map(|(service, document)| {
        let history = state.documents.get(service).map_or(&[][..], |(_, history)| history);
        let changes = history
            .iter()
            .filter(|change| change.index > request.index && change.index <= document.index);
        rpc::PulledDocument {
            document: Some(document.to_wire(service)),
            changes: changes.map(documents::Change::to_wire).collect(),
        }
    });
    Ok(rpc::PullDocumentsReply {
        epoch: core.epoch,
        index: state.documents.durable_index(),
        documents: documents.collect(),
    })
}
