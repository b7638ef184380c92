//! At-most-once records of requests: decisions return transitions, which `apply` carries out.
//!
//! The caller writes each transition to the journal and answers only once it is durable.

mod event;
pub(in crate::control) mod key_date;
#[cfg(test)]
mod tests;

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use super::clock::DAY_MS;
use crate::names::RequestKey;
use crate::outcome::{NotRun, NotRunCause, Outcome};

pub(crate) use event::{Blob, Identity, Intent, RecordEvent, SignOff, StoredOutcome};

/// Time for which a finished record is kept.
const RETENTION_MS: u64 = 8 * DAY_MS;

/// Longest name or reason of a sign-off, in bytes.
const SIGN_OFF_TEXT_LIMIT_BYTES: usize = 1024;

/// State of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Open,
    Ended(StoredOutcome),
}

/// The record of one request key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    identity: Identity,
    /// Number of the newest attempt.
    attempt: u32,
    intent: Intent,
    state: State,
    changed_at_ms: u64,
    /// Sign-off that no re-run has used.
    unused_sign_off: Option<SignOff>,
    used_sign_offs: Vec<SignOff>,
}

/// A request to begin an attempt, with the intent that must be durable first.
#[derive(Debug, Clone)]
pub(crate) struct Begin {
    pub(crate) key: RequestKey,
    pub(crate) identity: Identity,
    pub(crate) intent: Intent,
    pub(crate) replaces_attempt: u32,
}

/// Answer to [`Begin`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Verdict {
    Proceed(u32),
    Ended(Outcome),
    InFlight,
    Refused(NotRun),
}

/// Result of a lookup.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LookupResult<'a> {
    Absent,
    Expired,
    Record { state: &'static str, outcome: Option<Outcome>, record: &'a Record },
}

impl Record {
    pub(crate) fn identity(&self) -> &Identity {
        &self.identity
    }

    pub(crate) fn intent(&self) -> &Intent {
        &self.intent
    }

    /// Returns who signed off the newest re-run, used or not.
    pub(crate) fn signed_off_by(&self) -> Option<&str> {
        let newest = self.unused_sign_off.as_ref().or(self.used_sign_offs.last());
        newest.map(|sign_off| sign_off.name.as_str())
    }
}

/// An open attempt, whose outcome is not known yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OpenAttempt {
    pub(crate) key: RequestKey,
    pub(crate) attempt: u32,
    pub(crate) intent: Intent,
}

/// Number of records in each state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Counts {
    pub(crate) open: u64,
    pub(crate) done: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
}

/// All records of one data centre.
#[derive(Debug, Clone, Default)]
pub(crate) struct Records {
    by_key: HashMap<RequestKey, Record>,
    open: BTreeSet<RequestKey>,
    counts: Counts,
    /// Latest time seen in any transition, so that a clock set back cannot revive a pruned key.
    latest_ms: u64,
}

impl Records {
    /// Decides whether an attempt may be dispatched.
    pub(crate) fn begin(&self, begin: &Begin, now_ms: u64) -> (Verdict, Option<RecordEvent>) {
        if let Err(refused) = self.check_key(&begin.key, now_ms) {
            return (Verdict::Refused(refused), None);
        }
        let Some(record) = self.by_key.get(&begin.key) else {
            if begin.replaces_attempt != 0 {
                return (conflict("there is no attempt to replace"), None);
            }
            return Self::proceed(begin, 1);
        };
        if record.identity != begin.identity {
            let text = "the key was used for another request; this one was not run";
            return (conflict(text), None);
        }
        match &record.state {
            State::Open => Self::begin_open(record, begin),
            State::Ended(outcome) => Self::begin_ended(record, outcome, begin),
        }
    }

    fn begin_open(record: &Record, begin: &Begin) -> (Verdict, Option<RecordEvent>) {
        let submission = &begin.intent.submission;
        if !submission.is_empty() && *submission == record.intent.submission {
            return (Verdict::Proceed(record.attempt), None);
        }
        if begin.replaces_attempt == 0 {
            return (Verdict::InFlight, None);
        }
        let is_same_host = record.intent.host == begin.intent.host;
        if begin.replaces_attempt != record.attempt || !is_same_host {
            return (conflict("the replaced attempt is not the open attempt of this host"), None);
        }
        Self::proceed(begin, record.attempt + 1)
    }

    fn begin_ended(
        record: &Record,
        outcome: &StoredOutcome,
        begin: &Begin,
    ) -> (Verdict, Option<RecordEvent>) {
        let may_run = match outcome {
            StoredOutcome::Done { .. } => false,
            StoredOutcome::NotRun { .. } => true,
            StoredOutcome::Unknown { .. } => record.unused_sign_off.is_some(),
        };
        if may_run {
            return Self::proceed(begin, record.attempt + 1);
        }
        (Verdict::Ended(outcome.clone().into()), None)
    }

