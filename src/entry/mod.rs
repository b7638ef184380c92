//! The entry host, which takes requests from callers and dispatches them to upstreams.
