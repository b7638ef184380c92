//! Runs that end without a report, because their upstream was lost.

use std::time::Duration;

use tracing::{info, warn};

use super::session::Session;
use super::{Leader, TaskRun};
use crate::cluster::clock::boot_ms;
use crate::cluster::replica::NotConfirmed;
use crate::crashes::{CrashedRun, SURVIVED_START_MS};
use crate::tasks::{Change, Incarnation, UnitId};

/// Time after a suspect's start at which the upstream's lists show whether it has survived.
const SUSPECT_CHECK_DELAY: Duration = Duration::from_millis(SURVIVED_START_MS + 100);

/// How an upstream was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(super) enum Loss {
    /// It crashed: another incarnation has registered under its identity or address.
    #[display("crashed")]
    Crashed,
    /// It ended as announced, or was taken down for maintenance.
    #[display("left")]
    Left,
    /// It has not answered until its lease had ended.
    #[display("lease ended")]
    LeaseEnded,
    /// It has not answered for so long that it is removed.
    #[display("silent")]
    Silent,
}

/// By what the loss of an upstream was noticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(super) enum LossSign {
    /// It has not answered for long, or has said that it leaves, runs nothing and does not answer.
    #[display("silence")]
    Silence,
    /// A successor has sent a heartbeat under its identity or address.
    #[display("successor")]
    Successor,
    /// Such a successor was heard of and has been silent since.
    #[display("silent successor")]
    SilentSuccessor,
    /// Another upstream answers at its address.
    #[display("other at its address")]
    OtherAtAddress,
}

/// What was announced of an upstream's end.
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Announcements {
    /// It has said that it leaves now.
    pub(super) leaves: bool,
    /// Its physical host was taken down for maintenance.
    pub(super) maintained: bool,
    /// It drains, so that it may leave at the end of its notice.
    pub(super) drains: bool,
    /// It fell silent before the end of its notice.
    pub(super) notice_broken: bool,
}

impl Announcements {
    /// Returns whether an end at this time was announced.
    ///
    /// An upstream that drains may go without a further word once its notice is over. One that falls silent
    /// before that has not left as announced: a task may have crashed it.
    const fn cover_the_end(self) -> bool {
        self.leaves || self.maintained || (self.drains && !self.notice_broken)
    }
}

impl Loss {
    /// Returns how an upstream was lost.
    ///
    /// What was announced counts the same by whatever sign the loss is noticed.
    pub(super) const fn of(sign: LossSign, announced: Announcements) -> Self {
        if announced.cover_the_end() {
            return Self::Left;
        }
        match sign {
            LossSign::Silence | LossSign::SilentSuccessor => Self::Silent,
            LossSign::Successor | LossSign::OtherAtAddress => Self::Crashed,
        }
    }

    /// Returns whether the upstream's tasks may have caused the loss.
    const fn counts_as_crash(self) -> bool {
        matches!(self, Self::Crashed | Self::Silent)
    }
}

impl Leader {
    /// Returns how an upstream was lost, and logs the facts that decide it.
    pub(super) fn loss_of(&self, incarnation: &Incarnation, sign: LossSign) -> Loss {
        let announced = {
            let inner = self.replica.lock();
            let known = inner.state.upstreams.get(&incarnation.id);
            // Its loss was recorded before, with its cause.
            let Some(known) = known.filter(|known| known.incarnation() == *incarnation) else {
                return Loss::Left;
            };
            let departure = inner.state.departure_of(incarnation);
            let term_state = self.term_state();
            let session = term_state.sessions.get(&incarnation.id);
            let session = session.filter(|session| session.incarnation == *incarnation);
            Announcements {
                leaves: departure.leaves || session.is_some_and(Session::is_leaving),
                maintained: departure.maintained,
                drains: known.heartbeat.draining,
                notice_broken: session.is_some_and(Session::has_broken_notice),
            }
        };
        let loss = Loss::of(sign, announced);
        info!(
            upstream = %incarnation.id, born_unix_ms = incarnation.born_unix_ms, sign = %sign,
            leaves = announced.leaves, maintained = announced.maintained,
            drains = announced.drains, notice_broken = announced.notice_broken,
            silent_ms = self.silent_ms(incarnation), cause = %loss, "loss of an upstream is judged"
        );
        loss
    }

