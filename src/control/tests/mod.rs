//! Tests of the control process as a whole, over its RPCs.

mod work;

mod documents;
mod faults;
mod leases;
mod registry;
mod requests;
mod watch;
