//! The entry host, which accepts requests from callers and dispatches them to upstreams.

mod admission;
mod api;
mod attempt;
pub(crate) mod control_client;
mod daemon;
mod dispatch;
mod documents;
mod flight;
mod host;
mod idempotent;
mod linger;
mod metrics;
mod once;
mod peers;
pub(crate) mod pool;
mod request;
mod retry;
mod sync;
mod upstreams;

pub use daemon::{DrainHandle, RunningEntry, start};
pub(crate) use host::EntryHost;
