//! Announcements, renewals and leaves that entry hosts relay from upstreams.

use tonic::Status;
use tracing::{info, warn};

use crate::names::{HostName, UpstreamName};
use crate::rpc;

use super::core::{Core, State};
use super::job_feed::{UpstreamChange, UpstreamChangeKind};
use super::registry::{Change, Upstream};
use super::shares::UpstreamLimits;

/// Applies announcements, renewals and leaves to the registry and the shares.
///
/// Returns the reply, which lists the upstreams whose announcement must be sent again, and the
/// changes for the job scheduler.
///
/// # Errors
/// Returns a status if the sender is not a configured entry host.
pub(super) fn relay(
    core: &Core,
    request: &rpc::RelayRequest,
) -> Result<(rpc::RelayReply, Vec<UpstreamChange>), Status> {
    let host: HostName =
        request.host.parse().map_err(|fault| Status::invalid_argument(format!("{fault}")))?;
    let now_ms = core.now_ms();
    let mut state = core.lock();
    if !state.shares.is_configured(&host) {
        return Err(Status::permission_denied(format!("{host} is not a configured entry host")));
    }
    let before = (state.shares.total_revision(), state.registry.revision());
    let mut upstream_changes = Vec::new();
    for upstream in &request.announced {
        match apply_announcement(&mut state, upstream, now_ms) {
            Ok(upstream_change) => upstream_changes.extend(upstream_change),
            Err(fault) => {
                core.metrics.refused_announcements.inc();
                warn!(host = %host, upstream = upstream.name, error = fault, "refused an upstream");
            }
        }
    }
    let mut resend = Vec::new();
    for renewal in &request.renewed {
        let (change, upstream_change) = renew(&mut state, renewal, now_ms);
        upstream_changes.extend(upstream_change);
        if change == Change::Unknown {
            resend.push(renewal.name.clone());
        }
    }
    let changed = before != (state.shares.total_revision(), state.registry.revision());
    drop(state);
    if changed {
        core.notify_streams();
    }
    Ok((rpc::RelayReply { resend }, upstream_changes))
}

/// Applies an announcement or a leave; returns the change if it had an effect.
fn apply_announcement(
    state: &mut State,
    announcement: &rpc::Upstream,
    now_ms: u64,
) -> Result<Option<UpstreamChange>, String> {
    if announcement.leaving {
        let name: UpstreamName = announcement.name.parse().map_err(|fault| format!("{fault}"))?;
        if state.registry.leave(&name, announcement.incarnation, now_ms) == Change::Left {
            info!(upstream = %name, incarnation = announcement.incarnation, "an upstream left");
            state.shares.remove(&name);
            let kind = UpstreamChangeKind::Leaving(name, announcement.incarnation);
            return Ok(Some(UpstreamChange { kind, revision: state.registry.revision() }));
        }
        return Ok(None);
    }
    let upstream = Upstream::from_wire(announcement)?;
    let limits = upstream_limits(&upstream);
    if !state.shares.fits(limits) {
        return Err("the upstream has fewer slots or connections than the base shares need".into());
    }
    let (name, incarnation) = (upstream.name.clone(), upstream.incarnation);
    let kind = UpstreamChangeKind::Announced(upstream.clone());
    if matches!(state.registry.announce(upstream, now_ms), Change::Added | Change::Returned) {
        info!(upstream = %name, incarnation, "an upstream announced itself");
        state.shares.add(&name, limits, now_ms);
        return Ok(Some(UpstreamChange { kind, revision: state.registry.revision() }));
    }
    Ok(None)
}

/// Renews a lease; also returns the announcement if the upstream was not alive before.
fn renew(
    state: &mut State,
    renewal: &rpc::Renewal,
    now_ms: u64,
) -> (Change, Option<UpstreamChange>) {
    let Ok(name) = renewal.name.parse() else { return (Change::Stale, None) };
    let change = state.registry.renew(&name, renewal.incarnation, now_ms);
    if change == Change::Returned
        && let Some((upstream, _)) = state.registry.get(&name)
    {
        let limits = upstream_limits(upstream);
        let kind = UpstreamChangeKind::Announced(upstream.clone());
        state.shares.add(&name, limits, now_ms);
        let revision = state.registry.revision();
        return (change, Some(UpstreamChange { kind, revision }));
    }
    (change, None)
}

const fn upstream_limits(upstream: &Upstream) -> UpstreamLimits {
    UpstreamLimits {
        incarnation: upstream.incarnation,
        slots: upstream.slots,
        connections: upstream.connections,
    }
}
