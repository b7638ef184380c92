//! `cluster`: commits, failover, restart and stored bytes of the replicated control on loopback.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use cactuslatch::local::{Client, EXAMPLE_API_KEY, LocalTasks};
use eyre::{ContextCompat, Result, WrapErr, ensure};
use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::task::{JoinSet, spawn_blocking};
use tokio::time::Instant;

/// Time limit for electing a leader and storing a configuration.
const STORE_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause before a failed call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Leaders to kill, one after the other.
const KILLED_LEADERS: u32 = 5;

/// Synced writes in the measurement of the disk.
const SYNCED_WRITES: u32 = 100;

const QUEUES: &str = include_str!("../../../examples/steps/queues.yaml");

/// A job that uses all accelerators of a stand-in for 10 minutes, so that later ones only wait.
const JOB: &str =
    "{payload: '{\"work_ms\": 600000}', steps: [{tasks: 1, need: {accelerators: 8}}]}";

/// Arguments of the command.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    hosts: u8,
    records: u32,
    clients: u32,
    json: bool,
}

#[derive(Debug, Serialize)]
struct Row {
    hosts: u8,
    sync_p50_us: u64,
    commit_p50_us: u64,
    commit_p99_us: u64,
    clients: u32,
    records_per_s: u64,
    new_leader_p50_ms: u64,
    new_leader_max_ms: u64,
    log_records: u32,
    restart_ms: u128,
    bytes_at_rest: u64,
}

/// Returns the parser of the command.
pub(crate) fn args() -> impl Parser<Args> {
    let hosts = long("hosts").help("Control hosts [3]").argument("N").fallback(3);
    let records = long("records").help("Jobs that are submitted [1000]").argument("N");
    let records = records.fallback(1_000);
    let clients = long("clients").help("Callers at the same time [32]").argument("N").fallback(32);
    let json = long("json").help("Print one JSON object").switch();
    construct!(Args { hosts, records, clients, json })
        .to_options()
        .descr(
            "Measures the replicated control. All hosts run in this process and write to the same \
             disk; links have no delay.",
        )
        .command("cluster")
}

/// Runs the measurement.
pub(crate) fn run(args: &Args) -> Result<ExitCode> {
    let row = tokio::runtime::Runtime::new()?.block_on(measure(args))?;
    if args.json {
        println!("{}", serde_json::to_string(&row)?);
    } else {
        println!("{row:#?}");
    }
    Ok(ExitCode::SUCCESS)
}

async fn measure(args: &Args) -> Result<Row> {
    let folder = tempfile::tempdir()?;
    let sync_p50_us = sync_p50_us(folder.path())?;
    let mut local = LocalTasks::start(folder.path(), args.hosts, 1).await?;
    let mut version = 1;
    store_next_configuration(&local, &mut version).await?;
    let leader = local.leader().context("no host is the leader")?;
    let leader_client = Client::new(local.control_addresses()[usize::from(leader)]);
    let commit_us = commit_latency_us(&leader_client, &mut version, args.records.min(300)).await?;
    let records_per_s = records_per_s(&leader_client, args).await?;
    let failover_ms = failover_times_ms(&mut local, &mut version).await?;
    let (restart_ms, bytes_at_rest) = restart_follower(&mut local, folder.path()).await?;
    Ok(Row {
        hosts: args.hosts,
        sync_p50_us,
        commit_p50_us: commit_us.value_at_quantile(0.5),
        commit_p99_us: commit_us.value_at_quantile(0.99),
        clients: args.clients,
        records_per_s,
        new_leader_p50_ms: failover_ms.value_at_quantile(0.5),
        new_leader_max_ms: failover_ms.max(),
        log_records: args.records,
        restart_ms,
        bytes_at_rest,
    })
}

/// Returns the median time of a write of 4 KiB with its sync.
fn sync_p50_us(folder: &Path) -> Result<u64> {
    let mut file = File::create(folder.join("sync"))?;
    let mut times = Histogram::<u64>::new(3)?;
    for _ in 0..SYNCED_WRITES {
        let started = Instant::now();
        file.write_all(&[0; 4096])?;
        file.sync_data()?;
        times.record(micros(started.elapsed()))?;
    }
    Ok(times.value_at_quantile(0.5))
}

