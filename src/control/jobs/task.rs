//! The task that owns the scheduling core.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout};
use tracing::{error, warn};

use super::book::{Book, JOBS_LIMIT, check_date};
use super::peers::{Outgoing, Peers};
use super::record::{self, JOBS_CHECKPOINT_KIND, JOBS_RECORD_KIND, StoredRecord};
use super::submission::{Resolved, Submission};
use super::watches::Watches;
use super::{Call, CallResult, Input, JobsParts, messages, status, unavailable};
use crate::error::StepError;
use crate::names::{JobName, UpstreamName};
use crate::outcome::{NotRun, NotRunCause};
use crate::scheduler::{Decision, Event, Guarantees, JobRecord, JobSpec, JobState, Scheduler};
use crate::upstream_http::{GangAnswer, GangMessage, GangReply, GangRequest, RefusalCode};

/// Time for an upstream to answer a gang message. It is as long as the start lease, after which
/// the answer to a commit is useless.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Records after which a checkpoint replaces them, so that a restart reads a bounded log.
const CHECKPOINT_RECORDS: usize = 8_192;

/// Most inputs whose records become durable together.
const BATCH_LIMIT: usize = 64;

/// The scheduling core with its surroundings.
pub(crate) struct Jobs {
    scheduler: Scheduler,
    book: Book,
    peers: Peers,
    watches: Watches,
    parts: JobsParts,
    started: Instant,
    started_ms: u64,
    inbox: mpsc::WeakSender<Input>,
    since_checkpoint: usize,
    /// Why no step is made any more, once that is so.
    halted: Option<String>,
}

/// Whether the guarantees of a document fit, or the one that does not.
type Verdict = Result<(), String>;

/// What the steps of one batch of inputs lead to.
#[derive(Default)]
struct Batch {
    records: Vec<StoredRecord>,
    messages: Vec<Outgoing>,
    answers: Vec<(oneshot::Sender<CallResult>, CallResult)>,
    verdicts: Vec<(oneshot::Sender<Verdict>, Verdict)>,
}

impl Jobs {
    /// Rebuilds the state from earlier records.
    pub(super) fn recover(
        records: Vec<StoredRecord>,
        parts: JobsParts,
        inbox: mpsc::WeakSender<Input>,
    ) -> Self {
        let started_ms = records.iter().filter_map(accepted_ms).fold(parts.now_ms, u64::max);
        let mut book = Book::default();
        for stored in &records {
            book.apply(stored, started_ms);
        }
        let records = records.into_iter().map(|stored| stored.record);
        Self {
            scheduler: Scheduler::recover(records, started_ms),
            book,
            peers: Peers::new(parts.epoch),
            watches: Watches::default(),
            parts,
            started: Instant::now(),
            started_ms,
            inbox,
            since_checkpoint: 0,
            halted: None,
        }
    }

    /// Runs until every handle is dropped.
    pub(super) async fn run(mut self, mut inbox: mpsc::Receiver<Input>) {
        let mut inputs = Vec::new();
        loop {
            let due = self.next_due();
            tokio::select! {
                count = inbox.recv_many(&mut inputs, BATCH_LIMIT) => {
                    if count == 0 {
                        return;
                    }
                }
                () = sleep_until_some(due) => {}
            }
            self.handle(std::mem::take(&mut inputs)).await;
        }
    }

    /// Returns when the core next acts without an event.
    fn next_due(&self) -> Option<Instant> {
        if self.halted.is_some() {
            return None;
        }
        let due_ms = self.scheduler.next_due_ms()?;
        Some(self.started + Duration::from_millis(due_ms.saturating_sub(self.started_ms)))
    }

    fn now_ms(&self) -> u64 {
        let elapsed_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.started_ms.saturating_add(elapsed_ms)
    }

