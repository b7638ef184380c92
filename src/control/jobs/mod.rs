//! Jobs of one data centre: connects the scheduling core to the journal, upstreams and callers.
//!
//! One task owns the core. It applies queued inputs, makes the records of these steps durable, then
//! sends the messages and the answers to callers. Each message is sent from a separate task, so a
//! step never waits for the network.

mod book;
mod delivery;
mod messages;
mod metrics;
mod peers;
mod record;
mod rpc;
mod status;
mod submission;
mod task;
#[cfg(test)]
mod tests;
mod watches;

pub(crate) use delivery::deliver_http;
pub(crate) use metrics::JobsMetrics;
pub(crate) use record::{JOBS_CHECKPOINT_KIND, JOBS_RECORD_KIND};
pub(crate) use rpc::{cancel_job, explain_job, get_job, submit_job};
pub(crate) use submission::Submission;

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

use crate::config::ServiceDocument;
use crate::error::StepError;
use crate::names::{JobName, ServiceName, UpstreamName};
use crate::outcome::{NotRun, NotRunCause};
use crate::scheduler::{Announcement, Guarantees};
use crate::upstream_http::{GangReply, GangRequest};
pub(crate) use task::Jobs;

/// Capacity of the queue of inputs; senders wait while it is full.
const INBOX_CAPACITY: usize = 1_024;

/// A boxed future, as returned by the closures of [`JobsContext`].
pub(crate) type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Appends a record of a kind to the journal and returns its index once it is durable.
pub(crate) type AppendFn =
    Box<dyn Fn(u8, Vec<u8>) -> BoxFuture<Result<u64, StepError>> + Send + Sync>;

/// Sends a gang message to an upstream and returns its answer.
pub(crate) type DeliverFn =
    Arc<dyn Fn(SocketAddr, GangRequest) -> BoxFuture<Result<GangReply, StepError>> + Send + Sync>;

/// Finds the document of a service.
pub(crate) type FindDocumentFn = Box<dyn Fn(&ServiceName) -> Option<ServiceDocument> + Send + Sync>;

/// What the jobs task uses of the rest of the control process.
pub(crate) struct JobsContext {
    /// Epoch of this control process, higher than that of every earlier one.
    pub(crate) epoch: u64,
    /// Unix time of the start, in milliseconds; later times are measured from it.
    pub(crate) now_ms: u64,
    pub(crate) append: AppendFn,
    pub(crate) deliver: DeliverFn,
    pub(crate) find_document: FindDocumentFn,
    pub(crate) metrics: Arc<JobsMetrics>,
}

/// Answer to a call: the status as JSON, or `None` if no job has the name.
type CallResult = Result<Option<String>, NotRun>;

/// A caller's query or command.
#[derive(Debug)]
enum Call {
    Submit(Submission),
    Status(JobName),
    Cancel(JobName),
    Explain(JobName),
}

/// A change of an upstream in the registry.
#[derive(Debug)]
enum UpstreamChange {
    Announced(Announcement, SocketAddr),
    Lost(UpstreamName),
    Leaving(UpstreamName, u64),
}

impl UpstreamChange {
    const fn upstream(&self) -> &UpstreamName {
        match self {
            Self::Announced(Announcement { name, .. }, _)
            | Self::Lost(name)
            | Self::Leaving(name, _) => name,
        }
    }
}

/// Input of the jobs task.
#[derive(Debug)]
enum Input {
    Call(Call, oneshot::Sender<CallResult>),
    /// An upstream announced itself, was lost or is leaving; with the revision of the registry.
    UpstreamChanged(UpstreamChange, u64),
    /// A query about ended members got no answer.
    EndsQueryFailed(UpstreamName),
    /// The guarantees of a document are to be applied; the answer states whether they fit.
    ApplyGuarantees(Guarantees, oneshot::Sender<Result<(), String>>),
    Answered {
        upstream: UpstreamName,
        request: GangRequest,
        reply: GangReply,
    },
}

/// Access to the task that owns the jobs; the task ends once every handle is dropped.
#[derive(Debug, Clone)]
pub(crate) struct JobsHandle {
    inbox: mpsc::Sender<Input>,
    task: AbortHandle,
}

