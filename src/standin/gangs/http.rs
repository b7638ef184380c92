//! HTTP form of the stand-in's gang messages.

use hyper::header::HeaderValue;

use super::{Gangs, Room};
use crate::http::{FullResponse, Received, error, json};
use crate::upstream_http::{
    GangAnswer, GangMessage, GangReply, GangRequest, NOT_STARTED_HEADER, RefusalCode,
};

/// Answers a gang message; other paths get status 404.
pub(in crate::standin) fn handle(
    gangs: &mut Gangs,
    received: &Received,
    room: Room,
) -> FullResponse {
    match GangRequest::read(received.uri.path(), &received.body) {
        None => error(404, "there is no such gang message"),
        Some(Err(fault)) => error(400, &format!("the gang message cannot be read: {fault}")),
        Some(Ok(request)) => response(&request, &gangs.answer(&request, room)),
    }
}

/// Refusals have status 409; those of stage and commit carry the promise of no later start.
fn response(request: &GangRequest, reply: &GangReply) -> FullResponse {
    let GangAnswer::Refused { code, .. } = reply.answer else { return json(200, reply) };
    let mut response = json(409, reply);
    if promises_no_start(&request.message, code) {
        response.headers_mut().insert(NOT_STARTED_HEADER, HeaderValue::from_static("true"));
    }
    response
}

const fn promises_no_start(message: &GangMessage, code: RefusalCode) -> bool {
    matches!(message, GangMessage::Stage(_) | GangMessage::Commit(_)) && code.is_not_started()
}
