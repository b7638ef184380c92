//! `cactuslatch submit`: submits a job.

use std::str::FromStr;

use bpaf::{OptionParser, Parser, construct, positional};
use cactuslatch::{InvalidName, JobName, OrganisationName, ServiceName, StepError};
use serde_json::Value;
use ureq::http::Method;

use super::http::Call;
use super::util::{self, Exit, RemoteOptions};

const USAGE: &str = "Submits a job, described in JSON.";

const FOOTER: &str = "The description needs name, organisation and service. Exit codes: 0 accepted, 1 \
    refused or failed, 2 unknown whether it was accepted; then ask with `cactuslatch status JOB`.";

/// Arguments of `submit`.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    remote: RemoteOptions,
    file: String,
}

pub(crate) fn options() -> OptionParser<Args> {
    let remote = util::remote_options();
    let file = positional::<String>("FILE").help("Job description; - reads standard input");
    construct!(Args { remote, file }).to_options().descr(USAGE).footer(FOOTER)
}

pub(crate) fn run(args: &Args) -> eyre::Result<Exit> {
    let entry_hosts = args.remote.entry_hosts()?;
    let job = read_job(&args.file)?;
    // Not repeatable: the host that received the job may have accepted it.
    let call = Call::new("submit the job", Method::POST, "/v1/jobs".to_owned()).json(&job);
    let answer = call.run(&entry_hosts, args.remote.timeout())?;
    util::print_answer(&answer, args.remote.json, |value| {
        format!("accepted: {}\n{}", util::field(&job, "name"), util::render_lines(value))
    })
}

fn read_job(file: &str) -> eyre::Result<Value> {
    let fault = |sentence: String| StepError::new("read the job description", file, sentence);
    let body = util::read_input(file)?;
    let job: Value = serde_json::from_slice(&body).map_err(|error| fault(error.to_string()))?;
    check_name::<JobName>(&job, "name").map_err(fault)?;
    check_name::<OrganisationName>(&job, "organisation").map_err(fault)?;
    check_name::<ServiceName>(&job, "service").map_err(fault)?;
    Ok(job)
}

fn check_name<T: FromStr<Err = InvalidName>>(job: &Value, member: &str) -> Result<(), String> {
    let text = job.get(member).and_then(Value::as_str);
    let text = text.ok_or_else(|| format!("the member {member:?} is missing or no text"))?;
    text.parse::<T>().map(drop).map_err(|error| format!("{member}: {error}"))
}
