//! Tests of the replicated log: single transitions, and randomised runs with faults.

mod recovery;
mod replacement;
mod restarts;
mod runs;
mod steps;
mod world;
