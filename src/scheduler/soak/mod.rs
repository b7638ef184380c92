//! Long randomised runs of the core against simulated upstreams with every kind of fault.
//!
//! The simulation records what each member actually did, so that it checks the core's answers
//! against that record and not only against the core's own state.

mod control;
mod faults;
mod network;
mod report;
mod truth;
pub(in crate::scheduler) mod worker;
mod world;

use std::panic::{AssertUnwindSafe, catch_unwind};

pub use report::{InvariantViolation, SoakReport};

use world::Simulation;

/// Runs the core for a number of steps from a seed; the same seed gives the same run.
#[must_use]
pub fn soak(seed: u64, steps: u64) -> SoakReport {
    let mut simulation = Simulation::new(seed);
    let result = catch_unwind(AssertUnwindSafe(|| simulation.run(steps)));
    let violation = match result {
        Ok(Ok(())) => None,
        Ok(Err(message)) => Some(message),
        Err(panic) => Some(panic_message(panic.as_ref())),
    };
    simulation.into_report(seed, violation)
}

fn panic_message(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    let text = text.or_else(|| panic.downcast_ref::<&str>().map(ToString::to_string));
    text.unwrap_or_else(|| "the core panicked without a message".to_owned())
}
