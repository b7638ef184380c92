//! Synchronisation with control.
//!
//! Shares, upstreams and documents arrive on a stream, on which this host reports its use.
//! Announcements of upstreams are relayed in separate calls.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};
use tokio_stream::wrappers::ReceiverStream;
use tracing::{info, warn};

use super::EntryHost;
use super::documents::InForceDocument;
use super::upstreams::{Allowance, ShareReport, UpstreamInfo};
use crate::config::ServiceDocument;
use crate::error::StepError;
use crate::http::wait_for_stop;
use crate::names::UpstreamName;
use crate::rpc;

/// Interval of reports to control, whose replies renew the lease of shares; half of the interval
/// bounds how late a lease is renewed.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Pause before the stream to control is opened again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(300);
/// Time without a reply after which the stream is reopened; control replies at least each second.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which announcements and renewals are relayed to control.
const RELAY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which expired shares are given up; it must be well below the 160 ms that control
/// waits after a lease of 3 s before it gives them to another host.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(50);
/// Capacity of the channel to the stream; one would do, since each report replaces the one before.
const STREAM_BUFFER_MESSAGES: usize = 4;

/// Announcements, leaves and renewals that are to be relayed to control.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pending: Mutex<Pending>,
    urgent: Notify,
}

#[derive(Debug, Default)]
struct Pending {
    announced: Vec<rpc::Upstream>,
    renewed: Vec<rpc::Renewal>,
}

impl Outbox {
    /// Queues a full announcement or a leave, which is sent at once, unless one of a later
    /// incarnation is queued.
    pub(crate) fn announce(&self, upstream: rpc::Upstream) {
        let mut pending = self.lock();
        let is_newer = |other: &rpc::Upstream| {
            other.name == upstream.name && other.incarnation > upstream.incarnation
        };
        if !pending.announced.iter().any(is_newer) {
            pending.announced.retain(|other| other.name != upstream.name);
            pending.announced.push(upstream);
        }
        drop(pending);
        self.urgent.notify_one();
    }

    /// Queues the renewal of a known upstream, which is sent at the next interval.
    pub(crate) fn renew(&self, name: &UpstreamName, incarnation: u64) {
        let name = name.to_string();
        let mut pending = self.lock();
        pending.renewed.retain(|other| other.name != name);
        pending.renewed.push(rpc::Renewal { name, incarnation });
    }

    /// Queues announcements and leaves again whose relay has failed, except those of upstreams that
    /// have sent a newer one since.
    fn requeue(&self, failed: Vec<rpc::Upstream>) {
        let mut pending = self.lock();
        for upstream in failed {
            if !pending.announced.iter().any(|newer| newer.name == upstream.name) {
                pending.announced.push(upstream);
            }
        }
        drop(pending);
        self.urgent.notify_one();
    }

    fn take(&self) -> Pending {
        std::mem::take(&mut *self.lock())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Pending> {
        self.pending.lock().expect("no panic while the outbox is locked")
    }
}

/// Runs the periodic maintenance of the table of upstreams until `stop`.
pub(crate) async fn maintain_upstreams(host: Arc<EntryHost>, mut stop: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            () = sleep(MAINTENANCE_INTERVAL) => host.upstreams.maintain(),
            () = wait_for_stop(&mut stop) => return,
        }
    }
}

/// Relays announcements to control until `stop`.
pub(crate) async fn relay(host: Arc<EntryHost>, mut stop: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            () = sleep(RELAY_INTERVAL) => {}
            () = host.outbox.urgent.notified() => {}
            () = wait_for_stop(&mut stop) => return,
        }
        relay_once(&host).await;
    }
}

async fn relay_once(host: &EntryHost) {
    let Pending { announced, renewed } = host.outbox.take();
    if announced.is_empty() && renewed.is_empty() {
        return;
    }
    let name = host.settings.host.to_string();
    let message = rpc::RelayRequest { host: name, announced: announced.clone(), renewed };
    match host.control.relay(message).await {
        Ok(reply) => {
            let missing = |info: &UpstreamInfo| reply.resend.contains(&info.name.to_string());
            for info in host.upstreams.live().iter().filter(|info| missing(info)) {
                host.outbox.announce(info.into());
            }
        }
        // Announcements and leaves are queued again; upstreams repeat renewals by themselves.
        Err(_) => host.outbox.requeue(announced),
    }
}

