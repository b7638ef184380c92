//! The occurrences of a job that are open.
//!
//! A job that repeats every quarter of an hour for a year has thousands of occurrences. One is opened
//! shortly before it is due and closed once it is done, so that the others take no memory.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::job::{Phase, Step, Unit};
use super::spec::JobSpec;

/// Occurrences of a job.
///
/// Encoded as a list of all occurrences that were ever open, in which those that are closed have no
/// steps. This is also how earlier builds encoded them, which opened all of them at once.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Occurrences {
    open: BTreeMap<u32, Vec<Step>>,
    /// Number of the first occurrence that was never open.
    next: u32,
    /// Number of units in the open occurrences.
    units: u64,
}

impl Occurrences {
    /// Opens the occurrences before `until` that were never open.
    pub(super) fn open_until(&mut self, until: u32, spec: &JobSpec, now_ms: u64) {
        for occurrence in self.next..until.min(spec.occurrences()) {
            let steps: Vec<_> = spec.steps.iter().map(|step| Step::new(step, now_ms)).collect();
            self.units += units_of(&steps);
            self.open.insert(occurrence, steps);
            self.next = occurrence + 1;
        }
    }

    /// Closes an occurrence if it is done and none of its runs may exist.
    pub(super) fn close_if_done(&mut self, occurrence: u32) {
        if self.open.get(&occurrence).is_some_and(|steps| is_over(steps)) {
            let steps = self.open.remove(&occurrence).unwrap_or_default();
            self.units -= units_of(&steps);
        }
    }

    /// Closes all occurrences.
    pub(super) fn close_all(&mut self) {
        self.open.clear();
        self.units = 0;
    }

    /// Returns the number of the first occurrence that was never open.
    pub(crate) fn next(&self) -> u32 {
        self.next
    }

    /// Returns the number of units in the open occurrences.
    pub(crate) fn units(&self) -> u64 {
        self.units
    }

    /// Returns whether all steps of the open occurrences are done.
    pub(super) fn are_done(&self) -> bool {
        self.open.values().flatten().all(|step| step.open_units == 0)
    }

    /// Returns the steps of an open occurrence.
    pub(crate) fn get(&self, occurrence: u32) -> Option<&[Step]> {
        self.open.get(&occurrence).map(Vec::as_slice)
    }

    pub(super) fn get_mut(&mut self, occurrence: u32) -> Option<&mut [Step]> {
        self.open.get_mut(&occurrence).map(Vec::as_mut_slice)
    }

    /// Returns the open occurrences and their steps.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u32, &[Step])> {
        self.open.iter().map(|(occurrence, steps)| (*occurrence, steps.as_slice()))
    }

    /// Returns the units of the open occurrences.
    pub(super) fn all_units(&self) -> impl Iterator<Item = &Unit> {
        self.open.values().flatten().flat_map(|step| &step.units)
    }
}

fn units_of(steps: &[Step]) -> u64 {
    steps.iter().map(|step| step.units.len() as u64).sum()
}

/// Returns whether all units of an occurrence are done and none of their runs may exist.
fn is_over(steps: &[Step]) -> bool {
    let is_done = |step: &Step| step.open_units == 0;
    let has_no_run = |step: &Step| step.units.iter().all(|unit| unit.phase == Phase::Done);
    steps.iter().all(is_done) && steps.iter().all(has_no_run)
}

impl Serialize for Occurrences {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq((0..self.next).map(|number| self.get(number).unwrap_or_default()))
    }
}

impl<'de> Deserialize<'de> for Occurrences {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let all: Vec<Vec<Step>> = Vec::deserialize(deserializer)?;
        let next = u32::try_from(all.len()).map_err(serde::de::Error::custom)?;
        let numbered = (0..next).zip(all);
        let open: BTreeMap<_, _> = numbered.filter(|(_, steps)| !steps.is_empty()).collect();
        let units = open.values().map(|steps| units_of(steps)).sum();
        Ok(Self { open, next, units })
    }
}
