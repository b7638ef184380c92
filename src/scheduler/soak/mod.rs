//! Long randomised runs of the core against simulated upstreams with every kind of fault.
//!
//! The simulation knows what each member really did, so that it checks the core's claims against
//! the truth and not only against the core's own state.

mod faults;
mod network;
mod report;
mod truth;
pub(in crate::scheduler) mod worker;
mod world;

use std::panic::{AssertUnwindSafe, catch_unwind};

pub use report::{Broken, SoakReport};

use world::World;

/// Runs the core for a number of steps from a seed; the same seed gives the same run.
#[must_use]
pub fn soak(seed: u64, steps: u64) -> SoakReport {
    let mut world = World::new(seed);
    let result = catch_unwind(AssertUnwindSafe(|| world.run(steps)));
    let broken = match result {
        Ok(Ok(())) => None,
        Ok(Err(what)) => Some(what),
        Err(panic) => Some(panic_text(panic.as_ref())),
    };
    world.into_report(seed, broken)
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    let text = text.or_else(|| panic.downcast_ref::<&str>().map(ToString::to_string));
    text.unwrap_or_else(|| "the core panicked without a message".to_owned())
}
