//! `cactuslatch check`: reads settings, documents and configurations, and reports every fault.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long, positional};
use cactuslatch::StepError;
use cactuslatch::config::{Fault, Faults, Kind, check_file};
use cactuslatch::task_api::{
    ConfigurationReport, check_configuration, is_configuration, read_configuration,
};
use cactuslatch::tasks::Configuration;
use eyre::bail;
use serde_json::{Value, json};
use ureq::http::Method;

use super::http::Call;
use super::util::{self, Exit};

const USAGE: &str = "Checks settings files and service documents without starting anything.";

/// Timeout of reading the configuration in force.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

const FOOTER: &str = "The top-level key `kind` tells what a file is: entry, control or service; a file \
    with `queues` and no `kind` is a configuration of the replicated control. Each finding is one line, \
    FILE:LINE: KEY: SENTENCE. Warnings and differences are no faults. Exit codes: 0 no fault, 1 faults.";

/// Arguments of `check`.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    json: bool,
    against: Option<String>,
    hosts: Vec<SocketAddr>,
    files: Vec<PathBuf>,
}

pub(crate) fn options() -> OptionParser<Args> {
    let json = util::json();
    let against = long("against")
        .help(
            "Also prints how a configuration differs from this file, or from this version in force",
        )
        .argument::<String>("VERSION|FILE")
        .optional();
    let hosts = long("host")
        .help("Control host that knows the version in force; several times for several hosts")
        .argument::<SocketAddr>("ADDRESS")
        .many();
    let files = positional::<PathBuf>("FILE").help("File to check").some("name a file to check");
    construct!(Args { json, against, hosts, files }).to_options().descr(USAGE).footer(FOOTER)
}

pub(crate) fn run(args: &Args) -> eyre::Result<Exit> {
    let mut exit = Exit::Done;
    let mut reports = Vec::new();
    let against = args.against.as_deref().map(|other| other_configuration(other, &args.hosts));
    let against = against.transpose()?;
    for file in &args.files {
        if let Some(text) = configuration_text(file) {
            let report = check_configuration(&text, against.as_ref());
            if !report.errors.is_empty() {
                exit = Exit::NotRun;
            }
            let name = file.display().to_string();
            let report = if args.json {
                report_json(&name, &report).to_string()
            } else {
                report_lines(&name, &report)
            };
            reports.push(report);
            continue;
        }
        let result = check_file(file);
        if result.is_err() {
            exit = Exit::NotRun;
        }
        reports.push(if args.json {
            as_json(&file.display().to_string(), &result).to_string()
        } else {
            result.map_or_else(
                |faults| faults.to_string(),
                |kind| format!("{}: no faults, kind {kind}", file.display()),
            )
        });
    }
    util::print(&reports.join("\n"))?;
    Ok(exit)
}

/// Returns the text of a file that is a configuration of the replicated control.
fn configuration_text(file: &Path) -> Option<String> {
    std::fs::read_to_string(file).ok().filter(|text| is_configuration(text))
}

/// Reads the configuration to compare with: a version in force, or else a file.
fn other_configuration(other: &str, hosts: &[SocketAddr]) -> eyre::Result<Configuration> {
    let Ok(version) = other.parse::<u64>() else {
        let bytes = util::read_input(other)?;
        let text =
            String::from_utf8(bytes).map_err(|e| StepError::new("read the file", other, e))?;
        let read = read_configuration(&text);
        return Ok(read.map_err(|fault| StepError::new("read the configuration", other, fault))?);
    };
    if hosts.is_empty() {
        bail!("--against {version} needs --host, to read the configuration in force");
    }
    let path = "/v1/configuration".to_owned();
    let answer =
        Call::new("read the configuration in force", Method::GET, path).run(hosts, READ_TIMEOUT)?;
    if !answer.is_success() {
        return Err(answer.refusal().into());
    }
    let text = String::from_utf8_lossy(&answer.body);
    let in_force = read_configuration(&text)
        .map_err(|fault| StepError::new("read the configuration", "in force", fault))?;
    if in_force.version != version {
        bail!("version {} is in force, not {version}", in_force.version);
    }
    Ok(in_force)
}

/// Returns the findings with the kind of each.
fn findings(report: &ConfigurationReport) -> impl Iterator<Item = (&'static str, &Fault)> {
    let errors = report.errors.iter().map(|fault| ("error", fault));
    let warnings = report.warnings.iter().map(|fault| ("warning", fault));
    let changes = report.changes.iter().map(|fault| ("difference", fault));
    errors.chain(warnings).chain(changes)
}

fn report_lines(file: &str, report: &ConfigurationReport) -> String {
    let line = |(kind, fault): (&str, &Fault)| {
        let place = if fault.line > 0 { format!("{}:", fault.line) } else { String::new() };
        let key = if fault.key.is_empty() { String::new() } else { format!(" {}:", fault.key) };
        format!("{file}:{place}{key} {kind}: {}", fault.message)
    };
    let mut lines: Vec<_> = findings(report).map(line).collect();
    if report.errors.is_empty() {
        lines.push(format!("{file}: no faults, kind configuration"));
    }
    lines.join("\n")
}

fn report_json(file: &str, report: &ConfigurationReport) -> Value {
    let finding = |(kind, fault): (&str, &Fault)| {
        json!({
            "kind": kind,
            "line": fault.line,
            "column": fault.column,
            "key": fault.key,
            "sentence": fault.message,
        })
    };
    json!({
        "file": file,
        "kind": "configuration",
        "findings": findings(report).map(finding).collect::<Vec<_>>(),
    })
}

fn as_json(file: &str, result: &Result<Kind, Faults>) -> Value {
    let faults = result.as_ref().err().map_or(&[][..], Faults::list).iter().map(|fault| {
        json!({
            "line": fault.line,
            "column": fault.column,
            "key": fault.key,
            "sentence": fault.message,
        })
    });
    let kind = result.as_ref().ok().map(|kind| kind.name());
    json!({ "file": file, "kind": kind, "faults": faults.collect::<Vec<_>>() })
}
