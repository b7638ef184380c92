//! The replicated control on loopback: commits, a new leader, recovery, bytes at rest.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use cactuslatch::local::{Client, LocalTasks, QUEUE_KEY};
use eyre::{ContextCompat, Result, WrapErr, ensure};
use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::task::{JoinSet, spawn_blocking};
use tokio::time::Instant;

/// Time for the hosts to elect a leader and take a configuration.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Pause before a call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Leaders that are killed, one after the other.
const KILLS: u32 = 5;

/// Writes of the measurement of the disk.
const SYNCS: u32 = 100;

const QUEUES: &str = include_str!("../../../examples/steps/queues.yaml");

/// A job that needs all accelerators of a stand-in for long, so that the ones behind it only wait.
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
    configure_until_stored(&local, &mut version).await?;
    let leader = local.leader().context("no host leads")?;
    let at_leader = Client::new(local.control_addresses()[usize::from(leader)]);
    let latency = commit_latency(&at_leader, &mut version, args.records.min(300)).await?;
    let records_per_s = records_per_s(&at_leader, args).await?;
    let leaders = new_leaders(&mut local, &mut version).await?;
    let (restart_ms, bytes_at_rest) = restart(&mut local, folder.path()).await?;
    Ok(Row {
        hosts: args.hosts,
        sync_p50_us,
        commit_p50_us: latency.value_at_quantile(0.5),
        commit_p99_us: latency.value_at_quantile(0.99),
        clients: args.clients,
        records_per_s,
        new_leader_p50_ms: leaders.value_at_quantile(0.5),
        new_leader_max_ms: leaders.max(),
        log_records: args.records,
        restart_ms,
        bytes_at_rest,
    })
}

/// Measures how long a write of 4 KiB and its sync take.
fn sync_p50_us(folder: &Path) -> Result<u64> {
    let mut file = File::create(folder.join("sync"))?;
    let mut times = Histogram::<u64>::new(3)?;
    for _ in 0..SYNCS {
        let begun = Instant::now();
        file.write_all(&[0; 4096])?;
        file.sync_data()?;
        times.record(micros(begun.elapsed()))?;
    }
    Ok(times.value_at_quantile(0.5))
}

async fn send(client: &Client, method: &'static str, path: String, body: String) -> Result<u16> {
    let client = client.clone();
    let sending = spawn_blocking(move || {
        let bearer = format!("Bearer {QUEUE_KEY}");
        client.send(method, &path, &[("Authorization", bearer.as_str())], &body)
    });
    Ok(sending.await?.wrap_err("call control")?.status)
}

async fn configure(client: &Client, version: u64) -> Result<u16> {
    let text = QUEUES.replace("version: 1", &format!("version: {version}"));
    send(client, "PUT", "/v1/configuration".to_owned(), text).await
}

/// Sends the next version until some host has stored it.
async fn configure_until_stored(local: &LocalTasks, version: &mut u64) -> Result<()> {
    *version += 1;
    let client = local.client();
    let begun = Instant::now();
    while !configure(&client, *version).await.is_ok_and(|status| status == 200) {
        ensure!(begun.elapsed() < START_LIMIT, "no host stores a configuration");
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    Ok(())
}

/// Measures single changes, one after the other, at the leader.
async fn commit_latency(client: &Client, version: &mut u64, count: u32) -> Result<Histogram<u64>> {
    let mut times = Histogram::<u64>::new(3)?;
    for _ in 0..count {
        *version += 1;
        let begun = Instant::now();
        ensure!(configure(client, *version).await? == 200, "the configuration was not stored");
        times.record(micros(begun.elapsed()))?;
    }
    Ok(times)
}

/// Measures how many jobs a second are stored when many callers submit at the same time.
async fn records_per_s(client: &Client, args: &Args) -> Result<u64> {
    let mut tasks = JoinSet::new();
    let begun = Instant::now();
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
    for done in tasks.join_all().await {
        done?;
    }
    let millis = u64::try_from(begun.elapsed().as_millis())?.max(1);
    Ok(u64::from(args.records) * 1_000 / millis)
}

/// Kills leaders one after the other and measures the time to the next stored change.
async fn new_leaders(local: &mut LocalTasks, version: &mut u64) -> Result<Histogram<u64>> {
    let mut times = Histogram::<u64>::new(3)?;
    for _ in 0..KILLS {
        let leader = local.leader().context("no host leads")?;
        local.kill_control(leader).await;
        let begun = Instant::now();
        configure_until_stored(local, version).await?;
        times.record(u64::try_from(begun.elapsed().as_millis())?)?;
        local.start_control(leader, false).await?;
        configure_until_stored(local, version).await?;
    }
    Ok(times)
}

/// Restarts a host that does not lead; returns the time to read its disk, and its size.
async fn restart(local: &mut LocalTasks, folder: &Path) -> Result<(u128, u64)> {
    let leader = local.leader().context("no host leads")?;
    let host = u8::from(leader == 0);
    local.kill_control(host).await;
    let begun = Instant::now();
    local.start_control(host, false).await?;
    let restart_ms = begun.elapsed().as_millis();
    let mut bytes = 0;
    for entry in std::fs::read_dir(folder.join(format!("control-{host}")))? {
        bytes += entry?.metadata()?.len();
    }
    Ok((restart_ms, bytes))
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
