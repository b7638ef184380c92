//! Upstreams whose answers a test scripts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::cluster::clock::boot_ms;
use crate::cluster::{
    AdviceAnswer, CallFault, ConnectionBudget, HoldOrder, ListedEnd, ListedRun, MaintenanceAnswer,
    OrderAnswer, Refusal, StartOrder, StopOrder, TaskLists, UpstreamCalls,
};
use crate::tasks::tests::sample::{heartbeat, job_id};
use crate::tasks::{EndKind, Heartbeat, JobId, TaskId};

/// Time for which a crashed upstream is down.
const DOWNTIME: Duration = Duration::from_millis(150);

/// How the next calls to an upstream go wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(in crate::cluster) enum Fault {
    #[default]
    None,
    /// The call is not carried out, and no answer arrives.
    Silent,
    /// The call is carried out, and its answer is lost.
    AnswerLost,
    /// Connections are refused, by the upstream's host or by a link on the way.
    Refused,
    /// The caller has no connection to spare.
    NoConnection,
    /// The answer is well-formed, and its figures make no sense.
    Absurd,
    /// No entry of the lists can be decoded.
    Unreadable,
}

/// What an upstream runs and what it was told.
#[derive(Debug, Default)]
struct Upstream {
    token: u64,
    lease_until_ms: u64,
    running: BTreeMap<TaskId, (u32, Instant)>,
    /// When runs that are in execution were told to stop.
    stopping: BTreeMap<TaskId, Instant>,
    /// Highest run of each task that has ended or was stopped here.
    closed: BTreeMap<TaskId, u32>,
    ends: Vec<ListedEnd>,
    ends_so_far: u64,
}

#[derive(Debug, Default)]
struct Shared {
    upstreams: BTreeMap<Arc<str>, Upstream>,
    holds: BTreeMap<Arc<str>, Fault>,
    starts: Fault,
    /// How the start calls of single upstreams go.
    starts_of: BTreeMap<Arc<str>, Fault>,
    stops: Fault,
    /// Number of ends that an upstream lists at a time; all if absent.
    ends_per_list: Option<usize>,
    /// Starts that were carried out, with the upstream.
    started: Vec<(TaskId, u32, Arc<str>)>,
    /// Number of hold calls that each upstream has answered.
    held: BTreeMap<Arc<str>, usize>,
    work: Duration,
    /// Time that an upstream takes to stop a run after it has answered the order.
    stop_time: Duration,
    /// Time after which an upstream answers a stop order.
    stop_answer_time: Duration,
    /// How often each upstream has restarted.
    restarts: BTreeMap<Arc<str>, u64>,
    /// Jobs whose tasks crash each upstream that starts them.
    deadly: BTreeSet<JobId>,
    /// Upstreams that have crashed and are not back yet, and since when.
    down: BTreeMap<Arc<str>, Instant>,
}

/// Upstreams that run tasks for a given time.
#[derive(Debug, Clone, Default)]
pub(in crate::cluster) struct FakeUpstreams(Arc<Mutex<Shared>>);

