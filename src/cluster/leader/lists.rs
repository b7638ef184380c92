//! Reconciles the lists of an upstream with the state: ends, runs that are not listed, unknown runs.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tracing::{info, warn};

use super::hold::{NextStep, RETRY_PAUSE};
use super::scheduling::is_running;
use super::unlisted::{self, Unlisted};
use super::{Leader, TaskRun};
use crate::cluster::clock::boot_ms;
use crate::cluster::upstream_calls::{ListedEnd, TaskLists};
use crate::tasks::{Change, EndKind, EndRecord, Incarnation, Phase, State, TaskId};

/// Pause between reads of the lists of a leaving upstream, until it no longer answers.
const LEAVING_PAUSE: Duration = Duration::from_millis(100);

impl Leader {
    /// Records the ends that the lists show and stops runs that the state does not know.
    pub(super) async fn process_lists(
        &self,
        incarnation: &Incarnation,
        lists: &TaskLists,
        sent_ms: u64,
    ) -> NextStep {
        if lists.born_unix_ms.is_some_and(|born| born != incarnation.born_unix_ms) {
            // Its next heartbeat registers the new incarnation, which ends the runs of this one.
            self.record_successor(incarnation);
            return NextStep::Pause(RETRY_PAUSE);
        }
        let now_ms = boot_ms();
        let (answered_orders, coverage, newly_reachable) = {
            let mut term_state = self.term_state();
            let Some(session) = term_state.sessions.get_mut(&incarnation.id) else {
                return NextStep::End;
            };
            let newly = !session.is_reachable(now_ms);
            session.record_contact(lists.clock_ms, now_ms);
            session.record_lists(lists, now_ms);
            if session.record_unreadable(lists.unreadable) {
                warn!(
                    upstream = %incarnation.id, entries = lists.unreadable,
                    "lists of an upstream have unreadable entries, which are skipped"
                );
            }
            (session.answered_orders.clone(), session.coverage(lists, now_ms), newly)
        };
        if newly_reachable {
            let running = lists.running.len();
            info!(
                upstream = %incarnation.id, running, ended = lists.ended.len(),
                "upstream in touch"
            );
            self.reach_list_steps();
            self.wake.notify_one();
        }
        let mut ends = self.listed_ends(incarnation, lists);
        let verdict = |key: &TaskRun| {
            let answered = answered_orders.get(key).copied();
            unlisted::judge(answered, coverage, sent_ms, self.bounds.stop_timeout_ms)
        };
        ends.extend(self.runs_not_started(incarnation, lists, verdict));
        self.stop_unknown(incarnation, lists);
        for run in &lists.running {
            self.note_begun(&run.task.job);
        }
        let next = if self.is_leaving(incarnation) {
            NextStep::Pause(LEAVING_PAUSE)
        } else {
            NextStep::Again
        };
        let up_to = lists.ended.iter().map(|end| end.number).max().unwrap_or(0);
        if ends.is_empty() && up_to <= self.ends_seen(incarnation) {
            return next;
        }
        for end in &ends {
            self.replica.metrics.run_ended(end_kind_name(end.how));
        }
        log_ends(incarnation, &ends);
        let change = Change::RecordEnds { incarnation: incarnation.clone(), up_to, ends };
        match self.replica.propose(change).await {
            Ok(()) => next,
            Err(_) => NextStep::Pause(RETRY_PAUSE),
        }
    }

    /// Returns the number of the upstream's latest end that is committed.
    fn ends_seen(&self, incarnation: &Incarnation) -> u64 {
        let inner = self.replica.lock();
        inner.state.upstreams.get(&incarnation.id).map_or(0, |upstream| upstream.ends_seen)
    }

