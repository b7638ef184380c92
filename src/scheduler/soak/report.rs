//! What a randomised run did and found.

use std::collections::BTreeMap;

use serde::Serialize;

/// A broken invariant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// Step at which it was found.
    pub step: u64,
    /// Simulated time at which it was found.
    pub at_ms: u64,
    /// What was found.
    pub what: String,
}

/// Result of [`super::soak`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Steps of the core.
    pub steps: u64,
    /// Simulated time.
    pub simulated_ms: u64,
    /// Number of faults of each kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Number of checks of each invariant.
    pub checks: BTreeMap<&'static str, u64>,
    /// Number of jobs by how they ended.
    pub jobs: BTreeMap<&'static str, u64>,
    /// Largest journal between snapshots, in records.
    pub records_max: usize,
    /// The invariant that broke, if one did.
    pub broken: Option<Broken>,
}
