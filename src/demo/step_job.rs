//! The demo's job of steps, during which the leading control host is killed.

use std::path::Path;
use std::time::Duration;

use super::{Report, steps, wait_until};
use crate::error::StepError;
use crate::local::{EXAMPLE_API_KEY, LocalTasks, Reply};

/// Number of control hosts, of which one may be lost.
const CONTROL_HOSTS: u8 = 3;
/// Number of stand-ins, with eight accelerators each.
const UPSTREAMS: u8 = 2;
/// Time for an election and for the upstreams to register.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for the job to run in spite of the kill.
const JOB_TIMEOUT: Duration = Duration::from_secs(20);

const QUEUES: &str = include_str!("../../examples/steps/queues.yaml");
const JOB: &str = include_str!("../../examples/steps/job.yaml");
const JOB_PATH: &str = "/v1/queues/nightly/jobs/00000000000000a1";

/// Runs a job of steps and kills the leader after the submission.
pub(super) async fn run(folder: &Path, report: &Report) -> Result<(), StepError> {
    let mut local = LocalTasks::start(folder, CONTROL_HOSTS, UPSTREAMS).await?;
    call_until_status(&local, "configure queues", "PUT", "/v1/configuration", QUEUES, 200).await?;
    call_until_status(&local, "submit job of steps", "POST", JOB_PATH, JOB, 202).await?;
    let leader = local.leader();
    if let Some(leader) = leader {
        local.kill_control(leader).await;
    }
    let took = wait_until("job of steps", JOB_TIMEOUT, async || {
        let reply = call(&local, "GET", JOB_PATH, "").await;
        reply.is_ok_and(|reply| reply.body["state"] == "completed")
    })
    .await?;
    let millis = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
    report.record(
        "steps_ms",
        millis,
        &format!(
            "a job of 4 tasks and then a gang of 2 was completed {millis} ms after the leader of \
             {CONTROL_HOSTS} control hosts was killed; {} tasks were started",
            local.started()
        ),
    );
    local.stop().await;
    Ok(())
}

/// Repeats a call until it is answered with `status`; only for calls that may be repeated.
async fn call_until_status(
    local: &LocalTasks,
    step: &'static str,
    method: &'static str,
    path: &str,
    body: &str,
    status: u16,
) -> Result<(), StepError> {
    wait_until(step, START_TIMEOUT, async || {
        call(local, method, path, body).await.is_ok_and(|reply| reply.status == status)
    })
    .await?;
    Ok(())
}

async fn call(
    local: &LocalTasks,
    method: &'static str,
    path: &str,
    body: &str,
) -> Result<Reply, StepError> {
    let bearer = format!("Bearer {EXAMPLE_API_KEY}");
    let headers = [("Authorization", bearer.as_str())];
    steps::call(&local.client(), method, path.to_owned(), &headers, body.to_owned()).await
}
