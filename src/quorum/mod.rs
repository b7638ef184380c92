//! A replicated log over the control hosts: elections, replication, membership and snapshots.
//!
//! [`core::Core`] does no I/O: its inputs are messages, the time and the progress of the disk, its
//! output is what to persist, what to send and what is committed. `storage` encodes its state for
//! the journal. Violated safety properties panic in release builds too.

pub(crate) mod core;
mod election;
mod log;
mod membership;
mod message;
mod reconfiguration;
mod replication;
pub(crate) mod storage;
#[cfg(test)]
mod tests;

pub(crate) use core::{Core, Limits, Output, Role};
pub(crate) use log::{Log, Snapshot};
pub(crate) use membership::{Member, MemberId, Membership};
pub(crate) use message::{Batch, Entry, Message, Payload};
