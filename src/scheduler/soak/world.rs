//! The simulated data centre around the core: time, messages, upstreams and the journal.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::report::{Broken, SoakReport};
use super::truth::{GangTruth, Progress, Truth, Work};
use super::worker::{Link, Worker};
use crate::names::{JobName, UpstreamName};
use crate::scheduler::event::{Event, GangId};
use crate::scheduler::limits::ENDED_JOBS_LIMIT;
use crate::scheduler::{Announcement, Decision, JobEnd, JobRecord, JobState, Scheduler};

const RACKS: u32 = 3;
const UPSTREAMS_PER_RACK: u32 = 8;

/// Steps between checks of the whole state, whose cost would otherwise dominate the run.
const WHOLE_CHECK_STEPS: u64 = 16;

/// Records after which the journal is replaced by a snapshot.
const JOURNAL_LIMIT: usize = 20_000;

/// Simulated time within which all jobs must end once faults and submissions have stopped.
const QUIET_LIMIT_MS: u64 = 3_600_000;

/// Number of the latest gangs whose stops an upstream remembers at least.
const PRUNE_MARGIN: u64 = 1_000;

/// Time after its last announcement at which an upstream is lost.
pub(super) const UPSTREAM_LEASE_MS: u64 = 3_000;

const TICK_MS: u64 = 50;

/// Something that happens at a simulated time.
#[derive(Debug, Clone)]
pub enum Item {
    /// A message arrives at an upstream.
    Deliver(UpstreamName, Decision),
    /// An event arrives at the core.
    Event(Event),
    /// Time passes for the core.
    Tick,
    /// Random faults may happen.
    Faults,
    /// Jobs may be submitted.
    Submit,
    /// The lease of an unreachable upstream ends.
    LeaseEnd(usize),
    /// An upstream can be reached again.
    Return(usize),
    /// A leaving upstream is gone.
    Depart(usize),
    /// An upstream stops failing everything.
    Heal(usize),
    /// The work of a member is over.
    MemberDone(usize, GangId),
    /// The control process starts again.
    Restart,
}

