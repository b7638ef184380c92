//! Requests sent on to the data centre that owns their key, and received from others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::{Instant, timeout, timeout_at};
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status};

use super::EntryHost;
use super::request::{self, CallerRequest, Kind};
use crate::error::StepError;
use crate::names::{DataCentreName, RequestKey};
use crate::outcome::{NotRun, NotRunCause, Outcome};
use crate::rpc;
use crate::rpc::entry_client::EntryClient;
use crate::rpc::entry_server::Entry;

/// Time for opening a connection to another entry host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval and limit of keep-alive pings, so that a silent connection is replaced.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Time taken off the caller's deadline for the way back from another data centre.
const RETURN_MARGIN: Duration = Duration::from_millis(100);

/// Open channels to entry hosts of other data centres.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    channels: Mutex<BTreeMap<SocketAddr, Channel>>,
}

impl Peers {
    /// Returns an open channel; an error says that nothing can have been sent.
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

    /// Forgets a channel on which a call failed, so that the next one opens a fresh one.
    fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Channel>> {
        self.channels.lock().expect("no panic while channels are locked")
    }
}

/// Sends a request on to the data centre that owns its key.
pub(crate) async fn forward(host: &EntryHost, request: &CallerRequest) -> Outcome {
    let owner = request.key().data_centre();
    let addresses = entry_addresses(host, owner);
    if addresses.is_empty() {
        let detail = format!("data centre {owner} is not known here");
        return request.refused(NotRun::new(NotRunCause::BadRequest, detail));
    }
    let mut sent = false;
    let mut detail = String::new();
    for address in addresses {
        let connecting = timeout_at(request.deadline, host.peers.channel(address));
        let Ok(Ok(channel)) = connecting.await else {
            detail = format!("no connection to {address} in {owner}");
            continue;
        };
        if request.left() <= RETURN_MARGIN {
            detail = format!("the deadline leaves no time for a call to {owner}");
            break;
        }
        // The owner decides by the key, so sending to a second host cannot run it twice.
        match call(request, channel, sent).await {
            Ok(outcome) => return outcome,
            Err(reason) => {
                host.peers.forget(address);
                sent = true;
                detail = reason;
            }
        }
    }
    if sent {
        Outcome::Unknown { detail: format!("data centre {owner} has not answered: {detail}") }
    } else {
        request.refused(NotRun::new(NotRunCause::Unavailable, detail))
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
    let left = request.left().saturating_sub(RETURN_MARGIN);
    let message = forward_message(request, left, sent_before);
    let mut client = EntryClient::new(channel);
    let reply = timeout(request.left(), client.forward(message)).await;
    let reply = reply.map_err(|_| "no answer in time".to_owned())?;
    let reply = reply.map_err(|status| status.to_string())?.into_inner();
    reply.outcome.map(Outcome::from).ok_or_else(|| "an answer without an outcome".to_owned())
}

fn forward_message(
    request: &CallerRequest,
    left: Duration,
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
    let first = matches!(request.kind, Kind::Once { first_submission: true, .. });
    rpc::ForwardRequest {
        identity: Some(identity),
        class: request.class.to_string(),
        idempotent: matches!(request.kind, Kind::Idempotent { .. }),
        timeout_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
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
            // Sending it on again could go round in circles.
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
    let identity = message.identity.ok_or("a request without an identity")?;
    let text = |error: crate::names::InvalidName| error.to_string();
    let data_centre = identity.data_centre.parse().map_err(text)?;
    let key = RequestKey::new(data_centre, &identity.id).map_err(text)?;
    let kind = if message.idempotent {
        Kind::Idempotent { key }
    } else {
        Kind::Once { key, first_submission: message.first_submission }
    };
    Ok(CallerRequest {
        service: identity.service.parse().map_err(text)?,
        organisation: identity.organisation.parse().map_err(text)?,
        class: message
            .class
            .parse()
            .map_err(|error: crate::class::InvalidClass| error.to_string())?,
        kind,
        deadline: Instant::now() + Duration::from_millis(message.timeout_ms),
        body: message.body,
        caller: request::Caller::default(),
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
    let mut last = StepError::new("look up request", key.data_centre(), "no entry host is known");
    for address in entry_addresses(host, key.data_centre()) {
        let channel = match host.peers.channel(address).await {
            Ok(channel) => channel,
            Err(error) => {
                last = error;
                continue;
            }
        };
        match EntryClient::new(channel).lookup_forward(message.clone()).await {
            Ok(reply) => return Ok(reply.into_inner()),
            Err(status) => {
                host.peers.forget(address);
                last = StepError::new("look up request", address, status);
            }
        }
    }
    Err(last)
}
