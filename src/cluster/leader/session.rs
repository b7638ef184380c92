//! Session of the leader with one incarnation of an upstream.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use tokio::sync::Notify;

use super::TaskRun;
use super::hold::DRAINING_POLL_MS;
use super::unlisted::{AnsweredOrder, Coverage};
use crate::cluster::upstream_calls::{RESTART_MIN_MS, TaskLists};
use crate::placement::{Reports, estimated_left_ms};
use crate::tasks::{Incarnation, JobId, TaskId};

/// Slowest rate of an upstream's clock, in thousandths of real time.
const SLOWEST_CLOCK_PERMILLE: u64 = 980;

/// Allowance for the upstream to end the runs of an expired lease.
const LAPSE_MARGIN_MS: u64 = 300;

/// Time without an answer after which an upstream gets no new work.
pub(super) const SILENT_AFTER_MS: u64 = 3_300;

/// Longest lease of an upstream that drains. It will leave, and what runs on it then waits for the lease.
const DRAINING_LEASE_MS: u64 = 5_000;

/// Time before the end of its notice at which an upstream that stays until then may last be heard of: the
/// interval of its polls, and the time of a call on a slow link.
const NOTICE_TOLERANCE_MS: u64 = DRAINING_POLL_MS + 500;

/// Latest time of an upstream's clock that is believed: a hundred years after its start.
const CLOCK_MAX_MS: u64 = 100 * 366 * 24 * 3_600 * 1_000;

/// Number of recent outcomes by which an upstream is judged.
const RECENT_OUTCOMES: usize = 6;

/// Clock of an upstream in its latest answer, and when the answer arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Contact {
    clock_ms: u64,
    received_ms: u64,
}

/// A run as last listed by the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ObservedRun {
    pub(super) run: u32,
    pub(super) percent: u32,
    /// Tail latency in milliseconds for a serving task, else processors in use.
    pub(super) load: Option<u64>,
    pub(super) checkpoint: Arc<str>,
    /// When it was first listed.
    pub(super) first_listed_ms: u64,
    /// When it was last listed.
    pub(super) last_listed_ms: u64,
    /// Percentage when it was first listed.
    pub(super) first_percent: u32,
    /// When its percentage last rose.
    pub(super) advanced_ms: u64,
    /// When its checkpoint last changed.
    pub(super) saved_ms: u64,
}

impl ObservedRun {
    /// Returns the estimated time until the run ends by itself.
    pub(super) fn estimated_left_ms(&self, expected_ms: u64, now_ms: u64) -> u64 {
        let reports = Reports {
            observed_ms: self.last_listed_ms.saturating_sub(self.first_listed_ms),
            age_ms: now_ms.saturating_sub(self.last_listed_ms),
            first_percent: self.first_percent,
            percent: self.percent,
        };
        estimated_left_ms(expected_ms, &reports)
    }
}

/// Session with one incarnation of an upstream; all times are on this host's boot clock unless
/// they say otherwise.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) incarnation: Incarnation,
    pub(super) address: Arc<str>,
    contact: Option<Contact>,
    /// Time after which no lease granted by this or an earlier leader can still be valid.
    leases_end_ms: u64,
    /// Whether this leader has read the task lists of the upstream.
    pub(super) lists_read: bool,
    /// Number of entries of the latest lists that could not be decoded.
    unreadable: usize,
    /// Since when some entry of the lists could not be decoded.
    unreadable_since_ms: Option<u64>,
    /// When the lists were last read; `None` before that and after a hold call without an answer.
    lists_read_ms: Option<u64>,
    pub(super) runs: HashMap<TaskId, ObservedRun>,
    /// Latest answered start or stop order of each run. Such a run has ended if complete lists that are
    /// read later do not contain it.
    pub(super) answered_orders: HashMap<TaskRun, AnsweredOrder>,
    /// Recent outcomes: the job and whether its run succeeded.
    outcomes: VecDeque<(JobId, bool)>,
    /// End of the time in which it gets no new work because its runs failed.
    pub(super) set_aside_until_ms: u64,
    /// How often it was set aside since its last success.
    set_aside_count: u32,
    lease_max_ms: u64,
    /// When the first call was sent that had no answer since the last contact. While there is none, a
    /// long time without contact is due to this host, which had no connection to spare or no time.
    silent_since_ms: Option<u64>,
    /// Whether an order had no answer since the last contact.
    order_unanswered: bool,
    /// When a draining upstream may leave at the earliest.
    drain_ends_ms: Option<u64>,
    /// Until when a draining upstream stays at least, by its heartbeats in this term.
    stays_until_ms: Option<u64>,
    /// When it announced that it leaves; it is removed once its runs are over.
    leaving_since_ms: Option<u64>,
    /// Whether the loss of its runs was reported.
    loss_reported: bool,
    /// Interrupts the current long poll so that the lists are read at once.
    pub(super) read_now: Arc<Notify>,
    /// When the last heartbeat arrived.
    pub(super) last_heartbeat_ms: u64,
}

