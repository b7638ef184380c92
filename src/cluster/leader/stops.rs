//! Orders to stop whole runs, counted by cause together with the work that they discard.

use super::scheduling::step_of;
use super::{Leader, TaskRun};
use crate::cluster::clock::boot_ms;
use crate::placement::StopCause;
use crate::tasks::{Incarnation, UnitId};

impl Leader {
    /// Orders all tasks of a run to stop.
    pub(super) fn stop_unit(&self, unit: &UnitId, run: u32, cause: StopCause) {
        let members = self.open_members(unit, run);
        self.count_stop(unit, run, &members, cause);
        for (member_index, incarnation) in members {
            self.order_stop(&incarnation, unit.task(member_index), run, &cause.to_string());
        }
    }

    /// Orders the other members of a gang to stop.
    pub(super) fn stop_others(&self, unit: &UnitId, run: u32, member_index: u32) {
        let mut others = self.open_members(unit, run);
        others.retain(|(other, _)| *other != member_index);
        self.count_stop(unit, run, &others, StopCause::GangBroken);
        for (other, incarnation) in others {
            let cause = StopCause::GangBroken.to_string();
            self.order_stop(&incarnation, unit.task(other), run, &cause);
        }
    }

    /// Returns the members of a run that may be running, with their index.
    fn open_members(&self, unit: &UnitId, run: u32) -> Vec<(u32, Incarnation)> {
        let inner = self.replica.lock();
        let job = inner.state.jobs.get(&unit.job);
        let Some(state) = job.and_then(|job| job.unit(unit.occurrence, unit.step, unit.unit))
        else {
            return Vec::new();
        };
        let open = (0_u32..).zip(state.members()).filter(|(_, member)| member.end.is_none());
        let members = open.map(|(member_index, member)| (member_index, member.incarnation.clone()));
        if state.run == run { members.collect() } else { Vec::new() }
    }

    /// Counts the tasks that are stopped now and the work that they have not saved.
    fn count_stop(
        &self,
        unit: &UnitId,
        run: u32,
        members: &[(u32, Incarnation)],
        cause: StopCause,
    ) {
        let now_ms = boot_ms();
        let (mut tasks, mut discarded_ms) = (0, 0);
        {
            let inner = self.replica.lock();
            let term_state = self.term_state();
            for (member_index, incarnation) in members {
                let key: TaskRun = (unit.task(*member_index), run);
                let Some(step) = step_of(&inner.state, &key.0) else { continue };
                if term_state.stopping.contains(&key) {
                    continue;
                }
                let session = term_state.sessions.get(&incarnation.id);
                let observed = session.and_then(|session| session.runs.get(&key.0));
                let unsaved_ms = observed.filter(|observed| observed.run == run).map(|observed| {
                    let saved = step.checkpoints;
                    let since_ms = if saved { observed.saved_ms } else { observed.first_listed_ms };
                    now_ms.saturating_sub(since_ms)
                });
                tasks += 1;
                discarded_ms += unsaved_ms.unwrap_or(0) * step.need.weight_millicores() / 1_000;
            }
        }
        self.replica.metrics.tasks_stopped(cause.name(), tasks, discarded_ms);
    }
}
