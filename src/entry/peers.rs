//! Forwarding of requests to the data centre that owns their key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::{Instant, timeout, timeout_at};
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status};

use super::EntryHost;
use super::request::{self, CallerRequest, RequestKind};
use crate::error::StepError;
use crate::names::{DataCentreName, RequestKey};
use crate::outcome::{NotRun, NotRunCause, Outcome};
use crate::rpc;
use crate::rpc::entry_client::EntryClient;
use crate::rpc::entry_server::Entry;

/// Time limit for opening a connection to another entry host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval and time limit of keep-alive pings, which detect dead connections.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Part of the caller's remaining time reserved for the reply from another data centre.
const REPLY_MARGIN: Duration = Duration::from_millis(100);

/// Open channels to entry hosts of other data centres.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    channels: Mutex<BTreeMap<SocketAddr, Channel>>,
}

impl Peers {
    /// Returns an open channel.
    ///
    /// # Errors
    /// Returns an error if no connection can be opened; nothing has been sent then.
    async fn channel(&self, address: SocketAddr) -> Result<Channel, StepError> {
        if let Some(channel) = self.lock().get(&address) {
            return Ok(channel.clone());
        }
        let failed = |error| StepError::new("connect to entry host", address, error);
        let channel = Endpoint::from_shared(format!("http://{address}"))
            .map_err(failed)?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEP_ALIVE)
            .keep_alive_timeout(KEEP_ALIVE)
            .connect()
            .await
            .map_err(failed)?;
        self.lock().insert(address, channel.clone());
        Ok(channel)
    }

    /// Discards a channel on which a call failed, so that the next call opens a new one.
    fn discard(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Channel>> {
        self.channels.lock().expect("no panic while channels are locked")
    }
}

/// Forwards a request to the data centre that owns its key.
pub(crate) async fn forward(host: &EntryHost, request: &CallerRequest) -> Outcome {
    let owner = request.key().data_centre();
    let addresses = entry_addresses(host, owner);
    if addresses.is_empty() {
        let detail = format!("data centre {owner} is not known here");
        return request.refused_outcome(NotRun::new(NotRunCause::BadRequest, detail));
    }
    let mut sent = false;
    let mut detail = String::new();
    for address in addresses {
        let connecting = timeout_at(request.deadline, host.peers.channel(address));
        let Ok(Ok(channel)) = connecting.await else {
            detail = format!("no connection to {address} in {owner}");
            continue;
        };
        if request.remaining() <= REPLY_MARGIN {
            detail = format!("the deadline leaves no time for a call to {owner}");
            break;
        }
        // The owner deduplicates by key, so sending to a second host cannot run it twice.
        match call(request, channel, sent).await {
            Ok(outcome) => return outcome,
            Err(reason) => {
                host.peers.discard(address);
                sent = true;
                detail = reason;
            }
        }
    }
    if sent {
        Outcome::Unknown { detail: format!("data centre {owner} has not answered: {detail}") }
    } else {
        request.refused_outcome(NotRun::new(NotRunCause::Unavailable, detail))
    }
}

fn entry_addresses(host: &EntryHost, owner: &DataCentreName) -> Vec<SocketAddr> {
    let centres = host.settings.data_centres.iter();
    let matching = centres.filter(|centre| &centre.name == owner);
    matching.flat_map(|centre| centre.entry_addresses.iter().copied()).collect()
}

async fn call(
    request: &CallerRequest,
    channel: Channel,
    sent_before: bool,
) -> Result<Outcome, String> {
    let call_limit = request.remaining().saturating_sub(REPLY_MARGIN);
    let message = forward_message(request, call_limit, sent_before);
    let mut client = EntryClient::new(channel);
    let reply = timeout(request.remaining(), client.forward(message)).await;
    let reply = reply.map_err(|_| "no answer in time".to_owned())?;
    let reply = reply.map_err(|status| status.to_string())?.into_inner();
    reply.outcome.map(Outcome::from).ok_or_else(|| "the reply has no outcome".to_owned())
}

