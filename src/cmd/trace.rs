//! `cactuslatch trace`: follows a job or request through the logs of several hosts.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, positional};
use eyre::WrapErr;
use serde_json::Value;

use super::util::Exit;

const USAGE: &str = "Prints all log lines about a job, in the order in which they follow from \
    each other.";

const FOOTER: &str = "Clocks of hosts differ, so lines are ordered by run and by step of a run \
    first, and by time within a step. Exit codes: 0 found, 1 nothing found or failed.";

/// Steps in the life of a job, in order; each is the beginning of a log message.
const STEPS: [&str; 10] = [
    "job was not accepted",
    "job was submitted",
    "call was",
    "upstreams were approved",
    "unit is placed",
    "start was",
    "run makes no progress",
    "stop was",
    "run ended",
    "job ended",
];

/// Arguments of `trace`.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    id: String,
    files: Vec<PathBuf>,
}

pub(crate) fn options() -> OptionParser<Args> {
    let id = positional("ID").help("Identity of the job");
    let files = positional("FILE").help("Log of a host").some("at least one log is needed");
    construct!(Args { id, files }).to_options().descr(USAGE).footer(FOOTER)
}

pub(crate) fn run(args: &Args) -> eyre::Result<Exit> {
    let mut found = Vec::new();
    for path in &args.files {
        let file = File::open(path).wrap_err_with(|| format!("open {}", path.display()))?;
        let host = path.file_name().map(|name| name.to_string_lossy().into_owned());
        let host = host.unwrap_or_default();
        for line in BufReader::new(file).lines() {
            let line = line.wrap_err_with(|| format!("read {}", path.display()))?;
            found.extend(parse_line(&host, &line, &args.id));
        }
    }
    found.sort();
    for line in &found {
        println!("{} {:<20} {}", line.time, line.host, line.text);
    }
    Ok(if found.is_empty() { Exit::NotRun } else { Exit::Done })
}

/// A log line about the job, ordered by run, then by step, then by time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LogLine {
    run: u64,
    step: usize,
    time: String,
    host: String,
    text: String,
}

/// Parses a line; `None` if it is not a log line or not about the job.
fn parse_line(host: &str, line: &str, id: &str) -> Option<LogLine> {
    if !line.contains(id) {
        return None;
    }
    // Log collectors may put a prefix before the JSON of each line.
    let value: Value = serde_json::from_str(line.get(line.find('{')?..)?).ok()?;
    let fields = value.as_object()?;
    let message = fields.get("message")?.as_str()?;
    let step = STEPS.iter().position(|step| message.starts_with(step)).unwrap_or(STEPS.len());
    // Lines about the whole job come before its first run, and its end after the last run.
    let outside_runs = if message == "job ended" { u64::MAX } else { 0 };
    let run = fields.get("run").and_then(Value::as_u64).unwrap_or(outside_runs);
    let hidden = ["timestamp", "level", "message", "request"];
    let details: Vec<_> = fields
        .iter()
        .filter(|(name, _)| !hidden.contains(&name.as_str()))
        .map(|(name, value)| format!("{name}={}", value.to_string().trim_matches('"')))
        .collect();
    Some(LogLine {
        run,
        step,
        time: fields.get("timestamp").and_then(Value::as_str).unwrap_or_default().to_owned(),
        host: host.to_owned(),
        text: format!("{message}: {}", details.join(" ")),
    })
}
