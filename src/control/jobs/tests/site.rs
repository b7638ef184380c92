//! A control process with two stand-ins, a simulated network and an in-memory journal.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::super::task::Jobs;
use super::super::{
    AppendFn, DeliverFn, JOBS_CHECKPOINT_KIND, JOBS_RECORD_KIND, JobsContext, JobsHandle,
    JobsMetrics, submit_job,
};
use crate::StepError;
use crate::config::ServiceDocument;
use crate::rpc::{JobReply, SubmitJobRequest};
use crate::scheduler::{Announcement, GangId};
use crate::standin::{FreeCapacity, Gangs, MemberRun, RunEnd};
use crate::upstream_http::{EndsRequest, GangMessage, GangReply, GangRequest};

/// Latency of a message or an answer.
const LATENCY: Duration = Duration::from_millis(1);

/// How the network transmits a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transmission {
    Arrives,
    RequestLost,
    AnswerLost,
    RequestLate(u64),
    /// The message arrives when requests occupy all slots.
    NoFreeSlot,
}

/// A message whose transmission a test chooses.
#[derive(Debug, Clone, Copy)]
pub struct SentMessage {
    pub upstream: u32,
    pub kind: &'static str,
    /// Number of earlier messages of this kind to this upstream.
    pub earlier: u32,
    pub at_ms: u64,
}

/// Chooses how each message is transmitted.
pub type Fault = fn(SentMessage) -> Transmission;

/// Upstreams, network and journal, which outlive a control process.
#[derive(Debug)]
pub struct World {
    gangs: Vec<Mutex<Gangs>>,
    incarnations: Mutex<Vec<u64>>,
    /// Runs of earlier incarnations.
    past_runs: Mutex<Vec<MemberRun>>,
    sent: Mutex<BTreeMap<(u32, &'static str), u32>>,
    registry_revision: AtomicU64,
    fault: Fault,
    started: Instant,
    pub journal: Arc<Mutex<Vec<Vec<u8>>>>,
    pub disk: Arc<Mutex<Disk>>,
    pub metrics: Arc<JobsMetrics>,
}

impl World {
    pub fn new(fault: Fault) -> Arc<Self> {
        Arc::new(Self {
            gangs: (0..2).map(|_| Mutex::new(Gangs::new(1, 8))).collect(),
            incarnations: Mutex::new(vec![1; 2]),
            past_runs: Mutex::default(),
            sent: Mutex::default(),
            registry_revision: AtomicU64::new(0),
            fault,
            started: Instant::now(),
            journal: Arc::default(),
            disk: Arc::default(),
            metrics: Arc::new(JobsMetrics::new()),
        })
    }

    /// Starts a control process from the journal and lets the upstreams announce themselves.
    pub async fn start(self: &Arc<Self>, epoch: u64) -> JobsHandle {
        let payloads = self.journal.lock().expect("no panic").clone();
        let handle = Jobs::start(payloads, self.context(epoch)).expect("readable journal");
        for upstream in 0..2 {
            self.announce(&handle, upstream).await;
        }
        handle
    }

    pub async fn announce(&self, jobs: &JobsHandle, upstream: u32) {
        self.announce_at(jobs, upstream, upstream).await;
    }

    /// Announces an upstream at a position of its rack.
    pub async fn announce_at(&self, jobs: &JobsHandle, upstream: u32, position: u32) {
        let incarnation = self.incarnations.lock().expect("no panic")[upstream as usize];
        let announcement = Announcement {
            name: format!("u{upstream}").parse().expect("valid name"),
            incarnation,
            rack: "rack-0".parse().expect("valid name"),
            position,
            accelerators: 8,
            leaving: false,
        };
        let revision = self.next_registry_revision();
        jobs.upstream_announced(announcement, address(upstream), revision).await;
    }

