//! `cactuslatch sign-off`: allows one re-run of a request whose outcome is unknown.

use bpaf::{OptionParser, Parser, construct, long, positional};
use cactuslatch::RequestKey;
use serde_json::json;
use ureq::http::Method;

use super::http::Call;
use super::util::{self, Exit, RemoteOptions};

const USAGE: &str = "Records that an operator allows one re-run of a request with unknown outcome.";

const FOOTER: &str = "Check at the service first that the request did not run: the re-run may run it a \
    second time. Exit codes: 0 recorded, 1 refused or failed, 2 unknown whether it was recorded; then \
    look it up with `cactuslatch request KEY`.";

/// Arguments of `sign-off`.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    name: String,
    reason: String,
    remote: RemoteOptions,
    key: RequestKey,
}

pub(crate) fn options() -> OptionParser<Args> {
    let not_blank = |text: &String| !text.trim().is_empty();
    let name = long("name")
        .help("Name of the person who answers for the re-run")
        .argument::<String>("NAME")
        .guard(not_blank, "the name must not be blank");
    let reason = long("reason")
        .help("Why the request may run again")
        .argument::<String>("TEXT")
        .guard(not_blank, "the reason must not be blank");
    let remote = util::remote_options();
    let key = positional::<RequestKey>("KEY").help("DATA_CENTRE/ID of the request");
    construct!(Args { name, reason, remote, key }).to_options().descr(USAGE).footer(FOOTER)
}

pub(crate) fn run(args: &Args) -> eyre::Result<Exit> {
    let path = format!("/v1/requests/{}/{}/sign-off", args.key.data_centre(), args.key.id());
    // Not repeatable: a second sign-off could allow another re-run after the first one was used.
    let call = Call::new("sign off the request", Method::POST, path)
        .json(&json!({ "name": args.name, "reason": args.reason }));
    let answer = call.run(&args.remote.entry_hosts()?, args.remote.timeout())?;
    util::print_answer(&answer, args.remote.json, |_| {
        format!("signed off: {}; resend it with the same key to run it", args.key)
    })
}
