//! Jobs of steps through the project's own interface, under failures.

use std::time::{Duration, Instant};

use cactuslatch::local::{EXAMPLE_API_KEY, LocalTasks, Reply};
use tempfile::TempDir;

const QUEUES: &str = include_str!("../examples/steps/queues.yaml");
const JOB: &str = include_str!("../examples/steps/job.yaml");

/// Time for a change to be seen; an election, a lease and the work fit in several times over.
const LIMIT: Duration = Duration::from_secs(20);

struct Site {
    _folder: TempDir,
    local: LocalTasks,
}

fn path(number: u64) -> String {
    format!("/v1/queues/nightly/jobs/{number:016x}")
}

impl Site {
    async fn start(standins: u8) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let local = LocalTasks::start(folder.path(), 3, standins).await.unwrap();
        let site = Self { _folder: folder, local };
        site.until("the configuration is stored", async || {
            site.call("PUT", "/v1/configuration", QUEUES).await.status == 200
        })
        .await;
        site
    }

    /// Calls the first control host that runs; status 0 stands for no answer.
    async fn call(&self, method: &'static str, path: &str, body: &str) -> Reply {
        let client = self.local.client();
        let (path, body) = (path.to_owned(), body.to_owned());
        let bearer = format!("Bearer {EXAMPLE_API_KEY}");
        let sending = tokio::task::spawn_blocking(move || {
            client.send(method, &path, &[("Authorization", bearer.as_str())], &body)
        });
        let none = Reply { status: 0, body: serde_json::Value::Null };
        sending.await.unwrap().unwrap_or(none)
    }

    async fn until(&self, what: &str, mut check: impl AsyncFnMut() -> bool) {
        let begun = Instant::now();
        while !check().await {
            assert!(begun.elapsed() < LIMIT, "not seen within {LIMIT:?}: {what}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn submit(&self, number: u64, body: &str) {
        self.until("the job is accepted", async || {
            self.call("POST", &path(number), body).await.status == 202
        })
        .await;
    }

    async fn state(&self, number: u64) -> String {
        let reply = self.call("GET", &path(number), "").await;
        reply.body["state"].as_str().unwrap_or_default().to_owned()
    }

    async fn reaches(&self, number: u64, state: &str) {
        self.until(state, async || self.state(number).await == state).await;
    }
}

/// Guards against an interface that does not reach the scheduler: steps in order, gang together.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_of_steps_is_completed_once() {
    let site = Site::start(2).await;
    site.submit(1, JOB).await;
    site.submit(1, JOB).await;
    site.reaches(1, "completed").await;
    assert_eq!(site.local.started(), 6, "four tasks and a gang of two");
    assert_eq!(site.call("GET", &path(2), "").await.status, 404);
    assert_eq!(site.call("POST", &path(3), "steps: []").await.status, 422);
    site.local.stop().await;
}

/// Guards against acknowledged jobs that end with the host that accepted them.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_leader_loses_nothing() {
    let mut site = Site::start(2).await;
    let long = JOB.replace("300}", "1500}");
    site.submit(1, &long).await;
    let leader = site.local.leader().expect("one host leads");
    site.local.kill_control(leader).await;
    site.reaches(1, "completed").await;
    assert_eq!(site.local.started(), 6, "work went on under its leases");
    site.local.start_control(leader, false).await.unwrap();
    site.submit(2, JOB).await;
    site.reaches(2, "completed").await;
    site.local.stop().await;
}

/// Guards against work that ends with its upstream, and against a second run of what is done.
#[tokio::test(flavor = "multi_thread")]
async fn work_of_a_lost_upstream_starts_elsewhere() {
    let mut site = Site::start(2).await;
    let single = "{payload: '{\"work_ms\": 700}', steps: [{tasks: 4, need: {accelerators: 3}}]}";
    site.submit(1, single).await;
    site.until("all tasks have started", async || site.local.started() == 4).await;
    site.local.kill_standin(0);
    site.reaches(1, "completed").await;
    assert_eq!(site.local.started(), 4, "the two that were left, and the two that were lost");
    site.local.stop().await;
}

/// Guards against tasks that go on for a job that nobody wants any more.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_job_stops() {
    let site = Site::start(1).await;
    site.submit(1, &JOB.replace("300}", "60000}")).await;
    site.reaches(1, "active").await;
    assert_eq!(site.call("DELETE", &path(1), "").await.status, 200);
    site.reaches(1, "cancelled").await;
    site.submit(2, JOB).await;
    site.reaches(2, "completed").await;
    site.local.stop().await;
}
