//! The loop of a replay.

use std::collections::HashSet;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::callers::{Callers, Told};
use super::figures::{Ending, ReplayReport, report};
use super::hosts::{self, Hosts, STOP_MS};
use super::load::{MIX, Request, configuration, requests};
use super::scenario::{SUBMISSION_MS, Scenario};
use super::stops::Discarded;
use crate::placement::{
    Admission, Admissions, Approvals, Headroom, Learned, Plan, View, plan, urgent_demand,
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
pub fn replay(scenario: Scenario, hosts: usize, seed: u64) -> ReplayReport {
    let record = Replay::new(scenario, hosts, seed, Admitting::ByForecast).run();
    let unrefused = Replay::new(scenario, hosts, seed, Admitting::Everything).run();
    report(scenario, hosts, seed, &record, &unrefused)
}

/// State of a replay.
struct Replay {
    scenario: Scenario,
    admitting: Admitting,
    requests: Vec<Request>,
    callers: Callers,
    hosts: Hosts,
    state: State,
    headroom: Headroom,
    admissions: Admissions,
    learned: Learned,
    rng: StdRng,
    now_ms: u64,
    /// When each job was completed.
    completed_ms: Vec<Option<u64>>,
}

impl Replay {
    fn new(scenario: Scenario, hosts: usize, seed: u64, admitting: Admitting) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let requests = requests(scenario, hosts as f64 / NORMAL_HOSTS as f64, &mut rng);
        let callers = Callers::new(requests.iter().map(|request| request.at_ms));
        let completed_ms = vec![None; requests.len()];
        let mut replay = Self {
            scenario,
            admitting,
            callers,
            hosts: Hosts::new(hosts),
            state: State::default(),
            headroom: Headroom::default(),
            admissions: Admissions::default(),
            learned: Learned::default(),
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
        let mut changes = self.hosts.set_lost(disturbance.hosts_lost_percent, self.now_ms);
        changes.extend(self.hosts.end_due(self.now_ms));
        for change in changes {
            self.apply(change);
        }
        self.set_evacuated(disturbance.evacuated);
        self.submit_due(disturbance.control_down);
        if disturbance.control_down {
            return;
        }
        let plan = self.decide();
        for (unit, run, cause) in &plan.stops {
            self.hosts.stop(unit, *run, *cause, self.now_ms);
        }
        for start in &plan.starts {
            let request = &self.requests[job_number(&start.unit.job)];
            self.hosts.start(start, request, self.now_ms, &mut self.rng);
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
            progress: &self.hosts.progress(self.now_ms),
            avoid: &HashSet::new(),
            approvals: &Approvals::default(),
            learned: &self.learned,
            reserve_millihosts,
            stop_ms: STOP_MS,
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
