//! `cactuslatch documents`: reads and changes service documents.

use std::fmt::Write;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bpaf::{OptionParser, Parser, construct, long, positional};
use cactuslatch::ServiceName;
use cactuslatch::config::ServiceDocument;
use eyre::{bail, eyre};
use serde_json::{Value, json};
use ureq::http::Method;

use super::http::{Answer, Call};
use super::util::{self, Exit, RemoteOptions, field};
use super::{Command, subcommand};

const USAGE: &str = "Reads and changes service documents.";

const FOOTER: &str =
    "Exit codes: 0 done, 1 refused or failed, 2 unknown whether a change took effect.";

const PUT_FOOTER: &str = "The file is checked here first. The change is accepted only if --base-version \
    is the current version (0 for a new document). The operation is printed; after an unknown result, \
    put again with the same --operation: it takes effect once. Exit codes: 0 accepted, 1 refused or \
    failed, 2 unknown.";

/// Environment variable with the team's credential, which keeps it out of process listings.
const CREDENTIAL_VARIABLE: &str = "CACTUSLATCH_CREDENTIAL";

/// One of the subcommands of `documents` with its arguments.
pub(crate) type Args = Command;

pub(crate) fn options() -> OptionParser<Args> {
    let get = subcommand("get", get_options(), get);
    let put = subcommand("put", put_options(), put);
    let history = subcommand("history", history_options(), history);
    construct!([get, put, history]).to_options().descr(USAGE).footer(FOOTER)
}

pub(crate) fn run(args: &Args) -> eyre::Result<Exit> {
    args()
}

#[derive(Debug, Clone)]
struct ReadArgs {
    remote: RemoteOptions,
    service: ServiceName,
}

fn read_args() -> impl Parser<ReadArgs> {
    let remote = util::remote_options();
    let service = service();
    construct!(ReadArgs { remote, service })
}

fn service() -> impl Parser<ServiceName> {
    positional::<ServiceName>("SERVICE").help("Service to which the document belongs")
}

fn get_options() -> OptionParser<ReadArgs> {
    read_args()
        .to_options()
        .descr("Prints a document; its version goes to standard error.")
        .footer("Exit codes: 0 printed, 1 no such document or failed.")
}

fn get(args: &ReadArgs) -> eyre::Result<Exit> {
    let path = format!("/v1/documents/{}", args.service);
    let call = Call::new("get the document", Method::GET, path);
    let answer = call.run(&args.remote.entry_hosts()?, args.remote.timeout())?;
    util::print_answer(&answer, args.remote.json, |value| {
        let document = util::member_or_self(value, &["document"]);
        eprintln!("version {}, index {}", field(document, "version"), field(document, "index"));
        field(document, "body_yaml")
    })
}

fn history_options() -> OptionParser<ReadArgs> {
    read_args()
        .to_options()
        .descr("Prints the changes of a document with their diffs.")
        .footer("Exit codes: 0 printed, 1 no such document or failed.")
}

fn history(args: &ReadArgs) -> eyre::Result<Exit> {
    let path = format!("/v1/documents/{}/history", args.service);
    let call = Call::new("get the document's history", Method::GET, path);
    let answer = call.run(&args.remote.entry_hosts()?, args.remote.timeout())?;
    util::print_answer(&answer, args.remote.json, |value| {
        let changes = util::member_or_self(value, &["history"]).as_array();
        changes.map_or(&[][..], Vec::as_slice).iter().map(render_change).collect()
    })
}

fn render_change(change: &Value) -> String {
    let mut out = format!(
        "version {}, index {}, operation {}",
        field(change, "version"),
        field(change, "index"),
        field(change, "operation")
    );
    let accepted = change.get("accepted_at_ms").and_then(Value::as_u64);
    if let Some(time) = accepted.and_then(|ms| UNIX_EPOCH.checked_add(Duration::from_millis(ms))) {
        _ = write!(out, ", {}", httpdate::fmt_http_date(time));
    }
    for line in change.get("diff").and_then(Value::as_str).unwrap_or_default().lines() {
        _ = write!(out, "\n  {line}");
    }
    out.push('\n');
    out
}

#[derive(Debug, Clone)]
struct PutArgs {
    base_version: u64,
    credential: Option<String>,
    operation: Option<String>,
    remote: RemoteOptions,
    service: ServiceName,
    file: String,
}

fn put_options() -> OptionParser<PutArgs> {
    let base_version = long("base-version")
        .help("Version on which the change is based")
        .argument::<u64>("VERSION");
    let credential = long("credential")
        .help("Secret of the team that owns the document [CACTUSLATCH_CREDENTIAL]")
        .argument::<String>("SECRET")
        .optional();
    let operation = long("operation")
        .help("Identity of the change; a resend carries the same one")
        .argument::<String>("ID")
        .optional();
    let remote = util::remote_options();
    let service = service();
    let file = positional::<String>("FILE").help("Document in YAML; - reads standard input");
    construct!(PutArgs { base_version, credential, operation, remote, service, file })
        .to_options()
        .descr("Replaces a document if nobody changed it since the base version.")
        .footer(PUT_FOOTER)
}

fn put(args: &PutArgs) -> eyre::Result<Exit> {
    let entry_hosts = args.remote.entry_hosts()?;
    let credential = credential(args)?;
    let body = read_document(&args.file, &args.service)?;
    let operation = args.operation.clone().unwrap_or_else(new_operation);
    eprintln!("operation {operation}");
    let path = format!("/v1/documents/{}", args.service);
    let mut call = Call::new("put the document", Method::PUT, path).repeatable().json(&json!({
        "base_version": args.base_version,
        "operation": operation,
        "body_yaml": body,
    }));
    call.headers.push(("authorization", format!("Bearer {credential}")));
    let answer = call.run(&entry_hosts, args.remote.timeout())?;
    print_diff(&answer);
    util::print_answer(&answer, args.remote.json, |value| {
        let current = util::member_or_self(value, &["current", "document"]);
        format!("accepted: {}, version {}", args.service, field(current, "version"))
    })
}

/// Returns the credential of the option or the environment.
///
/// The variable is not read in the parser, because the help text would show the secret.
fn credential(args: &PutArgs) -> eyre::Result<String> {
    let credential = args.credential.clone().or_else(|| std::env::var(CREDENTIAL_VARIABLE).ok());
    credential
        .ok_or_else(|| eyre!("no credential is given; use --credential or {CREDENTIAL_VARIABLE}"))
}

fn read_document(file: &str, service: &ServiceName) -> eyre::Result<String> {
    let body = util::read_input(file)?;
    let text =
        String::from_utf8(body).map_err(|_| eyre!("check the document ({file}): not UTF-8"))?;
    let document = ServiceDocument::parse(&text)
        .map_err(|faults| eyre!("check the document ({file}): nothing was sent\n{faults}"))?;
    if document.service != *service {
        let found = document.service;
        bail!(
            "check the document ({file}): it belongs to {found}, not {service}; nothing was sent"
        );
    }
    Ok(text)
}

/// Prints the diff to the current version that may come with the refusal of a change (status 409).
fn print_diff(answer: &Answer) {
    let value = answer.json().unwrap_or_default();
    let diff = value.get("diff").and_then(Value::as_str).unwrap_or_default();
    if answer.status == 409 && !diff.is_empty() {
        eprintln!("{}", diff.trim_end());
    }
}

/// Returns a random identity for a change.
fn new_operation() -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{}-{:016x}", now.as_secs(), rand::random::<u64>())
}
