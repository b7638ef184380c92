//! The scheduling core: a pure step function over racks, gangs, organisations and the queue.
//!
//! [`Scheduler::step`] takes an event and the time and returns decisions. The core does no I/O and
//! uses no clock, thread or randomness, so that the same events always give the same decisions.
//!
//! The invariants hold only if the caller keeps these rules:
//! - Records of a step are durable before its other decisions are carried out.
//! - A message reaches its upstream within [`limits::DELIVERY_ALLOWANCE_MS`] or never. A lease runs
//!   from receipt, so that a later delivery would outlast the time at which the core considers the
//!   lease over.
//! - Answers may be lost, delayed, repeated and reordered. Commit and stop answers carry the
//!   incarnation of the upstream that sent them.
//! - An upstream refuses stage and commit messages of a gang for which it has received a stop
//!   message or has refused a message before.
//! - [`Event::Tick`] is passed when [`Scheduler::next_due_ms`] is reached.

mod cancel;
mod crashes;
mod decision;
mod document;
mod documents;
mod event;
mod explain;
mod free_index;
mod gang;
mod homes;
mod invariants;
mod job;
mod learning;
mod leases;
pub mod limits;
mod loans;
mod members;
mod organisation;
mod packing;
mod placing;
pub mod policy_run;
mod pool;
mod quarantine;
mod queue;
mod rack;
mod recovery;
pub mod soak;
mod starvation;
mod stopping;
mod timers;
mod upstreams;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};

pub use decision::{Decision, JobRecord, MemberRecord, Renewal};
pub use document::Guarantees;
pub use event::{Announcement, Event, GangId, MemberEnd, MemberStatus, StopStatus};
pub use explain::Explanation;
pub use gang::StopReason;
pub use job::{JobEnd, JobSpec, JobState, Ran};
pub use organisation::{GuaranteeHolder, GuaranteeId};

use crate::names::JobName;
use crashes::{JobCrashes, UnansweredRun};
use gang::Gang;
use job::Job;
use learning::LearnedRatios;
use loans::Claim;
use organisation::Organisations;
use pool::Pool;
use quarantine::Quarantine;
use queue::Queue;
use starvation::Drain;
use timers::{Timer, Timers};

/// Set of accelerators of one upstream, one bit each.
pub type Mask = u32;

/// Low bits of a round number that count the rounds of one start; the start time is above them.
const ROUND_BITS: u32 = 20;

/// Scheduler of one data centre.
#[derive(Debug)]
pub struct Scheduler {
    pool: Pool,
    jobs: BTreeMap<JobName, Job>,
    gangs: BTreeMap<GangId, Gang>,
    queue: Queue,
    organisations: Organisations,
    claims: BTreeMap<JobName, Claim>,
    drains: BTreeMap<JobName, Drain>,
    drain_search_count: usize,
    learned: LearnedRatios,
    quarantine: Quarantine,
    crashes: JobCrashes,
    unanswered: Vec<UnansweredRun>,
    pending_documents: Vec<Guarantees>,
    last_repack_ms: u64,
    timers: Timers,
    ended_jobs: VecDeque<JobName>,
    started_ms: u64,
    next_gang: u64,
    next_round: u64,
    pending_records: Vec<Decision>,
    pending_decisions: Vec<Decision>,
}

