//! Simulation of a data centre around the scheduler core: time, messages, upstreams and journal.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::report::{InvariantViolation, SoakReport};
use super::truth::{ActualState, MemberWork};
use super::worker::{Link, Worker};
use crate::names::{JobName, UpstreamName};
use crate::scheduler::event::{Event, GangId};
use crate::scheduler::limits::ENDED_JOBS_LIMIT;
use crate::scheduler::{Announcement, Decision, JobEnd, JobRecord, Scheduler};

const RACKS: u32 = 3;
pub(super) const UPSTREAMS_PER_RACK: u32 = 8;

/// Steps between checks of the whole state; checks after each step would take most of the run.
const FULL_CHECK_INTERVAL_STEPS: u64 = 16;

/// Simulated time within which all jobs must end once faults and submissions have stopped.
const COMPLETION_TIMEOUT_MS: u64 = 3_600_000;

/// Time without announcements after which an upstream counts as lost.
pub(super) const UPSTREAM_LEASE_MS: u64 = 3_000;

/// Longest time between the start of an upstream and the news of it.
const ANNOUNCEMENT_DELAY_MAX_MS: u64 = 2_000;

const TICK_INTERVAL_MS: u64 = 50;

/// Event of the simulation, which happens at a simulated time.
#[derive(Debug, Clone)]
pub enum SimEvent {
    /// A message for an incarnation of an upstream arrives there.
    Deliver((UpstreamName, u64), Decision),
    /// An event arrives at the core.
    CoreEvent(Event),
    /// The core checks its timers.
    Tick,
    /// Random faults may be injected.
    InjectFaults,
    /// Jobs may be submitted.
    SubmitJobs,
    /// The time after which an unreachable upstream counts as lost has passed.
    UpstreamLeaseEnd(usize),
    /// An upstream can be reached again; its process restarts if it had ended.
    Reconnect(usize),
    /// The process of a leaving upstream ends.
    Depart(usize),
    /// A job crashes an upstream that has just started it.
    Crash(usize),
    /// An upstream no longer fails all members.
    Recover(usize),
    /// The run time of a member has passed.
    MemberDone(usize, GangId),
    /// The stop of a member on an incarnation of an upstream has been carried out.
    MemberStopped(usize, u64, GangId),
    /// The control process starts again.
    RestartCore,
}

