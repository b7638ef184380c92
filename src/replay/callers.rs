//! Callers: submit their jobs, and submit them again after a refusal when they are told to.

use std::collections::BTreeSet;

/// Number of times that a caller submits a job.
const ATTEMPTS_MAX: u32 = 5;

/// Pause before a caller repeats a call that had no answer.
const NO_ANSWER_PAUSE_MS: u64 = 1_000;

/// What a caller was told in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Told {
    /// Nothing yet.
    Nothing,
    Accepted,
    /// Refused so often that it gave up.
    Refused,
}

/// Submissions that are due, and what the callers were told.
#[derive(Debug)]
pub(super) struct Callers {
    /// Time of the next submission and number of the job.
    due: BTreeSet<(u64, usize)>,
    attempts: Vec<u32>,
    pub(super) told: Vec<Told>,
    /// Number of refusals, each of which may be followed by another submission.
    pub(super) refusals: u64,
}

impl Callers {
    pub(super) fn new(first_at_ms: impl Iterator<Item = u64>) -> Self {
        let due: BTreeSet<_> = first_at_ms.zip(0..).collect();
        let jobs = due.len();
        Self { due, attempts: vec![0; jobs], told: vec![Told::Nothing; jobs], refusals: 0 }
    }

    /// Takes the next job whose submission is due.
    pub(super) fn next_due(&mut self, now_ms: u64) -> Option<usize> {
        let first = self.due.first().copied().filter(|(at_ms, _)| *at_ms <= now_ms)?;
        self.due.remove(&first);
        Some(first.1)
    }

    pub(super) fn accepted(&mut self, job: usize) {
        self.told[job] = Told::Accepted;
    }

    pub(super) fn refused(&mut self, job: usize, retry_after_ms: u64, now_ms: u64) {
        self.refusals += 1;
        self.attempts[job] += 1;
        if self.attempts[job] < ATTEMPTS_MAX {
            self.due.insert((now_ms + retry_after_ms, job));
        } else {
            self.told[job] = Told::Refused;
        }
    }

    /// Records a call without an answer; it does not count as an attempt.
    pub(super) fn not_answered(&mut self, job: usize, now_ms: u64) {
        self.due.insert((now_ms + NO_ANSWER_PAUSE_MS, job));
    }

    pub(super) fn is_idle(&self) -> bool {
        self.due.is_empty()
    }
}
