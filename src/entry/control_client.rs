//! Calls from an entry host to the control process of its data centre.

use std::net::SocketAddr;
use std::time::Duration;

use tonic::Status;
use tonic::transport::{Channel, Endpoint};

use crate::error::StepError;
use crate::rpc;
use crate::rpc::control_client::ControlClient as Client;

/// Time limit of a call, in which control may wait for a sync of its disk.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for opening a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval and time limit of keep-alive pings, which detect dead connections.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Opens a channel that connects on first use and replaces dead connections.
pub(crate) fn channel(address: SocketAddr) -> Channel {
    endpoint(address).connect_lazy()
}

/// Returns the settings of connections to a peer, with keep-alive pings to detect a dead peer.
pub(crate) fn endpoint(address: SocketAddr) -> Endpoint {
    Endpoint::from_shared(format!("http://{address}"))
        .expect("a socket address is a valid authority")
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEP_ALIVE)
        .keep_alive_timeout(KEEP_ALIVE)
        .keep_alive_while_idle(true)
}

/// Client of the control process; clones share one channel.
#[derive(Debug, Clone)]
pub(crate) struct ControlClient {
    address: SocketAddr,
    client: Client<Channel>,
}

macro_rules! calls {
    ($($(#[$doc:meta])* $name:ident($request:ident) -> $reply:ident, $step:literal;)*) => {
        $(
            $(#[$doc])*
            pub(crate) async fn $name(
                &self,
                message: rpc::$request,
            ) -> Result<rpc::$reply, StepError> {
                let mut request = tonic::Request::new(message);
                request.set_timeout(CALL_TIMEOUT);
                let reply = self.client.clone().$name(request).await;
                reply.map(tonic::Response::into_inner).map_err(|status| self.failed($step, status))
            }
        )*
    };
}

impl ControlClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address, client: Client::new(channel(address)) }
    }

    calls! {
        /// Requests a durable intent before a request that is not idempotent is dispatched.
        begin(BeginRequest) -> BeginReply, "record intent";
        /// Reports how a request ended.
        finish(FinishRequest) -> FinishReply, "record outcome";
        /// Reads the record of a request.
        lookup(LookupRequest) -> LookupReply, "look up request";
        /// Allows one re-run of a request whose outcome is unknown.
        sign_off(SignOffRequest) -> SignOffReply, "record sign-off";
        /// Relays announcements, renewals and leaves of upstreams.
        relay(RelayRequest) -> RelayReply, "relay announcements";
        /// Changes a service document.
        put_document(PutDocumentRequest) -> PutDocumentReply, "change document";
        /// Reads a service document and its history.
        get_document(GetDocumentRequest) -> GetDocumentReply, "read document";
        /// Submits a job.
        submit_job(SubmitJobRequest) -> JobReply, "submit job";
        /// Reads the status of a job.
        get_job(JobNameRequest) -> JobReply, "read job";
        /// Cancels a job.
        cancel_job(JobNameRequest) -> JobReply, "cancel job";
        /// Explains why a job waits or was stopped.
        explain_job(JobNameRequest) -> JobReply, "explain job";
    }

    /// Opens the stream on which shares, upstreams and documents arrive.
    pub(crate) async fn watch(
        &self,
        requests: impl tokio_stream::Stream<Item = rpc::WatchRequest> + Send + 'static,
    ) -> Result<tonic::Streaming<rpc::WatchReply>, StepError> {
        let reply = self.client.clone().watch(requests).await;
        let stream = reply.map_err(|status| self.failed("watch control", status))?;
        Ok(stream.into_inner())
    }

    fn failed(&self, step: &'static str, status: Status) -> StepError {
        StepError::new(step, self.address, status)
    }
}