    fn proceed(begin: &Begin, attempt: u32) -> (Verdict, Option<RecordEvent>) {
        let event = RecordEvent::Begun {
            key: begin.key.clone(),
            identity: begin.identity.clone(),
            attempt,
            intent: begin.intent.clone(),
        };
        (Verdict::Proceed(attempt), Some(event))
    }

    fn check_key(&self, key: &RequestKey, now_ms: u64) -> Result<(), NotRun> {
        let Some(issued_ms) = key_date::issued_ms(key.id()) else {
            let text = "the key must have the form DATA_CENTRE/YYYYMMDD-ID";
            return Err(NotRun::new(NotRunCause::BadRequest, text));
        };
        if key_date::is_expired(issued_ms, now_ms.max(self.latest_ms)) {
            let text = "the key's date is more than 7 days old or more than 1 day ahead";
            return Err(NotRun::new(NotRunCause::KeyExpired, text));
        }
        Ok(())
    }

    /// Decides on the outcome of an attempt; returns no transition if it arrives too late.
    pub(crate) fn finish(
        &self,
        key: &RequestKey,
        attempt: u32,
        outcome: Outcome,
        now_ms: u64,
    ) -> Option<RecordEvent> {
        let record = self.by_key.get(key)?;
        let is_current = attempt == record.attempt;
        let is_accepted = match (&record.state, &outcome) {
            (State::Open, _)
            | (State::Ended(StoredOutcome::Unknown { .. }), Outcome::NotRun(_)) => is_current,
            (State::Ended(StoredOutcome::Done { .. }), _) => false,
            // An answer proves that the request ran, whatever was recorded before.
            (State::Ended(_), Outcome::Done { .. }) => attempt <= record.attempt,
            (State::Ended(_), _) => false,
        };
        let outcome = outcome.into();
        is_accepted.then(|| RecordEvent::Ended {
            key: key.clone(),
            attempt,
            outcome,
            at_ms: now_ms,
        })
    }

    /// Returns whether the record already has this outcome.
    pub(crate) fn has_outcome(&self, key: &RequestKey, attempt: u32, outcome: &Outcome) -> bool {
        self.by_key.get(key).is_some_and(|record| {
            let stored = State::Ended(outcome.clone().into());
            record.attempt == attempt && record.state == stored
        })
    }

