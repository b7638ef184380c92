//! RPCs on at-most-once records: `Begin`, `Finish`, `Lookup` and `SignOff`.

use bytes::Bytes;
use tonic::Status;

use crate::names::{DataCentreName, RequestKey};
use crate::outcome::{NotRun, NotRunCause, Outcome};
use crate::rpc;
use crate::rpc::begin_reply::Verdict as WireVerdict;

use super::core::Core;
use super::event::Event;
use super::records::{Begin, Blob, Identity, Intent, LookupResult, SignOff, Verdict};

pub(super) async fn begin(
    core: &Core,
    request: rpc::BeginRequest,
) -> Result<rpc::BeginReply, Status> {
    let verdict = match parse_begin(core, request) {
        Err(refused) => Verdict::Refused(refused),
        Ok(mut begin) => {
            core.decide(|state, now_ms| {
                begin.intent.begun_at_ms = now_ms;
                let (verdict, event) = state.records.begin(&begin, now_ms);
                (verdict, event.map(Event::Record))
            })
            .await?
        }
    };
    let verdict = match verdict {
        Verdict::Proceed(attempt) => WireVerdict::ProceedAttempt(attempt),
        Verdict::Ended(outcome) => WireVerdict::Ended(outcome.into()),
        Verdict::InFlight => WireVerdict::InFlight(true),
        Verdict::Refused(reason) => WireVerdict::Refused(reason.to_string()),
    };
    Ok(rpc::BeginReply { verdict: Some(verdict), epoch: core.epoch })
}

fn parse_begin(core: &Core, request: rpc::BeginRequest) -> Result<Begin, NotRun> {
    let bad_request =
        |fault: &dyn std::fmt::Display| NotRun::new(NotRunCause::BadRequest, fault.to_string());
    let identity = request.identity.ok_or_else(|| bad_request(&"the identity is missing"))?;
    let key = parse_key(core, &identity.data_centre, &identity.id)
        .map_err(|fault| bad_request(&fault))?;
    let host = request.host.parse().map_err(|fault| bad_request(&fault))?;
    if !core.lock().shares.is_configured(&host) {
        return Err(bad_request(&format!("{host} is not a configured entry host")));
    }
    let intent = Intent {
        host,
        upstream: request.upstream.parse().map_err(|fault| bad_request(&fault))?,
        upstream_address: request.upstream_address,
        incarnation: request.incarnation,
        begun_at_ms: 0,
        epoch: core.epoch,
        submission: request.submission,
    };
    let identity = Identity {
        organisation: identity.organisation.parse().map_err(|fault| bad_request(&fault))?,
        service: identity.service.parse().map_err(|fault| bad_request(&fault))?,
        body_digest: Blob(copied(&identity.body_digest)),
    };
    Ok(Begin { key, identity, intent, replaces_attempt: request.replaces_attempt })
}

/// Copies part of a message, because a slice would keep the whole receive buffer in memory.
fn copied(part: &Bytes) -> Bytes {
    Bytes::copy_from_slice(part)
}

/// Parses a key and checks that this data centre owns it.
fn parse_key(core: &Core, data_centre: &str, id: &str) -> Result<RequestKey, String> {
    let name: DataCentreName = data_centre.parse().map_err(|fault| format!("{fault}"))?;
    if name != core.settings.data_centre {
        return Err(format!("data centre {name} owns the key, not {}", core.settings.data_centre));
    }
    RequestKey::new(name, id).map_err(|fault| fault.to_string())
}

fn parse_key_or_status(core: &Core, data_centre: &str, id: &str) -> Result<RequestKey, Status> {
    parse_key(core, data_centre, id).map_err(Status::invalid_argument)
}

pub(super) async fn finish(
    core: &Core,
    request: rpc::FinishRequest,
) -> Result<rpc::FinishReply, Status> {
    let key = parse_key_or_status(core, &request.data_centre, &request.id)?;
    if request.epoch > core.epoch {
        let text = format!("epoch {} is later than {}", request.epoch, core.epoch);
        return Err(Status::failed_precondition(text));
    }
    let outcome = request.outcome.ok_or_else(|| Status::invalid_argument("no outcome"))?;
    let outcome = match Outcome::from(outcome) {
        // The attempt number comes from the request, not from its outcome.
        Outcome::Done { answer, upstream_status, .. } => {
            let answer = copied(&answer);
            Outcome::Done { answer, attempt: request.attempt, upstream_status }
        }
        other => other,
    };
    // No caller waits for this record, and a separate sync would delay that of the next intent.
    let recorded = core.decide_deferred(|state, now_ms| {
        let event = state.records.finish(&key, request.attempt, outcome.clone(), now_ms);
        let recorded =
            event.is_some() || state.records.has_outcome(&key, request.attempt, &outcome);
        (recorded, event.map(Event::Record))
    });
    if !recorded.await? {
        core.metrics.late_finishes.inc();
    }
    Ok(rpc::FinishReply {})
}

pub(super) async fn lookup(
    core: &Core,
    request: rpc::LookupRequest,
) -> Result<rpc::LookupReply, Status> {
    let key = parse_key_or_status(core, &request.data_centre, &request.id)?;
    core.decide(|state, now_ms| (lookup_reply(state.records.lookup(&key, now_ms)), None)).await
}

fn lookup_reply(result: LookupResult<'_>) -> rpc::LookupReply {
    let (state, outcome, record) = match result {
        LookupResult::Absent => ("absent", None, None),
        LookupResult::Expired => ("expired", None, None),
        LookupResult::Record { state, outcome, record } => (state, outcome, Some(record)),
    };
    let mut reply = rpc::LookupReply {
        state: state.into(),
        outcome: outcome.map(Into::into),
        ..rpc::LookupReply::default()
    };
    if let Some(record) = record {
        reply.upstream = record.intent().upstream.to_string();
        reply.signed_off_by = record.signed_off_by().unwrap_or_default().into();
        reply.organisation = record.identity().organisation.to_string();
        reply.service = record.identity().service.to_string();
        reply.body_digest = record.identity().body_digest.0.clone();
    }
    reply
}

pub(super) async fn sign_off(
    core: &Core,
    request: rpc::SignOffRequest,
) -> Result<rpc::SignOffReply, Status> {
    let key = parse_key_or_status(core, &request.data_centre, &request.id)?;
    let decided = core.decide(|state, now_ms| {
        let sign_off = SignOff { name: request.name, reason: request.reason, at_ms: now_ms };
        match state.records.sign_off(&key, sign_off, now_ms) {
            Ok(event) => (Ok(()), event.map(Event::Record)),
            Err(refused) => (Err(refused), None),
        }
    });
    let refused = decided.await?.err();
    Ok(rpc::SignOffReply { accepted: refused.is_none(), refused: refused.unwrap_or_default() })
}
