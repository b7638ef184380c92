//! The RPCs of jobs: `SubmitJob`, `GetJob`, `CancelJob` and `ExplainJob`.

use super::submission::Submission;
use super::{CallResult, JobsHandle};
use crate::names::JobName;
use crate::outcome::{NotRun, NotRunCause};
use crate::rpc::{JobNameRequest, JobReply, SubmitJobRequest};

/// Handles `SubmitJob`.
pub(crate) async fn submit_job(jobs: &JobsHandle, request: &SubmitJobRequest) -> JobReply {
    match parse_submission(request) {
        Ok(submission) => reply(jobs.submit(submission).await),
        Err(refusal) => reply(Err(refusal)),
    }
}

/// Handles `GetJob`.
pub(crate) async fn get_job(jobs: &JobsHandle, request: &JobNameRequest) -> JobReply {
    match parse_name(request) {
        Ok(job) => reply(jobs.status(job).await),
        Err(refusal) => reply(Err(refusal)),
    }
}

/// Handles `CancelJob`.
pub(crate) async fn cancel_job(jobs: &JobsHandle, request: &JobNameRequest) -> JobReply {
    match parse_name(request) {
        Ok(job) => reply(jobs.cancel(job).await),
        Err(refusal) => reply(Err(refusal)),
    }
}

/// Handles `ExplainJob`.
pub(crate) async fn explain_job(jobs: &JobsHandle, request: &JobNameRequest) -> JobReply {
    match parse_name(request) {
        Ok(job) => reply(jobs.explain(job).await),
        Err(refusal) => reply(Err(refusal)),
    }
}

/// Parses a submission. The message repeats three keys of the JSON for routing.
fn parse_submission(request: &SubmitJobRequest) -> Result<Submission, NotRun> {
    let submission = Submission::parse(&request.job_json)?;
    let same = submission.name.as_str() == request.name
        && submission.organisation.as_str() == request.organisation
        && submission.service.as_str() == request.service;
    if same {
        return Ok(submission);
    }
    Err(bad_request("name, organisation or service of the message differ from those in the job"))
}

fn parse_name(request: &JobNameRequest) -> Result<JobName, NotRun> {
    request.name.parse().map_err(|fault| bad_request(format!("{fault}")))
}

fn bad_request(detail: impl Into<String>) -> NotRun {
    NotRun::new(NotRunCause::BadRequest, detail)
}

/// The reason of a refusal has the form `cause: detail`, which [`NotRun::from_wire`] parses.
fn reply(result: CallResult) -> JobReply {
    match result {
        Ok(Some(status_json)) => JobReply { found: true, status_json, ..JobReply::default() },
        Ok(None) => JobReply::default(),
        Err(refusal) => {
            JobReply { refused: true, reason: refusal.to_string(), ..JobReply::default() }
        }
    }
}
