//! A reserved slot of an upstream.

use std::net::SocketAddr;

use super::Upstreams;
use crate::entry::pool::{self, Connection, PoolTimes};
use crate::error::StepError;
use crate::names::UpstreamName;

/// One slot of one incarnation of an upstream, held until it is dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(super) upstreams: Upstreams,
    pub(super) name: UpstreamName,
    pub(super) incarnation: u64,
    pub(super) address: SocketAddr,
    /// False once the table has taken the slot back.
    pub(super) held: bool,
}

impl Slot {
    /// Drops the slot without releasing it, because the table has already done so.
    pub(super) fn disarm(mut self) {
        self.held = false;
    }

    pub(crate) fn upstream(&self) -> &UpstreamName {
        &self.name
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the slot's incarnation still exists, so that fence calls can be made.
    pub(crate) fn is_current(&self) -> bool {
        self.upstreams.is_current(&self.name, self.incarnation)
    }

    /// Returns whether work may still be sent under this slot.
    pub(super) fn may_send(&self) -> bool {
        self.upstreams.may_send(&self.name, self.incarnation)
    }

    pub(crate) fn pool_times(&self) -> &PoolTimes {
        self.upstreams.pool_times()
    }

    /// Takes an idle connection or opens one within this host's share of connections.
    ///
    /// # Errors
    /// Returns an error if no connection may be opened or opening fails; nothing has been sent.
    pub(crate) async fn connection(&self) -> Result<Connection, StepError> {
        if !self.may_send() {
            let reason = "the upstream has left or restarted, or this host's share has ended";
            return Err(StepError::new("send work", &self.name, reason));
        }
        match self.upstreams.take_idle(&self.name, self.incarnation) {
            Some(connection) => Ok(connection),
            None => self.fresh_connection().await,
        }
    }

    /// Opens a connection that no request has used.
    ///
    /// # Errors
    /// Returns an error if no connection may be opened or opening fails.
    pub(crate) async fn fresh_connection(&self) -> Result<Connection, StepError> {
        let permit = self.upstreams.permit_to_open(&self.name, self.incarnation)?;
        pool::open(self.address, permit, self.upstreams.pool_times()).await
    }

    /// Returns a connection to the pool after a complete answer.
    pub(crate) fn give_back(&self, connection: Connection) {
        self.upstreams.put_idle(&self.name, self.incarnation, connection);
    }

    /// Closes the idle connections, so that the next request opens a fresh one.
    pub(crate) fn close_idle(&self) {
        self.upstreams.close_idle(&self.name, self.incarnation);
    }

    pub(crate) fn record_success(&self) {
        self.upstreams.record_success(&self.name, self.incarnation);
    }

    pub(crate) fn record_failure(&self) {
        self.upstreams.record_failure(&self.name, self.incarnation);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.held {
            self.upstreams.release(&self.name, self.incarnation);
        }
    }
}
