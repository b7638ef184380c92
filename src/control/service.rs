//! The RPC service of the control process.

use std::sync::Arc;

use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use crate::rpc;
use crate::rpc::control_server::Control;

use super::core::Core;
use super::jobs::{self, JobsHandle};
use super::{job_feed, put_document, relay, requests, watch_stream};

/// Capacity of a stream's reply queue; a slow entry host that lets it fill up loses the stream.
const REPLY_QUEUE_CAPACITY: usize = 4;

type Reply<T> = Result<Response<T>, Status>;

/// Serves the RPCs of one control process.
pub(super) struct ControlRpc {
    pub(super) core: Arc<Core>,
    pub(super) jobs: JobsHandle,
    pub(super) stop: watch::Receiver<bool>,
}

#[tonic::async_trait]
impl Control for ControlRpc {
    type WatchStream = ReceiverStream<Result<rpc::WatchReply, Status>>;

    async fn begin(&self, request: Request<rpc::BeginRequest>) -> Reply<rpc::BeginReply> {
        requests::begin(&self.core, request.into_inner()).await.map(Response::new)
    }

    async fn finish(&self, request: Request<rpc::FinishRequest>) -> Reply<rpc::FinishReply> {
        requests::finish(&self.core, request.into_inner()).await.map(Response::new)
    }

    async fn lookup(&self, request: Request<rpc::LookupRequest>) -> Reply<rpc::LookupReply> {
        requests::lookup(&self.core, request.into_inner()).await.map(Response::new)
    }

    async fn sign_off(&self, request: Request<rpc::SignOffRequest>) -> Reply<rpc::SignOffReply> {
        requests::sign_off(&self.core, request.into_inner()).await.map(Response::new)
    }

    async fn relay(&self, request: Request<rpc::RelayRequest>) -> Reply<rpc::RelayReply> {
        let (reply, changes) = relay::relay(&self.core, request.get_ref())?;
        job_feed::forward(&self.jobs, changes).await;
        Ok(Response::new(reply))
    }

    async fn watch(
        &self,
        request: Request<Streaming<rpc::WatchRequest>>,
    ) -> Reply<Self::WatchStream> {
        let (sender, replies) = mpsc::channel(REPLY_QUEUE_CAPACITY);
        let (core, stop) = (Arc::clone(&self.core), self.stop.clone());
        tokio::spawn(watch_stream::serve(core, request.into_inner(), sender, stop));
        Ok(Response::new(ReceiverStream::new(replies)))
    }

    async fn put_document(
        &self,
        request: Request<rpc::PutDocumentRequest>,
    ) -> Reply<rpc::PutDocumentReply> {
        put_document::put(&self.core, &self.jobs, request.into_inner()).await.map(Response::new)
    }

    async fn get_document(
        &self,
        request: Request<rpc::GetDocumentRequest>,
    ) -> Reply<rpc::GetDocumentReply> {
        put_document::get(&self.core, &request.into_inner()).await.map(Response::new)
    }

    async fn pull_documents(
        &self,
        request: Request<rpc::PullDocumentsRequest>,
    ) -> Reply<rpc::PullDocumentsReply> {
        put_document::pull(&self.core, request.into_inner()).map(Response::new)
    }

    async fn submit_job(&self, request: Request<rpc::SubmitJobRequest>) -> Reply<rpc::JobReply> {
        Ok(Response::new(jobs::submit_job(&self.jobs, request.get_ref()).await))
    }

    async fn get_job(&self, request: Request<rpc::JobNameRequest>) -> Reply<rpc::JobReply> {
        Ok(Response::new(jobs::get_job(&self.jobs, request.get_ref()).await))
    }

    async fn cancel_job(&self, request: Request<rpc::JobNameRequest>) -> Reply<rpc::JobReply> {
        Ok(Response::new(jobs::cancel_job(&self.jobs, request.get_ref()).await))
    }

    async fn explain_job(&self, request: Request<rpc::JobNameRequest>) -> Reply<rpc::JobReply> {
        Ok(Response::new(jobs::explain_job(&self.jobs, request.get_ref()).await))
    }

    async fn list_upstreams(
        &self,
        _: Request<rpc::ListUpstreamsRequest>,
    ) -> Reply<rpc::ListUpstreamsReply> {
        let upstreams = self.core.lock().registry.changed_since(0);
        Ok(Response::new(rpc::ListUpstreamsReply { upstreams }))
    }
}
