//! A host of the replicated control with its own listener.

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

/// Time for calls in flight when the host stops.
const DRAIN: Duration = Duration::from_secs(2);

/// Time for the tasks of a host to end.
const END_LIMIT: Duration = Duration::from_secs(5);

/// Limits of the listener.
const LIMITS: ServerLimits = ServerLimits {
    head_timeout: Duration::from_mins(1),
    body_timeout: Duration::from_secs(5),
    body_limit_bytes: 4 * 1024 * 1024,
    all_bodies_limit_bytes: 64 * 1024 * 1024,
    max_connections: 2_000,
};

/// A running host. It has a runtime of its own, so that its end leaves nothing behind.
#[derive(Debug)]
pub struct RunningControl {
    control: Arc<Control>,
    address: SocketAddr,
    stop: watch::Sender<bool>,
    serving: JoinHandle<()>,
    runtime: OwnRuntime,
}

/// A runtime that ends without waiting, so that it may be dropped within another one.
#[derive(Debug)]
struct OwnRuntime(Option<Runtime>);

impl OwnRuntime {
    /// Ends all tasks and waits until they have let go of their files and addresses.
    async fn end(mut self) {
        let Some(runtime) = self.0.take() else { return };
        let ending = spawn_blocking(move || runtime.shutdown_timeout(END_LIMIT));
        if let Err(error) = ending.await {
            warn!(%error, "the runtime of a control host did not end in order");
        }
    }
}

impl Drop for OwnRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

impl RunningControl {
    /// Reads the disk, opens the listeners and takes part from now on.
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
        let (cluster, listening) = (settings.cluster(), failed("open the listener"));
        let (stop, stopped) = watch::channel(false);
        let starting = runtime.spawn(async move {
            let listener = TcpListener::bind(address).await.map_err(listening)?;
            let control = Control::start(cluster, orders::calls()).await?;
            let handling = Arc::clone(&control);
            let handler =
                move |received: FullRequest| http::handle(Arc::clone(&handling), received);
            let serving = tokio::spawn(serve(listener, LIMITS, stopped, handler));
            Ok::<_, StepError>((control, serving))
        });
        let started = starting.await.map_err(|error| StepError::new("start", "host", error));
        let own = OwnRuntime(Some(runtime));
        let (control, serving) = started.and_then(|started| started)?;
        Ok(Self { control, address, stop, serving, runtime: own })
    }

    /// Returns the address for callers, operators and upstreams.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells whether this host leads.
    #[must_use]
    pub fn is_leading(&self) -> bool {
        self.control.is_leading()
    }

    /// Hands leadership over, finishes the calls in flight and ends.
    pub async fn stop(self) {
        info!(leads = self.control.is_leading(), "control host stops");
        self.control.hand_over().await;
        self.stop.send_replace(true);
        let finished = tokio::time::timeout(DRAIN, self.serving).await.is_ok();
        drop(self.control);
        self.runtime.end().await;
        info!(finished, "control host has stopped");
    }

    /// Ends at once, as a killed process does.
    pub async fn kill(self) {
        let Self { control, runtime, .. } = self;
        drop(control);
        runtime.end().await;
    }
}