/// Keeps a stream to control open until `stop`.
pub(crate) async fn watch_control(host: Arc<EntryHost>, mut stop: watch::Receiver<bool>) {
    let mut connected = false;
    loop {
        let ended = tokio::select! {
            ended = watch_once(&host, &mut connected) => ended,
            () = wait_for_stop(&mut stop) => return,
        };
        if let Err(error) = ended
            && connected
        {
            warn!(%error, "lost control; base shares only");
            connected = false;
        }
        tokio::select! {
            () = sleep(RECONNECT_PAUSE) => {}
            () = wait_for_stop(&mut stop) => return,
        }
    }
}

async fn watch_once(host: &EntryHost, connected: &mut bool) -> Result<(), StepError> {
    let (sender, receiver) = mpsc::channel(STREAM_BUFFER_MESSAGES);
    let mut reports = ReportStream::new(sender);
    reports.send(host).await;
    let mut replies = host.control.watch(ReceiverStream::new(receiver)).await?;
    let peer = host.settings.control_address;
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_reply_at = Instant::now();
    loop {
        tokio::select! {
            reply = timeout(REPLY_TIMEOUT, replies.message()) => {
                let reply = reply.map_err(|error| StepError::new("watch control", peer, error))?;
                let reply = reply.map_err(|error| StepError::new("watch control", peer, error))?;
                let Some(reply) = reply else {
                    return Err(StepError::new("watch control", peer, "the stream has ended"));
                };
                last_reply_at = Instant::now();
                if !*connected {
                    info!(control = %peer, epoch = reply.epoch, "connected to control");
                    *connected = true;
                }
                if apply(host, &mut reports, reply) {
                    reports.send(host).await;
                }
            }
            _ = ticks.tick() => reports.send(host).await,
            () = host.upstreams.demand_changed() => reports.send(host).await,
        }
        if last_reply_at.elapsed() >= REPLY_TIMEOUT {
            return Err(StepError::new("watch control", peer, "no reply for 3 s"));
        }
    }
}

/// Sends the reports on one stream and records when each was sent.
#[derive(Debug)]
struct ReportStream {
    sender: mpsc::Sender<rpc::WatchRequest>,
    sequence: u64,
    sent_at: VecDeque<(u64, Instant)>,
    acknowledged: u64,
    revision: u64,
}

impl ReportStream {
    fn new(sender: mpsc::Sender<rpc::WatchRequest>) -> Self {
        Self { sender, sequence: 0, sent_at: VecDeque::new(), acknowledged: 0, revision: 0 }
    }

    async fn send(&mut self, host: &EntryHost) {
        self.sequence += 1;
        if let Some(revision) = host.upstreams.acknowledged_revision() {
            self.acknowledged = revision.min(self.revision);
        }
        let message = rpc::WatchRequest {
            host: host.settings.host.to_string(),
            epoch: host.control_epoch(),
            share_revision: self.acknowledged,
            document_index: host.documents.index(),
            r#use: host.upstreams.share_reports().iter().map(share_use).collect(),
            sequence: self.sequence,
            held: if self.revision == 0 { held_shares(host) } else { Vec::new() },
        };
        self.sent_at.push_back((self.sequence, Instant::now()));
        // A closed stream is detected at the receiving end, which reconnects.
        _ = self.sender.send(message).await;
    }

    /// Returns when the report with the sequence number `echo` was sent.
    fn sent_time(&mut self, echo: u64) -> Option<Instant> {
        while self.sent_at.front().is_some_and(|(sequence, _)| *sequence < echo) {
            self.sent_at.pop_front();
        }
        self.sent_at.front().filter(|(sequence, _)| *sequence == echo).map(|(_, at)| *at)
    }
}

fn held_shares(host: &EntryHost) -> Vec<rpc::Share> {
    let share = |(upstream, incarnation, allowance): (UpstreamName, u64, Allowance)| rpc::Share {
        upstream: upstream.to_string(),
        incarnation,
        slots: allowance.slots,
        connections: allowance.connections,
    };
    host.upstreams.held_shares().into_iter().map(share).collect()
}

