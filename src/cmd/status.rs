//! `cactuslatch status`: prints the state of a job.

use bpaf::{OptionParser, Parser, construct, positional};
use cactuslatch::JobName;
use ureq::http::Method;

use super::http::Call;
use super::util::{self, Exit, Remote};

const USAGE: &str = "Prints the state of a job.";

const FOOTER: &str = "Exit codes: 0 printed, 1 no such job or failed.";

/// Arguments of `status`.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    remote: Remote,
    job: JobName,
}

pub(crate) fn options() -> OptionParser<Args> {
    let remote = util::remote();
    let job = positional::<JobName>("JOB").help("Name of the job");
    construct!(Args { remote, job }).to_options().descr(USAGE).footer(FOOTER)
}

pub(crate) fn run(args: &Args) -> eyre::Result<Exit> {
    let path = format!("/v1/jobs/{}", args.job);
    let call = Call::new("ask for the job's status", Method::GET, path);
    let answer = call.run(&args.remote.entries()?, args.remote.timeout())?;
    util::conclude(&answer, args.remote.json, util::lines)
}
