//! Progress of runs as far as their hosts report it.

/// Progress of a run as the leader last observed it.
#[expect(clippy::struct_field_names, reason = "the suffix is the unit")]
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Progress {
    /// Run time whose result a stop would lose.
    pub(crate) unsaved_ms: u64,
    /// Estimated time until the run ends by itself.
    pub(crate) left_ms: u64,
    /// Time for which all of its tasks were seen alive.
    pub(crate) seen_alive_ms: u64,
}

/// Progress since the first report from which a run's speed is derived, in percent of its work.
const SPEED_PERCENT_MIN: u32 = 5;

/// What lists have shown of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Reports {
    /// Time between its first and its latest listing.
    pub(crate) observed_ms: u64,
    /// Time since its latest listing.
    pub(crate) age_ms: u64,
    /// Percentages at its first and at its latest listing.
    pub(crate) first_percent: u32,
    pub(crate) percent: u32,
}

/// Returns the estimated time until a run ends by itself.
///
/// A run that has resumed from a checkpoint is first reported with a part of its work done. Until a
/// run has made some progress, its speed follows from its expected run time.
pub(crate) fn estimated_left_ms(expected_ms: u64, reports: &Reports) -> u64 {
    let Reports { observed_ms, age_ms, first_percent, percent } = *reports;
    let open_percent = u64::from(100_u32.saturating_sub(percent));
    let progressed_percent = percent.saturating_sub(first_percent);
    if progressed_percent < SPEED_PERCENT_MIN {
        expected_ms.saturating_mul(open_percent) / 100
    } else {
        (observed_ms * open_percent / u64::from(progressed_percent)).saturating_sub(age_ms)
    }
}
