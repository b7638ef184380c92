//! Conversion of scheduler decisions to gang messages, and of answers to scheduler events.

use super::book::JobTable;
use crate::names::UpstreamName;
use crate::scheduler::{Decision, Event, MemberEnd, MemberStatus};
use crate::upstream_http::{
    CheckpointRequest, CommitRequest, GangAnswer, GangMessage, GangReply, GangRequest, MemberState,
    RenewRequest, StageRequest, StopRequest,
};

/// Returns the message for a decision and its recipient; `None` if none is to be sent.
pub(super) fn message(
    decision: Decision,
    job_table: &JobTable,
) -> Option<(UpstreamName, GangMessage)> {
    Some(match decision {
        Decision::Stage { gang, job, upstream, mask, hold_ms } => {
            let work = job_table.work(&job);
            (upstream, GangMessage::Stage(StageRequest { gang, job, mask, hold_ms, work }))
        }
        Decision::Commit { gang, upstream, lease_ms } => {
            (upstream, GangMessage::Commit(CommitRequest { gang, lease_ms }))
        }
        Decision::Renew { upstream, round, gangs } => {
            (upstream, GangMessage::Renew(RenewRequest { round, gangs }))
        }
        Decision::Checkpoint { gang, upstream } => {
            (upstream, GangMessage::Checkpoint(CheckpointRequest { gang }))
        }
        // A renewal without gangs is a health probe.
        Decision::Probe { upstream } => {
            (upstream, GangMessage::Renew(RenewRequest { round: 0, gangs: Vec::new() }))
        }
        Decision::Stop { gang, upstream } => (upstream, GangMessage::Stop(StopRequest { gang })),
        Decision::Persist(_)
        | Decision::JobAccepted { .. }
        | Decision::JobRefused { .. }
        | Decision::JobEnded { .. }
        | Decision::GuaranteeAtRisk { .. }
        | Decision::DocumentRefused { .. } => return None,
    })
}

/// Returns the events for the members that an answer reports as ended.
pub(super) fn member_ended_events(upstream: &UpstreamName, members: &[MemberState]) -> Vec<Event> {
    let to_event = |member: &MemberState| {
        let end = match member.status {
            MemberStatus::Completed => MemberEnd::Completed,
            MemberStatus::Failed => MemberEnd::Failed,
            MemberStatus::Running | MemberStatus::Absent => return None,
        };
        Some(Event::MemberEnded { gang: member.gang, upstream: upstream.clone(), end })
    };
    members.iter().filter_map(to_event).collect()
}

/// Returns the event for an answer; `None` if the answer does not match its request or leaves the
/// effect of the request unknown.
pub(super) fn answer_event(
    upstream: UpstreamName,
    request: GangRequest,
    reply: GangReply,
) -> Option<Event> {
    let incarnation = reply.incarnation;
    Some(match (request.message, reply.answer) {
        (GangMessage::Stage(stage), answer) => {
            Event::StageAnswered { gang: stage.gang, upstream, staged: took_effect(&answer)? }
        }
        (GangMessage::Commit(commit), answer) => {
            let started = took_effect(&answer)?;
            Event::CommitAnswered { gang: commit.gang, upstream, incarnation, started }
        }
        (GangMessage::Renew(renew), GangAnswer::Renewed { .. }) if renew.gangs.is_empty() => {
            Event::ProbeAnswered { upstream, healthy: true }
        }
        (GangMessage::Renew(renew), GangAnswer::Renewed { round, members })
            if round == renew.round =>
        {
            let members = members.into_iter().map(|m| (m.gang, m.status)).collect();
            Event::RenewAnswered { upstream, round, members }
        }
        (GangMessage::Stop(stop), GangAnswer::Stopped { status }) => {
            Event::StopAnswered { gang: stop.gang, upstream, incarnation, status }
        }
        _ => return None,
    })
}

/// Returns whether a stage or commit took effect; `None` if the answer leaves that unknown.
const fn took_effect(answer: &GangAnswer) -> Option<bool> {
    match answer {
        GangAnswer::Staged | GangAnswer::Started => Some(true),
        GangAnswer::Refused { code, .. } if code.is_not_started() => Some(false),
        _ => None,
    }
}