impl FakeUpstreams {
    pub(in crate::cluster) fn new(work: Duration) -> Self {
        let fake = Self::default();
        fake.lock().work = work;
        fake
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how an upstream's hold calls go.
    pub(super) fn set_holds(&self, upstream: &str, fault: Fault) {
        self.lock().holds.insert(upstream.into(), fault);
    }

    /// Sets how all start calls go.
    pub(super) fn set_starts(&self, fault: Fault) {
        self.lock().starts = fault;
    }

    /// Sets how the start calls of one upstream go.
    pub(super) fn set_starts_of(&self, upstream: &str, fault: Fault) {
        self.lock().starts_of.insert(upstream.into(), fault);
    }

    /// Sets how all stop calls go.
    pub(in crate::cluster) fn set_stops(&self, fault: Fault) {
        self.lock().stops = fault;
    }

    /// Sets the number of ends that an upstream lists at a time.
    pub(super) fn set_ends_per_list(&self, ends: usize) {
        self.lock().ends_per_list = Some(ends);
    }

    /// Sets the time that an upstream takes to stop a run after it has answered the order.
    pub(super) fn set_stop_time(&self, stop_time: Duration) {
        self.lock().stop_time = stop_time;
    }

    /// Sets the time after which an upstream answers a stop order.
    pub(super) fn set_stop_answer_time(&self, stop_answer_time: Duration) {
        self.lock().stop_answer_time = stop_answer_time;
    }

    /// Returns the starts that were carried out, with their upstreams.
    pub(in crate::cluster) fn started(&self) -> Vec<(TaskId, u32, Arc<str>)> {
        self.lock().started.clone()
    }

    /// Returns how many upstreams have answered a hold call.
    pub(in crate::cluster) fn upstreams_held(&self) -> usize {
        self.lock().held.len()
    }

    /// Returns how many hold calls an upstream has answered.
    pub(super) fn holds_of(&self, upstream: &str) -> usize {
        self.lock().held.get(upstream).copied().unwrap_or(0)
    }

    /// Returns how many runs of a task are in execution on all upstreams together.
    pub(super) fn running(&self) -> usize {
        let mut shared = self.lock();
        shared.end_due();
        shared.upstreams.values().map(|upstream| upstream.running.len()).sum()
    }

    /// Returns whether some task has several runs in execution.
    pub(super) fn runs_twice(&self) -> bool {
        let mut shared = self.lock();
        shared.end_due();
        let mut tasks: Vec<_> =
            shared.upstreams.values().flat_map(|up| up.running.keys()).collect();
        let all = tasks.len();
        tasks.sort_unstable();
        tasks.dedup();
        tasks.len() < all
    }

    /// Makes the tasks of a job crash each upstream that starts them.
    pub(super) fn set_deadly(&self, job: JobId) {
        self.lock().deadly.insert(job);
    }

    /// Crashes an upstream: it forgets everything and answers nothing until it is back.
    pub(in crate::cluster) fn crash(&self, upstream: &str) {
        self.lock().crash(upstream);
    }

    /// Restarts an upstream under its identity and address, and returns its first heartbeat, which
    /// the test sends.
    pub(super) fn restart(&self, upstream: &str) -> Heartbeat {
        let mut shared = self.lock();
        shared.crash(upstream);
        shared.bring_back(upstream)
    }

    /// Brings an upstream back that has been down for a while, and returns its first heartbeat.
    pub(super) fn bring_back_due(&self) -> Option<Heartbeat> {
        let mut shared = self.lock();
        let due = |(_, since): &(&Arc<str>, &Instant)| since.elapsed() >= DOWNTIME;
        let upstream = shared.down.iter().find(due).map(|(upstream, _)| Arc::clone(upstream))?;
        Some(shared.bring_back(&upstream))
    }

    pub(in crate::cluster) fn calls(&self) -> UpstreamCalls {
        let (starts, stops, holds) = (self.clone(), self.clone(), self.clone());
        UpstreamCalls {
            start: Arc::new(move |order| {
                let answer = starts.start(&order);
                Box::pin(async move { answer })
            }),
            stop: Arc::new(move |order| {
                let fake = stops.clone();
                Box::pin(async move {
                    let answer_time = fake.lock().stop_answer_time;
                    tokio::time::sleep(answer_time).await;
                    fake.stop(&order)
                })
            }),
            hold: Arc::new(move |order| {
                let fake = holds.clone();
                Box::pin(async move {
                    // Short polls keep the tests short.
                    tokio::time::sleep(Duration::from_millis(order.wait_ms.min(100))).await;
                    fake.hold(&order)
                })
            }),
            pace: Arc::new(|_| Box::pin(async { Ok(OrderAnswer::Refused(Refusal::Invalid)) })),
            advise: Arc::new(|_| Box::pin(async { Ok(AdviceAnswer::default()) })),
            maintain: Arc::new(|_| Box::pin(async { Ok(MaintenanceAnswer::NotWanted) })),
            close_idle: Arc::new(|| {}),
            budget: ConnectionBudget::new(64),
        }
    }

    fn start(&self, order: &StartOrder) -> Result<OrderAnswer, CallFault> {
        let mut shared = self.lock();
        let starts = shared.starts_of.get(&order.upstream).copied().unwrap_or(shared.starts);
        let fault = shared.fault_at(&order.upstream, starts);
        not_carried_out(fault)?;
        let upstream = shared.upstreams.entry(Arc::clone(&order.upstream)).or_default();
        upstream.check_token(order.fencing_token)?;
        let closed = upstream.closed.get(&order.task).copied().unwrap_or(0);
        if order.run <= closed {
            return Ok(OrderAnswer::Refused(Refusal::StaleRun));
        }
        upstream.lease_until_ms = upstream.lease_until_ms.max(order.lease_until_ms);
        let running = upstream.running.get(&order.task).map(|(run, _)| *run);
        if running != Some(order.run) {
            upstream.running.insert(order.task.clone(), (order.run, Instant::now()));
            let start = (order.task.clone(), order.run, Arc::clone(&order.upstream));
            shared.started.push(start);
        }
        if shared.deadly.contains(&order.task.job) {
            shared.crash(&order.upstream);
        }
        answer(fault, OrderAnswer::Done { clock_ms: boot_ms() })
    }

    fn stop(&self, order: &StopOrder) -> Result<OrderAnswer, CallFault> {
        let mut shared = self.lock();
        let fault = shared.fault_at(&order.upstream, shared.stops);
        not_carried_out(fault)?;
        let upstream = shared.upstreams.entry(Arc::clone(&order.upstream)).or_default();
        upstream.check_token(order.fencing_token)?;
        upstream.stop(&order.task, order.run);
        shared.end_due();
        answer(fault, OrderAnswer::Done { clock_ms: boot_ms() })
    }

    fn hold(&self, order: &HoldOrder) -> Result<TaskLists, CallFault> {
        let mut shared = self.lock();
        let fault = shared.holds.get(&order.upstream).copied().unwrap_or_default();
        let fault = shared.fault_at(&order.upstream, fault);
        let (work, ends_per_list) = (shared.work, shared.ends_per_list.unwrap_or(usize::MAX));
        not_carried_out(fault)?;
        if fault == Fault::Absurd {
            return Ok(absurd_lists());
        }
        shared.end_due();
        *shared.held.entry(Arc::clone(&order.upstream)).or_default() += 1;
        let born_unix_ms = Some(shared.born_unix_ms(&order.upstream));
        let upstream = shared.upstreams.entry(Arc::clone(&order.upstream)).or_default();
        upstream.check_token(order.fencing_token)?;
        if let Some(until_ms) = order.lease_until_ms {
            upstream.lease_until_ms = upstream.lease_until_ms.max(until_ms);
        }
        upstream.ends.retain(|end| end.number > order.ends_seen);
        let percent = |begun: &Instant| {
            let done = begun.elapsed().as_millis() * 100 / work.as_millis().max(1);
            u32::try_from(done).unwrap_or(100).min(100)
        };
        let listed = |(task, (run, begun)): (&TaskId, &(u32, Instant))| ListedRun {
            task: task.clone(),
            run: *run,
            checkpoint: "".into(),
            percent: percent(begun),
            load: None,
        };
        let mut lists = TaskLists {
            clock_ms: boot_ms(),
            born_unix_ms,
            running: upstream.running.iter().map(listed).collect(),
            ended: upstream.ends.iter().take(ends_per_list).cloned().collect(),
            more_ended: upstream.ends.len() > ends_per_list,
            unreadable: 0,
        };
        if fault == Fault::Unreadable {
            lists.unreadable = lists.running.len() + lists.ended.len();
            (lists.running, lists.ended) = (Vec::new(), Vec::new());
        }
        answer(fault, lists)
    }
}

impl Shared {
    fn crash(&mut self, upstream: &str) {
        self.upstreams.remove(upstream);
        self.down.insert(upstream.into(), Instant::now());
    }

