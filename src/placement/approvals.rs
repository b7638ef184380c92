//! Approvals of upstreams for steps of queues that have an advising service.
//!
//! The service answers one request at a time and takes time for each upstream in it. A request
//! therefore names few upstreams, those near the step's data and in the emptiest racks first, and
//! answers are kept.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::free_capacity::FreeCapacity;
use super::{Host, View, is_eligible};
use crate::tasks::{Incarnation, JobId, StepSpec, UnitId};

/// Largest number of upstreams in one request.
const REQUEST_UPSTREAMS_MAX: usize = 30;

/// Time before its expiry at which an approval counts as expired.
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

/// Answer of the advising service for one step on one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Verdict {
    Approved { ticket: Arc<str>, expires_ms: u64 },
    Refused,
}

/// Approvals and refusals that the leader has received.
#[derive(Debug, Clone, Default)]
pub(crate) struct Approvals {
    steps: HashMap<StepId, HashMap<Incarnation, Verdict>>,
}

impl Approvals {
    /// Returns the ticket for a step on an upstream, if it is still valid.
    pub(crate) fn ticket(
        &self,
        step: &StepId,
        incarnation: &Incarnation,
        now_ms: u64,
    ) -> Option<Arc<str>> {
        match self.steps.get(step)?.get(incarnation)? {
            Verdict::Approved { ticket, expires_ms } if now_ms + EXPIRY_MARGIN_MS < *expires_ms => {
                Some(Arc::clone(ticket))
            }
            Verdict::Approved { .. } | Verdict::Refused => None,
        }
    }

    /// Records the answer to a request.
    ///
    /// Upstreams that were asked about and not approved are refused for good.
    pub(crate) fn record(
        &mut self,
        step: &StepId,
        asked: &[Incarnation],
        approved: &BTreeMap<Arc<str>, Arc<str>>,
        expires_ms: u64,
    ) {
        let known = self.steps.entry(step.clone()).or_default();
        for incarnation in asked {
            let verdict = approved.get(&incarnation.id).map_or(Verdict::Refused, |ticket| {
                Verdict::Approved { ticket: Arc::clone(ticket), expires_ms }
            });
            known.insert(incarnation.clone(), verdict);
        }
    }

    /// Removes a ticket that an upstream did not accept.
    pub(crate) fn remove(&mut self, step: &StepId, incarnation: &Incarnation) {
        if let Some(known) = self.steps.get_mut(step) {
            known.remove(incarnation);
        }
    }

    /// Keeps the steps for which `keep` returns true.
    pub(crate) fn retain(&mut self, keep: impl Fn(&StepId) -> bool) {
        self.steps.retain(|step, _| keep(step));
    }

    fn is_refused(&self, step: &StepId, incarnation: &Incarnation) -> bool {
        self.steps.get(step).and_then(|known| known.get(incarnation)) == Some(&Verdict::Refused)
    }
}

/// A request to the advising service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ApprovalRequest {
    pub(crate) step: StepId,
    pub(crate) incarnations: Vec<Incarnation>,
    pub(crate) valid_ms: u64,
}

/// Selects the upstreams to request approval for; `None` if all answers are known.
pub(super) fn approval_request(
    view: &View<'_>,
    free: &[FreeCapacity],
    unit: &UnitId,
    (step, service, valid_ms): (&StepSpec, &str, u64),
) -> Option<ApprovalRequest> {
    let id = StepId::of(unit);
    let unanswered = |host: &Host| {
        host.takes_work
            && is_eligible(host, step, service)
            && !view.approvals.is_refused(&id, &host.incarnation)
            && view.approvals.ticket(&id, &host.incarnation, view.now_ms).is_none()
    };
    let mut free_in_rack: HashMap<&str, u64> = HashMap::new();
    for (host, free) in view.hosts.iter().zip(free) {
        *free_in_rack.entry(&host.rack).or_default() += free.weight_millicores();
    }
    let near_data = |host: &Host| step.data_rack.as_ref().is_some_and(|rack| *rack == host.rack);
    let mut incarnations: Vec<_> = view
        .hosts
        .iter()
        .zip(free)
        .filter(|(host, _)| unanswered(host))
        .map(|(host, free)| {
            let rack = free_in_rack.get(&*host.rack).copied().unwrap_or(0);
            (
                !near_data(host),
                std::cmp::Reverse((rack, free.weight_millicores())),
                &host.incarnation,
            )
        })
        .collect();
    incarnations.sort();
    let incarnations: Vec<_> = incarnations
        .into_iter()
        .take(REQUEST_UPSTREAMS_MAX)
        .map(|(.., incarnation)| incarnation.clone())
        .collect();
    (!incarnations.is_empty()).then_some(ApprovalRequest { step: id, incarnations, valid_ms })
}

/// Drops requests for steps that have a pending request already.
pub(crate) fn without_pending(
    requests: Vec<ApprovalRequest>,
    pending: &HashSet<StepId>,
) -> Vec<ApprovalRequest> {
    requests.into_iter().filter(|request| !pending.contains(&request.step)).collect()
}
