//! `decision`: decision time and memory of one scheduler with many upstreams and running jobs.
//!
//! A worker is an upstream; a task is the part of a job on one accelerator.

use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Instant;

use bpaf::{Parser, construct, long};
use cactuslatch::scheduler::{
    Announcement, Decision, Event, GangId, Guarantees, JobSpec, JobState, MemberEnd, MemberStatus,
    Scheduler, StopStatus,
};
use cactuslatch::{JobName, UpstreamName};
use eyre::{Result, WrapErr, eyre};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

const DATA_CENTRES: usize = 22;
/// Organisations, each with a service of its own.
const TEAMS: usize = 170;
const WORKERS_PER_RACK: usize = 8;
/// Sizes of the guaranteed blocks of each team, in accelerators.
const GUARANTEED_BLOCKS: [u32; 3] = [32, 8, 8];

/// Minimum number of jobs that wait when the measurement starts.
const WAITING_JOBS: usize = 2_000;

/// Simulated time of the measured part.
const MEASURED_MS: u64 = 30_000;

/// Job ends, cancellations, submissions and lost workers in each simulated second.
///
/// This is a burst: 15,000 jobs a day are one submission in 6 s.
const CHANGES_PER_S: u64 = 200;

/// Arguments of the command.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    workers: usize,
    tasks: u32,
    single: bool,
    json: bool,
}

/// Returns the parser of the command.
pub(crate) fn args() -> impl Parser<Args> {
    let workers = long("workers").help("Upstreams in the pool").argument("N").fallback(4_300);
    let tasks = long("tasks").help("Accelerators in use").argument("M").fallback(55_000);
    let single = long("single").help("Only jobs of one accelerator, the most gangs").switch();
    let json = long("json").help("Print the report as JSON").switch();
    construct!(Args { workers, tasks, single, json })
        .to_options()
        .descr("Measures the time of decisions and the memory of the scheduling core.")
        .command("decision")
}

/// Time that the scheduler takes for events of one kind.
#[derive(Debug, Serialize)]
struct TimeSummary {
    count: u64,
    p50_us: f64,
    p99_us: f64,
    max_us: f64,
}

/// Size of the scheduler at the end of the measurement, and the times measured.
#[derive(Debug, Serialize)]
struct Report {
    workers: usize,
    accelerators_per_worker: u32,
    /// Accelerators in use.
    tasks_running: u32,
    gangs_running: usize,
    jobs_waiting: usize,
    guaranteed_blocks: usize,
    all: TimeSummary,
    /// Times by the name of the event.
    by_event: BTreeMap<&'static str, TimeSummary>,
    /// Resident memory before the scheduler was created.
    resident_before_kib: u64,
    resident_after_kib: u64,
}

/// Fills a scheduler with jobs, measures a burst of changes and prints the report.
pub(crate) fn run(args: &Args) -> Result<ExitCode> {
    let resident_before_kib = resident_kib()?;
    let mut simulation = Simulation::new(args)?;
    simulation.fill(args.tasks)?;
    // The events up to here are not part of the measurement.
    simulation.times.clear();
    simulation.measure()?;
    let report = simulation.report(args.workers, resident_before_kib)?;
    if args.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        println!("{}", serde_json::to_string_pretty(&report)?);
    }
    Ok(ExitCode::SUCCESS)
}

/// A staged or running job with its gang and upstreams.
#[derive(Debug)]
struct PlacedJob {
    gang: GangId,
    upstreams: Vec<UpstreamName>,
    accelerators: u32,
}

/// A scheduler in simulated time, with simulated upstreams that answer every message.
#[derive(Debug)]
struct Simulation {
    scheduler: Scheduler,
    rng: StdRng,
    now_ms: u64,
    accelerators_per_worker: u32,
    /// Number of the job that was submitted last.
    last_job: u32,
    /// Submits only jobs of one accelerator.
    single: bool,
    /// Accelerators of each job that has not ended.
    accelerators_by_job: BTreeMap<JobName, u32>,
    /// Gangs that are staged but not committed.
    staged: BTreeMap<GangId, PlacedJob>,
    /// Jobs of the staged gangs.
    job_by_gang: BTreeMap<GangId, JobName>,
    running: Vec<(JobName, PlacedJob)>,
    /// Events to deliver, each with the simulated time from which it is due.
    ///
    /// They are delivered in the order in which they were queued, so an event that is due waits for
    /// those before it.
    pending_events: VecDeque<(u64, Event)>,
    accelerators_in_use: u32,
    waiting_jobs: usize,
    /// Nanoseconds that the scheduler took for each event, by the name of the event.
    times: BTreeMap<&'static str, Histogram<u64>>,
}

