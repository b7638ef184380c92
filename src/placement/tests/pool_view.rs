//! Helpers that run placement decisions on a sample state.

use std::collections::{HashMap, HashSet};

use crate::placement::{Approvals, Host, Learned, Plan, Progress, View, plan};
use crate::tasks::tests::sample::Sample;
use crate::tasks::{Incarnation, JobId, UnitId};

/// Time that a stop takes.
pub(super) const STOP_MS: u64 = 400;

/// Memory that all jobs together may take.
pub(super) const JOBS_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// Inputs of a decision apart from the replicated state.
#[derive(Debug, Default)]
pub(super) struct Inputs {
    pub(super) stopping: HashSet<(UnitId, u32)>,
    pub(super) progress: HashMap<(UnitId, u32), Progress>,
    pub(super) avoid: HashSet<(JobId, Incarnation)>,
    pub(super) approvals: Approvals,
    pub(super) reserve_millihosts: u64,
    /// Wall-clock time.
    pub(super) unix_ms: u64,
    pub(super) learned: Learned,
    /// Hosts that are slow for a while.
    pub(super) cold: Vec<String>,
    /// Hosts that take no work.
    pub(super) closed: Vec<String>,
}

pub(super) fn hosts(sample: &Sample, inputs: &Inputs) -> Vec<Host> {
    let upstreams = sample.state.upstreams.values();
    upstreams
        .map(|upstream| {
            let is_closed = inputs.closed.iter().any(|closed| **closed == *upstream.heartbeat.id);
            let is_cold = inputs.cold.iter().any(|cold| **cold == *upstream.heartbeat.id);
            Host { is_cold, ..Host::of(&sample.state, upstream, !is_closed) }
        })
        .collect()
}

pub(super) fn decide(sample: &Sample, inputs: &Inputs) -> Plan {
    let hosts = hosts(sample, inputs);
    plan(&View {
        state: &sample.state,
        hosts: &hosts,
        now_ms: sample.state.now_ms,
        unix_ms: inputs.unix_ms,
        stopping: &inputs.stopping,
        progress: &inputs.progress,
        avoid: &inputs.avoid,
        approvals: &inputs.approvals,
        learned: &inputs.learned,
        reserve_millihosts: inputs.reserve_millihosts,
        stop_ms: STOP_MS,
        weighs_stops: true,
        jobs_max_bytes: JOBS_MAX_BYTES,
    })
}

/// Opens the occurrences that are due, runs a decision and records its starts in the state, which the
/// upstreams carry out.
pub(super) fn decide_and_start(sample: &mut Sample, inputs: &Inputs) -> Plan {
    let openings = decide(sample, inputs).openings;
    sample.apply(crate::tasks::Change::OpenOccurrences { openings });
    let plan = decide(sample, inputs);
    sample.apply(crate::tasks::Change::Start { starts: plan.starts.clone() });
    for start in &plan.starts {
        sample.begin(&start.unit.job);
    }
    plan
}

/// Formats starts as `unit run number: hosts`.
pub(super) fn starts(plan: &Plan) -> Vec<String> {
    let start = |start: &crate::tasks::StartRecord| {
        let hosts: Vec<_> = start.incarnations.iter().map(|incarnation| &*incarnation.id).collect();
        format!("{} run {}: {}", start.unit, start.run, hosts.join(" "))
    };
    plan.starts.iter().map(start).collect()
}
