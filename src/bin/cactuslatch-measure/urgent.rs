//! `urgent`: time until a guaranteed job starts while borrowers use every accelerator.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use cactuslatch::config::{Limits, Timeouts};
use cactuslatch::local::{
    Client, LocalCluster, LocalDataCentre, LocalSettings, SERVICE, TEAM_SECRET,
};
use eyre::{ContextCompat, Result, ensure};
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::site::wait_until;

/// Stand-ins with 8 accelerators each; the guaranteed block covers all of them.
const UPSTREAMS: u8 = 2;
/// Accelerators of the guaranteed block.
const BLOCK_ACCELERATORS: u32 = 16;
/// Accelerators of one borrower.
const BORROWER_ACCELERATORS: u32 = 4;
const BORROWERS: u32 = BLOCK_ACCELERATORS / BORROWER_ACCELERATORS;
/// Run time of all jobs, so long that none ends by itself.
const JOB_RUN_MS: u64 = 86_400_000;
/// Longest allowed time until the last member of a guaranteed job starts.
const TARGET_MS: u64 = 1_700;
/// Organisation whose guaranteed block is lent.
const LENDING_ORGANISATION: &str = "varna";
/// Organisation without a guarantee, whose jobs borrow the block.
const BORROWING_ORGANISATION: &str = "plovdiv";

/// Arguments of the command.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    repeat: u32,
    json: bool,
}

#[derive(Debug, Serialize)]
struct Row {
    borrowers: &'static str,
    repeat: u32,
    p50_ms: u64,
    p99_ms: u64,
    max_ms: u64,
    target_ms: u64,
}

/// Returns the parser of the command.
pub(crate) fn args() -> impl Parser<Args> {
    let repeat = long("repeat").help("Starts of each kind [20]").argument("N").fallback(20);
    let json = long("json").help("Print one JSON object a line").switch();
    construct!(Args { repeat, json })
        .to_options()
        .descr(
            "Measures the time from the submission of a guaranteed job to the start of its last \
             member. Control, entry hosts and stand-ins run in this process.",
        )
        .command("urgent")
}