fn share_use(report: &ShareReport) -> rpc::ShareUse {
    rpc::ShareUse {
        upstream: report.upstream.to_string(),
        slots_in_use: report.slots_in_use,
        connections_in_use: report.connections_in_use,
        slots_wanted: report.slots_wanted,
    }
}

/// Applies one reply; returns true if the next report should be sent at once.
fn apply(host: &EntryHost, reports: &mut ReportStream, reply: rpc::WatchReply) -> bool {
    if !host.observe_control_epoch(reply.epoch) {
        host.metrics.stale_message();
        return false;
    }
    for upstream in reply.upstreams {
        apply_upstream(host, &upstream);
    }
    for document in reply.documents {
        apply_document(host, &document);
    }
    host.documents.mark_confirmed(reply.document_index);
    if reply.share_revision == 0 {
        // The next report carries the new epoch and the shares held, which control then adopts.
        return true;
    }
    let lease = Duration::from_millis(reply.share_lease_ms.into());
    let Some(until) = reports.sent_time(reply.sequence).map(|sent_at| sent_at + lease) else {
        return false;
    };
    if reply.share_revision == reports.revision {
        host.upstreams.renew_shares(until);
        return false;
    }
    reports.revision = reply.share_revision;
    let shares = reply.shares.iter().filter_map(parse_share);
    host.upstreams.apply_shares(reply.share_revision, shares, until);
    true
}

fn parse_share(share: &rpc::Share) -> Option<(UpstreamName, u64, Allowance)> {
    let name = share.upstream.parse().ok()?;
    let allowance = Allowance { slots: share.slots, connections: share.connections };
    Some((name, share.incarnation, allowance))
}

fn apply_upstream(host: &EntryHost, upstream: &rpc::Upstream) {
    let Ok(name) = upstream.name.parse::<UpstreamName>() else { return };
    if upstream.lost {
        // The same incarnation may return; until then its lease at this host expires by itself.
        return;
    }
    if upstream.leaving {
        host.upstreams.leave(&name, upstream.incarnation);
        return;
    }
    if let Ok(info) = UpstreamInfo::try_from(upstream)
        && !host.upstreams.announce(info)
    {
        host.metrics.stale_message();
    }
}

fn apply_document(host: &EntryHost, document: &rpc::Document) {
    match ServiceDocument::parse(&document.body_yaml) {
        Ok(parsed) => {
            let service = parsed.service.clone();
            let (version, index) = (document.version, document.index);
            let body_yaml = document.body_yaml.clone();
            if host.documents.apply(InForceDocument { document: parsed, body_yaml, version, index })
            {
                info!(%service, version, index, "document in force");
            }
        }
        Err(faults) => {
            let (service, index) = (&document.service, document.index);
            warn!(service, index, %faults, "document refused");
        }
    }
}

impl TryFrom<&rpc::Upstream> for UpstreamInfo {
    type Error = String;

    fn try_from(upstream: &rpc::Upstream) -> Result<Self, String> {
        let to_text = |error: crate::names::InvalidName| error.to_string();
        let services = upstream.services.iter().map(|name| name.parse().map_err(to_text));
        let address: SocketAddr = upstream
            .address
            .parse()
            .map_err(|error: std::net::AddrParseError| error.to_string())?;
        Ok(Self {
            name: upstream.name.parse().map_err(to_text)?,
            incarnation: upstream.incarnation,
            address,
            services: services.collect::<Result<_, _>>()?,
            rack: upstream.rack.parse().map_err(to_text)?,
            rack_position: upstream.rack_position,
            accelerators: upstream.accelerators,
            slots: upstream.slots,
            connections: upstream.connections,
        })
    }
}

impl From<&UpstreamInfo> for rpc::Upstream {
    fn from(info: &UpstreamInfo) -> Self {
        Self {
            name: info.name.to_string(),
            incarnation: info.incarnation,
            address: info.address.to_string(),
            services: info.services.iter().map(ToString::to_string).collect(),
            rack: info.rack.to_string(),
            rack_position: info.rack_position,
            accelerators: info.accelerators,
            slots: info.slots,
            connections: info.connections,
            leaving: false,
            lost: false,
        }
    }
}
