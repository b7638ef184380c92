//! Random jobs and random faults.

use rand::RngExt;

use super::truth::{ActualJob, JobBehaviour};
use super::worker::Link;
use super::world::{SimEvent, Simulation, UPSTREAM_LEASE_MS, parse_name};
use crate::names::JobName;
use crate::scheduler::event::Event;
use crate::scheduler::{Guarantees, JobSpec};

/// Number of open jobs at which submissions pause, so that the queue is long but bounded.
const OPEN_JOBS_LIMIT: usize = 120;

/// Largest number of upstreams unreachable at once, apart from the loss of a whole rack.
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
        let declared_ms = spec.declared_run_ms.unwrap_or(run_ms);
        if declared_ms > run_ms * 3 || run_ms > declared_ms * 3 {
            self.count_fault("wrong_declared_time");
        }
        let actual =
            ActualJob { behaviour: JobBehaviour { run_ms, fails }, ..ActualJob::default() };
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
        // Some work outlasts several leases, so that a wrong renewal would have time to show.
        let long = self.rng.random_bool(0.05);
        let exponent = self.rng.random_range(if long { 16..19 } else { 7..16 });
        self.rng.random_range(1 << (exponent - 1)..1 << exponent)
    }

    fn random_job(&mut self, large: bool) -> JobSpec {
        let accelerators = match self.rng.random_range(0..100) {
            0 => 0,
            1 => self.rng.random_range(65..200),
            _ if large => 8 * self.rng.random_range(2..9),
            _ => self.rng.random_range(1..9),
        };
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

    fn pick(&mut self, from: &[&'static str]) -> &'static str {
        from[self.rng.random_range(0..from.len())]
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
            30..38 => self.leave(),
            38..46 => self.fail_everything(),
            46..48 => self.cancel_many(),
            52..60 => self.change_document(),
            // Restarts are rare because each would end gangs with unreachable members before the
            // time bound on their partial work is tested.
            60 => self.stop_core(),
            61 => self.crash_after_persist = true,
            62 => self.lose_rack(),
            63..67 => self.block_messages(),
            _ => {}
        }
    }

    fn unreachable_count(&self) -> usize {
        self.workers.iter().filter(|worker| worker.link != Link::Up).count()
    }

    /// Disconnects a random upstream.
    fn disconnect_random(&mut self, link: Link, kind: &'static str) {
        let ix = self.rng.random_range(0..self.workers.len());
        if self.unreachable_count() < UNREACHABLE_LIMIT {
            self.disconnect(ix, link, kind);
        }
    }

    fn disconnect(&mut self, ix: usize, link: Link, kind: &'static str) {
        if self.workers[ix].link != Link::Up {
            return;
        }
        if link == Link::Down {
            self.kill_worker(ix);
        }
        self.workers[ix].link = link;
        self.count_fault(kind);
        self.schedule(UPSTREAM_LEASE_MS, SimEvent::LeaseEnd(ix));
        let outage_ms = match self.rng.random_range(0..4) {
            0 => self.rng.random_range(100..3_000),
            1 => self.rng.random_range(30_000..120_000),
            _ => self.rng.random_range(3_000..40_000),
        };
        self.schedule(outage_ms, SimEvent::Return(ix));
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
        self.schedule(blocked_ms, SimEvent::Return(ix));
    }

    fn lose_rack(&mut self) {
        self.count_fault("rack_loss");
        let first = 8 * self.rng.random_range(0..self.workers.len() / 8);
        let link = if self.rng.random_bool(0.5) { Link::Frozen } else { Link::Down };
        for ix in first..first + 8 {
            self.disconnect(ix, link, "upstream_loss");
        }
    }

    pub(super) fn return_worker(&mut self, ix: usize) {
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

    fn leave(&mut self) {
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
        let until_ms = self.rng.random_range(1..20_000);
        self.schedule(until_ms, SimEvent::Depart(ix));
    }

    /// Ends the process of an upstream that announced that it leaves.
    pub(super) fn depart(&mut self, ix: usize) {
        if self.workers[ix].link == Link::Frozen {
            // Its return is scheduled already, and `disconnect` skips unreachable upstreams.
            self.kill_worker(ix);
        }
        self.disconnect(ix, Link::Down, "upstream_left");
    }

    fn fail_everything(&mut self) {
        let ix = self.rng.random_range(0..self.workers.len());
        if self.workers.iter().filter(|worker| worker.fails_everything).count() < 2 {
            self.workers[ix].fails_everything = true;
            self.count_fault("upstream_fails_everything");
            let until_ms = self.rng.random_range(5_000..120_000);
            self.schedule(until_ms, SimEvent::Recover(ix));
        }
    }

    fn cancel_many(&mut self) {
        self.count_fault("cancellation_wave");
        let share = self.rng.random_range(0.05..0.6);
        let jobs: Vec<JobName> = self.open_jobs.iter().cloned().collect();
        for job in jobs {
            if self.rng.random_bool(share) {
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

    fn change_document(&mut self) {
        self.count_fault("document_change");
        let service = parse_name(self.pick(&SERVICES));
        // Sometimes an outdated document arrives late.
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
