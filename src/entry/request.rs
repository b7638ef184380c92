//! The path of one request from admission to its outcome.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::{Duration, Instant, timeout_at};

use super::EntryHost;
use super::documents::InForce;
use super::metrics::RequestLabels;
use crate::class::Class;
use crate::config::Organisation;
use crate::names::{OrganisationName, RequestKey, ServiceName};
use crate::outcome::{NotRun, NotRunCause, Outcome};

/// Label of requests whose organisation has no part in their service.
const NO_ORGANISATION: &str = "none";

/// Time after the deadline in which each step can end by itself and name its reason.
const DEADLINE_GRACE: Duration = Duration::from_millis(50);

/// A caller's request with everything that decides how it is treated.
#[derive(Debug, Clone)]
pub(crate) struct CallerRequest {
    pub(crate) service: ServiceName,
    pub(crate) organisation: OrganisationName,
    pub(crate) class: Class,
    pub(crate) kind: Kind,
    pub(crate) deadline: Instant,
    pub(crate) body: Bytes,
    pub(crate) caller: Caller,
}

/// Tells whether the caller still waits for its answer.
#[derive(Debug, Clone, Default)]
pub(crate) struct Caller(Option<watch::Receiver<()>>);

impl Caller {
    /// Ends when the caller has hung up.
    pub(crate) async fn gone(&self) {
        match self.0.clone() {
            Some(mut present) => while present.changed().await.is_ok() {},
            None => std::future::pending().await,
        }
    }

    pub(crate) fn is_gone(&self) -> bool {
        self.0.as_ref().is_some_and(|present| present.has_changed().is_err())
    }
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Kind {
    /// It may be repeated; the key only matches answers to requests.
    Idempotent { key: RequestKey },
    /// It runs at most once under its key.
    Once {
        key: RequestKey,
        /// The caller declares that no submission with this key came before.
        first_submission: bool,
    },
}

impl CallerRequest {
    pub(crate) fn key(&self) -> &RequestKey {
        match &self.kind {
            Kind::Idempotent { key } | Kind::Once { key, .. } => key,
        }
    }

    /// Returns the time that is left until the caller's deadline.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Builds the outcome of a refusal at this host, before the owner's records were asked.
    ///
    /// An earlier submission with the same key may have run, so only a caller that declares its
    /// first submission can be told that the request did not run.
    pub(crate) fn refused(&self, reason: NotRun) -> Outcome {
        match &self.kind {
            Kind::Once { first_submission: false, .. } => Outcome::not_dispatched(&reason),
            Kind::Once { .. } | Kind::Idempotent { .. } => Outcome::NotRun(reason),
        }
    }
}

/// Takes a request through admission, dispatch and metrics.
pub(crate) async fn handle(host: &Arc<EntryHost>, request: CallerRequest) -> Outcome {
    let started = Instant::now();
    let found = limits_of(host, &request.service, &request.organisation);
    // Callers may make up any number of names, and each label takes memory for good.
    let organisation = found.as_ref().map_or(NO_ORGANISATION, |_| request.organisation.as_str());
    let labels = RequestLabels::new(organisation, request.class);
    let outcome = match found {
        Ok((in_force, limits)) => admit_and_run(host, request, in_force, limits).await,
        Err(reason) => request.refused(reason),
    };
    host.metrics.request_ended(&labels, &outcome, started.elapsed());
    outcome
}

async fn admit_and_run(
    host: &Arc<EntryHost>,
    mut request: CallerRequest,
    in_force: Arc<InForce>,
    limits: Organisation,
) -> Outcome {
    if let Kind::Once { key, .. } = &request.kind
        && key.data_centre() != &host.settings.data_centre
    {
        return super::peers::forward(host, &request).await;
    }
    let admitted = match host.admission.admit(&request.service, &limits) {
        Ok(admitted) => admitted,
        Err(reason) => return request.refused(reason),
    };
    let deadline = request.deadline;
    // The sender is dropped with this call, which ends early if the caller hangs up.
    let (_present, caller) = watch::channel(());
    request.caller = Caller(Some(caller));
    // The task goes on if the caller hangs up, so that an outcome is recorded all the same.
    let host = Arc::clone(host);
    let task = tokio::spawn(async move {
        let outcome = run(&host, &request, &in_force).await;
        drop(admitted);
        outcome
    });
    let unknown = |detail: String| Outcome::Unknown { detail };
    match timeout_at(deadline + DEADLINE_GRACE, task).await {
        Ok(ended) => ended.unwrap_or_else(|error| unknown(format!("internal fault: {error}"))),
        Err(_) => unknown("no outcome was known by the deadline".to_owned()),
    }
}

async fn run(host: &Arc<EntryHost>, request: &CallerRequest, in_force: &InForce) -> Outcome {
    match &request.kind {
        Kind::Idempotent { .. } => super::idempotent::run(host, request, in_force).await,
        Kind::Once { key, .. } => super::once::run(host, request, key, in_force).await,
    }
}

/// Finds the document of a service and the limits of an organisation in it.
pub(crate) fn limits_of(
    host: &EntryHost,
    service: &ServiceName,
    organisation: &OrganisationName,
) -> Result<(Arc<InForce>, Organisation), NotRun> {
    let in_force = host.documents.get(service).ok_or_else(|| {
        let detail = format!("service {service} has no document at this host");
        NotRun::new(NotRunCause::UnknownService, detail)
    })?;
    let named = |limits: &&Organisation| limits.name == *organisation;
    let limits = in_force.document.organisations.iter().find(named).cloned().ok_or_else(|| {
        let detail = format!("organisation {organisation} has no part in service {service}");
        NotRun::new(NotRunCause::Forbidden, detail)
    })?;
    Ok((in_force, limits))
}
