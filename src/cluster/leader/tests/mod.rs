//! Tests of what the leader believes of upstreams.

mod hanging;
mod sessions;
