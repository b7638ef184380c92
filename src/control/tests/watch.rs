//! The watch stream and the admin port, over real connections.

use std::time::Duration;

use insta::assert_snapshot;
use rstest::rstest;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Code, Streaming};

use super::work::{ControlFolder, ManualClock, RunningControl};
use crate::rpc::{RelayRequest, ShareUse, Upstream, WatchReply, WatchRequest};

pub(super) fn worker(slots: u32) -> Upstream {
    Upstream {
        name: "worker-1".into(),
        incarnation: 7,
        address: "127.0.0.1:9".into(),
        services: vec!["plan".into()],
        rack: "rack-1".into(),
        slots,
        connections: 64,
        ..Upstream::default()
    }
}

pub(super) fn relay(upstream: Upstream) -> RelayRequest {
    RelayRequest { host: "entry-1".into(), announced: vec![upstream], renewed: Vec::new() }
}

/// An entry host with an open watch stream.
pub(super) struct Host {
    requests: mpsc::Sender<WatchRequest>,
    replies: Streaming<WatchReply>,
    request: WatchRequest,
}

impl Host {
    pub(super) async fn open(control: &mut RunningControl, name: &str) -> Self {
        let (requests, receiver) = mpsc::channel(16);
        let request = WatchRequest { host: name.into(), ..WatchRequest::default() };
        // A client may wait for the headers before it sends its first message.
        let replies = control.client.watch(ReceiverStream::new(receiver)).await;
        requests.send(request.clone()).await.expect("the queue has room");
        Self { requests, replies: replies.expect("a stream").into_inner(), request }
    }

    /// Sends demand and the acknowledgement of what the last reply granted.
    pub(super) async fn send_demand(&mut self, reply: &WatchReply, slots: u32) {
        self.request.epoch = reply.epoch;
        self.request.share_revision = reply.share_revision;
        self.request.document_index = reply.document_index;
        self.request.sequence += 1;
        let demand =
            ShareUse { upstream: "worker-1".into(), slots_wanted: slots, ..ShareUse::default() };
        self.request.r#use = vec![demand];
        self.requests.send(self.request.clone()).await.expect("the stream is open");
    }

    pub(super) async fn next(&mut self) -> WatchReply {
        let next = timeout(Duration::from_secs(3), self.replies.message()).await;
        next.expect("a reply at least each second").expect("a reply").expect("an open stream")
    }

    /// Sends demand and returns the replies up to the one that answers it, and those that arrive
    /// shortly afterwards in real time.
    async fn exchange(&mut self, last: &mut WatchReply, slots: u32) -> Vec<WatchReply> {
        self.send_demand(last, slots).await;
        let mut replies = Vec::new();
        loop {
            let pause = || std::thread::sleep(Duration::from_millis(20));
            tokio::select! {
                biased;
                reply = self.replies.message() => {
                    *last = reply.expect("a reply").expect("an open stream");
                    replies.push(last.clone());
                }
                _ = tokio::task::spawn_blocking(pause) => {
                    // On a busy machine the answer can take longer than the pause.
                    if last.sequence == self.request.sequence {
                        return replies;
                    }
                }
            }
        }
    }
}

fn slots(reply: &WatchReply) -> Option<u32> {
    reply.shares.iter().find(|share| share.upstream == "worker-1").map(|share| share.slots)
}

/// Guards against a host that never receives an upstream, its loans or the upstream's loss, and
/// against loans before those of an earlier epoch have expired.
#[tokio::test]
async fn a_host_receives_an_upstream_its_shares_and_its_loss() {
    let (folder, clock) =
        (ControlFolder { lease_ms: 3000, ..ControlFolder::new() }, ManualClock::new());
    let mut control = folder.start().await;
    let mut host = Host::open(&mut control, "entry-1").await;
    let mut last = host.next().await;
    assert!(last.upstreams.is_empty() && last.shares.is_empty());
    let mut log = Vec::new();
    for step in 0..16 {
        if step < 9 {
            control.client.relay(relay(worker(8))).await.expect("an answer to Relay");
        }
        for reply in host.exchange(&mut last, 20).await {
            let leaving = reply.upstreams.iter().map(|upstream| upstream.leaving);
            let leaving: Vec<_> = leaving.collect();
            if !leaving.is_empty() || slots(&reply).is_some() {
                log.push(format!("step {step}: slots {:?} leaving {leaving:?}", slots(&reply)));
            }
        }
        assert_eq!(last.sequence, host.request.sequence);
        clock.advance(500).await;
    }
    assert_snapshot!(log.join("\n"), @r"
    step 0: slots Some(1) leaving [false]
    step 7: slots Some(7) leaving []
    step 15: slots None leaving [true]
    ");
    clock.stop(control).await;
}

/// Guards against serving two streams of one host at the same time.
#[tokio::test]
async fn a_newer_stream_of_a_host_ends_the_older_one() {
    let folder = ControlFolder::new();
    let mut control = folder.start().await;
    let mut old = Host::open(&mut control, "entry-1").await;
    let reply = old.next().await;
    let mut new = Host::open(&mut control, "entry-1").await;
    new.next().await;
    old.send_demand(&reply, 1).await;
    let mut ended = false;
    for _ in 0..4 {
        let next = timeout(Duration::from_secs(3), old.replies.message()).await;
        ended |= matches!(next.expect("a reply or the end"), Ok(None) | Err(_));
    }
    assert!(ended);
    new.request.epoch = 9;
    new.requests.send(new.request.clone()).await.expect("the stream is open");
    new.next().await;
    // One message on the replaced stream and one of another epoch.
    let metrics = control.admin("/metrics").await;
    assert!(metrics.contains("stale_dropped{part=\"watch\"} 2"), "{metrics}");
    control.stop().await;
}

/// Guards against serving hosts that are not configured, or that know a later epoch.
///
/// A later epoch means that control has lost data.
#[rstest]
#[case("entry-9", 1, Code::PermissionDenied)]
#[case("entry-1", 2, Code::FailedPrecondition)]
#[case("", 1, Code::InvalidArgument)]
#[tokio::test]
async fn a_stream_is_refused(#[case] host: &str, #[case] epoch: u64, #[case] expected: Code) {
    let folder = ControlFolder::new();
    let mut control = folder.start().await;
    let first = WatchRequest { host: host.into(), epoch, ..WatchRequest::default() };
    let replies = control.client.watch(tokio_stream::once(first)).await.expect("a stream");
    let refused = replies.into_inner().message().await.expect_err("a refusal");
    assert_eq!(refused.code(), expected);
    control.stop().await;
}

/// Guards against wrong health or missing metrics on the admin port.
#[tokio::test]
async fn the_admin_port_reports_health_and_metrics() {
    let folder = ControlFolder::new();
    let control = folder.start().await;
    let mut answers = Vec::new();
    for path in ["/health", "/metrics"] {
        answers.push(control.admin(path).await);
    }
    assert!(answers[0].starts_with("HTTP/1.1 200"), "{}", answers[0]);
    assert!(answers[0].ends_with(r#"{"epoch":1,"journal":null}"#), "{}", answers[0]);
    for name in ["journal_appends_total", "journal_sync_seconds_bucket", "lent_slots", "records"] {
        assert!(answers[1].contains(&format!("cactuslatch_control_{name}")), "no {name}");
    }
    control.stop().await;
}
