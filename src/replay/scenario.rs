//! Load patterns, and the faults that come with them.

use serde::Serialize;

use super::load::KINDS;
use super::pressure;

/// Time during which callers submit new jobs.
pub(super) const SUBMISSION_MS: u64 = 40_000;

/// Start of the disturbed part of a scenario.
const PEAK_FROM_MS: u64 = 8_000;

/// End of a short peak.
const PEAK_TO_MS: u64 = 18_000;

/// End of the time in which hosts are lost one after the other, and the steps of the loss.
const SHRUNK_TO_MS: u64 = 26_000;
const SHRINK_STEP_MS: u64 = 3_000;
const SHRINK_STEP_PERCENT: u64 = 8;
const SHRUNK_MAX_PERCENT: u64 = 32;

/// End of an outage of control.
const BACK_MS: u64 = 13_000;

/// When all hosts take work again after it.
const ALL_OPEN_MS: u64 = 15_000;

/// A pattern of load and faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// The normal rate without faults.
    Calm,
    /// Four times the rate of the kind of highest priority for ten seconds.
    UrgentBurst,
    /// Four times the rate of all kinds for ten seconds.
    AllKindsBurst,
    /// Four times the rate of the large gangs for ten seconds.
    LargeGangs,
    /// The burst of all kinds, in which a third of the hosts is lost for a while.
    CapacityLost,
    /// No host takes work for some seconds, so that refused callers come back together.
    Returning,
    /// A slight overload of all kinds all the time.
    LongOverload,
    /// Four times the rate of all kinds all the time.
    HeavyOverload,
    /// A rate of all kinds that rises from half to three times the normal one.
    Ramp,
    /// A slight overload, in which one of six data centres is evacuated for ten seconds.
    Evacuation,
    /// No decisions are made for some seconds; all callers wait and the backlog is full after it.
    Recovery,
    /// Many short urgent gangs on a well filled pool, with a burst of all kinds for ten seconds.
    ShortGangs,
    /// Three times the rate of the large gangs while more and more hosts are lost.
    ShrinkingPool,
    /// Control is down for some seconds; then callers return together with new ones, while hosts take
    /// work again one after the other.
    ReturningCrowd,
    /// One organisation sends ten times its share for 24 seconds.
    OneOrganisation,
    /// All organisations send 2.5 times their load for twelve seconds, and callers return together.
    AllPress,
    /// One organisation floods the lowest priority for 24 seconds beside urgent work.
    BatchFlood,
}

/// What is disturbed at a point in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Disturbance {
    /// Share of the hosts that is lost, in percent.
    pub(super) hosts_lost_percent: usize,
    /// Whether control makes no decisions and answers no calls.
    pub(super) control_down: bool,
    /// Share of the hosts that take no work yet, in percent.
    pub(super) hosts_closed_percent: usize,
    /// Whether the data centre of the first hosts is evacuated.
    pub(super) evacuated: bool,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 17] = [
        Self::Calm,
        Self::UrgentBurst,
        Self::AllKindsBurst,
        Self::LargeGangs,
        Self::CapacityLost,
        Self::Returning,
        Self::LongOverload,
        Self::HeavyOverload,
        Self::Ramp,
        Self::Evacuation,
        Self::Recovery,
        Self::ShortGangs,
        Self::ShrinkingPool,
        Self::ReturningCrowd,
        Self::OneOrganisation,
        Self::AllPress,
        Self::BatchFlood,
    ];

    /// Returns the name of the scenario.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::UrgentBurst => "urgent-burst",
            Self::AllKindsBurst => "all-kinds-burst",
            Self::LargeGangs => "large-gangs",
            Self::CapacityLost => "capacity-lost",
            Self::Returning => "returning",
            Self::LongOverload => "long-overload",
            Self::HeavyOverload => "heavy-overload",
            Self::Ramp => "ramp",
            Self::Evacuation => "evacuation",
            Self::Recovery => "recovery",
            Self::ShortGangs => "short-gangs",
            Self::ShrinkingPool => "shrinking-pool",
            Self::ReturningCrowd => "returning-crowd",
            Self::OneOrganisation => "one-organisation",
            Self::AllPress => "all-press",
            Self::BatchFlood => "batch-flood",
        }
    }

    /// Returns the submission rates of the kinds at a time, as multiples of their normal rates.
    pub(super) fn rates(self, at_ms: u64) -> [f64; KINDS] {
        let in_peak = (PEAK_FROM_MS..PEAK_TO_MS).contains(&at_ms);
        match self {
            Self::LongOverload | Self::Evacuation => [1.6; KINDS],
            Self::HeavyOverload => [4.0; KINDS],
            Self::Ramp => [0.5 + 2.5 * at_ms as f64 / SUBMISSION_MS as f64; KINDS],
            Self::UrgentBurst if in_peak => [4.0, 1.0, 1.0],
            Self::AllKindsBurst | Self::CapacityLost if in_peak => [4.0; KINDS],
            Self::LargeGangs if in_peak => [1.0, 4.0, 1.0],
            Self::ShortGangs if in_peak => [4.0, 2.0, 2.0],
            Self::ShortGangs => [1.5; KINDS],
            Self::ShrinkingPool if (PEAK_FROM_MS..SHRUNK_TO_MS).contains(&at_ms) => [1.0, 3.0, 1.0],
            Self::ReturningCrowd if (BACK_MS..PEAK_TO_MS).contains(&at_ms) => [2.5; KINDS],
            _ => pressure::rates(self, at_ms),
        }
    }

    pub(super) fn disturbance(self, at_ms: u64) -> Disturbance {
        let in_peak = (PEAK_FROM_MS..PEAK_TO_MS).contains(&at_ms);
        let calm = Disturbance::default();
        match self {
            Self::CapacityLost if in_peak => Disturbance { hosts_lost_percent: 33, ..calm },
            Self::Returning if in_peak => Disturbance { hosts_lost_percent: 100, ..calm },
            Self::Evacuation if in_peak => Disturbance { evacuated: true, ..calm },
            Self::Recovery if in_peak => Disturbance { control_down: true, ..calm },
            Self::ShrinkingPool if (PEAK_FROM_MS..SHRUNK_TO_MS).contains(&at_ms) => {
                let share = (at_ms - PEAK_FROM_MS) / SHRINK_STEP_MS * SHRINK_STEP_PERCENT;
                let percent = share.min(SHRUNK_MAX_PERCENT);
                Disturbance { hosts_lost_percent: usize::try_from(percent).unwrap_or(0), ..calm }
            }
            Self::ReturningCrowd if (PEAK_FROM_MS..BACK_MS).contains(&at_ms) => {
                Disturbance { control_down: true, ..calm }
            }
            Self::ReturningCrowd if (BACK_MS..ALL_OPEN_MS).contains(&at_ms) => {
                let percent = (ALL_OPEN_MS - at_ms) * 100 / (ALL_OPEN_MS - BACK_MS);
                Disturbance { hosts_closed_percent: usize::try_from(percent).unwrap_or(0), ..calm }
            }
            _ => Disturbance { control_down: pressure::is_unanswered(self, at_ms), ..calm },
        }
    }

    /// Returns whether the jobs are those of a site with many short urgent gangs.
    pub(super) const fn has_short_gangs(self) -> bool {
        matches!(self, Self::ShortGangs)
    }
}

impl std::str::FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|scenario| scenario.name() == text);
        found.ok_or_else(|| format!("{text} is no scenario"))
    }
}
