//! `cactuslatch drain`: asks one daemon to shut down gracefully.

use bpaf::{OptionParser, Parser, construct};
use ureq::http::Method;

use super::http::Call;
use super::util::{self, AdminOptions, Exit};

const USAGE: &str = "Asks an entry host or control process to shut down gracefully.";

const FOOTER: &str = "The health check fails first, then the host stops listening and finishes what is \
    in flight. Exit codes: 0 draining, 1 refused or not reached, 2 unknown whether it is draining; \
    asking twice does no harm.";

/// Arguments of `drain`.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    admin: AdminOptions,
}

pub(crate) fn options() -> OptionParser<Args> {
    let admin = util::admin_options();
    construct!(Args { admin }).to_options().descr(USAGE).footer(FOOTER)
}

pub(crate) fn run(args: &Args) -> eyre::Result<Exit> {
    let call = Call::new("drain the host", Method::POST, "/drain".to_owned()).repeatable();
    let answer = call.run(&[args.admin.address], args.admin.timeout())?;
    if !answer.is_success() {
        return Err(answer.refusal().into());
    }
    let text = if args.admin.json {
        answer.json().unwrap_or_else(|| serde_json::json!({ "status": answer.status })).to_string()
    } else {
        format!("draining: {}", args.admin.address)
    };
    util::print(&text)?;
    Ok(Exit::Done)
}
