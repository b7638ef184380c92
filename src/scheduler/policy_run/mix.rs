//! The job mixes of the two users.

use serde::Serialize;
use smallvec::SmallVec;

use crate::names::OrganisationName;

/// User whose job mix a run has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum User {
    /// Posts instalments; completion time matters more than fragmentation.
    Vazov,
    /// Runs certifications; fragmentation matters more than completion time.
    Burdekin,
}

impl std::str::FromStr for User {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "vazov" => Ok(Self::Vazov),
            "burdekin" => Ok(Self::Burdekin),
            _ => Err(format!("{text} is neither vazov nor burdekin")),
        }
    }
}

/// One kind of work in a mix.
#[derive(Debug)]
pub struct JobKind {
    /// Name of the kind, for which the scheduler learns the ratios of actual to declared values.
    pub name: &'static str,
    /// Share of the offered load.
    pub share: f64,
    /// Organisations that submit it, each as likely as it is listed.
    pub organisations: &'static [&'static str],
    /// Sizes in accelerators, each as likely as it is listed; empty for guaranteed work, which has
    /// the sizes of the organisation's guaranteed blocks.
    pub sizes: &'static [u32],
    /// Shortest and longest run time, with a log-uniform distribution.
    pub run_s: (f64, f64),
    /// Whether it is guaranteed work, which may reclaim lent accelerators of guaranteed blocks.
    pub guaranteed: bool,
    /// Probability that a job can write checkpoints.
    pub checkpoint_chance: f64,
    /// Probability that a job that cannot write checkpoints may be stopped.
    pub stop_chance: f64,
    /// Typical ratio of declared to real run time.
    pub declared_ratio: f64,
    /// Probability that an arrival is a burst of jobs.
    pub burst_chance: f64,
    /// Smallest and largest number of jobs in a burst.
    pub burst_jobs: (u32, u32),
    /// Start and end of its arrivals, as shares of the window.
    pub arrival_window: (f64, f64),
}

/// Job mix and guarantees of one user.
#[derive(Debug)]
pub struct JobMix {
    /// Service of the jobs.
    pub service: &'static str,
    /// Kinds of work; their shares of the load add up to 1.
    pub kinds: &'static [JobKind],
    /// Sizes of the guaranteed blocks of each organisation, the same in each data centre.
    pub blocks: &'static [(&'static str, &'static [u32])],
    /// Number of submitted jobs that are larger than a rack.
    pub never_runnable: u32,
}

impl JobMix {
    /// Returns the mix of a user.
    pub const fn of(user: User) -> Self {
        match user {
            User::Vazov => VAZOV,
            User::Burdekin => BURDEKIN,
        }
    }

    /// Returns the sizes of an organisation's guaranteed blocks.
    pub fn blocks_of(&self, organisation: &str) -> &'static [u32] {
        let found = self.blocks.iter().find(|(name, _)| *name == organisation);
        found.map_or(&[], |(_, sizes)| sizes)
    }

    /// Returns the guaranteed blocks in the form of a guarantee document.
    pub fn guaranteed_blocks(&self) -> Vec<(OrganisationName, SmallVec<[u32; 4]>)> {
        let blocks = self.blocks.iter();
        blocks.map(|(name, sizes)| (super::parse_name(name), SmallVec::from_slice(sizes))).collect()
    }
}

/// Every organisation; the large ones are listed twice and submit twice as many jobs.
const ALL_ORGANISATIONS: &[&str] =
    &["large-a", "large-a", "large-b", "large-b", "small-a", "small-b"];
const LARGE_ORGANISATIONS: &[&str] = &["large-a", "large-b"];
const GUARANTEE_HOLDERS: &[&str] = &["large-a", "large-b", "small-a"];

const VAZOV: JobMix = JobMix {
    service: "plan",
    blocks: &[("large-a", &[16, 8, 8]), ("large-b", &[16]), ("small-a", &[8]), ("small-b", &[])],
    never_runnable: 6,
    kinds: &[
        JobKind {
            name: "posting",
            share: 0.35,
            organisations: ALL_ORGANISATIONS,
            sizes: &[1, 1, 1, 1, 1, 2, 2, 2, 4, 4],
            run_s: (20.0, 600.0),
            guaranteed: false,
            checkpoint_chance: 0.4,
            stop_chance: 0.5,
            declared_ratio: 3.0,
            burst_chance: 0.02,
            burst_jobs: (20, 60),
            arrival_window: (0.0, 1.0),
        },
        JobKind {
            name: "counter",
            share: 0.15,
            organisations: GUARANTEE_HOLDERS,
            sizes: &[],
            run_s: (20.0, 300.0),
            guaranteed: true,
            checkpoint_chance: 0.3,
            stop_chance: 0.5,
            declared_ratio: 1.0,
            burst_chance: 0.3,
            burst_jobs: (2, 5),
            arrival_window: (0.0, 1.0),
        },
        JobKind {
            name: "overnight",
            share: 0.35,
            organisations: ALL_ORGANISATIONS,
            sizes: &[4, 8, 8, 8, 16],
            run_s: (300.0, 3_600.0),
            guaranteed: false,
            checkpoint_chance: 0.8,
            stop_chance: 0.8,
            declared_ratio: 0.4,
            burst_chance: 0.3,
            burst_jobs: (5, 15),
            arrival_window: (0.3, 0.9),
        },
        JobKind {
            name: "ledger",
            share: 0.15,
            organisations: LARGE_ORGANISATIONS,
            sizes: &[16, 24, 32, 32, 48, 64],
            run_s: (300.0, 1_800.0),
            guaranteed: false,
            checkpoint_chance: 0.8,
            stop_chance: 0.5,
            declared_ratio: 2.0,
            burst_chance: 0.2,
            burst_jobs: (2, 4),
            arrival_window: (0.0, 1.0),
        },
    ],
};

const BURDEKIN: JobMix = JobMix {
    service: "check",
    blocks: &[("large-a", &[32]), ("large-b", &[16]), ("small-a", &[8]), ("small-b", &[])],
    never_runnable: 6,
    kinds: &[
        JobKind {
            name: "check",
            share: 0.25,
            organisations: ALL_ORGANISATIONS,
            sizes: &[1, 1, 1, 1, 2, 2, 3, 4],
            run_s: (20.0, 900.0),
            guaranteed: false,
            checkpoint_chance: 0.3,
            stop_chance: 0.5,
            declared_ratio: 4.0,
            burst_chance: 0.02,
            burst_jobs: (20, 60),
            arrival_window: (0.0, 1.0),
        },
        JobKind {
            name: "certification",
            share: 0.6,
            organisations: ALL_ORGANISATIONS,
            sizes: &[16, 16, 16, 16, 24, 32, 32, 48, 64],
            run_s: (900.0, 5_400.0),
            guaranteed: false,
            checkpoint_chance: 0.8,
            stop_chance: 0.5,
            declared_ratio: 0.5,
            burst_chance: 0.2,
            burst_jobs: (2, 4),
            arrival_window: (0.0, 0.9),
        },
        JobKind {
            name: "recall",
            share: 0.15,
            organisations: GUARANTEE_HOLDERS,
            sizes: &[],
            run_s: (60.0, 900.0),
            guaranteed: true,
            checkpoint_chance: 0.5,
            stop_chance: 0.5,
            declared_ratio: 1.0,
            burst_chance: 0.1,
            burst_jobs: (2, 3),
            arrival_window: (0.0, 1.0),
        },
    ],
};
