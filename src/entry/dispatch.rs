//! Getting a slot for a request: at once, or after waiting in a bounded lot.

use tokio::time::{Duration, Instant, timeout_at};

use super::EntryHost;
use super::documents::InForce;
use super::request::CallerRequest;
use super::upstreams::{ParkRefusal, Slot};
use crate::names::UpstreamName;
use crate::outcome::{NotRun, NotRunCause};

/// Waits for a slot within the park budget and the caller's deadline.
pub(crate) async fn park(
    host: &EntryHost,
    request: &CallerRequest,
    in_force: &InForce,
    avoid: Option<UpstreamName>,
) -> Result<Slot, NotRun> {
    let budget = Duration::from_millis(host.settings.timeouts.park_budget_ms);
    let until = request.deadline.min(Instant::now() + budget);
    let batch_max = in_force.document.batch_queue_max as usize;
    let parked =
        host.upstreams.park(&request.service, request.class, avoid, batch_max).map_err(refusal)?;
    let started = Instant::now();
    let slot = tokio::select! {
        slot = timeout_at(until, parked.slot()) => slot.ok().flatten(),
        () = request.caller.gone() => None,
    };
    host.metrics.parked_ended(started.elapsed(), slot.is_some());
    slot.ok_or_else(|| no_capacity(request))
}

fn refusal(refusal: ParkRefusal) -> NotRun {
    let detail = match refusal {
        ParkRefusal::Full => "this host holds as many waiting requests as it may",
        ParkRefusal::BatchFull => "as many batch requests wait as the service document allows",
    };
    NotRun::new(NotRunCause::NoCapacity, detail)
}

fn no_capacity(request: &CallerRequest) -> NotRun {
    let service = &request.service;
    NotRun::new(
        NotRunCause::NoCapacity,
        format!("no slot of service {service} became free in time"),
    )
}
