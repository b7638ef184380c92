//! Replication of service documents from the writer, the control process that accepts changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, timeout};
use tonic::Status;
use tonic::transport::{Channel, Endpoint};
use tracing::{info, warn};

use crate::StepError;
use crate::http::wait_for_stop;
use crate::rpc;
use crate::rpc::control_client::ControlClient;

use super::core::Core;
use super::documents::{Change, Document};
use super::event::Event;

/// Interval of pulls; a change must be in force in every data centre within 5 s.
const PULL_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit for one pull, after which the connection is replaced.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest reply; the first pull returns every document.
const REPLY_LIMIT_BYTES: usize = 256 * 1024 * 1024;

/// Pulls from the writer until `stop` becomes true.
pub(super) async fn run(core: Arc<Core>, writer: SocketAddr, mut stop: watch::Receiver<bool>) {
    let mut due = interval(PULL_INTERVAL);
    due.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut client = None;
    let mut newest_epoch = 0;
    let mut reachable = true;
    loop {
        tokio::select! {
            () = wait_for_stop(&mut stop) => return,
            _ = due.tick() => {}
        }
        let pulled = timeout(PULL_TIMEOUT, pull(&core, writer, &mut client)).await;
        let pulled = pulled.unwrap_or_else(|elapsed| Err(Status::unavailable(elapsed.to_string())));
        let applied = match pulled {
            Ok(reply) => apply(&core, reply, &mut newest_epoch).await,
            Err(status) => Err(status),
        };
        if let Err(status) = &applied {
            client = None;
            if reachable {
                warn!(%writer, error = status.message(), "cannot pull documents");
            }
        } else if !reachable {
            info!(%writer, "resumed pulling documents");
        }
        reachable = applied.is_ok();
    }
}

async fn pull(
    core: &Core,
    writer: SocketAddr,
    client: &mut Option<ControlClient<Channel>>,
) -> Result<rpc::PullDocumentsReply, Status> {
    if client.is_none() {
        *client =
            Some(connect(writer).await.map_err(|fault| Status::unavailable(fault.to_string()))?);
    }
    let index = core.lock().documents.index();
    let Some(client) = client else { return Err(Status::internal("no connection")) };
    let reply = client.pull_documents(rpc::PullDocumentsRequest { index }).await?;
    Ok(reply.into_inner())
}

async fn connect(writer: SocketAddr) -> Result<ControlClient<Channel>, StepError> {
    let failed = |fault| StepError::new("connect to the writer of documents", writer, fault);
    let endpoint = Endpoint::from_shared(format!("http://{writer}")).map_err(failed)?;
    let channel = endpoint.connect().await.map_err(failed)?;
    Ok(ControlClient::new(channel).max_decoding_message_size(REPLY_LIMIT_BYTES))
}

/// Journals and applies the documents that are newer than the local copies.
async fn apply(
    core: &Core,
    reply: rpc::PullDocumentsReply,
    newest_epoch: &mut u64,
) -> Result<(), Status> {
    if reply.epoch < *newest_epoch {
        core.lock().documents.count_stale();
        return Ok(());
    }
    *newest_epoch = reply.epoch;
    if reply.index < core.lock().documents.index() {
        // The writer has lost changes that are already in force here; they are not reverted.
        core.lock().documents.count_stale();
    }
    for pulled in reply.documents {
        let Some(document) = pulled.document else { continue };
        let Ok(service) = document.service.parse() else { continue };
        let changes = pulled.changes.into_iter().map(Change::from_wire).collect();
        let index = document.index;
        let document = Document { version: document.version, index, body_yaml: document.body_yaml };
        core.decide(|state, _| {
            let event = state.documents.replicate(service, document, changes);
            ((), event.map(Event::Document))
        })
        .await?;
        core.lock().documents.mark_durable(index);
        core.notify_streams();
    }
    Ok(())
}
