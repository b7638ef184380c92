//! The loop of a replay.

use std::collections::HashSet;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::callers::{Callers, Told};
use super::conditions::Conditions;
use super::figures::{Ending, ReplayReport, report};
use super::hosts::{self, Hosts, STOP_MS};
use super::load::{MIX, Request, configuration, requests};
use super::scenario::{SUBMISSION_MS, Scenario};
use super::stops::Discarded;
use crate::placement::{
    Admission, Admissions, Approvals, Feeds, Headroom, Learned, ListRead, Observer, Plan, View,
    plan, urgent_demand,
};
use crate::tasks::{Change, Command, JobId, Outcome, State, UnitId};

/// Time between two decisions.
const PASS_MS: u64 = 100;

/// End of a replay, long after the last result is of use.
const END_MS: u64 = SUBMISSION_MS + 110_000;

/// Number of hosts for which the rates of the kinds are given.
const NORMAL_HOSTS: usize = 48;

/// Whether jobs may be refused for lack of capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Admitting {
    ByForecast,
    Everything,
}

/// What the scheduler knows of run times and hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Knowledge {
    /// What callers declare and lists show.
    Observed,
    /// The actual run times and speeds, for comparison.
    All,
}

/// What a run of a scenario left behind.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) requests: Vec<Request>,
    pub(super) endings: Vec<Ending>,
    pub(super) refusals: u64,
    pub(super) discarded: Discarded,
}

/// Replays a scenario on a number of hosts, with the load scaled to them.
#[must_use]
pub fn replay(scenario: Scenario, hosts: usize, seed: u64, feeds: Feeds) -> ReplayReport {
    use Admitting::{ByForecast, Everything};
    let play = |admitting, knowledge| {
        Replay::new(scenario, hosts, seed, admitting, (knowledge, feeds)).run()
    };
    let record = play(ByForecast, Knowledge::Observed);
    let unrefused = play(Everything, Knowledge::Observed);
    let hidden = Conditions::of(scenario).are_hidden();
    let informed = hidden.then(|| play(ByForecast, Knowledge::All));
    report(scenario, hosts, seed, &record, &unrefused, informed.as_ref())
}

/// State of a replay.
struct Replay {
    scenario: Scenario,
    admitting: Admitting,
    knowledge: Knowledge,
    requests: Vec<Request>,
    callers: Callers,
    hosts: Hosts,
    state: State,
    headroom: Headroom,
    admissions: Admissions,
    learned: Learned,
    observer: Observer,
    rng: StdRng,
    now_ms: u64,
    /// When each job was completed.
    completed_ms: Vec<Option<u64>>,
}

impl Replay {
    fn new(
        scenario: Scenario,
        hosts: usize,
        seed: u64,
        admitting: Admitting,
        (knowledge, feeds): (Knowledge, Feeds),
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let conditions = Conditions::of(scenario);
        let mut requests = requests(scenario, hosts as f64 / NORMAL_HOSTS as f64, &mut rng);
        conditions.revise_all(&mut requests, seed, knowledge == Knowledge::All);
        let callers = Callers::new(requests.iter().map(|request| request.at_ms));
        let completed_ms = vec![None; requests.len()];
        let mut replay = Self {
            scenario,
            admitting,
            knowledge,
            callers,
            hosts: Hosts::new(hosts, conditions),
            state: State::default(),
            headroom: Headroom::default(),
            admissions: Admissions::default(),
            learned: Learned::with_feeds(feeds),
            observer: Observer::default(),
            rng,
            now_ms: 0,
            completed_ms,
            requests,
        };
        replay.apply(configuration());
        for change in replay.hosts.register_all() {
            replay.apply(change);
        }
        replay
    }

    fn run(mut self) -> Record {
        while self.now_ms < END_MS && !self.is_finished() {
            self.step();
            self.now_ms += PASS_MS;
        }
        let endings = (0..self.requests.len()).map(|job| self.ending(job)).collect();
        Record {
            endings,
            refusals: self.callers.refusals,
            discarded: self.hosts.discarded,
            requests: self.requests,
        }
    }

    fn is_finished(&self) -> bool {
        self.callers.is_idle() && self.state.jobs.values().all(|job| job.outcome.is_some())
    }

    fn step(&mut self) {
        let disturbance = self.scenario.disturbance(self.now_ms);
        self.hosts.advance(self.now_ms);
        let mut changes = self.hosts.set_lost(disturbance.hosts_lost_percent);
        changes.extend(self.hosts.end_due(self.now_ms));
        for change in changes {
            self.apply(change);
        }
        self.set_evacuated(disturbance.evacuated);
        self.submit_due(disturbance.control_down);
        if disturbance.control_down {
            return;
        }
        self.learn();
        let plan = self.decide();
        for (unit, run, cause) in &plan.stops {
            self.hosts.stop(unit, *run, *cause, self.now_ms);
        }
        for start in &plan.starts {
            let request = &self.requests[job_number(&start.unit.job)];
            let expected = self.expected(request);
            self.hosts.start(start, (request, expected), self.now_ms, &mut self.rng);
        }
        self.apply(Change::Start { starts: plan.starts });
    }

