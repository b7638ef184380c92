//! Tests of the replicated state.

mod configurations;
mod jobs;
pub(crate) mod sample;
mod upstreams;
