//! Upstreams as this host knows them: leases, shares of their limits, slots in use, waiting requests.

mod slot;
mod state;
mod table;
mod waiting;

pub(crate) use slot::Slot;
pub(crate) use state::{Allowance, UpstreamInfo};
pub(crate) use table::{ParkRefusal, ShareReport, TableSettings, Upstreams};
