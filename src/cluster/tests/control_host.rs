//! A control host alone in its cluster.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;

use super::fake_worker::FakeUpstreams;
use crate::cluster::{ClusterSettings, Control, Reply, Request, TaskBounds, UpstreamCalls};
use crate::tasks::tests::sample::{configuration, heartbeat};

/// Longest time that a test waits for something.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Bounds of the host in most tests.
pub(in crate::cluster) const BOUNDS: TaskBounds = TaskBounds {
    lease_max_ms: 4_000,
    stop_timeout_ms: 200,
    remote_factor: 3,
    order_lease_ms: 3_000,
    maintenance_ms: 2_000,
    keep_state_ms: 60_000,
    memory_mb: 256,
};

/// A control host that leads a cluster of its own, with registered upstreams.
pub(in crate::cluster) struct TestControl {
    pub(in crate::cluster) control: Arc<Control>,
    _folder: tempfile::TempDir,
}

impl TestControl {
    /// Starts the host and registers upstreams under the sample's names.
    pub(in crate::cluster) async fn start(
        fake: &FakeUpstreams,
        upstreams: u32,
        lease_max_ms: u64,
    ) -> Self {
        Self::start_with(fake, upstreams, TaskBounds { lease_max_ms, ..BOUNDS }).await
    }

    /// Starts the host with other bounds.
    pub(super) async fn start_with(
        fake: &FakeUpstreams,
        upstreams: u32,
        bounds: TaskBounds,
    ) -> Self {
        Self::start_with_calls(fake.calls(), upstreams, bounds).await
    }

    /// Starts the host with other functions that send orders.
    pub(in crate::cluster) async fn start_with_calls(
        calls: UpstreamCalls,
        upstreams: u32,
        bounds: TaskBounds,
    ) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let settings = settings(folder.path(), bounds).await;
        let control = Control::start(settings, calls).await.unwrap();
        let test = Self { control, _folder: folder };
        let set = Request::SetConfiguration {
            configuration: Arc::new(configuration(1)),
            raw: "version 1".into(),
        };
        test.call_until_answered(set).await;
        for host in 0..upstreams {
            test.call_until_answered(Request::Heartbeat(heartbeat(host))).await;
        }
        test
    }

    /// Registers each upstream that has crashed again once it is back, as another incarnation.
    pub(super) fn restart_crashed(&self, fake: &FakeUpstreams) -> JoinHandle<()> {
        let (control, fake) = (Arc::clone(&self.control), fake.clone());
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(10)).await;
                let Some(heartbeat) = fake.bring_back_due() else { continue };
                let (control, request) = (Arc::clone(&control), Request::Heartbeat(heartbeat));
                tokio::spawn(async move {
                    control.call(request, Duration::from_secs(2)).await.expect("the host leads");
                });
            }
        })
    }

    /// Repeats a request until the leader answers it.
    pub(in crate::cluster) async fn call_until_answered(&self, request: Request) -> Reply {
        let begun = Instant::now();
        loop {
            match self.control.call(request.clone(), Duration::from_secs(2)).await {
                Ok(reply) => return reply,
                Err(fault) => assert!(begun.elapsed() < TIMEOUT, "{fault}"),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Returns an address that nobody listens at.
pub(super) async fn free_address() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

async fn settings(folder: &Path, bounds: TaskBounds) -> ClusterSettings {
    let internal_address = free_address().await;
    ClusterSettings {
        host: "control".to_owned(),
        internal_address,
        seeds: vec![internal_address],
        founding: true,
        data_dir: folder.to_owned(),
        losses_max: 1,
        bounds,
        data_centres: [Arc::from("other-dc")].into(),
        learned_run_times: false,
        learned_places: true,
        weighs_stops: true,
    }
}

/// Waits until a check holds.
pub(in crate::cluster) async fn wait_until(what: &str, check: impl Fn() -> bool) {
    let begun = Instant::now();
    while !check() {
        assert!(begun.elapsed() < TIMEOUT, "not seen within {TIMEOUT:?}: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