/// The simulated data centre.
#[derive(Debug)]
pub struct Simulation {
    pub(super) rng: StdRng,
    pub(super) now_ms: u64,
    /// Pending events by time and by the order in which they were scheduled.
    pending: BTreeMap<(u64, u64), SimEvent>,
    last_sequence: u64,
    /// The scheduler core; `None` while the control process is down.
    pub(super) core: Option<Scheduler>,
    pub(super) journal: Vec<JobRecord>,
    /// The simulated upstreams.
    pub(super) workers: Vec<Worker>,
    /// Index in `workers` by the current name of the upstream.
    pub(super) worker_indices: BTreeMap<UpstreamName, usize>,
    /// Upstreams that announced themselves to the running core and were not reported lost since.
    pub(super) announced: BTreeSet<UpstreamName>,
    /// Newest incarnation of each upstream that announced itself to the running core.
    pub(super) known_incarnations: BTreeMap<UpstreamName, u64>,
    pub(super) actual: ActualState,
    /// Submitted jobs that have not ended, as far as the simulation knows.
    pub(super) open_jobs: BTreeSet<JobName>,
    /// The latest ended jobs, oldest first.
    ended_jobs: std::collections::VecDeque<JobName>,
    /// Number of the last generated job or host name.
    pub(super) last_name_number: u64,
    /// Whether faults and submissions have stopped.
    pub(super) faults_stopped: bool,
    /// Whether the control process crashes after the next step that persists a record, so that the
    /// other decisions of that step are lost.
    pub(super) crash_after_persist: bool,
    /// Number of steps that the core took.
    steps: u64,
    fault_counts: BTreeMap<&'static str, u64>,
    check_counts: BTreeMap<&'static str, u64>,
    job_outcome_counts: BTreeMap<&'static str, u64>,
    /// Largest number of journal records between two snapshots.
    pub(super) records_max: usize,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            now_ms: 1_000,
            pending: BTreeMap::new(),
            last_sequence: 0,
            core: Some(Scheduler::new(0)),
            journal: Vec::new(),
            workers: Vec::new(),
            worker_indices: BTreeMap::new(),
            announced: BTreeSet::new(),
            known_incarnations: BTreeMap::new(),
            actual: ActualState::default(),
            open_jobs: BTreeSet::new(),
            ended_jobs: std::collections::VecDeque::new(),
            last_name_number: 0,
            faults_stopped: false,
            crash_after_persist: false,
            steps: 0,
            fault_counts: BTreeMap::new(),
            check_counts: BTreeMap::new(),
            job_outcome_counts: BTreeMap::new(),
            records_max: 0,
        };
        for rack in 0..RACKS {
            for position in 0..UPSTREAMS_PER_RACK {
                simulation.add_worker(rack, position);
            }
        }
        for event in [SimEvent::Tick, SimEvent::InjectFaults, SimEvent::SubmitJobs] {
            simulation.schedule(1, event);
        }
        simulation
    }

    fn add_worker(&mut self, rack: u32, position: u32) {
        let ix = self.workers.len();
        let announcement = Announcement {
            name: parse_name(&format!("u{rack}-{position}")),
            incarnation: 1,
            rack: parse_name(&format!("rack-{rack}")),
            position,
            accelerators: 8,
            leaving: false,
        };
        self.worker_indices.insert(announcement.name.clone(), ix);
        self.workers.push(Worker {
            announcement,
            link: Link::Up,
            leaving_since_ms: None,
            fails_everything: false,
            clock_permille: self.rng.random_range(980..=1_020),
            reported_lost: false,
            members: BTreeMap::new(),
            stopped: BTreeSet::new(),
        });
        self.announce(ix);
    }

    /// Schedules an event after a delay.
    pub(super) fn schedule(&mut self, delay_ms: u64, event: SimEvent) {
        self.last_sequence += 1;
        self.pending.insert((self.now_ms + delay_ms, self.last_sequence), event);
    }

    pub(super) fn count_fault(&mut self, kind: &'static str) {
        *self.fault_counts.entry(kind).or_default() += 1;
    }

    pub(super) fn count_check(&mut self, kind: &'static str) {
        *self.check_counts.entry(kind).or_default() += 1;
    }

    pub fn run(&mut self, steps: u64) -> Result<(), String> {
        while self.steps < steps {
            self.run_next_event()?;
        }
        self.run_to_completion()
    }

    /// Stops faults and submissions and checks that every accepted job ends.
    fn run_to_completion(&mut self) -> Result<(), String> {
        self.faults_stopped = true;
        for ix in 0..self.workers.len() {
            self.workers[ix].fails_everything = false;
            self.schedule(0, SimEvent::Reconnect(ix));
        }
        let until_ms = self.now_ms + COMPLETION_TIMEOUT_MS;
        while !self.open_jobs.is_empty() {
            if self.now_ms > until_ms {
                let (job, core) = (self.open_jobs.first(), self.core.as_ref());
                let spec = job.and_then(|j| Some(&core?.jobs.get(j)?.spec));
                let explanation = job.and_then(|j| core?.explain(j, self.now_ms));
                return Err(format!(
                    "a job has not ended long after faults stopped: {spec:?} {explanation:?}"
                ));
            }
            self.run_next_event()?;
        }
        self.count_check("every_job_ends");
        Ok(())
    }

    fn run_next_event(&mut self) -> Result<(), String> {
        let Some(((at_ms, _), sim_event)) = self.pending.pop_first() else { return Ok(()) };
        self.now_ms = at_ms;
        match sim_event {
            SimEvent::Deliver(receiver, message) => self.deliver(receiver, message)?,
            SimEvent::CoreEvent(event) => self.step(event)?,
            SimEvent::Tick => self.tick()?,
            SimEvent::InjectFaults => self.inject_faults(),
            SimEvent::SubmitJobs => self.submit_jobs(),
            SimEvent::UpstreamLeaseEnd(ix) => self.end_upstream_lease(ix),
            SimEvent::Reconnect(ix) => self.reconnect(ix),
            SimEvent::Depart(ix) => self.depart(ix),
            SimEvent::Crash(ix) => self.crash(ix),
            SimEvent::Recover(ix) => self.workers[ix].fails_everything = false,
            SimEvent::MemberDone(ix, gang) => self.member_done(ix, gang),
            SimEvent::MemberStopped(ix, incarnation, gang) => {
                self.member_stopped(ix, incarnation, gang);
            }
            SimEvent::RestartCore => self.restart_core()?,
        }
        Ok(())
    }

    fn tick(&mut self) -> Result<(), String> {
        self.schedule(TICK_INTERVAL_MS, SimEvent::Tick);
        let due_ms = self.core.as_ref().and_then(Scheduler::next_due_ms);
        if due_ms.is_some_and(|due_ms| due_ms <= self.now_ms) {
            self.step(Event::Tick)
        } else {
            Ok(())
        }
    }

    fn step(&mut self, event: Event) -> Result<(), String> {
        let Some(core) = &mut self.core else { return Ok(()) };
        if let Event::UpstreamAnnounced(announcement) = &event {
            self.announced.insert(announcement.name.clone());
            let known = self.known_incarnations.entry(announcement.name.clone()).or_default();
            *known = announcement.incarnation.max(*known);
        }
        let decisions = core.step(event, self.now_ms);
        self.steps += 1;
        if self.steps.is_multiple_of(FULL_CHECK_INTERVAL_STEPS) {
            core.check_all();
            self.count_check("core_whole_state");
        }
        // `Scheduler::step` runs the cheap checks itself.
        self.count_check("core_cheap");
        let persisted = decisions.iter().filter(|d| matches!(d, Decision::Persist(_))).count();
        let crashes = self.crash_after_persist && persisted > 0;
        for decision in decisions {
            match decision {
                Decision::Persist(record) => self.persist(record)?,
                _ if crashes => {}
                decision => self.carry_out(decision)?,
            }
        }
        if crashes {
            self.crash_after_persist = false;
            self.stop_core();
        }
        self.compact();
        Ok(())
    }

    fn carry_out(&mut self, decision: Decision) -> Result<(), String> {
        match decision {
            Decision::Stage { ref upstream, .. }
            | Decision::Commit { ref upstream, .. }
            | Decision::Renew { ref upstream, .. }
            | Decision::Checkpoint { ref upstream, .. }
            | Decision::Probe { ref upstream }
            | Decision::Stop { ref upstream, .. } => {
                let upstream = upstream.clone();
                self.check_leaving(&upstream, &decision)?;
                self.send(upstream, decision);
                Ok(())
            }
            Decision::JobAccepted { job } => {
                let actual = self.actual.jobs.entry(job.clone()).or_default();
                actual.accepted = true;
                if actual.end.is_none() {
                    self.open_jobs.insert(job);
                }
                Ok(())
            }
            Decision::JobRefused { job, .. } => {
                let unaccepted = self.actual.jobs.get(&job).is_some_and(|j| !j.accepted);
                if unaccepted {
                    self.open_jobs.remove(&job);
                    self.actual.jobs.remove(&job);
                }
                *self.job_outcome_counts.entry("refused").or_default() += 1;
                Ok(())
            }
            Decision::JobEnded { job, end } => self.job_ended(&job, end),
            Decision::DocumentRefused { .. } => {
                self.count_fault("document_refused");
                Ok(())
            }
            Decision::GuaranteeAtRisk { .. } => {
                self.count_fault("guarantee_at_risk");
                Ok(())
            }
            Decision::Persist(_) => Ok(()),
        }
    }

    /// Checks that an upstream gets no new work more than 2 s after it announced that it leaves.
    fn check_leaving(
        &mut self,
        upstream: &UpstreamName,
        decision: &Decision,
    ) -> Result<(), String> {
        let Some(ix) = self.worker_indices.get(upstream) else { return Ok(()) };
        let since_ms = self.workers[*ix].leaving_since_ms;
        let must_get_no_work = since_ms.is_some_and(|since_ms| self.now_ms > since_ms + 2_000);
        self.count_check("leaving_upstream_gets_no_work");
        if must_get_no_work && matches!(decision, Decision::Stage { .. }) {
            return Err(format!(
                "upstream {upstream} got new work more than 2 s after it announced that it leaves"
            ));
        }
        Ok(())
    }

    pub(super) fn job_ended(&mut self, name: &JobName, end: JobEnd) -> Result<(), String> {
        let Some(job) = self.actual.jobs.get_mut(name) else {
            return Err(format!(
                "job {name} ended, but was never submitted, or had ended long before"
            ));
        };
        job.check_end(name, &end)?;
        let kind = match end {
            JobEnd::Completed => "completed",
            JobEnd::Cancelled { .. } => "cancelled",
            JobEnd::Failed { .. } if job.behaviour.is_at_fault() => "failed",
            JobEnd::Failed { .. } => "failed_by_upstreams",
            JobEnd::Unrunnable { .. } => "unrunnable",
        };
        job.end = Some(end);
        *self.job_outcome_counts.entry(kind).or_default() += 1;
        self.count_check("one_true_answer");
        self.open_jobs.remove(name);
        self.ended_jobs.push_back(name.clone());
        // The simulation forgets ended jobs before the core does.
        if self.ended_jobs.len() > ENDED_JOBS_LIMIT / 2
            && let Some(oldest) = self.ended_jobs.pop_front()
        {
            self.actual.jobs.remove(&oldest);
        }
        Ok(())
    }

    /// Announces an upstream to the core, as the registry of the control process does.
    pub(super) fn announce(&mut self, ix: usize) {
        self.workers[ix].reported_lost = false;
        let announcement = self.workers[ix].announcement.clone();
        let delay_ms = if self.random_fault(0.3) {
            self.count_fault("late_announcement");
            self.rng.random_range(1..ANNOUNCEMENT_DELAY_MAX_MS)
        } else {
            1
        };
        self.schedule(delay_ms, SimEvent::CoreEvent(Event::UpstreamAnnounced(announcement)));
    }

    fn end_upstream_lease(&mut self, ix: usize) {
        let worker = &mut self.workers[ix];
        let upstream = worker.announcement.name.clone();
        if worker.link != Link::Up && self.announced.remove(&upstream) {
            worker.reported_lost = true;
            self.schedule(0, SimEvent::CoreEvent(Event::UpstreamLost { upstream }));
        }
    }

    /// Ends the process of a worker with all its members.
    pub(super) fn kill_worker(&mut self, ix: usize) {
        let worker = &mut self.workers[ix];
        for (id, gang) in &mut self.actual.gangs {
            if let Some(work) = gang.members.get_mut(&ix) {
                record_end(worker, *id, work, self.now_ms);
                if work.start_ms.is_some() {
                    work.end_ms.get_or_insert(self.now_ms);
                }
            }
        }
        worker.kill();
    }

    /// Replaces the host of a worker by one with a new name at the same position, which is not
    /// announced yet.
    pub(super) fn replace_host(&mut self, ix: usize) {
        self.last_name_number += 1;
        let announcement = &mut self.workers[ix].announcement;
        announcement.incarnation = 1;
        let new = parse_name(&format!("host-{}", self.last_name_number));
        let old = std::mem::replace(&mut announcement.name, new);
        self.worker_indices.insert(announcement.name.clone(), ix);
        self.worker_indices.remove(&old);
        if self.announced.remove(&old) {
            self.schedule(
                UPSTREAM_LEASE_MS,
                SimEvent::CoreEvent(Event::UpstreamLost { upstream: old }),
            );
        }
    }

    pub fn into_report(self, seed: u64, violation: Option<String>) -> SoakReport {
        let violation = violation.map(|message| InvariantViolation {
            step: self.steps,
            at_ms: self.now_ms,
            message,
        });
        SoakReport {
            seed,
            steps: self.steps,
            simulated_ms: self.now_ms,
            faults: self.fault_counts,
            checks: self.check_counts,
            jobs: self.job_outcome_counts,
            records_max: self.records_max,
            violation,
        }
    }
}

/// Records when and how a member ended, if it did.
pub(super) fn record_end(worker: &mut Worker, id: GangId, work: &mut MemberWork, now_ms: u64) {
    worker.end_due_members(now_ms);
    let Some(member) = worker.members.get(&id) else { return };
    if work.start_ms.is_some() && member.end_ms.is_some() {
        work.end_ms = member.end_ms;
        work.completed = member.activity == super::worker::Activity::Done && !member.fails;
    }
}

/// Parses a name that is known to be valid.
pub(super) fn parse_name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text:?} is not a valid name"))
}