    /// Applies inputs, makes the records durable and only then lets anything out.
    async fn handle(&mut self, inputs: Vec<Input>) {
        let now_ms = self.now_ms();
        let mut batch = Batch::default();
        self.step(Event::Tick, None, now_ms, &mut batch);
        for input in inputs {
            self.apply(input, now_ms, &mut batch);
        }
        self.book.prune(&self.scheduler, now_ms);
        if let Err(fault) = self.persist(&batch.records).await {
            self.halt(format!("the journal cannot be written: {fault}"));
            let refusal = "the journal could not be written, so it is not known whether the call \
                           takes effect; repeat it after the control process has restarted";
            batch.answers.iter_mut().for_each(|(_, answer)| *answer = Err(unavailable(refusal)));
            batch.messages.clear();
            batch.verdicts.clear();
        }
        for message in batch.messages {
            self.send(message);
        }
        for (sender, verdict) in batch.verdicts {
            _ = sender.send(verdict);
        }
        for (caller, answer) in batch.answers {
            // A caller that has gone away asks again.
            _ = caller.send(answer);
        }
    }

    async fn persist(&mut self, records: &[StoredRecord]) -> Result<(), StepError> {
        if records.is_empty() {
            return Ok(());
        }
        (self.parts.append)(JOBS_RECORD_KIND, record::write(records)?).await?;
        self.since_checkpoint += records.len();
        if self.since_checkpoint >= CHECKPOINT_RECORDS {
            self.since_checkpoint = 0;
            let records = record::write(&self.checkpoint())?;
            (self.parts.append)(JOBS_CHECKPOINT_KIND, records).await?;
        }
        Ok(())
    }

    /// Returns records that stand for everything that earlier ones say.
    fn checkpoint(&self) -> Vec<StoredRecord> {
        let stored = |record| {
            let entry = match &record {
                JobRecord::Accepted { spec, .. } => self.book.get(&spec.name),
                _ => None,
            };
            let submission = entry.and_then(|entry| entry.submission.clone());
            let refused = entry.is_some_and(|entry| entry.refused);
            StoredRecord { record, submission, refused }
        };
        // The core counts ended jobs in the order of their records and keeps the latest.
        let mut records = self.book.forgotten(&self.scheduler);
        records.extend(self.scheduler.snapshot().into_iter().map(stored));
        records
    }

    /// Stops deciding; running gangs end with their leases.
    fn halt(&mut self, reason: String) {
        error!(%reason, "jobs are unavailable until a restart");
        self.halted.get_or_insert(reason);
    }

    fn apply(&mut self, input: Input, now_ms: u64, batch: &mut Batch) {
        let event = match input {
            Input::Call(call, caller) => {
                let answer = self.call(call, now_ms, batch);
                return batch.answers.push((caller, answer));
            }
            Input::Announced(announcement, address) => {
                self.peers.announced(&announcement.name, announcement.incarnation, address);
                Event::UpstreamAnnounced(announcement)
            }
            Input::Document(guarantees, sender) => {
                return self.judge(guarantees, sender, now_ms, batch);
            }
            Input::Lost(upstream) => Event::UpstreamLost { upstream },
            Input::Leaving(upstream, incarnation) => {
                Event::UpstreamLeaving { upstream, incarnation }
            }
            Input::EndsUnanswered(upstream) => return self.watches.closed(&upstream),
            Input::Answered { upstream, request, reply } => {
                self.peers.answered(&upstream, reply.incarnation, reply.clock_ms);
                self.check_epoch(&reply);
                self.watch(&upstream, &request, &reply, now_ms, batch);
                let Some(event) = messages::event(upstream, request, reply) else { return };
                event
            }
        };
        self.step(event, None, now_ms, batch);
    }

    /// Applies the ends that an answer reports, and keeps a question about further ones open.
    fn watch(
        &mut self,
        upstream: &UpstreamName,
        request: &GangRequest,
        reply: &GangReply,
        now_ms: u64,
        batch: &mut Batch,
    ) {
        if let GangAnswer::Ends { members, .. } = &reply.answer {
            for event in messages::ends(upstream, members) {
                self.step(event, None, now_ms, batch);
            }
        } else if matches!(request.message, GangMessage::Ends(_)) {
            self.watches.closed(upstream);
        }
        if self.halted.is_none()
            && let Some(question) = self.watches.after_answer(upstream, reply)
        {
            let outgoing = self.peers.address(upstream.clone(), question);
            batch.messages.extend(outgoing);
        }
    }

