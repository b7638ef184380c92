//! Jobs of one data centre: the scheduling core joined with the journal, upstreams and callers.
//!
//! One task owns the core. It applies waiting inputs, makes the records of these steps durable,
//! then sends the messages and releases the answers to callers. Messages travel in tasks of their
//! own, so a step never waits for the network.

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

/// Inputs that wait for the task; callers beyond this wait for room.
const INBOX_LIMIT: usize = 1_024;

/// A boxed future, as the closures of [`JobsParts`] return it.
pub(crate) type Pending<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Appends a record of a kind to the journal and returns its index once it is durable.
pub(crate) type Append = Box<dyn Fn(u8, Vec<u8>) -> Pending<Result<u64, StepError>> + Send + Sync>;

/// Takes a gang message to an upstream and returns its answer.
pub(crate) type Deliver =
    Arc<dyn Fn(SocketAddr, GangRequest) -> Pending<Result<GangReply, StepError>> + Send + Sync>;

/// Finds the document of a service.
pub(crate) type FindDocument = Box<dyn Fn(&ServiceName) -> Option<ServiceDocument> + Send + Sync>;

/// What the task needs from the rest of the control process.
pub(crate) struct JobsParts {
    /// Epoch of this control process, higher than that of every earlier one.
    pub(crate) epoch: u64,
    /// Wall-clock time of the start, in milliseconds since 1970; later times count from it.
    pub(crate) now_ms: u64,
    pub(crate) append: Append,
    pub(crate) deliver: Deliver,
    pub(crate) find_document: FindDocument,
    pub(crate) metrics: Arc<JobsMetrics>,
}

/// Answer to a call: the status as JSON, or `None` if no job has the name.
type CallResult = Result<Option<String>, NotRun>;

/// A caller's question or command.
#[derive(Debug)]
enum Call {
    Submit(Submission),
    Status(JobName),
    Cancel(JobName),
    Explain(JobName),
}

/// What the task is told.
#[derive(Debug)]
enum Input {
    Call(Call, oneshot::Sender<CallResult>),
    Announced(Announcement, SocketAddr),
    Lost(UpstreamName),
    Leaving(UpstreamName, u64),
    /// A question about ended members got no answer.
    EndsUnanswered(UpstreamName),
    /// A document is to take effect; the answer says whether its guarantees fit.
    Document(Guarantees, oneshot::Sender<Result<(), String>>),
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
    pub(crate) async fn upstream_announced(&self, announcement: Announcement, address: SocketAddr) {
        self.tell(Input::Announced(announcement, address)).await;
    }

    /// Reports that the lease of an upstream ended.
    pub(crate) async fn upstream_lost(&self, upstream: UpstreamName) {
        self.tell(Input::Lost(upstream)).await;
    }

    /// Reports that an incarnation of an upstream is leaving.
    pub(crate) async fn upstream_leaving(&self, upstream: UpstreamName, incarnation: u64) {
        self.tell(Input::Leaving(upstream, incarnation)).await;
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
        self.tell(Input::Document(guarantees, sender)).await;
        answer.await.map_err(|_| unavailable("jobs are unavailable"))
    }

    /// Submits a job; a repeated submission gets the first answer.
    ///
    /// # Errors
    /// Returns why the job was refused.
    pub(crate) async fn submit(&self, submission: Submission) -> CallResult {
        self.call(Call::Submit(submission)).await
    }

    /// Returns where a job stands.
    ///
    /// # Errors
    /// Returns an error if jobs are unavailable.
    pub(crate) async fn status(&self, job: JobName) -> CallResult {
        self.call(Call::Status(job)).await
    }

    /// Cancels a job and returns where it stands then.
    ///
    /// # Errors
    /// Returns an error if jobs are unavailable.
    pub(crate) async fn cancel(&self, job: JobName) -> CallResult {
        self.call(Call::Cancel(job)).await
    }

    /// Returns why a job is where it is.
    ///
    /// # Errors
    /// Returns an error if jobs are unavailable.
    pub(crate) async fn explain(&self, job: JobName) -> CallResult {
        self.call(Call::Explain(job)).await
    }

    /// Ends the task at once. Nothing is lost, because whatever has left the task was durable.
    pub(crate) fn abort(&self) {
        self.task.abort();
    }

    /// A task that has ended ignores inputs; calls report it.
    async fn tell(&self, input: Input) {
        _ = self.inbox.send(input).await;
    }

    async fn call(&self, call: Call) -> CallResult {
        let (sender, answer) = oneshot::channel();
        self.tell(Input::Call(call, sender)).await;
        answer.await.unwrap_or_else(|_| Err(unavailable("the control process is stopping")))
    }
}

impl Jobs {
    /// Rebuilds the jobs from the payloads of earlier records and starts the task.
    ///
    /// # Errors
    /// Returns an error if a payload cannot be read.
    pub(crate) fn start(
        payloads: impl IntoIterator<Item = impl AsRef<[u8]>>,
        parts: JobsParts,
    ) -> Result<JobsHandle, StepError> {
        let records = record::read_all(payloads)?;
        let (sender, receiver) = mpsc::channel(INBOX_LIMIT);
        let jobs = Self::recover(records, parts, sender.downgrade());
        let task = tokio::spawn(jobs.run(receiver)).abort_handle();
        Ok(JobsHandle { inbox: sender, task })
    }
}

fn unavailable(detail: impl Into<String>) -> NotRun {
    NotRun::new(NotRunCause::Unavailable, detail)
}
