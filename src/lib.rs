//! Cactuslatch schedules multi-accelerator jobs and short requests under organisation guarantees.
//!
//! The daemons and the command line are thin shells over this library. `docs/design.md` describes
//! the modules, who owns which state, and what happens when each part fails.

pub mod config;
pub mod control;
mod entry;
mod error;
#[expect(dead_code, reason = "used by the daemons")]
mod http;
mod journal;
mod names;
mod outcome;
mod rpc;
mod scheduler;
mod standin;

pub use error::StepError;
pub use names::{
    DataCentreName, HostName, InvalidName, JobName, KEY_ID_LIMIT_BYTES, NAME_LIMIT_BYTES,
    OrganisationName, RackName, RequestKey, ServiceName, UpstreamName,
};
pub use outcome::{NotRun, NotRunCause, Outcome};
