//! Report of a randomised run.

use std::collections::BTreeMap;

use serde::Serialize;

/// Violation of an invariant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct InvariantViolation {
    /// Step at which it was found.
    pub step: u64,
    /// Simulated time at which it was found.
    pub at_ms: u64,
    /// Message of the failed check or of the panic.
    #[serde(rename = "what")]
    pub message: String,
}

/// Result of [`super::soak`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Number of steps that the core took.
    pub steps: u64,
    /// Simulated duration.
    pub simulated_ms: u64,
    /// Number of faults of each kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Number of checks of each invariant.
    pub checks: BTreeMap<&'static str, u64>,
    /// Number of jobs by how they ended.
    pub jobs: BTreeMap<&'static str, u64>,
    /// Largest number of journal records between two snapshots.
    pub records_max: usize,
    /// Violation that ended the run, if there was one.
    #[serde(rename = "broken")]
    pub violation: Option<InvariantViolation>,
}
