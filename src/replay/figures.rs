//! What the callers of a replay got.

use std::collections::BTreeMap;

use serde::Serialize;

use super::by_organisation::{OrganisationFigures, organisation_figures};
use super::load::{KINDS, MIX, Request};
use super::run::Record;
use super::scenario::Scenario;
use super::stops::Discarded;
use crate::placement::USEFUL_OBJECTIVE_FACTOR;

/// Smallest and largest value of a job, as multiples of the mean of its kind.
const VALUE_BASE: f64 = 0.3;
const VALUE_MAX: f64 = 4.0;

/// Value of a late result, as a share of one in time.
const LATE_VALUE: f64 = 0.25;

/// Share of the largest jobs of a kind that are counted by themselves.
const LARGEST_SHARE: f64 = 0.1;

/// Share of the jobs of a kind below the largest ones that are counted by themselves.
const NEXT_SHARE: f64 = 0.2;

/// How a job ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    Completed {
        /// Time since it was first submitted.
        after_ms: u64,
    },
    /// Accepted and not completed.
    NeverDone,
    /// Never accepted.
    Refused,
}

/// Usefulness of an ending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Timeliness {
    InTime,
    Late,
    /// Completed when the result was no longer of use.
    TooLate,
    NeverDone,
    Refused,
}

impl Timeliness {
    pub(super) fn of(request: &Request, ending: Ending) -> Self {
        let after_ms = match ending {
            Ending::Completed { after_ms } => after_ms,
            Ending::NeverDone => return Self::NeverDone,
            Ending::Refused => return Self::Refused,
        };
        if after_ms <= request.objective_ms {
            Self::InTime
        } else if after_ms <= request.objective_ms * USEFUL_OBJECTIVE_FACTOR {
            Self::Late
        } else {
            Self::TooLate
        }
    }
}

/// Figures of the jobs of one kind.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct KindFigures {
    /// Number of jobs.
    pub jobs: usize,
    /// Jobs completed within their objective.
    pub in_time: usize,
    /// Jobs completed later, but while the result was of use.
    pub late: usize,
    /// Jobs accepted and completed when the result was no longer of use.
    pub too_late: usize,
    /// Jobs accepted and not completed.
    pub never_done: usize,
    /// Jobs refused until their callers gave up.
    pub refused: usize,
    /// Refused jobs that would have been of use to their callers if nothing had been refused.
    pub refused_wrongly: usize,
    /// Value of the results as a share of the value of all jobs in time; larger jobs count more.
    pub worth: f64,
    /// The same for the largest tenth of the jobs.
    pub worth_of_largest: f64,
    /// The same for the fifth of the jobs below the largest tenth.
    pub worth_of_next_fifth: f64,
}

/// Figures of a replay.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ReplayReport {
    /// Scenario.
    pub scenario: Scenario,
    /// Number of hosts.
    pub hosts: usize,
    /// Seed.
    pub seed: u64,
    /// Figures by kind of job.
    pub kinds: BTreeMap<&'static str, KindFigures>,
    /// Figures by organisation.
    pub organisations: BTreeMap<&'static str, OrganisationFigures>,
    /// Worth over all jobs, each kind as important as the others.
    pub worth: f64,
    /// Smallest share of the jobs of one organisation that were completed in time.
    pub worst_organisation_in_time: f64,
    /// Number of refusals; a caller may be refused several times.
    pub refusals: u64,
    /// Work that was done and lost, in core-equivalent seconds.
    pub thrown_away_core_s: u64,
    /// The same as a share of the work of all jobs.
    pub thrown_away_share: f64,
    /// Runs that ended without their result, by cause.
    pub discarded: Discarded,
}

pub(super) fn report(
    scenario: Scenario,
    hosts: usize,
    seed: u64,
    record: &Record,
    unrefused: &Record,
) -> ReplayReport {
    let kinds: BTreeMap<_, _> =
        (0..KINDS).map(|kind| (MIX[kind].queue, kind_figures(kind, record, unrefused))).collect();
    let offered_core_s: f64 = record.requests.iter().map(Request::work_core_s).sum();
    let organisations = organisation_figures(record);
    let worst_in_time = organisations.values().map(OrganisationFigures::in_time_share);
    let worst_in_time = worst_in_time.fold(1.0, f64::min);
    let thrown_away_core_s = record.discarded.total_core_ms() / 1_000;
    ReplayReport {
        scenario,
        hosts,
        seed,
        worth: kinds.values().map(|figures| figures.worth).sum::<f64>() / KINDS as f64,
        kinds,
        worst_organisation_in_time: worst_in_time,
        organisations,
        refusals: record.refusals,
        thrown_away_core_s,
        thrown_away_share: thrown_away_core_s as f64 / offered_core_s.max(1.0),
        discarded: record.discarded.clone(),
    }
}

fn kind_figures(kind: usize, record: &Record, unrefused: &Record) -> KindFigures {
    let of_kind: Vec<usize> =
        (0..record.requests.len()).filter(|job| record.requests[*job].kind == kind).collect();
    let timeliness =
        |record: &Record, job: usize| Timeliness::of(&record.requests[job], record.endings[job]);
    let count = |wanted: Timeliness| {
        of_kind.iter().filter(|job| timeliness(record, **job) == wanted).count()
    };
    let is_of_use =
        |job: usize| matches!(timeliness(unrefused, job), Timeliness::InTime | Timeliness::Late);
    let refused = of_kind.iter().filter(|job| timeliness(record, **job) == Timeliness::Refused);
    let mut by_size = of_kind.clone();
    by_size.sort_by(|a, b| {
        record.requests[*b].work_core_s().total_cmp(&record.requests[*a].work_core_s())
    });
    let mean_core_s = of_kind.iter().map(|job| record.requests[*job].work_core_s()).sum::<f64>()
        / of_kind.len().max(1) as f64;
    let worth = |jobs: &[usize]| {
        let value = |job: &usize| {
            let work_share = record.requests[*job].work_core_s() / mean_core_s;
            (VALUE_BASE + (1.0 - VALUE_BASE) * work_share).min(VALUE_MAX)
        };
        let earned = |job: &usize| match timeliness(record, *job) {
            Timeliness::InTime => value(job),
            Timeliness::Late => value(job) * LATE_VALUE,
            _ => 0.0,
        };
        jobs.iter().map(earned).sum::<f64>() / jobs.iter().map(value).sum::<f64>().max(1e-9)
    };
    let largest = share_of(by_size.len(), LARGEST_SHARE);
    let next = share_of(by_size.len(), LARGEST_SHARE + NEXT_SHARE);
    KindFigures {
        jobs: of_kind.len(),
        in_time: count(Timeliness::InTime),
        late: count(Timeliness::Late),
        too_late: count(Timeliness::TooLate),
        never_done: count(Timeliness::NeverDone),
        refused: count(Timeliness::Refused),
        refused_wrongly: refused.filter(|job| is_of_use(**job)).count(),
        worth: worth(&of_kind),
        worth_of_largest: worth(&by_size[..largest]),
        worth_of_next_fifth: worth(&by_size[largest..next]),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share of a count is a small number that is not negative"
)]
fn share_of(jobs: usize, share: f64) -> usize {
    (jobs as f64 * share).ceil() as usize
}
