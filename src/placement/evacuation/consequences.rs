//! What the evacuations cost: guarantees that cannot be kept, and work that has to wait.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::placement::room::tasks_that_fit;
use crate::placement::{Host, View, is_eligible};
use crate::tasks::{Configuration, Heartbeat, JobSpec, Queue, State, StepSpec, Upstream};

/// A guarantee that the upstreams outside the evacuated data centres cannot keep.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct GuaranteeAtRisk {
    pub(crate) organisation: Arc<str>,
    pub(crate) guaranteed_accelerators: u32,
    /// What is left for it when the guarantees that go before it are kept.
    pub(crate) remaining_accelerators: u32,
}

/// What the evacuations cost.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Consequences {
    pub(crate) at_risk: Vec<GuaranteeAtRisk>,
    /// Services all of whose upstreams are in data centres that are being evacuated.
    pub(crate) stopped_services: BTreeSet<Arc<str>>,
}

/// Returns what the evacuations cost, by the registered capacity.
pub(crate) fn consequences(state: &State) -> Consequences {
    let Some(configuration) = &state.configuration else { return Consequences::default() };
    if state.evacuations.active().next().is_none() {
        return Consequences::default();
    }
    let stays = |upstream: &&Upstream| !upstream.heartbeat.draining;
    let (evacuated, others): (Vec<_>, Vec<_>) = state
        .upstreams
        .values()
        .filter(stays)
        .map(|upstream| &upstream.heartbeat)
        .partition(|heartbeat| state.evacuations.is_active(&heartbeat.data_centre));
    let served: BTreeSet<_> = others.iter().map(|heartbeat| &heartbeat.service).collect();
    let stopped = evacuated.iter().map(|heartbeat| &heartbeat.service);
    let stopped_services = stopped.filter(|service| !served.contains(service)).cloned().collect();
    let urgent: BTreeSet<_> = configuration
        .queues
        .iter()
        .filter(|queue| queue.priority == 0)
        .map(|queue| &queue.service)
        .collect();
    let accelerators = |heartbeats: &[&Heartbeat]| -> u32 {
        let of_urgent = heartbeats.iter().filter(|heartbeat| urgent.contains(&heartbeat.service));
        of_urgent.map(|heartbeat| heartbeat.capacity.accelerators).sum()
    };
    let at_risk =
        guarantees_at_risk(configuration, accelerators(&others), accelerators(&evacuated));
    Consequences { at_risk, stopped_services }
}

/// Returns the guarantees that the whole pool could keep and the remaining one cannot. Those of the highest
/// priority, and earlier ones in the configuration, are counted first.
fn guarantees_at_risk(
    configuration: &Configuration,
    mut remaining: u32,
    evacuated: u32,
) -> Vec<GuaranteeAtRisk> {
    let mut all = remaining + evacuated;
    let mut organisations: Vec<_> = configuration.organisations.iter().collect();
    organisations.sort_by_key(|organisation| organisation.priority);
    let mut at_risk = Vec::new();
    for organisation in organisations {
        let guaranteed = organisation.guaranteed.accelerators;
        if guaranteed > remaining && guaranteed <= all {
            at_risk.push(GuaranteeAtRisk {
                organisation: Arc::clone(&organisation.name),
                guaranteed_accelerators: guaranteed,
                remaining_accelerators: remaining,
            });
        }
        remaining = remaining.saturating_sub(guaranteed);
        all = all.saturating_sub(guaranteed);
    }
    at_risk
}

/// Returns why a job cannot run before an evacuation is finished, if this is so: one of its steps would fit
/// on the hosts that are evacuated and not on the others, were these empty.
pub(in crate::placement) fn hindrance(
    view: &View<'_>,
    queue: &Queue,
    spec: &JobSpec,
) -> Option<String> {
    let evacuations = &view.state.evacuations;
    evacuations.active().next()?;
    let stays = |host: &&Host| !evacuations.is_active(&host.data_centre);
    let is_too_large = |step: &StepSpec| {
        let eligible = |host: &&Host| is_eligible(host, step, &queue.service);
        let fits = |host: &Host| {
            let tasks = tasks_that_fit(&step.reserved(), &host.capacity);
            if step.spread_limit == 0 { tasks } else { tasks.min(step.spread_limit) }
        };
        let hosts = view.hosts.iter().filter(stays).filter(eligible);
        hosts.map(|host| u64::from(fits(host))).sum::<u64>() < u64::from(step.unit_size())
    };
    let step = spec.steps.iter().position(is_too_large)?;
    let names: Vec<_> = evacuations.active().map(|(name, _)| &**name).collect();
    Some(format!(
        "step {step} fits on no host of {} outside the data centres that are being evacuated: {}",
        queue.service,
        names.join(", ")
    ))
}
