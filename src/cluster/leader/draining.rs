//! Moves runs from upstreams that drain.

use super::Leader;
use super::hold::LAST_RUNS_MARGIN_MS;
use super::learning::expected_ms;
use super::scheduling::step_of;
use super::session::Session;
use crate::cluster::clock::boot_ms;
use crate::placement::{StopCause, must_move};
use crate::tasks::{Incarnation, UnitId};

impl Leader {
    /// Stops runs that go on elsewhere, just before their upstreams may leave.
    pub(super) fn move_from_draining(&self) {
        for (unit, run) in self.runs_to_move() {
            self.stop_unit(&unit, run, StopCause::Draining);
        }
    }

    fn runs_to_move(&self) -> Vec<(UnitId, u32)> {
        let now_ms = boot_ms();
        let inner = self.replica.lock();
        let term_state = self.term_state();
        let mut runs = Vec::new();
        for (incarnation, remaining_ms) in self.departing(term_state.sessions.values(), now_ms) {
            for key in inner.state.runs_of(incarnation) {
                let (task, run) = &key;
                let Some(step) = step_of(&inner.state, task) else { continue };
                let session = &term_state.sessions[&incarnation.id];
                let Some(job) = inner.state.jobs.get(&task.job) else { continue };
                let expected_ms = expected_ms(&term_state.learned, &inner.state, job, step);
                let left_ms = session.estimated_left_ms(&key, expected_ms, now_ms);
                if !term_state.stopping.contains(&key) && must_move(step, left_ms, remaining_ms) {
                    let unit = if step.gang { 0 } else { task.index };
                    let (job, occurrence, step) = (task.job.clone(), task.occurrence, task.step);
                    runs.push((UnitId { job, occurrence, step, unit }, *run));
                }
            }
        }
        runs
    }

    /// Returns the upstreams that may leave once a run that is stopped now has ended, with the time that
    /// is left.
    fn departing<'a>(
        &self,
        sessions: impl Iterator<Item = &'a Session>,
        now_ms: u64,
    ) -> impl Iterator<Item = (&'a Incarnation, u64)> {
        let stop_ms = self.bounds.stop_timeout_ms + LAST_RUNS_MARGIN_MS;
        sessions.filter_map(move |session| {
            let remaining_ms = session.drain_ends_ms()?.saturating_sub(now_ms);
            (remaining_ms <= stop_ms).then_some((&session.incarnation, remaining_ms))
        })
    }
}
