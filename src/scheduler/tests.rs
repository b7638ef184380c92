//! Tests of the scheduling core, driven by events with a simulated time.

mod crashes;
mod gangs;
mod guarantees;
mod harness;
mod policy_run;
mod recovery;
mod soak;
mod starvation;