    /// Removes a lost upstream and reports its runs. If it has crashed, or does not come back, this is
    /// recorded for their tasks.
    pub(super) async fn record_loss(
        &self,
        incarnation: &Incarnation,
        loss: Loss,
    ) -> Result<(), NotConfirmed> {
        let (runs, suspects) = {
            let inner = self.replica.lock();
            let state = &inner.state;
            (state.runs_of(incarnation), state.possibly_crashed_runs(incarnation))
        };
        // Its successor's heartbeat and the answer to a call may both show the loss.
        if self.is_loss_new(incarnation) {
            self.report_lost_runs(incarnation, &runs, loss);
        }
        let incarnation = incarnation.clone();
        if !loss.counts_as_crash() {
            return self.replica.propose(Change::RemoveUpstream { incarnation }).await;
        }
        let crashed = |key: TaskRun| {
            let seen_alive_ms = self.seen_alive_ms(&incarnation, &key);
            CrashedRun { subject: key.0, run: u64::from(key.1), seen_alive_ms }
        };
        let runs = suspects.into_iter().map(crashed).collect();
        let silent_ms = self.silent_ms(&incarnation);
        self.replica.propose(Change::RecordCrash { incarnation, runs, silent_ms }).await
    }

    /// Returns the time since an upstream was last heard of.
    fn silent_ms(&self, incarnation: &Incarnation) -> u64 {
        let term_state = self.term_state();
        let session = term_state.sessions.get(&incarnation.id);
        let session = session.filter(|session| session.incarnation == *incarnation);
        session.map_or(0, |session| boot_ms().saturating_sub(session.last_heard_ms()))
    }

    fn is_loss_new(&self, incarnation: &Incarnation) -> bool {
        let mut term_state = self.term_state();
        let session = term_state.sessions.get_mut(&incarnation.id);
        let session = session.filter(|session| session.incarnation == *incarnation);
        session.is_none_or(Session::report_loss_once)
    }

    /// Reads the lists soon after the start of a suspect, which show whether it has survived.
    pub(super) async fn check_suspect(&self, incarnation: &Incarnation, (task, _): &TaskRun) {
        if self.replica.lock().state.crashes_of(task).is_empty() {
            return;
        }
        tokio::time::sleep(SUSPECT_CHECK_DELAY).await;
        let term_state = self.term_state();
        if let Some(session) = term_state.sessions.get(&incarnation.id) {
            session.read_now.notify_one();
        }
    }

    /// Gives units up, because upstreams crash under them.
    pub(super) async fn give_up(&self, units: Vec<UnitId>) {
        for unit in &units {
            self.replica.metrics.unit_given_up();
            warn!(request = %unit.job, unit = %unit, "unit is given up: upstreams crash under it");
        }
        if self.replica.propose(Change::GiveUp { units }).await.is_err() {
            warn!("could not record units that are given up; the next leader will");
        }
    }

    /// Logs and counts the runs that may have been in execution on a lost upstream.
    pub(super) fn report_lost_runs(&self, incarnation: &Incarnation, runs: &[TaskRun], loss: Loss) {
        for key in runs {
            let (task, run) = key;
            self.replica.metrics.run_ended(loss_name(loss));
            warn!(
                request = %task.job, task = %task, run, upstream = %incarnation.id,
                cause = %loss, seen_alive_ms = self.seen_alive_ms(incarnation, key),
                runs = runs.len(), "run was lost with its upstream"
            );
        }
    }

    /// Returns for how long a run was seen alive, or `None` if it may not have started at all.
    fn seen_alive_ms(&self, incarnation: &Incarnation, key: &TaskRun) -> Option<u64> {
        let term_state = self.term_state();
        let session = term_state.sessions.get(&incarnation.id);
        let session = session.filter(|session| session.incarnation == *incarnation);
        session.and_then(|session| session.seen_alive_ms(key))
    }
}

fn loss_name(loss: Loss) -> &'static str {
    match loss {
        Loss::Crashed => "lost by a crash",
        Loss::Left => "lost with a leaving upstream",
        Loss::LeaseEnded => "lost by the end of a lease",
        Loss::Silent => "lost with a silent upstream",
    }
}
