//! What crashes say about a piece of work: when to give it up.
//!
//! A piece of work may crash each upstream that starts it; then it crashes one after the other, with
//! all that runs beside it. But upstreams also crash in an outage, because they are unstable, or
//! because of a neighbour. So a crash counts as proof only if the work had just started there and
//! nothing else explains it.

use super::{Crash, OUTAGE_SPREAD_MS};

/// Number of crashes that prove a fault of the work after which it is given up.
const PROOFS_TO_GIVE_UP: usize = 2;

/// Number of crashes that point at the work after which it is given up.
const CRASHES_TO_GIVE_UP: usize = 4;

/// Number of starts that ended in a crash after which the work is given up, if some crash that
/// points at it was no part of a large outage.
const STARTS_TO_GIVE_UP: usize = 5;

/// Crashes of other upstreams at the same time that make an outage, at least.
const OUTAGE_CRASHES_MIN: usize = 3;

/// Share of all upstreams that crash together in an outage.
const OUTAGE_SHARE_PERCENT: usize = 5;

/// Share of all upstreams that crash together in a large outage.
const LARGE_OUTAGE_SHARE_PERCENT: usize = 20;

/// Number of crashes hidden by large outages after which work starts on probation.
const HIDDEN_TO_PROBATION: usize = 2;

/// Returns the number of crashes elsewhere that make a large outage.
pub(crate) fn large_outage_crashes(upstreams: usize) -> usize {
    outage_crashes(upstreams, LARGE_OUTAGE_SHARE_PERCENT)
}

/// Returns the number of crashes elsewhere that make an outage of a given share of all upstreams.
fn outage_crashes(upstreams: usize, share_percent: usize) -> usize {
    OUTAGE_CRASHES_MIN.max(upstreams * share_percent / 100)
}

/// What a crash says about the work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// The work caused it.
    Proof,
    /// The work may have caused it.
    Hint,
    /// The work had just started, and a large outage has hidden the cause.
    Hidden,
    /// It has another cause.
    None,
}

impl Evidence {
    fn of(crash: &Crash, upstreams: usize) -> Self {
        let is_share = |crashes: u32, share_percent: usize| {
            crashes as usize >= outage_crashes(upstreams, share_percent)
        };
        // Several pieces of work may crash their upstreams at the same time, which is no outage.
        let in_outage = is_share(crash.elsewhere.unexplained, OUTAGE_SHARE_PERCENT);
        let in_large_outage = is_share(crash.elsewhere.crashes, LARGE_OUTAGE_SHARE_PERCENT);
        let excused =
            in_outage || in_large_outage || crash.upstream_unstable || crash.others_suspect;
        match (crash.survived_start, excused) {
            (true, true) => Self::None,
            (false, true) if in_large_outage => Self::Hidden,
            (false, false) if crash.started => Self::Proof,
            _ => Self::Hint,
        }
    }

    fn counts(self) -> bool {
        matches!(self, Self::Proof | Self::Hint)
    }
}

/// What follows from the crashes under a piece of work, worst last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Verdict {
    Clear,
    Suspect,
    /// It would be given up, but the latest crash may still turn out to be part of an outage.
    Undecided,
    GivenUp,
}

/// Judges a piece of work by the crashes under it.
pub(crate) fn verdict(crashes: &[Crash], upstreams: usize, now_ms: u64) -> Verdict {
    let evidence = || crashes.iter().map(|crash| Evidence::of(crash, upstreams));
    let proofs = evidence().filter(|evidence| *evidence == Evidence::Proof).count();
    let counted = count(crashes, upstreams);
    let hidden = evidence().filter(|evidence| *evidence == Evidence::Hidden).count();
    if counted == 0 {
        return Verdict::Clear;
    }
    let is_proved = proofs >= PROOFS_TO_GIVE_UP
        || counted >= CRASHES_TO_GIVE_UP
        || counted + hidden >= STARTS_TO_GIVE_UP;
    if !is_proved {
        return Verdict::Suspect;
    }
    let latest_ms = crashes.iter().map(|crash| crash.recorded_ms).max().unwrap_or(0);
    if now_ms.saturating_sub(latest_ms) <= OUTAGE_SPREAD_MS {
        Verdict::Undecided
    } else {
        Verdict::GivenUp
    }
}

/// Returns the number of crashes that have no known cause other than the work.
pub(crate) fn count(crashes: &[Crash], upstreams: usize) -> usize {
    crashes.iter().filter(|crash| Evidence::of(crash, upstreams).counts()).count()
}

/// Returns whether large outages have hidden the cause of several crashes.
pub(crate) fn needs_probation(crashes: &[Crash], upstreams: usize) -> bool {
    let evidence = crashes.iter().map(|crash| Evidence::of(crash, upstreams));
    evidence.filter(|evidence| *evidence == Evidence::Hidden).count() >= HIDDEN_TO_PROBATION
}
