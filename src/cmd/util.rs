//! Options, output and exit codes shared by the commands.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long, positional};
use cactuslatch::{JobName, StepError};
use eyre::eyre;
use serde_json::Value;

use super::http::Answer;

/// Environment variable with the addresses of entry hosts, separated by commas.
const ENTRY_VARIABLE: &str = "CACTUSLATCH_ENTRY";

/// Timeout of a command without `--timeout-ms`; an entry host's own default is 10 s.
const DEFAULT_TIMEOUT_MS: u64 = 15_000;

/// Largest value that `--timeout-ms` accepts.
const TIMEOUT_MAX_MS: u64 = 3_600_000;

/// How a command ended, as its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command took effect.
    Done,
    /// The command certainly had no effect.
    NotRun,
    /// The command may have taken effect.
    Unknown,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0,
            Exit::NotRun => 1,
            Exit::Unknown => 2,
        })
    }
}

/// Options of every command that talks to entry hosts.
#[derive(Debug, Clone)]
pub(crate) struct RemoteOptions {
    addresses: Vec<SocketAddr>,
    pub(crate) timeout_ms: Option<u64>,
    pub(crate) json: bool,
}

impl RemoteOptions {
    /// Returns the entry hosts in the order in which they are tried.
    pub(crate) fn entry_hosts(&self) -> eyre::Result<Vec<SocketAddr>> {
        if !self.addresses.is_empty() {
            return Ok(self.addresses.clone());
        }
        let text = std::env::var(ENTRY_VARIABLE).unwrap_or_default();
        let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
        let parse = |item: &str| {
            let hint = "use an IP number and port such as 10.0.0.5:7001";
            item.parse().map_err(|_| eyre!("{ENTRY_VARIABLE}: {item:?} is not an address; {hint}"))
        };
        let addresses: Vec<_> = items.map(parse).collect::<Result<_, _>>()?;
        if addresses.is_empty() {
            return Err(eyre!("no entry host is given; use --entry ADDRESS or {ENTRY_VARIABLE}"));
        }
        Ok(addresses)
    }

    /// Returns the timeout of the whole command.
    pub(crate) fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS))
    }
}

/// Parses the options of [`RemoteOptions`].
pub(crate) fn remote_options() -> impl Parser<RemoteOptions> {
    let addresses = long("entry")
        .help(
            "Address of an entry host; repeat it to name hosts to fail over to [CACTUSLATCH_ENTRY]",
        )
        .argument::<SocketAddr>("ADDRESS")
        .many();
    let timeout_ms = timeout_ms().optional();
    let json = json();
    construct!(RemoteOptions { addresses, timeout_ms, json })
}

/// Parses `--timeout-ms`.
pub(crate) fn timeout_ms() -> impl Parser<u64> {
    long("timeout-ms")
        .help("Time for the whole command, over all hosts that are tried")
        .argument::<u64>("MS")
        .guard(|ms| (1..=TIMEOUT_MAX_MS).contains(ms), "use 1 to 3600000 ms")
}

/// Parses `--json`.
pub(crate) fn json() -> impl Parser<bool> {
    long("json").help("Print one JSON value instead of text").switch()
}

/// Options of the commands that talk to one daemon's admin port.
#[derive(Debug, Clone)]
pub(crate) struct AdminOptions {
    pub(crate) address: SocketAddr,
    timeout_ms: Option<u64>,
    pub(crate) json: bool,
}

impl AdminOptions {
    /// Returns the timeout of the whole command.
    pub(crate) fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS))
    }
}

/// Parses the options of [`AdminOptions`].
pub(crate) fn admin_options() -> impl Parser<AdminOptions> {
    let address = long("admin")
        .help("Admin address of an entry host or control process")
        .argument::<SocketAddr>("ADDRESS");
    let timeout_ms = timeout_ms().optional();
    let json = json();
    construct!(AdminOptions { address, timeout_ms, json })
}

/// Writes text to standard output and ends it with a newline if it has none.
pub(crate) fn print(text: &str) -> eyre::Result<()> {
    let mut out = std::io::stdout().lock();
    let end = if text.ends_with('\n') { "" } else { "\n" };
    let written = write!(out, "{text}{end}").and_then(|()| out.flush());
    written.map_err(|error| StepError::new("write the output", "standard output", error).into())
}

/// Reads a file, or standard input if the path is `-`.
pub(crate) fn read_input(path: &str) -> eyre::Result<Vec<u8>> {
    if path != "-" {
        return std::fs::read(path).map_err(|e| StepError::new("read the file", path, e).into());
    }
    let mut body = Vec::new();
    let read = std::io::stdin().lock().read_to_end(&mut body);
    read.map_err(|error| StepError::new("read the input", "standard input", error))?;
    Ok(body)
}

/// Prints an answer as JSON or through `render`.
///
/// # Errors
/// Returns an error if the answer is not a success; its JSON is printed nevertheless.
pub(crate) fn print_answer(
    answer: &Answer,
    json: bool,
    render: impl FnOnce(&Value) -> String,
) -> eyre::Result<Exit> {
    let value = answer.json();
    if json && let Some(value) = &value {
        print(&value.to_string())?;
    }
    if !answer.is_success() {
        return Err(answer.refusal().into());
    }
    let value = value.ok_or_else(|| answer.not_json())?;
    if !json {
        print(&render(&value))?;
    }
    Ok(Exit::Done)
}

/// Returns a member of a JSON object as text, or `-` if it is absent or null.
pub(crate) fn field(value: &Value, name: &str) -> String {
    match value.get(name) {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

/// Returns the first of the named members that is present, or the value itself.
pub(crate) fn member_or_self<'a>(value: &'a Value, names: &[&str]) -> &'a Value {
    names.iter().find_map(|name| value.get(name)).unwrap_or(value)
}

/// Returns a JSON value as indented `name: value` lines.
pub(crate) fn render_lines(value: &Value) -> String {
    let mut out = String::new();
    write_lines(&mut out, value, 0);
    out.trim_end().to_owned()
}

fn write_lines(out: &mut String, value: &Value, depth: usize) {
    match value {
        Value::Object(map) => {
            for (name, value) in map {
                write_member(out, &format!("{name}:"), value, depth);
            }
        }
        Value::Array(list) => {
            for value in list {
                write_member(out, "-", value, depth);
            }
        }
        plain => write_member(out, "", plain, depth),
    }
}

fn write_member(out: &mut String, label: &str, value: &Value, depth: usize) {
    let indent = "  ".repeat(depth);
    let text = match value {
        Value::Object(_) | Value::Array(_) => {
            out.push_str(&indent);
            out.push_str(label);
            out.push('\n');
            return write_lines(out, value, depth + 1);
        }
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let line = format!("{indent}{label} {text}");
    out.push_str(line.trim_end());
    out.push('\n');
}

/// Arguments of a command about one job.
#[derive(Debug, Clone)]
pub(crate) struct JobArgs {
    pub(crate) remote: RemoteOptions,
    pub(crate) job: JobName,
}

/// Parses the arguments of a command about one job.
pub(crate) fn job_options(usage: &'static str, footer: &'static str) -> OptionParser<JobArgs> {
    let remote = remote_options();
    let job = positional::<JobName>("JOB").help("Name of the job");
    construct!(JobArgs { remote, job }).to_options().descr(usage).footer(footer)
}
