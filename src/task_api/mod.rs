//! The project's own interface to the replicated control: settings, callers, operators, upstreams.
//!
//! Jobs of steps go to any control host, which passes them to the leader. Every call may be sent
//! again: a job's identity is its caller's, and a configuration's version decides.

mod daemon;
mod documents;
mod http;
mod orders;
mod settings;
#[cfg(test)]
mod tests;

pub use daemon::RunningControl;
pub use documents::{InvalidDocument, read_configuration, read_job};
pub use orders::{HOLD_PATH, LeaveRequest, START_PATH, STOP_PATH, UPSTREAM_HEADER};
pub use settings::{InvalidSettings, TaskControlSettings};