impl JobsHandle {
    /// Reports that an upstream announced itself at an address.
    ///
    /// This and the other changes of upstreams carry the revision of the registry; one that is
    /// older than another of the same upstream has no effect.
    pub(crate) async fn upstream_announced(
        &self,
        announcement: Announcement,
        address: SocketAddr,
        revision: u64,
    ) {
        let change = UpstreamChange::Announced(announcement, address);
        self.send(Input::UpstreamChanged(change, revision)).await;
    }

    /// Reports that the lease of an upstream ended.
    pub(crate) async fn upstream_lost(&self, upstream: UpstreamName, revision: u64) {
        self.send(Input::UpstreamChanged(UpstreamChange::Lost(upstream), revision)).await;
    }

    /// Reports that an incarnation of an upstream is leaving.
    pub(crate) async fn upstream_leaving(
        &self,
        upstream: UpstreamName,
        incarnation: u64,
        revision: u64,
    ) {
        let change = UpstreamChange::Leaving(upstream, incarnation);
        self.send(Input::UpstreamChanged(change, revision)).await;
    }

    /// Applies the guarantees of a document, unless they do not fit.
    ///
    /// # Errors
    /// Returns an error if jobs are unavailable.
    pub(crate) async fn apply_guarantees(
        &self,
        guarantees: Guarantees,
    ) -> Result<Result<(), String>, NotRun> {
        let (sender, answer) = oneshot::channel();
        self.send(Input::ApplyGuarantees(guarantees, sender)).await;
        answer.await.map_err(|_| unavailable("jobs are unavailable"))
    }

    /// Submits a job; a repeated submission gets the first answer.
    ///
    /// # Errors
    /// Returns why the job was refused.
    pub(crate) async fn submit(&self, submission: Submission) -> CallResult {
        self.call(Call::Submit(submission)).await
    }

    /// Returns the status of a job.
    ///
    /// # Errors
    /// Returns an error if jobs are unavailable.
    pub(crate) async fn status(&self, job: JobName) -> CallResult {
        self.call(Call::Status(job)).await
    }

    /// Cancels a job and returns its status afterwards.
    ///
    /// # Errors
    /// Returns an error if jobs are unavailable.
    pub(crate) async fn cancel(&self, job: JobName) -> CallResult {
        self.call(Call::Cancel(job)).await
    }

    /// Returns the explanation of a job's state.
    ///
    /// # Errors
    /// Returns an error if jobs are unavailable.
    pub(crate) async fn explain(&self, job: JobName) -> CallResult {
        self.call(Call::Explain(job)).await
    }

    /// Aborts the task. Nothing is lost, because messages and answers are sent only once durable.
    pub(crate) fn abort(&self) {
        self.task.abort();
    }

    /// Queues an input. If the task has ended, the input is dropped; calls report that.
    async fn send(&self, input: Input) {
        _ = self.inbox.send(input).await;
    }

    async fn call(&self, call: Call) -> CallResult {
        let (sender, answer) = oneshot::channel();
        self.send(Input::Call(call, sender)).await;
        answer.await.unwrap_or_else(|_| Err(unavailable("the control process is stopping")))
    }
}

impl Jobs {
    /// Recovers the jobs from the payloads of earlier records and starts the task.
    ///
    /// # Errors
    /// Returns an error if a payload cannot be decoded.
    pub(crate) fn start(
        payloads: impl IntoIterator<Item = impl AsRef<[u8]>>,
        context: JobsContext,
    ) -> Result<JobsHandle, StepError> {
        let records = record::decode_all(payloads)?;
        let (sender, receiver) = mpsc::channel(INBOX_CAPACITY);
        let jobs = Self::recover(records, context, sender.downgrade());
        let task = tokio::spawn(jobs.run(receiver)).abort_handle();
        Ok(JobsHandle { inbox: sender, task })
    }
}

fn unavailable(detail: impl Into<String>) -> NotRun {
    NotRun::new(NotRunCause::Unavailable, detail)
}
