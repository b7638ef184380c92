//! Tests of the replicated state.

mod attained;
mod cancellations;
mod configurations;
mod departures;
mod evacuations;
mod jobs;
mod occurrences;
pub(crate) mod sample;
mod upstreams;
