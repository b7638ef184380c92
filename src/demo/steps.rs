//! The steps of the demo.

use std::time::Duration;

use tokio::task::{JoinSet, spawn_blocking};

use super::{Report, wait_until};
use crate::error::StepError;
use crate::local::{Client, LocalCluster, Reply, SERVICE, TEAM_SECRET};

/// Time within which an accepted document must be in force on every entry host.
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for the processes to find each other after a start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for the demo's gang job to run.
const JOB_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of requests in a step that sends many.
const REQUESTS: usize = 40;
/// Number of requests that are in flight when an entry host is drained.
const DRAIN_REQUESTS: usize = 16;

const DOCUMENT: &str = include_str!("../../examples/settings/demo.yaml");

const RUN_PATH: &str = "/v1/services/plan/requests";

/// Sends a call on a thread for blocking work.
pub(super) async fn call(
    client: &Client,
    method: &'static str,
    path: String,
    headers: &[(&str, &str)],
    body: String,
) -> Result<Reply, StepError> {
    let client = client.clone();
    let headers: Vec<(String, String)> =
        headers.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect();
    let sending = spawn_blocking(move || {
        let headers: Vec<(&str, &str)> =
            headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
        client.send(method, &path, &headers, &body)
    });
    sending.await.map_err(|error| StepError::new("call entry host", "demo", error))?
}

async fn get(client: &Client, path: &str) -> Result<Reply, StepError> {
    call(client, "GET", path.to_owned(), &[], String::new()).await
}

/// Returns an error with the reply unless `holds`.
fn ensure(step: &'static str, reply: &Reply, holds: bool) -> Result<(), StepError> {
    if holds {
        return Ok(());
    }
    let detail = format!("unexpected answer {} {}", reply.status, reply.body);
    Err(StepError::new(step, "demo", detail))
}

/// Puts a document that is based on `version`.
async fn put(
    client: &Client,
    version: u64,
    operation: &str,
    body: String,
) -> Result<Reply, StepError> {
    let bearer = format!("Bearer {TEAM_SECRET}");
    let headers = [("Authorization", bearer.as_str())];
    let body = serde_json::json!({
        "base_version": version,
        "operation": operation,
        "body_yaml": body,
    });
    call(client, "PUT", format!("/v1/documents/{SERVICE}"), &headers, body.to_string()).await
}

/// Waits until the document's version is in force on every entry host.
async fn wait_in_force(
    step: &'static str,
    cluster: &LocalCluster,
    version: u64,
) -> Result<Duration, StepError> {
    wait_until(step, DOCUMENT_TIMEOUT, async || {
        for host in 0..super::ENTRY_HOSTS {
            let reply = get(&cluster.client(0, host), "/v1/documents/plan").await;
            if !reply.is_ok_and(|reply| reply.body["in_force_version"] == version) {
                return false;
            }
        }
        true
    })
    .await
}

pub(super) async fn put_document(cluster: &LocalCluster, report: &Report) -> Result<(), StepError> {
    let client = cluster.client(0, 0);
    wait_until("put document", START_TIMEOUT, async || {
        let reply = put(&client, 0, "demo-1", DOCUMENT.to_owned()).await;
        reply.is_ok_and(|reply| reply.status == 200)
    })
    .await?;
    let took = wait_in_force("put document", cluster, 1).await?;
    let millis = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
    report.record(
        "document_in_force_ms",
        millis,
        &format!("document version 1 in force on all entry hosts after {millis} ms"),
    );
    Ok(())
}

async fn run_request(
    client: &Client,
    headers: &[(&str, &str)],
    work_ms: u64,
) -> Result<Reply, StepError> {
    let mut all = vec![("Cactuslatch-Organisation", "plovdiv")];
    all.extend_from_slice(headers);
    call(client, "POST", RUN_PATH.to_owned(), &all, format!("{{\"work_ms\":{work_ms}}}")).await
}

pub(super) async fn idempotent_requests(
    cluster: &LocalCluster,
    report: &Report,
) -> Result<(), StepError> {
    let client = cluster.client(0, 1);
    wait_until("find upstreams", START_TIMEOUT, async || {
        let reply = run_request(&client, &[("Cactuslatch-Idempotent", "true")], 0).await;
        reply.is_ok_and(|reply| reply.outcome() == "done")
    })
    .await?;
    let mut tasks = JoinSet::new();
    for number in 0..REQUESTS {
        let client = cluster.client(0, u8::from(number % 2 == 1));
        let class = if number % 4 == 0 { "batch" } else { "interactive" };
        tasks.spawn(async move {
            let headers = [("Cactuslatch-Idempotent", "true"), ("Cactuslatch-Class", class)];
            run_request(&client, &headers, 5).await
        });
    }
    for reply in tasks.join_all().await {
        let reply = reply?;
        ensure("idempotent requests", &reply, reply.outcome() == "done")?;
    }
    report.record(
        "requests_done",
        REQUESTS,
        &format!("{REQUESTS} interactive and batch requests done through 2 entry hosts"),
    );
    Ok(())
}

