//! Tests of the replicated state.