impl Scheduler {
    /// Builds a scheduler without jobs and upstreams.
    ///
    /// `now_ms` must be later than every time passed to an earlier scheduler of the data centre.
    #[must_use]
    pub fn new(now_ms: u64) -> Self {
        let mut timers = Timers::default();
        timers.set(Timer::DiscoveryEnded, now_ms + limits::POOL_DISCOVERY_MS);
        Self {
            pool: Pool::default(),
            jobs: BTreeMap::new(),
            gangs: BTreeMap::new(),
            queue: Queue::default(),
            organisations: Organisations::default(),
            claims: BTreeMap::new(),
            drains: BTreeMap::new(),
            drain_search_count: 0,
            learned: LearnedRatios::default(),
            quarantine: Quarantine::default(),
            crashes: JobCrashes::default(),
            unanswered: Vec::new(),
            pending_documents: Vec::new(),
            last_repack_ms: now_ms,
            timers,
            ended_jobs: VecDeque::new(),
            started_ms: now_ms,
            next_gang: 1,
            // Rounds of different starts differ, so that a late answer from before a restart is
            // not taken for the answer to a new message.
            next_round: now_ms << ROUND_BITS,
            pending_records: Vec::new(),
            pending_decisions: Vec::new(),
        }
    }

    /// Applies an event and returns the resulting decisions, records to persist first.
    ///
    /// # Panics
    /// Panics if an invariant is broken, which is a bug of the core and never caused by its input.
    pub fn step(&mut self, event: Event, now_ms: u64) -> Vec<Decision> {
        self.fire_timers(now_ms);
        self.apply(event, now_ms);
        self.review_moved(now_ms);
        self.drop_broken_claims();
        self.start_claimed_jobs(now_ms);
        self.place_waiting(now_ms);
        self.schedule_starvation_review(now_ms);
        self.check_counts();
        let mut decisions = std::mem::take(&mut self.pending_records);
        decisions.append(&mut self.pending_decisions);
        decisions
    }

    fn apply(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::UpstreamAnnounced(announcement) => self.on_announced(&announcement, now_ms),
            Event::UpstreamLost { upstream } => self.on_lost(&upstream, now_ms),
            Event::UpstreamLeaving { upstream, incarnation } => {
                self.on_leaving(&upstream, incarnation, now_ms);
            }
            Event::JobSubmitted(spec) => self.on_submitted(spec, now_ms),
            Event::JobCancelled { job } => self.on_cancelled(&job, now_ms),
            Event::StageAnswered { gang, upstream, staged } => {
                self.on_stage_answered(gang, &upstream, staged, now_ms);
            }
            Event::CommitAnswered { gang, upstream, incarnation, .. }
            | Event::StopAnswered { gang, upstream, incarnation, .. }
                if self.is_from_later_incarnation(gang, &upstream, incarnation) =>
            {
                self.end_lost_member(gang, &upstream, now_ms);
            }
            Event::CommitAnswered { gang, upstream, started, .. } => {
                self.on_commit_answered(gang, &upstream, started, now_ms);
            }
            Event::RenewAnswered { upstream, round, members } => {
                self.on_renew_answered(&upstream, round, &members, now_ms);
            }
            Event::StopAnswered { gang, upstream, status, .. } => {
                self.on_stop_answered(gang, &upstream, status, now_ms);
            }
            Event::MemberEnded { gang, upstream, end } => {
                self.on_member_ended(gang, &upstream, end, now_ms);
            }
            Event::UsageReported { gang, sequence, used_ms } => {
                self.on_usage(gang, sequence, used_ms);
            }
            Event::ProbeAnswered { upstream, healthy } => {
                self.on_probe_answered(&upstream, healthy);
            }
            Event::DocumentApplied(document) => self.on_document(document, now_ms),
            Event::Tick => {}
        }
    }

    /// Returns when the next [`Event::Tick`] is due; 0 if a search for capacity is due now.
    #[must_use]
    pub fn next_due_ms(&self) -> Option<u64> {
        if self.queue.is_search_due() { Some(0) } else { self.timers.next_due_ms() }
    }

    /// Returns the state of a job; an ended job is kept until 4,096 others have ended.
    #[must_use]
    pub fn job(&self, name: &JobName) -> Option<&JobState> {
        self.jobs.get(name).map(|job| &job.state)
    }

    fn persist(&mut self, record: JobRecord) {
        self.pending_records.push(Decision::Persist(record));
    }

    fn emit(&mut self, decision: Decision) {
        self.pending_decisions.push(decision);
    }
}
