//! Resolves open attempts whose entry host can no longer report the outcome.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};
use tracing::{info, warn};

use crate::StepError;
use crate::http::wait_for_stop;
use crate::names::RequestKey;
use crate::outcome::{NotRun, NotRunCause, Outcome};

use super::clock::remote_lease_expiry_ms;
use super::core::{Core, State};
use super::event::Event;
use super::fence::{FenceAnswer, FenceQuery};
use super::records::OpenAttempt;
use super::registry::Presence;

/// Interval of scans of the open attempts.
const SCAN_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum interval of queries about the same attempt.
const QUERY_INTERVAL_MS: u64 = 1000;

/// Age from which an attempt is queried although its host is connected.
///
/// It covers an intent whose `proceed` never reached the host. A request takes at most 10 s by
/// default, and a query about one that is still running is harmless.
const QUERY_AGE_MS: u64 = 15_000;

/// Maximum concurrent queries.
const MAX_QUERIES: usize = 32;

/// State of the queries about one attempt.
#[derive(Debug, Default)]
struct QueryState {
    in_flight: bool,
    next_at_ms: u64,
    /// The last query did not return the state of the attempt.
    unanswered: bool,
}

type QueryResult = (OpenAttempt, Result<FenceAnswer, StepError>);

/// Queries upstreams about open attempts and records the outcomes.
pub(super) struct Resolver {
    core: Arc<Core>,
    query_states: HashMap<(RequestKey, u32), QueryState>,
    queries: JoinSet<QueryResult>,
}

impl Resolver {
    pub(super) fn new(core: Arc<Core>) -> Self {
        Self { core, query_states: HashMap::new(), queries: JoinSet::new() }
    }

    /// Runs until `stop` becomes true.
    pub(super) async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut due = interval(SCAN_INTERVAL);
        due.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = wait_for_stop(&mut stop) => return,
                _ = due.tick() => self.scan().await,
                Some(Ok((open, answer))) = self.queries.join_next() => {
                    self.handle_answer(open, answer).await;
                }
            }
        }
    }

    /// Queries every attempt that is due.
    async fn scan(&mut self) {
        let now_ms = self.core.now_ms();
        let due = {
            let state = self.core.lock();
            let open = state.records.open_attempts();
            open.filter(|open| self.is_due(&state, open, now_ms)).collect::<Vec<_>>()
        };
        let known: HashSet<_> = due.iter().map(|open| (open.key.clone(), open.attempt)).collect();
        self.query_states.retain(|attempt, query| query.in_flight || known.contains(attempt));
        for open in due {
            let has_expired = self.lease_has_expired(&open, now_ms);
            let query = self.query_states.entry((open.key.clone(), open.attempt)).or_default();
            if query.in_flight || query.next_at_ms > now_ms {
                continue;
            }
            if query.unanswered && has_expired {
                self.give_up(&open).await;
            } else if self.queries.len() < MAX_QUERIES {
                query.in_flight = true;
                self.query(open);
            }
        }
    }

    fn is_due(&self, state: &State, open: &OpenAttempt, now_ms: u64) -> bool {
        let intent = &open.intent;
        if intent.epoch < self.core.epoch || intent.begun_at_ms + QUERY_AGE_MS < now_ms {
            return true;
        }
        let lease_expiry_ms = remote_lease_expiry_ms(self.core.settings.share_lease_ms);
        let is_disconnected = state.shares.last_seen_ms(&intent.host).is_none();
        is_disconnected && intent.begun_at_ms + lease_expiry_ms < now_ms
    }

    fn query(&mut self, open: OpenAttempt) {
        let query = FenceQuery {
            address: open.intent.upstream_address.clone(),
            key: open.key.clone(),
            attempt: open.attempt,
            incarnation: open.intent.incarnation,
        };
        let answer = (self.core.fence)(query);
        self.queries.spawn(async move { (open, answer.await) });
    }

    async fn handle_answer(&mut self, open: OpenAttempt, answer: Result<FenceAnswer, StepError>) {
        let now_ms = self.core.now_ms();
        let is_same_incarnation = self.is_same_incarnation(&open);
        let query = self.query_states.entry((open.key.clone(), open.attempt)).or_default();
        query.in_flight = false;
        query.next_at_ms = now_ms + QUERY_INTERVAL_MS;
        query.unanswered = false;
        let outcome = match answer {
            Ok(FenceAnswer::Running) => return,
            Ok(FenceAnswer::Done { answer, status }) => {
                Outcome::Done { answer, attempt: open.attempt, upstream_status: status }
            }
            // A different incarnation cannot know what the earlier one had started.
            Ok(FenceAnswer::NotStarted) if !is_same_incarnation => {
                query.unanswered = true;
                return;
            }
            Ok(FenceAnswer::NotStarted) => {
                let text = "the upstream had not started the attempt and never will";
                Outcome::NotRun(NotRun::new(NotRunCause::RefusedByUpstream, text))
            }
            Err(fault) => {
                warn!(key = %open.key, error = %fault, "query about an open attempt failed");
                query.unanswered = true;
                return;
            }
        };
        self.finish(&open, outcome).await;
    }

    async fn give_up(&mut self, open: &OpenAttempt) {
        let detail = format!("upstream {} was lost before it answered", open.intent.upstream);
        self.finish(open, Outcome::Unknown { detail }).await;
    }

    async fn finish(&self, open: &OpenAttempt, outcome: Outcome) {
        let name = outcome.name();
        let decided = self.core.decide(|state, now_ms| {
            // The host may have reported the outcome in the meantime, which is equally valid.
            let is_open = state.records.is_open(&open.key, open.attempt);
            let event = is_open
                .then(|| state.records.finish(&open.key, open.attempt, outcome, now_ms))
                .flatten();
            ((), event.map(Event::Record))
        });
        match decided.await {
            Ok(()) => info!(key = %open.key, attempt = open.attempt, outcome = name, "settled"),
            Err(fault) => {
                warn!(key = %open.key, error = %fault, "could not record an outcome");
            }
        }
    }

    fn is_same_incarnation(&self, open: &OpenAttempt) -> bool {
        let state = self.core.lock();
        state.registry.get(&open.intent.upstream).is_some_and(|(upstream, presence)| {
            upstream.incarnation == open.intent.incarnation && presence == Presence::Alive
        })
    }

    /// Returns whether the lease of the incarnation that received the attempt has expired.
    fn lease_has_expired(&self, open: &OpenAttempt, now_ms: u64) -> bool {
        // After a restart of control, upstreams need up to one lease to announce themselves again.
        let lease_start_ms = self.core.started_ms.max(open.intent.begun_at_ms);
        let lease_ms = remote_lease_expiry_ms(self.core.settings.upstream_lease_ms);
        lease_start_ms + lease_ms < now_ms && !self.is_same_incarnation(open)
    }
}