impl Simulation {
    fn new(args: &Args) -> Result<Self> {
        let (workers, tasks) = (args.workers, args.tasks);
        // Doubled until the pool has 10 % more accelerators than are to be in use, up to the 32 that
        // the scheduler accepts for one upstream.
        let mut accelerators_per_worker = 8;
        while workers as f64 * f64::from(accelerators_per_worker) < f64::from(tasks) * 1.1
            && accelerators_per_worker < 32
        {
            accelerators_per_worker *= 2;
        }
        let mut simulation = Self {
            scheduler: Scheduler::new(0),
            rng: StdRng::seed_from_u64(1),
            now_ms: 0,
            accelerators_per_worker,
            last_job: 0,
            single: args.single,
            accelerators_by_job: BTreeMap::new(),
            staged: BTreeMap::new(),
            job_by_gang: BTreeMap::new(),
            running: Vec::new(),
            pending_events: VecDeque::new(),
            accelerators_in_use: 0,
            waiting_jobs: 0,
            times: BTreeMap::new(),
        };
        for worker in 0..workers {
            let announcement = announcement(worker, accelerators_per_worker)?;
            simulation.step("upstream_announced", Event::UpstreamAnnounced(announcement))?;
        }
        // Pool discovery ends after 4 s; the scheduler applies no document before.
        simulation.now_ms = 5_000;
        simulation.step("tick", Event::Tick)?;
        for team in 0..TEAMS {
            simulation.step("document_applied", Event::DocumentApplied(guarantees(team)?))?;
        }
        Ok(simulation)
    }

    /// Submits jobs until `accelerators` are in use and at least [`WAITING_JOBS`] wait.
    ///
    /// Gives up on `accelerators` after 20,000 simulated milliseconds in which the number in use did
    /// not grow.
    fn fill(&mut self, accelerators: u32) -> Result<()> {
        let mut stalled_ms = 0;
        while self.accelerators_in_use < accelerators && stalled_ms < 20_000 {
            let before = self.accelerators_in_use;
            if self.waiting_jobs < WAITING_JOBS {
                self.submit()?;
            }
            self.advance()?;
            stalled_ms = if self.accelerators_in_use > before { 0 } else { stalled_ms + 1 };
        }
        while self.waiting_jobs < WAITING_JOBS {
            self.submit()?;
            self.advance()?;
        }
        Ok(())
    }

    /// Advances the simulated time under a burst of changes.
    fn measure(&mut self) -> Result<()> {
        let end_ms = self.now_ms + MEASURED_MS;
        while self.now_ms < end_ms {
            if self.now_ms.is_multiple_of(1_000 / CHANGES_PER_S) {
                self.make_change()?;
            }
            self.advance()?;
        }
        Ok(())
    }

    /// Makes one random change.
    fn make_change(&mut self) -> Result<()> {
        match self.rng.random_range(0..100) {
            0..45 => self.end_random_job(),
            45..95 => self.submit(),
            95..98 => self.cancel_random_job(),
            _ => self.lose_random_upstream(),
        }
    }

    fn end_random_job(&mut self) -> Result<()> {
        if self.running.is_empty() {
            return Ok(());
        }
        let ix = self.rng.random_range(0..self.running.len());
        let (_, job) = self.running.swap_remove(ix);
        self.accelerators_in_use -= job.accelerators;
        for upstream in job.upstreams {
            let (gang, end) = (job.gang, MemberEnd::Completed);
            self.step("member_ended", Event::MemberEnded { gang, upstream, end })?;
        }
        Ok(())
    }

    fn cancel_random_job(&mut self) -> Result<()> {
        if self.running.is_empty() {
            return Ok(());
        }
        let ix = self.rng.random_range(0..self.running.len());
        let job = self.running[ix].0.clone();
        self.step("job_cancelled", Event::JobCancelled { job })
    }

