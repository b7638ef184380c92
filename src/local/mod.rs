//! A whole installation on loopback in one process, for the demo, tests and measurements.

mod addresses;
mod client;
mod cluster;
mod tasks;

pub use addresses::AddressBlock;
pub use client::{Client, Reply};
pub use cluster::{LocalCluster, LocalDataCentre, LocalSettings, SERVICE, TEAM_SECRET};
pub use tasks::{EXAMPLE_API_KEY, LocalTasks};
