//! The job mixes of the two users.

use serde::Serialize;
use smallvec::SmallVec;

use crate::names::OrganisationName;

/// Whose jobs a run has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum User {
    /// Instalment postings; completion time matters more.
    Vazov,
    /// Certification runs; fragmentation matters more.
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

/// One kind of work.
#[derive(Debug)]
pub struct Kind {
    /// Name of the kind, by which the scheduler learns.
    pub name: &'static str,
    /// Share of the load.
    pub share: f64,
    /// Organisations that submit it.
    pub organisations: &'static [&'static str],
    /// Sizes, each as likely as it occurs here; guaranteed work has the sizes of its blocks.
    pub sizes: &'static [u32],
    /// Shortest and longest run time, with an even distribution of the logarithm.
    pub run_s: (f64, f64),
    /// Whether it may reclaim guaranteed blocks.
    pub guaranteed: bool,
    /// Share that can write checkpoints.
    pub checkpoint_chance: f64,
    /// Share of the rest that may be stopped.
    pub stop_chance: f64,
    /// Habitual ratio of declared to real run time.
    pub declared_ratio: f64,
    /// Share of arrivals that are bursts.
    pub burst_chance: f64,
    /// Fewest and most jobs of a burst.
    pub burst: (u32, u32),
    /// Part of the window in which it arrives.
    pub window: (f64, f64),
}

/// Jobs and guarantees of one user.
#[derive(Debug)]
pub struct Mix {
    /// Service of the jobs.
    pub service: &'static str,
    /// Kinds of work; their shares add up to 1.
    pub kinds: &'static [Kind],
    /// Guaranteed blocks in each data centre.
    pub blocks: &'static [(&'static str, &'static [u32])],
    /// Jobs larger than a rack.
    pub never_runnable: u32,
}

impl Mix {
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

    /// Returns the guaranteed blocks as a document states them.
    pub fn guaranteed_blocks(&self) -> Vec<(OrganisationName, SmallVec<[u32; 4]>)> {
        let blocks = self.blocks.iter();
        blocks.map(|(name, sizes)| (super::name(name), SmallVec::from_slice(sizes))).collect()
    }
}

const ALL: &[&str] = &["large-a", "large-a", "large-b", "large-b", "small-a", "small-b"];
const LARGE: &[&str] = &["large-a", "large-b"];
const HOLDERS: &[&str] = &["large-a", "large-b", "small-a"];

const VAZOV: Mix = Mix {
    service: "plan",
    blocks: &[("large-a", &[16, 8, 8]), ("large-b", &[16]), ("small-a", &[8]), ("small-b", &[])],
    never_runnable: 6,
    kinds: &[
        Kind {
            name: "posting",
            share: 0.35,
            organisations: ALL,
            sizes: &[1, 1, 1, 1, 1, 2, 2, 2, 4, 4],
            run_s: (20.0, 600.0),
            guaranteed: false,
            checkpoint_chance: 0.4,
            stop_chance: 0.5,
            declared_ratio: 3.0,
            burst_chance: 0.02,
            burst: (20, 60),
            window: (0.0, 1.0),
        },
        Kind {
            name: "counter",
            share: 0.15,
            organisations: HOLDERS,
            sizes: &[],
            run_s: (20.0, 300.0),
            guaranteed: true,
            checkpoint_chance: 0.3,
            stop_chance: 0.5,
            declared_ratio: 1.0,
            burst_chance: 0.3,
            burst: (2, 5),
            window: (0.0, 1.0),
        },
        Kind {
            name: "overnight",
            share: 0.35,
            organisations: ALL,
            sizes: &[4, 8, 8, 8, 16],
            run_s: (300.0, 3_600.0),
            guaranteed: false,
            checkpoint_chance: 0.8,
            stop_chance: 0.8,
            declared_ratio: 0.4,
            burst_chance: 0.3,
            burst: (5, 15),
            window: (0.3, 0.9),
        },
        Kind {
            name: "ledger",
            share: 0.15,
            organisations: LARGE,
            sizes: &[16, 24, 32, 32, 48, 64],
            run_s: (300.0, 1_800.0),
            guaranteed: false,
            checkpoint_chance: 0.8,
            stop_chance: 0.5,
            declared_ratio: 2.0,
            burst_chance: 0.2,
            burst: (2, 4),
            window: (0.0, 1.0),
        },
    ],
};

const BURDEKIN: Mix = Mix {
    service: "check",
    blocks: &[("large-a", &[32]), ("large-b", &[16]), ("small-a", &[8]), ("small-b", &[])],
    never_runnable: 6,
    kinds: &[
        Kind {
            name: "check",
            share: 0.25,
            organisations: ALL,
            sizes: &[1, 1, 1, 1, 2, 2, 3, 4],
            run_s: (20.0, 900.0),
            guaranteed: false,
            checkpoint_chance: 0.3,
            stop_chance: 0.5,
            declared_ratio: 4.0,
            burst_chance: 0.02,
            burst: (20, 60),
            window: (0.0, 1.0),
        },
        Kind {
            name: "certification",
            share: 0.6,
            organisations: ALL,
            sizes: &[16, 16, 16, 16, 24, 32, 32, 48, 64],
            run_s: (900.0, 5_400.0),
            guaranteed: false,
            checkpoint_chance: 0.8,
            stop_chance: 0.5,
            declared_ratio: 0.5,
            burst_chance: 0.2,
            burst: (2, 4),
            window: (0.0, 0.9),
        },
        Kind {
            name: "recall",
            share: 0.15,
            organisations: HOLDERS,
            sizes: &[],
            run_s: (60.0, 900.0),
            guaranteed: true,
            checkpoint_chance: 0.5,
            stop_chance: 0.5,
            declared_ratio: 1.0,
            burst_chance: 0.1,
            burst: (2, 3),
            window: (0.0, 1.0),
        },
    ],
};
