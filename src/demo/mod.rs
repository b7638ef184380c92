//! The demo: a whole installation on loopback, requests and a gang job, a job of steps, a document that
//! changes.

mod step_job;
mod steps;

use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::{Map, Value};

use crate::config::{Limits, Timeouts};
use crate::error::StepError;
use crate::local::{LocalCluster, LocalDataCentre, LocalSettings, TEAM_SECRET};

/// Name of the demo's data centre.
const DATA_CENTRE: &str = "north";
/// Entry hosts in the demo's data centre.
const ENTRY_HOSTS: u8 = 2;
/// Stand-ins in the demo's data centre: one rack.
const UPSTREAMS: u8 = 4;

/// What the demo did, as lines for a person and values for a program.
#[derive(Debug, Default)]
pub struct Report {
    values: Mutex<Map<String, Value>>,
    quiet: bool,
}

impl Report {
    fn say(&self, key: &str, value: impl Into<Value>, line: &str) {
        let mut values = self.values.lock().expect("no panic while the report is locked");
        values.insert(key.to_owned(), value.into());
        if !self.quiet {
            println!("{line}");
        }
    }

    /// Returns the values as one JSON object.
    ///
    /// # Panics
    /// Panics if a step of the demo has panicked.
    #[must_use]
    pub fn into_json(self) -> Value {
        Value::Object(self.values.into_inner().expect("no panic while the report was locked"))
    }
}

/// Runs the demo in `folder` and reports what happened.
///
/// # Errors
/// Returns an error if a step does not end as it must.
///
/// # Panics
/// Panics if a thread that reports has panicked.
pub async fn run(folder: &Path, quiet: bool) -> Result<Report, StepError> {
    let report = Report { quiet, ..Report::default() };
    let mut cluster = start(folder).await?;
    report.say(
        "entry_hosts",
        ENTRY_HOSTS,
        &format!("started 1 control process, {ENTRY_HOSTS} entry hosts, {UPSTREAMS} upstreams"),
    );
    steps::put_document(&cluster, &report).await?;
    steps::idempotent_requests(&cluster, &report).await?;
    steps::request_once(&cluster, &report).await?;
    steps::gang_job(&cluster, &report).await?;
    step_job::run(&folder.join("steps"), &report).await?;
    steps::change_document(&cluster, &report).await?;
    steps::leaving_upstream(&mut cluster, &report).await?;
    steps::drain_under_load(&mut cluster, &report).await?;
    cluster.stop().await;
    report.say("ok", true, "all processes ended");
    Ok(report)
}

/// Starts the demo's installation, prints how to reach it and runs it until `stop` ends.
///
/// # Errors
/// Returns an error if the installation does not start or accept its first document.
///
/// # Panics
/// Panics if a thread that reports has panicked.
pub async fn stay(folder: &Path, stop: impl Future<Output = ()>) -> Result<(), StepError> {
    let cluster = start(folder).await?;
    steps::put_document(&cluster, &Report::default()).await?;
    let addresses: Vec<String> =
        (0..ENTRY_HOSTS).map(|host| cluster.caller_address(0, host).to_string()).collect();
    println!("export CACTUSLATCH_ENTRY={}", addresses.join(","));
    println!("export CACTUSLATCH_CREDENTIAL={TEAM_SECRET}");
    println!("admin address of the first entry host: {}", cluster.admin_address(0, 0));
    println!("interrupt to end");
    stop.await;
    cluster.stop().await;
    Ok(())
}

async fn start(folder: &Path) -> Result<LocalCluster, StepError> {
    let settings = LocalSettings {
        data_centres: vec![LocalDataCentre {
            name: DATA_CENTRE.parse().expect("a valid name"),
            entry_hosts: ENTRY_HOSTS,
            upstreams: UPSTREAMS,
        }],
        folder: folder.to_owned(),
        timeouts: Timeouts { balancer_notice_ms: 1_000, ..Timeouts::default() },
        limits: Limits::default(),
    };
    LocalCluster::start(settings).await
}

/// Repeats a check until it holds; an error names the step that did not come about.
async fn wait_until(
    step: &'static str,
    limit: Duration,
    mut check: impl AsyncFnMut() -> bool,
) -> Result<Duration, StepError> {
    let started = tokio::time::Instant::now();
    while !check().await {
        if started.elapsed() >= limit {
            return Err(StepError::new(step, "demo", format!("not seen within {limit:?}")));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(started.elapsed())
}
