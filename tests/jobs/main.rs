//! Guarantees of gang jobs under faults, with separate processes.

#[path = "../support/mod.rs"]
mod support;

mod borrowers;
mod cancel;
mod control_kills;
mod site;
mod submit;
mod upstreams;
