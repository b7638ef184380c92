//! Announcements of the stand-in to entry hosts.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use tracing::warn;

use crate::names::UpstreamName;
use crate::upstream_http::{Announcement, Leave};

/// Interval between announcements.
pub(super) const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one message to one entry host.
const POST_TIMEOUT: Duration = Duration::from_millis(800);

/// Posts announcements and leaves. Its calls block, so they run on a thread for blocking work.
#[derive(Debug, Clone)]
pub(super) struct Announcer {
    agent: ureq::Agent,
    name: UpstreamName,
    entry_hosts: Vec<SocketAddr>,
}

impl Announcer {
    pub(super) fn new(name: UpstreamName, entry_hosts: Vec<SocketAddr>) -> Self {
        let config = ureq::Agent::config_builder().timeout_global(Some(POST_TIMEOUT)).build();
        Self { agent: config.into(), name, entry_hosts }
    }

    pub(super) fn announce(&self, announcement: &Announcement) {
        self.post("announce", announcement);
    }

    pub(super) fn leave(&self, incarnation: u64) {
        self.post("leave", &Leave { incarnation });
    }

    fn post(&self, action: &str, body: &impl Serialize) {
        for address in &self.entry_hosts {
            let url = format!("http://{address}/v1/upstreams/{}/{action}", self.name);
            if let Err(error) = self.agent.post(&url).send_json(body) {
                warn!(%address, action, %error, "could not send a message to an entry host");
            }
        }
    }
}
