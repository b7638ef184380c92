//! `cactuslatch request`: looks up the record of a request.

use bpaf::{OptionParser, Parser, construct, long, positional};
use cactuslatch::{OrganisationName, RequestKey};
use eyre::eyre;
use serde_json::Value;
use ureq::http::Method;

use super::http::Call;
use super::util::{self, Exit, RemoteOptions};

const USAGE: &str = "Looks up the record of a request by its key.";

const FOOTER: &str = "Exit codes: 0 done, 1 not run or the look-up failed, 2 unknown: in flight, no \
    record, expired, or an outcome that is not known. A missing record does not show that the \
    request cannot still arrive.";

/// Arguments of `request`.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    remote: RemoteOptions,
    organisation: Option<OrganisationName>,
    key: RequestKey,
}

pub(crate) fn options() -> OptionParser<Args> {
    let remote = util::remote_options();
    let organisation = long("organisation")
        .help("organisation that sent the request; only it is shown the answer")
        .argument::<OrganisationName>("NAME")
        .optional();
    let key = positional::<RequestKey>("KEY").help("DATA_CENTRE/ID of the request");
    construct!(Args { remote, organisation, key }).to_options().descr(USAGE).footer(FOOTER)
}

pub(crate) fn run(args: &Args) -> eyre::Result<Exit> {
    let path = format!("/v1/requests/{}/{}", args.key.data_centre(), args.key.id());
    let mut call = Call::new("look up the request", Method::GET, path);
    let organisation = args.organisation.as_ref().map(ToString::to_string);
    call.headers.extend(organisation.map(|name| ("cactuslatch-organisation", name)));
    let answer = call.run(&args.remote.entry_hosts()?, args.remote.timeout())?;
    let value = answer.json().unwrap_or_default();
    let Some(exit) = state(&value).and_then(exit_of) else {
        return Err(if answer.is_success() {
            eyre!("look up the request ({}): the answer names no known state", answer.host)
        } else {
            answer.refusal().into()
        });
    };
    let text = if args.remote.json { value.to_string() } else { util::render_lines(&value) };
    util::print(&text)?;
    Ok(exit)
}

/// Returns the state of an open record, or the outcome of an ended one, which may have no state.
fn state(value: &Value) -> Option<&str> {
    value.get("state").or_else(|| value.get("outcome"))?.as_str()
}

fn exit_of(state: &str) -> Option<Exit> {
    match state {
        "done" => Some(Exit::Done),
        "not_run" => Some(Exit::NotRun),
        "unknown" | "in_flight" | "absent" | "expired" => Some(Exit::Unknown),
        _ => None,
    }
}