    /// Returns the listed ends that are not in the state and judges the upstream by their outcomes.
    fn listed_ends(&self, incarnation: &Incarnation, lists: &TaskLists) -> Vec<EndRecord> {
        let now_ms = boot_ms();
        let mut ends = Vec::new();
        for end in &lists.ended {
            if !is_news(&self.replica.lock().state, end) {
                continue;
            }
            let succeeded = match end.how {
                EndKind::Done => Some(true),
                EndKind::Failed => Some(false),
                _ => None,
            };
            if let Some(succeeded) = succeeded
                && let Some(session) = self.term_state().sessions.get_mut(&incarnation.id)
                && let Some(pause_ms) =
                    session.record_outcome(end.task.job.clone(), succeeded, now_ms)
            {
                self.replica.metrics.upstream_set_aside();
                warn!(
                    upstream = %incarnation.id, pause_ms,
                    "upstream fails its runs and is set aside"
                );
            }
            ends.push(EndRecord {
                task: end.task.clone(),
                run: end.run,
                how: end.how,
                checkpoint: Some(Arc::clone(&end.checkpoint)),
            });
        }
        ends
    }

    /// Returns the unlisted runs that never started, and stops those that might.
    fn runs_not_started(
        &self,
        incarnation: &Incarnation,
        lists: &TaskLists,
        verdict: impl Fn(&TaskRun) -> Unlisted,
    ) -> Vec<EndRecord> {
        let listed: HashSet<(&TaskId, u32)> = lists
            .running
            .iter()
            .map(|run| (&run.task, run.run))
            .chain(lists.ended.iter().map(|end| (&end.task, end.run)))
            .collect();
        let recorded = self.replica.lock().state.runs_of(incarnation);
        let mut not_started = Vec::new();
        let mut uncertain = Vec::new();
        for (task, run) in recorded {
            if listed.contains(&(&task, run)) {
                continue;
            }
            let key = (task, run);
            match verdict(&key) {
                Unlisted::NotStarted => not_started.push(key),
                Unlisted::ToBeStopped => uncertain.push(key),
                Unlisted::Undecided => {}
            }
        }
        for key in uncertain {
            let ordered = {
                let term_state = self.term_state();
                term_state.starting.contains(&key) || term_state.stopping.contains(&key)
            };
            if !ordered {
                self.order_stop(incarnation, key.0, key.1, "not listed");
            }
        }
        let record = |(task, run): TaskRun| {
            let how = EndKind::NotStarted;
            EndRecord { task, run, how, checkpoint: None }
        };
        not_started.into_iter().map(record).collect()
    }

    /// Stops listed runs that are not running according to the state.
    fn stop_unknown(&self, incarnation: &Incarnation, lists: &TaskLists) {
        let known: HashMap<TaskId, u32> =
            self.replica.lock().state.runs_of(incarnation).into_iter().collect();
        let ending: HashSet<(&TaskId, u32)> =
            lists.ended.iter().map(|end| (&end.task, end.run)).collect();
        for run in &lists.running {
            let is_known = known.get(&run.task) == Some(&run.run);
            let key = (run.task.clone(), run.run);
            if !is_known && !ending.contains(&(&run.task, run.run)) {
                let ordered = {
                    let term_state = self.term_state();
                    term_state.stopping.contains(&key) || term_state.starting.contains(&key)
                };
                if !ordered {
                    self.order_stop(incarnation, key.0, key.1, "not in the state");
                }
            }
        }
    }
}

pub(super) fn log_ends(incarnation: &Incarnation, ends: &[EndRecord]) {
    for end in ends {
        info!(
            request = %end.task.job,
            task = %end.task,
            run = end.run,
            upstream = %incarnation.id,
            how = ?end.how,
            "run ended"
        );
    }
}

/// Returns whether an end changes the state. Ends are listed again until the upstream knows that they
/// are committed.
fn is_news(state: &State, end: &ListedEnd) -> bool {
    let Some((job, unit, _)) = state.find_task(&end.task) else { return false };
    // The run may have been recorded as lost before its report of success arrived.
    let was_lost = end.how == EndKind::Done
        && unit.phase == Phase::Waiting
        && !job.spec.steps[end.task.step as usize].lasting;
    unit.run == end.run && (was_lost || is_running(state, &end.task, end.run))
}

fn end_kind_name(how: EndKind) -> &'static str {
    match how {
        EndKind::Done => "done",
        EndKind::Failed => "failed",
        EndKind::Stopped => "stopped",
        EndKind::Lapsed => "lapsed",
        EndKind::Broken => "broken",
        EndKind::Alone => "alone",
        EndKind::NotStarted => "not started",
    }
}
