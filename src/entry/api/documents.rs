//! Service documents: read, change, history.

use serde::Serialize;

use super::{EntryHost, FullResponse, Received, error, json};
use crate::rpc;

#[derive(Debug, Serialize)]
struct DocumentBody {
    service: String,
    version: u64,
    index: u64,
    document: String,
    /// Index in force at the host that answers, and the age of its knowledge.
    in_force_index: Option<u64>,
    in_force_version: Option<u64>,
    age_ms: Option<u64>,
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

pub(super) async fn get(host: &EntryHost, service: &str) -> FullResponse {
    let message = rpc::GetDocumentRequest { service: service.to_owned() };
    match host.control.get_document(message).await {
        Err(fault) => error(503, &fault.to_string()),
        Ok(rpc::GetDocumentReply { document: Some(document), .. }) => {
            json(200, &body(host, document))
        }
        Ok(_) => error(404, "no document has been put for this service"),
    }
}

fn body(host: &EntryHost, document: rpc::Document) -> DocumentBody {
    let service = document.service.parse().ok();
    let in_force = service.and_then(|service| host.documents.get(&service));
    DocumentBody {
        service: document.service,
        version: document.version,
        index: document.index,
        document: document.body_yaml,
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

pub(super) async fn put(host: &EntryHost, service: &str, received: &Received) -> FullResponse {
    let message = match read_put(service, received) {
        Ok(message) => message,
        Err(reason) => return error(400, &reason),
    };
    match host.control.put_document(message).await {
        Err(fault) => error(503, &fault.to_string()),
        Ok(reply) if reply.accepted => match reply.current {
            Some(document) => json(200, &body(host, document)),
            None => error(502, "control accepted the change without naming it"),
        },
        Ok(reply) => refused(reply),
    }
}

fn read_put(service: &str, received: &Received) -> Result<rpc::PutDocumentRequest, String> {
    let base_version = received
        .header("if-match")
        .ok_or("the header If-Match with the version you have changed is missing")?
        .trim_matches('"')
        .parse()
        .map_err(|_| "If-Match is not a version number".to_owned())?;
    let operation = received
        .header("cactuslatch-operation")
        .ok_or("the header Cactuslatch-Operation is missing; resends repeat it")?;
    let credential = received
        .header("authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or("the header Authorization with your team's bearer token is missing")?;
    let body_yaml = std::str::from_utf8(&received.body)
        .map_err(|error| format!("the document is not UTF-8: {error}"))?;
    Ok(rpc::PutDocumentRequest {
        service: service.to_owned(),
        base_version,
        operation: operation.to_owned(),
        credential: credential.to_owned(),
        body_yaml: body_yaml.to_owned(),
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
