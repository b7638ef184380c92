//! What the leader knows of one life of an upstream.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use tokio::sync::Notify;

use super::TaskRun;
use crate::cluster::upstream_calls::TaskLists;
use crate::tasks::{JobId, Life, TaskId};

/// Slowest speed of an upstream's clock, in thousandths of true time.
const SLOWEST_CLOCK_PERMILLE: u64 = 980;

/// Allowance for the end of what a lapsed lease has held, in milliseconds.
const LAPSE_MARGIN_MS: u64 = 300;

/// Time without an answer after which an upstream gets no new work, in milliseconds.
const SILENT_AFTER_MS: u64 = 3_300;

/// Outcomes of runs that are kept for judging an upstream.
const RECENT_OUTCOMES: usize = 6;

/// An answer of an upstream and when it came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Contact {
    clock_ms: u64,
    at_ms: u64,
}

/// A run as the upstream's lists showed it last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SeenRun {
    pub(super) run: u32,
    pub(super) percent: u32,
    /// Rough load figure, as listed.
    pub(super) load: Option<u64>,
    pub(super) checkpoint: Arc<str>,
    /// When it was first listed.
    pub(super) first_ms: u64,
    /// When its percentage last rose.
    pub(super) advanced_ms: u64,
    /// When its checkpoint last changed.
    pub(super) saved_ms: u64,
}

/// One life of an upstream. All times are on this host's boot clock unless they say otherwise.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) life: Life,
    pub(super) address: Arc<str>,
    contact: Option<Contact>,
    /// When every lease that any leader may have granted has certainly ended.
    over_at_ms: u64,
    /// True once this leader has read the lists.
    pub(super) listed: bool,
    pub(super) runs: HashMap<TaskId, SeenRun>,
    /// Runs whose order has a definite answer, and when it came: if a list read later does not
    /// show them, they are over.
    pub(super) settled: HashMap<TaskRun, u64>,
    /// Recent outcomes: the job and whether its run succeeded.
    outcomes: VecDeque<(JobId, bool)>,
    /// Until when it gets no new work because its runs fail.
    pub(super) set_aside_until_ms: u64,
    /// Counts how often it was set aside since it last succeeded.
    set_aside_times: u32,
    lease_max_ms: u64,
    /// An order had no answer since the last contact.
    doubtful: bool,
    /// It has said that it leaves; once it no longer answers, it is gone.
    pub(super) leaving: bool,
    /// Ends the wait of the current look, because its outcome is needed now.
    pub(super) look_now: Arc<Notify>,
    /// Last heartbeat.
    pub(super) beat_ms: u64,
}

impl Session {
    pub(super) fn new(life: Life, address: Arc<str>, lease_max_ms: u64, now_ms: u64) -> Self {
        Self {
            life,
            address,
            contact: None,
            // Earlier leaders stopped granting when this one was elected.
            over_at_ms: now_ms + on_slow_clock(lease_max_ms) + LAPSE_MARGIN_MS,
            listed: false,
            runs: HashMap::new(),
            settled: HashMap::new(),
            outcomes: VecDeque::new(),
            set_aside_until_ms: 0,
            set_aside_times: 0,
            lease_max_ms,
            doubtful: false,
            leaving: false,
            look_now: Arc::default(),
            beat_ms: now_ms,
        }
    }

    /// Returns the end of the next lease on the upstream's clock, and remembers that it was granted.
    ///
    /// `None` until the upstream's clock is known.
    pub(super) fn grant_lease(&mut self, now_ms: u64) -> Option<u64> {
        let contact = self.contact?;
        let until_ms = contact.clock_ms + now_ms.saturating_sub(contact.at_ms) + self.lease_max_ms;
        let longest_ms = on_slow_clock(until_ms - contact.clock_ms);
        self.over_at_ms = self.over_at_ms.max(contact.at_ms + longest_ms + LAPSE_MARGIN_MS);
        Some(until_ms)
    }

