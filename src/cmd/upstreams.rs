//! `cactuslatch upstreams`: lists the upstreams that have announced themselves.

use std::fmt::Write;

use bpaf::{OptionParser, Parser, construct};
use serde_json::Value;
use ureq::http::Method;

use super::http::Call;
use super::util::{self, Exit, RemoteOptions, field};

const USAGE: &str = "Lists the upstreams known to the entry host's data centre.";

const FOOTER: &str = "Exit codes: 0 printed, 1 failed.";

const HEADINGS: [&str; 8] =
    ["name", "address", "rack", "rack_position", "accelerators", "slots", "connections", "leaving"];

/// Arguments of `upstreams`.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    remote: RemoteOptions,
}

pub(crate) fn options() -> OptionParser<Args> {
    let remote = util::remote_options();
    construct!(Args { remote }).to_options().descr(USAGE).footer(FOOTER)
}

pub(crate) fn run(args: &Args) -> eyre::Result<Exit> {
    let call = Call::new("list the upstreams", Method::GET, "/v1/upstreams".to_owned());
    let answer = call.run(&args.remote.entry_hosts()?, args.remote.timeout())?;
    util::print_answer(&answer, args.remote.json, |value| {
        let list = util::member_or_self(value, &["upstreams"]).as_array();
        table(list.map_or(&[], Vec::as_slice))
    })
}

fn table(list: &[Value]) -> String {
    if list.is_empty() {
        return "no upstream has announced itself".to_owned();
    }
    let mut rows = vec![HEADINGS.map(str::to_owned)];
    rows.extend(list.iter().map(|upstream| HEADINGS.map(|heading| field(upstream, heading))));
    let widths: Vec<usize> = (0..HEADINGS.len())
        .map(|i| rows.iter().map(|row| row[i].len()).max().unwrap_or(0))
        .collect();
    let mut out = String::new();
    for row in &rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            _ = write!(line, "{cell:width$}  ");
        }
        _ = writeln!(out, "{}", line.trim_end());
    }
    out
}
