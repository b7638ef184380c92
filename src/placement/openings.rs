//! Opening of the occurrences of repeated jobs.
//!
//! Load pattern: many jobs that repeat for a year, or at short intervals while the pool is full. Only
//! occurrences that could start take memory, and all together no more than jobs may take.

use super::View;
use crate::tasks::{Job, Opening, Repeat, Unit};

/// Time before it is due at which an occurrence is opened, so that it can start on time.
const OPEN_AHEAD_MS: u64 = 1_000;

/// Number of open occurrences of a job that have not begun, beyond which no more are opened: if these
/// find no room, later ones do not either.
const NOT_BEGUN_MAX: usize = 16;

/// Returns the occurrences that are to be opened, those of jobs that were due earlier first.
pub(super) fn due_openings(view: &View<'_>) -> Vec<Opening> {
    let mut due: Vec<_> = view
        .state
        .jobs
        .values()
        .filter(|job| job.outcome.is_none())
        .filter_map(|job| Some((job, due_until(job, view.unix_ms)?)))
        .collect();
    if due.is_empty() {
        return Vec::new();
    }
    due.sort_by_key(|(job, _)| job.spec.due_unix_ms(job.occurrences.next()));
    let mut free_bytes = view.jobs_max_bytes.saturating_sub(view.state.held_bytes());
    due.into_iter().filter_map(|(job, until)| opening(job, until, &mut free_bytes)).collect()
}

/// Opens as many of a job's due occurrences as there is need and memory for.
fn opening(job: &Job, due_until: u32, free_bytes: &mut u64) -> Option<Opening> {
    let occurrence_bytes = job.spec.occurrence_bytes();
    let mut not_begun = count_not_begun(job);
    let first = job.occurrences.next();
    let mut until = first;
    while until < due_until && not_begun < NOT_BEGUN_MAX && occurrence_bytes <= *free_bytes {
        *free_bytes -= occurrence_bytes;
        not_begun += 1;
        until += 1;
    }
    (until > first).then(|| Opening { job: job.id.clone(), until })
}

/// Returns the number of occurrences that are due or about to be, if some of them are not open.
fn due_until(job: &Job, unix_ms: u64) -> Option<u32> {
    let Repeat { first_unix_ms, interval_ms, .. } = job.spec.repeat?;
    let since_first_ms = (unix_ms + OPEN_AHEAD_MS).checked_sub(first_unix_ms)?;
    let later = since_first_ms.checked_div(interval_ms).unwrap_or(u64::MAX);
    let due = u32::try_from(later.saturating_add(1)).unwrap_or(u32::MAX);
    let until = due.min(job.spec.occurrences());
    (until > job.occurrences.next()).then_some(until)
}

fn count_not_begun(job: &Job) -> usize {
    let has_begun = |unit: &Unit| unit.run > 0;
    let occurrences = job.occurrences.iter().map(|(_, steps)| steps);
    let not_begun =
        occurrences.filter(|steps| !steps.iter().flat_map(|step| &step.units).any(has_begun));
    not_begun.count()
}
