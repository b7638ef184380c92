//! Guarantees of the request path under faults, one module for each guarantee.

#[path = "../support/mod.rs"]
mod support;

mod answers;
mod callers;
mod deadlines;
mod kills;
mod leave;
mod not_run;
mod once;
mod paced_clock;
mod restart;
mod retries;
mod shares;
mod shutdown;
mod silence;
mod successors;
mod waiting;
