//! The RPCs of jobs: `SubmitJob`, `GetJob`, `CancelJob` and `ExplainJob`.

use super::submission::Submission;
use super::{CallResult, JobsHandle};
use crate::names::JobName;
use crate::outcome::{NotRun, NotRunCause};
use crate::rpc::{JobNameRequest, JobReply, SubmitJobRequest};

/// Answers `SubmitJob`.
pub(crate) async fn submit_job(jobs: &JobsHandle, request: &SubmitJobRequest) -> JobReply {
    match read(request) {
        Ok(submission) => reply(jobs.submit(submission).await),
        Err(refusal) => reply(Err(refusal)),
    }
}

/// Answers `GetJob`.
pub(crate) async fn get_job(jobs: &JobsHandle, request: &JobNameRequest) -> JobReply {
    match name(request) {
        Ok(job) => reply(jobs.status(job).await),
        Err(refusal) => reply(Err(refusal)),
    }
}

/// Answers `CancelJob`.
pub(crate) async fn cancel_job(jobs: &JobsHandle, request: &JobNameRequest) -> JobReply {
    match name(request) {
        Ok(job) => reply(jobs.cancel(job).await),
        Err(refusal) => reply(Err(refusal)),
    }
}

/// Answers `ExplainJob`.
pub(crate) async fn explain_job(jobs: &JobsHandle, request: &JobNameRequest) -> JobReply {
    match name(request) {
        Ok(job) => reply(jobs.explain(job).await),
        Err(refusal) => reply(Err(refusal)),
    }
}

/// Reads a submission, whose message repeats three keys of the JSON for routing.
fn read(request: &SubmitJobRequest) -> Result<Submission, NotRun> {
    let submission = Submission::read(&request.job_json)?;
    let same = submission.name.as_str() == request.name
        && submission.organisation.as_str() == request.organisation
        && submission.service.as_str() == request.service;
    if same {
        return Ok(submission);
    }
    Err(bad("name, organisation or service of the message differ from those in the job"))
}

fn name(request: &JobNameRequest) -> Result<JobName, NotRun> {
    request.name.parse().map_err(|fault| bad(format!("{fault}")))
}

fn bad(detail: impl Into<String>) -> NotRun {
    NotRun::new(NotRunCause::BadRequest, detail)
}

/// A refusal carries `cause: detail`, the form that [`NotRun::from_wire`] reads.
fn reply(result: CallResult) -> JobReply {
    match result {
        Ok(Some(status_json)) => JobReply { found: true, status_json, ..JobReply::default() },
        Ok(None) => JobReply::default(),
        Err(refusal) => {
            JobReply { refused: true, reason: refusal.to_string(), ..JobReply::default() }
        }
    }
}
