//! `cactuslatch demo`: runs a whole installation on loopback and shows its main functions.

use bpaf::{OptionParser, Parser, construct, long};
use cactuslatch::demo;
use eyre::WrapErr;

use super::util::{self, Exit};

const USAGE: &str = "Starts an installation on loopback, sends requests and a gang job through it.";

const FOOTER: &str = "Exit codes: 0 everything ended as it must, 1 a step failed.";

/// Arguments of `demo`.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    json: bool,
    stay: bool,
}

pub(crate) fn options() -> OptionParser<Args> {
    let json = long("json").help("print one JSON object as the last line").switch();
    let stay = long("stay").help("start the installation and run until interrupted").switch();
    construct!(Args { json, stay }).to_options().descr(USAGE).footer(FOOTER)
}

pub(crate) fn run(args: &Args) -> eyre::Result<Exit> {
    let folder = tempfile::tempdir().wrap_err("create a folder for the demo's state")?;
    let runtime = tokio::runtime::Runtime::new().wrap_err("start the runtime")?;
    if args.stay {
        let interrupted = cactuslatch::daemon_util::wait_for_termination();
        runtime.block_on(demo::run_until(folder.path(), interrupted))?;
        return Ok(Exit::Done);
    }
    let report = runtime.block_on(demo::run(folder.path(), false))?;
    if args.json {
        util::print(&report.into_json().to_string())?;
    }
    Ok(Exit::Done)
}
