//! The task that owns the scheduling core.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout};
use tracing::{error, warn};

use super::book::{JobTable, MAX_JOBS, check_date};
use super::peers::{OutgoingMessage, Peers};
use super::record::{self, JOBS_CHECKPOINT_KIND, JOBS_RECORD_KIND, StoredRecord};
use super::submission::{ResolvedSubmission, Submission};
use super::watches::Watches;
use super::{Call, CallResult, Input, JobsContext, UpstreamChange, messages, status, unavailable};
use crate::error::StepError;
use crate::names::{JobName, UpstreamName};
use crate::outcome::{NotRun, NotRunCause};
use crate::scheduler::{Decision, Event, Guarantees, JobRecord, JobSpec, JobState, Scheduler};
use crate::upstream_http::{GangAnswer, GangMessage, GangReply, GangRequest, RefusalCode};

/// Time limit for an upstream to answer a gang message. It equals the start lease, after which the
/// answer to a commit is useless.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of records that a checkpoint replaces, so that a restart reads a bounded log.
const CHECKPOINT_RECORDS: usize = 8_192;

/// Maximum number of inputs in a batch, whose records become durable together.
const BATCH_LIMIT: usize = 64;

/// The scheduling core with its job table, its peers and its journal.
pub(crate) struct Jobs {
    scheduler: Scheduler,
    job_table: JobTable,
    peers: Peers,
    watches: Watches,
    context: JobsContext,
    started: Instant,
    started_ms: u64,
    inbox: mpsc::WeakSender<Input>,
    since_checkpoint: usize,
    /// Why the task makes no further steps, if it has halted.
    halted: Option<String>,
}

/// `Ok` if the guarantees of a document fit, otherwise why one of them does not.
type GuaranteesFit = Result<(), String>;

/// Effects of one batch of inputs.
#[derive(Default)]
struct Batch {
    records: Vec<StoredRecord>,
    messages: Vec<OutgoingMessage>,
    answers: Vec<(oneshot::Sender<CallResult>, CallResult)>,
    guarantee_answers: Vec<(oneshot::Sender<GuaranteesFit>, GuaranteesFit)>,
}

impl Jobs {
    /// Recovers the state from earlier records.
    pub(super) fn recover(
        records: Vec<StoredRecord>,
        context: JobsContext,
        inbox: mpsc::WeakSender<Input>,
    ) -> Self {
        let started_ms = records.iter().filter_map(accepted_ms).fold(context.now_ms, u64::max);
        let mut job_table = JobTable::default();
        for stored in &records {
            job_table.apply(stored, started_ms);
        }
        let records = records.into_iter().map(|stored| stored.record);
        Self {
            scheduler: Scheduler::recover(records, started_ms),
            job_table,
            peers: Peers::new(context.epoch),
            watches: Watches::default(),
            context,
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
            self.handle_batch(std::mem::take(&mut inputs)).await;
        }
    }

    /// Returns when the core next has to act without an input.
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

    /// Applies inputs, makes their records durable and only then sends messages and answers.
    async fn handle_batch(&mut self, inputs: Vec<Input>) {
        let now_ms = self.now_ms();
        let mut batch = Batch::default();
        self.step(Event::Tick, None, now_ms, &mut batch);
        for input in inputs {
            self.apply(input, now_ms, &mut batch);
        }
        self.job_table.prune(&self.scheduler, now_ms);
        if let Err(fault) = self.persist(&batch.records).await {
            self.halt(format!("the journal cannot be written: {fault}"));
            let refusal = "the journal could not be written, so it is not known whether the call \
                           takes effect; repeat it after the control process has restarted";
            batch.answers.iter_mut().for_each(|(_, answer)| *answer = Err(unavailable(refusal)));
            batch.messages.clear();
            batch.guarantee_answers.clear();
        }
        for message in batch.messages {
            self.send(message);
        }
        for (sender, fit) in batch.guarantee_answers {
            _ = sender.send(fit);
        }
        for (caller, answer) in batch.answers {
            // A caller that has disconnected repeats its call.
            _ = caller.send(answer);
        }
    }

    async fn persist(&mut self, records: &[StoredRecord]) -> Result<(), StepError> {
        if records.is_empty() {
            return Ok(());
        }
        (self.context.append)(JOBS_RECORD_KIND, record::encode(records)?).await?;
        self.since_checkpoint += records.len();
        if self.since_checkpoint >= CHECKPOINT_RECORDS {
            self.since_checkpoint = 0;
            let records = record::encode(&self.checkpoint())?;
            (self.context.append)(JOBS_CHECKPOINT_KIND, records).await?;
        }
        Ok(())
    }

