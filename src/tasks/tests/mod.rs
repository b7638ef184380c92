//! Tests of the replicated state.

mod cancellations;
mod configurations;
mod jobs;
pub(crate) mod sample;
mod upstreams;
