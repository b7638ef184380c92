//! Waiting jobs, grouped by their requirements, so that a failed search is not repeated per job.

use std::collections::{BTreeMap, BTreeSet};

use super::job::JobSpec;
use super::organisation::GuaranteeHolder;
use crate::names::JobName;

/// Requirements that decide whether a job can be placed; jobs of a class share a search result.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlacementClass {
    /// Organisation whose guaranteed blocks the job may use.
    pub guaranteed: Option<GuaranteeHolder>,
    /// Number of adjacent accelerators.
    pub accelerators: u32,
    /// Whether the job may run on a loan.
    pub reclaimable: bool,
}

impl PlacementClass {
    /// Returns the class of a job.
    pub fn of(spec: &JobSpec) -> Self {
        Self {
            guaranteed: spec.holder(),
            accelerators: spec.accelerators,
            reclaimable: spec.is_reclaimable(),
        }
    }
}

/// A waiting job, in queue order: guaranteed work first, then the earlier acceptance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueEntry {
    /// False for guaranteed work, which goes first.
    pub after_guaranteed: bool,
    /// Time of acceptance.
    pub accepted_ms: u64,
    /// Job that waits.
    pub job: JobName,
}

/// The waiting jobs of a data centre.
#[derive(Debug, Default)]
pub struct Queue {
    classes: BTreeMap<PlacementClass, BTreeSet<QueueEntry>>,
    /// Classes marked for a search.
    retry: BTreeSet<PlacementClass>,
    len: usize,
}

impl Queue {
    /// Adds a job.
    ///
    /// # Panics
    /// Panics if the job is waiting already, because it would be placed twice.
    pub fn push(&mut self, spec: &JobSpec, accepted_ms: u64) {
        let class = PlacementClass::of(spec);
        let inserted =
            self.classes.entry(class.clone()).or_default().insert(entry(spec, accepted_ms));
        assert!(inserted, "job {} is in the queue twice", spec.name);
        self.len += 1;
        self.retry.insert(class);
    }

    /// Removes a job and returns whether it was in the queue.
    pub fn remove(&mut self, spec: &JobSpec, accepted_ms: u64) -> bool {
        let class = PlacementClass::of(spec);
        let Some(entries) = self.classes.get_mut(&class) else { return false };
        let removed = entries.remove(&entry(spec, accepted_ms));
        if entries.is_empty() {
            self.classes.remove(&class);
        }
        self.len -= usize::from(removed);
        removed
    }

    /// Marks every class for a search, because capacity became available.
    pub fn retry_all(&mut self) {
        self.retry.extend(self.classes.keys().cloned());
    }

    /// Returns the class marked for a search whose first job is the earliest in queue order.
    pub fn next_class(&mut self) -> Option<PlacementClass> {
        let classes = &self.classes;
        self.retry.retain(|class| classes.contains_key(class));
        let first = |class: &&PlacementClass| classes[class].first().cloned();
        self.retry.iter().min_by_key(first).cloned()
    }

    /// Clears the mark of a class whose search failed.
    pub fn clear_retry(&mut self, class: &PlacementClass) {
        self.retry.remove(class);
    }

    /// Returns whether any class is marked for a search.
    pub fn is_search_due(&self) -> bool {
        !self.retry.is_empty()
    }

    /// Returns the first jobs of a class.
    pub fn first_of(&self, class: &PlacementClass, limit: usize) -> Vec<JobName> {
        let entries = self.classes.get(class).into_iter().flatten();
        entries.take(limit).map(|entry| entry.job.clone()).collect()
    }

    /// Returns the classes of waiting jobs.
    pub fn classes(&self) -> impl Iterator<Item = (&PlacementClass, &BTreeSet<QueueEntry>)> {
        self.classes.iter()
    }

    /// Returns how many waiting jobs come before this one.
    pub fn ahead_of(&self, spec: &JobSpec, accepted_ms: u64) -> usize {
        let entry = entry(spec, accepted_ms);
        self.classes.values().map(|entries| entries.range(..&entry).count()).sum()
    }

    /// Returns the number of waiting jobs.
    pub const fn len(&self) -> usize {
        self.len
    }
}

fn entry(spec: &JobSpec, accepted_ms: u64) -> QueueEntry {
    QueueEntry { after_guaranteed: !spec.guaranteed, accepted_ms, job: spec.name.clone() }
}
