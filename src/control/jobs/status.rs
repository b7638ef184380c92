//! Status of jobs as JSON.

use serde::Serialize;

use super::book::Entry;
use super::metrics::end_name;
use crate::names::{JobName, OrganisationName, ServiceName, UpstreamName};
use crate::scheduler::{Explanation, JobEnd, JobState, Ran};

/// First answer to a submission; resends get the same.
#[derive(Debug, Serialize)]
struct AcceptedBody<'a> {
    job: &'a JobName,
    accepted: bool,
    accepted_at_ms: u64,
    accelerators: u32,
}

#[derive(Debug, Serialize)]
struct EndBody<'a> {
    result: &'static str,
    /// Whether the job has run: `yes`, `no` or `unknown`.
    ran: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'a str>,
}

#[derive(Debug, Serialize)]
struct StatusBody<'a> {
    job: &'a JobName,
    organisation: &'a OrganisationName,
    service: &'a ServiceName,
    accelerators: u32,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    stage: Option<&'static str>,
    cancel_requested: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    end: Option<EndBody<'a>>,
}

#[derive(Debug, Serialize)]
struct ExplanationBody<'a> {
    #[serde(flatten)]
    status: StatusBody<'a>,
    upstreams: &'a [UpstreamName],
    waits_because: Option<&'a str>,
    would_start_if: Option<&'a str>,
    waiting_ms: u64,
    borrowed_from: &'a [OrganisationName],
    stopped_because: Option<&'a str>,
}

/// End of a job that was refused at once, which the core records as cancelled.
const REFUSED_END: EndBody<'static> = EndBody {
    result: "refused",
    ran: "no",
    reason: Some("the shape of the job may not wait, and the job could not start at once"),
};

/// Returns the answer to a submission as JSON.
pub(super) fn accepted(entry: &Entry) -> String {
    to_json(&AcceptedBody {
        job: &entry.spec.name,
        accepted: true,
        accepted_at_ms: entry.accepted_ms,
        accelerators: entry.spec.accelerators,
    })
}

/// Returns the status of a job as JSON.
pub(super) fn status(entry: &Entry, explanation: &Explanation) -> String {
    to_json(&status_body(entry, explanation))
}

/// Returns the explanation of a job's state as JSON.
pub(super) fn explanation(entry: &Entry, explanation: &Explanation) -> String {
    to_json(&ExplanationBody {
        status: status_body(entry, explanation),
        upstreams: &explanation.upstreams,
        waits_because: explanation.waits_because.as_deref(),
        would_start_if: explanation.would_start_if.as_deref(),
        waiting_ms: explanation.waiting_ms,
        borrowed_from: &explanation.borrowed_from,
        stopped_because: explanation.stopped_because.as_deref(),
    })
}

/// Returns the explanation of an ended job that the core no longer keeps.
pub(super) fn explain_evicted(entry: &Entry) -> Option<Explanation> {
    Some(Explanation {
        job: entry.spec.name.clone(),
        state: JobState::Ended(entry.end.clone()?),
        expected_run_ms: None,
        expected_use: None,
        stage: None,
        upstreams: Vec::new(),
        waits_because: None,
        would_start_if: None,
        waiting_ms: 0,
        borrowed_from: Vec::new(),
        stopped_because: None,
    })
}

fn status_body<'a>(entry: &'a Entry, explanation: &'a Explanation) -> StatusBody<'a> {
    let (state, end) = match &explanation.state {
        JobState::Waiting => ("waiting", None),
        JobState::Placed(_) => ("placed", None),
        JobState::Ended(_) if entry.refused => ("ended", Some(REFUSED_END)),
        JobState::Ended(end) => ("ended", Some(end_body(end))),
    };
    StatusBody {
        job: &entry.spec.name,
        organisation: &entry.spec.organisation,
        service: &entry.spec.service,
        accelerators: entry.spec.accelerators,
        state,
        stage: explanation.stage,
        cancel_requested: entry.cancelled && !entry.refused,
        end,
    }
}

fn end_body(end: &JobEnd) -> EndBody<'_> {
    let (ran, reason) = match end {
        JobEnd::Completed => (Ran::Yes, None),
        JobEnd::Cancelled { ran } => (*ran, None),
        JobEnd::Failed { reason } => (Ran::Yes, Some(reason.as_str())),
        JobEnd::Unrunnable { reason, ran } => (*ran, Some(reason.as_str())),
    };
    let ran = match ran {
        Ran::No => "no",
        Ran::Unknown => "unknown",
        Ran::Yes => "yes",
    };
    EndBody { result: end_name(end), ran, reason }
}

/// Encodes a body, which cannot fail: it has only strings, numbers, booleans and lists.
fn to_json(body: &impl Serialize) -> String {
    serde_json::to_string(body).unwrap_or_default()
}
