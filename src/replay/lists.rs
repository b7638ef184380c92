//! Lists of the hosts: what their reports show of runs, as late and as coarse as in operation.

use std::collections::BTreeSet;

use crate::placement::{Reports, estimated_left_ms};

/// Longest time between two reads of a host's lists.
const READ_EVERY_MS: u64 = 2_000;

/// What the lists have shown of a run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reported {
    /// Run time that the scheduler expects of the unit.
    expected_ms: u64,
    /// When it was first listed, and its percentage then.
    first: Option<(u64, u32)>,
    percent: u32,
    last_ms: u64,
}

impl Reported {
    pub(super) const fn new(expected_ms: u64) -> Self {
        Self { expected_ms, first: None, percent: 0, last_ms: 0 }
    }

    /// Records that a run was listed.
    pub(super) fn record(&mut self, percent: u32, now_ms: u64) {
        self.first.get_or_insert((now_ms, percent));
        self.percent = percent;
        self.last_ms = now_ms;
    }

    /// Returns the time until the run ends, as the scheduler estimates it.
    pub(super) fn left_ms(&self, now_ms: u64) -> u64 {
        let Some((first_ms, first_percent)) = self.first else { return self.expected_ms };
        let reports = Reports {
            observed_ms: self.last_ms - first_ms,
            age_ms: now_ms.saturating_sub(self.last_ms),
            first_percent,
            percent: self.percent,
        };
        estimated_left_ms(self.expected_ms, &reports)
    }
}

/// When the lists of each host were last read.
#[derive(Debug)]
pub(super) struct Reads {
    read_ms: Vec<u64>,
}

impl Reads {
    pub(super) fn new(hosts: usize) -> Self {
        // Not all at the same time.
        Self { read_ms: (0..hosts).map(|host| host as u64 * 100 % READ_EVERY_MS).collect() }
    }

    /// Returns the hosts whose lists are read now: after an end, and after the longest pause.
    pub(super) fn due(&mut self, ended_on: &BTreeSet<usize>, now_ms: u64) -> BTreeSet<usize> {
        let is_due = |(host, read_ms): (usize, &mut u64)| {
            let due = ended_on.contains(&host) || now_ms >= *read_ms + READ_EVERY_MS;
            if due {
                *read_ms = now_ms;
            }
            due.then_some(host)
        };
        self.read_ms.iter_mut().enumerate().filter_map(is_due).collect()
    }
}
