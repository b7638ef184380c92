//! A small upstream for tests and the demo.
//!
//! It meets the obligations of upstreams: it refuses an attempt before its start when all slots are
//! taken, and an attempt that it has reported as not started never starts. A staged gang member
//! does no work, and a running one ends with its lease.

mod announcer;
mod attempts;
mod gangs;
mod server;
pub mod tasks;

#[cfg(test)]
pub(crate) use gangs::{FreeCapacity, Gangs};
pub use gangs::{MemberRun, RunEnd};
pub use server::{RunningStandin, StandinSettings, start};
