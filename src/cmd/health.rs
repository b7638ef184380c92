//! `cactuslatch health`: asks one daemon whether it takes new work.

use bpaf::{OptionParser, Parser, construct};
use ureq::http::Method;

use super::http::{Answer, Call};
use super::util::{self, AdminOptions, Exit};

const USAGE: &str = "Asks an entry host or control process whether it is healthy.";

const FOOTER: &str = "Exit codes: 0 healthy, 1 not healthy, draining or not reached.";

/// Arguments of `health`.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    admin: AdminOptions,
}

pub(crate) fn options() -> OptionParser<Args> {
    let admin = util::admin_options();
    construct!(Args { admin }).to_options().descr(USAGE).footer(FOOTER)
}

pub(crate) fn run(args: &Args) -> eyre::Result<Exit> {
    let call = Call::new("check the health", Method::GET, "/health".to_owned());
    let answer = call.run(&[args.admin.address], args.admin.timeout())?;
    let healthy = answer.is_success();
    util::print(&render(&answer, args.admin.json, healthy))?;
    Ok(if healthy { Exit::Done } else { Exit::NotRun })
}

fn render(answer: &Answer, json: bool, healthy: bool) -> String {
    let value = answer.json();
    if json {
        let status = answer.status;
        return value.unwrap_or_else(|| serde_json::json!({ "status": status })).to_string();
    }
    let state = if healthy { "healthy" } else { "not healthy" };
    let detail = match &value {
        Some(value) => util::render_lines(value),
        None => answer.reason(),
    };
    format!("{state}: {} (status {})\n{detail}", answer.host, answer.status)
}