impl Session {
    pub(super) fn new(
        incarnation: Incarnation,
        address: Arc<str>,
        lease_max_ms: u64,
        now_ms: u64,
    ) -> Self {
        Self {
            incarnation,
            address,
            contact: None,
            // Earlier leaders granted no leases after this one was elected.
            leases_end_ms: now_ms + longest_duration_ms(lease_max_ms) + LAPSE_MARGIN_MS,
            lists_read: false,
            unreadable: 0,
            unreadable_since_ms: None,
            lists_read_ms: None,
            runs: HashMap::new(),
            answered_orders: HashMap::new(),
            outcomes: VecDeque::new(),
            set_aside_until_ms: 0,
            set_aside_count: 0,
            lease_max_ms,
            silent_since_ms: None,
            order_unanswered: false,
            drain_ends_ms: None,
            stays_until_ms: None,
            leaving_since_ms: None,
            loss_reported: false,
            read_now: Arc::default(),
            last_heartbeat_ms: now_ms,
        }
    }

    /// Grants a lease and returns its end on the upstream's clock.
    ///
    /// `None` until the upstream's clock is known.
    pub(super) fn grant_lease(&mut self, now_ms: u64) -> Option<u64> {
        let contact = self.contact?;
        let granted_ms = now_ms.saturating_sub(contact.received_ms) + self.lease_ms();
        let until_ms = contact.clock_ms + granted_ms;
        let longest_ms = longest_duration_ms(granted_ms);
        self.leases_end_ms =
            self.leases_end_ms.max(contact.received_ms + longest_ms + LAPSE_MARGIN_MS);
        Some(until_ms)
    }

    /// Returns the length of the leases that the upstream gets.
    fn lease_ms(&self) -> u64 {
        let longest_ms = if self.is_draining() { DRAINING_LEASE_MS } else { u64::MAX };
        self.lease_max_ms.min(longest_ms)
    }

    /// Records whether the upstream drains, and for how long it stays at least.
    pub(super) fn record_drain(&mut self, remaining_ms: Option<u64>, now_ms: u64) {
        let ends_ms = remaining_ms.map(|remaining_ms| now_ms + remaining_ms);
        let drained = self.is_draining();
        self.drain_ends_ms = ends_ms.map(|ends_ms| self.drain_ends_ms.unwrap_or(ends_ms));
        match (drained, self.is_draining()) {
            // From now on it is polled more often, which shows when it falls silent.
            (false, true) => self.read_now.notify_one(),
            (true, false) => self.stays_until_ms = None,
            _ => {}
        }
    }

    /// Records a heartbeat by which a draining upstream stays for at least this long.
    pub(super) fn record_notice(&mut self, remaining_ms: u64, now_ms: u64) {
        let until_ms = now_ms.saturating_add(remaining_ms);
        // A delayed heartbeat seems to promise more time than its sender has.
        let earliest_ms = self.stays_until_ms.map_or(until_ms, |known_ms| known_ms.min(until_ms));
        self.stays_until_ms = Some(earliest_ms);
    }

    /// Returns whether a draining upstream fell silent before the end of its notice, beyond what polling
    /// and slow links explain.
    ///
    /// False without a heartbeat in this term, since the end of the notice is not known then.
    pub(super) fn has_broken_notice(&self) -> bool {
        let heard_until_ms = self.last_heard_ms() + NOTICE_TOLERANCE_MS;
        self.stays_until_ms.is_some_and(|until_ms| heard_until_ms < until_ms)
    }

    /// Returns whether the upstream drains.
    pub(super) const fn is_draining(&self) -> bool {
        self.drain_ends_ms.is_some()
    }