    /// Counts a change of the registry of upstreams.
    pub fn next_registry_revision(&self) -> u64 {
        self.registry_revision.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Replaces an upstream by a new incarnation; the work of the old one ends now.
    pub fn restart(&self, upstream: u32) {
        let incarnation = self.raise_incarnation(upstream);
        let mut gangs = self.gangs[upstream as usize].lock().expect("no panic");
        let ended = gangs.runs().into_iter().map(|run| MemberRun {
            to: run.to.or(Some(Instant::now())),
            end: run.end.or(Some(RunEnd::Stopped)),
            ..run
        });
        self.past_runs.lock().expect("no panic").extend(ended);
        *gangs = Gangs::new(incarnation, 8);
    }

    fn raise_incarnation(&self, upstream: u32) -> u64 {
        let mut incarnations = self.incarnations.lock().expect("no panic");
        incarnations[upstream as usize] += 1;
        incarnations[upstream as usize]
    }

    /// Clears the journal, as for a process with another data folder.
    pub fn clear_journal(&self) {
        self.journal.lock().expect("no panic").clear();
    }

    fn context(self: &Arc<Self>, epoch: u64) -> JobsContext {
        let world = Arc::clone(self);
        let deliver: DeliverFn = Arc::new(move |address, request| {
            let world = Arc::clone(&world);
            Box::pin(async move { world.transmit(address, request).await })
        });
        JobsContext {
            epoch,
            now_ms: 1_000_000 + self.elapsed_ms(),
            append: memory_journal(&self.journal, &self.disk),
            deliver,
            find_document: Box::new(|service| (service.as_str() == "plan").then(document)),
            metrics: Arc::clone(&self.metrics),
        }
    }

    async fn transmit(
        self: Arc<Self>,
        to: SocketAddr,
        request: GangRequest,
    ) -> Result<GangReply, StepError> {
        let upstream = u32::from(to.port());
        let transmission = self.choose_transmission(upstream, &request.message);
        if transmission == Transmission::RequestLost {
            return std::future::pending().await;
        }
        // A message that was sent arrives even if its sender no longer waits for the answer.
        let reply =
            tokio::spawn(async move { self.deliver(upstream, request, transmission).await });
        let reply = reply.await.expect("no panic");
        if transmission == Transmission::AnswerLost {
            std::future::pending().await
        } else {
            Ok(reply)
        }
    }

    async fn deliver(
        &self,
        upstream: u32,
        request: GangRequest,
        transmission: Transmission,
    ) -> GangReply {
        let late_ms =
            if let Transmission::RequestLate(late_ms) = transmission { late_ms } else { 0 };
        sleep(LATENCY + Duration::from_millis(late_ms)).await;
        let free_capacity = FreeCapacity {
            slots: if transmission == Transmission::NoFreeSlot { 0 } else { 8 },
            accepts_members: true,
        };
        if let GangMessage::Ends(EndsRequest { after: Some(after), wait_ms }) = request.message {
            let until = Instant::now() + Duration::from_millis(wait_ms);
            let gangs = || self.gangs[upstream as usize].lock().expect("no panic");
            while Instant::now() < until && !gangs().has_ends_after(after) {
                sleep(Duration::from_millis(10)).await;
            }
        }
        let reply =
            self.gangs[upstream as usize].lock().expect("no panic").answer(&request, free_capacity);
        sleep(LATENCY).await;
        reply
    }

    fn choose_transmission(&self, upstream: u32, message: &GangMessage) -> Transmission {
        let kind = kind(message);
        let mut sent = self.sent.lock().expect("no panic");
        let count = sent.entry((upstream, kind)).or_default();
        let earlier = *count;
        *count += 1;
        (self.fault)(SentMessage { upstream, kind, earlier, at_ms: self.elapsed_ms() })
    }

    pub fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).expect("short test")
    }

    pub fn runs(&self) -> Vec<MemberRun> {
        let mut runs = self.past_runs.lock().expect("no panic").clone();
        for gangs in &self.gangs {
            runs.extend(gangs.lock().expect("no panic").runs());
        }
        runs
    }

    /// Returns the end times of members, in order.
    pub fn ends_ms(&self) -> Vec<u128> {
        let ends = self.runs().into_iter().filter_map(|run| run.to);
        let mut ends: Vec<_> = ends.map(|to| (to - self.started).as_millis()).collect();
        ends.sort_unstable();
        ends
    }

    /// Returns the number of gangs of which any member has run.
    pub fn gangs_that_ran(&self) -> usize {
        let runs = self.runs();
        runs.iter().map(|run| run.gang).collect::<BTreeSet<_>>().len()
    }

    pub fn messages_sent(&self) -> u32 {
        self.sent.lock().expect("no panic").values().sum()
    }

    /// Checks the runs of the stand-ins: how long a gang ran partially, and that no two gangs ran at
    /// the same time.
    pub fn assert_bound(&self, bound_ms: u128) {
        let partial_ms = self.longest_partial_ms();
        assert!(
            partial_ms <= bound_ms,
            "a partial gang ran for {partial_ms} ms: {:#?}",
            self.runs()
        );
        self.assert_one_gang_at_a_time();
    }

    /// Checks that no two gangs ran at the same time, because each world runs one job.
    fn assert_one_gang_at_a_time(&self) {
        let runs = self.runs();
        for (i, a) in runs.iter().enumerate() {
            for b in runs[i + 1..].iter().filter(|b| b.gang != a.gang) {
                let (a_end, b_end) = (end(a), end(b));
                assert!(a_end <= b.from || b_end <= a.from, "{a:?} overlaps {b:?}");
            }
        }
    }

    /// Returns the longest time for which any gang ran while one of its two members was missing; a
    /// member that has completed is not missing.
    fn longest_partial_ms(&self) -> u128 {
        let runs = self.runs();
        let gangs: BTreeSet<GangId> = runs.iter().map(|run| run.gang).collect();
        let partial = gangs.into_iter().map(|gang| {
            let runs: Vec<_> = runs.iter().filter(|run| run.gang == gang).collect();
            partial_ms(&runs)
        });
        partial.max().unwrap_or(0)
    }
}

fn end(run: &MemberRun) -> Instant {
    run.to.unwrap_or_else(Instant::now)
}