    /// Loses an upstream of a random running job; the upstream is announced again 500 ms later.
    fn lose_random_upstream(&mut self) -> Result<()> {
        let jobs = self.running.len();
        let Some((_, job)) = self.running.get(self.rng.random_range(0..jobs.max(1))) else {
            return Ok(());
        };
        let upstream = job.upstreams[0].clone();
        self.step("upstream_lost", Event::UpstreamLost { upstream: upstream.clone() })?;
        let worker: usize = upstream.as_str().trim_start_matches("worker-").parse()?;
        let mut announcement = announcement(worker, self.accelerators_per_worker)?;
        announcement.incarnation = self.now_ms;
        self.pending_events.push_back((self.now_ms + 500, Event::UpstreamAnnounced(announcement)));
        Ok(())
    }

    fn submit(&mut self) -> Result<()> {
        self.last_job += 1;
        let job_sizes = [1, 1, 1, 1, 2, 2, 4, 4, 8, 8, 8, 16, 32, 64];
        let accelerators =
            if self.single { 1 } else { job_sizes[self.rng.random_range(0..job_sizes.len())] };
        let team = self.rng.random_range(0..TEAMS);
        let can_stop = self.rng.random_bool(0.8);
        let spec = JobSpec {
            name: parse(&format!("job-{}", self.last_job))?,
            organisation: parse(&format!("organisation-{team}"))?,
            service: parse(&format!("service-{team}"))?,
            accelerators,
            guaranteed: self.rng.random_bool(0.1),
            can_checkpoint: can_stop,
            can_stop,
            kind: format!("kind-{}", team % 7),
            declared_run_ms: Some(3_600_000),
        };
        self.accelerators_by_job.insert(spec.name.clone(), accelerators);
        self.waiting_jobs += 1;
        self.step("job_submitted", Event::JobSubmitted(spec))
    }

    /// Advances the simulated time by 1 ms and delivers the events that are due.
    fn advance(&mut self) -> Result<()> {
        self.now_ms += 1;
        while self.pending_events.front().is_some_and(|(at_ms, _)| *at_ms <= self.now_ms) {
            let Some((_, event)) = self.pending_events.pop_front() else { break };
            self.step(event_name(&event), event)?;
        }
        if self.scheduler.next_due_ms().is_some_and(|due_ms| due_ms <= self.now_ms) {
            self.step("tick", Event::Tick)?;
        }
        Ok(())
    }

    /// Gives an event to the scheduler, records the time it takes and applies its decisions.
    fn step(&mut self, event_name: &'static str, event: Event) -> Result<()> {
        let start = Instant::now();
        let decisions = self.scheduler.step(event, self.now_ms);
        let elapsed_ns = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        let histogram = match self.times.entry(event_name) {
            std::collections::btree_map::Entry::Occupied(entry) => entry.into_mut(),
            std::collections::btree_map::Entry::Vacant(entry) => entry.insert(Histogram::new(3)?),
        };
        histogram.record(elapsed_ns)?;
        for decision in decisions {
            self.apply_decision(decision);
        }
        Ok(())
    }

    /// Queues an answer of an upstream, which is due 2 ms later.
    fn queue_answer(&mut self, event: Event) {
        self.pending_events.push_back((self.now_ms + 2, event));
    }

    fn apply_decision(&mut self, decision: Decision) {
        match decision {
            Decision::Stage { gang, job, upstream, .. } => {
                self.record_stage(gang, &job, &upstream);
                self.queue_answer(Event::StageAnswered { gang, upstream, staged: true });
            }
            Decision::Commit { gang, upstream, .. } => {
                self.record_commit(gang);
                self.queue_answer(Event::CommitAnswered {
                    gang,
                    upstream,
                    incarnation: 1,
                    started: true,
                });
            }
            Decision::Renew { upstream, round, gangs } => {
                let members = gangs.iter().map(|r| (r.gang, MemberStatus::Running)).collect();
                self.queue_answer(Event::RenewAnswered { upstream, round, members });
            }
            Decision::Stop { gang, upstream } => {
                self.record_stop(gang);
                let status = StopStatus::Stopped;
                self.queue_answer(Event::StopAnswered { gang, upstream, incarnation: 1, status });
            }
            Decision::JobRefused { job, .. } => {
                self.accelerators_by_job.remove(&job);
                self.waiting_jobs -= 1;
            }
            Decision::JobEnded { job, .. } => {
                self.accelerators_by_job.remove(&job);
            }
            _ => {}
        }
    }

