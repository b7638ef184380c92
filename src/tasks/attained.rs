//! Service that organisations have attained: resources in use, and a decaying history of them.
//!
//! Load pattern: runs last a few seconds, so what an organisation uses at one moment says little about
//! its share of the last minute. The history is part of the replicated state and changes only with the
//! runs recorded there, so a new leader continues with it and nothing is written for it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::job::Job;
use super::spec::Resources;
use super::state::State;

/// Time in which the history decays to about a third. Several run times of a task, so that the history
/// outlives single runs, and within the time for which most results are of use.
pub(crate) const ATTAINED_DECAY_MS: u64 = 15_000;

/// Longest step of the decay; the result does not depend on floating-point arithmetic, which may
/// differ between hosts.
const DECAY_STEP_MS: u64 = 1_000;

/// Time without change after which nothing of the former history is left.
const DECAY_MAX_MS: u64 = 8 * ATTAINED_DECAY_MS;

/// Processors and accelerators, or either multiplied by milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Usage {
    pub(crate) cpu_millicores: u64,
    pub(crate) accelerators: u64,
}

impl Usage {
    pub(crate) fn of(need: &Resources) -> Self {
        Self { cpu_millicores: need.cpu_millicores.into(), accelerators: need.accelerators.into() }
    }

    pub(crate) fn add(&mut self, more: Self) {
        self.cpu_millicores = self.cpu_millicores.saturating_add(more.cpu_millicores);
        self.accelerators = self.accelerators.saturating_add(more.accelerators);
    }

    pub(crate) fn subtract(&mut self, less: Self) {
        self.cpu_millicores = self.cpu_millicores.saturating_sub(less.cpu_millicores);
        self.accelerators = self.accelerators.saturating_sub(less.accelerators);
    }

    pub(crate) fn times(self, factor: u64) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_mul(factor),
            accelerators: self.accelerators.saturating_mul(factor),
        }
    }

    fn divided_by(self, divisor: u64) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores / divisor,
            accelerators: self.accelerators / divisor,
        }
    }
}

/// Whose service is counted: organisation (empty for public queues), service, and whether the
/// queues have priority 0, which guarantees apply to.
pub(crate) type Account = (Arc<str>, Arc<str>, bool);

/// Service that one account has attained.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Attained {
    /// Resources of the tasks that may be running; derived from the jobs.
    #[serde(skip)]
    pub(crate) in_use: Usage,
    /// Usage multiplied by milliseconds, decaying.
    history: Usage,
    /// Time up to which the history is computed.
    until_ms: u64,
}

impl Attained {
    /// Returns usage multiplied by milliseconds, decaying, at a time.
    pub(crate) fn history_at(&self, now_ms: u64) -> Usage {
        let mut history = self.history;
        let mut left_ms = now_ms.saturating_sub(self.until_ms).min(DECAY_MAX_MS);
        while left_ms > 0 {
            let step_ms = left_ms.min(DECAY_STEP_MS);
            history.subtract(history.times(step_ms).divided_by(ATTAINED_DECAY_MS));
            history.add(self.in_use.times(step_ms));
            left_ms -= step_ms;
        }
        history
    }

    fn advance(&mut self, now_ms: u64) {
        self.history = self.history_at(now_ms);
        self.until_ms = now_ms;
    }
}

impl State {
    /// Counts tasks of a job's step that start.
    pub(super) fn add_usage(&mut self, account: Account, usage: Usage) {
        let now_ms = self.now_ms;
        let fresh = Attained { until_ms: now_ms, ..Attained::default() };
        let attained = self.attained.entry(account).or_insert(fresh);
        attained.advance(now_ms);
        attained.in_use.add(usage);
    }

    /// Counts tasks of a job's step that end.
    pub(super) fn subtract_usage(&mut self, account: &Account, usage: Usage) {
        if let Some(attained) = self.attained.get_mut(account) {
            attained.advance(self.now_ms);
            attained.in_use.subtract(usage);
        }
    }

    /// Returns the account of a job's tasks; `None` if its queue was never configured.
    pub(super) fn account_of(&self, job: &Job) -> Option<Account> {
        let queue = self.queue_of(job)?;
        let organisation = job.organisation.clone().unwrap_or_default();
        Some((organisation, Arc::clone(&queue.service), queue.priority == 0))
    }

    /// Computes the usage anew after decoding; the history is part of the encoding.
    pub(super) fn rebuild_usage(&mut self) {
        for (account, usage) in self.usage_by_account() {
            self.attained.entry(account).or_default().in_use = usage;
        }
    }

    /// Counts the usage anew under a new configuration, and drops accounts of organisations that are
    /// neither configured nor have open jobs, so that the number of accounts is bounded.
    pub(super) fn recount_usage(&mut self) {
        let mut by_account = self.usage_by_account();
        let now_ms = self.now_ms;
        for (account, attained) in &mut self.attained {
            attained.advance(now_ms);
            attained.in_use = by_account.remove(account).unwrap_or_default();
        }
        for (account, usage) in by_account {
            self.add_usage(account, usage);
        }
        let configured = self.configuration.iter().flat_map(|conf| &conf.organisations);
        let open = self.jobs.values().filter(|job| job.outcome.is_none());
        let known: BTreeSet<Arc<str>> = configured
            .map(|organisation| Arc::clone(&organisation.name))
            .chain(open.map(|job| job.organisation.clone().unwrap_or_default()))
            .collect();
        self.attained.retain(|(organisation, ..), attained| {
            attained.in_use != Usage::default() || known.contains(organisation)
        });
    }

    fn usage_by_account(&self) -> BTreeMap<Account, Usage> {
        let mut by_account: BTreeMap<Account, Usage> = BTreeMap::new();
        self.for_each_running(|task, _, _| {
            let Some(job) = self.jobs.get(&task.job) else { return };
            let Some(account) = self.account_of(job) else { return };
            let need = Usage::of(&job.spec.steps[task.step as usize].reserved());
            by_account.entry(account).or_default().add(need);
        });
        by_account
    }
}