    /// Returns the records that replace all earlier ones.
    fn checkpoint(&self) -> Vec<StoredRecord> {
        let stored = |record| {
            let entry = match &record {
                JobRecord::Accepted { spec, .. } => self.job_table.get(&spec.name),
                _ => None,
            };
            let submission = entry.and_then(|entry| entry.submission.clone());
            let refused = entry.is_some_and(|entry| entry.refused);
            StoredRecord { record, submission, refused }
        };
        // Evicted jobs come first: the core keeps the last ended jobs in the order of the records.
        let mut records = self.job_table.evicted_records(&self.scheduler);
        records.extend(self.scheduler.snapshot().into_iter().map(stored));
        records
    }

    /// Stops making steps; running gangs end when their leases expire.
    fn halt(&mut self, reason: String) {
        error!(%reason, "jobs are unavailable until a restart");
        self.halted.get_or_insert(reason);
    }

    fn apply(&mut self, input: Input, now_ms: u64, batch: &mut Batch) {
        let event = match input {
            Input::Call(call, caller) => {
                let answer = self.handle_call(call, now_ms, batch);
                return batch.answers.push((caller, answer));
            }
            Input::UpstreamChanged(change, revision) => {
                if !self.peers.is_newest_change(change.upstream(), revision) {
                    return;
                }
                self.upstream_event(change)
            }
            Input::ApplyGuarantees(guarantees, sender) => {
                return self.apply_guarantees(guarantees, sender, now_ms, batch);
            }
            Input::EndsQueryFailed(upstream) => return self.watches.query_failed(&upstream),
            Input::Answered { upstream, request, reply } => {
                self.peers.update_clock(&upstream, reply.incarnation, reply.clock_ms);
                self.check_epoch(&reply);
                self.handle_ends(&upstream, &request, &reply, now_ms, batch);
                let Some(event) = messages::answer_event(upstream, request, reply) else { return };
                event
            }
        };
        self.step(event, None, now_ms, batch);
    }

    /// Returns the event for a change of an upstream.
    fn upstream_event(&mut self, change: UpstreamChange) -> Event {
        match change {
            UpstreamChange::Announced(announcement, address) => {
                self.peers.update_address(&announcement.name, announcement.incarnation, address);
                Event::UpstreamAnnounced(announcement)
            }
            UpstreamChange::Lost(upstream) => Event::UpstreamLost { upstream },
            UpstreamChange::Leaving(upstream, incarnation) => {
                Event::UpstreamLeaving { upstream, incarnation }
            }
        }
    }

    /// Applies the ends of members that an answer reports, and queries further ones.
    fn handle_ends(
        &mut self,
        upstream: &UpstreamName,
        request: &GangRequest,
        reply: &GangReply,
        now_ms: u64,
        batch: &mut Batch,
    ) {
        if let GangAnswer::Ends { members, .. } = &reply.answer {
            for event in messages::member_ended_events(upstream, members) {
                self.step(event, None, now_ms, batch);
            }
        } else if matches!(request.message, GangMessage::Ends(_)) {
            self.watches.query_failed(upstream);
        }
        if self.halted.is_none()
            && let Some(query) = self.watches.next_query(upstream, reply)
        {
            let outgoing = self.peers.prepare(upstream.clone(), query);
            batch.messages.extend(outgoing);
        }
    }

    /// Applies the guarantees of a document; a dropped sender reports that jobs are unavailable.
    fn apply_guarantees(
        &mut self,
        guarantees: Guarantees,
        sender: oneshot::Sender<GuaranteesFit>,
        now_ms: u64,
        batch: &mut Batch,
    ) {
        if self.halted.is_some() {
            return;
        }
        let event = Event::DocumentApplied(guarantees);
        let refusal = self.step(event, None, now_ms, batch);
        batch.guarantee_answers.push((sender, refusal.map_or(Ok(()), Err)));
    }

    /// Halts if an upstream knows a control process with a newer epoch.
    fn check_epoch(&mut self, reply: &GangReply) {
        if let GangAnswer::Refused { code: RefusalCode::OlderEpoch, epoch } = reply.answer
            && epoch > self.context.epoch
        {
            self.halt(format!("a control process with the newer epoch {epoch} is in charge"));
        }
    }

