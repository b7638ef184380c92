//! How load returns to a data centre whose evacuation is finished.
//!
//! Load pattern: a sixth of the pool becomes free in one moment while much work waits. One decision would
//! send all of it there at once, to upstreams that may be slow at first.

use crate::placement::View;
use crate::tasks::Evacuation;

/// Longest time in which the load returns. A guaranteed job may wait for about as long, and jobs that may
/// preempt do not wait at all.
const RAMP_MAX_MS: u64 = 4_000;

/// The load returns in this part of the time for which the evacuation lasted: after a short one most of what
/// ran there still does.
const RAMP_PARTS: u64 = 2;

/// One of this many upstreams takes work at once.
const FIRST_PART: usize = 4;

/// Returns for each host whether work that may not preempt is still kept from it; empty if none is held back.
pub(in crate::placement) fn held_back(view: &View<'_>) -> Vec<bool> {
    let mut held_back = Vec::new();
    for (name, evacuation) in view.state.evacuations.finished() {
        let Some(ramp) = Ramp::of(evacuation, view.now_ms) else { continue };
        let hosts = view.hosts.iter().enumerate().filter(|(_, host)| host.data_centre == *name);
        let hosts: Vec<usize> = hosts.map(|(number, _)| number).collect();
        held_back.resize(view.hosts.len(), false);
        for &host in &hosts[ramp.open(hosts.len())..] {
            held_back[host] = true;
        }
    }
    held_back
}

/// The part of the time in which the load returns that has passed.
struct Ramp {
    passed_ms: u64,
    all_ms: u64,
}

impl Ramp {
    /// Returns `None` once all hosts take work.
    fn of(evacuation: &Evacuation, now_ms: u64) -> Option<Self> {
        let finished_ms = evacuation.finished_ms?;
        let lasted_ms = finished_ms.saturating_sub(evacuation.began_ms);
        let all_ms = (lasted_ms / RAMP_PARTS).min(RAMP_MAX_MS);
        let passed_ms = now_ms.saturating_sub(finished_ms);
        (passed_ms < all_ms).then_some(Self { passed_ms, all_ms })
    }

    /// Returns how many of the hosts take work.
    fn open(&self, hosts: usize) -> usize {
        let first = hosts.div_ceil(FIRST_PART);
        let later = (hosts - first) as u64 * self.passed_ms / self.all_ms;
        first + usize::try_from(later).unwrap_or(usize::MAX).min(hosts - first)
    }
}
