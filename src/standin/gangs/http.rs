//! HTTP interface of the stand-in's gang members.

use std::time::Duration;

use hyper::header::HeaderValue;
use serde::Serialize;
use tokio::time::Instant;

use super::{FreeCapacity, Gangs, MemberRun, RunEnd};
use crate::http::{FullRequest, FullResponse, error, json};
use crate::names::JobName;
use crate::scheduler::{GangId, Mask};
use crate::upstream_http::{
    GangAnswer, GangMessage, GangReply, GangRequest, NOT_STARTED_HEADER, RefusalCode,
};

/// One member in the run log.
#[derive(Debug, Serialize)]
struct RunBody {
    gang: GangId,
    job: JobName,
    mask: Mask,
    /// Milliseconds since 1970, so that logs of several stand-ins on one host can be compared.
    from_ms: u64,
    to_ms: Option<u64>,
    end: Option<RunEnd>,
    checkpoints: u32,
}

/// Returns the run log: the members that have started, with the times of their runs.
pub(in crate::standin) fn run_log(gangs: &mut Gangs) -> FullResponse {
    let (started, started_unix_ms) = (gangs.started, gangs.started_unix_ms);
    // All times are relative to the same start, so that repeated reads return the same times.
    let at_ms = |at: Instant| {
        let since_ms = u64::try_from((at - started).as_millis()).unwrap_or(u64::MAX);
        started_unix_ms.saturating_add(since_ms)
    };
    let body = |run: MemberRun| RunBody {
        gang: run.gang,
        job: run.job,
        mask: run.mask,
        from_ms: at_ms(run.from),
        to_ms: run.to.map(at_ms),
        end: run.end,
        checkpoints: run.checkpoints,
    };
    json(200, &gangs.runs().into_iter().map(body).collect::<Vec<_>>())
}

/// Returns how many ends the sender of an ends query knows, and how long to wait for a further one.
///
/// Returns `None` for other messages and for a query that need not wait.
pub(in crate::standin) fn ends_wait(received: &FullRequest) -> Option<(u64, Duration)> {
    let request = GangRequest::read(received.uri.path(), &received.body)?.ok()?;
    let GangMessage::Ends(query) = request.message else { return None };
    Some((query.after?, Duration::from_millis(query.wait_ms)))
}

/// Answers a gang message; other paths get status 404.
pub(in crate::standin) fn handle(
    gangs: &mut Gangs,
    received: &FullRequest,
    free_capacity: FreeCapacity,
) -> FullResponse {
    match GangRequest::read(received.uri.path(), &received.body) {
        None => error(404, "there is no such gang message"),
        Some(Err(fault)) => error(400, &format!("the gang message cannot be read: {fault}")),
        Some(Ok(request)) => response(&request, &gangs.answer(&request, free_capacity)),
    }
}

/// Builds the response: refusals have status 409, and those that exclude a later start also have
/// the not-started header.
fn response(request: &GangRequest, reply: &GangReply) -> FullResponse {
    let GangAnswer::Refused { code, .. } = reply.answer else { return json(200, reply) };
    let mut response = json(409, reply);
    if excludes_later_start(&request.message, code) {
        response.headers_mut().insert(NOT_STARTED_HEADER, HeaderValue::from_static("true"));
    }
    response
}

const fn excludes_later_start(message: &GangMessage, code: RefusalCode) -> bool {
    matches!(message, GangMessage::Stage(_) | GangMessage::Commit(_)) && code.is_not_started()
}
