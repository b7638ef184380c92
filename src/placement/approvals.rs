//! Approvals of upstreams for steps whose queue asks an advising service.
//!
//! Load: each question takes time for every upstream in it, and one at a time is answered. So few
//! upstreams are asked about, those with the most room first, and answers are kept.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::{Host, View, is_eligible};
use crate::tasks::{JobId, Life, StepSpec, UnitId};

/// Most upstreams in one question.
const QUESTION_MAX: usize = 30;

/// Time before its end at which an approval counts as over, in milliseconds.
const EXPIRY_MARGIN_MS: u64 = 400;

/// One step of one occurrence of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
#[display("{job}.{occurrence}.{step}")]
pub(crate) struct StepId {
    pub(crate) job: JobId,
    pub(crate) occurrence: u32,
    pub(crate) step: u32,
}

impl StepId {
    pub(crate) fn of(unit: &UnitId) -> Self {
        Self { job: unit.job.clone(), occurrence: unit.occurrence, step: unit.step }
    }
}

/// What is known of one upstream for one step.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Verdict {
    Approved { ticket: Arc<str>, until_ms: u64 },
    Refused,
}

/// All approvals that the leader has received.
#[derive(Debug, Clone, Default)]
pub(crate) struct Approvals {
    steps: HashMap<StepId, HashMap<Life, Verdict>>,
}

impl Approvals {
    /// Returns the ticket for a step on an upstream, if it is still valid.
    pub(crate) fn ticket(&self, step: &StepId, life: &Life, now_ms: u64) -> Option<Arc<str>> {
        match self.steps.get(step)?.get(life)? {
            Verdict::Approved { ticket, until_ms } if now_ms + EXPIRY_MARGIN_MS < *until_ms => {
                Some(Arc::clone(ticket))
            }
            Verdict::Approved { .. } | Verdict::Refused => None,
        }
    }

    /// Notes the answer to a question; upstreams that are not approved were refused for good.
    pub(crate) fn note(
        &mut self,
        step: &StepId,
        asked: &[Life],
        approved: &BTreeMap<Arc<str>, Arc<str>>,
        until_ms: u64,
    ) {
        let known = self.steps.entry(step.clone()).or_default();
        for life in asked {
            let verdict = approved.get(&life.id).map_or(Verdict::Refused, |ticket| {
                Verdict::Approved { ticket: Arc::clone(ticket), until_ms }
            });
            known.insert(life.clone(), verdict);
        }
    }

    /// Forgets a ticket that an upstream did not accept.
    pub(crate) fn forget(&mut self, step: &StepId, life: &Life) {
        if let Some(known) = self.steps.get_mut(step) {
            known.remove(life);
        }
    }

    /// Keeps only the steps for which this holds.
    pub(crate) fn retain(&mut self, keep: impl Fn(&StepId) -> bool) {
        self.steps.retain(|step, _| keep(step));
    }

    fn is_refused(&self, step: &StepId, life: &Life) -> bool {
        self.steps.get(step).and_then(|known| known.get(life)) == Some(&Verdict::Refused)
    }
}

/// A question to the advising service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Question {
    pub(crate) step: StepId,
    pub(crate) lives: Vec<Life>,
    pub(crate) valid_ms: u64,
}

/// Chooses the upstreams to ask about for a step; `None` if all answers are known.
pub(super) fn question(
    view: &View<'_>,
    free: &[crate::tasks::Resources],
    unit: &UnitId,
    (step, service, valid_ms): (&StepSpec, &str, u64),
) -> Option<Question> {
    let id = StepId::of(unit);
    let open = |host: &Host| {
        host.takes_work
            && is_eligible(host, step, service)
            && !view.approvals.is_refused(&id, &host.life)
            && view.approvals.ticket(&id, &host.life, view.now_ms).is_none()
    };
    let mut in_rack: HashMap<&str, u64> = HashMap::new();
    for (host, free) in view.hosts.iter().zip(free) {
        *in_rack.entry(&host.rack).or_default() += free.weight();
    }
    let near = |host: &Host| step.data_rack.as_ref().is_some_and(|rack| *rack == host.rack);
    let mut lives: Vec<_> = view
        .hosts
        .iter()
        .zip(free)
        .filter(|(host, _)| open(host))
        .map(|(host, free)| {
            let rack = in_rack.get(&*host.rack).copied().unwrap_or(0);
            (!near(host), std::cmp::Reverse((rack, free.weight())), &host.life)
        })
        .collect();
    lives.sort();
    let lives: Vec<_> =
        lives.into_iter().take(QUESTION_MAX).map(|(.., life)| life.clone()).collect();
    (!lives.is_empty()).then_some(Question { step: id, lives, valid_ms })
}

/// Drops questions about steps that are asked about already.
pub(crate) fn without_asked(questions: Vec<Question>, asked: &HashSet<StepId>) -> Vec<Question> {
    questions.into_iter().filter(|question| !asked.contains(&question.step)).collect()
}
