//! A scheduler with a simulated time, whose members answer as a test directs.

use crate::names::UpstreamName;
use crate::scheduler::{
    Announcement, Decision, Event, GangId, JobEnd, JobRecord, JobSpec, JobState, MemberStatus,
    Scheduler, StopStatus,
};

/// A scheduler with its simulated time and its decisions so far.
pub struct SimulatedCore {
    pub scheduler: Scheduler,
    pub now_ms: u64,
    pub records: Vec<JobRecord>,
    /// Decisions that no member has answered yet.
    pub inbox: Vec<Decision>,
    pub ends: Vec<(String, JobEnd)>,
    pub refusals: Vec<String>,
    pub log: Vec<String>,
}

impl SimulatedCore {
    /// Builds a pool of racks, each with this many upstreams of eight accelerators.
    pub fn with_racks(racks: u32, upstreams: u32) -> Self {
        let mut core = Self::new(Scheduler::new(0));
        for rack in 0..racks {
            for position in 0..upstreams {
                core.announce(rack, position, 1);
            }
        }
        core
    }

    pub fn new(scheduler: Scheduler) -> Self {
        Self {
            scheduler,
            now_ms: 0,
            records: Vec::new(),
            inbox: Vec::new(),
            ends: Vec::new(),
            refusals: Vec::new(),
            log: Vec::new(),
        }
    }

    pub fn announce(&mut self, rack: u32, position: u32, incarnation: u64) {
        self.step(Event::UpstreamAnnounced(announcement(rack, position, incarnation)));
    }

    /// Applies an event, checks the whole state and keeps the decisions.
    pub fn step(&mut self, event: Event) {
        let decisions = self.scheduler.step(event, self.now_ms);
        self.scheduler.check_all();
        for decision in decisions {
            self.log.push(format!("{} {}", self.now_ms, to_json(&decision)));
            match decision {
                Decision::Persist(record) => self.records.push(record),
                Decision::JobEnded { job, end } => self.ends.push((job.to_string(), end)),
                Decision::JobRefused { reason, .. }
                | Decision::DocumentRefused { reason, .. }
                | Decision::GuaranteeAtRisk { reason, .. } => self.refusals.push(reason),
                Decision::JobAccepted { .. } => {}
                message => self.inbox.push(message),
            }
        }
    }

    /// Advances the time in small ticks without any answer.
    pub fn wait_ms(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms = (self.now_ms + 50).min(end_ms);
            self.step(Event::Tick);
        }
    }

    /// Answers all messages as healthy members do, until none is left.
    pub fn answer_all(&mut self) {
        self.answer_except("");
    }

    /// Answers as [`Self::answer_all`] does, except for the named upstream.
    pub fn answer_except(&mut self, silent: &str) {
        while !self.inbox.is_empty() {
            for message in std::mem::take(&mut self.inbox) {
                if let Some((upstream, answer)) = healthy_answer(message)
                    && upstream.as_str() != silent
                {
                    self.step(answer);
                }
            }
        }
    }

    /// Advances the time with healthy members that answer at once.
    pub fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.wait_ms(100);
            self.answer_all();
        }
    }

    pub fn submit(&mut self, spec: JobSpec) {
        self.step(Event::JobSubmitted(spec));
    }

    /// Submits a job and lets all members start.
    pub fn start(&mut self, spec: JobSpec) -> GangId {
        let name = spec.name.clone();
        self.submit(spec);
        self.answer_all();
        self.gang(name.as_str())
    }

    pub fn state(&self, name: &str) -> JobState {
        self.scheduler.job(&name.parse().expect("valid name")).expect("known job").clone()
    }

    pub fn gang(&self, name: &str) -> GangId {
        match self.state(name) {
            JobState::Placed(gang) => gang,
            state => panic!("job {name} has no gang but is {state:?}"),
        }
    }

    pub fn stage(&self, name: &str) -> Option<&'static str> {
        self.scheduler.explain(&name.parse().expect("valid name"), self.now_ms)?.stage
    }

    pub fn upstreams(&self, name: &str) -> Vec<String> {
        let explanation = self.scheduler.explain(&name.parse().expect("valid name"), self.now_ms);
        let upstreams = explanation.expect("known job").upstreams;
        upstreams.iter().map(ToString::to_string).collect()
    }

    pub fn take_log(&mut self) -> String {
        std::mem::take(&mut self.log).join("\n")
    }
}

pub fn announcement(rack: u32, position: u32, incarnation: u64) -> Announcement {
    Announcement {
        name: upstream(rack, position),
        incarnation,
        rack: format!("rack-{rack}").parse().expect("valid name"),
        position,
        accelerators: 8,
        leaving: false,
    }
}

pub fn upstream(rack: u32, position: u32) -> UpstreamName {
    format!("u{rack}-{position}").parse().expect("valid name")
}

/// Builds a job of the organisation `north` that cannot be stopped.
pub fn job(name: &str, accelerators: u32) -> JobSpec {
    JobSpec {
        name: name.parse().expect("valid name"),
        organisation: "north".parse().expect("valid name"),
        service: "plan".parse().expect("valid name"),
        accelerators,
        guaranteed: false,
        can_checkpoint: false,
        can_stop: false,
        kind: String::new(),
        declared_run_ms: None,
    }
}

fn to_json(decision: &Decision) -> String {
    serde_json::to_string(decision).expect("decisions can be written as JSON")
}

fn healthy_answer(message: Decision) -> Option<(UpstreamName, Event)> {
    let (upstream, answer) = match message {
        Decision::Stage { gang, upstream, .. } => {
            (upstream.clone(), Event::StageAnswered { gang, upstream, staged: true })
        }
        Decision::Commit { gang, upstream, .. } => (
            upstream.clone(),
            Event::CommitAnswered { gang, upstream, incarnation: 1, started: true },
        ),
        Decision::Renew { upstream, round, gangs } => {
            let members = gangs.iter().map(|r| (r.gang, MemberStatus::Running)).collect();
            (upstream.clone(), Event::RenewAnswered { upstream, round, members })
        }
        Decision::Stop { gang, upstream } => {
            let status = StopStatus::Stopped;
            (upstream.clone(), Event::StopAnswered { gang, upstream, incarnation: 1, status })
        }
        _ => return None,
    };
    Some((upstream, answer))
}
