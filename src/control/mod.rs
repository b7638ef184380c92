//! The control process of one data centre.
//!
//! It keeps at-most-once records of requests, the service documents, the registry of upstreams and
//! the jobs, and divides the capacity of upstreams among entry hosts.

mod admin;
mod clock;
mod core;
mod documents;
mod epoch;
mod event;
mod fence;
mod job_feed;
mod job_log;
mod jobs;
mod metrics;
mod put_document;
mod records;
mod registry;
mod relay;
mod replica;
mod requests;
mod resolver;
mod service;
mod shares;
#[cfg(test)]
mod tests;
mod ticker;
mod watch_stream;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tracing::{info, warn};

use crate::StepError;
use crate::config::{ControlSettings, ServiceDocument};
use crate::http::wait_for_stop;
use crate::rpc::control_server::ControlServer;

use self::core::Core;
use documents::Validate;
use fence::FenceFn;
use jobs::JobsHandle;
use service::ControlRpc;

/// Interval of HTTP/2 keep-alive pings, which detect peers that no longer respond.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Time limit for the acknowledgement of a keep-alive ping.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest RPC message; messages contain the answers of upstreams.
const MESSAGE_LIMIT_BYTES: usize = 32 * 1024 * 1024;

/// Maximum concurrent calls on one connection; an entry host opens one connection.
const MAX_CALLS_PER_CONNECTION: usize = 1024;

/// Time limit for calls in flight to finish at shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the control process until `stop` becomes true.
///
/// # Errors
/// Returns an error if the data folder cannot be used or an address cannot be bound.
pub async fn run(settings: ControlSettings, stop: watch::Receiver<bool>) -> Result<(), StepError> {
    let bound =
        BoundControl::bind(settings, Arc::new(read_document), fence::fence_over_http()).await?;
    bound.serve(stop).await
}

fn read_document(body: &str) -> Result<ServiceDocument, String> {
    ServiceDocument::parse(body).map_err(|faults| faults.to_string())
}

/// A control process that has recovered its state and bound its addresses.
struct BoundControl {
    core: Arc<Core>,
    rpc: TcpListener,
    admin: TcpListener,
}

impl BoundControl {
    async fn bind(
        settings: ControlSettings,
        validate: Arc<Validate>,
        fence: FenceFn,
    ) -> Result<Self, StepError> {
        // The data folder is opened before the addresses are bound: nothing is served without it.
        let core = Core::open(settings, validate, fence)?;
        Self::listen(core).await
    }

    async fn listen(core: Core) -> Result<Self, StepError> {
        let rpc = listen(core.settings.rpc_address).await?;
        let admin = listen(core.settings.admin_address).await?;
        Ok(Self { core: Arc::new(core), rpc, admin })
    }

    async fn serve(self, stop: watch::Receiver<bool>) -> Result<(), StepError> {
        let Self { core, rpc, admin } = self;
        let jobs = job_feed::start(&core)?;
        let mut tasks = JoinSet::new();
        tasks.spawn(admin::run(Arc::clone(&core), admin, stop.clone()));
        tasks.spawn(ticker::run(Arc::clone(&core), jobs.clone(), stop.clone()));
        tasks.spawn(resolver::Resolver::new(Arc::clone(&core)).run(stop.clone()));
        if let Some(writer) = core.settings.document_writer {
            tasks.spawn(replica::run(Arc::clone(&core), writer, stop.clone()));
        }
        info!(host = %core.settings.host, epoch = core.epoch, "control process is serving");
        let result = tokio::select! {
            served = serve_rpc(core, jobs.clone(), rpc, stop) => {
                while tasks.join_next().await.is_some() {}
                served
            }
            fault = wait_for_panic(&mut tasks) => Err(fault),
        };
        // The jobs task keeps the data folder open, and a restart in the same process reopens it.
        jobs.abort();
        result
    }
}

/// Waits until a task panics, after which the state must not be used any more.
async fn wait_for_panic(tasks: &mut JoinSet<()>) -> StepError {
    while let Some(ended) = tasks.join_next().await {
        if let Err(fault) = ended {
            return StepError::new("keep the state", "control", fault);
        }
    }
    std::future::pending().await
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StepError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|fault| StepError::new("listen", address, fault))
}

async fn serve_rpc(
    core: Arc<Core>,
    jobs: JobsHandle,
    listener: TcpListener,
    stop: watch::Receiver<bool>,
) -> Result<(), StepError> {
    let address = core.settings.rpc_address;
    let service = ControlServer::new(ControlRpc { core, jobs, stop: stop.clone() })
        .max_decoding_message_size(MESSAGE_LIMIT_BYTES)
        .max_encoding_message_size(MESSAGE_LIMIT_BYTES);
    let (mut until_stop, mut until_limit) = (stop.clone(), stop);
    let server = Server::builder()
        .concurrency_limit_per_connection(MAX_CALLS_PER_CONNECTION)
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .serve_with_incoming_shutdown(
            service,
            TcpIncoming::from(listener).with_nodelay(Some(true)),
            async move { wait_for_stop(&mut until_stop).await },
        );
    let limit = async {
        wait_for_stop(&mut until_limit).await;
        tokio::time::sleep(SHUTDOWN_TIMEOUT).await;
    };
    tokio::select! {
        result = server => result.map_err(|fault| StepError::new("serve", address, fault)),
        () = limit => {
            warn!("the time limit for shutdown passed with calls still in flight");
            Ok(())
        }
    }
}
