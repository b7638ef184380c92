//! Random jobs and random faults.

use rand::RngExt;

use super::truth::{ActualJob, JobBehaviour};
use super::worker::Link;
use super::world::{SimEvent, Simulation, UPSTREAM_LEASE_MS, UPSTREAMS_PER_RACK, parse_name};
use crate::names::JobName;
use crate::scheduler::event::Event;
use crate::scheduler::{Guarantees, JobSpec};

/// Number of open jobs at which submissions pause, so that the queue is long but bounded.
const OPEN_JOBS_LIMIT: usize = 120;

/// Number of unreachable upstreams at which no further one is disconnected at random. The loss of a
/// rack and the end of a leaving upstream are exempt.
const UNREACHABLE_LIMIT: usize = 8;

const SERVICES: [&str; 2] = ["plan", "check"];
const ORGANISATIONS: [&str; 3] = ["north", "central", "south"];

impl Simulation {
    pub(super) fn submit_jobs(&mut self) {
        let delay_ms = self.rng.random_range(20..600);
        self.schedule(delay_ms, SimEvent::SubmitJobs);
        if self.faults_stopped || self.open_jobs.len() >= OPEN_JOBS_LIMIT {
            return;
        }
        let (burst, large) = match self.rng.random_range(0..200) {
            0 => (self.rng.random_range(20..60), false),
            1 => (self.rng.random_range(5..20), true),
            _ => (1, self.rng.random_bool(0.1)),
        };
        if burst > 1 {
            self.count_fault(if large { "burst_of_large_jobs" } else { "burst_of_small_jobs" });
        }
        for _ in 0..burst {
            self.submit_one(large);
        }
    }

    fn submit_one(&mut self, large: bool) {
        self.last_name_number += 1;
        let spec = self.random_job(large);
        let run_ms = self.random_run_ms();
        let fails = self.rng.random_bool(0.03);
        if fails {
            self.count_fault("failing_job");
        }
        let crashes = self.rng.random_bool(0.01);
        if crashes {
            self.count_fault("crashing_job");
        }
        let declared_ms = spec.declared_run_ms.unwrap_or(run_ms);
        if declared_ms > run_ms * 3 || run_ms > declared_ms * 3 {
            self.count_fault("wrong_declared_time");
        }
        let behaviour = JobBehaviour { run_ms, fails, crashes };
        let actual = ActualJob { behaviour, ..ActualJob::default() };
        self.actual.jobs.insert(spec.name.clone(), actual);
        self.open_jobs.insert(spec.name.clone());
        if self.rng.random_bool(0.05) {
            self.count_fault("repeated_submission");
            let delay_ms = self.rng.random_range(1..3_000);
            self.schedule(delay_ms, SimEvent::CoreEvent(Event::JobSubmitted(spec.clone())));
        }
        // A submission that arrives while the core is down is lost, unless a repetition follows.
        self.schedule(1, SimEvent::CoreEvent(Event::JobSubmitted(spec)));
    }

    fn random_run_ms(&mut self) -> u64 {
        // Some jobs run for longer than several gang leases, so that wrong renewals have an effect.
        let long = self.rng.random_bool(0.05);
        let exponent = self.rng.random_range(if long { 16..19 } else { 7..16 });
        self.rng.random_range(1 << (exponent - 1)..1 << exponent)
    }

    /// Generates a job; a large one takes from 2 to 8 whole upstreams of a rack.
    fn random_job(&mut self, large: bool) -> JobSpec {
        let accelerators = match self.rng.random_range(0..100) {
            0 => 0,
            1 => self.rng.random_range(65..200),
            _ if large => 8 * self.rng.random_range(2..9),
            _ => self.rng.random_range(1..9),
        };
        // A rack has 64 accelerators, and no gang spans racks.
        if accelerators == 0 || accelerators > 64 {
            self.count_fault("never_runnable_job");
        }
        let can_stop = self.rng.random_bool(0.7);
        JobSpec {
            name: parse_name(&format!("job-{}", self.last_name_number)),
            organisation: parse_name(self.pick(&ORGANISATIONS)),
            service: parse_name(self.pick(&SERVICES)),
            accelerators,
            guaranteed: self.rng.random_bool(0.25),
            can_checkpoint: can_stop && self.rng.random_bool(0.6),
            can_stop,
            kind: String::new(),
            declared_run_ms: self.rng.random_bool(0.8).then(|| self.random_run_ms()),
        }
    }

