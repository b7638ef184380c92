//! Tests of the scheduling core, driven by events with a simulated time.

mod gangs;
mod guarantees;
mod harness;
mod recovery;
mod soak;
mod starvation;