    /// Notes an answer of the upstream.
    pub(super) fn heard(&mut self, clock_ms: u64, now_ms: u64) {
        // Answers on different connections may overtake each other.
        if self.contact.is_none_or(|contact| contact.clock_ms <= clock_ms) {
            self.doubtful = false;
            self.contact = Some(Contact { clock_ms, at_ms: now_ms });
        }
    }

    /// Time since the last answer; `None` before the first.
    pub(super) fn silent_ms(&self, now_ms: u64) -> Option<u64> {
        self.contact.map(|contact| now_ms.saturating_sub(contact.at_ms))
    }

    /// Notes that an order had no answer, so that nothing more is sent there for now.
    pub(super) fn doubt(&mut self) {
        self.doubtful = true;
    }

    pub(super) fn in_touch(&self, now_ms: u64) -> bool {
        !self.doubtful
            && !self.leaving
            && self.silent_ms(now_ms).is_some_and(|silent_ms| silent_ms < SILENT_AFTER_MS)
    }

    /// Tells whether everything that ran under a lease is certainly over.
    pub(super) fn lapsed(&self, now_ms: u64) -> bool {
        now_ms > self.over_at_ms && !self.in_touch(now_ms)
    }

    /// Takes over what the lists show of the runs.
    pub(super) fn note_lists(&mut self, lists: &TaskLists, now_ms: u64) {
        self.listed = true;
        let mut runs = HashMap::with_capacity(lists.running.len());
        for listed in &lists.running {
            let before = self.runs.get(&listed.task).filter(|seen| seen.run == listed.run);
            let mut seen = before.cloned().unwrap_or_else(|| SeenRun {
                run: listed.run,
                percent: 0,
                load: None,
                checkpoint: Arc::from(""),
                first_ms: now_ms,
                advanced_ms: now_ms,
                saved_ms: now_ms,
            });
            if listed.percent > seen.percent {
                seen.advanced_ms = now_ms;
            }
            seen.percent = listed.percent;
            seen.load = listed.load;
            if listed.checkpoint != seen.checkpoint {
                seen.saved_ms = now_ms;
                seen.checkpoint = Arc::clone(&listed.checkpoint);
            }
            runs.insert(listed.task.clone(), seen);
        }
        self.runs = runs;
    }

    /// Notes the outcome of a run and sets the upstream aside if it fails whatever it starts.
    ///
    /// Returns the time for which it is set aside.
    pub(super) fn note_outcome(&mut self, job: JobId, good: bool, now_ms: u64) -> Option<u64> {
        if good {
            self.set_aside_times = 0;
        }
        self.outcomes.push_back((job, good));
        if self.outcomes.len() > RECENT_OUTCOMES {
            self.outcomes.pop_front();
        }
        let failed_jobs = self.failed_jobs_in_a_row();
        let limit = if self.set_aside_times > 0 { 1 } else { super::failures::JOBS_TO_SUSPECT };
        if failed_jobs < limit {
            return None;
        }
        Some(self.set_aside(now_ms))
    }

    /// Gives no new work for a while, longer each time.
    pub(super) fn set_aside(&mut self, now_ms: u64) -> u64 {
        let pause_ms = super::failures::pause_ms(self.set_aside_times);
        self.set_aside_times += 1;
        self.set_aside_until_ms = now_ms + pause_ms;
        self.outcomes.clear();
        pause_ms
    }

    /// Number of different jobs that failed since the last success.
    fn failed_jobs_in_a_row(&self) -> usize {
        let failed = self.outcomes.iter().rev().take_while(|(_, good)| !good);
        let mut jobs: Vec<_> = failed.map(|(job, _)| job).collect();
        jobs.sort();
        jobs.dedup();
        jobs.len()
    }
}

/// Longest true time in which a slow clock advances by a span.
fn on_slow_clock(span_ms: u64) -> u64 {
    (span_ms * 1_000).div_ceil(SLOWEST_CLOCK_PERMILLE)
}
