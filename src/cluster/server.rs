//! RPC server for the other hosts of the system.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::task::JoinSet;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Response, Status};

use super::codec;
use super::control::Control;
use super::leader_client::MESSAGE_LIMIT_BYTES;
use crate::StepError;
use crate::rpc;
use crate::rpc::cluster_server::{Cluster, ClusterServer};

/// Interval and timeout of keep-alive pings.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

struct Handler {
    control: Arc<Control>,
    /// Runtime on which requests to the leader are handled.
    runtime: Handle,
}

#[tonic::async_trait]
impl Cluster for Handler {
    async fn step(
        &self,
        request: tonic::Request<rpc::Frame>,
    ) -> Result<Response<rpc::Frame>, Status> {
        let batch = codec::decode_message(&request.get_ref().payload)
            .map_err(|fault| Status::invalid_argument(fault.to_string()))?;
        self.control.receive(batch);
        Ok(Response::new(rpc::Frame::default()))
    }

    async fn call(
        &self,
        request: tonic::Request<rpc::Frame>,
    ) -> Result<Response<rpc::Frame>, Status> {
        let request = codec::decode_message(&request.get_ref().payload)
            .map_err(|fault| Status::invalid_argument(fault.to_string()))?;
        let control = Arc::clone(&self.control);
        // Dropping the set ends the work for a caller that has given up.
        let mut handling = JoinSet::new();
        handling.spawn_on(async move { control.handle(request).await }, &self.runtime);
        let Some(Ok(reply)) = handling.join_next().await else {
            return Err(Status::unavailable("the host is stopping"));
        };
        Ok(Response::new(rpc::Frame { payload: codec::encode_message(&reply) }))
    }
}

/// Serves other hosts until the process ends. Messages of the log are handled on the current runtime,
/// requests to the leader on `runtime`.
pub(super) async fn serve(control: Arc<Control>, runtime: Handle, listener: TcpListener) {
    let address = listener.local_addr().ok();
    let service = ClusterServer::new(Handler { control, runtime })
        .max_decoding_message_size(MESSAGE_LIMIT_BYTES);
    let served = tonic::transport::Server::builder()
        .tcp_nodelay(true)
        .http2_keepalive_interval(Some(KEEP_ALIVE))
        .http2_keepalive_timeout(Some(KEEP_ALIVE))
        .add_service(service)
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await;
    if let Err(fault) = served {
        tracing::error!(address = ?address, error = %fault, "the RPC server has stopped");
    }
}

/// Opens the listener for other hosts.
pub(super) async fn listen(address: SocketAddr) -> Result<TcpListener, StepError> {
    TcpListener::bind(address)
        .await
        .map_err(|fault| StepError::new("listen for other hosts", address, fault))
}
