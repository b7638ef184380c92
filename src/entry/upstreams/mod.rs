//! Upstreams as this host knows them: leases, shares of their limits, slots in use, waiting requests.

mod shares;
mod slot;
mod state;
mod table;
#[cfg(test)]
mod tests;
mod waiting;

pub(crate) use shares::ShareReport;
pub(crate) use slot::Slot;
pub(crate) use state::{Allowance, UpstreamInfo};
pub(crate) use table::{ParkRefusal, TableSettings, Upstreams};
