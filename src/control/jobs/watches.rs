//! Long-poll queries to upstreams about members that end by themselves.
//!
//! Renewals report ends too, but up to 5 s later.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::names::UpstreamName;
use crate::scheduler::MemberStatus;
use crate::upstream_http::{EndsRequest, GangAnswer, GangMessage, GangReply};

/// Time for which a query waits at the upstream. A longer time saves traffic, but delays the
/// detection of a broken connection; until then only renewals report the ends.
const ENDS_WAIT: Duration = Duration::from_secs(10);

/// Upstreams with an open query; each query uses one connection.
#[derive(Debug, Default)]
pub(super) struct Watches {
    open: BTreeSet<UpstreamName>,
}

impl Watches {
    /// Returns the query to send after an answer, if members are running and no query is open.
    pub(super) fn next_query(
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

    /// Closes a query that got no usable answer; the next renewal opens a new one.
    pub(super) fn query_failed(&mut self, upstream: &UpstreamName) {
        self.open.remove(upstream);
    }

    /// Returns the additional time limit for the answer to a message.
    pub(super) const fn extra_timeout(message: &GangMessage) -> Duration {
        match message {
            GangMessage::Ends(_) => ENDS_WAIT,
            _ => Duration::ZERO,
        }
    }
}
