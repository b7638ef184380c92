//! Handlers that read and change service documents and list their history.

use serde::{Deserialize, Serialize};

use super::{EntryHost, FullRequest, FullResponse, error, json};
use crate::rpc;

#[derive(Debug, Serialize)]
struct DocumentBody {
    service: String,
    version: u64,
    index: u64,
    body_yaml: String,
    /// False if control was not reachable and this is the copy in force at the host.
    confirmed: bool,
    /// Index of the document in force at the host that answers.
    in_force_index: Option<u64>,
    in_force_version: Option<u64>,
    /// Time since control last confirmed the documents of that host.
    age_ms: Option<u64>,
}

/// Body of a change: the version it builds on, an identifier that resends repeat, and the document.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PutBody {
    base_version: u64,
    operation: String,
    body_yaml: String,
}

#[derive(Debug, Serialize)]
struct ChangeBody {
    version: u64,
    index: u64,
    operation: String,
    diff: String,
    accepted_at_ms: u64,
}

#[derive(Debug, Serialize)]
struct RefusedBody {
    error: String,
    code: String,
    current_version: Option<u64>,
    diff: String,
}

/// Returns control's document, or the one in force at this host if control is not reachable.
pub(super) async fn get(host: &EntryHost, service: &str) -> FullResponse {
    let message = rpc::GetDocumentRequest { service: service.to_owned() };
    match host.control.get_document(message).await {
        Ok(rpc::GetDocumentReply { document: Some(document), .. }) => {
            json(200, &body(host, document, true))
        }
        Ok(_) => error(404, "no document has been put for this service"),
        Err(fault) => match in_force(host, service) {
            Some(document) => json(200, &body(host, document, false)),
            None => error(503, &fault.to_string()),
        },
    }
}

fn in_force(host: &EntryHost, service: &str) -> Option<rpc::Document> {
    let in_force = host.documents.get(&service.parse().ok()?)?;
    Some(rpc::Document {
        service: service.to_owned(),
        version: in_force.version,
        index: in_force.index,
        body_yaml: in_force.body_yaml.clone(),
    })
}

fn body(host: &EntryHost, document: rpc::Document, confirmed: bool) -> DocumentBody {
    let service = document.service.parse().ok();
    let in_force = service.and_then(|service| host.documents.get(&service));
    DocumentBody {
        service: document.service,
        version: document.version,
        index: document.index,
        body_yaml: document.body_yaml,
        confirmed,
        in_force_index: in_force.as_ref().map(|in_force| in_force.index),
        in_force_version: in_force.as_ref().map(|in_force| in_force.version),
        age_ms: host.documents.age_ms(),
    }
}

pub(super) async fn history(host: &EntryHost, service: &str) -> FullResponse {
    let message = rpc::GetDocumentRequest { service: service.to_owned() };
    match host.control.get_document(message).await {
        Err(fault) => error(503, &fault.to_string()),
        Ok(reply) => {
            let changes: Vec<ChangeBody> = reply.history.into_iter().map(change).collect();
            json(200, &changes)
        }
    }
}

fn change(change: rpc::DocumentChange) -> ChangeBody {
    ChangeBody {
        version: change.version,
        index: change.index,
        operation: change.operation,
        diff: change.diff,
        accepted_at_ms: change.accepted_at_ms,
    }
}

pub(super) async fn put(host: &EntryHost, service: &str, received: &FullRequest) -> FullResponse {
    let message = match read_put(service, received) {
        Ok(message) => message,
        Err(reason) => return error(400, &reason),
    };
    match host.control.put_document(message).await {
        Err(fault) => error(503, &fault.to_string()),
        Ok(reply) if reply.accepted => match reply.current {
            Some(document) => json(200, &body(host, document, true)),
            None => error(502, "control accepted the change but returned no document"),
        },
        Ok(reply) => refused(reply),
    }
}

fn read_put(service: &str, received: &FullRequest) -> Result<rpc::PutDocumentRequest, String> {
    let credential = received
        .header("authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or("the header Authorization with your team's bearer token is missing")?;
    let body: PutBody = serde_json::from_slice(&received.body)
        .map_err(|fault| format!("the body is not valid: {fault}"))?;
    Ok(rpc::PutDocumentRequest {
        service: service.to_owned(),
        base_version: body.base_version,
        operation: body.operation,
        credential: credential.to_owned(),
        body_yaml: body.body_yaml,
    })
}

fn refused(reply: rpc::PutDocumentReply) -> FullResponse {
    let status = match reply.code.as_str() {
        "invalid" => 422,
        "conflict" => 409,
        "forbidden" => 403,
        _ => 503,
    };
    let body = RefusedBody {
        error: reply.reason,
        code: reply.code,
        current_version: reply.current.map(|document| document.version),
        diff: reply.diff,
    };
    json(status, &body)
}
