//! Jobs of several steps, submitted over the HTTP API, under failures.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use cactuslatch::local::{EXAMPLE_API_KEY, LocalTasks, Reply};
use tempfile::TempDir;

const QUEUES: &str = include_str!("../examples/steps/queues.yaml");
const JOB: &str = include_str!("../examples/steps/job.yaml");

/// Time limit of each wait; several times the sum of an election, a lease and the tasks' run time.
const TIMEOUT: Duration = Duration::from_secs(20);

struct TestCluster {
    _folder: TempDir,
    local: LocalTasks,
}

fn job_path(number: u64) -> String {
    format!("/v1/queues/nightly/jobs/{number:016x}")
}

impl TestCluster {
    async fn start(standins: u8) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let local = LocalTasks::start(folder.path(), 3, standins).await.unwrap();
        let cluster = Self { _folder: folder, local };
        cluster
            .wait_until("the configuration is stored", async || {
                cluster.call("PUT", "/v1/configuration", QUEUES).await.status == 200
            })
            .await;
        cluster
    }

    /// Calls the first running control host; returns status 0 if it does not answer.
    async fn call(&self, method: &'static str, path: &str, body: &str) -> Reply {
        let client = self.local.client();
        let (path, body) = (path.to_owned(), body.to_owned());
        let bearer = format!("Bearer {EXAMPLE_API_KEY}");
        let sending = tokio::task::spawn_blocking(move || {
            client.send(method, &path, &[("Authorization", bearer.as_str())], &body)
        });
        let no_answer = Reply { status: 0, body: serde_json::Value::Null };
        sending.await.unwrap().unwrap_or(no_answer)
    }

    async fn wait_until(&self, what: &str, mut check: impl AsyncFnMut() -> bool) {
        let started = Instant::now();
        while !check().await {
            assert!(started.elapsed() < TIMEOUT, "not seen within {TIMEOUT:?}: {what}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn submit(&self, number: u64, body: &str) {
        self.wait_until("the job is accepted", async || {
            self.call("POST", &job_path(number), body).await.status == 202
        })
        .await;
    }

    async fn state(&self, number: u64) -> String {
        let reply = self.call("GET", &job_path(number), "").await;
        reply.body["state"].as_str().unwrap_or_default().to_owned()
    }

    async fn wait_for_state(&self, number: u64, state: &str) {
        self.wait_until(state, async || self.state(number).await == state).await;
    }
}

/// A job submitted over the API must run all tasks of its steps, and a repeated submission must
/// not run them again. Invalid jobs and queries for unknown jobs must be refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_of_steps_is_completed_once() {
    let cluster = TestCluster::start(2).await;
    cluster.submit(1, JOB).await;
    cluster.submit(1, JOB).await;
    cluster.wait_for_state(1, "completed").await;
    assert_eq!(cluster.local.started(), 6, "four tasks and a gang of two");
    assert_eq!(cluster.call("GET", &job_path(2), "").await.status, 404);
    assert_eq!(cluster.call("POST", &job_path(3), "steps: []").await.status, 422);
    cluster.local.stop().await;
}

/// An acknowledged job must complete although the control host that accepted it is killed.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_survive_a_killed_leader() {
    let mut cluster = TestCluster::start(2).await;
    let long = JOB.replace("300}", "1500}");
    cluster.submit(1, &long).await;
    let leader = cluster.local.leader().expect("one host leads");
    cluster.local.kill_control(leader).await;
    cluster.wait_for_state(1, "completed").await;
    assert_eq!(cluster.local.started(), 6, "running tasks were not started again");
    cluster.local.start_control(leader, false).await.unwrap();
    cluster.submit(2, JOB).await;
    cluster.wait_for_state(2, "completed").await;
    cluster.local.stop().await;
}

/// Tasks of a lost upstream must run elsewhere, and the tasks of the other must not run again.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_a_lost_upstream_run_elsewhere() {
    let mut cluster = TestCluster::start(2).await;
    let single = "{payload: '{\"work_ms\": 700}', steps: [{tasks: 4, need: {accelerators: 3}}]}";
    cluster.submit(1, single).await;
    cluster.wait_until("all tasks have started", async || cluster.local.started() == 4).await;
    cluster.local.kill_standin(0);
    cluster.wait_for_state(1, "completed").await;
    assert_eq!(
        cluster.local.started(),
        4,
        "two tasks on the remaining upstream and two restarted there"
    );
    cluster.local.stop().await;
}

