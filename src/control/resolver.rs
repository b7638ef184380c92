//! Settles open attempts that their entry host can no longer settle.

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

use super::clock::certainly_ended_ms;
use super::core::{Core, State};
use super::event::Event;
use super::fence::{FenceAnswer, FenceCall};
use super::records::OpenAttempt;
use super::registry::Presence;

/// Pause between two looks at the open attempts.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Pause between two questions about the same attempt.
const ASK_PAUSE_MS: u64 = 1000;

/// Age from which an attempt is asked about although its host is heard.
///
/// It covers an intent whose `proceed` never reached the host. A request takes at most 10 s by
/// default, and asking about one that still runs does no harm.
const OPEN_LIMIT_MS: u64 = 15_000;

/// Most questions in flight at once.
const ASK_LIMIT: usize = 32;

/// Progress with one attempt.
#[derive(Debug, Default)]
struct Asked {
    in_flight: bool,
    next_at_ms: u64,
    /// A question was asked and not answered by a state.
    unanswered: bool,
}

type Settled = (OpenAttempt, Result<FenceAnswer, StepError>);

/// Asks upstreams about open attempts.
pub(super) struct Resolver {
    core: Arc<Core>,
    asked: HashMap<(RequestKey, u32), Asked>,
    questions: JoinSet<Settled>,
}

impl Resolver {
    pub(super) fn new(core: Arc<Core>) -> Self {
        Self { core, asked: HashMap::new(), questions: JoinSet::new() }
    }

    /// Works until `stop` becomes true.
    pub(super) async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut look = interval(LOOK_INTERVAL);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = wait_for_stop(&mut stop) => return,
                _ = look.tick() => self.look().await,
                Some(Ok((open, answer))) = self.questions.join_next() => {
                    self.settle(open, answer).await;
                }
            }
        }
    }

    /// Asks about every attempt that is due.
    async fn look(&mut self) {
        let now_ms = self.core.now_ms();
        let due = {
            let state = self.core.lock();
            let open = state.records.open_attempts();
            open.filter(|open| self.is_due(&state, open, now_ms)).collect::<Vec<_>>()
        };
        let known: HashSet<_> = due.iter().map(|open| (open.key.clone(), open.attempt)).collect();
        self.asked.retain(|at, asked| asked.in_flight || known.contains(at));
        for open in due {
            let has_ended = self.lease_has_ended(&open, now_ms);
            let asked = self.asked.entry((open.key.clone(), open.attempt)).or_default();
            if asked.in_flight || asked.next_at_ms > now_ms {
                continue;
            }
            if asked.unanswered && has_ended {
                self.give_up(&open).await;
            } else if self.questions.len() < ASK_LIMIT {
                asked.in_flight = true;
                self.ask(open);
            }
        }
    }

    fn is_due(&self, state: &State, open: &OpenAttempt, now_ms: u64) -> bool {
        let intent = &open.intent;
        if intent.epoch < self.core.epoch || intent.begun_at_ms + OPEN_LIMIT_MS < now_ms {
            return true;
        }
        let silence_ms = certainly_ended_ms(self.core.settings.share_lease_ms);
        let silent = state.shares.heard_at_ms(&intent.host).is_none();
        silent && intent.begun_at_ms + silence_ms < now_ms
    }

    fn ask(&mut self, open: OpenAttempt) {
        let call = FenceCall {
            address: open.intent.upstream_address.clone(),
            key: open.key.clone(),
            attempt: open.attempt,
            incarnation: open.intent.incarnation,
        };
        let answer = (self.core.fence)(call);
        self.questions.spawn(async move { (open, answer.await) });
    }

    async fn settle(&mut self, open: OpenAttempt, answer: Result<FenceAnswer, StepError>) {
        let now_ms = self.core.now_ms();
        let is_same_incarnation = self.is_same_incarnation(&open);
        let asked = self.asked.entry((open.key.clone(), open.attempt)).or_default();
        asked.in_flight = false;
        asked.next_at_ms = now_ms + ASK_PAUSE_MS;
        asked.unanswered = false;
        let outcome = match answer {
            Ok(FenceAnswer::Running) => return,
            Ok(FenceAnswer::Done { answer, status }) => {
                Outcome::Done { answer, attempt: open.attempt, upstream_status: status }
            }
            // Another incarnation cannot know what an earlier one had started.
            Ok(FenceAnswer::NotStarted) if !is_same_incarnation => {
                asked.unanswered = true;
                return;
            }
            Ok(FenceAnswer::NotStarted) => {
                let text = "the upstream had not started the attempt and never will";
                Outcome::NotRun(NotRun::new(NotRunCause::RefusedByUpstream, text))
            }
            Err(fault) => {
                warn!(key = %open.key, error = %fault, "no answer about an open attempt");
                asked.unanswered = true;
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
            // The host may have finished the attempt meanwhile, and its word is as good.
            let is_open = state.records.is_open(&open.key, open.attempt);
            let event = is_open
                .then(|| state.records.finish(&open.key, open.attempt, outcome, now_ms))
                .flatten();
            ((), event.map(Event::Record))
        });
        match decided.await {
            Ok(()) => info!(key = %open.key, attempt = open.attempt, outcome = name, "settled"),
            Err(fault) => warn!(key = %open.key, error = %fault, "could not settle an attempt"),
        }
    }

    fn is_same_incarnation(&self, open: &OpenAttempt) -> bool {
        let state = self.core.lock();
        state.registry.get(&open.intent.upstream).is_some_and(|(upstream, presence)| {
            upstream.incarnation == open.intent.incarnation && presence == Presence::Alive
        })
    }

    /// Tells whether the incarnation that got the attempt has certainly lost its lease.
    fn lease_has_ended(&self, open: &OpenAttempt, now_ms: u64) -> bool {
        // After a restart, upstreams need the time of a lease to be heard again.
        let heard_from_ms = self.core.started_ms.max(open.intent.begun_at_ms);
        let lease_ms = certainly_ended_ms(self.core.settings.upstream_lease_ms);
        heard_from_ms + lease_ms < now_ms && !self.is_same_incarnation(open)
    }
}