    /// Makes one step of the core, unless the task is halted, and adds the effects to the batch.
    ///
    /// Returns the reason if the core refuses the event.
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
                Decision::Persist(record) => self.add_record(record, submission, now_ms, batch),
                Decision::JobRefused { reason, .. } => refusal = Some(reason),
                Decision::DocumentRefused { service, version, reason } => {
                    warn!(%service, version, %reason, "the guarantees of a document do not fit");
                    refusal = Some(reason);
                }
                Decision::GuaranteeAtRisk { organisation, accelerators, reason } => {
                    warn!(%organisation, accelerators, %reason, "a guarantee is at risk");
                }
                other => batch.messages.extend(self.prepare_message(other)),
            }
        }
        refusal
    }

    /// Returns the message for a decision, if the address of its recipient is known.
    fn prepare_message(&self, decision: Decision) -> Option<OutgoingMessage> {
        let (upstream, message) = messages::message(decision, &self.job_table)?;
        let outgoing = self.peers.prepare(upstream, message);
        if outgoing.is_none() {
            self.context.metrics.message_ended("no_address");
        }
        outgoing
    }

    fn add_record(
        &mut self,
        record: JobRecord,
        submission: Option<&Submission>,
        now_ms: u64,
        batch: &mut Batch,
    ) {
        let accepted = matches!(record, JobRecord::Accepted { .. });
        let submission = submission.filter(|_| accepted).cloned();
        let stored = StoredRecord { record, submission, refused: false };
        self.job_table.apply(&stored, now_ms);
        self.job_table.update_metrics(&stored.record, &self.context.metrics, now_ms);
        batch.records.push(stored);
    }

    fn handle_call(&mut self, call: Call, now_ms: u64, batch: &mut Batch) -> CallResult {
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

    /// Submits a job. Resends are recognised here, because the core does not know all of the
    /// content, and a shape may have changed since the first submission.
    fn submit(
        &mut self,
        submission: &Submission,
        now_ms: u64,
        batch: &mut Batch,
    ) -> Result<String, NotRun> {
        let name = &submission.name;
        if let Some(entry) = self.job_table.get(name) {
            if entry.submission.as_ref() == Some(submission) {
                return if entry.refused {
                    Err(cannot_start_at_once())
                } else {
                    Ok(status::accepted(entry))
                };
            }
            let detail = format!("job {name} exists with other content; this one was not run");
            return Err(NotRun::new(NotRunCause::Conflict, detail));
        }
        check_date(name, now_ms)?;
        if self.job_table.is_full() {
            let detail = format!("the data centre keeps its limit of {MAX_JOBS} jobs");
            return Err(NotRun::new(NotRunCause::OverLimit, detail));
        }
        let document = (self.context.find_document)(&submission.service);
        let ResolvedSubmission { spec, may_wait } = submission.resolve(document.as_ref())?;
        if let Some(reason) = self.step(Event::JobSubmitted(spec), Some(submission), now_ms, batch)
        {
            return Err(NotRun::new(NotRunCause::BadRequest, reason));
        }
        let waits = self.scheduler.job(name) == Some(&JobState::Waiting);
        if waits && !may_wait && !self.scheduler.has_claim(name) {
            return Err(self.refuse_wait(name, now_ms, batch));
        }
        let entry =
            self.job_table.get(name).ok_or_else(|| unavailable("the job was not accepted"))?;
        Ok(status::accepted(entry))
    }

    /// Refuses a job that may not wait. The job is kept, so that a late copy of the submission gets
    /// the same answer and does not run after its caller received the refusal.
    fn refuse_wait(&mut self, job: &JobName, now_ms: u64, batch: &mut Batch) -> NotRun {
        for stored in &mut batch.records {
            let is_refused = |spec: &JobSpec| spec.name == *job;
            stored.refused |=
                matches!(&stored.record, JobRecord::Accepted { spec, .. } if is_refused(spec));
        }
        self.job_table.mark_refused(job);
        self.step(Event::JobCancelled { job: job.clone() }, None, now_ms, batch);
        cannot_start_at_once()
    }

    fn describe(
        &self,
        job: &JobName,
        now_ms: u64,
        format: fn(&super::book::Entry, &crate::scheduler::Explanation) -> String,
    ) -> Option<String> {
        let entry = self.job_table.get(job)?;
        let explanation =
            self.scheduler.explain(job, now_ms).or_else(|| status::explain_evicted(entry))?;
        Some(format(entry, &explanation))
    }

    /// Sends a message from a separate task; its answer arrives as an input.
    fn send(&self, message: OutgoingMessage) {
        // A weak sender, so that a message in flight does not keep the jobs task alive.
        let inbox = self.inbox.clone();
        let deliver = Arc::clone(&self.context.deliver);
        let metrics = Arc::clone(&self.context.metrics);
        tokio::spawn(async move {
            let OutgoingMessage { upstream, address, request } = message;
            let limit = MESSAGE_TIMEOUT + Watches::extra_timeout(&request.message);
            let answer = timeout(limit, deliver(address, request.clone())).await;
            let input = if let Ok(Ok(reply)) = answer {
                metrics.message_ended("answered");
                Input::Answered { upstream, request, reply }
            } else {
                metrics.message_ended("unanswered");
                if !matches!(request.message, GangMessage::Ends(_)) {
                    return;
                }
                Input::EndsQueryFailed(upstream)
            };
            if let Some(inbox) = inbox.upgrade() {
                _ = inbox.send(input).await;
            }
        });
    }
}

fn cannot_start_at_once() -> NotRun {
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
