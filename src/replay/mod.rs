//! Replays of load patterns against the placement decisions, in virtual time.
//!
//! A replay keeps a replicated state, callers that submit jobs and retry after refusals, and hosts
//! that run tasks. It calls the decisions of `placement` as the leader does, carries them out, and
//! counts what the callers got. A scenario and a seed always give the same report.

mod by_organisation;
mod callers;
mod figures;
mod hosts;
mod load;
mod pressure;
mod run;
mod scenario;
mod stops;
#[cfg(test)]
mod tests;

pub use by_organisation::OrganisationFigures;
pub use figures::{KindFigures, ReplayReport};
pub use run::replay;
pub use scenario::Scenario;
pub use stops::Discarded;