    fn pick(&mut self, options: &[&'static str]) -> &'static str {
        options[self.rng.random_range(0..options.len())]
    }

    pub(super) fn inject_faults(&mut self) {
        let delay_ms = self.rng.random_range(100..1_500);
        self.schedule(delay_ms, SimEvent::InjectFaults);
        if self.faults_stopped || self.core.is_none() {
            return;
        }
        match self.rng.random_range(0..100) {
            0..15 => self.disconnect_random(Link::Frozen, "upstream_freeze"),
            15..30 => self.disconnect_random(Link::Down, "upstream_loss"),
            30..38 => self.begin_leave(),
            38..46 => self.begin_failing_members(),
            46..48 => self.cancel_random_jobs(),
            52..60 => self.change_document(),
            // Restarts are rare, because a restart ends gangs with unreachable members: with many,
            // the time bound on the work of such gangs would not be tested.
            60 => self.stop_core(),
            61 => self.crash_after_persist = true,
            62 => self.lose_rack(),
            63..67 => self.block_messages(),
            // The other numbers, 48 to 51 among them, inject no fault.
            _ => {}
        }
    }

    fn unreachable_count(&self) -> usize {
        self.workers.iter().filter(|worker| worker.link != Link::Up).count()
    }

    /// Disconnects a random upstream, unless too many are unreachable.
    fn disconnect_random(&mut self, link: Link, kind: &'static str) {
        let ix = self.rng.random_range(0..self.workers.len());
        if self.unreachable_count() < UNREACHABLE_LIMIT {
            self.disconnect(ix, link, kind);
        }
    }

    /// Makes an upstream unreachable for a random time.
    fn disconnect(&mut self, ix: usize, link: Link, kind: &'static str) {
        if self.workers[ix].link != Link::Up {
            return;
        }
        if link == Link::Down {
            self.kill_worker(ix);
        }
        self.workers[ix].link = link;
        self.count_fault(kind);
        self.schedule(UPSTREAM_LEASE_MS, SimEvent::UpstreamLeaseEnd(ix));
        let outage_ms = match self.rng.random_range(0..4) {
            0 => self.rng.random_range(100..3_000),
            1 => self.rng.random_range(30_000..120_000),
            _ => self.rng.random_range(3_000..40_000),
        };
        self.schedule(outage_ms, SimEvent::Reconnect(ix));
    }

    /// Blocks the messages between the core and an upstream, whose announcements still arrive.
    fn block_messages(&mut self) {
        let ix = self.rng.random_range(0..self.workers.len());
        if self.workers[ix].link != Link::Up || self.unreachable_count() >= UNREACHABLE_LIMIT {
            return;
        }
        self.workers[ix].link = Link::Frozen;
        self.count_fault("upstream_silent_but_announced");
        let blocked_ms = self.rng.random_range(1_000..180_000);
        self.schedule(blocked_ms, SimEvent::Reconnect(ix));
    }

    /// Ends the process of an upstream that a job crashes.
    pub(super) fn crash(&mut self, ix: usize) {
        self.disconnect(ix, Link::Down, "upstream_crashed_by_job");
    }

    fn lose_rack(&mut self) {
        self.count_fault("rack_loss");
        let rack_size = UPSTREAMS_PER_RACK as usize;
        let first = rack_size * self.rng.random_range(0..self.workers.len() / rack_size);
        let link = if self.rng.random_bool(0.5) { Link::Frozen } else { Link::Down };
        for ix in first..first + rack_size {
            self.disconnect(ix, link, "upstream_loss");
        }
    }

    /// Makes an unreachable upstream reachable again. If its process had ended, it starts again,
    /// sometimes on a replacement of its host.
    pub(super) fn reconnect(&mut self, ix: usize) {
        let link = std::mem::replace(&mut self.workers[ix].link, Link::Up);
        if link == Link::Up {
            return;
        }
        if link == Link::Down {
            self.workers[ix].leaving_since_ms = None;
            self.workers[ix].announcement.leaving = false;
            self.workers[ix].announcement.incarnation += 1;
            if self.rng.random_bool(0.1) {
                self.count_fault("upstream_replaced");
                self.replace_host(ix);
            }
        }
        self.count_fault("upstream_return");
        self.announce(ix);
    }

    /// Makes a random upstream announce that it leaves, and schedules the end of its process.
    fn begin_leave(&mut self) {
        let ix = self.rng.random_range(0..self.workers.len());
        let worker = &mut self.workers[ix];
        if worker.link != Link::Up || worker.leaving_since_ms.is_some() {
            return;
        }
        worker.leaving_since_ms = Some(self.now_ms);
        worker.announcement.leaving = true;
        let upstream = worker.announcement.name.clone();
        let incarnation = worker.announcement.incarnation;
        self.count_fault("upstream_leave");
        self.schedule(1, SimEvent::CoreEvent(Event::UpstreamLeaving { upstream, incarnation }));
        let delay_ms = self.rng.random_range(1..20_000);
        self.schedule(delay_ms, SimEvent::Depart(ix));
    }

    /// Ends the process of an upstream that announced that it leaves, even if the process has
    /// restarted since.
    pub(super) fn depart(&mut self, ix: usize) {
        if self.workers[ix].link == Link::Frozen {
            // `disconnect` skips unreachable upstreams, and `Reconnect` is scheduled already.
            self.kill_worker(ix);
        }
        self.disconnect(ix, Link::Down, "upstream_left");
    }

    /// Makes a random upstream fail all members that it starts, for a random time; at most two
    /// upstreams do so at once.
    fn begin_failing_members(&mut self) {
        let ix = self.rng.random_range(0..self.workers.len());
        if self.workers.iter().filter(|worker| worker.fails_everything).count() < 2 {
            self.workers[ix].fails_everything = true;
            self.count_fault("upstream_fails_everything");
            let failing_ms = self.rng.random_range(5_000..120_000);
            self.schedule(failing_ms, SimEvent::Recover(ix));
        }
    }

    fn cancel_random_jobs(&mut self) {
        self.count_fault("cancellation_wave");
        let probability = self.rng.random_range(0.05..0.6);
        let jobs: Vec<JobName> = self.open_jobs.iter().cloned().collect();
        for job in jobs {
            if self.rng.random_bool(probability) {
                self.cancel(job);
            }
        }
    }

    fn cancel(&mut self, job: JobName) {
        let Some(actual) = self.actual.jobs.get_mut(&job) else { return };
        actual.cancelled = true;
        let delay_ms = self.rng.random_range(1..3_000);
        self.schedule(delay_ms, SimEvent::CoreEvent(Event::JobCancelled { job }));
    }

    /// Applies a document with random guarantees of the organisations for a random service.
    fn change_document(&mut self) {
        self.count_fault("document_change");
        let service = parse_name(self.pick(&SERVICES));
        // Versions are simulated times, so version 1 is an outdated document that arrives late.
        let stale = self.rng.random_bool(0.1);
        let version = if stale { 1 } else { self.now_ms };
        let block_sizes = [1, 2, 3, 4, 8, 8, 16, 16, 24, 32, 64];
        let mut organisations = Vec::new();
        for organisation in ORGANISATIONS {
            let count = self.rng.random_range(0..4);
            let sizes =
                (0..count).map(|_| block_sizes[self.rng.random_range(0..block_sizes.len())]);
            organisations.push((parse_name(organisation), sizes.collect()));
        }
        let document = Guarantees { service, version, organisations };
        self.schedule(1, SimEvent::CoreEvent(Event::DocumentApplied(document)));
    }
}
