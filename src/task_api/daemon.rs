//! A control host that runs in this process, with its HTTP listener.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_blocking};
use tracing::{info, warn};

use super::settings::TaskControlSettings;
use super::{http, orders};
use crate::StepError;
use crate::cluster::Control;
use crate::http::{FullRequest, ServerLimits, serve};

/// Timeout of the requests in flight when the host stops.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of the runtime's shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// Limits of the HTTP listener.
const LIMITS: ServerLimits = ServerLimits {
    head_timeout: Duration::from_mins(1),
    body_timeout: Duration::from_secs(5),
    body_limit_bytes: 4 * 1024 * 1024,
    all_bodies_limit_bytes: 64 * 1024 * 1024,
    max_connections: 2_000,
};

/// A running control host, with its own runtime so that stopping it ends all its tasks.
#[derive(Debug)]
pub struct RunningControl {
    control: Arc<Control>,
    address: SocketAddr,
    stop: watch::Sender<bool>,
    serving: JoinHandle<()>,
    runtime: BackgroundRuntime,
}

/// A runtime that shuts down in the background on drop.
///
/// Dropping a plain [`Runtime`] blocks, which panics within another runtime.
#[derive(Debug)]
struct BackgroundRuntime(Option<Runtime>);

impl BackgroundRuntime {
    /// Ends all tasks and waits until their files and sockets are closed.
    async fn shut_down(mut self) {
        let Some(runtime) = self.0.take() else { return };
        let shutdown = spawn_blocking(move || runtime.shutdown_timeout(SHUTDOWN_TIMEOUT));
        if let Err(error) = shutdown.await {
            warn!(%error, "the shutdown of a control host's runtime failed");
        }
    }
}

impl Drop for BackgroundRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

impl RunningControl {
    /// Recovers the state from disk, opens the listeners and joins the cluster.
    ///
    /// # Errors
    /// Returns an error if the disk cannot be read or an address is in use.
    pub async fn start(settings: TaskControlSettings) -> Result<Self, StepError> {
        let failed = |step: &'static str| {
            let host = settings.host.to_string();
            move |error: std::io::Error| StepError::new(step, host, error)
        };
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .map_err(failed("start the runtime"))?;
        let address = settings.address;
        let (cluster, bind_failed) = (settings.cluster_settings(), failed("open the listener"));
        let (stop, stopped) = watch::channel(false);
        let starting = runtime.spawn(async move {
            let listener = TcpListener::bind(address).await.map_err(bind_failed)?;
            let control = Control::start(cluster, orders::upstream_calls()).await?;
            let shared = Arc::clone(&control);
            let handler = move |received: FullRequest| http::handle(Arc::clone(&shared), received);
            let serving = tokio::spawn(serve(listener, LIMITS, stopped, handler));
            Ok::<_, StepError>((control, serving))
        });
        let started = starting.await.map_err(|error| StepError::new("start", "host", error));
        let runtime = BackgroundRuntime(Some(runtime));
        let (control, serving) = started.and_then(|started| started)?;
        Ok(Self { control, address, stop, serving, runtime })
    }

    /// Returns the address of the listener for callers, operators and upstreams.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether this host leads.
    #[must_use]
    pub fn is_leading(&self) -> bool {
        self.control.is_leading()
    }

    /// Hands leadership over, leaves the quorum, finishes the requests in flight and stops.
    pub async fn stop(self) {
        info!(leads = self.control.is_leading(), "control host stops");
        self.control.leave().await;
        self.stop.send_replace(true);
        let finished = tokio::time::timeout(DRAIN_TIMEOUT, self.serving).await.is_ok();
        drop(self.control);
        self.runtime.shut_down().await;
        info!(finished, "control host has stopped");
    }

    /// Stops at once, as if the process were killed.
    pub async fn kill(self) {
        let Self { control, runtime, .. } = self;
        drop(control);
        runtime.shut_down().await;
    }
}
