//! Random load and random faults.

use rand::RngExt;

use super::truth::{JobTruth, Plan};
use super::worker::Link;
use super::world::{Item, UPSTREAM_LEASE_MS, World, name};
use crate::names::JobName;
use crate::scheduler::event::Event;
use crate::scheduler::{Guarantees, JobSpec};

/// Most open jobs; keeps the waiting queue long without letting it grow forever.
const OPEN_JOBS_LIMIT: usize = 120;

/// Most upstreams that are away at once, unless a whole rack is.
const AWAY_LIMIT: usize = 8;

const SERVICES: [&str; 2] = ["plan", "check"];
const ORGANISATIONS: [&str; 3] = ["north", "central", "south"];

impl World {
    pub(super) fn submit(&mut self) {
        let delay_ms = self.rng.random_range(20..600);
        self.at(delay_ms, Item::Submit);
        if self.quiet || self.open.len() >= OPEN_JOBS_LIMIT {
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
        self.next_name += 1;
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
        let truth = JobTruth { plan: Plan { run_ms, fails }, ..JobTruth::default() };
        self.truth.jobs.insert(spec.name.clone(), truth);
        self.open.insert(spec.name.clone());
        if self.rng.random_bool(0.05) {
            self.count_fault("repeated_submission");
            let delay_ms = self.rng.random_range(1..3_000);
            self.at(delay_ms, Item::Event(Event::JobSubmitted(spec.clone())));
        }
        // Without an answer the caller's submission was lost and is sent again later.
        self.at(1, Item::Event(Event::JobSubmitted(spec)));
    }

    fn random_run_ms(&mut self) -> u64 {
        // Some work outlasts several leases, so that a gang could be renewed wrongly for long.
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
            name: name(&format!("job-{}", self.next_name)),
            organisation: name(self.pick(&ORGANISATIONS)),
            service: name(self.pick(&SERVICES)),
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

    pub(super) fn faults(&mut self) {
        let delay_ms = self.rng.random_range(100..1_500);
        self.at(delay_ms, Item::Faults);
        if self.quiet || self.core.is_none() {
            return;
        }
        match self.rng.random_range(0..100) {
            0..15 => self.away(Link::Frozen, "upstream_freeze"),
            15..30 => self.away(Link::Down, "upstream_loss"),
            30..38 => self.leave(),
            38..46 => self.fail_everything(),
            46..48 => self.cancel_wave(),
            52..60 => self.change_document(),
            // More frequent restarts would end each partly silent gang before its bound matters.
            60 => self.stop_core(),
            61 => self.crash_next = true,
            62 => self.lose_rack(),
            63..67 => self.silence(),
            _ => {}
        }
    }

    fn away_count(&self) -> usize {
        self.workers.iter().filter(|worker| worker.link != Link::Up).count()
    }

    fn away(&mut self, link: Link, kind: &'static str) {
        let ix = self.rng.random_range(0..self.workers.len());
        if self.away_count() < AWAY_LIMIT {
            self.send_away(ix, link, kind);
        }
    }

    fn send_away(&mut self, ix: usize, link: Link, kind: &'static str) {
        if self.workers[ix].link != Link::Up {
            return;
        }
        if link == Link::Down {
            self.kill_worker(ix);
        }
        self.workers[ix].link = link;
        self.count_fault(kind);
        self.at(UPSTREAM_LEASE_MS, Item::LeaseEnd(ix));
        let away_ms = match self.rng.random_range(0..4) {
            0 => self.rng.random_range(100..3_000),
            1 => self.rng.random_range(30_000..120_000),
            _ => self.rng.random_range(3_000..40_000),
        };
        self.at(away_ms, Item::Return(ix));
    }

    /// Cuts off an upstream from the core's messages, while its announcements still arrive.
    fn silence(&mut self) {
        let ix = self.rng.random_range(0..self.workers.len());
        if self.workers[ix].link != Link::Up || self.away_count() >= AWAY_LIMIT {
            return;
        }
        self.workers[ix].link = Link::Frozen;
        self.count_fault("upstream_silent_but_announced");
        let silent_ms = self.rng.random_range(1_000..180_000);
        self.at(silent_ms, Item::Return(ix));
    }

    fn lose_rack(&mut self) {
        self.count_fault("rack_loss");
        let first = 8 * self.rng.random_range(0..self.workers.len() / 8);
        let link = if self.rng.random_bool(0.5) { Link::Frozen } else { Link::Down };
        for ix in first..first + 8 {
            self.send_away(ix, link, "upstream_loss");
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
                self.rename_worker(ix);
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
        self.at(1, Item::Event(Event::UpstreamLeaving { upstream, incarnation }));
        let until_ms = self.rng.random_range(1..20_000);
        self.at(until_ms, Item::Depart(ix));
    }

    /// Ends an upstream that had said that it would leave.
    pub(super) fn depart(&mut self, ix: usize) {
        if self.workers[ix].link == Link::Frozen {
            // Its return is scheduled already.
            self.kill_worker(ix);
        }
        self.send_away(ix, Link::Down, "upstream_left");
    }

    fn fail_everything(&mut self) {
        let ix = self.rng.random_range(0..self.workers.len());
        if self.workers.iter().filter(|worker| worker.fails_everything).count() < 2 {
            self.workers[ix].fails_everything = true;
            self.count_fault("upstream_fails_everything");
            let until_ms = self.rng.random_range(5_000..120_000);
            self.at(until_ms, Item::Heal(ix));
        }
    }

    fn cancel_wave(&mut self) {
        self.count_fault("cancellation_wave");
        let share = self.rng.random_range(0.05..0.6);
        let jobs: Vec<JobName> = self.open.iter().cloned().collect();
        for job in jobs {
            if self.rng.random_bool(share) {
                self.cancel(job);
            }
        }
    }

    fn cancel(&mut self, job: JobName) {
        let Some(truth) = self.truth.jobs.get_mut(&job) else { return };
        truth.cancelled = true;
        let delay_ms = self.rng.random_range(1..3_000);
        self.at(delay_ms, Item::Event(Event::JobCancelled { job }));
    }

    fn change_document(&mut self) {
        self.count_fault("document_change");
        let service = name(self.pick(&SERVICES));
        // Now and then an old document arrives late.
        let stale = self.rng.random_bool(0.1);
        let version = if stale { 1 } else { self.now_ms };
        let blocks = [1, 2, 3, 4, 8, 8, 16, 16, 24, 32, 64];
        let mut organisations = Vec::new();
        for organisation in ORGANISATIONS {
            let count = self.rng.random_range(0..4);
            let sizes = (0..count).map(|_| blocks[self.rng.random_range(0..blocks.len())]);
            organisations.push((name(organisation), sizes.collect()));
        }
        let document = Guarantees { service, version, organisations };
        self.at(1, Item::Event(Event::DocumentApplied(document)));
    }
}
