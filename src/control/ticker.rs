//! Periodic work: expiry of leases, document guarantees, snapshots and pruning.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};
use tracing::{info, warn};

use crate::http::wait_for_stop;

use super::core::Core;
use super::event::Event;
use super::job_feed::{self, UpstreamChange, UpstreamChangeKind};
use super::jobs::JobsHandle;

/// Interval of checks of the leases.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Ticks between two prunings; each scans all records, so it runs hourly.
const PRUNE_TICKS: u64 = 36_000;

/// Runs until `stop` becomes true.
pub(super) async fn run(core: Arc<Core>, jobs: JobsHandle, mut stop: watch::Receiver<bool>) {
    let mut due = interval(TICK_INTERVAL);
    due.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut ticks = 0_u64;
    let mut applied_index = 0;
    loop {
        tokio::select! {
            () = wait_for_stop(&mut stop) => return,
            _ = due.tick() => {}
        }
        job_feed::forward(&jobs, expire_leases(&core)).await;
        applied_index = job_feed::apply_new_documents(&core, &jobs, applied_index).await;
        core.snapshot_if_due();
        if ticks.is_multiple_of(PRUNE_TICKS) {
            prune(&core).await;
        }
        ticks += 1;
    }
}

fn expire_leases(core: &Core) -> Vec<UpstreamChange> {
    let now_ms = core.now_ms();
    let mut state = core.lock();
    let before = (state.shares.total_revision(), state.registry.revision());
    let mut upstream_changes = Vec::new();
    let lost = state.registry.expire(now_ms);
    let revision = state.registry.revision();
    for name in lost {
        info!(upstream = %name, "an upstream's lease ended");
        state.shares.suspend(&name, now_ms);
        upstream_changes.push(UpstreamChange { kind: UpstreamChangeKind::Lost(name), revision });
    }
    state.shares.tick(now_ms);
    let changed = before != (state.shares.total_revision(), state.registry.revision());
    drop(state);
    if changed {
        core.notify_streams();
    }
    upstream_changes
}

async fn prune(core: &Core) {
    let pruned = core.decide(|state, now_ms| ((), state.records.prune(now_ms).map(Event::Record)));
    if let Err(status) = pruned.await {
        warn!(error = status.message(), "could not prune records");
    }
}
