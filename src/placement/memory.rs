//! Memory of ended jobs.
//!
//! Load pattern: many large jobs that end soon after each other, as when callers cancel them. Their steps
//! are kept, so that operators can ask what became of them, until others need the memory.

use crate::tasks::{JobId, State};

/// Part of the memory for jobs beyond which the steps of ended ones are dropped.
const KEEP_ENDED_PERCENT: u64 = 50;

/// Returns the ended jobs whose steps are to be dropped, those that ended first.
pub(crate) fn jobs_to_shrink(state: &State, jobs_max_bytes: u64) -> Vec<JobId> {
    let mut held_bytes = state.held_bytes();
    let limit_bytes = jobs_max_bytes * KEEP_ENDED_PERCENT / 100;
    if held_bytes <= limit_bytes {
        return Vec::new();
    }
    let mut ended: Vec<_> = state.jobs.values().filter(|job| job.has_droppable_steps()).collect();
    ended.sort_by_key(|job| job.ended_ms);
    let mut jobs = Vec::new();
    for job in ended {
        if held_bytes <= limit_bytes {
            break;
        }
        held_bytes -= job.held_bytes();
        jobs.push(job.id.clone());
    }
    jobs
}
