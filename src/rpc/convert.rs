//! Conversions between wire messages and the types of the library.

use crate::outcome::{NotRun, NotRunCause, Outcome};
use crate::rpc;

/// All causes, whose text forms [`NotRun::from_wire`] compares.
const CAUSES: [NotRunCause; 11] = [
    NotRunCause::BadRequest,
    NotRunCause::Forbidden,
    NotRunCause::UnknownService,
    NotRunCause::Conflict,
    NotRunCause::OverLimit,
    NotRunCause::TooLarge,
    NotRunCause::NoCapacity,
    NotRunCause::Unavailable,
    NotRunCause::RefusedByUpstream,
    NotRunCause::Deadline,
    NotRunCause::KeyExpired,
];

impl NotRun {
    /// Parses a reason from its text form, `cause: detail`.
    ///
    /// A cause that this version does not know is read as [`NotRunCause::Unavailable`].
    #[must_use]
    pub fn from_wire(text: &str) -> Self {
        let (name, detail) = text.split_once(": ").unwrap_or(("unavailable", text));
        let cause = CAUSES.into_iter().find(|cause| cause.to_string() == name);
        Self::new(cause.unwrap_or(NotRunCause::Unavailable), detail)
    }
}

impl From<Outcome> for rpc::Outcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Done { answer, attempt, upstream_status } => Self {
                kind: rpc::OutcomeKind::Done.into(),
                answer,
                attempt,
                upstream_status: upstream_status.into(),
                ..Self::default()
            },
            Outcome::NotRun(reason) => Self {
                kind: rpc::OutcomeKind::NotRun.into(),
                reason: reason.to_string(),
                ..Self::default()
            },
            Outcome::Unknown { detail } => {
                Self { kind: rpc::OutcomeKind::Unknown.into(), reason: detail, ..Self::default() }
            }
        }
    }
}

impl From<rpc::Outcome> for Outcome {
    fn from(outcome: rpc::Outcome) -> Self {
        match outcome.kind() {
            rpc::OutcomeKind::Done => Self::Done {
                answer: outcome.answer,
                attempt: outcome.attempt,
                upstream_status: u16::try_from(outcome.upstream_status).unwrap_or(200),
            },
            rpc::OutcomeKind::NotRun => Self::NotRun(NotRun::from_wire(&outcome.reason)),
            // A newer peer may send a kind that this version does not know. Whether the request
            // ran is then unknown.
            rpc::OutcomeKind::Unknown | rpc::OutcomeKind::Unspecified => {
                Self::Unknown { detail: outcome.reason }
            }
        }
    }
}
