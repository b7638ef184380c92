//! Open questions to upstreams about members that end by themselves.
//!
//! Renewals report ends too, but up to 5 s later.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::names::UpstreamName;
use crate::scheduler::MemberStatus;
use crate::upstream_http::{EndsRequest, GangAnswer, GangMessage, GangReply};

/// Time for which a question waits at the upstream. A longer one saves bytes, but a connection that
/// has gone silent is noticed later; renewals still report the ends meanwhile.
const ENDS_WAIT: Duration = Duration::from_secs(10);

/// Upstreams with an open question; each takes one connection.
#[derive(Debug, Default)]
pub(super) struct Watches {
    open: BTreeSet<UpstreamName>,
}

impl Watches {
    /// Returns the question that follows an answer, if members run and none is open.
    pub(super) fn after_answer(
        &mut self,
        upstream: &UpstreamName,
        reply: &GangReply,
    ) -> Option<GangMessage> {
        let after = match &reply.answer {
            GangAnswer::Started => None,
            GangAnswer::Renewed { members, .. }
                if members.iter().any(|member| member.status == MemberStatus::Running) =>
            {
                None
            }
            GangAnswer::Ends { count, active, .. } => {
                self.open.remove(upstream);
                if *active == 0 {
                    return None;
                }
                Some(*count)
            }
            _ => return None,
        };
        if !self.open.insert(upstream.clone()) {
            return None;
        }
        let wait_ms = u64::try_from(ENDS_WAIT.as_millis()).unwrap_or(u64::MAX);
        Some(GangMessage::Ends(EndsRequest { after, wait_ms }))
    }

    /// Notes that a question got no usable answer; the next renewal opens another one.
    pub(super) fn closed(&mut self, upstream: &UpstreamName) {
        self.open.remove(upstream);
    }

    /// Returns the time for an answer to a message beyond that for others.
    pub(super) const fn extra_time(message: &GangMessage) -> Duration {
        match message {
            GangMessage::Ends(_) => ENDS_WAIT,
            _ => Duration::ZERO,
        }
    }
}