    /// Applies the guarantees of a document; dropping the sender reports unavailable jobs.
    fn judge(
        &mut self,
        guarantees: Guarantees,
        sender: oneshot::Sender<Verdict>,
        now_ms: u64,
        batch: &mut Batch,
    ) {
        if self.halted.is_some() {
            return;
        }
        let event = Event::DocumentApplied(guarantees);
        let refusal = self.step(event, None, now_ms, batch);
        batch.verdicts.push((sender, refusal.map_or(Ok(()), Err)));
    }

    /// Halts if an upstream has heard from a control process with a newer epoch.
    fn check_epoch(&mut self, reply: &GangReply) {
        if let GangAnswer::Refused { code: RefusalCode::OlderEpoch, epoch } = reply.answer
            && epoch > self.parts.epoch
        {
            self.halt(format!("a control process with the newer epoch {epoch} is in charge"));
        }
    }

    /// Makes one step of the core, unless it is halted, and collects what it leads to.
    fn step(
        &mut self,
        event: Event,
        submission: Option<&Submission>,
        now_ms: u64,
        batch: &mut Batch,
    ) -> Option<String> {
        if self.halted.is_some() {
            return None;
        }
        let mut refusal = None;
        for decision in self.scheduler.step(event, now_ms) {
            match decision {
                Decision::Persist(record) => self.note(record, submission, now_ms, batch),
                Decision::JobRefused { reason, .. } => refusal = Some(reason),
                Decision::DocumentRefused { service, version, reason } => {
                    warn!(%service, version, %reason, "the guarantees of a document do not fit");
                    refusal = Some(reason);
                }
                Decision::GuaranteeAtRisk { organisation, accelerators, reason } => {
                    warn!(%organisation, accelerators, %reason, "a guarantee is at risk");
                }
                other => batch.messages.extend(self.address(other)),
            }
        }
        refusal
    }

    /// Returns the message that a decision asks for, if its addressee can be reached.
    fn address(&self, decision: Decision) -> Option<Outgoing> {
        let (upstream, message) = messages::message(decision, &self.book)?;
        let outgoing = self.peers.address(upstream, message);
        if outgoing.is_none() {
            self.parts.metrics.message_ended("no_address");
        }
        outgoing
    }

    fn note(
        &mut self,
        record: JobRecord,
        submission: Option<&Submission>,
        now_ms: u64,
        batch: &mut Batch,
    ) {
        let accepted = matches!(record, JobRecord::Accepted { .. });
        let submission = submission.filter(|_| accepted).cloned();
        let stored = StoredRecord { record, submission, refused: false };
        self.book.apply(&stored, now_ms);
        self.book.count(&stored.record, &self.parts.metrics, now_ms);
        batch.records.push(stored);
    }

    fn call(&mut self, call: Call, now_ms: u64, batch: &mut Batch) -> CallResult {
        if let Some(reason) = &self.halted {
            return Err(unavailable(reason.as_str()));
        }
        match call {
            Call::Submit(submission) => self.submit(&submission, now_ms, batch).map(Some),
            Call::Status(job) => Ok(self.describe(&job, now_ms, status::status)),
            Call::Explain(job) => Ok(self.describe(&job, now_ms, status::explanation)),
            Call::Cancel(job) => {
                self.step(Event::JobCancelled { job: job.clone() }, None, now_ms, batch);
                Ok(self.describe(&job, now_ms, status::status))
            }
        }
    }

