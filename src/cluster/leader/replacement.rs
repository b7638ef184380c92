//! Replacement of an upstream by its successor: another incarnation under its identity, or another
//! upstream at its address.
//!
//! Orders name an upstream by its identity. So a successor under the same identity may carry out
//! start orders that were meant for the former incarnation, and their runs must be over on it before
//! their tasks may start elsewhere. Any other upstream at the address refuses such orders.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tracing::{info, warn};

use super::losses::LossSign;
use super::orders::RETRY_PAUSE;
use super::session::longest_duration_ms;
use super::{Leader, TaskRun};
use crate::cluster::clock::boot_ms;
use crate::cluster::replica::NotConfirmed;
use crate::cluster::upstream_calls::{
    CallFault, HoldOrder, ListedEnd, OrderAnswer, Refusal, StopOrder, TaskLists,
};
use crate::tasks::{Change, EndRecord, Heartbeat, Incarnation};

/// Maximum number of attempts to stop one run on a successor, for each of its heartbeats.
const STOP_ATTEMPTS_MAX: usize = 5;

/// Time beyond the stop timeout after which runs that a successor still lists are left to its next
/// heartbeat.
const STOP_MARGIN_MS: u64 = 500;

/// Longest wait for a replacement that another heartbeat of the successor has begun.
const UNDER_WAY_TIMEOUT_MS: u64 = 5_000;

const UNDER_WAY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which an order that was sent before a successor was heard of no longer arrives there.
const LATE_ORDER_MAX_MS: u64 = 5_000;

/// Why a successor can't be registered yet.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub(super) enum NotReplaced {
    #[display("another replacement is under way")]
    UnderWay,
    #[display("the leader's term has ended")]
    TermEnded,
    #[display("a call was not answered as expected: {fault}")]
    NotAnswered { fault: CallFault },
    #[display("a stop was refused: {refusal}")]
    StopRefused { refusal: Refusal },
    #[display("the upstream has restarted again")]
    RestartedAgain,
    #[display("runs of the former incarnation have not ended yet")]
    NotEnded,
    #[display("the change was not confirmed")]
    NotConfirmed,
}

impl From<NotConfirmed> for NotReplaced {
    fn from(_: NotConfirmed) -> Self {
        Self::NotConfirmed
    }
}

/// Since when a successor of an upstream is known; times are on this host's boot clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Supersession {
    since_ms: u64,
    /// When the successor was last heard of.
    pub(super) heard_ms: u64,
}

impl Supersession {
    /// Returns the time at which a run is over that the successor began on an order to its former
    /// life.
    pub(super) fn runs_over_ms(&self, lease_max_ms: u64) -> u64 {
        self.since_ms + LATE_ORDER_MAX_MS + longest_duration_ms(lease_max_ms)
    }
}

/// Marks the replacement of an upstream as under way until it is dropped.
struct ReplacementGuard<'a> {
    leader: &'a Leader,
    id: &'a Arc<str>,
}

impl<'a> ReplacementGuard<'a> {
    /// Begins a replacement, after one that is under way.
    async fn begin(leader: &'a Leader, id: &'a Arc<str>) -> Result<Self, NotReplaced> {
        let begun_ms = boot_ms();
        while !leader.term_state().replacing.insert(Arc::clone(id)) {
            if boot_ms().saturating_sub(begun_ms) > UNDER_WAY_TIMEOUT_MS {
                return Err(NotReplaced::UnderWay);
            }
            tokio::time::sleep(UNDER_WAY_CHECK_INTERVAL).await;
        }
        Ok(Self { leader, id })
    }
}

impl Drop for ReplacementGuard<'_> {
    fn drop(&mut self) {
        self.leader.term_state().replacing.remove(self.id);
    }
}

impl Leader {
    /// Removes an upstream that another one has replaced, and records how its runs ended.
    ///
    /// Goes on when the caller no longer waits, as stops may take longer than a heartbeat's call.
    ///
    /// # Errors
    /// Returns an error while some run may go on; the successor's next heartbeat tries again.
    pub(super) async fn replace_upstream(
        self: &Arc<Self>,
        former: &Incarnation,
        successor: &Heartbeat,
    ) -> Result<(), NotReplaced> {
        let (done, replaced) = oneshot::channel();
        let leader = Arc::clone(self);
        let (former, successor) = (former.clone(), successor.clone());
        self.spawn(async move {
            let replaced = leader.end_and_remove(&former, &successor).await;
            if let Err(fault) = &replaced {
                warn!(upstream = %former.id, error = %fault, "upstream cannot be replaced yet");
            }
            // The caller may have stopped waiting.
            _ = done.send(replaced);
        });
        replaced.await.unwrap_or(Err(NotReplaced::TermEnded))
    }

    async fn end_and_remove(
        &self,
        former: &Incarnation,
        successor: &Heartbeat,
    ) -> Result<(), NotReplaced> {
        let _replacing = ReplacementGuard::begin(self, &former.id).await?;
        if !self.replica.lock().state.is_registered(former) {
            return Ok(());
        }
        // This comes before the runs are read: no order is built for a superseded upstream, so its
        // successor has no other runs of it than these, nor will have.
        self.record_successor(former);
        let runs = self.replica.lock().state.possibly_crashed_runs(former);
        let loss = self.loss_of(former, LossSign::Successor);
        warn!(
            upstream = %former.id, runs = runs.len(), cause = %loss,
            "upstream was restarted or replaced"
        );
        if former.id == successor.id && !runs.is_empty() {
            self.end_runs_on_successor(former, successor, &runs).await?;
        }
        Ok(self.record_loss(former, loss).await?)
    }

