//! Cactuslatch schedules multi-accelerator jobs and short requests under organisation guarantees.
//!
//! The daemons and the command line are thin wrappers around this library. `docs/design.md` describes
//! the modules, which of them owns which state, and how failures of each part are handled.

mod class;
pub mod cluster;
pub mod config;
pub mod control;
mod crashes;
pub mod daemon_util;
pub mod demo;
pub mod entry;
mod error;
pub mod http;
mod journal;
mod key_date;
pub mod local;
pub mod logging;
mod names;
mod outcome;
mod placement;
mod quorum;
pub mod replay;
mod rpc;
pub mod scheduler;
pub mod standin;
pub mod task_api;
pub mod tasks;
mod upstream_http;

pub use class::{Class, InvalidClass};
pub use error::StepError;
pub use key_date::today_utc;
pub use names::{
    DataCentreName, HostName, InvalidName, JobName, KEY_ID_LIMIT_BYTES, NAME_LIMIT_BYTES,
    OrganisationName, RackName, RequestKey, ServiceName, ShapeName, UpstreamName,
};
pub use outcome::{NotRun, NotRunCause, Outcome};