/// Measures with borrowers that can be checkpointed and with ones that can be stopped.
///
/// Prints a line for each and returns failure if a start took longer than [`TARGET_MS`].
pub(crate) fn run(args: &Args) -> Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new()?;
    let mut in_time = true;
    for stop_capability in ["can_checkpoint", "can_stop"] {
        let row = runtime.block_on(measure(stop_capability, args.repeat))?;
        in_time &= row.max_ms <= TARGET_MS;
        if args.json {
            println!("{}", serde_json::to_string(&row)?);
        } else {
            println!(
                "{}: p50 {} ms, p99 {} ms, max {} ms, {} starts",
                row.borrowers, row.p50_ms, row.p99_ms, row.max_ms, row.repeat
            );
        }
    }
    Ok(if in_time { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn measure(stop_capability: &'static str, repeat: u32) -> Result<Row> {
    ensure!(repeat > 0, "--repeat has to be at least 1");
    let folder = tempfile::tempdir()?;
    let cluster = LocalCluster::start(LocalSettings {
        data_centres: vec![LocalDataCentre {
            name: "north".parse()?,
            entry_hosts: 2,
            upstreams: UPSTREAMS,
        }],
        folder: folder.path().to_owned(),
        timeouts: Timeouts { balancer_notice_ms: 1_000, ..Timeouts::default() },
        limits: Limits::default(),
    })
    .await?;
    cluster.wait_for_lending().await;
    let client = cluster.client(0, 0);
    let start_times_ms =
        tokio::task::block_in_place(|| start_times_ms(&cluster, &client, stop_capability, repeat));
    cluster.stop().await;
    let start_times_ms = start_times_ms?;
    Ok(Row {
        borrowers: stop_capability,
        repeat,
        p50_ms: start_times_ms.value_at_quantile(0.5),
        p99_ms: start_times_ms.value_at_quantile(0.99),
        max_ms: start_times_ms.max(),
        target_ms: TARGET_MS,
    })
}

/// Keeps borrowers on every accelerator and measures the starts of guaranteed jobs, in milliseconds.
fn start_times_ms(
    cluster: &LocalCluster,
    client: &Client,
    stop_capability: &str,
    repeat: u32,
) -> Result<Histogram<u64>> {
    put_document(client)?;
    for number in 0..BORROWERS {
        let mut borrower =
            job(&borrower_name(number), BORROWING_ORGANISATION, BORROWER_ACCELERATORS);
        borrower[stop_capability] = json!(true);
        submit(client, &borrower)?;
    }
    let mut times_ms = Histogram::new(3)?;
    for number in 0..repeat {
        for borrower in 0..BORROWERS {
            wait_for_state(client, &borrower_name(borrower), "running")?;
        }
        times_ms.record(measure_start_ms(
            cluster,
            client,
            &dated_name(&format!("urgent-{number}")),
        )?)?;
    }
    Ok(times_ms)
}

/// Returns the time until the last member of a guaranteed job starts, and cancels the job.
fn measure_start_ms(cluster: &LocalCluster, client: &Client, id: &str) -> Result<u64> {
    let mut guaranteed = job(id, LENDING_ORGANISATION, BLOCK_ACCELERATORS);
    guaranteed["guaranteed"] = json!(true);
    let sent = Instant::now();
    submit(client, &guaranteed)?;
    wait_until("start guaranteed work", || {
        member_starts(cluster, id).len() == usize::from(UPSTREAMS)
    })?;
    let last_start =
        member_starts(cluster, id).into_iter().max().wrap_err("no member has started")?;
    client.send("DELETE", &format!("/v1/jobs/{id}"), &[], "")?;
    wait_for_state(client, id, "ended")?;
    Ok(u64::try_from((last_start - sent).as_millis())?)
}

fn member_starts(cluster: &LocalCluster, id: &str) -> Vec<Instant> {
    let standins = (0..UPSTREAMS).filter_map(|number| cluster.standin(0, number));
    let runs = standins.flat_map(cactuslatch::standin::RunningStandin::gang_runs);
    runs.filter(|run| run.job.as_str() == id).map(|run| run.from).collect()
}

fn dated_name(id: &str) -> String {
    format!("{}-{id}", cactuslatch::today_utc())
}

fn borrower_name(number: u32) -> String {
    dated_name(&format!("borrower-{number}"))
}

fn job(name: &str, organisation: &str, accelerators: u32) -> Value {
    json!({
        "name": name,
        "organisation": organisation,
        "service": SERVICE,
        "accelerators": accelerators,
        "run_ms": JOB_RUN_MS,
    })
}

fn submit(client: &Client, job: &Value) -> Result<()> {
    let reply = client.send("POST", "/v1/jobs", &[], &job.to_string())?;
    ensure!(reply.status == 202, "the job was refused: {}", reply.body);
    Ok(())
}

/// Waits until a job is in this state or, once placed, in this stage.
fn wait_for_state(client: &Client, id: &str, state: &str) -> Result<()> {
    let path = format!("/v1/jobs/{id}/explain");
    wait_until(state, || {
        let reply = client.get(&path);
        reply.is_ok_and(|reply| reply.body["state"] == state || reply.body["stage"] == state)
    })
}

fn put_document(client: &Client) -> Result<()> {
    let organisation = |name: &str, blocks: &str| {
        format!(
            "  - name: {name}\n    concurrency_max: 500\n    requests_per_s: 5000\n    \
             guaranteed_blocks: [{blocks}]\n"
        )
    };
    let text = format!(
        "kind: service\nservice: {SERVICE}\norganisations:\n{}{}completion_weight: 1.0\n\
         fragmentation_weight: 0.2\n",
        organisation(BORROWING_ORGANISATION, ""),
        organisation(LENDING_ORGANISATION, &BLOCK_ACCELERATORS.to_string()),
    );
    let authorization = format!("Bearer {TEAM_SECRET}");
    let headers = [("Authorization", authorization.as_str())];
    let body = json!({ "base_version": 0, "operation": "urgent", "body_yaml": text }).to_string();
    wait_until("accept the document", || {
        let reply = client.send("PUT", &format!("/v1/documents/{SERVICE}"), &headers, &body);
        reply.is_ok_and(|reply| reply.status == 200)
    })?;
    // A host refuses jobs of an organisation until the document has reached it.
    std::thread::sleep(Duration::from_secs(1));
    Ok(())
}
