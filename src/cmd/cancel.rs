//! `cactuslatch cancel`: cancels a job.

use bpaf::{OptionParser, Parser, construct, positional};
use cactuslatch::JobName;
use ureq::http::Method;

use super::http::Call;
use super::util::{self, Exit, Remote};

const USAGE: &str = "Cancels a job, waiting or running.";

const FOOTER: &str = "Cancelling a job twice has the effect of cancelling it once. Exit codes: 0 cancelled, 1 refused or failed, 2 unknown whether it was cancelled; then cancel it again.";

/// Arguments of `cancel`.
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
    let call = Call::new("cancel the job", Method::DELETE, path).repeatable();
    let answer = call.run(&args.remote.entries()?, args.remote.timeout())?;
    util::conclude(&answer, args.remote.json, util::lines)
}
