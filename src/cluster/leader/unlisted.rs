//! What follows from lists that do not name a run.
//!
//! Lists that are complete prove that a run whose order was answered before is over and left no end: it
//! never started. Incomplete ones prove nothing by themselves.

/// Time for which entries of the lists may be unreadable before the runs that they may hide are stopped.
const HIDDEN_MAX_MS: u64 = 3_000;

/// What the answers to the orders about a run say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct AnsweredOrder {
    /// When the latest answer arrived.
    pub(super) at_ms: u64,
    /// Whether a stop was answered.
    pub(super) is_stop: bool,
    /// Whether a start was carried out.
    pub(super) has_begun: bool,
}

impl AnsweredOrder {
    /// A start was carried out.
    pub(super) const fn begun(at_ms: u64) -> Self {
        Self { at_ms, is_stop: false, has_begun: true }
    }

    /// A start was refused as old.
    pub(super) const fn old(at_ms: u64) -> Self {
        Self { at_ms, is_stop: false, has_begun: false }
    }

    /// A stop was accepted; whether the run had begun is not known.
    pub(super) const fn stopped(at_ms: u64) -> Self {
        Self { at_ms, is_stop: true, has_begun: false }
    }

    /// Adds a later answer; that to a start may arrive after that to a stop.
    pub(super) const fn followed_by(self, later: Self) -> Self {
        let at_ms = if self.is_stop && !later.is_stop { self.at_ms } else { later.at_ms };
        let is_stop = self.is_stop || later.is_stop;
        Self { at_ms, is_stop, has_begun: self.has_begun || later.has_begun }
    }
}

/// How much lists show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Coverage {
    /// All runs that are in execution, and all ends that are not recorded.
    Complete,
    /// More ends come with the next answer.
    MoreFollows,
    /// Some entries have been unreadable for a time, and may hide a run.
    Unreadable { for_ms: u64 },
}

/// What is known of a run that is not listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Unlisted {
    /// It has not started, and never will.
    NotStarted,
    /// It may be on its way or in execution; a stop makes it void.
    ToBeStopped,
    /// Later lists will tell.
    Undecided,
}

/// Judges a run that lists do not name which were requested at `sent_ms`.
pub(super) fn judge(
    answered: Option<AnsweredOrder>,
    coverage: Coverage,
    sent_ms: u64,
    stop_timeout_ms: u64,
) -> Unlisted {
    let is_hidden = matches!(coverage, Coverage::Unreadable { for_ms } if for_ms > HIDDEN_MAX_MS);
    match (answered, coverage) {
        (None, Coverage::Complete) => Unlisted::ToBeStopped,
        (None, _) if is_hidden => Unlisted::ToBeStopped,
        (Some(order), _) if order.at_ms >= sent_ms => Unlisted::Undecided,
        (Some(_), Coverage::Complete) => Unlisted::NotStarted,
        (Some(order), _) if is_hidden && !order.is_stop => Unlisted::ToBeStopped,
        // Whatever it did, it has been stopped by now.
        (Some(order), _) if is_hidden && sent_ms > order.at_ms + stop_timeout_ms => {
            Unlisted::NotStarted
        }
        _ => Unlisted::Undecided,
    }
}
