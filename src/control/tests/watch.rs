//! The watch stream and the admin port, over real connections.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;

use super::work::{Running, Work};
use crate::rpc::{RelayRequest, ShareUse, Upstream, WatchReply, WatchRequest};

fn worker(slots: u32) -> Upstream {
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

fn relay(upstream: Upstream) -> RelayRequest {
    RelayRequest { host: "entry-1".into(), announced: vec![upstream], renewed: Vec::new() }
}

struct Host {
    out: mpsc::Sender<WatchRequest>,
    replies: Streaming<WatchReply>,
    request: WatchRequest,
}

impl Host {
    async fn open(control: &mut Running, name: &str) -> Self {
        let (out, requests) = mpsc::channel(16);
        let request = WatchRequest { host: name.into(), ..WatchRequest::default() };
        out.send(request.clone()).await.expect("the queue has room");
        let replies = control.client.watch(ReceiverStream::new(requests)).await;
        Self { out, replies: replies.expect("a stream").into_inner(), request }
    }

    /// Sends demand and the acknowledgement of what the last reply granted.
    async fn want(&mut self, reply: &WatchReply, slots: u32) {
        self.request.epoch = reply.epoch;
        self.request.share_revision = reply.share_revision;
        self.request.document_index = reply.document_index;
        self.request.sequence += 1;
        let demand =
            ShareUse { upstream: "worker-1".into(), slots_wanted: slots, ..ShareUse::default() };
        self.request.r#use = vec![demand];
        self.out.send(self.request.clone()).await.expect("the stream is open");
    }

    async fn next(&mut self) -> WatchReply {
        let next = timeout(Duration::from_secs(3), self.replies.message()).await;
        next.expect("a reply at least each second").expect("a reply").expect("an open stream")
    }

    /// Returns the first reply for which `wanted` holds.
    async fn until(&mut self, slots: u32, wanted: impl Fn(&WatchReply) -> bool) -> WatchReply {
        for _ in 0..100 {
            let reply = self.next().await;
            if wanted(&reply) {
                return reply;
            }
            self.want(&reply, slots).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("no such reply");
    }
}

fn slots(reply: &WatchReply) -> Option<u32> {
    reply.shares.iter().find(|share| share.upstream == "worker-1").map(|share| share.slots)
}

/// Guards against a host that is never told of an upstream, its loans or the upstream's loss.
#[tokio::test]
async fn a_host_hears_of_an_upstream_its_shares_and_its_loss() {
    let work = Work::new();
    let mut control = work.start().await;
    let mut host = Host::open(&mut control, "entry-1").await;
    let first = host.next().await;
    assert!(first.upstreams.is_empty() && first.shares.is_empty());
    let mut relays = control.client.clone();
    let keep = tokio::spawn(async move {
        for _ in 0..15 {
            relays.relay(relay(worker(8))).await.expect("an answer to Relay");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
    let announced = host.next().await;
    assert_eq!(announced.upstreams, [worker(8)]);
    assert_eq!(slots(&announced), Some(1));
    // Nothing is lent until shares lent before a restart have certainly ended.
    host.want(&announced, 20).await;
    let lent = host.until(20, |reply| slots(reply) == Some(7)).await;
    assert_eq!(lent.sequence, host.request.sequence);
    keep.await.expect("the relays end");
    let lost = host.until(20, |reply| !reply.upstreams.is_empty()).await;
    assert!(lost.upstreams[0].leaving);
    drop(host);
    control.stop().await;
}

/// Guards against a second stream of a host that is served beside the first one.
#[tokio::test]
async fn a_newer_stream_of_a_host_ends_the_older_one() {
    let work = Work::new();
    let mut control = work.start().await;
    let mut old = Host::open(&mut control, "entry-1").await;
    let reply = old.next().await;
    let mut new = Host::open(&mut control, "entry-1").await;
    new.next().await;
    old.want(&reply, 1).await;
    let mut ended = false;
    for _ in 0..4 {
        let next = timeout(Duration::from_secs(3), old.replies.message()).await;
        ended |= matches!(next.expect("a reply or the end"), Ok(None) | Err(_));
    }
    assert!(ended);
    control.stop().await;
}

/// Guards against an admin port that reports health or metrics wrongly.
#[tokio::test]
async fn the_admin_port_reports_health_and_metrics() {
    let work = Work::new();
    let control = work.start().await;
    let mut answers = Vec::new();
    for path in ["/health", "/metrics"] {
        let mut stream = TcpStream::connect(control.admin).await.expect("a connection");
        let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("the request is sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("an answer");
        answers.push(answer);
    }
    assert!(answers[0].starts_with("HTTP/1.1 200"), "{}", answers[0]);
    assert!(answers[0].ends_with(r#"{"epoch":1,"journal":null}"#), "{}", answers[0]);
    for name in ["journal_appends_total", "journal_sync_seconds_bucket", "lent_slots", "records"] {
        assert!(answers[1].contains(&format!("cactuslatch_control_{name}")), "no {name}");
    }
    control.stop().await;
}
