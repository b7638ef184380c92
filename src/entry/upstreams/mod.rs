//! State of upstreams at this host: leases, shares of limits, slots in use and parked requests.

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
