//! Attempts that the stand-in has received, and the slots they take.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::names::RequestKey;
use crate::upstream_http::AttemptState;

/// Identity of an attempt.
type AttemptId = (RequestKey, u32);

/// Attempts by identity; none is removed while the process runs.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    by_id: BTreeMap<AttemptId, Attempt>,
    starts: BTreeMap<RequestKey, u32>,
    running: u32,
    running_peak: u32,
    refused: u32,
}

#[derive(Debug)]
enum Attempt {
    Fenced,
    Running,
    Done(Bytes),
}

/// How many attempts have started, the latest included.
#[derive(Debug, Clone, Copy)]
pub(super) struct StartCounts {
    /// Those with the key of the latest.
    pub(super) of_key: u32,
    pub(super) all: u32,
}

/// Why an attempt is not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(super) enum Refusal {
    #[display("all slots are taken")]
    NoSlot,
    #[display("the attempt was fenced before it arrived")]
    Fenced,
    #[display("the attempt has been started before")]
    Repeated,
    #[display("the upstream is leaving")]
    Leaving,
    #[display("the attempt was sent to another incarnation")]
    OtherIncarnation,
}

impl Attempts {
    /// Starts an attempt.
    pub(super) fn start(&mut self, id: &AttemptId, slots: u32) -> Result<StartCounts, Refusal> {
        match self.by_id.get(id) {
            Some(Attempt::Fenced) => return Err(Refusal::Fenced),
            Some(Attempt::Running | Attempt::Done(_)) => return Err(Refusal::Repeated),
            None => {}
        }
        if self.running >= slots {
            self.refused += 1;
            return Err(Refusal::NoSlot);
        }
        self.by_id.insert(id.clone(), Attempt::Running);
        self.running += 1;
        self.running_peak = self.running_peak.max(self.running);
        let starts = self.starts.entry(id.0.clone()).or_default();
        *starts += 1;
        let of_key = *starts;
        Ok(StartCounts { of_key, all: self.started() })
    }

    /// Records the answer of a running attempt.
    pub(super) fn end(&mut self, id: &AttemptId, answer: Bytes) {
        self.by_id.insert(id.clone(), Attempt::Done(answer));
        self.running -= 1;
    }

    /// Returns the state of an attempt, and prevents one that has not started from starting later.
    pub(super) fn fence(&mut self, id: &AttemptId) -> (AttemptState, Option<Bytes>) {
        match self.by_id.entry(id.clone()).or_insert(Attempt::Fenced) {
            Attempt::Fenced => (AttemptState::NotStarted, None),
            Attempt::Running => (AttemptState::Running, None),
            Attempt::Done(answer) => (AttemptState::Done, Some(answer.clone())),
        }
    }

    /// Returns how many attempts with this key have started.
    pub(super) fn starts(&self, key: &RequestKey) -> u32 {
        self.starts.get(key).copied().unwrap_or(0)
    }

    /// Returns every key with the number of its attempts that have started.
    pub(super) fn starts_by_key(&self) -> Vec<(RequestKey, u32)> {
        self.starts.iter().map(|(key, starts)| (key.clone(), *starts)).collect()
    }

    /// Returns how many attempts were refused because all slots were taken.
    pub(super) fn refused(&self) -> u32 {
        self.refused
    }

    pub(super) fn running(&self) -> u32 {
        self.running
    }

    pub(super) fn running_peak(&self) -> u32 {
        self.running_peak
    }

    /// Returns how many attempts have started in all.
    pub(super) fn started(&self) -> u32 {
        self.starts.values().sum()
    }
}
