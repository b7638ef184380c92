//! Running and ended tasks of a stand-in and its handling of orders, without I/O.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;

use crate::cluster::{
    HoldOrder, ListedEnd, ListedRun, OrderAnswer, Refusal, StartOrder, StopOrder, TaskLists,
};
use crate::tasks::{EndKind, TaskId};

/// Interval between checkpoints, in milliseconds of work.
const CHECKPOINT_INTERVAL_MS: u64 = 500;

/// Time that a run takes to stop. The answer to the order comes before, so that callers notice if
/// they take it for the end of the run.
pub(super) const STOP_TIME_MS: u64 = 300;

/// Work that the payload of a task asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Work {
    work_ms: u64,
    fails: bool,
}

impl Default for Work {
    fn default() -> Self {
        Self { work_ms: 100, fails: false }
    }
}

#[derive(Debug, Clone)]
struct RunningTask {
    run: u32,
    work: Work,
    started_ms: u64,
    /// End of a run that was ordered to stop, unless its work or its lease ends first.
    stopped_at_ms: Option<u64>,
    /// Work that was done before the checkpoint from which the run started.
    checkpoint_ms: u64,
}

impl RunningTask {
    fn worked_ms(&self, now_ms: u64) -> u64 {
        self.checkpoint_ms + now_ms.saturating_sub(self.started_ms)
    }

    fn ends_at_ms(&self) -> u64 {
        self.started_ms + self.work.work_ms.saturating_sub(self.checkpoint_ms)
    }

    fn is_stopped(&self, now_ms: u64) -> bool {
        self.stopped_at_ms.is_some_and(|stopped_at_ms| stopped_at_ms <= now_ms)
    }

    fn checkpoint(&self, now_ms: u64) -> Arc<str> {
        let saved_ms = self.worked_ms(now_ms) / CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS;
        if saved_ms == 0 { Arc::from("") } else { saved_ms.to_string().into() }
    }
}

/// Refusal of an order whose fencing token is lower than one received before; it had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Fenced;

/// Running and ended tasks since the start of the process. All times are on the stand-in's clock.
#[derive(Debug, Default)]
pub(super) struct TaskTable {
    fencing_token: u64,
    lease_until_ms: u64,
    running: BTreeMap<TaskId, RunningTask>,
    ended: Vec<ListedEnd>,
    last_end_number: u64,
    /// Highest run of each task that ended or was stopped here.
    closed_runs: BTreeMap<TaskId, u32>,
    started: u32,
    running_peak: usize,
}

impl TaskTable {
    pub(super) fn start(&mut self, order: &StartOrder, now_ms: u64) -> OrderAnswer {
        self.advance(now_ms);
        let refused = OrderAnswer::Refused;
        if self.fence(order.fencing_token).is_err() {
            return refused(Refusal::StaleToken);
        }
        if order.lease_until_ms <= now_ms {
            return refused(Refusal::LeaseEnded);
        }
        self.lease_until_ms = self.lease_until_ms.max(order.lease_until_ms);
        if self.running.get(&order.task).is_some_and(|running| running.run == order.run) {
            return OrderAnswer::Done { clock_ms: now_ms };
        }
        let is_old = self.closed_runs.get(&order.task).is_some_and(|closed| order.run <= *closed);
        if is_old || self.running.contains_key(&order.task) {
            return refused(Refusal::StaleRun);
        }
        let Ok(work) = serde_json::from_str::<Work>(&order.payload) else {
            return refused(Refusal::Invalid);
        };
        let checkpoint_ms = order.checkpoint.parse().unwrap_or(0);
        let running = RunningTask {
            run: order.run,
            work,
            started_ms: now_ms,
            stopped_at_ms: None,
            checkpoint_ms,
        };
        self.running.insert(order.task.clone(), running);
        self.started += 1;
        self.running_peak = self.running_peak.max(self.running.len());
        OrderAnswer::Done { clock_ms: now_ms }
    }

