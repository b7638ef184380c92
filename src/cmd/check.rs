//! `cactuslatch check`: reads settings and documents and reports every fault.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, positional};
use cactuslatch::config::{Faults, Kind, check_file};
use serde_json::{Value, json};

use super::util::{self, Exit};

const USAGE: &str = "Checks settings files and service documents without starting anything.";

const FOOTER: &str = "The top-level key `kind` tells what a file is: entry, control or service. Each \
    fault is one line, FILE:LINE: KEY: SENTENCE. Exit codes: 0 no fault, 1 faults.";

/// Arguments of `check`.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    json: bool,
    files: Vec<PathBuf>,
}

pub(crate) fn options() -> OptionParser<Args> {
    let json = util::json();
    let files = positional::<PathBuf>("FILE").help("File to check").some("name a file to check");
    construct!(Args { json, files }).to_options().descr(USAGE).footer(FOOTER)
}

pub(crate) fn run(args: &Args) -> eyre::Result<Exit> {
    let mut exit = Exit::Done;
    let mut reports = Vec::new();
    for file in &args.files {
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
