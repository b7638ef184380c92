//! Tests of the scheduling core, driven by events with a simulated time.

mod gangs;
mod harness;
mod recovery;
