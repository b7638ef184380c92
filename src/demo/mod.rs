//! The demo: starts a whole installation on loopback and sends requests, a gang job, a job of steps
//! and a document change through it.

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

/// Results of the demo, printed as lines and collected as JSON values.
#[derive(Debug, Default)]
pub struct Report {
    values: Mutex<Map<String, Value>>,
    quiet: bool,
}

impl Report {
    /// Stores a value and prints a line about it, unless the report is quiet.
    fn record(&self, key: &str, value: impl Into<Value>, line: &str) {
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
/// Returns an error if a step fails.
///
/// # Panics
/// Panics if a thread panicked while it held the lock of the report.
pub async fn run(folder: &Path, quiet: bool) -> Result<Report, StepError> {
    let report = Report { quiet, ..Report::default() };
    let mut cluster = start(folder).await?;
    report.record(
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
    report.record("ok", true, "all processes ended");
    Ok(report)
}

/// Starts the demo's installation, prints its addresses and credential, and runs it until `stop`
/// ends.
///
/// # Errors
/// Returns an error if the installation does not start or accept its first document.
///
/// # Panics
/// Panics if a thread panicked while it held the lock of the report.
pub async fn run_until(folder: &Path, stop: impl Future<Output = ()>) -> Result<(), StepError> {
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

/// Repeats a check until it holds and returns the time taken.
///
/// # Errors
/// Returns an error that names the step if the check does not hold within the timeout.
async fn wait_until(
    step: &'static str,
    timeout: Duration,
    mut check: impl AsyncFnMut() -> bool,
) -> Result<Duration, StepError> {
    let started = tokio::time::Instant::now();
    while !check().await {
        if started.elapsed() >= timeout {
            return Err(StepError::new(step, "demo", format!("not seen within {timeout:?}")));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(started.elapsed())
}
