//! Steps of which no further task fits in the decision that is being made.
//!
//! Under overload thousands of tasks wait, most of them alike. Within one decision free capacity only
//! shrinks, so once one task of a step finds no host, no other task of it is searched for. Otherwise
//! a decision takes so long that capacity which becomes free lies idle until the next one.

use std::collections::HashSet;

use super::order::WaitingUnit;
use crate::tasks::JobId;

/// Steps of which a task has found no host.
#[derive(Debug, Default)]
pub(super) struct FullSteps {
    steps: HashSet<(JobId, u32, u32)>,
}

impl FullSteps {
    /// Returns whether a unit like this one has found no host in this decision.
    pub(super) fn contains(&self, unit: &WaitingUnit<'_>) -> bool {
        is_like_others(unit) && self.steps.contains(&key(unit))
    }

    /// Records that a unit has found no host.
    pub(super) fn insert(&mut self, unit: &WaitingUnit<'_>) {
        if is_like_others(unit) {
            self.steps.insert(key(unit));
        }
    }
}

/// Returns whether the hosts of a unit are the same as those of all other units of its step.
///
/// Those of a task with data in a rack depend on how long it has waited, unless it is a lasting one.
fn is_like_others(unit: &WaitingUnit<'_>) -> bool {
    unit.step.unit_size() == 1 && (unit.step.lasting || unit.step.data_rack.is_none())
}

fn key(unit: &WaitingUnit<'_>) -> (JobId, u32, u32) {
    (unit.id.job.clone(), unit.id.occurrence, unit.id.step)
}