/// Returns the longest contiguous time in which one member runs and another is missing.
fn partial_ms(runs: &[&MemberRun]) -> u128 {
    let mut times: Vec<_> = runs.iter().flat_map(|run| [run.from, end(run)]).collect();
    times.sort_unstable();
    let (mut longest, mut current) = (Duration::ZERO, Duration::ZERO);
    for pair in times.windows(2) {
        let is_running = |run: &MemberRun| run.from <= pair[0] && end(run) >= pair[1];
        let is_completed =
            |run: &MemberRun| run.end == Some(RunEnd::Completed) && end(run) <= pair[0];
        let present = runs.iter().filter(|run| is_running(run) || is_completed(run)).count();
        let any_running = runs.iter().any(|run| is_running(run));
        let partial = any_running && present < 2;
        current = if partial { current + (pair[1] - pair[0]) } else { Duration::ZERO };
        longest = longest.max(current);
    }
    longest.as_millis()
}

/// State of the simulated disk of the journal.
#[derive(Debug, Clone, Copy, Default)]
pub struct Disk {
    pub failed: bool,
    /// Duration of each append after the first.
    pub sync_ms: u64,
}

/// Returns a journal that keeps its payloads in memory and fails on demand.
pub fn memory_journal(payloads: &Arc<Mutex<Vec<Vec<u8>>>>, disk: &Arc<Mutex<Disk>>) -> AppendFn {
    let (payloads, disk) = (Arc::clone(payloads), Arc::clone(disk));
    Box::new(move |kind, payload| {
        assert!(kind == JOBS_RECORD_KIND || kind == JOBS_CHECKPOINT_KIND);
        let (payloads, disk) = (Arc::clone(&payloads), *disk.lock().expect("no panic"));
        Box::pin(async move {
            if disk.failed {
                return Err(StepError::new("append", "journal", "the disk is full"));
            }
            if !payloads.lock().expect("no panic").is_empty() {
                sleep(Duration::from_millis(disk.sync_ms)).await;
            }
            let mut payloads = payloads.lock().expect("no panic");
            if kind == JOBS_CHECKPOINT_KIND {
                payloads.clear();
            }
            payloads.push(payload);
            Ok(payloads.len() as u64)
        })
    })
}

/// Returns the document of the service `plan`.
pub fn document() -> ServiceDocument {
    let text = "kind: service\nservice: plan\norganisations:\n  - name: north\n    \
                concurrency_max: 1\n    requests_per_s: 1\n    guaranteed_blocks: []\n\
                completion_weight: 1.0\nfragmentation_weight: 1.0\njob_shapes:\n  \
                - name: pair\n    accelerators: 16\n    can_checkpoint: true\n  \
                - name: prompt\n    accelerators: 16\n    may_wait: false\n";
    ServiceDocument::parse(text).expect("a valid document")
}

/// Returns an address whose port is the number of the upstream.
fn address(upstream: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(upstream).expect("small number")))
}

fn kind(message: &GangMessage) -> &'static str {
    match message {
        GangMessage::Stage(_) => "stage",
        GangMessage::Commit(_) => "commit",
        GangMessage::Renew(_) => "renew",
        GangMessage::Checkpoint(_) => "checkpoint",
        GangMessage::Stop(_) => "stop",
        GangMessage::Ends(_) => "ends",
    }
}

/// Returns the name of a job; the clock of these tests starts on 1 January 1970.
pub fn dated(name: &str) -> String {
    format!("19700101-{name}")
}

/// Submits a job of the organisation `north` with additional keys.
pub async fn submit(jobs: &JobsHandle, name: &str, keys: &str) -> JobReply {
    submit_named(jobs, &dated(name), keys).await
}

/// Submits a job under its full name.
pub async fn submit_named(jobs: &JobsHandle, name: &str, keys: &str) -> JobReply {
    let job_json = format!(r#"{{"name":"{name}","organisation":"north","service":"plan",{keys}}}"#);
    let request = SubmitJobRequest {
        name: name.to_owned(),
        organisation: "north".to_owned(),
        service: "plan".to_owned(),
        job_json,
    };
    submit_job(jobs, &request).await
}

/// Returns the status of a job as JSON.
pub async fn status(jobs: &JobsHandle, name: &str) -> Value {
    let request = crate::rpc::JobNameRequest { name: dated(name) };
    let reply = super::super::get_job(jobs, &request).await;
    serde_json::from_str(&reply.status_json).unwrap_or_else(|_| panic!("no status: {reply:?}"))
}

/// Returns the explanation of a job as JSON.
pub async fn explain(jobs: &JobsHandle, name: &str) -> Value {
    let request = crate::rpc::JobNameRequest { name: dated(name) };
    let reply = super::super::explain_job(jobs, &request).await;
    serde_json::from_str(&reply.status_json).unwrap_or_else(|_| panic!("no status: {reply:?}"))
}

/// Waits until the job has ended and returns the result.
pub async fn wait_for_end(jobs: &JobsHandle, name: &str) -> String {
    for _ in 0..6_000 {
        let status = status(jobs, name).await;
        if let Some(result) = status["end"]["result"].as_str() {
            return result.to_owned();
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("job {name} has not ended after 600 s: {:?}", status(jobs, name).await);
}
