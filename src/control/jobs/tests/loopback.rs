//! One job over HTTP on the loopback interface, in real time.

use std::net::SocketAddr;
use std::sync::Arc;

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use super::super::task::Jobs;
use super::super::{JobsContext, JobsMetrics, deliver_http};
use super::site::{document, memory_journal, submit, wait_for_end};
use crate::scheduler::{Announcement, GangId, StopStatus};
use crate::standin::{RunEnd, RunningStandin, StandinSettings, start};
use crate::upstream_http::{
    GangAnswer, GangMessage, GangRequest, GangWork, RefusalCode, Sender, StageRequest, StopRequest,
};

/// Guards against messages that control and upstreams encode and decode differently.
#[tokio::test]
async fn a_gang_of_16_completes_over_http() {
    let standins = [standin(0, 8).await, standin(1, 8).await];
    let metrics = Arc::new(JobsMetrics::new());
    let context = JobsContext {
        epoch: 1,
        now_ms: 1_000_000,
        append: memory_journal(&Arc::default(), &Arc::default()),
        deliver: Arc::new(deliver_http),
        find_document: Box::new(|_| Some(document())),
        metrics: Arc::clone(&metrics),
    };
    let jobs = Jobs::start(Vec::<Vec<u8>>::new(), context).expect("empty journal");
    for (position, standin) in (0..).zip(&standins) {
        jobs.upstream_announced(announcement(position), standin.address(), 1).await;
    }
    assert!(submit(&jobs, "a", r#""accelerators":16,"run_ms":200"#).await.found);
    assert_eq!(wait_for_end(&jobs, "a").await, "completed");
    for standin in &standins {
        let ends: Vec<_> = standin.gang_runs().into_iter().map(|run| (run.mask, run.end)).collect();
        assert_eq!(ends, [(0xff, Some(RunEnd::Completed))]);
    }
    let mut registry = Registry::default();
    metrics.register(&mut registry);
    let mut text = String::new();
    encode(&mut text, &registry).expect("metrics can be written");
    assert!(text.contains(r#"jobs_ended_total{organisation="north",end="completed"} 1"#), "{text}");
    let waits = r#"job_wait_seconds_count{organisation="north",class="ordinary"} 1"#;
    assert!(text.contains(waits), "{text}");
}

/// Guards against an upstream that runs more work than it has slots, and against a refusal that
/// control does not receive as such.
#[tokio::test]
async fn members_and_requests_share_the_slots() {
    let standin = standin(0, 1).await;
    let address = standin.address();
    let (gang, other) = (GangId(1), GangId(2));
    assert_eq!(send(address, stage(gang)).await, GangAnswer::Staged);
    let refused = GangAnswer::Refused { code: RefusalCode::NoCapacity, epoch: 1 };
    assert_eq!(send(address, stage(other)).await, refused);
    assert_eq!(run_status(address, "1").await, 503);
    let stopped = GangAnswer::Stopped { status: StopStatus::NotStarted };
    assert_eq!(send(address, GangMessage::Stop(StopRequest { gang })).await, stopped);
    assert_eq!(run_status(address, "2").await, 200);
}

fn stage(gang: GangId) -> GangMessage {
    let job = "a".parse().expect("valid name");
    let work = GangWork::default();
    GangMessage::Stage(StageRequest { gang, job, mask: 1 << gang.0, hold_ms: 60_000, work })
}

async fn send(address: SocketAddr, message: GangMessage) -> GangAnswer {
    let sender = Sender { epoch: 1, incarnation: 1, clock_ms: None };
    deliver_http(address, GangRequest { sender, message }).await.expect("an answer").answer
}

async fn run_status(address: SocketAddr, attempt: &'static str) -> u16 {
    let post = move || {
        let config = ureq::Agent::config_builder().http_status_as_error(false).build();
        let request = ureq::Agent::from(config).post(format!("http://{address}/v1/run"));
        let request = request.header("cactuslatch-key", "sofia/1");
        request.header("cactuslatch-attempt", attempt).send("{}").expect("an answer").status()
    };
    tokio::task::spawn_blocking(post).await.expect("no panic").as_u16()
}

fn announcement(position: u32) -> Announcement {
    Announcement {
        name: format!("u{position}").parse().expect("valid name"),
        incarnation: 1,
        rack: "rack-0".parse().expect("valid name"),
        position,
        accelerators: 8,
        leaving: false,
    }
}

async fn standin(position: u32, slots: u32) -> RunningStandin {
    let settings = StandinSettings {
        name: format!("u{position}").parse().expect("valid name"),
        incarnation: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        advertised: None,
        services: vec!["plan".parse().expect("valid name")],
        rack: "rack-0".parse().expect("valid name"),
        rack_position: position,
        accelerators: 8,
        slots,
        connections: 64,
        entry_hosts: Vec::new(),
    };
    start(settings).await.expect("a free port")
}
