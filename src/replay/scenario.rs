//! Load patterns, and the faults that come with them.

use serde::Serialize;

use super::load::KINDS;

/// Time during which callers submit new jobs.
pub(super) const SUBMISSION_MS: u64 = 40_000;

/// Start of the disturbed part of a scenario.
const PEAK_FROM_MS: u64 = 8_000;

/// End of a short peak.
const PEAK_TO_MS: u64 = 18_000;

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
    /// No decisions are made for some seconds; all callers wait and the backlog is full after it.
    Recovery,
    /// Hosts of speeds 0.8, 1.0 and 1.25; a fifth of them becomes three times slower for ten seconds.
    Speeds,
    /// Estimates that are off by up to 0.9 of the run time for two kinds, and a few very long units.
    WrongEstimates,
    /// All work has one of two images, which slow each other down.
    NoisyPair,
    /// Two images among many slow each other down.
    NoisyMany,
    /// Differing speeds, wrong estimates and images that slow each other down, under overload.
    HardLoad,
}

/// What is disturbed at a point in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Disturbance {
    /// Share of the hosts that is lost, in percent.
    pub(super) hosts_lost_percent: usize,
    /// Whether control makes no decisions and answers no calls.
    pub(super) control_down: bool,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 15] = [
        Self::Calm,
        Self::UrgentBurst,
        Self::AllKindsBurst,
        Self::LargeGangs,
        Self::CapacityLost,
        Self::Returning,
        Self::LongOverload,
        Self::HeavyOverload,
        Self::Ramp,
        Self::Recovery,
        Self::Speeds,
        Self::WrongEstimates,
        Self::NoisyPair,
        Self::NoisyMany,
        Self::HardLoad,
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
            Self::Recovery => "recovery",
            Self::Speeds => "speeds",
            Self::WrongEstimates => "wrong-estimates",
            Self::NoisyPair => "noisy-pair",
            Self::NoisyMany => "noisy-many",
            Self::HardLoad => "hard-load",
        }
    }

    /// Returns the submission rates of the kinds at a time, as multiples of their normal rates.
    pub(super) fn rates(self, at_ms: u64) -> [f64; KINDS] {
        let in_peak = (PEAK_FROM_MS..PEAK_TO_MS).contains(&at_ms);
        match self {
            Self::LongOverload | Self::HardLoad => [1.6; KINDS],
            Self::WrongEstimates => [2.5; KINDS],
            Self::HeavyOverload => [4.0; KINDS],
            Self::Ramp => [0.5 + 2.5 * at_ms as f64 / SUBMISSION_MS as f64; KINDS],
            Self::UrgentBurst if in_peak => [4.0, 1.0, 1.0],
            Self::AllKindsBurst | Self::CapacityLost if in_peak => [4.0; KINDS],
            Self::LargeGangs if in_peak => [1.0, 4.0, 1.0],
            _ => [1.0; KINDS],
        }
    }

    pub(super) fn disturbance(self, at_ms: u64) -> Disturbance {
        let in_peak = (PEAK_FROM_MS..PEAK_TO_MS).contains(&at_ms);
        let calm = Disturbance::default();
        match self {
            Self::CapacityLost if in_peak => Disturbance { hosts_lost_percent: 33, ..calm },
            Self::Returning if in_peak => Disturbance { hosts_lost_percent: 100, ..calm },
            Self::Recovery if in_peak => Disturbance { control_down: true, ..calm },
            _ => calm,
        }
    }
}

impl std::str::FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|scenario| scenario.name() == text);
        found.ok_or_else(|| format!("{text} is no scenario"))
    }
}
