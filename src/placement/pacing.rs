//! Pace of tasks that use idle processors beside tasks that serve users.
//!
//! Filling tasks disturb serving ones by amounts that change within seconds. They are slowed down
//! at once when a tail response time nears its bound, and sped up slowly.

/// Share of the response-time bound from which filling tasks are slowed down.
const SLOW_DOWN_FROM_PERCENT: u64 = 80;

/// Share of the response-time bound below which filling tasks are sped up.
const SPEED_UP_BELOW_PERCENT: u64 = 60;

/// Pace below which a filling task is halted.
const PACE_MIN_PERCENT: u32 = 12;

/// Increment by which a filling task is sped up.
const SPEED_UP_STEP_PERCENT: u32 = 10;

/// Returns the next pace of the filling tasks on a host, in percent of full speed.
///
/// `tails` holds the tail response time and its bound for each serving task there, in milliseconds.
/// A pace of 0 halts the filling tasks; without serving tasks they run at full speed.
pub(crate) fn next_pace(pace_percent: u32, tails: &[(u64, u64)]) -> u32 {
    let percent_of_bound =
        |(tail_ms, bound_ms): &(u64, u64)| (tail_ms * 100).checked_div(*bound_ms);
    let Some(worst) = tails.iter().filter_map(percent_of_bound).max() else { return 100 };
    if worst >= 100 {
        0
    } else if worst >= SLOW_DOWN_FROM_PERCENT {
        let half = pace_percent / 2;
        if half < PACE_MIN_PERCENT { 0 } else { half }
    } else if worst < SPEED_UP_BELOW_PERCENT {
        (pace_percent + SPEED_UP_STEP_PERCENT).min(100)
    } else {
        pace_percent
    }
}