async fn send(client: &Client, method: &'static str, path: String, body: String) -> Result<u16> {
    let client = client.clone();
    let reply = spawn_blocking(move || {
        let bearer = format!("Bearer {EXAMPLE_API_KEY}");
        client.send(method, &path, &[("Authorization", bearer.as_str())], &body)
    });
    Ok(reply.await?.wrap_err("call control")?.status)
}

async fn put_configuration(client: &Client, version: u64) -> Result<u16> {
    let text = QUEUES.replace("version: 1", &format!("version: {version}"));
    send(client, "PUT", "/v1/configuration".to_owned(), text).await
}

/// Sends the next version of the configuration until a host has stored it.
async fn store_next_configuration(local: &LocalTasks, version: &mut u64) -> Result<()> {
    *version += 1;
    let client = local.client();
    let started = Instant::now();
    while !put_configuration(&client, *version).await.is_ok_and(|status| status == 200) {
        ensure!(
            started.elapsed() < STORE_TIMEOUT,
            "no host has stored the configuration within {STORE_TIMEOUT:?}"
        );
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    Ok(())
}

/// Measures changes of the configuration at the leader, one after the other.
async fn commit_latency_us(
    client: &Client,
    version: &mut u64,
    count: u32,
) -> Result<Histogram<u64>> {
    let mut times = Histogram::<u64>::new(3)?;
    for _ in 0..count {
        *version += 1;
        let started = Instant::now();
        ensure!(
            put_configuration(client, *version).await? == 200,
            "the configuration was not stored"
        );
        times.record(micros(started.elapsed()))?;
    }
    Ok(times)
}

/// Returns the jobs stored per second when `clients` callers submit concurrently.
async fn records_per_s(client: &Client, args: &Args) -> Result<u64> {
    let mut tasks = JoinSet::new();
    let started = Instant::now();
    for caller in 0..args.clients {
        let (client, records, clients) = (client.clone(), args.records, args.clients);
        tasks.spawn(async move {
            for number in (caller..records).step_by(clients as usize) {
                let path = format!("/v1/queues/nightly/jobs/{number:016x}");
                let status = send(&client, "POST", path, JOB.to_owned()).await?;
                ensure!(status == 202, "job {number} was answered with {status}");
            }
            Ok(())
        });
    }
    for result in tasks.join_all().await {
        result?;
    }
    let millis = u64::try_from(started.elapsed().as_millis())?.max(1);
    Ok(u64::from(args.records) * 1_000 / millis)
}

/// Kills leaders one after the other and measures the time to the next stored change.
async fn failover_times_ms(local: &mut LocalTasks, version: &mut u64) -> Result<Histogram<u64>> {
    let mut times = Histogram::<u64>::new(3)?;
    for _ in 0..KILLED_LEADERS {
        let leader = local.leader().context("no host is the leader")?;
        local.kill_control(leader).await;
        let started = Instant::now();
        store_next_configuration(local, version).await?;
        times.record(u64::try_from(started.elapsed().as_millis())?)?;
        local.start_control(leader, false).await?;
        store_next_configuration(local, version).await?;
    }
    Ok(times)
}

/// Restarts a host that is not the leader; returns the restart time in milliseconds and the bytes
/// that the host has stored.
async fn restart_follower(local: &mut LocalTasks, folder: &Path) -> Result<(u128, u64)> {
    let leader = local.leader().context("no host is the leader")?;
    let host = u8::from(leader == 0);
    local.kill_control(host).await;
    let started = Instant::now();
    local.start_control(host, false).await?;
    let restart_ms = started.elapsed().as_millis();
    let mut bytes = 0;
    for entry in std::fs::read_dir(folder.join(format!("control-{host}")))? {
        bytes += entry?.metadata()?.len();
    }
    Ok((restart_ms, bytes))
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
