//! Commands for callers and operators, one file each.

mod cancel;
mod check;
mod cluster;
mod demo;
mod documents;
mod drain;
mod evacuate;
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
pub(crate) type Command = Box<dyn Fn() -> eyre::Result<Exit>>;

const USAGE: &str = "Sends requests and jobs to Cactuslatch and operates its hosts.";

const FOOTER: &str = "Entry hosts come from --entry or from CACTUSLATCH_ENTRY (separated by commas). \
    Exit codes: 0 done, 1 not run or failed, 2 unknown. `cactuslatch COMMAND --help` says more.";

/// Returns the parser of the whole command line.
pub(crate) fn options() -> OptionParser<Command> {
    let check = subcommand("check", check::options(), check::run);
    let demo = subcommand("demo", demo::options(), demo::run);
    let send = subcommand("send", send::options(), send::run);
    let request = subcommand("request", request::options(), request::run);
    let sign_off = subcommand("sign-off", sign_off::options(), sign_off::run);
    let submit = subcommand("submit", submit::options(), submit::run);
    let status = subcommand("status", status::options(), status::run);
    let cancel = subcommand("cancel", cancel::options(), cancel::run);
    let explain = subcommand("explain", explain::options(), explain::run);
    let documents = subcommand("documents", documents::options(), documents::run);
    let upstreams = subcommand("upstreams", upstreams::options(), upstreams::run);
    let cluster = subcommand("cluster", cluster::options(), cluster::run);
    let steps = subcommand("steps", steps::options(), steps::run);
    let evacuate = subcommand("evacuate", evacuate::options(), evacuate::run);
    let trace = subcommand("trace", trace::options(), trace::run);
    let drain = subcommand("drain", drain::options(), drain::run);
    let health = subcommand("health", health::options(), health::run);
    construct!([
        check, demo, send, request, sign_off, submit, status, cancel, explain, documents,
        upstreams, drain, health, steps, evacuate, cluster, trace
    ])
    .to_options()
    .descr(USAGE)
    .footer(FOOTER)
    .version(env!("CARGO_PKG_VERSION"))
}

/// Returns the parser of a command that runs `run` with the arguments parsed by `options`.
fn subcommand<A: 'static>(
    name: &'static str,
    options: OptionParser<A>,
    run: fn(&A) -> eyre::Result<Exit>,
) -> impl Parser<Command> {
    options.command(name).map(move |args| Box::new(move || run(&args)) as Command)
}

/// Prints the error, if there is one, and returns the exit code.
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
