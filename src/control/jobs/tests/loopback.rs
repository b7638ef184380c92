//! One job over HTTP on the loopback interface, in real time.

use std::net::SocketAddr;
use std::sync::Arc;

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use super::super::task::Jobs;
use super::super::{JobsMetrics, JobsParts, deliver_http};
use super::site::{memory_journal, submit, wait_for_end};
use crate::scheduler::Announcement;
use crate::standin::{RunEnd, RunningStandin, StandinSettings, start};

/// Guards against messages that the two sides write and read differently.
#[tokio::test]
async fn a_gang_of_16_runs_whole_over_http() {
    let standins = [standin(0).await, standin(1).await];
    let metrics = Arc::new(JobsMetrics::new());
    let parts = JobsParts {
        epoch: 1,
        now_ms: 1_000_000,
        append: memory_journal(&Arc::default(), &Arc::default()),
        deliver: Arc::new(deliver_http),
        find_shape: Box::new(|_, _| None),
        metrics: Arc::clone(&metrics),
    };
    let jobs = Jobs::start(Vec::<Vec<u8>>::new(), parts).expect("empty journal");
    for (position, standin) in (0..).zip(&standins) {
        jobs.announced(announcement(position), standin.address()).await;
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

async fn standin(position: u32) -> RunningStandin {
    let settings = StandinSettings {
        name: format!("u{position}").parse().expect("valid name"),
        incarnation: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        advertised: None,
        services: vec!["plan".parse().expect("valid name")],
        rack: "rack-0".parse().expect("valid name"),
        rack_position: position,
        accelerators: 8,
        slots: 8,
        connections: 64,
        entry_hosts: Vec::new(),
    };
    start(settings).await.expect("a free port")
}