/// The tasks of a cancelled job must stop and release their accelerators to later jobs.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_job_stops() {
    let cluster = TestCluster::start(1).await;
    cluster.submit(1, &JOB.replace("300}", "60000}")).await;
    cluster.wait_for_state(1, "active").await;
    assert_eq!(cluster.call("DELETE", &job_path(1), "").await.status, 200);
    cluster.wait_for_state(1, "cancelled").await;
    cluster.submit(2, JOB).await;
    cluster.wait_for_state(2, "completed").await;
    cluster.local.stop().await;
}

/// The accelerators of a stopped task must not be given out while it still runs: an upstream answers
/// a stop before it has carried it out.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_task_keeps_its_accelerators() {
    let cluster = TestCluster::start(1).await;
    let job = |work_ms: u32| {
        format!(
            "{{payload: '{{\"work_ms\": {work_ms}}}', \
             steps: [{{tasks: 2, need: {{accelerators: 4}}}}]}}"
        )
    };
    cluster.submit(1, &job(60_000)).await;
    cluster.wait_until("both tasks have started", async || cluster.local.started() == 2).await;
    cluster.submit(2, &job(500)).await;
    assert_eq!(cluster.call("DELETE", &job_path(1), "").await.status, 200);
    cluster.wait_for_state(2, "completed").await;
    assert_eq!(cluster.local.running_peak(0), 2, "the upstream has accelerators for two tasks");
    cluster.local.stop().await;
}

/// A task must not run on two upstreams at once after one of them restarted under its name and
/// address: what was meant for its former life must not be carried out by its new one.
#[tokio::test(flavor = "multi_thread")]
async fn no_task_runs_twice_after_a_restart_under_the_same_name() {
    let mut cluster = TestCluster::start(2).await;
    let short = "{payload: '{\"work_ms\": 400}', steps: [{tasks: 60, need: {accelerators: 2}}]}";
    cluster.submit(1, short).await;
    cluster.wait_until("tasks run", async || cluster.local.started() >= 8).await;
    let mut twice = BTreeSet::new();
    for _ in 0..2 {
        cluster.local.kill_standin(0);
        tokio::time::sleep(Duration::from_millis(50)).await;
        cluster.local.restart_standin(0, Duration::from_millis(300)).await.unwrap();
        let restarted = Instant::now();
        while restarted.elapsed() < Duration::from_millis(1_500) {
            let mut seen = BTreeSet::new();
            let running = cluster.local.running();
            twice.extend(running.into_iter().filter(|task| !seen.insert(task.to_string())));
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    cluster.wait_until("the job has ended", async || cluster.state(1).await != "active").await;
    assert!(twice.is_empty(), "ran on two upstreams at once: {twice:?}");
    assert_eq!(cluster.state(1).await, "completed");
    cluster.local.stop().await;
}

/// Nothing may start in a data centre that is being evacuated, also not by the next leader and after all
/// control hosts were killed, until the evacuation is finished.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_outlasts_all_control_hosts() {
    let mut cluster = TestCluster::start(2).await;
    cluster.submit(1, JOB).await;
    cluster.wait_for_state(1, "completed").await;
    assert_eq!(cluster.call("PUT", "/v1/evacuations/dc-9", "").await.status, 422);
    let evacuation = "/v1/evacuations/dc-0";
    cluster
        .wait_until("the evacuation begins", async || {
            cluster.call("PUT", evacuation, "").await.status == 200
        })
        .await;
    let started = cluster.local.started_on(0);
    for host in 0..3 {
        cluster.local.kill_control(host).await;
    }
    for host in 0..3 {
        cluster.local.start_control(host, false).await.unwrap();
    }
    cluster.submit(2, JOB).await;
    let leader = cluster.local.leader();
    if let Some(leader) = leader {
        cluster.local.kill_control(leader).await;
    }
    cluster.wait_for_state(2, "completed").await;
    let listed = cluster.call("GET", "/v1/evacuations", "").await.body;
    assert_eq!(listed["evacuations"][0]["data_centre"], "dc-0");
    assert_eq!(cluster.local.started_on(0), started, "nothing starts there");
    cluster
        .wait_until("the evacuation is finished", async || {
            cluster.call("DELETE", evacuation, "").await.status == 200
        })
        .await;
    let wide = "{payload: '{\"work_ms\": 300}', steps: [{tasks: 16, need: {accelerators: 1}}]}";
    cluster.submit(3, wide).await;
    cluster.wait_for_state(3, "completed").await;
    assert!(cluster.local.started_on(0) > started, "work returns");
    cluster.local.stop().await;
}
