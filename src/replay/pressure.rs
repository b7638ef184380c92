//! Load beyond the usual mix that single organisations send.

use super::load::KINDS;
use super::scenario::Scenario;

/// Time during which all organisations press for capacity.
const PRESSURE_MS: std::ops::Range<u64> = 8_000..20_000;

/// Time during which one organisation floods the others.
const FLOOD_MS: std::ops::Range<u64> = 8_000..32_000;

/// End of the time during which all organisations press; for its last part nobody is answered, so
/// that callers return together.
const UNANSWERED_MS: std::ops::Range<u64> = 18_000..20_000;

/// Jobs that one organisation sends in addition to the mix.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Flood {
    pub(super) organisation: &'static str,
    /// Rates of the kinds, as multiples of the normal rates of all organisations together.
    pub(super) rates: [f64; KINDS],
}

/// Returns the flood of a scenario at a time, if there is one.
pub(super) fn flood(scenario: Scenario, at_ms: u64) -> Option<Flood> {
    if !FLOOD_MS.contains(&at_ms) {
        return None;
    }
    match scenario {
        // A quarter of the normal rate is the share of one of the four organisations.
        Scenario::OneOrganisation => Some(Flood { organisation: "small-b", rates: [2.5; KINDS] }),
        Scenario::BatchFlood => Some(Flood { organisation: "large-b", rates: [0.0, 0.0, 10.0] }),
        _ => None,
    }
}

/// Returns the rates of the mix of a scenario in which organisations press.
pub(super) fn rates(scenario: Scenario, at_ms: u64) -> [f64; KINDS] {
    match scenario {
        Scenario::AllPress if PRESSURE_MS.contains(&at_ms) => [2.5; KINDS],
        _ => [1.0; KINDS],
    }
}

/// Returns whether callers are not answered at a time.
pub(super) fn is_unanswered(scenario: Scenario, at_ms: u64) -> bool {
    scenario == Scenario::AllPress && UNANSWERED_MS.contains(&at_ms)
}
