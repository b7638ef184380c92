//! Tests of the replicated log: single transitions, and randomised runs with faults.

mod recovery;
mod runs;
mod steps;
mod world;
