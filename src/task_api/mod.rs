//! HTTP interface of the control cluster for callers, operators and upstreams, and its settings.
//!
//! Any control host accepts jobs and forwards them to the leader. Every request may be repeated:
//! callers choose the identities of their jobs, and an older version of a configuration has no
//! effect.

mod configuration_check;
#[cfg(test)]
mod configuration_check_tests;
mod daemon;
mod documents;
mod http;
mod orders;
mod settings;
#[cfg(test)]
mod tests;

pub use configuration_check::{ConfigurationReport, check_configuration, is_configuration};
pub use daemon::RunningControl;
pub use documents::{InvalidDocument, read_configuration, read_job};
pub use orders::{HOLD_PATH, LeaveRequest, START_PATH, STOP_PATH, UPSTREAM_HEADER};
pub use settings::{InvalidSettings, TaskControlSettings};