    /// Submits a job. Resends are recognised here, because the content includes parts that the
    /// core does not know, and a shape may have changed since.
    fn submit(
        &mut self,
        submission: &Submission,
        now_ms: u64,
        batch: &mut Batch,
    ) -> Result<String, NotRun> {
        let name = &submission.name;
        if let Some(entry) = self.book.get(name) {
            if entry.submission.as_ref() == Some(submission) {
                return if entry.refused {
                    Err(may_not_wait())
                } else {
                    Ok(status::accepted(entry))
                };
            }
            let detail = format!("job {name} exists with other content; this one was not run");
            return Err(NotRun::new(NotRunCause::Conflict, detail));
        }
        check_date(name, now_ms)?;
        if self.book.is_full() {
            let detail = format!("the data centre keeps its limit of {JOBS_LIMIT} jobs");
            return Err(NotRun::new(NotRunCause::OverLimit, detail));
        }
        let document = (self.parts.find_document)(&submission.service);
        let Resolved { spec, may_wait } = submission.resolve(document.as_ref())?;
        if let Some(reason) = self.step(Event::JobSubmitted(spec), Some(submission), now_ms, batch)
        {
            return Err(NotRun::new(NotRunCause::BadRequest, reason));
        }
        let waits = self.scheduler.job(name) == Some(&JobState::Waiting);
        if waits && !may_wait && !self.scheduler.has_claim(name) {
            return Err(self.refuse_wait(name, now_ms, batch));
        }
        let entry = self.book.get(name).ok_or_else(|| unavailable("the job was not accepted"))?;
        Ok(status::accepted(entry))
    }

    /// Ends a job that may not wait. It is kept, so that a late copy of the submission gets the
    /// same answer and does not run after its caller was told that it did not.
    fn refuse_wait(&mut self, job: &JobName, now_ms: u64, batch: &mut Batch) -> NotRun {
        for stored in &mut batch.records {
            let own = |spec: &JobSpec| spec.name == *job;
            stored.refused |=
                matches!(&stored.record, JobRecord::Accepted { spec, .. } if own(spec));
        }
        self.book.refuse(job);
        self.step(Event::JobCancelled { job: job.clone() }, None, now_ms, batch);
        may_not_wait()
    }

    fn describe(
        &self,
        job: &JobName,
        now_ms: u64,
        write: fn(&super::book::Entry, &crate::scheduler::Explanation) -> String,
    ) -> Option<String> {
        let entry = self.book.get(job)?;
        let explanation =
            self.scheduler.explain(job, now_ms).or_else(|| status::of_forgotten(entry))?;
        Some(write(entry, &explanation))
    }

    /// Sends a message in a task of its own; its answer comes back as an input.
    fn send(&self, message: Outgoing) {
        // A message in flight does not keep the task from ending.
        let inbox = self.inbox.clone();
        let deliver = Arc::clone(&self.parts.deliver);
        let metrics = Arc::clone(&self.parts.metrics);
        tokio::spawn(async move {
            let Outgoing { upstream, address, request } = message;
            let limit = MESSAGE_TIMEOUT + Watches::extra_time(&request.message);
            let answer = timeout(limit, deliver(address, request.clone())).await;
            let input = if let Ok(Ok(reply)) = answer {
                metrics.message_ended("answered");
                Input::Answered { upstream, request, reply }
            } else {
                metrics.message_ended("unanswered");
                if !matches!(request.message, GangMessage::Ends(_)) {
                    return;
                }
                Input::EndsUnanswered(upstream)
            };
            if let Some(inbox) = inbox.upgrade() {
                _ = inbox.send(input).await;
            }
        });
    }
}

fn may_not_wait() -> NotRun {
    let detail = "the shape of the job may not wait, and the job could not start at once";
    NotRun::new(NotRunCause::NoCapacity, detail)
}

fn accepted_ms(stored: &StoredRecord) -> Option<u64> {
    match &stored.record {
        JobRecord::Accepted { at_ms, .. } => Some(*at_ms),
        _ => None,
    }
}

async fn sleep_until_some(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due).await,
        None => std::future::pending().await,
    }
}
