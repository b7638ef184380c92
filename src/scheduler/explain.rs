//! Explanations of a job's state for its caller.

use serde::Serialize;

use super::gang::{GangPhase, StopReason};
use super::job::{Job, JobState};
use super::rack::CapacityView;
use super::{GangId, Scheduler};
use crate::names::{JobName, OrganisationName, UpstreamName};

/// State of a job and the reasons for it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Explanation {
    /// Job that is explained.
    pub job: JobName,
    /// State of the job.
    pub state: JobState,
    /// Stage of the job's gang, if it has one.
    pub stage: Option<&'static str>,
    /// Upstreams of the job's gang.
    pub upstreams: Vec<UpstreamName>,
    /// Why the job waits.
    pub waits_because: Option<String>,
    /// What would let it start.
    pub would_start_if: Option<String>,
    /// Duration of the current wait.
    pub waiting_ms: u64,
    /// Organisations whose guaranteed capacity the gang uses on loan.
    pub borrowed_from: Vec<OrganisationName>,
    /// Why the job's latest gang was stopped.
    pub stopped_because: Option<String>,
    /// Run time expected from the declaration and from earlier work of the same kind.
    pub expected_run_ms: Option<u64>,
    /// Share of its accelerators that earlier work of the same kind used.
    pub expected_use: Option<f64>,
}

impl Scheduler {
    /// Explains the state of a job.
    #[must_use]
    pub fn explain(&self, name: &JobName, now_ms: u64) -> Option<Explanation> {
        let job = self.jobs.get(name)?;
        let mut explanation = Explanation {
            job: name.clone(),
            state: job.state.clone(),
            stage: None,
            upstreams: Vec::new(),
            waits_because: None,
            would_start_if: None,
            waiting_ms: 0,
            borrowed_from: Vec::new(),
            stopped_because: job.last_stop.as_ref().map(StopReason::to_string),
            expected_run_ms: self.expected_run_ms(&job.spec),
            expected_use: self.learned.size_ratio(&job.spec),
        };
        match job.state {
            JobState::Waiting => self.explain_wait(job, now_ms, &mut explanation),
            JobState::Placed(gang) => self.explain_gang(gang, &mut explanation),
            JobState::Ended(_) => {}
        }
        Some(explanation)
    }

    fn explain_wait(&self, job: &Job, now_ms: u64, explanation: &mut Explanation) {
        let n = job.spec.accelerators;
        if let Some(claim) = self.claims.get(&job.spec.name) {
            let borrowers = self.gangs_in(&claim.block);
            let jobs = borrowers.iter().filter_map(|id| Some(self.gangs.get(id)?.job.to_string()));
            let jobs = jobs.collect::<Vec<_>>().join(", ");
            explanation.waiting_ms = now_ms.saturating_sub(job.waiting_since_ms);
            explanation.waits_because =
                Some(format!("its guaranteed block is reclaimed from {jobs}"));
            explanation.would_start_if = Some(format!("{jobs} stopped"));
            return;
        }
        let ahead = self.queue.ahead_of(&job.spec, job.accepted_ms);
        let largest = self.pool.largest_block(CapacityView::FreeUnreserved);
        explanation.waiting_ms = now_ms.saturating_sub(job.waiting_since_ms);
        let reason = if largest >= n && !job.failed_on.is_empty() {
            format!("it failed on {} upstreams, and no other has room", job.failed_on.len())
        } else if let Some(risk) = self.own_risk(&job.spec) {
            format!("its guaranteed block is at risk: {risk}")
        } else if largest >= n {
            format!("{ahead} jobs are ahead of it")
        } else {
            format!("no {n} adjacent accelerators are free; the largest free block has {largest}")
        };
        explanation.waits_because = Some(reason);
        let start = if let Some(drain) = self.drains.get(&job.spec.name) {
            let first = &self.pool.upstream(drain.block[0].0).name;
            format!("the block drained for it at upstream {first} becomes free")
        } else {
            format!(
                "{n} adjacent accelerators of one rack become free after {ahead} jobs ahead of it"
            )
        };
        explanation.would_start_if = Some(start);
    }

    /// Returns why none of the guaranteed blocks that could hold a job can be provided, if so.
    fn own_risk(&self, spec: &super::JobSpec) -> Option<String> {
        let holder = spec.holder()?;
        let guarantees = self.organisations.guarantees_of(&holder);
        let guarantees: Vec<_> =
            guarantees.filter(|(_, c)| c.accelerators >= spec.accelerators).collect();
        let all_at_risk = guarantees.iter().all(|(_, guarantee)| guarantee.risk.is_some());
        if all_at_risk { guarantees.first()?.1.risk.clone() } else { None }
    }

    fn explain_gang(&self, id: GangId, explanation: &mut Explanation) {
        let Some(gang) = self.gangs.get(&id) else { return };
        explanation.stage = Some(match gang.phase {
            GangPhase::Staging => "staging",
            GangPhase::Committing => "committing",
            GangPhase::Running => "running",
            GangPhase::Confirming => "confirming after a restart",
            GangPhase::Stopping => "stopping",
        });
        let upstreams = gang.members.iter().map(|m| self.pool.upstream(m.upstream).name.clone());
        explanation.upstreams = upstreams.collect();
        explanation.borrowed_from = self.lenders(id);
        if let Some(reason) = &gang.stop_reason {
            explanation.stopped_because = Some(reason.to_string());
        }
    }
}