    fn record_stage(&mut self, gang: GangId, job: &JobName, upstream: &UpstreamName) {
        let accelerators = self.accelerators_by_job.get(job).copied().unwrap_or(0);
        if self.job_by_gang.insert(gang, job.clone()).is_none() {
            self.waiting_jobs = self.waiting_jobs.saturating_sub(1);
        }
        let placed = PlacedJob { gang, upstreams: Vec::new(), accelerators };
        self.staged.entry(gang).or_insert(placed).upstreams.push(upstream.clone());
    }

    /// Counts a gang as running from the commit of its first member.
    fn record_commit(&mut self, gang: GangId) {
        let Some(placed) = self.staged.remove(&gang) else { return };
        if let Some(job) = self.job_by_gang.remove(&gang) {
            self.accelerators_in_use += placed.accelerators;
            self.running.push((job, placed));
        }
    }

    /// Counts a gang as stopped from the stop of its first member.
    fn record_stop(&mut self, gang: GangId) {
        if let Some(ix) = self.running.iter().position(|(_, placed)| placed.gang == gang) {
            let (job, placed) = self.running.swap_remove(ix);
            self.accelerators_in_use -= placed.accelerators;
            let requeued = !matches!(self.scheduler.job(&job), None | Some(JobState::Ended(_)));
            self.waiting_jobs += usize::from(requeued);
        }
    }

    fn report(&self, workers: usize, resident_before_kib: u64) -> Result<Report> {
        let mut all = Histogram::new(3)?;
        for histogram in self.times.values() {
            all.add(histogram)?;
        }
        Ok(Report {
            workers,
            accelerators_per_worker: self.accelerators_per_worker,
            tasks_running: self.accelerators_in_use,
            gangs_running: self.running.len(),
            jobs_waiting: self.waiting_jobs,
            guaranteed_blocks: TEAMS * GUARANTEED_BLOCKS.len(),
            all: summary(&all),
            by_event: self.times.iter().map(|(name, times)| (*name, summary(times))).collect(),
            resident_before_kib,
            resident_after_kib: resident_kib()?,
        })
    }
}

/// Returns the name under which a queued event is measured.
fn event_name(event: &Event) -> &'static str {
    match event {
        Event::StageAnswered { .. } => "stage_answered",
        Event::CommitAnswered { .. } => "commit_answered",
        Event::RenewAnswered { .. } => "renew_answered",
        Event::StopAnswered { .. } => "stop_answered",
        Event::UpstreamAnnounced(_) => "upstream_announced",
        _ => "other",
    }
}

fn summary(histogram: &Histogram<u64>) -> TimeSummary {
    let us = |ns: u64| ns as f64 / 1_000.0;
    TimeSummary {
        count: histogram.len(),
        p50_us: us(histogram.value_at_quantile(0.5)),
        p99_us: us(histogram.value_at_quantile(0.99)),
        max_us: us(histogram.max()),
    }
}

fn announcement(worker: usize, accelerators: u32) -> Result<Announcement> {
    let rack = worker / WORKERS_PER_RACK;
    Ok(Announcement {
        name: parse(&format!("worker-{worker}"))?,
        incarnation: 1,
        rack: parse(&format!("data-centre-{}-rack-{rack}", rack % DATA_CENTRES))?,
        position: u32::try_from(worker % WORKERS_PER_RACK)?,
        accelerators,
        leaving: false,
    })
}

fn guarantees(team: usize) -> Result<Guarantees> {
    let organisation = parse(&format!("organisation-{team}"))?;
    Ok(Guarantees {
        service: parse(&format!("service-{team}"))?,
        version: 1,
        organisations: vec![(organisation, GUARANTEED_BLOCKS.into_iter().collect())],
    })
}

fn parse<T: FromStr>(text: &str) -> Result<T> {
    text.parse().map_err(|_| eyre!("{text:?} is not a valid name"))
}

/// Returns the resident memory of this process.
fn resident_kib() -> Result<u64> {
    let status =
        fs::read_to_string("/proc/self/status").wrap_err("cannot read the memory in use")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let line = line.ok_or_else(|| eyre!("the system does not report the memory in use"))?;
    Ok(line.trim().trim_end_matches(" kB").parse()?)
}
