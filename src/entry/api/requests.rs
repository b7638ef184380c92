//! Handlers that look up request records and sign off unknown outcomes.

use serde::{Deserialize, Serialize};

use super::{
    EntryHost, FullRequest, FullResponse, ORGANISATION_HEADER, OutcomeBody, error, json,
    outcome_body, read_body,
};
use crate::entry::peers;
use crate::names::RequestKey;
use crate::outcome::Outcome;
use crate::rpc;

#[derive(Debug, Serialize)]
struct StateBody<'a> {
    state: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    upstream: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    signed_off_by: &'a str,
    #[serde(flatten)]
    outcome: OutcomeBody,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SignOffBody {
    name: String,
    reason: String,
}

#[derive(Debug, Serialize)]
struct SignOffReplyBody {
    signed_off: bool,
}

fn read_key(data_centre: &str, id: &str) -> Result<RequestKey, Box<FullResponse>> {
    format!("{data_centre}/{id}")
        .parse()
        .map_err(|fault: crate::InvalidName| Box::new(error(400, &fault.to_string())))
}

/// Returns a request's record; only the organisation that sent the request gets its outcome.
pub(super) async fn lookup(
    host: &EntryHost,
    data_centre: &str,
    id: &str,
    received: &FullRequest,
) -> FullResponse {
    let key = match read_key(data_centre, id) {
        Ok(key) => key,
        Err(response) => return *response,
    };
    let reply = match peers::lookup(host, &key).await {
        Ok(reply) => reply,
        Err(fault) => return error(503, &fault.to_string()),
    };
    let is_sender = received.header(ORGANISATION_HEADER) == Some(reply.organisation.as_str());
    let outcome = reply.outcome.filter(|_| is_sender).map(Outcome::from);
    let body = StateBody {
        state: &reply.state,
        upstream: &reply.upstream,
        signed_off_by: &reply.signed_off_by,
        outcome: outcome_body(Some(&key), outcome.as_ref()),
    };
    json(if reply.state == "absent" { 404 } else { 200 }, &body)
}

pub(super) async fn sign_off(
    host: &EntryHost,
    data_centre: &str,
    id: &str,
    received: &FullRequest,
) -> FullResponse {
    let key = match read_key(data_centre, id) {
        Ok(key) => key,
        Err(response) => return *response,
    };
    if key.data_centre() != &host.settings.data_centre {
        let owner = key.data_centre();
        return error(421, &format!("data centre {owner} owns this key; sign off at a host there"));
    }
    let SignOffBody { name, reason } = match read_body(received) {
        Ok(body) => body,
        Err(response) => return *response,
    };
    if name.trim().is_empty() || reason.trim().is_empty() {
        return error(400, "a sign-off needs a name and a reason");
    }
    let message = rpc::SignOffRequest {
        data_centre: data_centre.to_owned(),
        id: id.to_owned(),
        name,
        reason,
    };
    match host.control.sign_off(message).await {
        Ok(reply) if reply.accepted => json(200, &SignOffReplyBody { signed_off: true }),
        Ok(reply) => error(409, &reply.refused),
        Err(fault) => error(503, &fault.to_string()),
    }
}
