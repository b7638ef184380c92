//! Parking a request in a bounded queue until a slot is free.

use tokio::time::{Duration, Instant, timeout_at};

use super::EntryHost;
use super::documents::InForceDocument;
use super::request::CallerRequest;
use super::upstreams::{ParkRefusal, Slot};
use crate::class::Class;
use crate::config::ServiceDocument;
use crate::names::UpstreamName;
use crate::outcome::{NotRun, NotRunCause};

/// Waits for a slot, at most for the longest wait of the class and until the caller's deadline.
pub(crate) async fn park(
    host: &EntryHost,
    request: &CallerRequest,
    in_force: &InForceDocument,
    avoid: Option<UpstreamName>,
) -> Result<Slot, NotRun> {
    let limits = class_limits(&in_force.document, request.class);
    let wait_ms = limits.wait_max_ms.min(host.settings.timeouts.park_budget_ms);
    let until = request.deadline.min(Instant::now() + Duration::from_millis(wait_ms));
    let parked = host
        .upstreams
        .park(&request.service, request.class, avoid, limits.queue_max)
        .map_err(|cause| refusal(cause, request.class))?;
    let started = Instant::now();
    let slot = tokio::select! {
        slot = timeout_at(until, parked.wait_for_slot()) => slot.ok().flatten(),
        () = request.caller.disconnected() => None,
    };
    host.metrics.park_ended(started.elapsed(), slot.is_some());
    slot.ok_or_else(|| no_capacity(request))
}

/// Limits of the service document for waiting requests of one class.
struct ClassLimits {
    queue_max: usize,
    wait_max_ms: u64,
}

const fn class_limits(document: &ServiceDocument, class: Class) -> ClassLimits {
    match class {
        Class::Interactive => ClassLimits {
            queue_max: document.interactive_queue_max as usize,
            wait_max_ms: document.interactive_wait_max_ms,
        },
        Class::Batch => ClassLimits {
            queue_max: document.batch_queue_max as usize,
            wait_max_ms: document.batch_wait_max_ms,
        },
    }
}

fn refusal(refusal: ParkRefusal, class: Class) -> NotRun {
    let detail = match refusal {
        ParkRefusal::Full => "the limit of waiting requests at this host is reached".to_owned(),
        ParkRefusal::ClassFull => {
            format!("as many {class} requests wait as the service document allows")
        }
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
