//! Replays of load patterns against the placement decisions, in virtual time.
//!
//! A replay keeps a replicated state, callers that submit jobs and retry after refusals, and hosts
//! that run tasks. It calls the decisions of `placement` as the leader does, carries them out, and
//! counts what the callers got. A scenario and a seed always give the same report.

mod callers;
mod conditions;
mod figures;
mod hosts;
mod lists;
mod load;
mod run;
mod runs;
mod scenario;
#[cfg(test)]
mod tests;

pub use crate::placement::Feeds;
pub use figures::{KindFigures, ReplayReport};
pub use run::replay;
pub use scenario::Scenario;
