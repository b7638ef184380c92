//! Gang messages from decisions of the core, and events of the core from answers.

use super::book::Book;
use crate::names::UpstreamName;
use crate::scheduler::{Decision, Event, MemberEnd, MemberStatus};
use crate::upstream_http::{
    CheckpointRequest, CommitRequest, GangAnswer, GangMessage, GangReply, GangRequest, MemberState,
    RenewRequest, StageRequest, StopRequest,
};

/// Returns the message that a decision asks for, and its addressee.
pub(super) fn message(decision: Decision, book: &Book) -> Option<(UpstreamName, GangMessage)> {
    Some(match decision {
        Decision::Stage { gang, job, upstream, mask, hold_ms } => {
            let work = book.work(&job);
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
        // An answer to a renewal without gangs shows that the upstream works.
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

/// Returns the ends that an answer reports, as events.
pub(super) fn ends(upstream: &UpstreamName, members: &[MemberState]) -> Vec<Event> {
    let event = |member: &MemberState| {
        let end = match member.status {
            MemberStatus::Completed => MemberEnd::Completed,
            MemberStatus::Failed => MemberEnd::Failed,
            MemberStatus::Running | MemberStatus::Absent => return None,
        };
        Some(Event::MemberEnded { gang: member.gang, upstream: upstream.clone(), end })
    };
    members.iter().filter_map(event).collect()
}

/// Returns what an answer tells the core; an answer that does not fit its message tells nothing.
pub(super) fn event(
    upstream: UpstreamName,
    request: GangRequest,
    reply: GangReply,
) -> Option<Event> {
    let incarnation = reply.incarnation;
    Some(match (request.message, reply.answer) {
        (GangMessage::Stage(stage), answer) => {
            Event::StageAnswered { gang: stage.gang, upstream, staged: verdict(&answer)? }
        }
        (GangMessage::Commit(commit), answer) => {
            let started = verdict(&answer)?;
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

/// Returns whether a stage or commit took effect; `None` if the answer leaves it open.
const fn verdict(answer: &GangAnswer) -> Option<bool> {
    match answer {
        GangAnswer::Staged | GangAnswer::Started => Some(true),
        GangAnswer::Refused { code, .. } if code.is_not_started() => Some(false),
        _ => None,
    }
}
