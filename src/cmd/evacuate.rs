//! `cactuslatch evacuate`: keeps work out of a data centre, on the replicated control.

use bpaf::{OptionParser, Parser, construct, positional};
use serde_json::Value;
use ureq::http::Method;

use super::http::Call;
use super::steps::{Hosts, hosts};
use super::util::{self, Exit};

const USAGE: &str =
    "Evacuates a data centre: nothing more starts on its upstreams until it is finished.";

const FOOTER: &str = "Every one of these calls may be repeated. Exit codes: 0 done, 1 refused or \
    failed, 2 unknown whether it took effect; then repeat it.";

/// Arguments of `evacuate`.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    hosts: Hosts,
    action: Action,
}

#[derive(Debug, Clone)]
enum Action {
    Begin { data_centre: String },
    Finish { data_centre: String },
    List,
}

pub(crate) fn options() -> OptionParser<Args> {
    construct!([begin(), finish(), list()]).to_options().descr(USAGE).footer(FOOTER)
}

fn begin() -> impl Parser<Args> {
    let (hosts, data_centre) = (hosts(), data_centre());
    let action = construct!(Action::Begin { data_centre });
    let args = construct!(Args { hosts, action });
    command(
        "begin",
        "Starts nothing more in a data centre, and moves work that loses little.",
        args,
    )
}

fn finish() -> impl Parser<Args> {
    let (hosts, data_centre) = (hosts(), data_centre());
    let action = construct!(Action::Finish { data_centre });
    let args = construct!(Args { hosts, action });
    command("finish", "Lets work start in a data centre again.", args)
}

fn list() -> impl Parser<Args> {
    let hosts = hosts();
    let action = bpaf::pure(Action::List);
    let args = construct!(Args { hosts, action });
    command("list", "Lists the data centres that are being evacuated.", args)
}

fn command(
    name: &'static str,
    usage: &'static str,
    args: impl Parser<Args> + 'static,
) -> impl Parser<Args> {
    args.to_options().descr(usage).footer(FOOTER).command(name)
}

fn data_centre() -> impl Parser<String> {
    let is_name = |name: &String| {
        !name.is_empty() && name.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c))
    };
    positional::<String>("DATA_CENTRE")
        .help("Name of the data centre, as its upstreams report it")
        .guard(is_name, "use letters, digits, and any of - _ .")
}

pub(crate) fn run(args: &Args) -> eyre::Result<Exit> {
    let path = |name: &str| format!("/v1/evacuations/{name}");
    let call = match &args.action {
        Action::Begin { data_centre } => {
            Call::new("begin the evacuation", Method::PUT, path(data_centre)).repeatable()
        }
        Action::Finish { data_centre } => {
            Call::new("finish the evacuation", Method::DELETE, path(data_centre)).repeatable()
        }
        Action::List => {
            Call::new("list the evacuations", Method::GET, "/v1/evacuations".to_owned())
        }
    };
    let answer = call.run(&args.hosts.addresses, args.hosts.timeout())?;
    util::print_answer(&answer, args.hosts.json, |value| match &args.action {
        Action::List => render_list(value),
        Action::Begin { .. } | Action::Finish { .. } => util::render_lines(value),
    })
}

fn render_list(value: &Value) -> String {
    let evacuations = value["evacuations"].as_array().map_or(&[][..], Vec::as_slice);
    if evacuations.is_empty() {
        return "no data centre is being evacuated".to_owned();
    }
    let line = |evacuation: &Value| {
        format!(
            "{} for {} ms, {} upstreams, {} tasks running",
            util::field(evacuation, "data_centre"),
            util::field(evacuation, "since_ms"),
            util::field(evacuation, "upstreams"),
            util::field(evacuation, "running_tasks")
        )
    };
    evacuations.iter().map(line).collect::<Vec<_>>().join("\n")
}
