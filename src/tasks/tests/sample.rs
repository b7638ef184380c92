//! Sample configurations, jobs and upstreams for tests.

use std::sync::Arc;

use bytes::Bytes;

use crate::tasks::{
    Change, Command, Configuration, EndKind, EndRecord, FrontLimits, Heartbeat, Incarnation, JobId,
    JobSpec, Organisation, Queue, Resources, StartRecord, State, StepSpec, TaskId, UnitId,
    WorkerService,
};

/// Capacity of a sample upstream.
pub(crate) const HOST: Resources =
    Resources { cpu_millicores: 128_000, memory_mb: 512_000, accelerators: 8 };

pub(crate) fn job_id(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("16 digits")
}

pub(crate) fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        name: name.into(),
        host: "jobs.example".into(),
        path_prefix: format!("/{name}/").into(),
        timeout_ms: 3_000,
        target_ms: 1_000,
        priority,
        service: "pool".into(),
        attempts_max: 2,
        slack_permille: 2_000,
        public: false,
        advice: None,
    }
}

pub(crate) fn organisation(name: &str, accelerators: u32) -> Organisation {
    Organisation {
        name: name.into(),
        keys: vec![format!("key-of-{name}").into()],
        priority: 0,
        guaranteed: Resources { accelerators, ..Resources::default() },
        weight: Organisation::DEFAULT_WEIGHT,
    }
}

/// Queues `urgent`, `normal` and `batch` of priorities 0 to 2, and organisations `north` and
/// `south`.
pub(crate) fn configuration(version: u64) -> Configuration {
    Configuration {
        version,
        queues: vec![queue("urgent", 0), queue("normal", 1), queue("batch", 2)],
        services: vec![WorkerService {
            name: "pool".into(),
            guards_capacity: true,
            standby: false,
        }],
        organisations: vec![organisation("north", 32), organisation("south", 16)],
        limits: FrontLimits {
            header_bytes: 16_384,
            body_bytes: 262_144,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
    }
}

/// A step whose tasks take the given accelerators and a proportional share of the host.
pub(crate) fn step(tasks: u32, accelerators: u32) -> StepSpec {
    StepSpec {
        tasks,
        need: Resources {
            cpu_millicores: accelerators * 10_000,
            memory_mb: accelerators * 20_000,
            accelerators,
        },
        estimate_ms: 4_000,
        ..StepSpec::default()
    }
}

pub(crate) fn gang(tasks: u32, accelerators: u32) -> StepSpec {
    StepSpec { gang: true, same_rack: true, ..step(tasks, accelerators) }
}

pub(crate) fn spec(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec { payload: "work".into(), steps, repeat: None }
}

pub(crate) fn incarnation(host: u32) -> Incarnation {
    Incarnation { id: format!("host-{host:02}").into(), born_unix_ms: 1_000 }
}

/// Heartbeat of a host; there are eight hosts in a rack.
pub(crate) fn heartbeat(host: u32) -> Heartbeat {
    Heartbeat {
        id: incarnation(host).id,
        born_unix_ms: incarnation(host).born_unix_ms,
        sequence: 1,
        service: "pool".into(),
        address: format!("10.0.0.{host}:80").into(),
        data_centre: "dc".into(),
        machine: None,
        draining: false,
        drain_remaining_ms: 0,
        cold_remaining_ms: 0,
        capacity: HOST,
        labels: vec!["a".into(), format!("rack-{}", host / 8).into()],
        rack: format!("rack-{}", host / 8).into(),
    }
}

/// A replicated state with helpers that apply commands to it.
#[derive(Debug, Default)]
pub(crate) struct Sample {
    pub(crate) state: State,
}

impl Sample {
    /// Returns a configured state with the given number of registered hosts.
    pub(crate) fn with_hosts(hosts: u32) -> Self {
        let mut sample = Self::default();
        sample.configure(configuration(1));
        for host in 0..hosts {
            sample.apply(Change::RegisterUpstream { heartbeat: heartbeat(host) });
        }
        sample
    }

    pub(crate) fn apply(&mut self, change: Change) {
        let at_ms = self.state.now_ms;
        self.state.apply(Command { at_ms, change });
    }

    pub(crate) fn at(&mut self, now_ms: u64) {
        self.state.now_ms = now_ms;
    }

    pub(crate) fn configure(&mut self, configuration: Configuration) {
        let raw = Bytes::from(format!("version {}", configuration.version));
        self.apply(Change::SetConfiguration { configuration: Arc::new(configuration), raw });
    }

    pub(crate) fn accept(&mut self, number: u64, queue: &str, steps: Vec<StepSpec>) -> JobId {
        self.accept_for(number, queue, "north", steps)
    }

    pub(crate) fn accept_for(
        &mut self,
        number: u64,
        queue: &str,
        organisation: &str,
        steps: Vec<StepSpec>,
    ) -> JobId {
        let id = job_id(number);
        self.apply(Change::Accept {
            id: id.clone(),
            queue: queue.into(),
            organisation: Some(organisation.into()),
            spec: Arc::new(spec(steps)),
        });
        id
    }

    pub(crate) fn start(&mut self, job: &JobId, unit: u32, run: u32, hosts: &[u32]) {
        let unit = UnitId { job: job.clone(), occurrence: 0, step: 0, unit };
        let incarnations = hosts.iter().map(|host| incarnation(*host)).collect();
        self.apply(Change::Start { starts: vec![StartRecord { unit, run, incarnations }] });
    }

    /// Records that a task of a job has begun.
    pub(crate) fn begin(&mut self, job: &JobId) {
        self.apply(Change::RecordBegun { jobs: vec![job.clone()] });
    }

    /// Records the end of one task.
    pub(crate) fn end(&mut self, job: &JobId, index: u32, run: u32, host: u32, how: EndKind) {
        let task = TaskId { job: job.clone(), occurrence: 0, step: 0, index };
        let end = EndRecord { task, run, how, checkpoint: Some("saved".into()) };
        self.apply(Change::RecordEnds {
            incarnation: incarnation(host),
            up_to: 1,
            ends: vec![end],
        });
    }
}
