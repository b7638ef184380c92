//! Waiting jobs, grouped by what they need, so that a failed search is not repeated for each job.

use std::collections::{BTreeMap, BTreeSet};

use super::job::JobSpec;
use super::organisation::Holder;
use crate::names::JobName;

/// What decides whether a job can be placed; jobs of one class are interchangeable for a search.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class {
    /// Organisation whose guaranteed blocks the job may use.
    pub guaranteed: Option<Holder>,
    /// Number of adjacent accelerators.
    pub accelerators: u32,
    /// Whether the job may run on a loan.
    pub reclaimable: bool,
}

impl Class {
    /// Returns the class of a job.
    pub fn of(spec: &JobSpec) -> Self {
        Self {
            guaranteed: spec.holder(),
            accelerators: spec.accelerators,
            reclaimable: spec.is_reclaimable(),
        }
    }
}

/// Place of a job in the queue: guaranteed work first, then the earlier acceptance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn {
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
    classes: BTreeMap<Class, BTreeSet<Turn>>,
    retry: BTreeSet<Class>,
    len: usize,
}

impl Queue {
    /// Adds a job.
    ///
    /// # Panics
    /// Panics if the job is waiting already, because it would be placed twice.
    pub fn push(&mut self, spec: &JobSpec, accepted_ms: u64) {
        let class = Class::of(spec);
        let inserted =
            self.classes.entry(class.clone()).or_default().insert(turn(spec, accepted_ms));
        assert!(inserted, "job {} is in the queue twice", spec.name);
        self.len += 1;
        self.retry.insert(class);
    }

    /// Removes a job; returns false if it was not waiting.
    pub fn remove(&mut self, spec: &JobSpec, accepted_ms: u64) -> bool {
        let class = Class::of(spec);
        let Some(turns) = self.classes.get_mut(&class) else { return false };
        let removed = turns.remove(&turn(spec, accepted_ms));
        if turns.is_empty() {
            self.classes.remove(&class);
        }
        self.len -= usize::from(removed);
        removed
    }

    /// Notes that capacity became available, so that every class is worth a search.
    pub fn retry_all(&mut self) {
        self.retry.extend(self.classes.keys().cloned());
    }

    /// Returns the class worth a search whose first job has the earliest turn.
    pub fn next_class(&mut self) -> Option<Class> {
        let classes = &self.classes;
        self.retry.retain(|class| classes.contains_key(class));
        let first = |class: &&Class| classes[class].first().cloned();
        self.retry.iter().min_by_key(first).cloned()
    }

    /// Notes that a search for the class failed.
    pub fn set_aside(&mut self, class: &Class) {
        self.retry.remove(class);
    }

    /// Returns whether a search is due.
    pub fn has_work(&self) -> bool {
        !self.retry.is_empty()
    }

    /// Returns the first jobs of a class.
    pub fn first_of(&self, class: &Class, limit: usize) -> Vec<JobName> {
        let turns = self.classes.get(class).into_iter().flatten();
        turns.take(limit).map(|turn| turn.job.clone()).collect()
    }

    /// Returns the classes of waiting jobs.
    pub fn classes(&self) -> impl Iterator<Item = (&Class, &BTreeSet<Turn>)> {
        self.classes.iter()
    }

    /// Returns how many waiting jobs have an earlier turn.
    pub fn ahead_of(&self, spec: &JobSpec, accepted_ms: u64) -> usize {
        let turn = turn(spec, accepted_ms);
        self.classes.values().map(|turns| turns.range(..&turn).count()).sum()
    }

    /// Returns how many jobs wait.
    pub const fn len(&self) -> usize {
        self.len
    }
}

fn turn(spec: &JobSpec, accepted_ms: u64) -> Turn {
    Turn { after_guaranteed: !spec.guaranteed, accepted_ms, job: spec.name.clone() }
}
