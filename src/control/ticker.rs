//! Work that time makes due: ended leases, pruning and snapshots.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};
use tracing::{info, warn};

use crate::http::wait_for_stop;

use super::core::Core;
use super::event::Event;
use super::job_feed::{self, Notice};
use super::jobs::JobsHandle;

/// Pause between two looks at the leases.
const TICK: Duration = Duration::from_millis(100);

/// Ticks between two looks for records to prune; a look reads all records, so it is done hourly.
const PRUNE_TICKS: u64 = 36_000;

/// Runs until `stop` becomes true.
pub(super) async fn run(core: Arc<Core>, jobs: JobsHandle, mut stop: watch::Receiver<bool>) {
    let mut due = interval(TICK);
    due.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut ticks = 0_u64;
    let mut told_index = 0;
    loop {
        tokio::select! {
            () = wait_for_stop(&mut stop) => return,
            _ = due.tick() => {}
        }
        job_feed::tell(&jobs, end_leases(&core)).await;
        told_index = job_feed::tell_documents(&core, &jobs, told_index).await;
        core.snapshot_if_due();
        if ticks.is_multiple_of(PRUNE_TICKS) {
            prune(&core).await;
        }
        ticks += 1;
    }
}

fn end_leases(core: &Core) -> Vec<Notice> {
    let now_ms = core.now_ms();
    let mut state = core.lock();
    let before = (state.shares.total_revision(), state.registry.revision());
    let mut notices = Vec::new();
    for name in state.registry.expire(now_ms) {
        info!(upstream = %name, "an upstream's lease ended");
        state.shares.suspend(&name, now_ms);
        notices.push(Notice::Lost(name));
    }
    state.shares.tick(now_ms);
    let changed = before != (state.shares.total_revision(), state.registry.revision());
    drop(state);
    if changed {
        core.notify();
    }
    notices
}

async fn prune(core: &Core) {
    let pruned = core.decide(|state, now_ms| ((), state.records.prune(now_ms).map(Event::Record)));
    if let Err(status) = pruned.await {
        warn!(error = status.message(), "could not prune records");
    }
}