    /// Looks up the record of a key.
    pub(crate) fn lookup(&self, key: &RequestKey, now_ms: u64) -> LookupResult<'_> {
        let Some(record) = self.by_key.get(key) else {
            let refused = self.check_key(key, now_ms).err().map(|refused| refused.cause);
            let expired = refused == Some(NotRunCause::KeyExpired);
            return if expired { LookupResult::Expired } else { LookupResult::Absent };
        };
        match &record.state {
            State::Open => LookupResult::Record { state: "in_flight", outcome: None, record },
            State::Ended(outcome) => {
                let outcome = Outcome::from(outcome.clone());
                LookupResult::Record { state: outcome.name(), outcome: Some(outcome), record }
            }
        }
    }

    /// Decides on an operator's sign-off.
    ///
    /// # Errors
    /// Returns the message for the operator if the sign-off is refused.
    pub(crate) fn sign_off(
        &self,
        key: &RequestKey,
        sign_off: SignOff,
        now_ms: u64,
    ) -> Result<Option<RecordEvent>, String> {
        let texts = [("name", &sign_off.name), ("reason", &sign_off.reason)];
        for (what, text) in texts {
            if text.trim().is_empty() || text.len() > SIGN_OFF_TEXT_LIMIT_BYTES {
                return Err(format!("a sign-off needs a {what} of 1 to 1024 bytes"));
            }
        }
        self.check_key(key, now_ms).map_err(|refused| refused.detail)?;
        let record = self.by_key.get(key).ok_or("there is no record of this key")?;
        if !matches!(record.state, State::Ended(StoredOutcome::Unknown { .. })) {
            return Err("only a request whose outcome is unknown can be signed off".into());
        }
        match &record.unused_sign_off {
            Some(earlier) if earlier.name == sign_off.name && earlier.reason == sign_off.reason => {
                Ok(None)
            }
            Some(earlier) => Err(format!("{} has already signed off this re-run", earlier.name)),
            None => Ok(Some(RecordEvent::SignedOff { key: key.clone(), sign_off })),
        }
    }

    /// Returns the transition that removes old finished records, if there are any.
    pub(crate) fn prune(&self, now_ms: u64) -> Option<RecordEvent> {
        let any = self.by_key.iter().any(|(key, record)| is_prunable(key, record, now_ms));
        any.then_some(RecordEvent::Pruned { at_ms: now_ms })
    }

    /// Applies a transition; at start, the records of the journal are replayed through it.
    pub(crate) fn apply(&mut self, event: RecordEvent) {
        match event {
            RecordEvent::Begun { key, identity, attempt, intent } => {
                self.apply_begun(key, identity, attempt, intent);
            }
            RecordEvent::Ended { key, attempt, outcome, at_ms } => {
                self.latest_ms = self.latest_ms.max(at_ms);
                self.open.remove(&key);
                let Some(record) = self.by_key.get_mut(&key) else { return };
                assert!(
                    !matches!(record.state, State::Ended(StoredOutcome::Done { .. })),
                    "a final answer is never replaced"
                );
                record.attempt = record.attempt.max(attempt);
                record.changed_at_ms = at_ms;
                *self.counts.of(&record.state) -= 1;
                record.state = State::Ended(outcome);
                *self.counts.of(&record.state) += 1;
            }
            RecordEvent::SignedOff { key, sign_off } => {
                self.latest_ms = self.latest_ms.max(sign_off.at_ms);
                let Some(record) = self.by_key.get_mut(&key) else { return };
                record.changed_at_ms = sign_off.at_ms;
                record.unused_sign_off = Some(sign_off);
            }
            RecordEvent::Pruned { at_ms } => {
                self.latest_ms = self.latest_ms.max(at_ms);
                let counts = &mut self.counts;
                self.by_key.retain(|key, record| {
                    let keep = !is_prunable(key, record, at_ms);
                    *counts.of(&record.state) -= u64::from(!keep);
                    keep
                });
            }
            RecordEvent::Restored { key, record } => {
                self.latest_ms = self.latest_ms.max(record.changed_at_ms);
                if record.state == State::Open {
                    self.open.insert(key.clone());
                }
                *self.counts.of(&record.state) += 1;
                if let Some(replaced) = self.by_key.insert(key, *record) {
                    *self.counts.of(&replaced.state) -= 1;
                }
            }
        }
    }

    fn apply_begun(&mut self, key: RequestKey, identity: Identity, attempt: u32, intent: Intent) {
        let begun_at_ms = intent.begun_at_ms;
        self.latest_ms = self.latest_ms.max(begun_at_ms);
        self.open.insert(key.clone());
        let Some(record) = self.by_key.get_mut(&key) else {
            let record = Record {
                identity,
                attempt,
                intent,
                state: State::Open,
                changed_at_ms: begun_at_ms,
                unused_sign_off: None,
                used_sign_offs: Vec::new(),
            };
            self.by_key.insert(key, record);
            self.counts.open += 1;
            return;
        };
        *self.counts.of(&record.state) -= 1;
        self.counts.open += 1;
        assert!(attempt > record.attempt, "attempt numbers increase");
        record.used_sign_offs.extend(record.unused_sign_off.take());
        record.attempt = attempt;
        record.intent = intent;
        record.state = State::Open;
        record.changed_at_ms = begun_at_ms;
    }

    /// Returns whether this attempt is the newest and its outcome is open.
    pub(crate) fn is_open(&self, key: &RequestKey, attempt: u32) -> bool {
        let record = self.by_key.get(key);
        record.is_some_and(|record| record.attempt == attempt && record.state == State::Open)
    }

    /// Returns the attempts whose outcome is open.
    pub(crate) fn open_attempts(&self) -> impl Iterator<Item = OpenAttempt> {
        self.open.iter().filter_map(|key| {
            let record = self.by_key.get(key)?;
            let (attempt, intent) = (record.attempt, record.intent.clone());
            Some(OpenAttempt { key: key.clone(), attempt, intent })
        })
    }

    /// Returns transitions that build this state from an empty one.
    pub(crate) fn restore_events(&self) -> impl Iterator<Item = RecordEvent> {
        let times = std::iter::once(RecordEvent::Pruned { at_ms: self.latest_ms });
        times.chain(self.by_key.iter().map(|(key, record)| RecordEvent::Restored {
            key: key.clone(),
            record: Box::new(record.clone()),
        }))
    }

    pub(crate) const fn counts(&self) -> Counts {
        self.counts
    }
}

impl Counts {
    const fn of(&mut self, state: &State) -> &mut u64 {
        match state {
            State::Open => &mut self.open,
            State::Ended(StoredOutcome::Done { .. }) => &mut self.done,
            State::Ended(StoredOutcome::NotRun { .. }) => &mut self.not_run,
            State::Ended(StoredOutcome::Unknown { .. }) => &mut self.unknown,
        }
    }
}

/// Returns whether a record is finished, past its retention, and its key is refused by now.
///
/// Open records and those with an unknown outcome are kept.
fn is_prunable(key: &RequestKey, record: &Record, now_ms: u64) -> bool {
    let finished = match &record.state {
        State::Ended(outcome) => !matches!(outcome, StoredOutcome::Unknown { .. }),
        State::Open => false,
    };
    let issued_ms = key_date::issued_ms(key.id()).unwrap_or(0);
    let kept_until_ms = record.changed_at_ms + RETENTION_MS;
    finished && kept_until_ms <= now_ms && issued_ms + key_date::KEY_AGE_LIMIT_MS < now_ms
}

fn conflict(text: &str) -> Verdict {
    Verdict::Refused(NotRun::new(NotRunCause::Conflict, text))
}
