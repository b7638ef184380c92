//! Commands for callers and operators, one file each.

mod cancel;
mod check;
mod cluster;
mod demo;
mod documents;
mod drain;
mod explain;
mod health;
mod http;
mod request;
mod send;
mod sign_off;
mod status;
mod steps;
mod submit;
mod trace;
mod upstreams;
mod util;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};

use self::http::CallError;
use self::util::Exit;

/// A command with its arguments, ready to run.
pub(crate) type Run = Box<dyn Fn() -> eyre::Result<Exit>>;

const USAGE: &str = "Sends requests and jobs to Cactuslatch and operates its hosts.";

const FOOTER: &str = "Entry hosts come from --entry or from CACTUSLATCH_ENTRY (separated by commas). \
    Exit codes: 0 done, 1 not run or failed, 2 unknown. `cactuslatch COMMAND --help` says more.";

/// Returns the parser of the whole command line.
pub(crate) fn options() -> OptionParser<Run> {
    let check = slot("check", check::options(), check::run);
    let demo = slot("demo", demo::options(), demo::run);
    let send = slot("send", send::options(), send::run);
    let request = slot("request", request::options(), request::run);
    let sign_off = slot("sign-off", sign_off::options(), sign_off::run);
    let submit = slot("submit", submit::options(), submit::run);
    let status = slot("status", status::options(), status::run);
    let cancel = slot("cancel", cancel::options(), cancel::run);
    let explain = slot("explain", explain::options(), explain::run);
    let documents = slot("documents", documents::options(), documents::run);
    let upstreams = slot("upstreams", upstreams::options(), upstreams::run);
    let cluster = slot("cluster", cluster::options(), cluster::run);
    let steps = slot("steps", steps::options(), steps::run);
    let trace = slot("trace", trace::options(), trace::run);
    let drain = slot("drain", drain::options(), drain::run);
    let health = slot("health", health::options(), health::run);
    construct!([
        check, demo, send, request, sign_off, submit, status, cancel, explain, documents,
        upstreams, drain, health, steps, cluster, trace
    ])
    .to_options()
    .descr(USAGE)
    .footer(FOOTER)
    .version(env!("CARGO_PKG_VERSION"))
}

/// Makes a command of a parser and the function that runs its arguments.
fn slot<A: 'static>(
    name: &'static str,
    options: OptionParser<A>,
    run: fn(&A) -> eyre::Result<Exit>,
) -> impl Parser<Run> {
    options.command(name).map(move |args| Box::new(move || run(&args)) as Run)
}

/// Prints an error as a sentence and turns the result into the exit code.
pub(crate) fn finish(result: eyre::Result<Exit>) -> ExitCode {
    let exit = result.unwrap_or_else(|error| {
        eprintln!("cactuslatch: {error}");
        match error.downcast_ref::<CallError>() {
            Some(error) if error.effect_unknown() => Exit::Unknown,
            _ => Exit::NotRun,
        }
    });
    exit.into()
}
