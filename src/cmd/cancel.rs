//! `cactuslatch cancel`: cancels a job.

use bpaf::OptionParser;
use ureq::http::Method;

use super::http::Call;
use super::util::{self, Exit, JobArgs};

const USAGE: &str = "Cancels a job, waiting or running.";

const FOOTER: &str = "Cancelling a job twice has the effect of cancelling it once. Exit codes: 0 cancelled, 1 refused or failed, 2 unknown whether it was cancelled; then cancel it again.";

pub(crate) fn options() -> OptionParser<JobArgs> {
    util::job_options(USAGE, FOOTER)
}

pub(crate) fn run(args: &JobArgs) -> eyre::Result<Exit> {
    let path = format!("/v1/jobs/{}", args.job);
    let call = Call::new("cancel the job", Method::DELETE, path).repeatable();
    let answer = call.run(&args.remote.entry_hosts()?, args.remote.timeout())?;
    util::print_answer(&answer, args.remote.json, util::render_lines)
}
