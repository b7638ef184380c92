//! What the callers of each organisation got.

use std::collections::BTreeMap;

use serde::Serialize;

use super::figures::Timeliness;
use super::run::Record;

/// Figures of the jobs of one organisation.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct OrganisationFigures {
    /// Number of jobs.
    pub jobs: usize,
    /// Jobs completed within their objective.
    pub in_time: usize,
    /// Jobs completed later, but while the result was of use.
    pub late: usize,
    /// Jobs accepted and completed when the result was no longer of use, or never.
    pub of_no_use: usize,
    /// Jobs refused until their callers gave up.
    pub refused: usize,
    /// Work of the jobs that were of use, in core-equivalent seconds.
    pub served_core_s: f64,
    /// Work of all jobs, in core-equivalent seconds.
    pub offered_core_s: f64,
}

impl OrganisationFigures {
    /// Returns the share of the jobs that were completed within their objective.
    #[must_use]
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.jobs.max(1) as f64
    }
}

pub(super) fn organisation_figures(record: &Record) -> BTreeMap<&'static str, OrganisationFigures> {
    let mut organisations: BTreeMap<&'static str, OrganisationFigures> = BTreeMap::new();
    for (request, ending) in record.requests.iter().zip(&record.endings) {
        let figures = organisations.entry(request.organisation).or_default();
        let work_core_s = request.work_core_s();
        figures.jobs += 1;
        figures.offered_core_s += work_core_s;
        let count = match Timeliness::of(request, *ending) {
            Timeliness::InTime => &mut figures.in_time,
            Timeliness::Late => &mut figures.late,
            Timeliness::TooLate | Timeliness::NeverDone => &mut figures.of_no_use,
            Timeliness::Refused => &mut figures.refused,
        };
        *count += 1;
        if matches!(Timeliness::of(request, *ending), Timeliness::InTime | Timeliness::Late) {
            figures.served_core_s += work_core_s;
        }
    }
    organisations
}
