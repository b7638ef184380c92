//! A small upstream for tests and the demo.
//!
//! It keeps the promises that upstreams make: it refuses before start when its slots are taken, and
//! an attempt that it has reported as not started never starts.

mod announcer;
mod attempts;
mod server;

pub use server::{RunningStandin, StandinSettings, start};
