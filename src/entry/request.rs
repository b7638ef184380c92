//! Handling of one request from admission to its outcome.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::{Duration, Instant, timeout_at};

use super::EntryHost;
use super::documents::InForceDocument;
use super::metrics::RequestLabels;
use crate::class::Class;
use crate::config::Organisation;
use crate::names::{OrganisationName, RequestKey, ServiceName};
use crate::outcome::{NotRun, NotRunCause, Outcome};

/// Metric label of requests whose organisation the service document does not list.
const UNKNOWN_ORGANISATION_LABEL: &str = "none";

/// Time after the deadline in which the current step can end by itself with a specific reason.
const DEADLINE_GRACE: Duration = Duration::from_millis(50);

/// A caller's request with its parameters.
#[derive(Debug, Clone)]
pub(crate) struct CallerRequest {
    pub(crate) service: ServiceName,
    pub(crate) organisation: OrganisationName,
    pub(crate) class: Class,
    pub(crate) kind: RequestKind,
    pub(crate) deadline: Instant,
    pub(crate) body: Bytes,
    pub(crate) caller: CallerConnection,
}

/// Detects that the caller has disconnected; without a receiver it never does.
#[derive(Debug, Clone, Default)]
pub(crate) struct CallerConnection(Option<watch::Receiver<()>>);

impl CallerConnection {
    /// Waits until the caller has disconnected.
    pub(crate) async fn disconnected(&self) {
        match self.0.clone() {
            Some(mut connected) => while connected.changed().await.is_ok() {},
            None => std::future::pending().await,
        }
    }

    pub(crate) fn is_disconnected(&self) -> bool {
        self.0.as_ref().is_some_and(|connected| connected.has_changed().is_err())
    }
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// The request may be repeated; the key only matches answers to requests.
    Idempotent { key: RequestKey },
    /// The request runs at most once under its key.
    AtMostOnce {
        key: RequestKey,
        /// The caller declares that no submission with this key came before.
        first_submission: bool,
    },
}

impl CallerRequest {
    pub(crate) fn key(&self) -> &RequestKey {
        match &self.kind {
            RequestKind::Idempotent { key } | RequestKind::AtMostOnce { key, .. } => key,
        }
    }

    /// Returns the time until the caller's deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Builds the outcome of a refusal at this host before the owner's records were read.
    ///
    /// An earlier submission with the same key may have run, so the outcome is unknown unless the
    /// caller declares that this is the first submission.
    pub(crate) fn refused_outcome(&self, reason: NotRun) -> Outcome {
        match &self.kind {
            RequestKind::AtMostOnce { first_submission: false, .. } => {
                Outcome::not_dispatched(&reason)
            }
            RequestKind::AtMostOnce { .. } | RequestKind::Idempotent { .. } => {
                Outcome::NotRun(reason)
            }
        }
    }
}

/// Admits and dispatches a request and records its metrics.
pub(crate) async fn handle(host: &Arc<EntryHost>, request: CallerRequest) -> Outcome {
    let started = Instant::now();
    let found = find_limits(host, &request.service, &request.organisation);
    // Callers can send any number of names, and each label value takes memory until the process ends.
    let organisation =
        found.as_ref().map_or(UNKNOWN_ORGANISATION_LABEL, |_| request.organisation.as_str());
    let labels = RequestLabels::new(organisation, request.class);
    let outcome = match found {
        Ok((in_force, limits)) => admit_and_run(host, request, in_force, limits).await,
        Err(reason) => request.refused_outcome(reason),
    };
    host.metrics.request_ended(&labels, &outcome, started.elapsed());
    outcome
}

async fn admit_and_run(
    host: &Arc<EntryHost>,
    mut request: CallerRequest,
    in_force: Arc<InForceDocument>,
    limits: Organisation,
) -> Outcome {
    if let RequestKind::AtMostOnce { key, .. } = &request.kind
        && key.data_centre() != &host.settings.data_centre
    {
        return super::peers::forward(host, &request).await;
    }
    let permit = match host.admission.admit(&request.service, &limits) {
        Ok(permit) => permit,
        Err(reason) => return request.refused_outcome(reason),
    };
    let deadline = request.deadline;
    // The sender is dropped with this call, which is cancelled if the caller disconnects.
    let (_connected, caller) = watch::channel(());
    request.caller = CallerConnection(Some(caller));
    // The task continues if the caller disconnects, so that an outcome is recorded in any case.
    let host = Arc::clone(host);
    let task = tokio::spawn(async move {
        let outcome = run(&host, &request, &in_force).await;
        drop(permit);
        outcome
    });
    let unknown = |detail: String| Outcome::Unknown { detail };
    match timeout_at(deadline + DEADLINE_GRACE, task).await {
        Ok(ended) => ended.unwrap_or_else(|error| unknown(format!("internal error: {error}"))),
        Err(_) => unknown("no outcome was known by the deadline".to_owned()),
    }
}

async fn run(
    host: &Arc<EntryHost>,
    request: &CallerRequest,
    in_force: &InForceDocument,
) -> Outcome {
    match &request.kind {
        RequestKind::Idempotent { .. } => super::idempotent::run(host, request, in_force).await,
        RequestKind::AtMostOnce { key, .. } => super::once::run(host, request, key, in_force).await,
    }
}

/// Finds the document of a service and the limits of an organisation in it.
pub(crate) fn find_limits(
    host: &EntryHost,
    service: &ServiceName,
    organisation: &OrganisationName,
) -> Result<(Arc<InForceDocument>, Organisation), NotRun> {
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