    /// Returns when a draining upstream may leave at the earliest.
    pub(super) const fn drain_ends_ms(&self) -> Option<u64> {
        self.drain_ends_ms
    }

    /// Records an answer of the upstream; one with an impossible time counts as none.
    pub(super) fn record_contact(&mut self, clock_ms: u64, now_ms: u64) {
        if !is_possible_clock(clock_ms) {
            return;
        }
        // Answers on different connections may overtake each other.
        if self.contact.is_none_or(|contact| contact.clock_ms <= clock_ms) {
            self.order_unanswered = false;
            self.silent_since_ms = None;
            self.contact = Some(Contact { clock_ms, received_ms: now_ms });
        }
    }

    /// Returns the newest time that was seen on the upstream's clock; 0 before the first answer.
    pub(super) fn known_clock_ms(&self) -> u64 {
        self.contact.map_or(0, |contact| contact.clock_ms)
    }

    /// Records that the upstream leaves; returns when it first said so.
    pub(super) fn record_leave(&mut self, now_ms: u64) -> u64 {
        *self.leaving_since_ms.get_or_insert(now_ms)
    }

    /// Returns whether the upstream has announced that it leaves.
    pub(super) const fn is_leaving(&self) -> bool {
        self.leaving_since_ms.is_some()
    }

    /// Records that a hold call failed.
    pub(super) fn record_failed_hold(&mut self) {
        self.lists_read_ms = None;
    }

    /// Records that a hold call which was sent at `sent_ms` had no answer.
    pub(super) fn record_unanswered_hold(&mut self, sent_ms: u64) {
        self.silent_since_ms.get_or_insert(sent_ms);
    }

