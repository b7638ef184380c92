//! What stopping running work costs, and whether it pays off for an urgent unit.
//!
//! Load pattern: many short urgent gangs arrive on a pool that is nearly full of large gangs. Capacity
//! becomes free all the time, but stopping runs for each of them discards a multiple of their own work,
//! and often they are late all the same.

/// Time that a stopped run costs besides its unsaved work: its capacity is idle while it stops and
/// while it is started again.
const RESTART_MS: u64 = 500;

/// Time that a run needs to resume from a checkpoint.
const RESUME_MS: u64 = 350;

/// Time from a decision to start a unit until it works: the record, the orders and the start.
const START_MARGIN_MS: u64 = 150;

/// Unsaved run time assumed for a lasting task: about the time until it runs again elsewhere.
const LASTING_UNSAVED_MS: u64 = 10_000;

/// Value of a late result in thousandths of one on time: it is of use, but little.
const LATE_VALUE_PERMILLE: u64 = 200;

/// Value of a result on time.
const ON_TIME_VALUE_PERMILLE: u64 = 1_000;

/// Largest cost of an urgent result on time, as a multiple of the unit's own work. Beyond it, one urgent
/// job costs several others their results.
const ON_TIME_COST_MAX: u64 = 8;

/// What decides the cost of stopping a run.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RunFacts {
    /// Run time whose result a stop would lose, as observed.
    pub(super) unsaved_ms: u64,
    /// Whether it resumes from a checkpoint.
    pub(super) checkpoints: bool,
    pub(super) lasting: bool,
    /// Number of earlier runs of its unit that ended without a failure or a result.
    pub(super) earlier_stops: u32,
    /// Weight of all its tasks that still run, in thousandths of a core.
    pub(super) weight_millicores: u64,
}

/// Returns the cost of stopping a whole run, in core-equivalent milliseconds.
///
/// A unit that was stopped before costs more each time, so that no unit is started and stopped in turns.
pub(super) fn stop_cost_core_ms(run: &RunFacts) -> u64 {
    let unsaved_ms = if run.lasting { LASTING_UNSAVED_MS } else { run.unsaved_ms };
    let resume_ms = if run.checkpoints { RESUME_MS } else { 0 };
    let lost_ms = unsaved_ms.saturating_add(resume_ms + RESTART_MS);
    let times = 1 + u64::from(run.earlier_stops);
    lost_ms.saturating_mul(times).saturating_mul(run.weight_millicores) / 1_000
}

/// How much later than now a unit may start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Slack {
    /// So that its job is on time; `None` if it is late already.
    pub(super) on_time_ms: Option<u64>,
    /// So that its job's result is still of use.
    pub(super) useful_ms: Option<u64>,
}

impl Slack {
    /// Slack of work that is not due at any time.
    pub(super) const UNLIMITED: Self =
        Self { on_time_ms: Some(u64::MAX), useful_ms: Some(u64::MAX) };

    /// Returns the value of the unit's result, in thousandths, if it starts after a time.
    fn value_permille(self, start_after_ms: Option<u64>) -> u64 {
        let Some(after_ms) = start_after_ms else { return 0 };
        if self.on_time_ms.is_some_and(|slack_ms| after_ms <= slack_ms) {
            ON_TIME_VALUE_PERMILLE
        } else if self.useful_ms.is_some_and(|slack_ms| after_ms <= slack_ms) {
            LATE_VALUE_PERMILLE
        } else {
            0
        }
    }

    /// Returns for how long a unit may rely on capacity that becomes free by itself.
    ///
    /// Estimates may be wrong. So what is awaited is due early enough that a stop can still help if it
    /// does not come, unless a stop would not free capacity any sooner.
    pub(super) fn wait_max_ms(self, stop_ms: u64) -> u64 {
        let on_time_ms = self.on_time_ms.unwrap_or(0);
        let in_time_ms = on_time_ms.saturating_sub(stop_ms + START_MARGIN_MS);
        in_time_ms.max(stop_ms)
    }
}

/// An urgent unit for which runs may be stopped.
#[derive(Debug, Clone, Copy)]
pub(super) struct Claim {
    pub(super) slack: Slack,
    /// Whether a guarantee covers it, so that it has to begin within a bound, whatever that costs.
    pub(super) is_guaranteed: bool,
    /// Work of the unit, in core-equivalent milliseconds.
    pub(super) work_core_ms: u64,
}

/// Returns whether stopping runs for a unit pays off.
///
/// `stop_ms` is the time until a stopped run's capacity is free, `natural_ms` the one until the unit fits
/// without a stop, if that is foreseeable.
pub(super) fn pays_off(
    claim: &Claim,
    stop_ms: u64,
    natural_ms: Option<u64>,
    cost_core_ms: u64,
) -> bool {
    if claim.is_guaranteed {
        return true;
    }
    let with_stop = claim.slack.value_permille(Some(stop_ms));
    let without = claim.slack.value_permille(natural_ms);
    if with_stop <= without {
        return false;
    }
    if with_stop == ON_TIME_VALUE_PERMILLE {
        return cost_core_ms <= claim.work_core_ms.saturating_mul(ON_TIME_COST_MAX);
    }
    cost_core_ms < claim.work_core_ms.saturating_mul(with_stop - without) / 1_000
}