    fn bring_back(&mut self, upstream: &str) -> Heartbeat {
        self.down.remove(upstream);
        *self.restarts.entry(upstream.into()).or_default() += 1;
        let born_unix_ms = self.born_unix_ms(upstream);
        let former = (0..64).map(heartbeat).find(|former| *former.id == *upstream);
        Heartbeat { born_unix_ms, ..former.expect("a sample host") }
    }

    fn born_unix_ms(&self, upstream: &str) -> u64 {
        heartbeat(0).born_unix_ms + self.restarts.get(upstream).copied().unwrap_or(0)
    }

    /// Ends the runs that are due.
    fn end_due(&mut self) {
        let (work, stop_time) = (self.work, self.stop_time);
        self.upstreams.values_mut().for_each(|upstream| upstream.end_due(work, stop_time));
    }

    /// Returns how a call to an upstream goes wrong, given how it would if the upstream were up.
    fn fault_at(&self, upstream: &str, fault: Fault) -> Fault {
        if self.down.contains_key(upstream) { Fault::Silent } else { fault }
    }
}

impl Upstream {
    fn check_token(&mut self, token: u64) -> Result<(), CallFault> {
        if token < self.token {
            return Err(CallFault::Fenced);
        }
        self.token = token;
        Ok(())
    }