    pub(super) fn stop(&mut self, order: &StopOrder, now_ms: u64) -> OrderAnswer {
        self.advance(now_ms);
        if self.fence(order.fencing_token).is_err() {
            return OrderAnswer::Refused(Refusal::StaleToken);
        }
        if let Some(running) = self.running.get_mut(&order.task)
            && running.run <= order.run
        {
            running.stopped_at_ms.get_or_insert(now_ms + STOP_TIME_MS);
        }
        let closed_run = self.closed_runs.entry(order.task.clone()).or_default();
        *closed_run = (*closed_run).max(order.run);
        OrderAnswer::Done { clock_ms: now_ms }
    }

    /// Extends the lease, removes the ends that control has recorded, and returns the running and
    /// ended tasks.
    pub(super) fn hold(&mut self, order: &HoldOrder, now_ms: u64) -> Result<TaskLists, Fenced> {
        self.advance(now_ms);
        self.fence(order.fencing_token)?;
        self.lease_until_ms = self.lease_until_ms.max(order.lease_until_ms.unwrap_or(0));
        self.ended.retain(|end| end.number > order.ends_seen);
        let listed = |(task, running): (&TaskId, &RunningTask)| ListedRun {
            task: task.clone(),
            run: running.run,
            checkpoint: running.checkpoint(now_ms),
            percent: percent(running.worked_ms(now_ms), running.work.work_ms),
            load: None,
        };
        Ok(TaskLists {
            clock_ms: now_ms,
            born_unix_ms: None,
            running: self.running.iter().map(listed).collect(),
            ended: self.ended.clone(),
            more_ended: false,
            unreadable: 0,
        })
    }

    /// Returns the number of the latest end.
    pub(super) fn last_end_number(&self) -> u64 {
        self.last_end_number
    }

    /// Returns the number of runs started since the start of the process.
    pub(super) fn started(&self) -> u32 {
        self.started
    }

    /// Returns the running tasks.
    pub(super) fn running(&self) -> impl Iterator<Item = &TaskId> {
        self.running.keys()
    }

    /// Returns the largest number of tasks that ran at the same time.
    pub(super) fn running_peak(&self) -> usize {
        self.running_peak
    }

    /// Ends the runs whose work is done, that have been stopped, or whose lease has expired by
    /// `now_ms`.
    pub(super) fn advance(&mut self, now_ms: u64) {
        let lapsed = now_ms >= self.lease_until_ms;
        let due = |running: &RunningTask| running.ends_at_ms() <= now_ms.min(self.lease_until_ms);
        let ended: Vec<(TaskId, EndKind)> = self
            .running
            .iter()
            .filter(|(_, running)| lapsed || due(running) || running.is_stopped(now_ms))
            .map(|(task, running)| {
                let how = match (due(running), running.work.fails) {
                    (false, _) if running.is_stopped(now_ms) => EndKind::Stopped,
                    (false, _) => EndKind::Lapsed,
                    (true, true) => EndKind::Failed,
                    (true, false) => EndKind::Done,
                };
                (task.clone(), how)
            })
            .collect();
        for (task, how) in ended {
            self.end(&task, how, now_ms);
        }
    }

    fn fence(&mut self, token: u64) -> Result<(), Fenced> {
        if token < self.fencing_token {
            return Err(Fenced);
        }
        self.fencing_token = token;
        Ok(())
    }

    fn end(&mut self, task: &TaskId, how: EndKind, now_ms: u64) {
        let Some(running) = self.running.remove(task) else { return };
        self.last_end_number += 1;
        self.closed_runs.insert(task.clone(), running.run);
        self.ended.push(ListedEnd {
            number: self.last_end_number,
            task: task.clone(),
            run: running.run,
            how,
            checkpoint: running.checkpoint(now_ms),
        });
    }
}

fn percent(part: u64, whole: u64) -> u32 {
    let percent = (part * 100).checked_div(whole).unwrap_or(100).min(100);
    u32::try_from(percent).unwrap_or(100)
}