/// Sends a request through both entry hosts and checks that it is started once.
pub(super) async fn request_once(cluster: &LocalCluster, report: &Report) -> Result<(), StepError> {
    let key = format!("north/{}-posting-1", crate::today_utc());
    let headers = [("Idempotency-Key", key.as_str())];
    let first = run_request(&cluster.client(0, 0), &headers, 20).await?;
    ensure("request that runs once", &first, first.outcome() == "done")?;
    let second = run_request(&cluster.client(0, 1), &headers, 20).await?;
    ensure("resend through another host", &second, second.outcome() == "done")?;
    ensure("resend through another host", &second, second.body["answer"] == first.body["answer"])?;
    let key = key.parse().map_err(|error| StepError::new("read key", "demo", Box::new(error)))?;
    let starts: u32 = (0..super::UPSTREAMS)
        .filter_map(|number| cluster.standin(0, number))
        .map(|standin| standin.starts(&key))
        .sum();
    ensure("request that runs once", &second, starts == 1)?;
    report.record(
        "once_starts",
        starts,
        "a request that must run once was sent through both hosts: it ran once, both got its answer",
    );
    Ok(())
}

pub(super) async fn gang_job(cluster: &LocalCluster, report: &Report) -> Result<(), StepError> {
    let client = cluster.client(0, 0);
    let name = format!("{}-demo-gang", crate::today_utc());
    let job = format!(
        r#"{{"name":"{name}","organisation":"plovdiv","service":"plan","accelerators":16,"can_stop":true,"run_ms":300}}"#
    );
    let reply = call(&client, "POST", "/v1/jobs".to_owned(), &[], job).await?;
    ensure("submit gang job", &reply, reply.status == 202)?;
    let took = wait_until("gang job", JOB_TIMEOUT, async || {
        let reply = get(&client, &format!("/v1/jobs/{name}")).await;
        reply.is_ok_and(|reply| reply.body.to_string().to_lowercase().contains("completed"))
    })
    .await?;
    let millis = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
    report.record(
        "gang_ms",
        millis,
        &format!(
            "a gang of 16 adjacent accelerators on 2 upstreams ran whole; it ended {millis} ms after \
             its submission; after a start nothing is lent until the pool is known, 4 s later"
        ),
    );
    Ok(())
}

pub(super) async fn change_document(
    cluster: &LocalCluster,
    report: &Report,
) -> Result<(), StepError> {
    let client = cluster.client(0, 1);
    let changed = DOCUMENT.replace("concurrency_max: 20\n", "concurrency_max: 40\n");
    let reply = put(&client, 1, "demo-2", changed.clone()).await?;
    ensure("change document", &reply, reply.status == 200)?;
    let took = wait_in_force("change document", cluster, 2).await?;
    let loser = put(&cluster.client(0, 0), 1, "demo-3", changed).await?;
    ensure("racing operator", &loser, loser.status == 409)?;
    let millis = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
    report.record(
        "change_in_force_ms",
        millis,
        &format!("a change was in force everywhere after {millis} ms; a racing one was refused"),
    );
    Ok(())
}

pub(super) async fn leaving_upstream(
    cluster: &mut LocalCluster,
    report: &Report,
) -> Result<(), StepError> {
    cluster.leave(0, 0).await;
    let client = cluster.client(0, 1);
    for _ in 0..REQUESTS {
        let reply = run_request(&client, &[("Cactuslatch-Idempotent", "true")], 0).await?;
        let avoided = reply.body["answer"]["upstream"] != "north-worker-0";
        ensure("leaving upstream", &reply, reply.outcome() == "done" && avoided)?;
    }
    report.record("left_upstream_used", false, "an upstream left; nothing more was sent to it");
    Ok(())
}

pub(super) async fn drain_under_load(
    cluster: &mut LocalCluster,
    report: &Report,
) -> Result<(), StepError> {
    cluster.wait_for_lending().await;
    let mut tasks = JoinSet::new();
    for _ in 0..DRAIN_REQUESTS {
        let client = cluster.client(0, 0);
        tasks.spawn(async move {
            run_request(&client, &[("Cactuslatch-Idempotent", "true")], 1_500).await
        });
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    cluster.drain(0, 0).await;
    for reply in tasks.join_all().await {
        let reply = reply?;
        ensure("drain under load", &reply, reply.outcome() == "done")?;
    }
    report.record(
        "drained_requests_done",
        DRAIN_REQUESTS,
        &format!(
            "an entry host was drained with {DRAIN_REQUESTS} requests in flight; all were done"
        ),
    );
    Ok(())
}
