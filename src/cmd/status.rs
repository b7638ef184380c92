//! `cactuslatch status`: prints the state of a job.

use bpaf::OptionParser;
use ureq::http::Method;

use super::http::Call;
use super::util::{self, Exit, JobArgs};

const USAGE: &str = "Prints the state of a job.";

const FOOTER: &str = "Exit codes: 0 printed, 1 no such job or failed.";

pub(crate) fn options() -> OptionParser<JobArgs> {
    util::job_options(USAGE, FOOTER)
}

pub(crate) fn run(args: &JobArgs) -> eyre::Result<Exit> {
    let path = format!("/v1/jobs/{}", args.job);
    let call = Call::new("ask for the job's status", Method::GET, path);
    let answer = call.run(&args.remote.entry_hosts()?, args.remote.timeout())?;
    util::print_answer(&answer, args.remote.json, util::render_lines)
}
