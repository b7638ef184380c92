//! Reports to operators: the state of the cluster, and of one job.

use super::Leader;
use super::evacuations::explain_evacuations;
use crate::cluster::clock::boot_ms;
use crate::cluster::protocol::{ClusterStatus, MemberStatus};
use crate::quorum::Role;
use crate::tasks::JobId;

impl Leader {
    /// Returns the members of the cluster and what is in force.
    pub(super) fn status(&self) -> ClusterStatus {
        let evacuations = self.evacuations();
        let inner = self.replica.lock();
        let now_ms = boot_ms();
        let own = inner.core.id;
        let progress = match inner.core.role() {
            Role::Leader(leader_state) => leader_state.progress.clone(),
            _ => std::collections::BTreeMap::new(),
        };
        let member = |member: &crate::quorum::Member| {
            let member_progress = progress.get(&member.id);
            let last_index = inner.core.log().last_index();
            let is_own = member.id == own;
            let silent_ms = |last_contact_ms: u64| now_ms.saturating_sub(last_contact_ms);
            MemberStatus {
                id: member.id,
                address: member.address.clone(),
                voter: member.voter,
                matched: if is_own { last_index } else { member_progress.map_or(0, |p| p.matched) },
                silent_ms: if is_own {
                    0
                } else {
                    member_progress.map_or(0, |p| silent_ms(p.last_contact_ms))
                },
            }
        };
        ClusterStatus {
            leader: self.internal_address.clone(),
            term: self.term,
            committed: inner.core.commit_index(),
            members: inner.core.membership().members.iter().map(member).collect(),
            configuration_version: inner.state.configuration_version(),
            limits: inner.state.configuration.as_ref().map(|conf| conf.limits),
            evacuations,
        }
    }

    /// Returns the state of a job, of its units, and what keeps them from running.
    pub(super) fn explain(&self, id: &JobId) -> Vec<String> {
        let inner = self.replica.lock();
        let Some(job) = inner.state.jobs.get(id) else { return vec![format!("{id}: no such job")] };
        let mut lines = vec![format!("{id}: {:?} in queue {}", job.state(), job.queue)];
        if job.spec.repeat.is_some() {
            let (opened, all) = (job.occurrences.next(), job.spec.occurrences());
            lines.push(format!("{id}: {opened} of {all} occurrences were opened so far"));
        }
        lines.extend(self.explain_place(&inner.state, inner.now_ms(), job));
        crate::placement::for_each_unit(job, |unit, state| {
            let upstreams: Vec<_> =
                state.members().iter().map(|member| &*member.incarnation.id).collect();
            lines.push(format!(
                "{unit}: run {}, {} failed, {}",
                state.run,
                state.failures,
                if upstreams.is_empty() { "not running".to_owned() } else { upstreams.join(" ") }
            ));
        });
        lines.extend(explain_evacuations(&inner.state, job, inner.now_ms()));
        lines
    }
}