fn forward_message(
    request: &CallerRequest,
    call_limit: Duration,
    sent_before: bool,
) -> rpc::ForwardRequest {
    let key = request.key();
    let identity = rpc::RequestIdentity {
        data_centre: key.data_centre().to_string(),
        id: key.id().to_owned(),
        organisation: request.organisation.to_string(),
        service: request.service.to_string(),
        ..rpc::RequestIdentity::default()
    };
    let first = matches!(request.kind, RequestKind::AtMostOnce { first_submission: true, .. });
    rpc::ForwardRequest {
        identity: Some(identity),
        class: request.class.to_string(),
        idempotent: matches!(request.kind, RequestKind::Idempotent { .. }),
        timeout_ms: u64::try_from(call_limit.as_millis()).unwrap_or(u64::MAX),
        body: request.body.clone(),
        first_submission: first && !sent_before,
    }
}

/// Serves requests from entry hosts of other data centres.
#[derive(Debug)]
pub(crate) struct PeerServer {
    pub(crate) host: Arc<EntryHost>,
}

#[tonic::async_trait]
impl Entry for PeerServer {
    async fn forward(
        &self,
        request: Request<rpc::ForwardRequest>,
    ) -> Result<Response<rpc::ForwardReply>, Status> {
        let request = read_forward(request.into_inner()).map_err(Status::invalid_argument)?;
        if request.key().data_centre() != &self.host.settings.data_centre {
            // Forwarding it again could create a forwarding loop.
            return Err(Status::failed_precondition("another data centre owns this key"));
        }
        let outcome = request::handle(&self.host, request).await;
        let http_status = outcome.http_status().into();
        Ok(Response::new(rpc::ForwardReply { outcome: Some(outcome.into()), http_status }))
    }

    async fn lookup_forward(
        &self,
        request: Request<rpc::LookupRequest>,
    ) -> Result<Response<rpc::LookupReply>, Status> {
        let reply = self.host.control.lookup(request.into_inner()).await;
        reply.map(Response::new).map_err(|error| Status::unavailable(error.to_string()))
    }
}

fn read_forward(message: rpc::ForwardRequest) -> Result<CallerRequest, String> {
    let identity = message.identity.ok_or("the request has no identity")?;
    let to_text = |error: crate::names::InvalidName| error.to_string();
    let data_centre = identity.data_centre.parse().map_err(to_text)?;
    let key = RequestKey::new(data_centre, &identity.id).map_err(to_text)?;
    let kind = if message.idempotent {
        RequestKind::Idempotent { key }
    } else {
        RequestKind::AtMostOnce { key, first_submission: message.first_submission }
    };
    Ok(CallerRequest {
        service: identity.service.parse().map_err(to_text)?,
        organisation: identity.organisation.parse().map_err(to_text)?,
        class: message
            .class
            .parse()
            .map_err(|error: crate::class::InvalidClass| error.to_string())?,
        kind,
        deadline: Instant::now() + Duration::from_millis(message.timeout_ms),
        body: message.body,
        caller: request::CallerConnection::default(),
    })
}

/// Looks a request up in the data centre that owns its key.
pub(crate) async fn lookup(
    host: &EntryHost,
    key: &RequestKey,
) -> Result<rpc::LookupReply, StepError> {
    let message =
        rpc::LookupRequest { data_centre: key.data_centre().to_string(), id: key.id().to_owned() };
    if key.data_centre() == &host.settings.data_centre {
        return host.control.lookup(message).await;
    }
    let mut last_error =
        StepError::new("look up request", key.data_centre(), "no entry host is known");
    for address in entry_addresses(host, key.data_centre()) {
        let channel = match host.peers.channel(address).await {
            Ok(channel) => channel,
            Err(error) => {
                last_error = error;
                continue;
            }
        };
        match EntryClient::new(channel).lookup_forward(message.clone()).await {
            Ok(reply) => return Ok(reply.into_inner()),
            Err(status) => {
                host.peers.discard(address);
                last_error = StepError::new("look up request", address, status);
            }
        }
    }
    Err(last_error)
}