    /// Begins to stop a run if it is in execution, and refuses it from now on.
    fn stop(&mut self, task: &TaskId, run: u32) {
        let closed = self.closed.entry(task.clone()).or_default();
        *closed = run.max(*closed);
        if self.running.get(task).is_some_and(|(running, _)| *running <= run) {
            self.stopping.entry(task.clone()).or_insert_with(Instant::now);
        }
    }

    /// Ends the runs whose work is done, that have been stopped, or whose lease is over.
    fn end_due(&mut self, work: Duration, stop_time: Duration) {
        let stopped = |(_, since): &(&TaskId, &Instant)| since.elapsed() >= stop_time;
        let stopped: Vec<_> =
            self.stopping.iter().filter(stopped).map(|(task, _)| task.clone()).collect();
        for task in stopped {
            let run = self.running.get(&task).map_or(0, |(run, _)| *run);
            self.end(&task, run, EndKind::Stopped);
        }
        let lapsed = self.lease_until_ms < boot_ms();
        let due: Vec<_> = self
            .running
            .iter()
            .filter(|(_, (_, begun))| lapsed || begun.elapsed() >= work)
            .map(|(task, (run, _))| (task.clone(), *run))
            .collect();
        for (task, run) in due {
            self.end(&task, run, if lapsed { EndKind::Lapsed } else { EndKind::Done });
        }
    }

    fn end(&mut self, task: &TaskId, run: u32, how: EndKind) {
        let closed = self.closed.entry(task.clone()).or_default();
        *closed = run.max(*closed);
        self.stopping.remove(task);
        if self.running.get(task).is_some_and(|(running, _)| *running <= run) {
            self.running.remove(task);
            self.ends_so_far += 1;
            let number = self.ends_so_far;
            let end = ListedEnd { number, task: task.clone(), run, how, checkpoint: "".into() };
            self.ends.push(end);
        }
    }
}

/// Returns lists of tasks that nobody submitted, with the largest figures that can be encoded.
fn absurd_lists() -> TaskLists {
    let task = TaskId { job: job_id(99), occurrence: u32::MAX, step: u32::MAX, index: u32::MAX };
    let run = ListedRun {
        task: task.clone(),
        run: u32::MAX,
        checkpoint: "".into(),
        percent: u32::MAX,
        load: Some(u64::MAX),
    };
    let (how, checkpoint) = (EndKind::Done, "".into());
    let end = ListedEnd { number: u64::MAX, task, run: u32::MAX, how, checkpoint };
    TaskLists {
        clock_ms: u64::MAX,
        born_unix_ms: None,
        running: vec![run],
        ended: vec![end],
        more_ended: true,
        unreadable: usize::MAX,
    }
}

/// Returns the error of a call that does not reach the upstream.
fn not_carried_out(fault: Fault) -> Result<(), CallFault> {
    match fault {
        Fault::Silent => Err(CallFault::NoAnswer { reason: "silent".to_owned() }),
        Fault::Refused => Err(CallFault::Refused),
        Fault::NoConnection => Err(CallFault::NoConnection),
        Fault::None | Fault::AnswerLost | Fault::Absurd | Fault::Unreadable => Ok(()),
    }
}

/// Returns the answer of a call that was carried out, unless it is lost.
fn answer<T>(fault: Fault, answer: T) -> Result<T, CallFault> {
    match fault {
        Fault::AnswerLost => Err(CallFault::NoAnswer { reason: "lost".to_owned() }),
        _ => Ok(answer),
    }
}
