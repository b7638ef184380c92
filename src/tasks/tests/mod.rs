//! Tests of the replicated state.

mod cancellations;
mod configurations;
mod evacuations;
mod jobs;
mod occurrences;
pub(crate) mod sample;
mod upstreams;