    /// Begins or finishes the evacuation of the data centre of the first hosts.
    fn set_evacuated(&mut self, evacuated: bool) {
        let data_centre = hosts::data_centre(0);
        if self.state.evacuations.is_active(&data_centre) != evacuated {
            let revision = self.state.evacuations.revision(&data_centre);
            self.apply(Change::SetEvacuation { data_centre, begin: evacuated, revision });
        }
    }

    /// Reads the lists that are due, and learns from them.
    fn learn(&mut self) {
        let lists = self.hosts.read_lists(self.now_ms);
        if self.knowledge == Knowledge::All {
            self.hosts.tell_all(&mut self.learned, self.now_ms);
            return;
        }
        for (upstream, runs) in &lists {
            let read = ListRead { upstream, clock_ms: self.now_ms, runs };
            self.observer.record(&mut self.learned, &read, self.now_ms);
        }
    }

    /// Returns the run time that the scheduler expects of the units of a job.
    fn expected(&self, request: &Request) -> u64 {
        let declared_ms = request.spec.steps[0].estimate_ms;
        if !self.learned.feeds.time_left {
            return declared_ms;
        }
        self.learned.expected(&request.kind_of_work(), declared_ms).run_ms
    }

    fn apply(&mut self, change: Change) {
        self.state.apply(Command { at_ms: self.now_ms, change });
        for event in self.state.take_events() {
            if event.outcome == Some(Outcome::Completed) {
                self.completed_ms[job_number(&event.id)] = Some(self.now_ms);
            }
        }
    }

    fn submit_due(&mut self, control_down: bool) {
        while let Some(job) = self.callers.next_due(self.now_ms) {
            if control_down {
                self.callers.not_answered(job, self.now_ms);
                continue;
            }
            match self.admission(job) {
                Admission::Accepted { .. } => self.accept(job),
                Admission::RetryLater { retry_after_ms, .. } => {
                    self.callers.refused(job, retry_after_ms, self.now_ms);
                }
            }
        }
    }

    fn accept(&mut self, job: usize) {
        let request = &self.requests[job];
        let (queue, spec) = (MIX[request.kind].queue.into(), Arc::clone(&request.spec));
        let organisation = Some(request.organisation.into());
        self.callers.accepted(job);
        self.apply(Change::Accept { id: job_id(job), queue, organisation, spec });
    }

    fn admission(&mut self, job: usize) -> Admission {
        if self.admitting == Admitting::Everything {
            return Admission::Accepted { forecast_ms: None };
        }
        let request = &self.requests[job];
        let (spec, organisation) = (Arc::clone(&request.spec), request.organisation);
        let name = MIX[request.kind].queue;
        let configuration = self.state.configuration.clone().expect("the replay is configured");
        let queue = configuration.queue(name).expect("each kind has its queue");
        let mut admissions = std::mem::take(&mut self.admissions);
        let admission = self.with_view(0, |view| {
            admissions.decide(view, queue, Some(organisation), (&job_id(job), &spec))
        });
        self.admissions = admissions;
        admission
    }

    fn decide(&mut self) -> Plan {
        let demand = self.with_view(0, urgent_demand);
        let hosts = self.state.upstreams.len();
        let reserve = self.headroom.update(self.now_ms, demand, hosts);
        let mut admissions = std::mem::take(&mut self.admissions);
        self.with_view(0, |view| admissions.update(view));
        self.admissions = admissions;
        self.with_view(reserve, plan)
    }

    fn with_view<T>(&self, reserve_millihosts: u64, decide: impl FnOnce(&View<'_>) -> T) -> T {
        let stopping: HashSet<(UnitId, u32)> = self.hosts.stopping();
        let closed_percent = self.scenario.disturbance(self.now_ms).hosts_closed_percent;
        decide(&View {
            state: &self.state,
            hosts: &Hosts::view(&self.state, closed_percent),
            now_ms: self.now_ms,
            unix_ms: self.now_ms,
            stopping: &stopping,
            progress: &self.hosts.progress(self.now_ms, self.knowledge == Knowledge::All),
            avoid: &HashSet::new(),
            approvals: &Approvals::default(),
            learned: &self.learned,
            reserve_millihosts,
            stop_ms: STOP_MS,
            weighs_stops: true,
            jobs_max_bytes: u64::MAX / 100,
        })
    }

    fn ending(&self, job: usize) -> Ending {
        match (self.callers.told[job], self.completed_ms[job]) {
            (_, Some(at_ms)) => Ending::Completed { after_ms: at_ms - self.requests[job].at_ms },
            (Told::Accepted, None) => Ending::NeverDone,
            (Told::Refused | Told::Nothing, None) => Ending::Refused,
        }
    }
}

fn job_id(number: usize) -> JobId {
    format!("{number:016x}").parse().expect("16 digits")
}

fn job_number(id: &JobId) -> usize {
    usize::from_str_radix(&id.to_string(), 16).expect("made of a number")
}
