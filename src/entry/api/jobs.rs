//! Handlers that pass job calls on to the control process of the data centre.

use serde::Deserialize;
use serde_json::value::RawValue;

use super::{EntryHost, FullRequest, FullResponse, error, json, read_body};
use crate::entry::request;
use crate::error::StepError;
use crate::names::{JobName, OrganisationName, ServiceName};
use crate::outcome::{NotRun, NotRunCause};
use crate::rpc;

/// Fields of a submitted job that an entry host reads; control reads the whole job.
#[derive(Debug, Deserialize)]
struct SubmittedJob {
    name: JobName,
    organisation: OrganisationName,
    service: ServiceName,
}

pub(super) async fn submit(host: &EntryHost, received: &FullRequest) -> FullResponse {
    let submitted: SubmittedJob = match read_body(received) {
        Ok(submitted) => submitted,
        Err(response) => return *response,
    };
    if let Err(reason) = request::find_limits(host, &submitted.service, &submitted.organisation) {
        return error(reason.cause.http_status(), &reason.to_string());
    }
    let message = rpc::SubmitJobRequest {
        name: submitted.name.to_string(),
        organisation: submitted.organisation.to_string(),
        service: submitted.service.to_string(),
        job_json: String::from_utf8_lossy(&received.body).into_owned(),
    };
    answer(host.control.submit_job(message).await, 202)
}

pub(super) async fn status(host: &EntryHost, job: &str) -> FullResponse {
    let message = rpc::JobNameRequest { name: job.to_owned() };
    answer(host.control.get_job(message).await, 200)
}

pub(super) async fn cancel(host: &EntryHost, job: &str) -> FullResponse {
    let message = rpc::JobNameRequest { name: job.to_owned() };
    answer(host.control.cancel_job(message).await, 200)
}

pub(super) async fn explain(host: &EntryHost, job: &str) -> FullResponse {
    let message = rpc::JobNameRequest { name: job.to_owned() };
    answer(host.control.explain_job(message).await, 200)
}

fn answer(reply: Result<rpc::JobReply, StepError>, success: u16) -> FullResponse {
    match reply {
        Err(fault) => error(503, &fault.to_string()),
        Ok(reply) if reply.refused => refused(&reply.reason),
        Ok(reply) if !reply.found => error(404, "no job has this name in this data centre"),
        Ok(reply) => match RawValue::from_string(reply.status_json) {
            Ok(status) => json(success, &status),
            Err(fault) => error(502, &format!("control's answer is not JSON: {fault}")),
        },
    }
}

/// Builds the response to a refused job.
///
/// A job whose constraints cannot be met is well-formed, so its status is 422 and not 400.
fn refused(reason: &str) -> FullResponse {
    let status = match NotRun::from_wire(reason).cause {
        NotRunCause::BadRequest => 422,
        cause => cause.http_status(),
    };
    error(status, reason)
}
