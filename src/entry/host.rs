//! The state of one entry host.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use sha2::{Digest, Sha256};

use super::admission::Admission;
use super::control_client::ControlClient;
use super::documents::Documents;
use super::metrics::EntryMetrics;
use super::peers::Peers;
use super::pool::PoolTimes;
use super::retry::RetryBudget;
use super::sync::Outbox;
use super::upstreams::{TableSettings, Upstreams};
use crate::config::EntrySettings;
use crate::names::RequestKey;

/// Everything that the tasks of an entry host share.
#[derive(Debug)]
pub(crate) struct EntryHost {
    pub(crate) settings: EntrySettings,
    pub(crate) documents: Documents,
    pub(crate) upstreams: Upstreams,
    pub(crate) admission: Admission,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) control: ControlClient,
    pub(crate) peers: Peers,
    pub(crate) outbox: Outbox,
    pub(crate) metrics: EntryMetrics,
    draining: AtomicBool,
    control_epoch: AtomicU64,
    next_id: AtomicU64,
    /// Part of identifiers, which keeps them unique across restarts.
    started_at_ms: u64,
}

impl EntryHost {
    pub(crate) fn new(settings: EntrySettings) -> Self {
        let started_at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let limits = &settings.limits;
        let retry_budget = RetryBudget::new(limits.retry_budget_percent, limits.retry_floor_per_s);
        Self {
            documents: Documents::default(),
            upstreams: Upstreams::new(table_settings(&settings)),
            admission: Admission::default(),
            retry_budget,
            control: ControlClient::new(settings.control_address),
            peers: Peers::default(),
            outbox: Outbox::default(),
            metrics: EntryMetrics::new(),
            draining: AtomicBool::new(false),
            control_epoch: AtomicU64::new(0),
            next_id: AtomicU64::new(0),
            started_at_ms: u64::try_from(started_at.as_millis()).unwrap_or(u64::MAX),
            settings,
        }
    }

    /// Returns an identifier that is unique among all hosts.
    pub(crate) fn next_id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.settings.host, self.started_at_ms)
    }

    /// Returns a unique key for an idempotent request, which matches answers to it.
    pub(crate) fn next_key(&self) -> RequestKey {
        let data_centre = self.settings.data_centre.clone();
        RequestKey::new(data_centre, &self.next_id()).expect("host names fit into keys")
    }

    /// Returns the digest that detects a key reused with another body.
    #[expect(clippy::unused_self, reason = "the digest belongs to the host's interface")]
    pub(crate) fn digest(&self, body: &[u8]) -> Bytes {
        Bytes::copy_from_slice(&Sha256::digest(body))
    }

    /// Makes the health check fail, so that the load balancer stops sending callers to this host.
    ///
    /// Returns false if the host was draining before.
    pub(crate) fn start_draining(&self) -> bool {
        !self.draining.swap(true, Ordering::AcqRel)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns the highest epoch of control seen.
    pub(crate) fn control_epoch(&self) -> u64 {
        self.control_epoch.load(Ordering::Acquire)
    }

    /// Records an epoch of control; returns false if a higher one has been seen.
    pub(crate) fn observe_control_epoch(&self, epoch: u64) -> bool {
        self.control_epoch.fetch_max(epoch, Ordering::AcqRel) <= epoch
    }
}

fn table_settings(settings: &EntrySettings) -> TableSettings {
    let timeouts = &settings.timeouts;
    TableSettings {
        local_entry_hosts: settings.local_entry_hosts,
        upstream_lease: Duration::from_millis(timeouts.upstream_lease_ms),
        pool_times: PoolTimes {
            connect_timeout: Duration::from_millis(timeouts.connect_timeout_ms),
            age: Duration::from_millis(timeouts.connection_age_ms),
            idle_probe: Duration::from_millis(timeouts.idle_probe_ms),
        },
        park_max: settings.limits.park_max,
        batch_share_one_in: settings.limits.batch_share_one_in,
    }
}
