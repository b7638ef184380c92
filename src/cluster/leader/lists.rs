//! What the lists of an upstream show: ends, vanished runs, and runs that nobody wants.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tracing::{info, warn};

use super::hold::{Next, RETRY_PAUSE};
use super::{Leader, TaskRun};
use crate::cluster::clock::boot_ms;
use crate::cluster::upstream_calls::TaskLists;
use crate::tasks::{Change, EndKind, EndRecord, Life, TaskId};

/// Pause between looks at an upstream that leaves, until it no longer answers.
const LEAVING_PAUSE: Duration = Duration::from_millis(100);

impl Leader {
    /// Records what the lists show.
    pub(super) async fn take_lists(&self, life: &Life, lists: &TaskLists, sent_ms: u64) -> Next {
        if lists.born_unix_ms.is_some_and(|born| born != life.born_unix_ms) {
            // Its heartbeat will register the new life; the runs of this one are over then.
            return Next::Pause(RETRY_PAUSE);
        }
        let now_ms = boot_ms();
        let (settled, newly_in_touch) = {
            let mut soft = self.soft();
            let Some(session) = soft.sessions.get_mut(&life.id) else { return Next::End };
            let newly = !session.in_touch(now_ms);
            session.heard(lists.clock_ms, now_ms);
            session.note_lists(lists, now_ms);
            (session.settled.clone(), newly)
        };
        if newly_in_touch {
            let running = lists.running.len();
            info!(upstream = %life.id, running, ended = lists.ended.len(), "upstream in touch");
            self.wake.notify_one();
        }
        let mut ends = self.listed_ends(life, lists);
        ends.extend(self.vanished(life, lists, &settled, sent_ms));
        self.stop_unknown(life, lists);
        let next = if self.is_leaving(life) { Next::Pause(LEAVING_PAUSE) } else { Next::Again };
        if ends.is_empty() && lists.ended.is_empty() {
            return next;
        }
        let up_to = lists.ended.iter().map(|end| end.number).max().unwrap_or(0);
        for end in &ends {
            self.replica.metrics.run_ended(kind_name(end.how));
        }
        log_ends(life, &ends);
        let change = Change::Ends { life: life.clone(), up_to, ends };
        match self.replica.propose(change).await {
            Ok(()) => next,
            Err(_) => Next::Pause(RETRY_PAUSE),
        }
    }

    /// Converts the listed ends and judges the upstream by them.
    fn listed_ends(&self, life: &Life, lists: &TaskLists) -> Vec<EndRecord> {
        let now_ms = boot_ms();
        let is_newest = |task: &TaskId, run: u32| {
            let inner = self.replica.lock();
            inner.state.find(task).is_some_and(|(_, unit, _)| unit.run == run)
        };
        let mut ends = Vec::new();
        for end in &lists.ended {
            if !is_newest(&end.task, end.run) {
                continue;
            }
            let good = match end.how {
                EndKind::Done => Some(true),
                EndKind::Failed => Some(false),
                _ => None,
            };
            if let Some(good) = good
                && let Some(session) = self.soft().sessions.get_mut(&life.id)
                && let Some(pause_ms) = session.note_outcome(end.task.job.clone(), good, now_ms)
            {
                self.replica.metrics.upstream_set_aside();
                warn!(upstream = %life.id, pause_ms, "upstream fails its runs and is set aside");
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

    /// Finds runs whose order was answered before the lists were read, but which they do not show.
    fn vanished(
        &self,
        life: &Life,
        lists: &TaskLists,
        settled: &HashMap<TaskRun, u64>,
        sent_ms: u64,
    ) -> Vec<EndRecord> {
        let listed: HashSet<(&TaskId, u32)> = lists
            .running
            .iter()
            .map(|run| (&run.task, run.run))
            .chain(lists.ended.iter().map(|end| (&end.task, end.run)))
            .collect();
        let recorded = self.replica.lock().state.runs_of(life);
        let mut over = Vec::new();
        let mut uncertain = Vec::new();
        for (task, run) in recorded {
            if listed.contains(&(&task, run)) {
                continue;
            }
            let key = (task, run);
            match settled.get(&key) {
                Some(at_ms) if *at_ms < sent_ms => over.push(key),
                Some(_) => {}
                None => uncertain.push(key),
            }
        }
        for (task, run) in uncertain {
            // An order of a former leader may still arrive; a stop makes it void.
            let key = (task, run);
            let ordered = {
                let soft = self.soft();
                soft.starting.contains(&key) || soft.stopping.contains(&key)
            };
            if !ordered {
                self.order_stop(life, key.0, key.1, "not listed");
            }
        }
        let record = |(task, run): TaskRun| {
            let how = EndKind::NotStarted;
            EndRecord { task, run, how, checkpoint: None }
        };
        over.into_iter().map(record).collect()
    }

    /// Stops runs that the state does not know as running.
    fn stop_unknown(&self, life: &Life, lists: &TaskLists) {
        let known: HashMap<TaskId, u32> =
            self.replica.lock().state.runs_of(life).into_iter().collect();
        let ending: HashSet<(&TaskId, u32)> =
            lists.ended.iter().map(|end| (&end.task, end.run)).collect();
        for run in &lists.running {
            let is_known = known.get(&run.task) == Some(&run.run);
            let key = (run.task.clone(), run.run);
            if !is_known && !ending.contains(&(&run.task, run.run)) {
                let ordered = {
                    let soft = self.soft();
                    soft.stopping.contains(&key) || soft.starting.contains(&key)
                };
                if !ordered {
                    self.order_stop(life, key.0, key.1, "not in the state");
                }
            }
        }
    }
}

fn log_ends(life: &Life, ends: &[EndRecord]) {
    for end in ends {
        info!(
            request = %end.task.job,
            task = %end.task,
            run = end.run,
            upstream = %life.id,
            how = ?end.how,
            "run ended"
        );
    }
}

fn kind_name(how: EndKind) -> &'static str {
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
