//! Outcome of a request as reported to its caller.

use bytes::Bytes;
use derive_more::Display;

/// Why a request was certainly not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum NotRunCause {
    /// The request is malformed.
    #[display("bad_request")]
    BadRequest,
    /// The organisation may not send this request.
    #[display("forbidden")]
    Forbidden,
    /// The service has no document.
    #[display("unknown_service")]
    UnknownService,
    /// The key was used with another body, or its record is still open.
    #[display("conflict")]
    Conflict,
    /// The organisation has reached its limit.
    #[display("over_limit")]
    OverLimit,
    /// The body is larger than the limit.
    #[display("too_large")]
    TooLarge,
    /// No upstream could accept the request in time.
    #[display("no_capacity")]
    NoCapacity,
    /// A process needed to accept the request is not reachable.
    #[display("unavailable")]
    Unavailable,
    /// The upstream refused the request before starting it.
    #[display("refused_by_upstream")]
    RefusedByUpstream,
    /// The caller's deadline passed before anything was sent to an upstream.
    #[display("deadline")]
    Deadline,
    /// The record of this key has been pruned.
    #[display("key_expired")]
    KeyExpired,
}

impl NotRunCause {
    /// Returns the HTTP status for this cause.
    #[must_use]
    pub const fn http_status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Forbidden => 403,
            Self::UnknownService => 404,
            Self::Conflict => 409,
            Self::KeyExpired => 410,
            Self::TooLarge => 413,
            Self::OverLimit => 429,
            Self::NoCapacity | Self::Unavailable | Self::RefusedByUpstream | Self::Deadline => 503,
        }
    }
}

/// Reason why a request was not run.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{cause}: {detail}")]
pub struct NotRun {
    /// Cause, which determines the HTTP status.
    pub cause: NotRunCause,
    /// Explanation for the caller.
    pub detail: String,
}

impl NotRun {
    /// Builds a reason from its cause and an explanation for the caller.
    pub fn new(cause: NotRunCause, detail: impl Into<String>) -> Self {
        Self { cause, detail: detail.into() }
    }
}

/// Prefix of the detail of an unknown outcome that was not dispatched by the answering host.
const NOT_DISPATCHED_PREFIX: &str = "not dispatched by this host (";

/// Returns the HTTP status of an unknown outcome.
///
/// It tells outcomes that only need a resend from those that may need a sign-off. Only the text is
/// sent between hosts and stored in records, so the status is derived from it.
fn unknown_status(detail: &str) -> u16 {
    let has_cause = |text: &str, cause: NotRunCause| text.starts_with(&cause.to_string());
    match detail.strip_prefix(NOT_DISPATCHED_PREFIX) {
        Some(reason) if has_cause(reason, NotRunCause::OverLimit) => 429,
        Some(_) => 503,
        None if has_cause(detail, NotRunCause::KeyExpired) => 410,
        None => 504,
    }
}

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream ran the request and returned this complete answer.
    Done {
        /// Body of the upstream's answer.
        answer: Bytes,
        /// Number of the attempt that produced the answer.
        attempt: u32,
        /// HTTP status of the upstream's answer.
        upstream_status: u16,
    },
    /// The request certainly did not run.
    NotRun(NotRun),
    /// The request may have run.
    Unknown {
        /// Explanation for the caller.
        detail: String,
    },
}

impl Outcome {
    /// Returns the outcome's name as used in answers, metrics and records.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Done { .. } => "done",
            Self::NotRun(_) => "not_run",
            Self::Unknown { .. } => "unknown",
        }
    }

    /// Builds the outcome of a refusal at a host that has not read the owner's records.
    #[must_use]
    pub fn not_dispatched(reason: &NotRun) -> Self {
        let detail = format!("{NOT_DISPATCHED_PREFIX}{reason}); resend with the same key");
        Self::Unknown { detail }
    }

    /// Returns the HTTP status of the outcome.
    #[must_use]
    pub fn http_status(&self) -> u16 {
        match self {
            Self::Done { .. } => 200,
            Self::NotRun(reason) => reason.cause.http_status(),
            Self::Unknown { detail } => unknown_status(detail),
        }
    }
}