    /// Returns for how long calls have had no answer.
    pub(super) fn unanswered_ms(&self, now_ms: u64) -> u64 {
        self.silent_since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Returns whether the lists were read so recently that no other incarnation can have taken over.
    pub(super) fn is_incarnation_certain(&self, now_ms: u64) -> bool {
        self.lists_read_ms.is_some_and(|read_ms| now_ms.saturating_sub(read_ms) <= RESTART_MIN_MS)
    }

    /// Returns the time since the last answer; `None` before the first.
    pub(super) fn silent_ms(&self, now_ms: u64) -> Option<u64> {
        self.contact.map(|contact| now_ms.saturating_sub(contact.received_ms))
    }

    /// Returns when the last answer or heartbeat arrived.
    pub(super) fn last_heard_ms(&self) -> u64 {
        let answered_ms = self.contact.map_or(0, |contact| contact.received_ms);
        answered_ms.max(self.last_heartbeat_ms)
    }

    /// Records that an order had no answer; the upstream gets no new work until it answers again.
    pub(super) fn record_unanswered_order(&mut self) {
        self.order_unanswered = true;
    }

    /// Returns whether the upstream answered recently, left no order unanswered and is not leaving.
    pub(super) fn is_reachable(&self, now_ms: u64) -> bool {
        !self.order_unanswered
            && !self.is_leaving()
            && self.silent_ms(now_ms).is_some_and(|silent_ms| silent_ms < SILENT_AFTER_MS)
    }

    /// Returns whether the upstream is unreachable and no lease can still be valid.
    pub(super) fn has_lapsed(&self, now_ms: u64) -> bool {
        now_ms > self.leases_end_ms && !self.is_reachable(now_ms)
    }

    /// Records how many entries of the latest lists were unreadable; returns whether these are more
    /// than before.
    pub(super) fn record_unreadable(&mut self, entries: usize) -> bool {
        std::mem::replace(&mut self.unreadable, entries) < entries
    }

    /// Updates the observed runs from the upstream's task lists.
    pub(super) fn record_lists(&mut self, lists: &TaskLists, now_ms: u64) {
        self.lists_read = true;
        self.lists_read_ms = Some(now_ms);
        let since_ms = self.unreadable_since_ms.unwrap_or(now_ms);
        self.unreadable_since_ms = (lists.unreadable > 0).then_some(since_ms);
        let mut runs = HashMap::with_capacity(lists.running.len());
        for listed in &lists.running {
            let before = self.runs.get(&listed.task).filter(|observed| observed.run == listed.run);
            let mut observed = before.cloned().unwrap_or_else(|| ObservedRun {
                run: listed.run,
                percent: 0,
                load: None,
                checkpoint: Arc::from(""),
                first_listed_ms: now_ms,
                last_listed_ms: now_ms,
                first_percent: listed.percent,
                advanced_ms: now_ms,
                saved_ms: now_ms,
            });
            if listed.percent > observed.percent {
                observed.advanced_ms = now_ms;
            }
            observed.last_listed_ms = now_ms;
            observed.percent = listed.percent;
            observed.load = listed.load;
            if listed.checkpoint != observed.checkpoint {
                observed.saved_ms = now_ms;
                observed.checkpoint = Arc::clone(&listed.checkpoint);
            }
            runs.insert(listed.task.clone(), observed);
        }
        self.runs = runs;
    }

    /// Returns how much the latest lists show.
    pub(super) fn coverage(&self, lists: &TaskLists, now_ms: u64) -> Coverage {
        match self.unreadable_since_ms {
            _ if lists.more_ended => Coverage::MoreFollows,
            Some(since_ms) => Coverage::Unreadable { for_ms: now_ms.saturating_sub(since_ms) },
            None => Coverage::Complete,
        }
    }

    /// Returns true at the first call, when the loss of its runs is to be reported.
    pub(super) fn report_loss_once(&mut self) -> bool {
        !std::mem::replace(&mut self.loss_reported, true)
    }

    /// Returns the estimated time until a run ends by itself; `None` if it was not listed.
    pub(super) fn estimated_left_ms(
        &self,
        (task, run): &TaskRun,
        expected_ms: u64,
        now_ms: u64,
    ) -> Option<u64> {
        let observed = self.runs.get(task).filter(|observed| observed.run == *run)?;
        Some(observed.estimated_left_ms(expected_ms, now_ms))
    }

    /// Returns for how long a run was seen alive, or `None` if it may not have started at all.
    pub(super) fn seen_alive_ms(&self, key: &TaskRun) -> Option<u64> {
        let (task, run) = key;
        let answered = self.answered_orders.get(key).filter(|order| order.has_begun);
        let answered_ms = answered.map(|order| order.at_ms);
        let Some(observed) = self.runs.get(task).filter(|observed| observed.run == *run) else {
            return answered_ms.map(|_| 0);
        };
        let since_ms = answered_ms.map_or(observed.first_listed_ms, |answered_ms| {
            answered_ms.min(observed.first_listed_ms)
        });
        Some(observed.last_listed_ms.saturating_sub(since_ms))
    }

    /// Records the outcome of a run; sets the upstream aside if several jobs failed in a row.
    ///
    /// Returns the time for which it is set aside.
    pub(super) fn record_outcome(
        &mut self,
        job: JobId,
        succeeded: bool,
        now_ms: u64,
    ) -> Option<u64> {
        if succeeded {
            self.set_aside_count = 0;
        }
        self.outcomes.push_back((job, succeeded));
        if self.outcomes.len() > RECENT_OUTCOMES {
            self.outcomes.pop_front();
        }
        let failed_jobs = self.failed_jobs_in_a_row();
        let limit =
            if self.set_aside_count > 0 { 1 } else { super::failures::FAILED_JOBS_TO_SET_ASIDE };
        if failed_jobs < limit {
            return None;
        }
        Some(self.set_aside(now_ms))
    }

    /// Sets the upstream aside, longer each time, and returns for how long.
    pub(super) fn set_aside(&mut self, now_ms: u64) -> u64 {
        let pause_ms = super::failures::set_aside_ms(self.set_aside_count);
        self.set_aside_count += 1;
        self.set_aside_until_ms = now_ms + pause_ms;
        self.outcomes.clear();
        pause_ms
    }

    /// Returns the number of different jobs that failed since the last success.
    fn failed_jobs_in_a_row(&self) -> usize {
        let failed = self.outcomes.iter().rev().take_while(|(_, succeeded)| !succeeded);
        let mut jobs: Vec<_> = failed.map(|(job, _)| job).collect();
        jobs.sort();
        jobs.dedup();
        jobs.len()
    }
}

/// Returns whether an upstream's clock may show this time.
pub(super) fn is_possible_clock(clock_ms: u64) -> bool {
    clock_ms <= CLOCK_MAX_MS
}

/// Returns the longest real time in which an upstream's clock advances by a span.
pub(super) fn longest_duration_ms(span_ms: u64) -> u64 {
    (span_ms * 1_000).div_ceil(SLOWEST_CLOCK_PERMILLE)
}
