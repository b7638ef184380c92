//! Tests of sessions with upstreams and of the detection of hanging runs.

mod hanging;
mod sessions;