/// The simulated data centre.
#[derive(Debug)]
pub struct World {
    pub(super) rng: StdRng,
    pub(super) now_ms: u64,
    items: BTreeMap<(u64, u64), Item>,
    next_item: u64,
    /// The core, unless the control process is down.
    pub(super) core: Option<Scheduler>,
    journal: Vec<JobRecord>,
    pub(super) workers: Vec<Worker>,
    pub(super) names: BTreeMap<UpstreamName, usize>,
    announced: BTreeSet<UpstreamName>,
    pub(super) truth: Truth,
    pub(super) open: BTreeSet<JobName>,
    ended: std::collections::VecDeque<JobName>,
    pub(super) next_name: u64,
    pub(super) quiet: bool,
    /// Whether the process dies after the next step that has something to persist.
    pub(super) crash_next: bool,
    steps: u64,
    faults: BTreeMap<&'static str, u64>,
    checks: BTreeMap<&'static str, u64>,
    jobs: BTreeMap<&'static str, u64>,
    records_max: usize,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now_ms: 1_000,
            items: BTreeMap::new(),
            next_item: 0,
            core: Some(Scheduler::new(0)),
            journal: Vec::new(),
            workers: Vec::new(),
            names: BTreeMap::new(),
            announced: BTreeSet::new(),
            truth: Truth::default(),
            open: BTreeSet::new(),
            ended: std::collections::VecDeque::new(),
            next_name: 0,
            quiet: false,
            crash_next: false,
            steps: 0,
            faults: BTreeMap::new(),
            checks: BTreeMap::new(),
            jobs: BTreeMap::new(),
            records_max: 0,
        };
        for rack in 0..RACKS {
            for position in 0..UPSTREAMS_PER_RACK {
                world.add_worker(rack, position);
            }
        }
        for item in [Item::Tick, Item::Faults, Item::Submit] {
            world.at(1, item);
        }
        world
    }

    fn add_worker(&mut self, rack: u32, position: u32) {
        let ix = self.workers.len();
        let announcement = Announcement {
            name: name(&format!("u{rack}-{position}")),
            incarnation: 1,
            rack: name(&format!("rack-{rack}")),
            position,
            accelerators: 8,
            leaving: false,
        };
        self.names.insert(announcement.name.clone(), ix);
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

    /// Schedules an item.
    pub(super) fn at(&mut self, delay_ms: u64, item: Item) {
        self.next_item += 1;
        self.items.insert((self.now_ms + delay_ms, self.next_item), item);
    }

    pub(super) fn count_fault(&mut self, kind: &'static str) {
        *self.faults.entry(kind).or_default() += 1;
    }

    pub(super) fn count_check(&mut self, kind: &'static str) {
        *self.checks.entry(kind).or_default() += 1;
    }

    pub fn run(&mut self, steps: u64) -> Result<(), String> {
        while self.steps < steps {
            self.next_item()?;
        }
        self.run_quiet()
    }

    /// Stops all faults and checks that every accepted job ends.
    fn run_quiet(&mut self) -> Result<(), String> {
        self.quiet = true;
        for ix in 0..self.workers.len() {
            self.workers[ix].fails_everything = false;
            self.at(0, Item::Return(ix));
        }
        let until_ms = self.now_ms + QUIET_LIMIT_MS;
        while !self.open.is_empty() {
            if self.now_ms > until_ms {
                let (job, core) = (self.open.first(), self.core.as_ref());
                let spec = job.and_then(|j| Some(&core?.jobs.get(j)?.spec));
                let explanation = job.and_then(|j| core?.explain(j, self.now_ms));
                return Err(format!("a job did not end without faults: {spec:?} {explanation:?}"));
            }
            self.next_item()?;
        }
        self.count_check("every_job_ends");
        Ok(())
    }

    fn next_item(&mut self) -> Result<(), String> {
        let Some(((at_ms, _), item)) = self.items.pop_first() else { return Ok(()) };
        self.now_ms = at_ms;
        match item {
            Item::Deliver(upstream, message) => self.deliver(&upstream, message)?,
            Item::Event(event) => self.step(event)?,
            Item::Tick => self.tick()?,
            Item::Faults => self.faults(),
            Item::Submit => self.submit(),
            Item::LeaseEnd(ix) => self.lease_end(ix),
            Item::Return(ix) => self.return_worker(ix),
            Item::Depart(ix) => self.depart(ix),
            Item::Heal(ix) => self.workers[ix].fails_everything = false,
            Item::MemberDone(ix, gang) => self.member_done(ix, gang),
            Item::Restart => self.restart()?,
        }
        Ok(())
    }

    fn tick(&mut self) -> Result<(), String> {
        self.at(TICK_MS, Item::Tick);
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
        }
        let decisions = core.step(event, self.now_ms);
        self.steps += 1;
        if self.steps.is_multiple_of(WHOLE_CHECK_STEPS) {
            core.check_all();
            self.count_check("core_whole_state");
        }
        self.count_check("core_cheap");
        let persisted = decisions.iter().filter(|d| matches!(d, Decision::Persist(_))).count();
        let crash = self.crash_next && persisted > 0;
        for decision in decisions {
            match decision {
                Decision::Persist(record) => self.persist(record)?,
                _ if crash => {}
                decision => self.carry_out(decision)?,
            }
        }
        if crash {
            self.crash_next = false;
            self.stop_core();
        }
        self.compact();
        Ok(())
    }

    fn compact(&mut self) {
        self.records_max = self.records_max.max(self.journal.len());
        if self.journal.len() > JOURNAL_LIMIT
            && let Some(core) = &self.core
        {
            self.journal = core.snapshot();
            // Late copies of messages to gangs released just now must still be refused.
            let oldest = self.truth.gangs.keys().next().map_or(0, |id| id.0);
            let before = GangId(oldest.saturating_sub(PRUNE_MARGIN));
            for worker in &mut self.workers {
                worker.prune(before);
            }
        }
    }

    fn persist(&mut self, record: JobRecord) -> Result<(), String> {
        match &record {
            JobRecord::Placed { job, gang, members } => {
                let work = |u: &UpstreamName| Some((*self.names.get(u)?, Work::default()));
                let members = members.iter().filter_map(|m| work(&m.upstream)).collect();
                self.truth.gangs.insert(*gang, GangTruth { job: job.clone(), members });
            }
            JobRecord::Released { gang } => self.check_released(*gang)?,
            _ => {}
        }
        self.journal.push(record);
        Ok(())
    }

    /// Checks that no member of a released gang works, and how long it worked partially.
    fn check_released(&mut self, id: GangId) -> Result<(), String> {
        let Some(mut gang) = self.truth.gangs.remove(&id) else {
            return Err(format!("gang {id} was released twice"));
        };
        for (ix, work) in &mut gang.members {
            note_end(&mut self.workers[*ix], id, work, self.now_ms);
            if work.start_ms.is_some() && work.end_ms.is_none() {
                return Err(format!("gang {id} was released while a member worked"));
            }
        }
        self.count_check("no_partial_gang_beyond_bound");
        self.count_check("released_gang_has_ended");
        // A gang on a host that has been replaced has no member here.
        let completed =
            !gang.members.is_empty() && gang.members.values().all(|work| work.completed);
        if completed && let Some(job) = self.truth.jobs.get_mut(&gang.job) {
            job.progress = Progress::Completed;
        }
        gang.check_partial()
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
                let truth = self.truth.jobs.entry(job.clone()).or_default();
                truth.accepted = true;
                if truth.end.is_none() {
                    self.open.insert(job);
                }
                Ok(())
            }
            Decision::JobRefused { job, .. } => {
                let open = self.truth.jobs.get(&job).is_some_and(|j| !j.accepted);
                if open {
                    self.open.remove(&job);
                    self.truth.jobs.remove(&job);
                }
                *self.jobs.entry("refused").or_default() += 1;
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

    fn check_leaving(
        &mut self,
        upstream: &UpstreamName,
        decision: &Decision,
    ) -> Result<(), String> {
        let Some(ix) = self.names.get(upstream) else { return Ok(()) };
        let since_ms = self.workers[*ix].leaving_since_ms;
        let late = since_ms.is_some_and(|since_ms| self.now_ms > since_ms + 2_000);
        self.count_check("leaving_upstream_gets_no_work");
        if late && matches!(decision, Decision::Stage { .. }) {
            return Err(format!("upstream {upstream} got work after it left"));
        }
        Ok(())
    }

    fn job_ended(&mut self, name: &JobName, end: JobEnd) -> Result<(), String> {
        let Some(job) = self.truth.jobs.get_mut(name) else {
            return Err(format!("job {name} ended and was never submitted"));
        };
        job.check_end(name, &end)?;
        let kind = match end {
            JobEnd::Completed => "completed",
            JobEnd::Cancelled { .. } => "cancelled",
            JobEnd::Failed { .. } => "failed",
            JobEnd::Unrunnable { .. } => "unrunnable",
        };
        job.end = Some(end);
        *self.jobs.entry(kind).or_default() += 1;
        self.count_check("one_true_answer");
        self.open.remove(name);
        self.ended.push_back(name.clone());
        if self.ended.len() > ENDED_JOBS_LIMIT / 2
            && let Some(oldest) = self.ended.pop_front()
        {
            self.truth.jobs.remove(&oldest);
        }
        Ok(())
    }

    /// Tells the core about an upstream, as the registry of the control process does.
    pub(super) fn announce(&mut self, ix: usize) {
        self.workers[ix].reported_lost = false;
        let announcement = self.workers[ix].announcement.clone();
        self.at(1, Item::Event(Event::UpstreamAnnounced(announcement)));
    }

    fn lease_end(&mut self, ix: usize) {
        let worker = &mut self.workers[ix];
        let upstream = worker.announcement.name.clone();
        if worker.link != Link::Up && self.announced.remove(&upstream) {
            worker.reported_lost = true;
            self.at(0, Item::Event(Event::UpstreamLost { upstream }));
        }
    }

    /// Ends all members of a worker, because its process dies.
    pub(super) fn kill_worker(&mut self, ix: usize) {
        let worker = &mut self.workers[ix];
        for (id, gang) in &mut self.truth.gangs {
            if let Some(work) = gang.members.get_mut(&ix) {
                note_end(worker, *id, work, self.now_ms);
                if work.start_ms.is_some() {
                    work.end_ms.get_or_insert(self.now_ms);
                }
            }
        }
        worker.kill();
    }

    /// Gives a replaced host's place to a new one.
    pub(super) fn rename_worker(&mut self, ix: usize) {
        self.next_name += 1;
        let announcement = &mut self.workers[ix].announcement;
        announcement.incarnation = 1;
        let new = name(&format!("host-{}", self.next_name));
        let old = std::mem::replace(&mut announcement.name, new);
        self.names.insert(announcement.name.clone(), ix);
        self.names.remove(&old);
        if self.announced.remove(&old) {
            self.at(UPSTREAM_LEASE_MS, Item::Event(Event::UpstreamLost { upstream: old }));
        }
    }

    /// Stops the control process for a while.
    pub(super) fn stop_core(&mut self) {
        self.core = None;
        self.announced.clear();
        let down_ms = match self.rng.random_range(0..10) {
            0 => self.rng.random_range(30_000..60_000),
            1..4 => self.rng.random_range(2_000..10_000),
            _ => self.rng.random_range(1..1_000),
        };
        self.count_fault("scheduler_restart");
        self.at(down_ms, Item::Restart);
    }

    fn restart(&mut self) -> Result<(), String> {
        let core = Scheduler::recover(self.journal.iter().cloned(), self.now_ms);
        core.check_all();
        for name in self.open.clone() {
            match core.job(&name) {
                Some(JobState::Ended(end)) => self.job_ended(&name, end.clone())?,
                Some(_) => self.truth.jobs.entry(name).or_default().accepted = true,
                None if self.truth.jobs.get(&name).is_some_and(|job| job.accepted) => {
                    return Err(format!("job {name} was accepted and is lost"));
                }
                // The submission was lost, or is still on its way.
                None => {
                    self.open.remove(&name);
                }
            }
        }
        self.count_check("accepted_jobs_survive");
        self.core = Some(core);
        for ix in 0..self.workers.len() {
            if self.workers[ix].link == Link::Up {
                self.announce(ix);
            }
        }
        Ok(())
    }

    pub fn into_report(self, seed: u64, broken: Option<String>) -> SoakReport {
        let broken = broken.map(|what| Broken { step: self.steps, at_ms: self.now_ms, what });
        SoakReport {
            seed,
            steps: self.steps,
            simulated_ms: self.now_ms,
            faults: self.faults,
            checks: self.checks,
            jobs: self.jobs,
            records_max: self.records_max,
            broken,
        }
    }
}

/// Notes when and how a member's work ended, if it did.
fn note_end(worker: &mut Worker, id: GangId, work: &mut Work, now_ms: u64) {
    worker.settle(now_ms);
    let Some(member) = worker.members.get(&id) else { return };
    if work.start_ms.is_some() && member.end_ms.is_some() {
        work.end_ms = member.end_ms;
        work.completed = member.activity == super::worker::Activity::Done && !member.fails;
    }
}

/// Builds a name that is known to be valid.
pub(super) fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text:?} is not a valid name"))
}
