//! Which runs leave a draining upstream before it does.
//!
//! Load pattern: upstreams that are taken away at short notice while lasting tasks, or long ones that can
//! resume, run there. What still runs when the upstream goes can't start elsewhere before its lease is
//! over, since nobody hears of its end. So it is stopped while the upstream can still say so.

use crate::tasks::StepSpec;

/// Returns whether a run is to be stopped, so that it goes on elsewhere, `remaining_ms` before its upstream
/// may leave. Stopping it loses nothing, and it would not end in time.
pub(crate) fn must_move(step: &StepSpec, left_ms: Option<u64>, remaining_ms: u64) -> bool {
    step.lasting || step.checkpoints && left_ms.is_none_or(|left_ms| left_ms > remaining_ms)
}
