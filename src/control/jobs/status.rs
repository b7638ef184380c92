//! Statuses of jobs as JSON.

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
    /// Whether the job has worked: `yes`, `no` or `unknown`.
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

/// End of a job that was refused at once; the core knows it as cancelled.
const REFUSED: EndBody<'static> = EndBody {
    result: "refused",
    ran: "no",
    reason: Some("the shape of the job may not wait, and the job could not start at once"),
};

/// Writes the answer to a submission.
pub(super) fn accepted(entry: &Entry) -> String {
    write(&AcceptedBody {
        job: &entry.spec.name,
        accepted: true,
        accepted_at_ms: entry.accepted_ms,
        accelerators: entry.spec.accelerators,
    })
}

/// Writes where a job stands.
pub(super) fn status(entry: &Entry, explanation: &Explanation) -> String {
    write(&status_body(entry, explanation))
}

/// Writes why a job is where it is.
pub(super) fn explanation(entry: &Entry, explanation: &Explanation) -> String {
    write(&ExplanationBody {
        status: status_body(entry, explanation),
        upstreams: &explanation.upstreams,
        waits_because: explanation.waits_because.as_deref(),
        would_start_if: explanation.would_start_if.as_deref(),
        waiting_ms: explanation.waiting_ms,
        borrowed_from: &explanation.borrowed_from,
        stopped_because: explanation.stopped_because.as_deref(),
    })
}

/// Returns what is left to say of an ended job that the core has forgotten.
pub(super) fn of_forgotten(entry: &Entry) -> Option<Explanation> {
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
        JobState::Ended(_) if entry.refused => ("ended", Some(REFUSED)),
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

/// Statuses hold only strings, numbers and lists, which can always be written.
fn write(body: &impl Serialize) -> String {
    serde_json::to_string(body).unwrap_or_default()
}