    /// Records that a successor under an upstream's identity or address was heard of. The former
    /// incarnation gets no more orders.
    pub(super) fn record_successor(&self, former: &Incarnation) {
        let now_ms = boot_ms();
        let mut term_state = self.term_state();
        if let Some(known) = term_state.superseded.get_mut(former) {
            known.heard_ms = now_ms;
            return;
        }
        let new = Supersession { since_ms: now_ms, heard_ms: now_ms };
        term_state.superseded.insert(former.clone(), new);
        info!(
            upstream = %former.id, born_unix_ms = former.born_unix_ms,
            "a successor of the upstream was heard of"
        );
    }

    /// Returns since when an upstream is superseded, if it is.
    pub(super) fn supersession_of(&self, former: &Incarnation) -> Option<Supersession> {
        self.term_state().superseded.get(former).copied()
    }

    /// Ends the runs that a successor may have been started with, and records the ends of those that
    /// it has begun.
    async fn end_runs_on_successor(
        &self,
        former: &Incarnation,
        successor: &Heartbeat,
        runs: &[TaskRun],
    ) -> Result<(), NotReplaced> {
        for run in runs {
            self.stop_on_successor(successor, run).await?;
        }
        let mut ends_seen = 0;
        loop {
            let lists = self.read_lists_without(successor, runs, ends_seen).await?;
            let newest = lists.ended.iter().map(|end| end.number).max();
            // The successor drops these ends when it is asked for the next ones.
            self.record_ends_on_successor(former, runs, lists.ended).await?;
            match newest {
                Some(newest) if lists.more_ended && newest > ends_seen => ends_seen = newest,
                _ if lists.more_ended => return Err(NotReplaced::NotEnded),
                _ => return Ok(()),
            }
        }
    }

    /// Records the ends of runs of a former incarnation that its successor has begun.
    async fn record_ends_on_successor(
        &self,
        former: &Incarnation,
        runs: &[TaskRun],
        ended: Vec<ListedEnd>,
    ) -> Result<(), NotConfirmed> {
        let is_of_former =
            |end: &ListedEnd| runs.iter().any(|(task, run)| *task == end.task && *run == end.run);
        let ends: Vec<_> = ended
            .into_iter()
            .filter(is_of_former)
            .map(|end| EndRecord {
                task: end.task,
                run: end.run,
                how: end.how,
                checkpoint: Some(end.checkpoint),
            })
            .collect();
        if ends.is_empty() {
            return Ok(());
        }
        info!(upstream = %former.id, runs = ends.len(), "runs had begun on the successor");
        super::lists::log_ends(former, &ends);
        let change = Change::RecordEnds { incarnation: former.clone(), up_to: 0, ends };
        self.replica.propose(change).await
    }

    /// Orders a run to stop, so that no late order starts it, until the successor has answered.
    async fn stop_on_successor(
        &self,
        successor: &Heartbeat,
        (task, run): &TaskRun,
    ) -> Result<(), NotReplaced> {
        let order = StopOrder {
            address: Arc::clone(&successor.address),
            upstream: Arc::clone(&successor.id),
            fencing_token: self.term,
            task: task.clone(),
            run: *run,
        };
        let mut latest = NotReplaced::NotEnded;
        for _ in 0..STOP_ATTEMPTS_MAX {
            latest = match (self.calls.stop)(order.clone()).await {
                Ok(OrderAnswer::Done { .. }) => {
                    info!(
                        request = %task.job, task = %task, run, upstream = %successor.id,
                        born_unix_ms = successor.born_unix_ms,
                        "run of a former incarnation was ordered to stop"
                    );
                    return Ok(());
                }
                Ok(OrderAnswer::Refused(refusal @ Refusal::StaleToken)) => {
                    return Err(NotReplaced::StopRefused { refusal });
                }
                Ok(OrderAnswer::Refused(refusal)) => NotReplaced::StopRefused { refusal },
                Err(fault @ (CallFault::OtherUpstream | CallFault::Fenced)) => {
                    return Err(NotReplaced::NotAnswered { fault });
                }
                Err(fault) => NotReplaced::NotAnswered { fault },
            };
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Err(latest)
    }

    /// Reads the lists of a successor until they no longer show runs that were ordered to stop: an
    /// answered stop order is not the end of a run.
    async fn read_lists_without(
        &self,
        successor: &Heartbeat,
        runs: &[TaskRun],
        ends_seen: u64,
    ) -> Result<TaskLists, NotReplaced> {
        let begun_ms = boot_ms();
        loop {
            let order = HoldOrder {
                address: Arc::clone(&successor.address),
                upstream: Arc::clone(&successor.id),
                fencing_token: self.term,
                ends_seen,
                lease_until_ms: None,
                wait_ms: 0,
            };
            let latest = match (self.calls.hold)(order).await {
                Ok(lists) if is_of_other(&lists, successor) => {
                    return Err(NotReplaced::RestartedAgain);
                }
                // A run may hide in an entry that can't be decoded.
                Ok(lists) if lists.unreadable == 0 && !lists_some(&lists, runs) => {
                    return Ok(lists);
                }
                Ok(_) => NotReplaced::NotEnded,
                Err(fault) => NotReplaced::NotAnswered { fault },
            };
            if boot_ms().saturating_sub(begun_ms) > self.bounds.stop_timeout_ms + STOP_MARGIN_MS {
                return Err(latest);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

fn is_of_other(lists: &TaskLists, upstream: &Heartbeat) -> bool {
    lists.born_unix_ms.is_some_and(|born| born != upstream.born_unix_ms)
}

fn lists_some(lists: &TaskLists, runs: &[TaskRun]) -> bool {
    let is_listed = |(task, run): &TaskRun| {
        lists.running.iter().any(|listed| listed.task == *task && listed.run == *run)
    };
    runs.iter().any(is_listed)
}
